#include "moved_keys.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/route/traffic_policy.hpp"

namespace violetusher::core::config {
namespace {

/// The preferred server of each sample key in a pool; empty if there is none.
std::vector<std::string> preferred_servers(const Pool& pool, const std::vector<Server>& list,
                                           const std::vector<std::string>& keys) {
  std::vector<Server> members;
  for (const std::string& address : pool.servers) {
    Server s;
    s.id = address;
    members.push_back(std::move(s));
  }
  for (const Server& s : list)
    if (pool.servers.empty() && selected(pool, s)) members.push_back(s);
  Settings settings;
  settings.classes.emplace_back();
  Balancer balancer(settings, 1, 0);
  balancer.on_list(0, ListScope::Full, members);
  std::vector<std::string> servers_by_pool;
  for (const std::string& key : keys) servers_by_pool.push_back(balancer.preferred_server(key));
  return servers_by_pool;
}

}  // namespace

std::vector<MovedKeys> moved_keys(const Model& before, const Model& after,
                                  const std::vector<Server>& list, int keys) {
  Routing old_routing(before), new_routing(after);
  // The matches of the routes of both models, least specific first.
  std::vector<RouteMatch> matches = old_routing.matches;
  matches.insert(matches.end(), new_routing.matches.begin(), new_routing.matches.end());
  auto named = [](const RouteMatch& r) {
    return !r.listener.empty() + !r.tenant.empty() + !r.type.empty() + !r.prefix.empty();
  };
  std::stable_sort(matches.begin(), matches.end(),
                   [&](const RouteMatch& a, const RouteMatch& b) { return named(a) < named(b); });
  std::vector<std::string> sample;
  for (int k = 0; k < keys; ++k) sample.push_back("sample:" + std::to_string(k));
  std::map<std::pair<const Model*, std::string>, std::vector<std::string>> servers_by_pool;
  auto servers_in = [&](const Model& model, const std::string& pool) -> const auto& {
    auto [it, fresh] = servers_by_pool.try_emplace({&model, pool});
    if (fresh)
      it->second = pool.empty() ? std::vector<std::string>(sample.size())
                                : preferred_servers(model.pools.at(pool), list, sample);
    return it->second;
  };
  auto pool_of = [](const Model& model, const std::string* route) {
    return route ? model.routes.at(*route).pool : std::string();
  };
  std::set<std::pair<std::string, std::string>> compared;
  std::vector<MovedKeys> out;
  for (const RouteMatch& match : matches) {
    RouteRequest request{match.listener, match.tenant, match.type, match.prefix};
    MovedKeys m{match, pool_of(before, old_routing.find(request)),
                pool_of(after, new_routing.find(request)), 0, 0};
    if (!compared.insert({m.before, m.after}).second) continue;
    const auto& was = servers_in(before, m.before);
    const auto& is = servers_in(after, m.after);
    for (std::size_t k = 0; k < sample.size(); ++k) {
      m.share += was[k] != is[k];
      m.nobody += is[k].empty();
    }
    m.share /= keys, m.nobody /= keys;
    if (m.share > 0) out.push_back(std::move(m));
  }
  return out;
}

}  // namespace violetusher::core::config
