// Starts of servers by a clock that is another's.
#include "core/membership/start_times.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000, kHour = 3600 * kSecond, kNow = 1'800'000'000 * kSecond;

TEST(StartTimes, GivesWhatItIsToldWhileClocksAgree) {
  StartTimes times;
  EXPECT_EQ(times.of("a", 5), 5);  // nothing was heard yet
  times.heard(kNow, kNow + kSecond);
  EXPECT_EQ(times.of("a", kNow - 10 * kSecond), kNow - 10 * kSecond);
  EXPECT_EQ(times.of("b", 0), 0);
}

TEST(StartTimes, AStartThatIsStillToComeIsNow) {
  StartTimes times;
  times.heard(kNow, 0);
  EXPECT_EQ(times.of("a", kNow + kHour), kNow);
  times.heard(kNow + 5 * kSecond, 0);
  EXPECT_EQ(times.of("a", kNow + kHour), kNow);  // and stays so
}

TEST(StartTimes, AClockThatWasSteppedBeforeTheStartMakesNoColdServerOld) {
  StartTimes times;
  times.heard(kNow, kNow - kHour);  // ours is an hour ahead of discovery's
  EXPECT_EQ(times.of("cold", kNow - kHour - 2 * kSecond), kNow - 2 * kSecond);
  EXPECT_EQ(times.of("old", kNow - 3 * kHour), kNow - 2 * kHour);
}

TEST(StartTimes, AServerNewOnTheListWithAnOldStartCountsAsCold) {
  StartTimes times;
  times.heard(kNow, 0);
  EXPECT_EQ(times.of("first", kNow - kHour), kNow - kHour);  // of the first list all may be old
  times.heard(kNow + 10 * kSecond, 0);
  EXPECT_EQ(times.of("joins", kNow + 10 * kSecond - kHour), kNow + 10 * kSecond);
  EXPECT_EQ(times.of("late", kNow - 20 * kSecond), kNow - 20 * kSecond);
  EXPECT_EQ(times.of("first", kNow - kHour), kNow - kHour);
  times.heard(kNow + 20 * kSecond, 0);
  EXPECT_EQ(times.of("first", kNow + 20 * kSecond - kHour), kNow + 20 * kSecond);  // restarted
}

TEST(StartTimes, ForgetsWhatIsNotListedAnyMore) {
  StartTimes times;
  times.heard(kNow, 0);
  times.of("a", kNow + kHour);
  times.forget_unasked();
  times.heard(kNow + kSecond, 0);
  EXPECT_EQ(times.of("a", kNow + kHour), kNow);  // asked for since
  times.forget_unasked();
  times.forget_unasked();
  times.heard(kNow + 2 * kSecond, 0);
  EXPECT_EQ(times.of("a", kNow + kHour), kNow + 2 * kSecond);
}

}  // namespace
}  // namespace violetusher::core::membership
