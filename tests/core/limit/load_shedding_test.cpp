// Load shedding by class worth, and budgets of failing pools, on a simulated clock.
#include "core/limit/load_shedding.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>

#include "core/route/traffic_policy.hpp"

namespace violetusher::core {
namespace {

config::Model model_of(const std::string& text) {
  auto compiled =
      config::compile("f", "version 1;\n" + text, [](const std::string&, const std::string&) {
        return config::Loaded{"", "", "none"};
      });
  for (const auto& d : compiled.diagnostics.list()) ADD_FAILURE() << compiled.sources.show(d);
  return compiled.model;
}

struct AllLive final : TrafficPolicy::PoolState {
  bool has_live(const std::string&) const override { return true; }
  bool shares_deduplication(const std::string&) const override { return true; }
};

struct Count {
  double asked = 0, admitted = 0;
};

/// Simulates ten seconds of one request a millisecond for random `types`, each held for `held`.
std::map<std::string, Count> simulate(const std::string& file,
                                      const std::vector<std::string>& types, Micros held,
                                      unsigned seed) {
  TrafficPolicy traffic(model_of(file), nullptr);
  AllLive pools;
  std::mt19937 random(seed);
  std::map<std::string, Count> counts;
  std::deque<std::pair<Micros, TrafficPolicy::Ticket>> open;
  for (Micros now = 1'000'000; now < 11'000'000; now += 500 + random() % 1000) {
    while (!open.empty() && open.front().first <= now) {
      traffic.end(now, open.front().second, false);
      open.pop_front();
    }
    const std::string& type = types[random() % types.size()];
    auto d = traffic.admit(now, {"main", "t", type, "k"}, false, pools);
    ++counts[type].asked;
    if (!d.admitted) continue;
    ++counts[type].admitted;
    open.emplace_back(now + held, std::move(d.ticket));
  }
  return counts;
}

std::string file(int in_flight, int gold, int lead) {
  return "class gold { attempts = 1; worth = " + std::to_string(gold) +
         "; }\nclass lead { attempts = 1; worth = " + std::to_string(lead) +
         "; }\nlimit l { in_flight = " + std::to_string(in_flight) +
         "; }\npool p { limit = l; }\nroute r { pool = p; }\n";
}

TEST(LoadShedder, TheLowerClassIsShedButNeverShutOut) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    // 1,000 a second of 20 ms each need 20 in flight where 8 are allowed; gold alone needs 10.
    auto counts = simulate(file(8, 5, 1), {"gold", "lead"}, 20'000, seed);
    double gold = counts["gold"].admitted, lead = counts["lead"].admitted;
    EXPECT_GT(gold / (gold + lead), 0.85) << seed;
    EXPECT_GT(lead / (gold + lead), 0.02)
        << seed;  // kMinAdmittedFraction, less what the limit refuses
    // With equal worth each gets about half.
    auto even = simulate(file(8, 5, 5), {"gold", "lead"}, 20'000, seed);
    EXPECT_NEAR(even["gold"].admitted / (even["gold"].admitted + even["lead"].admitted), 0.5, 0.05);
    // Shedding does not lower the total.
    EXPECT_GT(gold + lead, 0.9 * (even["gold"].admitted + even["lead"].admitted)) << seed;
  }
}

TEST(LoadShedder, NothingIsShedWhileThereIsCapacity) {
  auto counts = simulate(file(100, 5, 1), {"gold", "lead", "other"}, 20'000, 3);
  for (const auto& [type, c] : counts) EXPECT_EQ(c.admitted, c.asked) << type;
}

TEST(LoadShedder, AClassLimitShedsNoOtherClass) {
  auto counts = simulate(
      "limit own { in_flight = 1; }\nlimit l { in_flight = 100; }\n"
      "class gold { attempts = 1; worth = 5; limit = own; }\nclass lead { attempts = 1; }\n"
      "pool p { limit = l; }\nroute r { pool = p; }\n",
      {"gold", "lead"}, 20'000, 4);
  EXPECT_LT(counts["gold"].admitted, counts["gold"].asked / 2);
  EXPECT_EQ(counts["lead"].admitted, counts["lead"].asked);
}

TEST(LoadShedder, SheddingEndsSoonAfterTheLastRefusal) {
  LoadShedder order({{"gold", 5}, {"lead", 1}});
  for (int k = 0; k < 100; ++k) order.on_answer(1'000'000, "gold", true);
  order.on_answer(1'000'000, "gold", false);
  EXPECT_TRUE(order.may_request(1'000'000, "lead"));  // it is below its minimum fraction
  for (int k = 0; k < 10; ++k)
    order.on_answer(1'000'000, "lead", true);  // above its minimum fraction
  EXPECT_FALSE(order.may_request(1'000'000, "lead"));
  EXPECT_FALSE(order.may_request(1'000'000 + LoadShedder::kShedDuration - 1, "lead"));
  EXPECT_TRUE(order.may_request(1'000'000 + LoadShedder::kShedDuration, "lead"));
  EXPECT_TRUE(order.may_request(1'000'000, "gold"));
  for (int k = 0; k < 10; ++k) order.on_answer(1'000'000, "not named", true);
  EXPECT_FALSE(
      order.may_request(1'100'000, "nor this one"));  // unnamed classes share one entry, of worth 1
}

RC_GTEST_PROP(PoolFailureRate, FactorStaysInRangeAndFallsWithFailures, ()) {
  auto ends = *rc::gen::container<std::vector<bool>>(400, rc::gen::arbitrary<bool>());
  PoolFailureRate failure_rate;
  double failed = 0;
  Micros now = 5'000'000;
  for (bool f : ends) failure_rate.on_end(now, f), failed += f;
  double factor = failure_rate.factor(now), part = failed / 400;
  RC_ASSERT(factor >= PoolFailureRate::kMinFactor && factor <= 1);
  if (part <= PoolFailureRate::kToleratedFraction) RC_ASSERT(factor == 1);
  if (part >= PoolFailureRate::kSevereFraction)
    RC_ASSERT(factor < PoolFailureRate::kMinFactor + 1e-9);
  RC_ASSERT(failure_rate.factor(now + 3'000'000) == 1);  // no recent data
}

TEST(TrafficPolicy, ABudgetIsTightenedWhileItsPoolFailsAndRecovers) {
  auto retries = [](bool fails) {
    TrafficPolicy traffic(model_of("budget b { retries = 50%; }\npool p { budget = b; }\n"
                                   "route r { pool = p; }\n"),
                          nullptr);
    AllLive pools;
    std::map<int, int> allowed;  // by second
    for (int k = 0; k < 2000; ++k) {
      Micros now = 1'000'000 + k * 10'000;  // 100 a second for 20 s, failing for the first ten
      auto d = traffic.admit(now, {"main", "t", "c", "k"}, false, pools);
      EXPECT_TRUE(d.admitted);
      traffic.on_first_attempt(now, d.ticket);
      traffic.on_attempt_end(now, d.ticket, fails && k < 1000);
      allowed[k / 1000] += traffic.may_retry(now, d.ticket, false);
      traffic.end(now, d.ticket, false);
    }
    return allowed;
  };
  auto good = retries(false), bad = retries(true);
  EXPECT_NEAR(good[0], 500, 5);
  EXPECT_NEAR(bad[0], 50, 10);  // kMinFactor of it
  EXPECT_GT(bad[1], 400);
}

}  // namespace
}  // namespace violetusher::core
