#include "timers.hpp"

#include <algorithm>
#include <utility>

namespace violetusher::net {
namespace {

constexpr std::size_t kChildren = 4;

}  // namespace

void Timers::put(std::size_t place, const Item& item) {
  heap_[place] = item;
  nodes_[item.node].place = static_cast<std::uint32_t>(place);
}

void Timers::rise(std::size_t place, Item item) {
  while (place > 0) {
    std::size_t parent = (place - 1) / kChildren;
    if (!item.before(heap_[parent])) break;
    put(place, heap_[parent]);
    place = parent;
  }
  put(place, item);
}

void Timers::sink(std::size_t place, Item item) {
  while (true) {
    std::size_t first = place * kChildren + 1, end = std::min(first + kChildren, heap_.size());
    if (first >= end) break;
    std::size_t least = first;
    for (std::size_t k = first + 1; k < end; ++k)
      if (heap_[k].before(heap_[least])) least = k;
    if (!heap_[least].before(item)) break;
    put(place, heap_[least]);
    place = least;
  }
  put(place, item);
}

void Timers::remove(std::size_t place) {
  std::uint32_t node = heap_[place].node;
  ++nodes_[node].generation;
  free_.push_back(node);
  Item last = heap_.back();
  heap_.pop_back();
  if (place == heap_.size()) return;
  if (place > 0 && last.before(heap_[(place - 1) / kChildren]))
    rise(place, last);
  else
    sink(place, last);
}

Timers::Handle Timers::set(Micros at, const Task& due) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(nodes_.size()));
    nodes_.emplace_back();
  }
  std::uint32_t node = free_.back();
  free_.pop_back();
  nodes_[node].due = due;
  ++nodes_[node].generation;
  heap_.emplace_back();
  rise(heap_.size() - 1, {at, order_++, node});
  return static_cast<Handle>(nodes_[node].generation) << 32 | node;
}

void Timers::cancel(Handle& handle) {
  Handle of = std::exchange(handle, 0);
  auto node = static_cast<std::uint32_t>(of), generation = static_cast<std::uint32_t>(of >> 32);
  if (of != 0 && nodes_[node].generation == generation) remove(nodes_[node].place);
}

std::optional<Micros> Timers::next() const {
  if (heap_.empty()) return std::nullopt;
  return heap_.front().at;
}

bool Timers::pop_due(Micros now, Task& due) {
  if (heap_.empty() || heap_.front().at > now) return false;
  due = nodes_[heap_.front().node].due;
  remove(0);
  return true;
}

}  // namespace violetusher::net
