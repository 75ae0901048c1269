// What many routers do together: each of them sees little, and what is harmless in one adds up.
#include <gtest/gtest.h>

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

}  // namespace
}  // namespace violetusher::test
