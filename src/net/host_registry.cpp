#include "host_registry.hpp"

namespace violetusher::net {

using violetusher::Health;

void HostRegistry::store(const HostList& update) {
  version_ = update.version;
  std::map<std::string, Host> before;
  if (update.whole) before.swap(hosts_);
  for (const Host& host : update.hosts) {
    const std::string& id = host.server.id;
    if (host.server.health != Health::Removed)
      hosts_[id] = host;
    else if (auto node = hosts_.extract(id))
      before.insert(std::move(node));
  }
  for (const auto& [id, host] : before) {
    if (hosts_.count(id)) continue;
    if (removed_.insert_or_assign(id, host.server.up_since).second) removal_order_.push_back(id);
    if (removal_order_.size() <= kMaxRemoved) continue;
    removed_.erase(removal_order_.front());
    removal_order_.pop_front();
  }
}

/// Whether this process of the server was draining or removed before.
bool HostRegistry::was_draining_or_removed(const Host& update) const {
  if (auto it = hosts_.find(update.server.id); it != hosts_.end())
    return it->second.server.health != Health::Ready &&
           it->second.server.up_since == update.server.up_since;
  auto it = removed_.find(update.server.id);
  return it != removed_.end() && it->second == update.server.up_since;
}

Host HostRegistry::with_ban(Host host) const {
  if (host.server.health == Health::Ready && is_banned(host.server.id))
    host.server.health = Health::Draining;
  return host;
}

HostList HostRegistry::apply(HostList&& update, bool possibly_stale) {
  for (Host& host : update.hosts)
    host.server.up_since = start_times_.start_of(host.server.id, host.server.up_since);
  if (update.whole) start_times_.forget_unused();
  if (possibly_stale)
    for (Host& host : update.hosts)
      if (host.server.health == Health::Ready && was_draining_or_removed(host))
        host.server.health = Health::Draining;
  if (update.whole)
    for (const std::string& id : update.unusable)
      if (auto it = hosts_.find(id); it != hosts_.end()) update.hosts.push_back(it->second);
  store(update);
  for (Host& host : update.hosts) host = with_ban(std::move(host));
  return std::move(update);
}

HostList HostRegistry::drained_only_in(const HostList& other) const {
  HostList change;
  change.version = version_;
  std::map<std::string, const Host*> others;
  for (const Host& host : other.hosts) others[host.server.id] = &host;
  for (const auto& [id, host] : hosts_) {
    auto it = others.find(id);
    Health health = it == others.end() ? Health::Removed : it->second->server.health;
    bool same_process = it == others.end() || it->second->listed_start == host.listed_start;
    if (!same_process || health <= host.server.health) continue;
    change.hosts.push_back(host);
    change.hosts.back().server.health = health;
  }
  return change;
}

std::vector<Host> HostRegistry::listed() const {
  std::vector<Host> hosts;
  for (const auto& [id, host] : hosts_) hosts.push_back(host);
  return hosts;
}

HostList HostRegistry::set_banned(const std::string& id, bool banned) {
  HostList change;
  change.version = version_;
  bool changed = banned ? banned_.insert(id).second : banned_.erase(id) > 0;
  auto it = hosts_.find(id);
  if (changed && it != hosts_.end()) change.hosts.push_back(with_ban(it->second));
  return change;
}

}  // namespace violetusher::net
