// A queue that does not destroy removed elements: the next element pushed reuses the memory of
// their strings. Its capacity is the largest size that it has had.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace violetusher::net {

/// See the top of this file.
template <typename T>
class RecycledQueue {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  /// The element `k` places behind the front. `k` must be below size().
  T& operator[](std::size_t k) { return items_[slot_of(k)]; }
  const T& operator[](std::size_t k) const { return items_[slot_of(k)]; }
  T& front() { return (*this)[0]; }
  const T& front() const { return (*this)[0]; }
  T& back() { return (*this)[size_ - 1]; }

  /// Appends an element, in the state in which a removed one was left, or new. Invalidates
  /// references to other elements.
  T& push() {
    if (size_ == items_.size()) grow();
    ++size_;
    return back();
  }
  void pop_front() {
    head_ = slot_of(1);
    --size_;
  }
  void pop_back() { --size_; }
  /// Removes the element at `k`; those behind it move up.
  void erase(std::size_t k) {
    for (; k + 1 < size_; ++k) std::swap((*this)[k], (*this)[k + 1]);
    pop_back();
  }
  void clear() { head_ = size_ = 0; }

 private:
  std::size_t slot_of(std::size_t k) const {
    std::size_t at = head_ + k;
    return at < items_.size() ? at : at - items_.size();
  }
  void grow() {
    std::vector<T> larger;
    larger.reserve(items_.empty() ? 2 : 2 * items_.size());
    for (std::size_t k = 0; k < size_; ++k) larger.push_back(std::move((*this)[k]));
    larger.resize(larger.capacity());
    items_ = std::move(larger);
    head_ = 0;
  }

  std::vector<T> items_;
  std::size_t head_ = 0, size_ = 0;
};

}  // namespace violetusher::net
