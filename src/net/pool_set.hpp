// The pools: which have a decision module, what of each list of servers concerns it, and when it
// goes.
//
// The whole list is one pool that always is. Those of an operator file get their module when a
// request first comes to them and lose it when none has come for a while; a pool that is never
// asked for costs nothing but its lines in the model. A module has a number of its own, so that
// what was meant for one that is gone reaches no other.
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

class PoolSet final : public core::TrafficPolicy::PoolState {
 public:
  static constexpr std::uint32_t kWholeList = 0;  ///< the module of the whole list

  /// Told what modules are to hear, in order.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_module_start(std::uint32_t module) = 0;
    virtual void on_module_list(std::uint32_t module, violetusher::ListScope scope,
                                std::vector<violetusher::Server>&& servers) = 0;
  };
  struct Module {
    std::string pool;  ///< by name; empty for the whole list
    core::config::Selection selection;
    std::unique_ptr<violetusher::Balancer> balancer;
    std::unordered_map<std::string, violetusher::Health> members;
    std::size_t open_requests = 0;  ///< requests that it has
    bool removed = false;           ///< no version of the operator file has its pool any more
    Micros last_used_at = 0;
  };

  /// Makes the module of the whole list, with the servers that `config` knows. `config` must
  /// outlive the set. Throws ConfigError where the module can't use the settings.
  PoolSet(const Config& config, Handler& handler, Micros now);

  /// From here on the pools of `traffic` are there. Modules of pools that select other servers now,
  /// or are gone, go with their last request. Throws nothing.
  void set_traffic_policy(std::shared_ptr<const core::TrafficPolicy> traffic);
  /// Counts one more request in the module of the pool, which is made where there is none, and
  /// gives its number. Nothing where there are as many modules as may be, all in use. Call where no
  /// call of a module is under way.
  std::optional<std::uint32_t> begin_request(const std::string& pool, Micros now);
  std::uint32_t begin_whole_list_request();
  /// A request of the module has ended.
  void end_request(std::uint32_t module, Micros now);
  /// None where it is gone.
  Module* find(std::uint32_t module);

  /// Tells each module what of `list` concerns it. Gives the list with the addresses that pools
  /// name themselves, which discovery does not know.
  HostList apply_list(HostList&& list);
  void on_list_failure();
  /// The list as it is now, with those addresses; only while an operator file is in use.
  HostList whole_list() const;
  /// All modules take over `settings`, which PoolSet's configuration holds by now.
  void update_settings(const violetusher::Settings& settings);
  /// Frees modules that are to go. Call where no call of a module is under way.
  void free_modules(Micros now);

  std::size_t modules() const { return modules_.size(); }
  std::size_t max_modules() const { return max_modules_; }

  // core::Traffic::PoolState
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
  std::unordered_map<std::string, std::uint32_t> by_pool_;  // of those not leaving
  std::unordered_set<std::string>
      pool_addresses_;  // that pools of the operator file name themselves
  std::uint32_t next_ = kWholeList + 1;
  std::size_t max_modules_;
  bool any_removed_ = false;  // some module is to be freed
  Micros last_idle_check_ = 0;
  std::shared_ptr<const core::TrafficPolicy> traffic_policy_;
  HostList hosts_;  // as discovery has told it; only while an operator file is in use
};

}  // namespace violetusher::net
