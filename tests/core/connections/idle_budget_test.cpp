// What a fleet of routers keeps idle at one price cache, in made-up time.
#include "core/connections/idle_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace violetusher::core {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStep = kSecond / 50;  // as the router sweeps
constexpr Micros kKeepalive = 15 * kSecond;

/// The connections of one router to one price cache; each request takes one for `busy`, an idle one
/// where there is one.
struct Router {
  IdleBudget keep;
  std::vector<Micros> idle_since;
  std::vector<Micros> busy_until;
  int dials = 0, requests = 0;
  double idle_time = 0;  // connection-seconds

  std::size_t open() const { return idle_since.size() + busy_until.size(); }

  void step(Micros now, const ConnectionShare& part) {
    idle_time += static_cast<double>(idle_since.size()) * kStep / kSecond;
    for (std::size_t k = busy_until.size(); k-- > 0;)
      if (busy_until[k] <= now) {
        idle_since.push_back(now);
        busy_until.erase(busy_until.begin() + static_cast<std::ptrdiff_t>(k));
      }
    keep.advance(now, part, open());
    std::size_t count = keep.to_close(part, open(), idle_since.size());
    while (!idle_since.empty() && (count > 0 || now - idle_since.front() > part.max_idle_time)) {
      idle_since.erase(idle_since.begin());
      count -= count > 0;
    }
  }
  void request(Micros now, const ConnectionShare& part, Micros busy = 40'000) {
    ++requests;
    if (!idle_since.empty()) {
      idle_since.pop_back();
    } else if (open() < part.max_open) {
      ++dials;
    } else {
      return;  // behind another
    }
    busy_until.push_back(now + busy);
  }
};

struct Fleet {
  double mean_idle = 0;  // at the price cache, in all
  double most_open = 0;
  double handshakes = 0;  // a request
};

/// A minute of `rate` requests a second at one price cache, from each of `routers`.
Fleet play(int routers, double rate, unsigned seed = 5) {
  ConnectionShare part = connection_share(routers, kKeepalive);
  std::vector<Router> all(static_cast<std::size_t>(routers));
  std::mt19937 random(seed);
  std::poisson_distribution<int> come(rate * kStep / kSecond);
  Fleet f;
  for (Micros now = 0; now < 60 * kSecond; now += kStep) {
    std::size_t open = 0;
    for (Router& r : all) {
      r.step(now, part);
      for (int k = come(random); k > 0; --k) r.request(now, part);
      open += r.open();
    }
    f.most_open = std::max(f.most_open, static_cast<double>(open));
  }
  double dials = 0, requests = 0;
  for (Router& r : all) f.mean_idle += r.idle_time / 60, dials += r.dials, requests += r.requests;
  f.handshakes = dials / requests;
  return f;
}

TEST(Connections, OfAFleetLeaveRoomInThePriceCachesTable) {
  // Each router comes by every 9 s; then a popular price cache, then all at once.
  for (double rate : {0.11, 0.5, 3.0}) {
    Fleet f = play(300, rate);
    EXPECT_LT(f.mean_idle, 0.6 * kPresumedTable) << rate;
  }
  EXPECT_LT(play(300, 0.11).most_open, kPresumedTable);
  EXPECT_LT(play(100, 0.25).most_open, kPresumedTable);
}

TEST(Connections, OfAFewBusyRoutersAreKept) {
  // 1,800 requests a second from two routers to ten price caches, and from some more.
  EXPECT_LT(play(2, 90).handshakes, 0.002);
  EXPECT_LT(play(6, 30).handshakes, 0.02);
  EXPECT_LT(play(12, 15).handshakes, 0.06);
}

/// Over any time the idle connections of one router stay within what the header says, whatever it
/// sends and however long requests take.
RC_GTEST_PROP(IdleBudget, NeverSpendsMoreThanItsPart, ()) {
  int routers = *rc::gen::inRange(1, 2000);
  ConnectionShare part =
      connection_share(routers, *rc::gen::inRange<Micros>(kSecond, 60 * kSecond));
  auto gaps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 200));
  auto busy = *rc::gen::inRange(1, 2000);
  Router r;
  Micros now = 0;
  std::vector<double> spent{0};
  for (int gap : gaps) {
    for (int k = 0; k <= gap; ++k) {
      now += kStep;
      r.step(now, part);
      spent.push_back(r.idle_time);
    }
    r.request(now, part, busy * 1000);
  }
  double step = static_cast<double>(kStep) / kSecond;
  double spell = static_cast<double>(part.max_idle_time) / kSecond;
  for (std::size_t from = 0; from < spent.size(); from += 7)
    for (std::size_t to = from; to < spent.size(); to += 11) {
      double time = static_cast<double>(to - from) * step;
      // One sweep late at each request; what a whole part allows for good is not counted twice.
      double max_open =
          part.mean_idle * (time + spell) + (static_cast<double>(gaps.size()) + 1) * 2 * step;
      RC_ASSERT(spent[to] - spent[from] <= max_open + 1e-6);
    }
}

TEST(IdleBudget, GivesBackOnARefusedConnectionAndTakesItsPartAgain) {
  ConnectionShare part = connection_share(100, kKeepalive);
  IdleBudget keep;
  keep.advance(0, part, 0);
  keep.advance(20 * kSecond, part, 0);
  EXPECT_EQ(keep.to_close(part, 1, 1), 0u);
  keep.on_refused();
  EXPECT_EQ(keep.to_close(part, 1, 1), 1u);
  // Half of the part: what it saves at most is halved too, and is whole again later.
  auto lasts = [&](Micros from) {
    Micros now = from;
    while (keep.to_close(part, 1, 1) == 0) keep.advance(now += kStep, part, 1);
    return now - from;
  };
  keep.advance(29 * kSecond, part, 0);
  Micros later = lasts(29 * kSecond);
  EXPECT_GT(later, part.max_idle_time / 5);
  for (int k = 0; k < 12; ++k) keep.on_refused();
  keep.advance(60 * kSecond, part, 0);
  EXPECT_LT(lasts(60 * kSecond), later / 2);
  for (Micros now = 61 * kSecond; now <= 200 * kSecond; now += kSecond) keep.advance(now, part, 0);
  EXPECT_GE(lasts(200 * kSecond), later);
}

/// However long it was quiet before: what a night has saved would fill the tables in the morning.
TEST(IdleBudget, SavesNoMoreThanOneSpellBrings) {
  for (int routers : {100, 300}) {
    ConnectionShare part = connection_share(routers, kKeepalive);
    IdleBudget keep;
    keep.advance(0, part, 0);
    Micros now = 3600 * kSecond;
    keep.advance(now, part, 0);
    while (keep.to_close(part, 1, 1) == 0) keep.advance(now += kStep, part, 1);
    double lasts = part.mean_idle * static_cast<double>(part.max_idle_time) / (1 - part.mean_idle);
    EXPECT_NEAR(static_cast<double>(now - 3600 * kSecond), lasts, kStep) << routers;
  }
}

TEST(IdleBudget, KeepsOneForGoodWhereItsPartIsAWholeOne) {
  ConnectionShare part = connection_share(10, kKeepalive);
  IdleBudget keep;
  for (Micros now = 0; now < 100 * kSecond; now += kStep) {
    keep.advance(now, part, 2);
    EXPECT_EQ(keep.to_close(part, 2, 2), 0u);
  }
}

TEST(IdleBudget, EndsWhatIsIdleAloneAndTheLeastThatIsNeeded) {
  ConnectionShare part = connection_share(10, kKeepalive);  // three of them
  IdleBudget keep;
  EXPECT_EQ(keep.to_close(part, 7, 2), 2u);
  EXPECT_EQ(keep.to_close(part, 5, 5), 2u);
  EXPECT_EQ(keep.to_close(part, 3, 3), 0u);
  EXPECT_EQ(keep.to_close(part, 9, 0), 0u);
}

}  // namespace
}  // namespace violetusher::core
