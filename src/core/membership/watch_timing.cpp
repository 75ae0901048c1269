#include "watch_timing.hpp"

#include <algorithm>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000, kMillisecond = 1000;
// The time for which discovery queues a call before it fails it.
constexpr Micros kMaxQueueTime = 3 * kSecond;
// Nine in ten restarted routers have to be ready within 10 s, and within this on short days; of
// that, what a start takes beside waiting for its list.
constexpr Micros kMaxReadyTime = 6 * kSecond;
constexpr Micros kStartupTime = 800 * kMillisecond;
// Calls of a fleet are spread by its size, up to this many routers.
constexpr int kMaxScaledRouters = 50;
// So many routers may call discovery at the same moment.
constexpr Micros kUnspreadRouters = 4;
constexpr Micros kFirstCallSpreadPerRouter = 90 * kMillisecond;
constexpr Micros kRetryDelayPerRouter = 30 * kMillisecond;
constexpr Micros kMinRetryDelay = 50 * kMillisecond;
constexpr Micros kUnansweredDelayPerRouter = 150 * kMillisecond;
// From this size on a start of many routers at once fills the queue of discovery.
constexpr int kLargeFleet = 30;

}  // namespace

WatchTiming polled_timing(int routers, Micros ask_within) {
  Micros fleet = std::clamp(routers, 1, kMaxScaledRouters);
  WatchTiming t;
  t.wait = 30 * kSecond;
  // Discovery answers a watch whose wait is over at once, except for calls queued before it. What
  // the watch missed counts as notified 2 s later, and an immediate call has to fit in between.
  t.response_timeout = kSecond;
  // Longer than the 3 s for which discovery queues a call before it fails it: a call that is
  // cancelled in the queue loses its place but is still processed and delays others.
  t.immediate_response_timeout = kMaxQueueTime + kSecond / 2;
  // About as many calls as consecutive watches of 18 s make. What a silent watch misses counts as
  // notified at 32 s, which leaves 12 s for the call that makes up for it to be queued and retried.
  t.min_renewal_age = 16 * kSecond;
  t.max_renewal_age = 20 * kSecond;
  if (routers < kLargeFleet) {
    t.early_renewal_age = 4 * kSecond;
    t.takeover_renewal_age = 2 * kSecond;
  }
  // In a large fleet an unanswered call is most likely queued, and a second one would double the
  // queue. In a small one several silent calls in a row have to fit into the 6 s after a failure.
  t.unanswered_delay =
      std::clamp(fleet * kUnansweredDelayPerRouter, kSecond, kMaxQueueTime + 2 * kSecond / 5);
  // Without a watch the router is held to its list for `ask_within` from its last call.
  t.first_call_spread =
      std::min(std::max<Micros>(fleet - kUnspreadRouters, 1) * kFirstCallSpreadPerRouter,
               ask_within * 2 / 5);
  // The 6 s after a failure have to fit three more tries, or two that are queued.
  t.max_retry_delay = std::clamp(ask_within / 2, kMinRetryDelay, kSecond);
  t.retry_delay = std::clamp(fleet * kRetryDelayPerRouter, kSecond / 5, kSecond);
  t.retry_delay = std::min(t.retry_delay, t.max_retry_delay);
  // Many that start together wait in discovery's queue for longer.
  t.max_startup_wait = routers < kLargeFleet ? kMaxReadyTime - kStartupTime : 2 * kSecond;
  return t;
}

WatchTiming pushed_timing(Micros drain_grace) {
  // In sixteenths of the grace: six for the watch, three for its response, one before the next
  // call, times a jitter of 1.5 at most, so that two silent calls in a row fit into it. Below 5 ms
  // this would be a busy loop; beyond 2 s of grace nothing is gained.
  Micros sixteenth = std::clamp(drain_grace / 16, 5 * kMillisecond, kSecond / 8);
  WatchTiming t;
  t.wait = 6 * sixteenth;
  t.response_timeout = t.immediate_response_timeout = 3 * sixteenth;
  t.retry_delay = sixteenth;
  t.max_retry_delay = t.retry_delay;
  // An agent answers at once, or is silent because discovery is down.
  t.max_startup_wait = kSecond;
  t.pushed = true;
  return t;
}

}  // namespace violetusher::core::membership
