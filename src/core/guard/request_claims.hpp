// Which requests that must not run twice were sent to a server lately. A client's id that comes
// again, after its client has left or at another process of the same router, is found here. No I/O;
// the memory and the time are given, and several processes may share the memory.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

/// A table of ids with a few places for each hash. It forgets an id after kRetention, or earlier if
/// its places are taken by newer ones. Every operation is atomic.
class RequestClaims {
 public:
  using Slot = std::atomic<std::uint64_t>;
  static_assert(Slot::is_always_lock_free);
  static constexpr Micros kRetention = 60'000'000;
  /// Places for the ids of one hash.
  static constexpr std::size_t kWays = 32;
  static constexpr std::size_t kSlots = std::size_t{1} << 14;

  /// `slots`: kSlots of them, zero at first; they must outlive this object.
  explicit RequestClaims(std::span<Slot> slots) : slots_(slots) {}

  /// Claims the id for a request that is about to be sent. Returns false if another request has
  /// claimed it. `now` counts from the same moment in all processes that share the memory.
  bool claim(Micros now, std::string_view id);
  /// Gives a claim back: the request was never executed.
  void release(std::string_view id);

 private:
  std::span<Slot> bucket_of(std::uint64_t hash) const;

  std::span<Slot> slots_;
};

}  // namespace violetusher::core
