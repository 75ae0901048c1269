#include "host_registry.hpp"

namespace violetusher::net {

using violetusher::Health;

void HostRegistry::keep(const HostList& told) {
  version_ = told.version;
  std::map<std::string, Host> before;
  if (told.whole) before.swap(hosts_);
  for (const Host& host : told.hosts) {
    const std::string& id = host.server.id;
    if (host.server.health != Health::Removed)
      hosts_[id] = host;
    else if (auto node = hosts_.extract(id))
      before.insert(std::move(node));
  }
  for (const auto& [id, host] : before) {
    if (hosts_.count(id)) continue;
    if (left_.insert_or_assign(id, host.server.up_since).second) left_order_.push_back(id);
    if (left_order_.size() <= kMostLeft) continue;
    left_.erase(left_order_.front());
    left_order_.pop_front();
  }
}

/// Whether the same process was told to leave before, or has left.
bool HostRegistry::leaves(const Host& told) const {
  if (auto it = hosts_.find(told.server.id); it != hosts_.end())
    return it->second.server.health != Health::Ready &&
           it->second.server.up_since == told.server.up_since;
  auto it = left_.find(told.server.id);
  return it != left_.end() && it->second == told.server.up_since;
}

Host HostRegistry::masked(Host host) const {
  if (host.server.health == Health::Ready && is_banned(host.server.id))
    host.server.health = Health::Draining;
  return host;
}

HostList HostRegistry::apply(HostList&& told, bool doubted) {
  for (Host& host : told.hosts)
    host.server.up_since = starts_.start_of(host.server.id, host.server.up_since);
  if (told.whole) starts_.forget_unused();
  if (doubted)
    for (Host& host : told.hosts)
      if (host.server.health == Health::Ready && leaves(host))
        host.server.health = Health::Draining;
  if (told.whole)
    for (const std::string& id : told.unusable)
      if (auto it = hosts_.find(id); it != hosts_.end()) told.hosts.push_back(it->second);
  keep(told);
  for (Host& host : told.hosts) host = masked(std::move(host));
  return std::move(told);
}

HostList HostRegistry::set_banned(const std::string& id, bool out) {
  HostList change;
  change.version = version_;
  bool changed = out ? out_.insert(id).second : out_.erase(id) > 0;
  auto it = hosts_.find(id);
  if (changed && it != hosts_.end()) change.hosts.push_back(masked(it->second));
  return change;
}

}  // namespace violetusher::net
