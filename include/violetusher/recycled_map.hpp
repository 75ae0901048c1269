// A table that is warm allocates nothing: what its entries held is left to the next ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <unordered_map>
#include <utility>
#include <vector>

namespace violetusher {

/// A table by number whose entries leave their memory to the next ones. kSpare of those that are
/// over are kept for that, at most.
template <typename T>
class RecycledMap : public std::unordered_map<std::uint64_t, T> {
  using Table = std::unordered_map<std::uint64_t, T>;

 public:
  static constexpr std::size_t kSpare = 128;

  /// The entry of `key`, and whether it is new; a new one may hold what another has left.
  std::pair<T&, bool> enter(std::uint64_t key) {
    auto at = this->find(key);
    if (at != this->end()) return {at->second, false};
    if (spare_.empty()) return {this->try_emplace(key).first->second, true};
    spare_.back().key() = key;
    T& entry = this->insert(std::move(spare_.back())).position->second;
    spare_.pop_back();
    return {entry, true};
  }
  /// Ends an entry; the one behind it.
  auto drop(typename Table::iterator at) {
    auto next = std::next(at);
    auto node = this->extract(at);
    if (spare_.size() < kSpare) spare_.push_back(std::move(node));
    return next;
  }

 private:
  std::vector<typename Table::node_type> spare_;
};

}  // namespace violetusher
