#include "check.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "schema.hpp"

namespace violetusher::core::config {
namespace {

class Checker {
 public:
  Checker(const Model& model, const SectionPositions& positions, Diagnostics& diagnostics)
      : m_(model), positions_(positions), d_(diagnostics) {}

  void run() {
    for (const auto& [name, pool] : m_.pools) check(name, pool);
    for (const auto& [name, limit] : m_.limits) check(name, limit);
    check_duplicate_routes();
    for (const auto& [name, route] : m_.routes) check(name, route);
    check_duplicate_addresses();
  }

 private:
  void report(const std::string& section, const char* key, const std::string& what,
              const std::string& hint = "") {
    auto position = positions_.find(section);
    if (position == positions_.end()) return;
    auto at = position->second.keys.find(key);
    bool on_key = at != position->second.keys.end();
    d_.add(on_key ? at->second : position->second.at, what, hint,
           on_key ? 1 : position->second.length);
  }

  void check(const std::string& name, const Pool& pool) {
    std::string section = "pool " + name;
    bool selects =
        !pool.zones.empty() || !pool.kinds.empty() || !pool.blocks.empty() || !pool.hosts.empty();
    if (selects && !pool.servers.empty())
      report(section, "servers",
             "pool '" + name + "' has a static list and a selection of the discovery list",
             "keep 'servers' or the selection");
    if (!pool.shares.empty()) {
      double sum = 0;
      for (const auto& [tenant, part] : pool.shares) sum += part;
      if (std::abs(sum - 1) > 1e-9)
        report(section, "",
               "the shares of pool '" + name + "' add up to " +
                   format_quantity(Type::kShare, std::round(sum * 1e8) / 1e8) + ", not to 100%");
      else if (pool.limit.empty() || m_.limits.at(pool.limit).in_flight == 0)
        report(section, "limit",
               "pool '" + name + "' has shares but no limit with 'in_flight' to share",
               "the shares are parts of it");
    }
  }

  void check(const std::string& name, const Limit& limit) {
    std::string section = "limit " + name;
    if (limit.rate == 0 && limit.in_flight == 0)
      report(section, "", "limit '" + name + "' has no effect", "give it a 'rate' or 'in_flight'");
    if (limit.rate == 0 && limit.burst > 0)
      report(section, "burst", "burst without a rate", "add 'rate' or leave 'burst' out");
  }

  /// Of two routes that match the same requests, the second one is never taken.
  void check_duplicate_routes() {
    std::map<std::tuple<std::string, std::string, std::string, std::string>, std::string> seen;
    // In file order, so that the later one is reported.
    std::vector<std::pair<Position, std::string>> order;
    for (const auto& [name, route] : m_.routes)
      order.emplace_back(positions_.at("route " + name).at, name);
    std::sort(order.begin(), order.end(), [](auto& a, auto& b) {
      return std::tie(a.first.file, a.first.line, a.first.column) <
             std::tie(b.first.file, b.first.line, b.first.column);
    });
    for (const auto& [at, name] : order) {
      const Route& r = m_.routes.at(name);
      auto [first, fresh] = seen.emplace(std::tuple(r.listener, r.tenant, r.type, r.prefix), name);
      if (!fresh)
        report("route " + name, "",
               "route '" + name + "' is never taken: route '" + first->second +
                   "' matches the same requests",
               "remove one, or match on something more");
    }
  }

  /// A limit is never reached if the same requests are subject to a tighter one.
  void check_reachable(const std::string& section, const std::string& inner,
                       const std::string& outer, const std::string& of) {
    if (inner.empty() || outer.empty() || inner == outer) return;
    const Limit &a = m_.limits.at(inner), &b = m_.limits.at(outer);
    bool rate_looser = a.rate == 0 || (b.rate > 0 && a.rate > b.rate);
    bool in_flight_looser = a.in_flight == 0 || (b.in_flight > 0 && a.in_flight > b.in_flight);
    if (rate_looser && in_flight_looser)
      report(section, "limit",
             "limit '" + inner + "' is never reached: " + of + " has the tighter limit '" + outer +
                 "'");
  }

  void check(const std::string& name, const Route& route) {
    std::string section = "route " + name;
    std::set<std::string> pools{route.pool};
    for (const std::string& fallback : route.fallbacks)
      if (!pools.insert(fallback).second)
        report(section, "fallbacks",
               "pool '" + fallback + "' is listed twice in route '" + name + "'",
               "a fallback must be another pool");
    if (route.failback_at > route.failover_at)
      report(section, "fall_back_at",
             "'fall_back_at' is above 'fall_over_at': traffic would oscillate", "it must be lower");
    if (route.fallbacks.empty()) {
      auto position = positions_.find(section);
      for (const char* key : {"fall_over_at", "fall_back_at", "spill"})
        if (position != positions_.end() && position->second.keys.count(key))
          report(section, key, std::string("'") + key + "' without 'fallbacks' has no effect");
    }
    check_reachable(section, route.limit, m_.pools.at(route.pool).limit,
                    "pool '" + route.pool + "'");
    if (!route.type.empty())
      check_reachable(section, route.limit, m_.classes.at(route.type).limit,
                      "class '" + route.type + "'");
    if (!route.tenant.empty())
      check_reachable(section, route.limit, m_.tenants.at(route.tenant).limit,
                      "tenant '" + route.tenant + "'");
    // A budget only limits: one that allows more retries than the class makes has no effect.
    const std::string& budget =
        route.budget.empty() ? m_.pools.at(route.pool).budget : route.budget;
    if (!budget.empty() && !route.type.empty()) {
      double max_retries = static_cast<double>(m_.classes.at(route.type).attempts - 1);
      if (m_.budgets.at(budget).retries > max_retries)
        report(section, route.budget.empty() ? "pool" : "budget",
               "budget '" + budget + "' allows " +
                   format_quantity(Type::kShare, m_.budgets.at(budget).retries) +
                   " retries, class '" + route.type + "' makes at most " +
                   format_quantity(Type::kShare, max_retries));
    }
  }

  void check_duplicate_addresses() {
    std::map<std::string, std::string> seen;
    for (const auto& [name, listener] : m_.listeners) {
      auto [first, fresh] = seen.emplace(listener.address, name);
      if (!fresh)
        report("listener " + name, "address",
               "listeners '" + first->second + "' and '" + name + "' have the same address");
    }
  }

  const Model& m_;
  const SectionPositions& positions_;
  Diagnostics& d_;
};

}  // namespace

void check_model(const Model& model, const SectionPositions& positions, Diagnostics& diagnostics) {
  Checker(model, positions, diagnostics).run();
}

}  // namespace violetusher::core::config
