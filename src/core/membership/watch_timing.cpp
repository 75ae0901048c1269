#include "watch_timing.hpp"

#include <algorithm>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000, kMillisecond = 1000;

}  // namespace

WatchTiming polled_timing() {
  WatchTiming t;
  t.wait = 30 * kSecond;
  // Discovery answers a watch whose wait is over at once, except for calls queued before it. What
  // the watch missed counts as notified 2 s later, and an immediate call has to fit in between.
  t.response_timeout = kSecond;
  // Longer than the 3 s for which discovery queues a call before it fails it. A call that is
  // cancelled in the queue loses its place but is still processed and delays others: with a timeout
  // of 2 s, 32 routers had their first list after 16 to 20 s where 8 s were enough.
  t.immediate_response_timeout = 3 * kSecond + kSecond / 2;
  // About as many calls as consecutive watches of 18 s make. What a silent watch misses counts as
  // notified at 32 s, which leaves 12 s for the call that makes up for it to be queued and retried.
  t.min_renewal_age = 16 * kSecond;
  t.max_renewal_age = 20 * kSecond;
  // The 6 s after a failure have to fit three more tries, or two that are queued: no exponential
  // backoff. Failed calls cost discovery no work.
  t.retry_delay = kSecond;
  t.max_retry_delay = t.retry_delay;
  return t;
}

WatchTiming pushed_timing(Micros drain_grace) {
  // In sixteenths of the grace: six for the watch, three for its response, two before the next
  // call, times a jitter of 1.5 at most, which leaves a quarter. Below 5 ms this would be a busy
  // loop; beyond 2 s of grace nothing is gained.
  Micros sixteenth = std::clamp(drain_grace / 16, 5 * kMillisecond, kSecond / 8);
  WatchTiming t;
  t.wait = 6 * sixteenth;
  t.response_timeout = t.immediate_response_timeout = 3 * sixteenth;
  t.retry_delay = 2 * sixteenth;
  t.max_retry_delay = t.retry_delay;
  t.always_retries = true;
  return t;
}

}  // namespace violetusher::core::membership
