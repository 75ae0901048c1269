// Orders the host lists that the processes of one router hold, so that neither goes back to an
// older one when they exchange them. No I/O and no clock.
#pragma once

#include <cstdint>
#include <string>

namespace violetusher::core::membership {

using Micros = std::int64_t;

/// Identifies a host list among those of one router. Times are of a clock that all processes of the
/// machine share and that never steps.
struct ListIdentity {
  std::string discovery;  ///< address of the discovery service that it came from
  /// When the version count of that service was last found to have restarted; 0: never.
  Micros count_restarted_at = 0;
  std::string version;
  Micros confirmed_at = 0;  ///< when a response of discovery last confirmed it

  bool operator==(const ListIdentity&) const = default;
};

/// How the list of another process relates to the own one.
enum class ListOrder {
  kUnrelated,  ///< of another discovery service: nothing can be said
  kOlder,
  kSame,
  kNewer,
  /// The version count restarted in between: newer, and yet it may lack what the own one has.
  kNewerCount,
};

/// Orders `other` relative to `own`. Versions that are not numbers are ordered by when they were
/// confirmed.
ListOrder order_lists(const ListIdentity& other, const ListIdentity& own);

}  // namespace violetusher::core::membership
