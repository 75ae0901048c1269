#include "host_book.hpp"

namespace violetusher::net {

using violetusher::Health;

void HostBook::keep(const HostList& told) {
  if (told.whole) hosts_.clear();
  version_ = told.version;
  for (const Host& host : told.hosts) {
    if (host.server.health == Health::Gone)
      hosts_.erase(host.server.id);
    else
      hosts_[host.server.id] = host;
  }
}

Host HostBook::masked(Host host) const {
  if (host.server.health == Health::Ready && out(host.server.id))
    host.server.health = Health::Draining;
  return host;
}

HostList HostBook::take(HostList&& told) {
  keep(told);
  for (Host& host : told.hosts) host = masked(std::move(host));
  return std::move(told);
}

HostList HostBook::set_out(const std::string& id, bool out) {
  HostList change;
  change.version = version_;
  bool changed = out ? out_.insert(id).second : out_.erase(id) > 0;
  auto it = hosts_.find(id);
  if (changed && it != hosts_.end()) change.hosts.push_back(masked(it->second));
  return change;
}

}  // namespace violetusher::net
