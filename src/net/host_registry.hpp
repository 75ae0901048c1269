// The cache servers that discovery has listed, with the operators' bans applied: a banned server
// appears as `Draining` in every list given out here, whatever discovery says meanwhile.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "core/membership/start_times.hpp"
#include "io.hpp"

namespace violetusher::net {

/// The listed servers and the bans over them.
class HostRegistry {
 public:
  explicit HostRegistry(const HostList& initial_hosts) { store(initial_hosts); }

  /// A response of discovery came at `now`, with the time `date` of discovery in it; see
  /// StartTimes.
  void on_response(Micros now, Micros date) {
    start_times_.on_response(now, date);
    if (date > 0) last_date_ = {now, date};
  }
  /// A time of discovery's clock, and when it came by the router's clock; 0 before the first.
  struct DiscoveryDate {
    Micros received_at = 0, date = 0;
  };
  const DiscoveryDate& last_date() const { return last_date_; }
  /// Records a list from discovery and returns it as the router is to apply it. Entries that could
  /// not be parsed keep their previous state. `possibly_stale`: the list may be older than the one
  /// held, so a server that was draining, or was removed lately, stays so unless it has been
  /// restarted.
  HostList apply(HostList&& update, bool possibly_stale = false);
  /// Bans the server or lifts its ban. Returns the change for the router, without hosts if nothing
  /// changes for it.
  HostList set_banned(const std::string& id, bool banned);

  bool is_banned(const std::string& id) const { return banned_.count(id) > 0; }
  /// Whether an operator may refer to this server: it is listed, or was banned before it was
  /// removed.
  bool known(const std::string& id) const { return hosts_.count(id) > 0 || is_banned(id); }
  std::size_t size() const { return hosts_.size(); }
  /// Version of the list, as discovery named it; empty before the first list.
  const std::string& version() const { return version_; }
  const std::set<std::string>& banned_ids() const { return banned_; }
  /// The change that takes out of use what `other`, the same version at another process, takes out
  /// of use. They differ where an answer had unusable entries, which keeps the version.
  HostList drained_only_in(const HostList& other) const;
  /// The full list as discovery sent it, without bans.
  std::vector<Host> listed() const;
  /// Calls `f` with each listed server as the router is to apply it.
  template <typename F>
  void each(F&& f) const {
    for (const auto& [id, host] : hosts_) f(with_ban(host));
  }

 private:
  void store(const HostList& update);
  bool was_draining_or_removed(const Host& update) const;
  Host with_ban(Host host) const;

  std::string version_;
  std::map<std::string, Host> hosts_;  // as listed, without removed ones
  std::set<std::string> banned_;
  core::membership::StartTimes start_times_;
  DiscoveryDate last_date_;
  // Start times of removed servers; the oldest removal is dropped above kMaxRemoved.
  static constexpr std::size_t kMaxRemoved = 4096;
  std::unordered_map<std::string, Micros> removed_;
  std::deque<std::string> removal_order_;
};

}  // namespace violetusher::net
