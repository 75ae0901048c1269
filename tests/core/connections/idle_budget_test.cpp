// Idle connections of many routers to one cache server, on a simulated clock.
#include "core/connections/idle_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace violetusher::core {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStep = kSecond / 50;  // interval of the router's sweep
constexpr Micros kKeepalive = 15 * kSecond;

/// The connections of one router to one cache server; each request occupies one for `busy`, an idle
/// one if there is one.
struct Router {
  IdleBudget budget;
  std::vector<Micros> idle_since;
  std::vector<Micros> busy_until;
  int dials = 0, requests = 0;
  double idle_time = 0;  // connection-seconds

  std::size_t open() const { return idle_since.size() + busy_until.size(); }

  void step(Micros now, const ConnectionShare& share) {
    idle_time += static_cast<double>(idle_since.size()) * kStep / kSecond;
    for (std::size_t k = busy_until.size(); k-- > 0;)
      if (busy_until[k] <= now) {
        idle_since.push_back(now);
        busy_until.erase(busy_until.begin() + static_cast<std::ptrdiff_t>(k));
      }
    budget.advance(now, share, open());
    std::size_t count = budget.to_close(share, open(), idle_since.size());
    while (!idle_since.empty() && (count > 0 || now - idle_since.front() > share.max_idle_time)) {
      idle_since.erase(idle_since.begin());
      count -= count > 0;
    }
  }
  void request(Micros now, const ConnectionShare& share, Micros busy = 40'000) {
    ++requests;
    if (!idle_since.empty()) {
      idle_since.pop_back();
    } else if (open() < share.max_open) {
      ++dials;
    } else {
      return;  // queued behind another request
    }
    busy_until.push_back(now + busy);
  }
};

struct Fleet {
  double mean_idle = 0;  // at the cache server, in total
  double most_open = 0;
  double handshakes = 0;  // per request
};

/// Simulates a minute of `rate` requests a second to one cache server from each of `routers`.
Fleet simulate(int routers, double rate, unsigned seed = 5) {
  ConnectionShare share = connection_share(routers, kKeepalive);
  std::vector<Router> all(static_cast<std::size_t>(routers));
  std::mt19937 random(seed);
  std::poisson_distribution<int> arrivals(rate * kStep / kSecond);
  Fleet f;
  for (Micros now = 0; now < 60 * kSecond; now += kStep) {
    std::size_t open = 0;
    for (Router& r : all) {
      r.step(now, share);
      for (int k = arrivals(random); k > 0; --k) r.request(now, share);
      open += r.open();
    }
    f.most_open = std::max(f.most_open, static_cast<double>(open));
  }
  double dials = 0, requests = 0;
  for (Router& r : all) f.mean_idle += r.idle_time / 60, dials += r.dials, requests += r.requests;
  f.handshakes = dials / requests;
  return f;
}

TEST(IdleBudget, IdleOnesOfManyRoutersLeaveRoomInTheServersTable) {
  // One request of each router every 9 s; then a popular cache server; then all at once.
  for (double rate : {0.11, 0.5, 3.0}) {
    Fleet f = simulate(300, rate);
    EXPECT_LT(f.mean_idle, 0.6 * kAssumedTableSize) << rate;
  }
  EXPECT_LT(simulate(300, 0.11).most_open, kAssumedTableSize);
  EXPECT_LT(simulate(100, 0.25).most_open, kAssumedTableSize);
}

TEST(IdleBudget, IdleOnesOfAFewBusyRoutersAreKept) {
  // 1,800 requests a second from two routers to ten cache servers, and from more routers.
  EXPECT_LT(simulate(2, 90).handshakes, 0.002);
  EXPECT_LT(simulate(6, 30).handshakes, 0.02);
  EXPECT_LT(simulate(12, 15).handshakes, 0.06);
}

/// Over any time the idle connections of one router stay within the documented bound, whatever its
/// traffic and however long requests take.
RC_GTEST_PROP(IdleBudget, NeverSpendsMoreThanItsShare, ()) {
  int routers = *rc::gen::inRange(1, 2000);
  ConnectionShare share =
      connection_share(routers, *rc::gen::inRange<Micros>(kSecond, 60 * kSecond));
  auto gaps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 200));
  auto busy = *rc::gen::inRange(1, 2000);
  Router r;
  Micros now = 0;
  std::vector<double> spent{0};
  for (int gap : gaps) {
    for (int k = 0; k <= gap; ++k) {
      now += kStep;
      r.step(now, share);
      spent.push_back(r.idle_time);
    }
    r.request(now, share, busy * 1000);
  }
  double step = static_cast<double>(kStep) / kSecond;
  double window = static_cast<double>(share.max_idle_time) / kSecond;
  for (std::size_t from = 0; from < spent.size(); from += 7)
    for (std::size_t to = from; to < spent.size(); to += 11) {
      double time = static_cast<double>(to - from) * step;
      // Each request may be one sweep late.
      double bound =
          share.mean_idle * (time + window) + (static_cast<double>(gaps.size()) + 1) * 2 * step;
      RC_ASSERT(spent[to] - spent[from] <= bound + 1e-6);
    }
}

TEST(IdleBudget, ShrinksOnARefusedConnectionAndRecovers) {
  ConnectionShare share = connection_share(100, kKeepalive);
  IdleBudget budget;
  budget.advance(0, share, 0);
  budget.advance(20 * kSecond, share, 0);
  EXPECT_EQ(budget.to_close(share, 1, 1), 0u);
  budget.on_refused();
  EXPECT_EQ(budget.to_close(share, 1, 1), 1u);
  // With half the share the largest credit is halved too, and recovers later.
  auto lasts = [&](Micros from) {
    Micros now = from;
    while (budget.to_close(share, 1, 1) == 0) budget.advance(now += kStep, share, 1);
    return now - from;
  };
  budget.advance(29 * kSecond, share, 0);
  Micros later = lasts(29 * kSecond);
  EXPECT_GT(later, share.max_idle_time / 5);
  for (int k = 0; k < 12; ++k) budget.on_refused();
  budget.advance(60 * kSecond, share, 0);
  EXPECT_LT(lasts(60 * kSecond), later / 2);
  for (Micros now = 61 * kSecond; now <= 200 * kSecond; now += kSecond)
    budget.advance(now, share, 0);
  EXPECT_GE(lasts(200 * kSecond), later);
}

/// Guards against credit that grows without bound in quiet times and fills the tables afterwards.
TEST(IdleBudget, CreditIsBoundedByOneIdleTime) {
  for (int routers : {100, 300}) {
    ConnectionShare share = connection_share(routers, kKeepalive);
    IdleBudget budget;
    budget.advance(0, share, 0);
    Micros now = 3600 * kSecond;
    budget.advance(now, share, 0);
    while (budget.to_close(share, 1, 1) == 0) budget.advance(now += kStep, share, 1);
    double lasts =
        share.mean_idle * static_cast<double>(share.max_idle_time) / (1 - share.mean_idle);
    EXPECT_NEAR(static_cast<double>(now - 3600 * kSecond), lasts, kStep) << routers;
  }
}

TEST(IdleBudget, KeepsAConnectionIfTheShareIsAtLeastOne) {
  ConnectionShare share = connection_share(10, kKeepalive);
  IdleBudget budget;
  for (Micros now = 0; now < 100 * kSecond; now += kStep) {
    budget.advance(now, share, 2);
    EXPECT_EQ(budget.to_close(share, 2, 2), 0u);
  }
}

TEST(IdleBudget, ClosesIdleConnectionsOnlyAndNoMoreThanNeeded) {
  ConnectionShare share = connection_share(10, kKeepalive);  // a share of three connections
  IdleBudget budget;
  EXPECT_EQ(budget.to_close(share, 7, 2), 2u);
  EXPECT_EQ(budget.to_close(share, 5, 5), 2u);
  EXPECT_EQ(budget.to_close(share, 3, 3), 0u);
  EXPECT_EQ(budget.to_close(share, 9, 0), 0u);
}

}  // namespace
}  // namespace violetusher::core
