// Attributes the lost worth of a day to causes: for each request, the worth it could have earned
// minus the worth it earned. Computed from the recorded history alone, without I/O.
#pragma once

#include <array>
#include <cstdint>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "plan.hpp"

namespace violetusher::rehearse {

/// A request that was not served loses its whole worth to the outcome of its last try. The loss of
/// a request that was served late is split over the phases of its latency, in proportion to their
/// length.
enum class Cause {
  // Not served.
  kNoAttempt,      ///< refused, and no attempt of the last try reached a price cache
  kBusy,           ///< refused after a price cache answered busy
  kAttemptFailed,  ///< refused after an attempt that failed, was reset or timed out
  kFailed,         ///< any other final error of the router
  kClientLeft,     ///< the till closed its connection early
  kNoAnswer,       ///< connection closed, no answer, a malformed answer, or no router
  // Served late.
  kEarlierTries,  ///< before the last try: earlier tries without success, and the backoff between
  kRouter,        ///< of the last try: router, wait for a connection, and network
  kRouterCrossZone,  ///< the same when the attempt that served went to another zone
  kEarlierAttempts,  ///< earlier attempts of the last try
  kHeadOfLine,       ///< head-of-line wait behind other answers on the connection
  kServer,           ///< at the price cache, on a cache hit
  kMiss,             ///< at the price cache and the product master, on a miss
};
inline constexpr std::size_t kCauses = static_cast<std::size_t>(Cause::kMiss) + 1;
/// The name of a cause in reports.
const char* name_of(Cause cause);

/// Worth asked, earned and lost.
struct Losses {
  struct CauseLoss {
    double worth = 0;
    std::uint64_t requests = 0;  ///< requests that lost worth to this cause
  };
  double asked = 0;   ///< worth of all requests that were judged
  double earned = 0;  ///< asked - earned is the sum over all causes
  std::array<CauseLoss, kCauses> by_cause = {};
};

/// Computes the losses of a played day. As in the verdict's service, which is earned / asked,
/// requests sent straight to a price cache and requests cut short by the end of the day are
/// excluded.
Losses losses_of(const Day& day, const Plan& plan, const kit::History& history);

}  // namespace violetusher::rehearse
