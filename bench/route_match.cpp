// Benchmarks longest-prefix matching over 10,000 routes against a std::map that is searched for
// successively shorter prefixes, and the cost of the traffic policy of an operator file per
// request.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <new>
#include <random>

#include "core/route/route_table.hpp"
#include "core/route/traffic_policy.hpp"

namespace {
std::atomic<std::size_t> allocations{0};
}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace violetusher::core {
namespace {

constexpr int kRoutes = 10'000;

std::vector<RouteMatch> routes() {
  std::mt19937_64 random(7);
  std::vector<RouteMatch> list;
  for (int k = 0; k < kRoutes; ++k) {
    std::string prefix = "shop-" + std::to_string(k % 700) + ":";
    if (k >= 700) prefix += std::to_string(random() % 1000) + ":";
    if (k >= 5000) prefix += std::to_string(random() % 1000);
    list.push_back({"", "", k % 2 ? "price-lookup" : "sale-record", prefix});
  }
  return list;
}

std::vector<std::string> keys() {
  std::mt19937_64 random(8);
  std::vector<std::string> list;
  for (int k = 0; k < 4096; ++k) {
    std::string shop = std::to_string(random() % 800);
    std::string group = std::to_string(random() % 1000);
    std::string item = std::to_string(random());
    list.push_back("shop-" + shop + ":" + group + ":" + item);
  }
  return list;
}

void RouteTableFind(benchmark::State& state) {
  RouteTable table(routes());
  auto all = keys();
  std::size_t k = 0, before = allocations, found = 0;
  for (auto _ : state)
    found += table.find({"main", "selam", "price-lookup", all[k++ & 4095]}) != RouteTable::kNone;
  benchmark::DoNotOptimize(found);
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}
BENCHMARK(RouteTableFind);

void MapOfPrefixes(benchmark::State& state) {
  std::map<std::pair<std::string, std::string>, int> table;
  int n = 0;
  for (const RouteMatch& r : routes()) table.emplace(std::pair(r.type, r.prefix), n++);
  auto all = keys();
  std::size_t k = 0, found = 0;
  for (auto _ : state) {
    std::pair<std::string, std::string> lookup("price-lookup", all[k++ & 4095]);
    while (true) {
      if (table.find(lookup) != table.end()) {
        ++found;
        break;
      }
      if (lookup.second.empty()) break;
      lookup.second.pop_back();
    }
  }
  benchmark::DoNotOptimize(found);
}
BENCHMARK(MapOfPrefixes);

struct AllLive : TrafficPolicy::PoolState {
  bool has_live(const std::string&) const override { return true; }
  bool shares_deduplication(const std::string&) const override { return true; }
};

void AdmitAndEnd(benchmark::State& state) {
  config::Model m;
  m.limits["l"] = {1e9, 1'000'000'000, 100'000, 0};
  m.budgets["b"] = {0.1, 0.02, 5};
  m.tenants["selam"] = {"l"};
  m.classes["price-lookup"] = {5, 3, false, "l"};
  m.pools["p"].limit = "l";
  m.pools["p"].budget = "b";
  m.routes["r"].pool = "p";
  m.routes["r"].type = "price-lookup";
  TrafficPolicy traffic(m, nullptr);
  AllLive pools;
  Micros now = 0;
  for (auto _ : state) {
    auto d = traffic.admit(++now, {"main", "selam", "price-lookup", "barcode:1"}, false, pools);
    traffic.on_first_attempt(now, d.ticket);
    traffic.end(now, d.ticket, false);
  }
}
BENCHMARK(AdmitAndEnd);

}  // namespace
}  // namespace violetusher::core
