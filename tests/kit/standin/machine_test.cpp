// Tests the work model of a price cache with simulated time.
#include "kit/standin/machine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace violetusher::standin {
namespace {

TEST(Station, RejectsJobsBeyondItsQueueLimit) {
  Station s(2, 1);
  EXPECT_TRUE(s.offer(0, 1, 1000));
  EXPECT_TRUE(s.offer(0, 2, 2000));
  EXPECT_TRUE(s.offer(0, 3, 500));
  EXPECT_FALSE(s.offer(0, 4, 10));
  EXPECT_EQ(s.take_done(999).size(), 0u);
  EXPECT_EQ(s.take_done(1000), std::vector<Station::Job>{1});
  EXPECT_EQ(s.next(), 1500);
  EXPECT_EQ(s.take_done(5000), (std::vector<Station::Job>{3, 2}));
  EXPECT_DOUBLE_EQ(s.spent(5000), 3500);
  EXPECT_FALSE(s.next());
}

TEST(Station, PaceAppliesToJobsThatStartLater) {
  Station s(1, 4);
  s.set_pace(0.5);
  s.offer(0, 1, 1000);
  s.set_pace(2);
  s.offer(0, 2, 1000);
  EXPECT_EQ(s.take_done(2000), std::vector<Station::Job>{1});
  EXPECT_EQ(s.next(), 2500);
}

TEST(Station, DropsOnlyQueuedJobs) {
  Station s(1, 4);
  s.offer(0, 1, 1000);
  s.offer(0, 2, 1000);
  EXPECT_FALSE(s.drop(1));
  EXPECT_TRUE(s.drop(2));
  EXPECT_EQ(s.take_done(9000), std::vector<Station::Job>{1});
}

/// Guards against completion times that depend on when the caller polls for completed jobs.
RC_GTEST_PROP(Station, CompletionOrderIsIndependentOfPolling, ()) {
  auto works = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
  Station often(2, 1'000'000), once(2, 1'000'000);
  for (std::size_t k = 0; k < works.size(); ++k) {
    often.offer(0, k, works[k]);
    once.offer(0, k, works[k]);
  }
  std::vector<Station::Job> done;
  while (auto next = often.next())
    for (auto job : often.take_done(*next)) done.push_back(job);
  RC_ASSERT(done == once.take_done(1'000'000'000));
  RC_ASSERT(done.size() == works.size());
}

TEST(Store, EvictsLeastRecentlyUsedKeysBeyondItsMemory) {
  Store store(3 * (10 + 2 + 64), 0, kit::Draws(1), 0);
  for (const char* key : {"k1", "k2", "k3"}) store.keep(key, 10);
  EXPECT_TRUE(store.find("k1", 10));
  store.keep("k4", 10);
  EXPECT_FALSE(store.find("k2", 10));
  EXPECT_TRUE(store.find("k1", 10));
  EXPECT_LE(store.used(), 3u * 76);
}

TEST(Store, WarmStoreHoldsAFractionOfKeysUntilTheyAreDropped) {
  Store store(1u << 20, 0.8, kit::Draws(1), 3);
  int held = 0;
  for (int k = 0; k < 2000; ++k) held += store.find("b" + std::to_string(k), 10);
  EXPECT_NEAR(held, 1600, 90);
  int again = 0;
  for (int k = 0; k < 2000; ++k) {
    std::string key = "b" + std::to_string(k);
    store.drop(key);
    again += store.find(key, 10);
  }
  EXPECT_EQ(again, 0);
}

TEST(OverloadDetector, CollapsesAfterTheFullOverloadTime) {
  OverloadDetector tip(4, 1'500'000);
  bool fell = false;
  Micros at = 0;
  for (; at < 3'000'000 && !fell; at += 10'000)
    fell = tip.record(at, 50'000, 1);  // the work of 5 cores
  EXPECT_TRUE(fell);
  EXPECT_GE(at, 1'500'000);
  EXPECT_LE(at, 1'800'000);
}

TEST(OverloadDetector, APauseResetsTheOverloadTime) {
  OverloadDetector tip(4, 1'500'000);
  bool fell = false;
  for (Micros at = 0; at < 10'000'000; at += 10'000)
    if (at % 1'200'000 < 1'000'000) fell |= tip.record(at, 50'000, 1);
  EXPECT_FALSE(fell);
}

TEST(OverloadDetector, NeverCollapsesBelowTheMultiple) {
  OverloadDetector tip(4, 1'500'000);
  bool fell = false;
  for (Micros at = 0; at < 10'000'000; at += 10'000) fell |= tip.record(at, 39'000, 1);
  EXPECT_FALSE(fell);
}

TEST(IdempotencyCache, KeepsKeysForItsWindowOnly) {
  IdempotencyCache repeats(5'000'000);
  EXPECT_FALSE(repeats.find_or_store(0, "k", "r1"));
  EXPECT_EQ(repeats.find_or_store(5'000'000, "k", "r2"), "r1");
  EXPECT_FALSE(repeats.find_or_store(5'000'001, "k", "r3"));
  for (int k = 0; k < 1000; ++k)
    repeats.find_or_store(20'000'000 + k, "x" + std::to_string(k), "r");
  repeats.find_or_store(30'000'000, "y", "r");
  EXPECT_EQ(repeats.size(), 1u);  // expired keys are removed
}

TEST(Warmth, GrowsFromColdShareToFullCapacity) {
  FleetSpec spec;
  EXPECT_DOUBLE_EQ(capacity_fraction(spec, 0), 0.3);
  EXPECT_NEAR(capacity_fraction(spec, spec.warm_up / 2), 0.65, 1e-9);
  EXPECT_DOUBLE_EQ(capacity_fraction(spec, spec.warm_up), 1);
}

TEST(RequestId, RoundTripsAndRejectsOtherForms) {
  RequestName name;
  ASSERT_TRUE(read_request_id(request_id(123456, 3), name));
  EXPECT_EQ(name.request, 123456u);
  EXPECT_EQ(name.number, 3);
  for (const char* bad :
       {"", "q", "q1", "q1-", "q-1", "x1-1", "q1-1x", "q99999999999999999999999-1"})
    EXPECT_FALSE(read_request_id(bad, name)) << bad;
}

}  // namespace
}  // namespace violetusher::standin
