// A hash map that reuses the memory of erased entries, so that steady use allocates nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <unordered_map>
#include <utility>
#include <vector>

namespace violetusher {

/// A hash map by number. Keeps up to kMaxSpareEntries erased entries, with the memory that their
/// values own, for insertions to come.
template <typename T>
class RecycledMap : public std::unordered_map<std::uint64_t, T> {
  using Table = std::unordered_map<std::uint64_t, T>;

 public:
  static constexpr std::size_t kMaxSpareEntries = 128;

  /// The entry of `key`, and whether it was inserted: then it may hold the value of an erased one.
  std::pair<T&, bool> find_or_insert(std::uint64_t key) {
    auto at = this->find(key);
    if (at != this->end()) return {at->second, false};
    if (spare_.empty()) return {this->try_emplace(key).first->second, true};
    spare_.back().key() = key;
    T& entry = this->insert(std::move(spare_.back())).position->second;
    spare_.pop_back();
    return {entry, true};
  }
  /// Erases an entry; returns the next one.
  auto erase_and_recycle(typename Table::iterator at) {
    auto next = std::next(at);
    auto node = this->extract(at);
    if (spare_.size() < kMaxSpareEntries) spare_.push_back(std::move(node));
    return next;
  }

 private:
  std::vector<typename Table::node_type> spare_;
};

}  // namespace violetusher
