// What many routers do together: each of them sees little, and what is harmless in one adds up.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <set>

#include "support.hpp"

namespace violetusher::test {
namespace {

const std::vector<std::string> kZones = {"bole", "kality", "piassa"};

/// Routers of one tier, spread over the zones, that have the same list.
struct Tier {
  Tier(int routers, int count, double cross_zone_charge) : servers(fleet(count)) {
    for (std::size_t k = 0; k < servers.size(); ++k) {
      servers[k].zone = kZones[k % 3];
      zone_of[servers[k].id] = servers[k].zone;
    }
    Settings s = basic_settings();
    s.zones = kZones;
    s.routers = routers;
    s.cross_zone_charge = cross_zone_charge;
    for (int r = 0; r < routers; ++r) {
      s.zone = kZones[static_cast<std::size_t>(r) % 3];
      zones.push_back(s.zone);
      all.emplace_back(s, static_cast<std::uint64_t>(r) + 1, 0);
      all.back().start(0);
      all.back().on_list(0, ListScope::Full, servers);
    }
  }

  std::vector<Server> servers;
  std::map<std::string, std::string> zone_of;
  std::vector<std::string> zones;
  std::vector<Balancer> all;
};

struct Spread {
  double near = 0;   // part of the requests that stayed in their zone
  double homes = 0;  // servers of a key, on the mean
};

/// Each router sends 20 requests within 2 s, for keys of which hardly any comes to it twice.
Spread rare_keys(int routers, double charge) {
  Tier tier(routers, 60, charge);
  std::mt19937 draw(7);
  std::map<std::string, std::set<std::string>> homes;
  int near = 0, sent = 0;
  RequestId id = 0;
  for (int turn = 0; turn < 20; ++turn)
    for (std::size_t r = 0; r < tier.all.size(); ++r) {
      std::string key = "bread-" + std::to_string(draw() % 200);
      std::string server = serve(tier.all[r], turn * 100 * kMs, ++id, key);
      EXPECT_FALSE(server.empty());
      homes[key].insert(server);
      near += tier.zone_of[server] == tier.zones[r];
      ++sent;
    }
  Spread found{static_cast<double>(near) / sent, 0};
  for (const auto& [key, all] : homes) found.homes += static_cast<double>(all.size());
  found.homes /= static_cast<double>(homes.size());
  return found;
}

TEST(ManyRouters, AgreeOnOneHomeInEachZoneForKeysThatNoneSeesTwice) {
  Spread many = rare_keys(99, 0.12);
  EXPECT_GT(many.near, 0.75);
  EXPECT_LT(many.homes, 3.6);  // one a zone, and the few that passed one by
}

TEST(ManyRouters, KeepOneHomeWhereACopyInEachZoneWouldNotPay) {
  Spread few = rare_keys(6, 0.12);
  EXPECT_LT(few.near, 0.5);
  Spread cheap = rare_keys(99, 0.001);
  EXPECT_LT(cheap.near, 0.5);
  EXPECT_LT(cheap.homes, 1.5);
}

/// Plays `seconds` of 15 requests a second at each router. `fate` ends each attempt; what
/// gets no end is given up by the client 180 ms later.
template <typename Fate>
struct Play {
  Tier& tier;
  Fate fate;
  int refused = 0, served = 0, attempts = 0;
  int answers = 0;  // ends of any kind

  void go(Micros from, double seconds) {
    std::mt19937 draw(11);
    Micros step = kS / 15;
    RequestId id = static_cast<RequestId>(from) * 1000;
    auto turns = static_cast<int>(seconds * 15);
    for (int turn = 0; turn < turns; ++turn)
      for (std::size_t r = 0; r < tier.all.size(); ++r)
        one(tier.all[r], from + turn * step, ++id, "price-" + std::to_string(draw() % 3000));
  }

  void one(Balancer& b, Micros now, RequestId id, const std::string& key) {
    Actions actions = b.on_request(now, read_of(id, key, 180 * kMs));
    for (int attempt = 0;; ++attempt) {
      std::string server = sent_to(actions);
      if (server.empty()) {
        ++refused;
        return;
      }
      ++attempts;
      std::optional<Status> end = fate(server);
      if (!end) {  // it hangs: the timer for the last moment comes first
        std::uint64_t last = 0;
        Micros longest = 0;
        for (const Timer& t : test::all<Timer>(actions))
          if (t.after >= longest) longest = t.after, last = t.token;
        b.on_timer(now + longest, last);
        b.on_outcome(now + longest, ended(id, server, Status::Cancelled, attempt));
        ++refused;
        return;
      }
      // One in five is a miss, which takes its time.
      Micros latency = ++answers % 5 == 0 ? 120 * kMs : 30 * kMs;
      actions = b.on_outcome(now, ended(id, server, *end, attempt, latency));
      if (*end == Status::Ok) {
        ++served;
        return;
      }
    }
  }
};

template <typename Fate>
Play<Fate> play(Tier& tier, Fate fate) {
  return Play<Fate>{tier, fate};
}

TEST(ManyRouters, FindOutServersThatHangThoughClientsLeaveEarly) {
  Tier tier(30, 60, 0.12);
  auto calm = play(tier, [](const std::string&) { return Status::Ok; });
  calm.go(0, 6);
  // One in ten of each zone.
  auto hangs = [](const std::string& server) {
    return server == "10.0.0.3:80" || server == "10.0.0.4:80" || server == "10.0.0.5:80" ||
           server == "10.0.0.33:80" || server == "10.0.0.34:80" || server == "10.0.0.35:80";
  };
  auto sick = play(tier, [&](const std::string& server) {
    return hangs(server) ? std::optional<Status>() : Status::Ok;
  });
  sick.go(6 * kS, 4);
  int first = sick.refused;
  sick.go(10 * kS, 8);
  // Each router pays about once for each, not time and again.
  EXPECT_LT(first, 30 * 6 * 5 / 4);
  EXPECT_LT(sick.refused - first, first);
}

TEST(ManyRouters, StayInTheirZoneWhileAFewServersOfEachAreOut) {
  Tier tier(99, 60, 0.12);
  auto calm = play(tier, [](const std::string&) { return Status::Ok; });
  calm.go(0, 4);
  auto dead = [](const std::string& server) { return std::stoi(server.substr(7)) < 15; };
  auto some = play(tier, [&](const std::string& server) {
    return dead(server) ? std::optional<Status>() : Status::Ok;
  });
  some.go(4 * kS, 8);
  // A quarter of the servers of each zone is out, so no zone is better off than another.
  int near = 0, sent = 0;
  RequestId id = 1;
  for (std::size_t r = 0; r < tier.all.size(); ++r)
    for (int k = 0; k < 60; ++k) {
      std::string server = serve(tier.all[r], 12 * kS, ++id, "milk-" + std::to_string(k));
      near += tier.zone_of[server] == tier.zones[r];
      ++sent;
    }
  EXPECT_GT(near, sent * 6 / 10);
}

/// Protects against: requests that wait for dials to a zone that is cut off until the cut is over,
/// as no router meets one of its servers often enough to judge it.
TEST(ManyRouters, LeaveOutAZoneThatIsCutOffAndComeBack) {
  Tier tier(60, 120, 0);
  auto calm = play(tier, [](const std::string&) { return Status::Ok; });
  calm.go(0, 6);
  int in_vain = 0, there = 0;
  auto cut = play(tier, [&](const std::string& server) {
    bool lost = tier.zone_of[server] == "kality";
    in_vain += lost;
    return lost ? Status::ConnectFailed : Status::Ok;
  });
  cut.go(6 * kS, 2);
  in_vain = 0;
  cut.go(8 * kS, 4);
  // One attempt or so a second of each router to see whether it is back; 5 of 15 were sent there.
  EXPECT_LT(in_vain, 60 * 4 * 2);
  EXPECT_LT(cut.refused, cut.served / 50);
  auto back = play(tier, [&](const std::string& server) {
    there += tier.zone_of[server] == "kality";
    return Status::Ok;
  });
  back.go(12 * kS, 2);
  there = 0;
  back.go(14 * kS, 2);
  EXPECT_GT(there, back.served / 2 / 5);
}

/// One server out of reach is no zone out of reach, however many dials to it fail in a row.
TEST(ManyRouters, DoNotTakeOneServerForItsZone) {
  Tier tier(1, 120, 0);
  auto calm = play(tier, [](const std::string&) { return Status::Ok; });
  calm.go(0, 6);
  Balancer& b = tier.all[0];
  std::string home = b.preferred_server("rice");
  RequestId id = 0;
  for (int k = 0; id < 3; ++k) {
    std::string key = "rice-" + std::to_string(k);
    if (b.preferred_server(key) != home) continue;
    ASSERT_EQ(sent_to(b.on_request(6 * kS, read_of(++id, key))), home);
  }
  for (; id > 0; --id) b.on_outcome(6 * kS + 75 * kMs, ended(id, home, Status::ConnectFailed));
  for (const Server& s : tier.servers) {
    if (s.id == home) continue;
    EXPECT_GT(b.live_fraction(s.id), 0.9) << s.id;
  }
}

/// Protects against: doors shut by requests that never came to a server. Every server is out of
/// reach for 3 s; what comes after that is let in.
TEST(ManyRouters, ShutNoDoorOverServersOutOfReach) {
  Tier tier(1, 120, 0.12);
  auto calm = play(tier, [](const std::string&) { return Status::Ok; });
  calm.go(0, 6);
  auto dark = play(tier, [](const std::string&) { return Status::ConnectFailed; });
  dark.go(6 * kS, 3);
  EXPECT_EQ(dark.served, 0);
  auto back = play(tier, [](const std::string&) { return Status::Ok; });
  back.go(9 * kS, 1);
  EXPECT_EQ(back.refused, 0);
}

/// Protects against: doors that the chance of few ends moves. One answer in six is late, nothing
/// is overloaded, and each door of a router sees eight ends a second.
TEST(ManyRouters, RefuseNothingForTheFewThatAreAlwaysLate) {
  Tier tier(12, 120, 0.12);
  std::mt19937 draw(3);
  struct Pending {
    Micros due;
    std::size_t router;
    Outcome outcome;
  };
  std::vector<Pending> out;
  int refused = 0, came = 0;
  RequestId id = 0;
  for (Micros now = 0; now < 30 * kS; now += kS / 15) {
    std::vector<Pending> later;
    for (Pending& p : out) {
      if (p.due <= now)
        tier.all[p.router].on_outcome(p.due, p.outcome);
      else
        later.push_back(p);
    }
    out = std::move(later);
    for (std::size_t r = 0; r < tier.all.size(); ++r, ++came) {
      std::string key = "tea-" + std::to_string(draw() % 3000);
      std::string server = sent_to(tier.all[r].on_request(now, read_of(++id, key)));
      Micros latency = draw() % 6 == 0 ? 200 * kMs : 40 * kMs;
      if (server.empty())
        ++refused;
      else
        out.push_back({now + latency, r, ended(id, server, Status::Ok, 0, latency)});
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.due < b.due; });
  }
  EXPECT_LT(refused, came / 200) << came;
}

TEST(FewRouters, JudgeAServerByMoreThanOneStall) {
  Tier tier(1, 6, 0.12);
  auto calm = play(tier, [](const std::string&) { return Status::Ok; });
  calm.go(0, 10);
  std::string met;
  auto hangs = play(tier, [&](const std::string& server) {
    met = server;
    return std::optional<Status>();
  });
  hangs.one(tier.all[0], 10 * kS, 7, "salt");
  EXPECT_EQ(hangs.attempts, 1);
  EXPECT_GT(tier.all[0].live_fraction(met), 0.5);
}

/// A list of 1,024 price caches of three sizes: each keeps its part of the keys, and where one
/// alone is left it gets all of them.
TEST(LongLists, EveryPriceCacheHasItsShareAndOneAloneIsFound) {
  constexpr int kCaches = 1024, kKeys = 400'000;
  std::vector<Server> list = fleet(kCaches);
  double sum = 0;
  for (int k = 0; k < kCaches; ++k) sum += list[k].weight = k % 3 == 0 ? 1 : k % 3 == 1 ? 2 : 4;
  Settings s = basic_settings();
  s.routers = 350;
  Balancer router(s, 1, 0);
  router.start(0);
  router.on_list(0, ListScope::Full, list);
  std::map<std::string, int> keys;
  for (int k = 0; k < kKeys; ++k) ++keys[router.preferred_server("key-" + std::to_string(k))];
  EXPECT_EQ(keys.size(), static_cast<std::size_t>(kCaches));
  for (const Server& server : list) {
    double share = keys[server.id] * sum / (server.weight * kKeys);
    EXPECT_GT(share, 0.6) << server.id;
    EXPECT_LT(share, 1.4) << server.id;
  }
  for (int k = 1; k < kCaches; ++k) list[k].health = Health::Draining;
  router.on_list(kS, ListScope::Full, list);
  int found = 0;
  for (int k = 0; k < 1000; ++k)
    found +=
        !serve(router, kS + k * 10 * kMs, static_cast<RequestId>(k + 1), "key-" + std::to_string(k))
             .empty();
  EXPECT_EQ(found, 1000);
}

/// What one cold server gets of all routers together, in the worst window, over what it bears then
/// (FLEET: N + 2 x root of N + 2 requests of mean work): a steady load of 0.8 of what the fleet can
/// do, half as much again from the start of the cold server on, and one key in two of five
/// requests.
double worst_on_a_cold_server(int routers, double slow_start_min_fraction, double factor) {
  constexpr int kServers = 12;
  constexpr double kCapacity = 50;  // requests a second of one server
  Settings s = basic_settings();
  s.routers = routers;
  s.slow_start_min_fraction = slow_start_min_fraction;
  s.slow_start_window = 8 * kS;
  s.overload_factor = factor;
  s.overload_window = 1500 * kMs;
  std::vector<Server> servers = fleet(kServers);
  std::vector<Balancer> all;
  for (int r = 0; r < routers; ++r) {
    all.emplace_back(s, static_cast<std::uint64_t>(r) + 1, 0);
    all.back().start(0);
    all.back().on_list(0, ListScope::Full, servers);
  }
  std::mt19937 draw(5);
  std::uniform_real_distribution<double> part(0, 1);
  std::vector<Micros> got;
  const Micros born = 12 * kS;
  const std::string cold = servers[3].id;
  RequestId id = 0;
  bool told = false;
  for (Micros now = 0; now < born + 9 * kS;) {
    double rate = 0.8 * kServers * kCapacity * (now < born ? 1 : 1.5);
    now += static_cast<Micros>(-std::log(1 - part(draw)) * kS / rate);
    if (!told && now >= born) {
      told = true;
      servers[3].up_since = born;
      for (Balancer& b : all) b.on_list(now, ListScope::Delta, {servers[3]});
    }
    Balancer& b = all[draw() % all.size()];
    // The popular keys of before, and from the start on one that is asked for far more.
    double u = part(draw);
    std::string key = now >= born && u < 0.4
                          ? "hot"
                          : "price-" + std::to_string(static_cast<int>(3000 * u * u * u));
    if (serve(b, now, ++id, key) == cold && now >= born) got.push_back(now);
  }
  double worst = 0;
  for (std::size_t first = 0, last = 0; last < got.size(); ++last) {
    while (got[last] - got[first] > s.overload_window) ++first;
    double age = static_cast<double>(got[last] - born) / static_cast<double>(s.slow_start_window);
    double n = factor * kCapacity *
               std::min(1.0, slow_start_min_fraction + (1 - slow_start_min_fraction) * age) * 1.5;
    worst = std::max(worst, static_cast<double>(last - first + 1) / (n + 2 * std::sqrt(n) + 2));
  }
  return worst;
}

TEST(ManyRouters, TogetherSendAColdServerNoMoreThanItBears) {
  for (int routers : {1, 4, 30, 120})
    for (double factor : {1.2, 2.0, 4.0}) {
      double worst = worst_on_a_cold_server(routers, 0.15, factor);
      std::printf("%d routers, factor %.1f: %.2f of what it bears\n", routers, factor, worst);
      EXPECT_LE(worst, 1) << routers << " routers, factor " << factor;
    }
}

}  // namespace
}  // namespace violetusher::test
