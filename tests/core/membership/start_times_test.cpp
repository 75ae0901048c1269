// Start times of servers that another clock reports.
#include "core/membership/start_times.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000, kHour = 3600 * kSecond, kNow = 1'800'000'000 * kSecond;

TEST(StartTimes, ReturnsListedTimesWhileClocksAgree) {
  StartTimes times;
  EXPECT_EQ(times.start_of("a", 5), 5);  // before the first response
  times.on_response(kNow, kNow + kSecond);
  EXPECT_EQ(times.start_of("a", kNow - 10 * kSecond), kNow - 10 * kSecond);
  EXPECT_EQ(times.start_of("b", 0), 0);
}

TEST(StartTimes, AFutureStartCountsAsNow) {
  StartTimes times;
  times.on_response(kNow, 0);
  EXPECT_EQ(times.start_of("a", kNow + kHour), kNow);
  times.on_response(kNow + 5 * kSecond, 0);
  EXPECT_EQ(times.start_of("a", kNow + kHour), kNow);  // and does not change
}

TEST(StartTimes, AClockOffsetDoesNotSkipSlowStart) {
  StartTimes times;
  times.on_response(kNow, kNow - kHour);  // the router's clock is an hour ahead of discovery's
  EXPECT_EQ(times.start_of("cold", kNow - kHour - 2 * kSecond), kNow - 2 * kSecond);
  EXPECT_EQ(times.start_of("old", kNow - 3 * kHour), kNow - 2 * kHour);
}

TEST(StartTimes, ANewlyListedServerWithAnOldStartGetsSlowStart) {
  StartTimes times;
  times.on_response(kNow, 0);
  EXPECT_EQ(times.start_of("first", kNow - kHour),
            kNow - kHour);  // all servers of the first list may be old
  times.on_response(kNow + 10 * kSecond, 0);
  EXPECT_EQ(times.start_of("joins", kNow + 10 * kSecond - kHour), kNow + 10 * kSecond);
  EXPECT_EQ(times.start_of("late", kNow - 20 * kSecond), kNow - 20 * kSecond);
  EXPECT_EQ(times.start_of("first", kNow - kHour), kNow - kHour);
  times.on_response(kNow + 20 * kSecond, 0);
  EXPECT_EQ(times.start_of("first", kNow + 20 * kSecond - kHour),
            kNow + 20 * kSecond);  // restarted
}

TEST(StartTimes, ForgetsServersThatAreNoLongerListed) {
  StartTimes times;
  times.on_response(kNow, 0);
  times.start_of("a", kNow + kHour);
  times.forget_unused();
  times.on_response(kNow + kSecond, 0);
  EXPECT_EQ(times.start_of("a", kNow + kHour), kNow);  // used since
  times.forget_unused();
  times.forget_unused();
  times.on_response(kNow + 2 * kSecond, 0);
  EXPECT_EQ(times.start_of("a", kNow + kHour), kNow + 2 * kSecond);
}

}  // namespace
}  // namespace violetusher::core::membership
