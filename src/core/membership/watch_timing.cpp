#include "watch_timing.hpp"

#include <algorithm>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000, kMillisecond = 1000;

}  // namespace

WatchTiming polled_timing() {
  WatchTiming t;
  t.wait = 30 * kSecond;
  // A watch whose wait is over is answered at once but for what is before it; what it missed counts
  // 2 s later, and a call that is answered at once has to fit in between.
  t.limit = kSecond;
  // Longer than discovery lets a call wait for its turn before it fails it: a call that is let go
  // in its queue has lost its place, is worked through all the same, and keeps others waiting. 32
  // routers that let go after 2 s had their first list after 16 to 20 s, where 8 s were enough.
  t.limit_at_once = 3 * kSecond + kSecond / 2;
  // About as many calls as one watch of 18 s after another makes. What a silent one misses counts
  // as told at 32 s: 12 s are left for the call that makes up for it to wait for its turn, and to
  // be tried again.
  t.renew_from = 16 * kSecond;
  t.renew_to = 20 * kSecond;
  // Of the 6 s after a failure three more tries have to fit in, or two that wait for their turn: no
  // doubling. Calls that fail are no work for discovery.
  t.pause = kSecond;
  t.pause_most = t.pause;
  return t;
}

WatchTiming pushed_timing(Micros drain_grace) {
  // Of the grace six sixteenths in a watch, three for its answer, two before the next call, times
  // 1.5 at most: a quarter is left. Under 5 ms it would be a busy loop, beyond 2 s of grace nothing
  // is gained.
  Micros sixteenth = std::clamp(drain_grace / 16, 5 * kMillisecond, kSecond / 8);
  WatchTiming t;
  t.wait = 6 * sixteenth;
  t.limit = t.limit_at_once = 3 * sixteenth;
  t.pause = 2 * sixteenth;
  t.pause_most = t.pause;
  t.always_retries = true;
  return t;
}

}  // namespace violetusher::core::membership
