// What discovery has told of the cache servers, with the operators' word over it: a server that
// they have taken out is `Draining` to all that hear of it here, whatever discovery says in
// between.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "config.hpp"
#include "core/membership/start_times.hpp"
#include "io.hpp"

namespace violetusher::net {

class HostRegistry {
 public:
  explicit HostRegistry(const HostList& initial_hosts) { store(initial_hosts); }

  /// An answer of discovery came at `now`, with its own time `date` in it; see StartTimes.
  void on_response(Micros now, Micros date) { start_times_.on_response(now, date); }
  /// Takes over what discovery tells and gives the list as the router is to take it. Entries that
  /// could not be used stay as they were. `doubted`: discovery may know less than what is held, so
  /// whoever was told to leave, or has left lately, stays so unless started anew.
  HostList apply(HostList&& update, bool possibly_stale = false);
  /// Takes the server out, or puts it back. What the router is to hear of it; no hosts where
  /// nothing changes for it.
  HostList set_banned(const std::string& id, bool banned);

  bool is_banned(const std::string& id) const { return banned_.count(id) > 0; }
  /// Whether an operator can mean this one: it is listed, or was taken out before it left.
  bool known(const std::string& id) const { return hosts_.count(id) > 0 || is_banned(id); }
  std::size_t size() const { return hosts_.size(); }
  /// Of the list, as discovery named it; empty before the first.
  const std::string& version() const { return version_; }
  const std::set<std::string>& banned_ids() const { return banned_; }
  /// Calls `f` with each listed server as the router is to take it.
  template <typename F>
  void each(F&& f) const {
    for (const auto& [id, host] : hosts_) f(with_ban(host));
  }

 private:
  void store(const HostList& update);
  bool was_draining_or_removed(const Host& update) const;
  Host with_ban(Host host) const;

  std::string version_;
  std::map<std::string, Host> hosts_;  // as told, those that have left not
  std::set<std::string> banned_;
  core::membership::StartTimes start_times_;
  // Of those that have left, when they had started; the oldest is forgotten past kMaxRemoved.
  static constexpr std::size_t kMaxRemoved = 4096;
  std::unordered_map<std::string, Micros> removed_;
  std::deque<std::string> removal_order_;
};

}  // namespace violetusher::net
