// Timing of the calls to discovery, derived from the settings and from the notification deadlines
// that PROTOCOL and FLEET define. docs/design/membership.md lists each case with its margin. Times
// are in microseconds.
#pragma once

#include <cstdint>

namespace violetusher::core::membership {

using Micros = std::int64_t;

/// When the router counts as notified of a change, whether lists are polled or pushed.
struct NotificationDelay {
  /// A change that a waiting call misses counts as notified this long after the end of its wait,
  /// whether or not the response arrived.
  static constexpr Micros kAfterWait = 2'000'000;
  /// A change that any call misses counts as notified no sooner than this after the call fell
  /// silent.
  static constexpr Micros kAfterSilence = 6'000'000;
  /// After a call that failed, was refused or was cancelled, a change counts as notified this long
  /// after discovery had it and was reachable, whatever the other rules allow.
  static constexpr Micros kAfterFailure = 6'000'000;
};

/// The call timing of one router.
struct WatchTiming {
  Micros wait = 0;              ///< how long discovery is asked to hold a watch
  Micros response_timeout = 0;  ///< a call without a response this long after its wait has failed
  Micros immediate_response_timeout = 0;  ///< the same for a call that does not wait
  /// A second watch is started beside one of this age, drawn evenly between the two values so that
  /// routers whose watches started together do not renew them together. 0: never.
  Micros min_renewal_age = 0, max_renewal_age = 0;
  /// The same, once, for the watch that follows calls which failed or were given up: what it misses
  /// if it falls silent too counts as notified 6 s later. 0: as any watch.
  Micros early_renewal_age = 0;
  /// The same for the first watches of a process that takes over from another, which gives up its
  /// own calls at its end.
  Micros takeover_renewal_age = 0;
  /// A call that does not wait gets another beside it if it has no response after this: it may be
  /// silent, and may as well be queued, so it is not cancelled. 0: never.
  Micros unanswered_delay = 0;
  /// The first call of a process is made within this time of its start, drawn evenly.
  Micros first_call_spread = 0;
  /// Delay of the next call after a failure, times a jitter factor of 0.5 to 1.5; doubled with each
  /// consecutive failure up to max_retry_delay.
  Micros retry_delay = 0, max_retry_delay = 0;
  /// A starting router accepts clients without a confirmed list after this.
  Micros max_startup_wait = 0;
  /// Lists are pushed to an agent on the router's own machine.
  bool pushed = false;

  bool operator==(const WatchTiming&) const = default;
};

/// For polled lists: discovery is one service for all routers and each call costs it work, so calls
/// are few. `wait` is long, and a watch is renewed well before a change that it may have missed
/// counts as notified. Calls after failures and beside calls that may be silent follow one another
/// the more slowly, the more of the `routers` of the tier may call at the same time. `ask_within`:
/// the longest time without a call that the settings allow to a router without a watch.
WatchTiming polled_timing(int routers, Micros ask_within);

/// For pushed lists: the address is an agent on the router's own machine, calls are cheap, and the
/// agent's list counts as notified at once. Whatever happens to one call, the next is made within
/// `drain_grace`, the time for which a draining cache server may still be sent requests.
WatchTiming pushed_timing(Micros drain_grace);

}  // namespace violetusher::core::membership
