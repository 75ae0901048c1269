// Where the worth of a day went: for each request what it could have earned less what it did, laid
// to causes. From the recorded history alone; no I/O.
#pragma once

#include <array>
#include <cstdint>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "plan.hpp"

namespace violetusher::rehearse {

/// A request that was not served lost all of its worth to the way its last try ended. One that was
/// served late lost it to what its time went to, in proportion.
enum class Cause {
  // Not served.
  kUntried,     ///< refused, and no price cache had seen the last try
  kBusy,        ///< refused after a price cache that was busy
  kAttempt,     ///< refused after an attempt that failed, broke or was given up
  kFailed,      ///< any other final answer of the router
  kLeft,        ///< the till went away
  kUnanswered,  ///< closed, silent, garbled, or no router there
  // Served late.
  kTries,     ///< until the last try: earlier ones that ended unserved, and the pauses between
  kRouter,    ///< of the last try: in the router, waiting for a connection, and the way
  kCrossing,  ///< the same where the attempt that served went to another hall
  kWasted,    ///< other attempts before the one that served
  kBehind,    ///< behind other answers on the connection
  kServer,    ///< at the price cache, where it held the key
  kMiss,      ///< at the price cache and the product master, where it did not
};
inline constexpr std::size_t kCauses = static_cast<std::size_t>(Cause::kMiss) + 1;
const char* name_of(Cause cause);

struct Losses {
  struct Part {
    double worth = 0;
    std::uint64_t requests = 0;  ///< that lost anything to it
  };
  double asked = 0;   ///< worth of all requests that were judged
  double earned = 0;  ///< asked - earned is the sum of the parts
  std::array<Part, kCauses> parts = {};
};

/// Requests sent straight to a price cache, and those that the day's end cut short, are left out,
/// as in the verdict's service, which is earned / asked.
Losses losses_of(const Day& day, const Plan& plan, const kit::History& history);

}  // namespace violetusher::rehearse
