// The pools: which of them have a decision module, which part of each host list their modules
// receive, and when modules are freed.
//
// The whole list is one pool that always exists. A pool of the operator file gets its module when a
// request first uses it and loses it after a while without requests; an unused pool costs nothing
// but its entry in the model. Each module has a number of its own, so that events for a freed
// module reach no other.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config.hpp"
#include "core/route/traffic_policy.hpp"
#include "io.hpp"

namespace violetusher::net {

/// The pools and their decision modules.
class PoolSet final : public core::TrafficPolicy::PoolState {
 public:
  static constexpr std::uint32_t kWholeList = 0;  ///< the module of the whole list

  /// Receives the events that are to be delivered to modules, in order.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_module_start(std::uint32_t module) = 0;
    virtual void on_module_list(std::uint32_t module, violetusher::ListScope scope,
                                std::vector<violetusher::Server>&& servers) = 0;
  };
  /// One decision module and the state of its pool.
  struct Module {
    std::string pool;  ///< name; empty for the whole list
    core::config::Selection selection;
    std::unique_ptr<violetusher::Balancer> balancer;
    std::unordered_map<std::string, violetusher::Health> members;
    std::size_t open_requests = 0;  ///< requests that use it
    bool removed = false;           ///< the operator file no longer has its pool
    Micros last_used_at = 0;
  };

  /// Creates the module of the whole list, with the servers that `config` names. `config` must
  /// outlive the set. Throws ConfigError if the module cannot use the settings.
  PoolSet(const Config& config, Handler& handler, Micros now);

  /// Replaces the pools by those of `traffic`. Modules of pools that are removed, or that select
  /// other servers now, are freed with their last request. Throws nothing.
  void set_traffic_policy(std::shared_ptr<const core::TrafficPolicy> traffic);
  /// Counts one more request in the module of the pool, creating it if needed, and returns the
  /// module's number. Nothing if the maximum number of modules is in use. Must not be called while
  /// a module is being called.
  std::optional<std::uint32_t> begin_request(const std::string& pool, Micros now);
  /// The same for the module of the whole list.
  std::uint32_t begin_whole_list_request();
  /// A request of the module has ended.
  void end_request(std::uint32_t module, Micros now);
  /// Null if it has been freed.
  Module* find(std::uint32_t module);

  /// Sends each module its part of `list`. Returns the list with the addresses that pools name
  /// themselves, which discovery does not know.
  HostList apply_list(HostList&& list);
  /// The current list with those addresses; only valid while an operator file is in use.
  HostList whole_list() const;
  /// Applies `settings`, which PoolSet's configuration holds by now, to all modules.
  void update_settings(const violetusher::Settings& settings);
  /// Frees modules that are removed or idle. Must not be called while a module is being called.
  void free_modules(Micros now);

  std::size_t modules() const { return modules_.size(); }
  std::size_t max_modules() const { return max_modules_; }

  // core::TrafficPolicy::PoolState
  bool has_live(const std::string& pool) const override;
  bool shares_deduplication(const std::string& pool) const override;

 private:
  const core::config::Pool* pool(const std::string& name) const;
  void create_module(std::uint32_t number, const std::string& name,
                     const core::config::Selection& selection, Micros now);
  void send_list(std::uint32_t number, Module& module, violetusher::ListScope scope,
                 const std::vector<violetusher::Server>& servers);
  HostList with_addresses(HostList list) const;
  void store(HostList&& list);
  void erase_removed();
  bool free_idle(Micros now, Micros idle_for);

  const Config& config_;
  Handler& handler_;
  std::map<std::uint32_t, std::unique_ptr<Module>> modules_;
  std::unordered_map<std::string, std::uint32_t> by_pool_;  // of pools that are not removed
  std::unordered_set<std::string> pool_addresses_;          // named by pools of the operator file
  std::uint32_t next_ = kWholeList + 1;
  std::size_t max_modules_;
  bool any_removed_ = false;  // some module is to be freed
  Micros last_idle_check_ = 0;
  std::shared_ptr<const core::TrafficPolicy> traffic_policy_;
  HostList hosts_;  // as sent by discovery; only while an operator file is in use
};

}  // namespace violetusher::net
