// Benchmarks the router's timers against a heap with lazy deletion and a hashed timer wheel. The
// load resembles the router's: each request sets two timers some hundred milliseconds ahead, ends
// after a millisecond or two, and cancels the remaining ones; occasionally a timer expires. Times
// are per request.
#include "net/timers.hpp"

#include <benchmark/benchmark.h>

#include <queue>
#include <random>
#include <vector>

namespace {

using violetusher::Micros;
using violetusher::net::Timers;

constexpr Micros kRequestInterval = 25;           // between requests
constexpr std::size_t kOutstandingRequests = 64;  // until the oldest ends

/// A heap with lazy deletion: cancelled timers stay in it until they expire.
class LazyHeap {
 public:
  using Handle = std::uint64_t;
  Handle set(Micros at, std::uint64_t token) {
    timers_.push({at, ++order_, token});
    return order_;
  }
  void cancel(Handle&) {}
  bool pop_due(Micros now) {
    if (timers_.empty() || timers_.top().at > now) return false;
    timers_.pop();
    return true;
  }
  std::size_t size() const { return timers_.size(); }

 private:
  struct Timer {
    Micros at;
    std::uint64_t order, token;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t order_ = 0;
};

/// A hashed timer wheel with slots of 64 us, covering more than a second; a timer can fire up to
/// one slot late. Each slot has a doubly linked list in a node table, so cancelling takes constant
/// time.
class Wheel {
 public:
  using Handle = std::uint64_t;
  Wheel() : slots_(kSlots, kNone) {}
  Handle set(Micros at, std::uint64_t token) {
    if (free_ == kNone) {
      nodes_.emplace_back();
      free_ = static_cast<std::uint32_t>(nodes_.size() - 1);
      nodes_[free_].next = kNone;
    }
    std::uint32_t n = free_;
    free_ = nodes_[n].next;
    auto slot = static_cast<std::uint32_t>(at / kTick % kSlots);
    nodes_[n] = {at, token, slots_[slot], kNone, slot, true};
    if (slots_[slot] != kNone) nodes_[slots_[slot]].previous = n;
    slots_[slot] = n;
    ++size_;
    return n + 1;
  }
  void cancel(Handle& handle) {
    auto n = static_cast<std::uint32_t>(handle - 1);
    if (handle != 0 && nodes_[n].set) remove(n);
    handle = 0;
  }
  bool pop_due(Micros now) {
    for (; at_ <= now / kTick; ++at_)
      for (std::uint32_t n = slots_[static_cast<std::size_t>(at_ % kSlots)]; n != kNone;
           n = nodes_[n].next)
        if (nodes_[n].at <= now) {
          remove(n);
          return true;
        }
    return false;
  }
  std::size_t size() const { return size_; }

 private:
  static constexpr Micros kTick = 64;
  static constexpr Micros kSlots = 1 << 15;
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};
  struct Node {
    Micros at = 0;
    std::uint64_t token = 0;
    std::uint32_t next = kNone, previous = kNone, slot = 0;
    bool set = false;
  };
  void remove(std::uint32_t n) {
    Node& node = nodes_[n];
    (node.previous == kNone ? slots_[node.slot] : nodes_[node.previous].next) = node.next;
    if (node.next != kNone) nodes_[node.next].previous = node.previous;
    if (node.next != kNone) nodes_[node.next].previous = node.previous;
    node.set = false;
    node.next = free_;
    free_ = n;
    --size_;
  }
  std::vector<std::uint32_t> slots_;
  std::vector<Node> nodes_;
  std::uint32_t free_ = kNone;
  Micros at_ = 0;
  std::size_t size_ = 0;
};

/// The router's timers.
class IndexedHeap {
 public:
  using Handle = Timers::Handle;
  Handle set(Micros at, std::uint64_t token) { return timers_.set(at, {.token = token}); }
  void cancel(Handle& handle) { timers_.cancel(handle); }
  bool pop_due(Micros now) {
    Timers::Task due;
    return timers_.pop_due(now, due);
  }
  std::size_t size() const { return timers_.size(); }

 private:
  Timers timers_;
};

template <typename T>
void requests(benchmark::State& state) {
  T timers;
  std::mt19937_64 draws(1);
  std::vector<std::pair<typename T::Handle, typename T::Handle>> outstanding(kOutstandingRequests);
  Micros now = 0;
  std::uint64_t number = 0;
  std::size_t max_held = 0;
  auto run_request = [&] {
    auto& handles = outstanding[number++ % kOutstandingRequests];
    timers.cancel(handles.first), timers.cancel(handles.second);
    handles.first = timers.set(now + 850'000 + static_cast<Micros>(draws() % 100'000), number);
    handles.second = timers.set(now + 20'000 + static_cast<Micros>(draws() % 200'000), number);
    now += kRequestInterval;
    while (timers.pop_due(now)) {
    }
  };
  for (int k = 0; k < 100'000; ++k) run_request();  // warm-up until the number of timers is stable
  for (auto _ : state) {
    run_request();
    max_held = std::max(max_held, timers.size());
  }
  state.counters["held"] = static_cast<double>(max_held);
}

BENCHMARK(requests<LazyHeap>);
BENCHMARK(requests<IndexedHeap>);
BENCHMARK(requests<Wheel>);

}  // namespace
