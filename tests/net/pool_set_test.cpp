// PoolSet without sockets: modules created on first use, freed when idle, and the part of each list
// that they receive.
#include "net/pool_set.hpp"

#include <malloc.h>

#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

/// Records what is sent to modules.
struct RecordingHandler : PoolSet::Handler {
  struct List {
    std::uint32_t module;
    violetusher::ListScope scope;
    std::vector<std::string> servers;
  };
  std::vector<std::uint32_t> started;
  std::vector<List> lists;
  void on_module_start(std::uint32_t module) override { started.push_back(module); }
  void on_module_list(std::uint32_t module, violetusher::ListScope scope,
                      std::vector<violetusher::Server>&& servers) override {
    List list{module, scope, {}};
    for (const auto& s : servers) list.servers.push_back(s.id);
    lists.push_back(std::move(list));
  }
};

std::shared_ptr<const core::TrafficPolicy> traffic(const std::string& text) {
  auto compiled = core::config::compile("f", "version 1;\n" + text, [](auto&, auto&) {
    return core::config::Loaded{"", "", "none"};
  });
  for (const auto& d : compiled.diagnostics.list()) ADD_FAILURE() << compiled.sources.show(d);
  return std::make_shared<core::TrafficPolicy>(std::move(compiled.model), nullptr);
}

struct Fixture {
  Config config = parse_config(config_text({.dials = {"127.0.0.1:9", "127.0.0.1:10"}}));
  RecordingHandler handler;
  PoolSet pools{config, handler, 1'000'000};
};

TEST(PoolSet, TheFirstRequestCreatesAModuleWithItsPartOfTheList) {
  Fixture f;
  EXPECT_EQ(f.handler.lists.size(), 1u);  // that of the whole list
  f.pools.set_traffic_policy(traffic("pool p { hosts = [\"*-1\"]; }\nroute r { pool = p; }\n"));
  EXPECT_EQ(f.pools.modules(), 1u);
  EXPECT_TRUE(f.pools.has_live("p"));  // although it has no module
  auto number = f.pools.begin_request("p", 2'000'000);
  ASSERT_TRUE(number);
  EXPECT_EQ(f.handler.started.back(), *number);
  EXPECT_EQ(f.handler.lists.back().servers, (std::vector<std::string>{"s-1"}));
  // A removal of another pool's server is not sent to it; the removal of its own is.
  f.pools.apply_list(
      parse_host_list(host_list("2", {host_entry("s-0", "127.0.0.1:9", "left")}, false)));
  f.pools.apply_list(
      parse_host_list(host_list("3", {host_entry("s-1", "127.0.0.1:9", "left")}, false)));
  std::vector<std::string> received;
  for (const auto& list : f.handler.lists)
    if (list.module == *number)
      received.insert(received.end(), list.servers.begin(), list.servers.end());
  EXPECT_EQ(received, (std::vector<std::string>{"s-1", "s-1"}));
  EXPECT_FALSE(f.pools.has_live("p"));
}

TEST(PoolSet, AChangedPoolsModuleIsFreedWithItsLastRequest) {
  Fixture f;
  f.pools.set_traffic_policy(traffic("pool p { hosts = [\"*-1\"]; }\nroute r { pool = p; }\n"));
  std::uint32_t before = f.pools.begin_request("p", 2'000'000).value();
  f.pools.set_traffic_policy(traffic("pool p { hosts = [\"*-0\"]; }\nroute r { pool = p; }\n"));
  f.pools.free_modules(2'000'000);
  EXPECT_NE(f.pools.find(before), nullptr);  // its request is still open
  std::uint32_t after = f.pools.begin_request("p", 2'000'000).value();
  EXPECT_NE(after, before);
  f.pools.end_request(before, 2'100'000);
  f.pools.free_modules(2'100'000);
  EXPECT_EQ(f.pools.find(before), nullptr);
  EXPECT_NE(f.pools.find(after), nullptr);
  // An equivalent pool keeps its module and the module's state.
  f.pools.set_traffic_policy(
      traffic("limit l { in_flight = 9; }\npool p { hosts = [\"*-0\"]; limit = l; }\nroute r { "
              "pool = p; }\n"));
  EXPECT_EQ(f.pools.begin_request("p", 2'200'000), after);
}

TEST(PoolSet, AnIdleModuleIsFreedAndCreatedAgain) {
  Fixture f;
  f.pools.set_traffic_policy(traffic("pool p { }\nroute r { pool = p; }\n"));
  std::uint32_t number = f.pools.begin_request("p", 2'000'000).value();
  f.pools.free_modules(120'000'000);
  EXPECT_NE(f.pools.find(number), nullptr);  // in use, for however long
  f.pools.end_request(number, 121'000'000);
  f.pools.free_modules(150'000'000);
  EXPECT_NE(f.pools.find(number), nullptr);
  f.pools.free_modules(190'000'000);
  EXPECT_EQ(f.pools.find(number), nullptr);
  EXPECT_NE(f.pools.begin_request("p", 191'000'000), number);
  EXPECT_EQ(f.pools.modules(), 2u);
}

std::string many_pools(int count) {
  std::string text;
  for (int k = 0; k < count; ++k) {
    std::string n = std::to_string(k);
    text += "pool p" + n + " { hosts = [\"h" + n + "-*\"]; }\nroute r" + n + " { prefix = \"k" + n +
            ":\"; pool = p" + n + "; }\n";
  }
  return text;
}

/// Guards against a cost of unused pools: of 10,000 pools only the ten in use get a module.
TEST(PoolSet, TenThousandPoolsOfWhichTenAreUsed) {
  Fixture f;
  auto model = traffic(many_pools(10'000));
  struct mallinfo2 before = ::mallinfo2();
  f.pools.set_traffic_policy(model);
  struct mallinfo2 after = ::mallinfo2();
  EXPECT_LT(static_cast<double>(after.uordblks) - static_cast<double>(before.uordblks),
            10'000 * 100);
  EXPECT_EQ(f.pools.modules(), 1u);
  for (int k = 0; k < 10; ++k)
    EXPECT_TRUE(f.pools.begin_request("p" + std::to_string(k * 999), 2'000'000));
  EXPECT_EQ(f.pools.modules(), 11u);
  EXPECT_FALSE(f.pools.begin_request("none", 2'000'000));
}

TEST(PoolSet, AtTheLimitOnlyAnIdleModuleMakesRoom) {
  Fixture f;
  f.pools.set_traffic_policy(traffic(many_pools(1'000)));
  std::vector<std::uint32_t> in_use;
  int k = 0;
  while (auto number = f.pools.begin_request("p" + std::to_string(k), 2'000'000 + k)) {
    in_use.push_back(*number);
    ASSERT_LE(f.pools.modules(), f.pools.max_modules());
    ASSERT_LT(++k, 1'000);
  }
  EXPECT_EQ(f.pools.modules(), f.pools.max_modules());
  f.pools.end_request(in_use[3], 3'000'000);
  EXPECT_TRUE(f.pools.begin_request("p" + std::to_string(k), 4'000'000));
  EXPECT_EQ(f.pools.find(in_use[3]), nullptr);
  EXPECT_LE(f.pools.modules(), f.pools.max_modules());
}

}  // namespace
}  // namespace violetusher::net::test
