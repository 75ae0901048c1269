// An event loop with timers that run functions, which records how late they ran.
#pragma once

#include <atomic>
#include <functional>
#include <queue>
#include <vector>

#include "net/system_io.hpp"

namespace violetusher::kit {

/// Logarithmic histogram, of fixed size, of how late the test rig itself was, in microseconds.
class Lateness {
 public:
  void add(Micros late);
  std::uint64_t count() const { return count_; }
  Micros worst() const { return worst_; }
  /// Upper bound of the bucket that holds the quantile `q`; each bucket is an eighth wider.
  Micros quantile(double q) const;
  void merge(const Lateness& other);

 private:
  static constexpr std::size_t kBuckets = 160;
  std::uint64_t buckets_[kBuckets] = {};
  std::uint64_t count_ = 0;
  Micros worst_ = 0;
};

/// Not thread-safe, except for stop_from_outside().
class Loop {
 public:
  explicit Loop(const net::Clock& clock);
  event_base* base() const { return base_.get(); }
  Micros now() const { return clock_.now(); }
  /// Runs `task` at `at`, or as soon after it as the loop can.
  void at(Micros at, std::function<void()> task);
  /// Runs until a task calls stop() or stop_from_outside() takes effect.
  void run();
  void stop() {
    stopped_ = true;
    event_base_loopbreak(base_.get());
  }
  /// Stops the loop within 50 ms; may be called from another thread or a signal handler.
  void stop_from_outside() { stop_requested_ = true; }
  const Lateness& lateness() const { return lateness_; }
  /// Discards the lateness so far, which stems from the time before the loop ran.
  void reset_lateness() { lateness_ = Lateness(); }

 private:
  struct Timer {
    Micros at;
    std::uint64_t order;
    std::function<void()> task;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  static void on_timer(evutil_socket_t, short, void* self);
  void run_due_timers();
  void arm();

  const net::Clock& clock_;
  net::EventBasePtr base_;
  net::EventPtr timer_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t order_ = 0;
  Micros armed_ = 0;
  bool running_timers_ = false, stopped_ = false;
  std::atomic<bool> stop_requested_{false};
  Lateness lateness_;
};

}  // namespace violetusher::kit
