// Limiters, budgets, shares and failover on a simulated clock.
#include "core/limit/limits.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace violetusher::core {
namespace {

/// Over any window at most rate * window + burst tokens pass.
RC_GTEST_PROP(TokenBucket, NeverPassesMoreThanRateAndBurst, ()) {
  double rate = *rc::gen::inRange(1, 2000), burst = *rc::gen::inRange(1, 50);
  auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-2000, 20'000));
  TokenBucket bucket(rate, burst);
  std::vector<Micros> passed;
  Micros now = 1'000'000, latest = 0;
  for (int gap : gaps) {
    now += gap;  // the clock may go back, which adds no tokens
    latest = std::max(latest, now);
    for (int k = 0; k < 3; ++k)
      if (bucket.try_consume(now)) passed.push_back(latest);
  }
  for (std::size_t a = 0; a < passed.size(); ++a)
    for (std::size_t b = a; b < passed.size(); ++b) {
      double window = static_cast<double>(passed[b] - passed[a]) / 1e6;
      RC_ASSERT(static_cast<double>(b - a + 1) <= rate * window + burst + 1e-6);
    }
}

RC_GTEST_PROP(TokenBucket, WaitPredictsWhenATokenIsAvailable, ()) {
  double rate = *rc::gen::inRange(1, 5000);
  TokenBucket bucket(rate, 3);
  Micros now = 77;
  for (int k = 0; k < 50; ++k) {
    Micros wait = bucket.wait(now);
    if (wait > 1) RC_ASSERT(!bucket.try_consume(now + wait - 2));
    RC_ASSERT(bucket.try_consume(now + wait));
    now += wait;
  }
}

TEST(Limiter, BoundsRateAndRequestsInFlightAndGivesRetryAfter) {
  Limiter limit({.rate = 10, .burst = 2, .in_flight = 3, .retry_after = 50'000});
  EXPECT_TRUE(limit.admit(0).admitted);
  EXPECT_TRUE(limit.admit(0).admitted);
  auto refused = limit.admit(0);
  EXPECT_FALSE(refused.admitted);
  EXPECT_EQ(refused.retry_after, 100'000);
  EXPECT_TRUE(limit.admit(100'000).admitted);
  EXPECT_FALSE(limit.admit(1'000'000).admitted);  // three in flight
  limit.release();
  EXPECT_TRUE(limit.admit(1'000'000).admitted);
}

TEST(Limiter, ALimitLoweredBelowTheRequestsInFlightAdmitsNone) {
  Limiter limit({.in_flight = 10});
  for (int k = 0; k < 8; ++k) ASSERT_TRUE(limit.admit(0).admitted);
  limit.change({.in_flight = 5});
  for (int k = 0; k < 3; ++k) {
    EXPECT_FALSE(limit.admit(0).admitted);
    limit.release();
  }
  EXPECT_FALSE(limit.admit(0).admitted);
  limit.release();
  EXPECT_TRUE(limit.admit(0).admitted);
  EXPECT_EQ(limit.in_flight(), 5);
}

TEST(Limiter, AChangeDoesNotRefillTheBurst) {
  Limiter limit({.rate = 1, .burst = 5});
  for (int k = 0; k < 5; ++k) ASSERT_TRUE(limit.admit(0).admitted);
  limit.change({.rate = 2, .burst = 5});
  EXPECT_FALSE(limit.admit(0).admitted);
  limit.change({.rate = 2, .burst = 6});
  EXPECT_TRUE(limit.admit(0).admitted);
  EXPECT_FALSE(limit.admit(0).admitted);
}

TEST(Limiter, SeveralLimitersAdmitAllOrNone) {
  Limiter a({.rate = 1, .burst = 5, .in_flight = 5}), b({.in_flight = 1});
  EXPECT_TRUE(admit_all(0, std::vector<Limiter*>{&a, &b}).admitted);
  for (int k = 0; k < 10; ++k) EXPECT_FALSE(admit_all(0, std::vector<Limiter*>{&a, &b}).admitted);
  EXPECT_EQ(a.in_flight(), 1);  // requests that b refused consumed nothing of a
  b.release();
  int passed = 0;
  for (int k = 0; k < 10; ++k) passed += admit_all(0, std::vector<Limiter*>{&a}).admitted;
  EXPECT_EQ(passed, 4);
}

TEST(RetryBudget, IsAFractionOfFirstAttemptsWithAMinimum) {
  RetryBudget budget(0.1, 1);
  int minimum = 0;
  while (budget.try_consume(0)) ++minimum;
  EXPECT_EQ(minimum, 10);  // one a second over ten seconds
  for (int k = 0; k < 200; ++k) budget.on_first_attempt(1'000'000);
  int more = 0;
  while (budget.try_consume(1'000'000)) ++more;
  EXPECT_EQ(more, 20);
  budget.tighten(0.5);
  EXPECT_FALSE(budget.try_consume(5'000'000));
  budget.tighten(1);
  EXPECT_FALSE(budget.try_consume(5'000'000));
  EXPECT_TRUE(budget.try_consume(10'500'000));  // the first ten are outside the window
}

/// Under contention each tenant has its share, whoever sends more requests.
TEST(FairShares, HoldUnderContentionWithinTwoPercent) {
  for (int noisy : {1, 10}) {
    FairShares shares(100, {{"selam", 0.56}, {"koket", 0.44}});
    std::mt19937_64 random(5);
    std::vector<std::string> inside;
    std::int64_t use[2] = {}, steps = 0;
    for (Micros now = 0; now < 20'000'000; now += 1000) {
      for (int k = 0; k < 40; ++k) {  // each requests more than its share
        std::string tenant = static_cast<int>(random() % static_cast<std::uint64_t>(1 + noisy)) == 0
                                 ? "selam"
                                 : "koket";
        if (shares.admit(now, tenant)) inside.push_back(tenant);
      }
      for (int k = 0; k < 2 && !inside.empty(); ++k) {
        std::swap(inside[random() % inside.size()], inside.back());
        shares.release(inside.back());
        inside.pop_back();
      }
      if (now < 5'000'000) continue;
      use[0] += shares.in_flight("selam"), use[1] += shares.in_flight("koket"), ++steps;
    }
    double part = static_cast<double>(use[0]) / static_cast<double>(use[0] + use[1]);
    EXPECT_NEAR(part, 0.56, 0.02) << noisy;
  }
}

TEST(FairShares, UnusedSharesAreLentAndReclaimed) {
  FairShares shares(10, {{"selam", 0.5}, {"koket", 0.5}});
  for (int k = 0; k < 10; ++k) EXPECT_TRUE(shares.admit(0, "selam"));
  EXPECT_FALSE(shares.admit(0, "koket"));  // all lent
  for (int k = 0; k < 5; ++k) {
    shares.release("selam");
    EXPECT_FALSE(shares.admit(1000, "selam"));  // it is above its share while the other is active
    EXPECT_TRUE(shares.admit(1000, "koket"));
  }
  EXPECT_EQ(shares.in_flight("selam"), 5);
  for (int k = 0; k < 5; ++k) shares.release("koket");
  EXPECT_FALSE(shares.admit(500'000, "selam"));
  EXPECT_TRUE(shares.admit(2'000'000, "selam"));  // the other has sent nothing for a second
}

TEST(FairShares, UnknownTenantsBorrowAndAreBounded) {
  FairShares shares(4, {{"selam", 1}});
  for (int k = 0; k < 4; ++k) EXPECT_TRUE(shares.admit(0, "x" + std::to_string(k)));
  EXPECT_FALSE(shares.admit(0, "y"));
  for (int k = 0; k < 6; ++k) shares.release("x" + std::to_string(k));
  EXPECT_TRUE(shares.admit(0, "selam"));
}

TEST(Fallback, HasHysteresisAndACap) {
  Fallback f({.activate_at = 0.5, .deactivate_at = 0.2, .max_fraction = 0.25});
  auto second = [&](Micros s, int refused, int of) {
    int crossed = 0, ends = 0;
    for (int k = 0; k < of; ++k) {
      Micros now = s * 1'000'000 + k * 1000;
      if (f.use_fallback(now, true, true))
        ++crossed;
      else
        f.on_end(now, ends++ * 37 % 100 < refused);
    }
    return crossed;
  };
  EXPECT_EQ(second(0, 40, 100), 0);
  EXPECT_EQ(second(1, 70, 100), 0);  // evaluated at the end of the second
  int crossed = second(2, 70, 100);
  EXPECT_GT(crossed, 20);
  EXPECT_LE(crossed, 75);
  EXPECT_TRUE(f.active());
  second(3, 30, 100);
  second(4, 30, 100);
  second(5, 30, 100);
  EXPECT_TRUE(f.active());  // unchanged between the two thresholds
  second(6, 0, 100);
  second(7, 0, 100);
  second(8, 0, 100);
  EXPECT_FALSE(f.active());
}

TEST(Fallback, NeverTakesARequestThatMayHaveRunInThePrimaryPool) {
  Fallback f({.max_fraction = 1});
  EXPECT_FALSE(f.use_fallback(0, false, false));
  EXPECT_TRUE(f.use_fallback(0, false, true));
}

}  // namespace
}  // namespace violetusher::core
