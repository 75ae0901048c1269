#include "timers.hpp"

#include <algorithm>
#include <utility>

namespace violetusher::net {
namespace {

constexpr std::size_t kChildren = 4;

}  // namespace

void Timers::store(std::size_t position, const Item& item) {
  heap_[position] = item;
  nodes_[item.node].position = static_cast<std::uint32_t>(position);
}

void Timers::sift_up(std::size_t position, Item item) {
  while (position > 0) {
    std::size_t parent = (position - 1) / kChildren;
    if (!item.before(heap_[parent])) break;
    store(position, heap_[parent]);
    position = parent;
  }
  store(position, item);
}

void Timers::sift_down(std::size_t position, Item item) {
  while (true) {
    std::size_t first = position * kChildren + 1, end = std::min(first + kChildren, heap_.size());
    if (first >= end) break;
    std::size_t least = first;
    for (std::size_t k = first + 1; k < end; ++k)
      if (heap_[k].before(heap_[least])) least = k;
    if (!heap_[least].before(item)) break;
    store(position, heap_[least]);
    position = least;
  }
  store(position, item);
}

void Timers::remove(std::size_t position) {
  std::uint32_t node = heap_[position].node;
  ++nodes_[node].generation;
  free_.push_back(node);
  Item last = heap_.back();
  heap_.pop_back();
  if (position == heap_.size()) return;
  if (position > 0 && last.before(heap_[(position - 1) / kChildren]))
    sift_up(position, last);
  else
    sift_down(position, last);
}

Timers::Handle Timers::set(Micros at, const Task& task) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(nodes_.size()));
    nodes_.emplace_back();
  }
  std::uint32_t node = free_.back();
  free_.pop_back();
  nodes_[node].task = task;
  ++nodes_[node].generation;
  heap_.emplace_back();
  sift_up(heap_.size() - 1, {at, order_++, node});
  return static_cast<Handle>(nodes_[node].generation) << 32 | node;
}

void Timers::cancel(Handle& handle) {
  Handle timer = std::exchange(handle, 0);
  auto node = static_cast<std::uint32_t>(timer),
       generation = static_cast<std::uint32_t>(timer >> 32);
  if (timer != 0 && nodes_[node].generation == generation) remove(nodes_[node].position);
}

std::optional<Micros> Timers::next() const {
  if (heap_.empty()) return std::nullopt;
  return heap_.front().at;
}

bool Timers::pop_due(Micros now, Task& task) {
  if (heap_.empty() || heap_.front().at > now) return false;
  task = nodes_[heap_.front().node].task;
  remove(0);
  return true;
}

}  // namespace violetusher::net
