// The router's wiring: its parts, the loop that drives them, and what it takes over while running.
// What happens on sockets becomes calls on decision modules here, and their actions become I/O;
// nothing else calls a module.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "client_side.hpp"
#include "config.hpp"
#include "core/audit/activity_recorder.hpp"
#include "core/flight/ring.hpp"
#include "core/guard/invariants.hpp"
#include "core/ops/metrics.hpp"
#include "discovery.hpp"
#include "io.hpp"
#include "log.hpp"
#include "module_feed.hpp"
#include "operations.hpp"
#include "pool_set.hpp"
#include "request_core.hpp"
#include "server_side.hpp"
#include "timers.hpp"

namespace violetusher::net {

class Router final : Discovery::Handler, PoolSet::Handler, Operations::Handler {
 public:
  /// Throws ConfigError when the configuration can't be used.
  Router(Io& io, const Config& config, Log& log);

  /// Whether it is known which servers may be sent to; false while what outlives the process can't
  /// be read for now. Call again, and listen only then.
  bool may_serve() { return operations_.bans_known(); }
  /// False with the reason in `error`.
  bool listen(std::string& error);
  /// Called once a turn of the loop, which turns many times a second.
  void on_each_iteration(std::function<void()> call) { on_each_iteration_ = std::move(call); }
  /// Runs until stop() has been carried out.
  void run();
  /// Planned end: see PROTOCOL's figures for restarts.
  void stop();
  /// Takes over a new configuration while running: where discovery is, and the settings. What else
  /// differs needs a restart and is logged. False, with the old one kept, where it can't be used.
  bool reload(const Config& config);
  /// A reload has come to its end; for the figures.
  void record_reload(bool accepted) { metrics_.count_reload(accepted); }
  /// Takes over an operator file's model, at the start or while running: what comes from now on
  /// goes by it. Requests that are open finish on the route and in the pool that they began with;
  /// pools that are gone end with their last request.
  void apply_model(core::config::Model model);
  /// Listens on just those of the file's listeners, besides the configuration's own, which is
  /// `main` there. Throws ConfigError where one can't be had; then nothing has changed.
  void update_listeners(const core::config::Model& model);
  /// Notes what happens to each request in `ring`, which outlives the router, or in none; `alert`
  /// is told where a rule is close to being broken.
  void record(core::flight::Ring* ring, std::function<void(const char* what)> alert);

  /// Tells `account`, which outlives the router, what is done and on what; it closes a period each
  /// `every`.
  void attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder, Micros every);
  /// Something that requests are served by has changed, besides the list.
  void record_serving_change() {
    if (activity_recorder_) activity_recorder_->changed(io_.now());
  }

  /// Servers out and back are the fleet's matter from now on; see Operations::use().
  void use(Operations::FleetBans& fleet_bans) { operations_.use_fleet_bans(fleet_bans); }
  void set_bans(const std::set<std::string>& banned) { operations_.apply_bans(banned); }

  const Config& config() const { return config_; }
  /// Of the list of servers in use, as discovery named it.
  const std::string& list_version() const { return operations_.hosts().version(); }
  const std::set<std::string>& banned_servers() const { return operations_.hosts().banned_ids(); }
  std::uint16_t port(const std::string& listener = {}) const { return clients_.port(listener); }
  std::uint16_t operator_port() const { return operations_.port(); }
  /// How old that list may be: since an answer of discovery last showed what it is.
  Micros list_age() const { return discovery_.age(); }
  /// Made at discovery since the start.
  std::uint64_t discovery_calls() const { return discovery_.calls(); }
  std::size_t pools() const { return pools_.modules(); }
  std::size_t open_requests() const { return core_.table().size(); }
  std::size_t max_open_requests() const { return core_.table().max_requests(); }
  std::size_t timers() const { return timers_.size(); }
  std::size_t client_connections() const { return clients_.connections(); }
  std::size_t client_buffered() const { return clients_.buffered(); }
  std::size_t server_pools() const { return servers_.pools(); }
  std::size_t server_connections() const { return servers_.connections(); }

 private:
  // Discovery::Handler
  void on_hosts(HostList&& list, bool possibly_stale) override {
    operations_.hosts().on_response(io_.now(), list.date);
    servers_.update_hosts(
        pools_.apply_list(operations_.hosts().apply(std::move(list), possibly_stale)));
    record_serving_change();
  }
  void on_hosts_failed() override { pools_.on_list_failure(); }
  // PoolSet::Handler
  void on_module_start(std::uint32_t module) override { feed_.push(StartEvent{module}); }
  void on_module_list(std::uint32_t module, violetusher::ListScope scope,
                      std::vector<violetusher::Server>&& servers) override {
    feed_.push(ListEvent{module, scope, std::move(servers)});
  }

  // Operations::Handler
  void on_ban_change(HostList&& change) override {
    servers_.update_hosts(pools_.apply_list(std::move(change)));
    record_serving_change();
  }
  core::ops::Metrics::Gauges current_figures() override;

  void update_settings(const violetusher::Settings& settings);
  void run_due_timers();
  void arm_timer();
  /// Tells modules what has happened and carries out what they answer, until nothing is left.
  void deliver_events();
  const violetusher::Actions& deliver(violetusher::Balancer& balancer, ModuleEvent& event);
  void apply_actions(std::uint32_t module, const violetusher::Actions& actions);
  void advance_shutdown();
  void log_violation(const core::Violation& violation);

  Io& io_;
  Config config_;
  Log& log_;
  core::flight::Recorder recorder_;
  core::ops::Metrics metrics_;
  core::InvariantChecker invariants_;
  Timers timers_;
  ModuleFeed feed_;
  PoolSet pools_;
  RequestCore core_;
  ClientSide clients_;
  ServerSide servers_;
  Discovery discovery_;
  Operations operations_;
  std::shared_ptr<core::TrafficPolicy> traffic_policy_;
  core::audit::ActivityRecorder* activity_recorder_ = nullptr;
  Micros activity_period_ = 0;
  std::unique_ptr<Alarm> alarm_, stop_alarm_, settings_transition_alarm_, activity_alarm_;
  violetusher::Request request_;         // the one that a module is told of
  violetusher::Settings next_settings_;  // from the end of the change-over
  Micros armed_at_ = 0;                  // 0: not set
  Micros stopping_since_ = 0;
  std::function<void()> on_each_iteration_;
  bool running_ = false, done_ = false;
};

}  // namespace violetusher::net
