// When a router asks discovery, and how long it waits for it: worked out from the settings and from
// what PROTOCOL and FLEET say of when a change counts as told. The table with every row and its
// margin is docs/design/membership.md. Times are in microseconds.
#pragma once

#include <cstdint>

namespace violetusher::core::membership {

using Micros = std::int64_t;

/// What the terms of service say, wherever lists come from.
struct Told {
  /// What a call that waits misses counts as told so long after its wait is over, arrived or not.
  static constexpr Micros kAfterWait = 2'000'000;
  /// And what any call misses no sooner than this after it fell silent.
  static constexpr Micros kAfterSilence = 6'000'000;
  /// After a call that failed, was refused or was given up, so long after discovery had it and
  /// could be reached, whatever else is allowed.
  static constexpr Micros kAfterFailure = 6'000'000;
};

/// How one router calls.
struct WatchTiming {
  Micros wait = 0;           ///< that discovery is asked to hold a watch for
  Micros limit = 0;          ///< a call that has no answer so long after its wait is given up
  Micros limit_at_once = 0;  ///< the same of one that does not wait
  /// A further watch is begun beside one that has waited so long, drawn evenly between the two, so
  /// that routers whose watches began together do not renew them together. 0: never.
  Micros renew_from = 0, renew_to = 0;
  /// After a failed call the next comes after this, times 0.5 to 1.5, doubled with each failure in
  /// a row up to pause_most.
  Micros pause = 0, pause_most = 0;
  /// Whether this is to go on after failures of itself; else the module says when to watch again.
  bool always_retries = false;

  bool operator==(const WatchTiming&) const = default;
};

/// Where lists are asked for: discovery is one service for all routers, and each call costs it
/// work, so there are few. `wait` is long and a watch is renewed well before what it may have
/// missed counts as told.
WatchTiming polled_timing();

/// Where lists are pushed: the address is an agent on the router's own machine, calls cost nothing,
/// and what it has counts as told at once. So whatever becomes of one call, the next is made within
/// `drain_grace`, the time for which a price cache that is told to leave may still be sent to.
WatchTiming pushed_timing(Micros drain_grace);

}  // namespace violetusher::core::membership
