// The choice of routers that hold a summary: few, in other zones, spread over the fleet, and
// replaced while they do not answer.
#include "core/audit/summary_replication.hpp"

#include <gtest/gtest.h>

#include <set>

namespace violetusher::core::audit {
namespace {

constexpr Micros kS = 1'000'000;

std::map<std::string, std::string> fleet(int routers, int zones) {
  std::map<std::string, std::string> out;
  for (int r = 0; r < routers; ++r) out["r" + std::to_string(r)] = "h" + std::to_string(r % zones);
  return out;
}

std::vector<std::string> next(SummaryReplication& w, Micros& now) {
  while (true) {
    auto whom = w.next_targets(now);
    if (!whom.empty()) return whom;
    now += 20'000;
  }
}

TEST(SummaryReplication, TargetsAreInOtherZonesAndStable) {
  auto peers = fleet(9, 3);
  SummaryReplication w("r0", "h0", peers, 2);
  Micros now = 5 * kS;
  auto first = next(w, now);
  ASSERT_EQ(first.size(), 2u);
  std::set<std::string> zones{peers[first[0]], peers[first[1]]};
  EXPECT_EQ(zones, (std::set<std::string>{"h1", "h2"}));
  for (int k = 0; k < 50; ++k) {
    for (const auto& name : first) w.acknowledge(name);
    EXPECT_EQ(next(w, now), first);
  }
  // With a single zone the targets are in the same one; without peers there are none.
  SummaryReplication alone("r0", "h0", fleet(3, 1), 2);
  EXPECT_EQ(next(alone, now).size(), 2u);
  SummaryReplication only("r0", "h0", fleet(1, 1), 2);
  for (int k = 0; k < 1000; ++k) EXPECT_TRUE(only.next_targets(now += 20'000).empty());
}

TEST(SummaryReplication, SilentTargetIsReplacedAndReturns) {
  SummaryReplication w("r0", "h0", fleet(9, 3), 2);
  Micros now = 0;
  auto first = next(w, now);
  std::set<std::string> later;
  Micros begun = now;
  while (now - begun < 20 * kS) {
    auto whom = next(w, now);
    EXPECT_EQ(whom.size(), 2u);
    for (const auto& name : whom)
      if (name != first[0]) w.acknowledge(name);
    if (now - begun > 10 * kS) later.insert(whom.begin(), whom.end());
  }
  EXPECT_EQ(later.count(first[0]), 0u);
  EXPECT_EQ(later.count(first[1]), 1u);
  while (now - begun < 60 * kS) {
    for (const auto& name : next(w, now)) w.acknowledge(name);
  }
  EXPECT_EQ(next(w, now), first);
}

/// A router that is cut off keeps trying and does not send more than before.
TEST(SummaryReplication, KeepsSendingAtTheSameRateIfNoTargetAnswers) {
  SummaryReplication w("r0", "h0", fleet(5, 3), 2);
  Micros now = 0;
  int sent = 0;
  for (; now < 120 * kS; now += 20'000) sent += static_cast<int>(w.next_targets(now).size());
  EXPECT_NEAR(sent, 120, 4);
}

/// After a stall of a minute the missed summaries are not sent in a burst.
TEST(SummaryReplication, NoBurstAfterAStall) {
  SummaryReplication w("r0", "h0", fleet(5, 3), 2);
  Micros now = 0;
  next(w, now);
  now += 60 * kS;
  int sent = 0;
  for (Micros end = now + 10 * kS; now < end; now += 20'000)
    sent += static_cast<int>(w.next_targets(now).size());
  EXPECT_LE(sent, 14);
}

/// 350 routers: bounds the senders per router and the summaries sent per tenth of a second.
TEST(SummaryReplication, LoadIsSpreadOverALargeFleet) {
  constexpr int kRouters = 350;
  auto peers = fleet(kRouters, 4);
  std::vector<SummaryReplication> all;
  for (const auto& [name, zone] : peers) all.emplace_back(name, zone, peers, 2);
  std::map<std::string, std::set<std::size_t>> holders;
  std::map<Micros, int> tenths;
  for (Micros now = 0; now < 10 * kS; now += 20'000)
    for (std::size_t r = 0; r < all.size(); ++r)
      for (const auto& name : all[r].next_targets(now)) {
        holders[name].insert(r);
        all[r].acknowledge(name);
        if (now >= 4 * kS) ++tenths[now / (kS / 10)];
      }
  std::size_t most = 0;
  for (const auto& [name, from] : holders) most = std::max(most, from.size());
  EXPECT_LE(most, 12u);  // 2 on average; kMaxStored is 64
  int peak = 0;
  for (const auto& [at, count] : tenths) peak = std::max(peak, count);
  EXPECT_LE(peak, 80);  // 35 on average
}

TEST(SummaryReplication, StoresTheLatestOfEachIdentityWithinBounds) {
  SummaryReplication w("r0", "h0", fleet(200, 3), 2);
  EXPECT_TRUE(w.store("r1", 7, 2, {{"n", 2}}, kS));
  EXPECT_FALSE(w.store("r1", 7, 1, {{"n", 1}}, 2 * kS)) << "delayed";
  EXPECT_FALSE(w.store("r1", 7, 3, {{"n", std::string(20'000, 'x')}}, 2 * kS));
  EXPECT_EQ(w.stored(3 * kS)["now"]["r1"]["said"]["n"], 2);
  EXPECT_EQ(w.stored(3 * kS)["now"]["r1"]["age_us"], 2 * kS);
  EXPECT_TRUE(w.store("r1", 8, 1, {{"n", 9}}, 4 * kS)) << "a new disk numbers from the start";
  Json held = w.stored(5 * kS);
  EXPECT_EQ(held["now"]["r1"]["said"]["n"], 9);
  EXPECT_EQ(held["former"]["r1"]["said"]["n"], 2);
  EXPECT_EQ(held["former"]["r1"]["age_us"], 4 * kS);
  for (int r = 2; r < 200; ++r)
    for (std::uint64_t life : {1, 2}) w.store("r" + std::to_string(r), life, 1, {{"n", r}}, r * kS);
  held = w.stored(300 * kS);
  EXPECT_EQ(held["now"].size(), SummaryReplication::kMaxStored);
  EXPECT_EQ(held["former"].size(), SummaryReplication::kMaxFormer);
  EXPECT_TRUE(held["now"].contains("r199"));
  EXPECT_FALSE(held["now"].contains("r1"));
}

}  // namespace
}  // namespace violetusher::core::audit
