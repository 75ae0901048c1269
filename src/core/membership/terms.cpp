#include "terms.hpp"

#include <algorithm>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000, kMillisecond = 1000;

}  // namespace

Terms terms_asked() {
  Terms t;
  t.wait = 30 * kSecond;
  // Discovery answers or fails what it can't do within seconds, so silence means that it can't be
  // reached.
  t.limit = 2 * kSecond;
  // About as many calls as one watch of 18 s after another makes. What a silent one misses counts
  // as told at 32 s: 12 s are left for the call that makes up for it to wait for its turn, and to
  // be tried again.
  t.renew_from = 16 * kSecond;
  t.renew_to = 20 * kSecond;
  // Longer than discovery lets a call wait for its turn before it fails it.
  t.overlap = 3 * kSecond + kSecond / 2;
  t.pause = kSecond;
  t.pause_most = 4 * kSecond;
  return t;
}

Terms terms_pushed(Micros drain_grace) {
  // Of the grace six sixteenths in a watch, three for its answer, two before the next call, times
  // 1.5 at most: a quarter is left. Under 5 ms it would be a busy loop, beyond 2 s of grace nothing
  // is gained.
  Micros sixteenth = std::clamp(drain_grace / 16, 5 * kMillisecond, kSecond / 8);
  Terms t;
  t.wait = 6 * sixteenth;
  t.limit = 3 * sixteenth;
  t.pause = 2 * sixteenth;
  t.pause_most = t.pause;
  t.insists = true;
  return t;
}

}  // namespace violetusher::core::membership
