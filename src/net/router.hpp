// Wires the router together: its components, the event loop that drives them, and configuration
// changes at run time. Turns socket events into calls to decision modules and their actions into
// I/O; nothing else calls a module.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "claims_memory.hpp"
#include "client_side.hpp"
#include "config.hpp"
#include "core/audit/activity_recorder.hpp"
#include "core/flight/ring.hpp"
#include "core/guard/invariants.hpp"
#include "core/ops/metrics.hpp"
#include "discovery.hpp"
#include "io.hpp"
#include "list_sharing.hpp"
#include "log.hpp"
#include "module_feed.hpp"
#include "operations.hpp"
#include "pool_set.hpp"
#include "request_core.hpp"
#include "server_side.hpp"
#include "timers.hpp"

namespace violetusher::net {

/// One router: client and server connections, discovery, operators and decision modules.
class Router final : Discovery::Handler,
                     ListSharing::Handler,
                     PoolSet::Handler,
                     Operations::Handler {
 public:
  /// Throws ConfigError if the configuration cannot be used.
  Router(Io& io, const Config& config, Log& log);

  /// Whether the banned servers are known; false while the stored bans cannot be read. Call again,
  /// and listen only once it is true.
  bool may_serve() { return operations_.bans_known(); }
  /// Runs the event loop until discovery has confirmed the host list, or until it is better to
  /// start without; see StartupGate. False if stop() was called meanwhile.
  bool await_host_list();
  /// Returns false with the reason in `error`.
  bool listen(std::string& error);
  /// Sets a function that is called once per iteration of the loop, many times a second.
  void on_each_iteration(std::function<void()> call) { on_each_iteration_ = std::move(call); }
  /// Runs until a shutdown started by stop() is complete.
  void run();
  /// Starts a graceful shutdown, within the times that PROTOCOL gives for restarts.
  void stop();
  /// Applies a new configuration at run time: the address of discovery, and the settings. Other
  /// differences need a restart and are logged. Returns false and keeps the old configuration if
  /// the new one cannot be used.
  bool reload(const Config& config);
  /// Counts a finished reload in the metrics.
  void record_reload(bool accepted) { metrics_.count_reload(accepted); }
  /// Applies an operator file's model at the start or at run time, to requests from now on. Open
  /// requests keep the route and the pool that they started with; removed pools end with their last
  /// request.
  void apply_model(core::config::Model model);
  /// Makes the listeners of the file the only ones besides the configuration's own, which is `main`
  /// there. Throws ConfigError and changes nothing if one cannot be opened.
  void update_listeners(const core::config::Model& model);
  /// Records what happens to each request in `ring`, which must outlive the router; null turns
  /// recording off. `alert` is called when a request comes close to violating an invariant.
  void record(core::flight::Ring* ring, std::function<void(const char* what)> alert);

  /// Reports attempts, rejections and the view under which they happen to `activity_recorder`,
  /// which must outlive the router; a period ends every `every`.
  void attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder, Micros every);
  /// Tells the activity recorder that something besides the host list has changed by which requests
  /// are served.
  void record_serving_change() {
    if (activity_recorder_) activity_recorder_->changed(io_.now());
  }

  /// From now on bans are kept for the whole fleet; see Operations.
  void use(Operations::FleetBans& fleet_bans) { operations_.use_fleet_bans(fleet_bans); }
  void set_bans(const std::set<std::string>& banned) { operations_.apply_bans(banned); }

  const Config& config() const { return config_; }
  /// Version of the host list in use, as discovery named it.
  const std::string& list_version() const { return operations_.hosts().version(); }
  const std::set<std::string>& banned_servers() const { return operations_.hosts().banned_ids(); }
  std::uint16_t port(const std::string& listener = {}) const { return clients_.port(listener); }
  std::uint16_t operator_port() const { return operations_.port(); }
  /// Age of that list: the time since a response of discovery last confirmed it.
  Micros list_age() const { return discovery_.age(); }
  /// Calls to discovery since the start.
  std::uint64_t discovery_calls() const { return discovery_.counts().made; }
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
  void on_hosts(HostList&& list, bool possibly_stale) override;
  // ListSharing::Handler
  core::membership::ListIdentity list_identity() const override {
    return discovery_.list_identity();
  }
  std::optional<StoredList> list_to_share() const override;
  void on_shared_list(StoredList&& stored, core::membership::ListOrder order) override;
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
  bool accepts_clients() const override { return listening_; }

  void apply_hosts(HostList&& list, bool possibly_stale);
  void update_settings(const violetusher::Settings& settings);
  /// Whether another pass of run() would find something to do without any new event.
  bool has_pending_work() const;
  void run_iteration();
  void run_due_timers();
  void arm_timer();
  /// Delivers queued events to their modules and carries out the actions they return, until the
  /// queue is empty.
  void deliver_events();
  const violetusher::Actions& deliver(violetusher::Balancer& balancer, ModuleEvent& event);
  void apply_actions(std::uint32_t module, const violetusher::Actions& actions);
  void advance_shutdown();
  void end_requests();
  void log_violation(const core::Violation& violation);

  Io& io_;
  Config config_;
  Log& log_;
  core::flight::Recorder recorder_;
  core::ops::Metrics metrics_;
  core::InvariantChecker invariants_;
  ClaimsMemory claims_memory_;
  core::RequestClaims claims_;
  Timers timers_;
  ModuleFeed feed_;
  PoolSet pools_;
  RequestCore core_;
  ClientSide clients_;
  ServerSide servers_;
  Discovery discovery_;
  Operations operations_;
  ListSharing list_sharing_;
  std::shared_ptr<core::TrafficPolicy> traffic_policy_;
  core::audit::ActivityRecorder* activity_recorder_ = nullptr;
  Micros activity_period_ = 0;
  std::unique_ptr<Alarm> alarm_, stop_alarm_, settings_transition_alarm_, activity_alarm_;
  violetusher::Request request_;         // reused to describe requests to modules
  violetusher::Settings next_settings_;  // applied at the end of the transition
  Micros armed_at_ = 0;                  // 0 = not set
  Micros stopping_since_ = 0;
  int delivered_polls_ = 0;  // of a shutdown, in a row: see end_requests()
  std::function<void()> on_each_iteration_;
  bool listening_ = false, running_ = false, done_ = false;
};

}  // namespace violetusher::net
