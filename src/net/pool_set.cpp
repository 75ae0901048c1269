#include "pool_set.hpp"

#include <algorithm>

namespace violetusher::net {
namespace {

using violetusher::Health;
using violetusher::ListScope;
using violetusher::Server;

// The least memory of a module with its tables; see docs/design/request-core.md.
constexpr std::size_t kModuleBytes = 128u << 10;
constexpr std::size_t kModuleMemoryDivisor = 4;  // of the router's memory limit
constexpr Micros kModuleIdleTimeout =
    60 * kSecond;  // a module without requests is freed after this time
constexpr Micros kIdleCheckInterval = kSecond;

std::vector<Server> servers_of(const HostList& list) {
  std::vector<Server> servers;
  servers.reserve(list.hosts.size());
  for (const Host& host : list.hosts) servers.push_back(host.server);
  return servers;
}

}  // namespace

PoolSet::PoolSet(const Config& config, Handler& handler, Micros now)
    : config_(config),
      handler_(handler),
      max_modules_(
          std::max<std::size_t>(4, config.memory_bytes / kModuleMemoryDivisor / kModuleBytes)) {
  create_module(kWholeList, {}, {}, now);
  handler_.on_module_list(kWholeList, ListScope::Cached, servers_of(config.initial_hosts));
}

/// Each module has a random seed of its own; the whole list's is the router's.
void PoolSet::create_module(std::uint32_t number, const std::string& name,
                            const core::config::Selection& selection, Micros now) {
  auto module = std::make_unique<Module>();
  module->pool = name;
  module->selection = selection;
  module->last_used_at = now;
  try {
    module->balancer = std::make_unique<violetusher::Balancer>(
        config_.settings, config_.seed + number * 0x9e3779b97f4a7c15ull, now);
  } catch (const std::invalid_argument& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  modules_[number] = std::move(module);
  handler_.on_module_start(number);
}

const core::config::Pool* PoolSet::pool(const std::string& name) const {
  if (!traffic_policy_) return nullptr;
  auto it = traffic_policy_->model().pools.find(name);
  return it == traffic_policy_->model().pools.end() ? nullptr : &it->second;
}

void PoolSet::set_traffic_policy(std::shared_ptr<const core::TrafficPolicy> traffic) {
  if (!traffic_policy_) hosts_ = config_.initial_hosts;
  traffic_policy_ = std::move(traffic);
  pool_addresses_.clear();
  for (const auto& [name, pool] : traffic_policy_->model().pools)
    pool_addresses_.insert(pool.servers.begin(), pool.servers.end());
  for (auto it = by_pool_.begin(); it != by_pool_.end();) {
    Module& module = *modules_.at(it->second);
    const core::config::Pool* now = pool(it->first);
    if (now && module.selection == *now) {
      ++it;
      continue;
    }
    module.removed = any_removed_ = true;
    it = by_pool_.erase(it);
  }
}

std::optional<std::uint32_t> PoolSet::begin_request(const std::string& name, Micros now) {
  auto it = by_pool_.find(name);
  if (it == by_pool_.end()) {
    const core::config::Pool* configured = pool(name);
    if (!configured) return std::nullopt;
    if (modules_.size() >= max_modules_) {
      if (!free_idle(now, 0)) return std::nullopt;
      erase_removed();
    }
    std::uint32_t number = next_++;
    create_module(number, name, *configured, now);
    it = by_pool_.emplace(name, number).first;
    Module& module = *modules_.at(number);
    if (configured->servers.empty()) {
      send_list(number, module, ListScope::Full, servers_of(hosts_));
    } else {
      std::vector<Server> members;
      for (const std::string& address : configured->servers) {
        Server server;
        server.id = address;
        server.zone = config_.settings.zone;
        members.push_back(server);
        module.members[address] = Health::Ready;
      }
      handler_.on_module_list(number, ListScope::Full, std::move(members));
    }
  }
  Module& module = *modules_.at(it->second);
  ++module.open_requests;
  module.last_used_at = now;
  return it->second;
}

std::uint32_t PoolSet::begin_whole_list_request() {
  ++modules_.at(kWholeList)->open_requests;
  return kWholeList;
}

void PoolSet::end_request(std::uint32_t number, Micros now) {
  Module* module = find(number);
  if (!module) return;
  module->last_used_at = now;
  if (--module->open_requests == 0 && module->removed) any_removed_ = true;
}

PoolSet::Module* PoolSet::find(std::uint32_t number) {
  auto it = modules_.find(number);
  return it == modules_.end() ? nullptr : it->second.get();
}

/// Sends a module the part of a list that concerns its pool. A removed server concerns every pool
/// that had it.
void PoolSet::send_list(std::uint32_t number, Module& module, ListScope scope,
                        const std::vector<Server>& servers) {
  if (!module.selection.servers.empty()) return;
  if (scope == ListScope::Full) module.members.clear();
  std::vector<Server> relevant;
  for (const Server& server : servers) {
    bool removed = server.health == Health::Removed;
    if (removed ? module.members.count(server.id) == 0 : !core::selected(module.selection, server))
      continue;
    if (removed)
      module.members.erase(server.id);
    else
      module.members[server.id] = server.health;
    relevant.push_back(server);
  }
  handler_.on_module_list(number, scope, std::move(relevant));
}

HostList PoolSet::apply_list(HostList&& list) {
  ListScope scope = list.whole ? ListScope::Full : ListScope::Delta;
  std::vector<Server> servers = servers_of(list);
  for (auto& [number, module] : modules_)
    if (number != kWholeList) send_list(number, *module, scope, servers);
  handler_.on_module_list(kWholeList, scope, std::move(servers));
  if (!traffic_policy_) return std::move(list);
  HostList for_connections = with_addresses(list);
  store(std::move(list));
  return for_connections;
}

void PoolSet::update_settings(const violetusher::Settings& settings) {
  for (auto& [number, module] : modules_) module->balancer->update_settings(settings);
}

/// Stores the list for modules that are created later.
void PoolSet::store(HostList&& list) {
  if (list.whole) {
    hosts_ = std::move(list);
    return;
  }
  hosts_.version = list.version;
  for (Host& host : list.hosts) {
    auto old = std::find_if(hosts_.hosts.begin(), hosts_.hosts.end(),
                            [&](const Host& h) { return h.server.id == host.server.id; });
    bool removed = host.server.health == Health::Removed;
    if (old == hosts_.hosts.end()) {
      if (!removed) hosts_.hosts.push_back(std::move(host));
    } else if (removed) {
      hosts_.hosts.erase(old);
    } else {
      *old = std::move(host);
    }
  }
}

HostList PoolSet::with_addresses(HostList list) const {
  if (!list.whole) return list;
  std::unordered_set<std::string> listed;
  for (const Host& host : list.hosts) listed.insert(host.server.id);
  auto add = [&](const std::string& address) {
    if (!listed.insert(address).second) return;
    Host host;
    host.server.id = host.dial = address;
    list.hosts.push_back(host);
  };
  for (const std::string& address : pool_addresses_) add(address);
  for (const auto& [number, module] : modules_)  // modules that are to be freed still need theirs
    for (const std::string& address : module->selection.servers) add(address);
  return list;
}

HostList PoolSet::whole_list() const {
  HostList list = hosts_;
  list.whole = true;
  return with_addresses(std::move(list));
}

/// Frees the module that has been without requests longest, if for `idle_for` at least.
bool PoolSet::free_idle(Micros now, Micros idle_for) {
  auto oldest = modules_.end();
  for (auto it = modules_.begin(); it != modules_.end(); ++it)
    if (it->first != kWholeList && it->second->open_requests == 0 && !it->second->removed &&
        now - it->second->last_used_at >= idle_for &&
        (oldest == modules_.end() || it->second->last_used_at < oldest->second->last_used_at))
      oldest = it;
  if (oldest == modules_.end()) return false;
  by_pool_.erase(oldest->second->pool);
  oldest->second->removed = any_removed_ = true;
  return true;
}

void PoolSet::free_modules(Micros now) {
  if (now - last_idle_check_ >= kIdleCheckInterval && modules_.size() > 1) {
    last_idle_check_ = now;
    while (free_idle(now, kModuleIdleTimeout)) {
    }
  }
  if (any_removed_) erase_removed();
}

void PoolSet::erase_removed() {
  any_removed_ = false;
  for (auto it = modules_.begin(); it != modules_.end();)
    it = it->second->removed && it->second->open_requests == 0 ? modules_.erase(it) : std::next(it);
}

bool PoolSet::has_live(const std::string& name) const {
  if (auto it = by_pool_.find(name); it != by_pool_.end()) {
    const auto& members = modules_.at(it->second)->members;
    return std::any_of(members.begin(), members.end(),
                       [](const auto& m) { return m.second == Health::Ready; });
  }
  const core::config::Pool* configured = pool(name);
  if (!configured || !configured->servers.empty()) return configured != nullptr;
  return std::any_of(hosts_.hosts.begin(), hosts_.hosts.end(), [&](const Host& host) {
    return host.server.health == Health::Ready && core::selected(*configured, host.server);
  });
}

/// Price caches of the discovery list drop one another's repeats if the class's group is all of
/// them; fixed addresses are not known to belong to the group.
bool PoolSet::shares_deduplication(const std::string& name) const {
  const core::config::Pool* configured = pool(name);
  if (!configured || !configured->servers.empty()) return false;
  for (const auto& c : config_.settings.classes)
    if (c.effect == violetusher::Effect::Keyed && c.group != violetusher::Group::All) return false;
  return true;
}

}  // namespace violetusher::net
