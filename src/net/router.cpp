#include "router.hpp"

#include <algorithm>

#include "core/membership/startup_gate.hpp"
#include "core/ops/settings_update.hpp"
#include "heap.hpp"

namespace violetusher::net {
namespace {

using violetusher::ListScope;

// Descriptors for the listener, the event base, discovery and the log.
constexpr std::size_t kReservedSockets = 24;
// Descriptors for operators: their listener, their connections, the file of bans.
constexpr std::size_t kOperatorSockets = OperatorListener::kMaxConnections + 4;
constexpr std::size_t kSpareClientConnections = 50;
// Memory limits, as divisors of the router's memory: for the commands of open requests, and for the
// buffers of clients and those of servers. An open request takes kOverheadBytesPerRequest besides
// its command: its entries in the tables here and in the module, its timers and its response.
constexpr std::size_t kRequestMemoryDivisor = 4, kBufferMemoryDivisor = 8;
constexpr std::size_t kOverheadBytesPerRequest = 4096;
// After SIGTERM the front still sends new connections for up to 0.4 s, and those that come after
// 0.7 s are not the router's responsibility any more: it stops listening in between.
constexpr Micros kStopListeningAfter = kSecond / 2;
constexpr Micros kStartupPollInterval = 20 * kMillisecond;
constexpr Micros kRecentlyConfirmed = kSecond;
constexpr Micros kStopPollInterval = 20 * kMillisecond;
// SIGKILL comes 0.7 s after the longest deadline, which the platform caps at kMaxDeadline. Before
// that the open requests are failed, early enough for a router that is held up for 0.15 s.
constexpr Micros kMaxDeadline = 3 * kSecond;
constexpr Micros kShutdownMargin = 500 * kMillisecond;
// Polls between the last response and the exit: a process that exits with unread bytes resets the
// connections, which discards unread responses. Polls and not time: a router that was held up has
// read nothing meanwhile.
constexpr int kShutdownLingerPolls = 3;
// Passes over events, servers and clients before sockets and alarms are looked at again.
constexpr int kMaxPassesPerTurn = 4;

const violetusher::Actions kNoActions;

std::size_t usable_sockets(const Config& c) {
  std::size_t reserved = kReservedSockets + (c.operator_listen.empty() ? 0 : kOperatorSockets);
  return c.sockets - std::min(reserved, c.sockets / 2);
}

/// A third, rounded up, is for servers.
std::size_t server_sockets(const Config& c) { return (usable_sockets(c) + 2) / 3; }

ClientSide::Limits client_limits(const Config& c) {
  ClientSide::Limits l;
  l.spare_connections = std::min(kSpareClientConnections, c.sockets / 16);
  l.connections = usable_sockets(c) - server_sockets(c) - l.spare_connections;
  l.buffer_bytes = c.memory_bytes / kBufferMemoryDivisor;
  return l;
}

ServerSide::Limits server_limits(const Config& c) {
  ServerSide::Limits l;
  l.connections = server_sockets(c);
  l.buffer_bytes = c.memory_bytes / kBufferMemoryDivisor;
  l.table = core::connection_share(c.settings.routers, c.connection_settings.keepalive);
  l.streams = c.connection_settings.streams;
  l.dial_timeout = c.connection_settings.dial_timeout;
  return l;
}

RequestTable::Bounds table_bounds(const Config& c) {
  std::size_t bytes = c.memory_bytes / kRequestMemoryDivisor;
  return {std::min(bytes / kOverheadBytesPerRequest,
                   static_cast<std::size_t>(c.connection_settings.max_open)),
          bytes};
}

/// Where the platform replaces a process, or operators keep state over restarts.
std::string shared_list_path(const Config& c) {
  bool keeps_state = c.accept_fd >= 0 || !c.operator_listen.empty();
  return keeps_state ? c.state_file("hosts") : "";
}

core::membership::WatchTiming watch_timing_of(const violetusher::Settings& settings) {
  return settings.list_on_demand
             ? core::membership::polled_timing(settings.routers, settings.list_refresh_interval)
             : core::membership::pushed_timing(settings.drain_grace);
}

Micros longest_deadline(const Config& c) {
  Micros longest = 0;
  for (const auto& one : c.settings.classes) longest = std::max(longest, one.deadline);
  return std::min(longest, kMaxDeadline);
}

}  // namespace

Router::Router(Io& io, const Config& config, Log& log)
    : io_(io),
      config_(config),
      log_(log),
      // Another process may replace this one where the platform holds the listening socket.
      claims_memory_(config.accept_fd < 0 ? "" : config.state_file("claims")),
      claims_(claims_memory_.slots()),
      pools_(config_, *this, io.now()),
      core_({io, config_, pools_, timers_, feed_, clients_, servers_, recorder_, metrics_,
             invariants_, log, claims_},
            table_bounds(config)),
      clients_(io, core_, client_limits(config), &invariants_),
      servers_(io, core_, server_limits(config), &config_.settings.report_fields, recorder_),
      discovery_(io, config.discovery, config.initial_hosts.version,
                 watch_timing_of(config.settings), config.seed, *this, log),
      operations_(io, config_, metrics_, *this, log),
      list_sharing_(io, shared_list_path(config), *this, log),
      alarm_(io.alarm([this] { armed_at_ = 0; })),  // run() handles the timers that are due
      stop_alarm_(io.alarm([this] { advance_shutdown(); })),
      settings_transition_alarm_(io.alarm([this] { update_settings(next_settings_); })) {
  for (const auto& c : config_.settings.classes) metrics_.add_class(c.name);
  if (!config.initial_hosts.fault.empty())
    log.write(io.now(), Log::Level::kWarn, "known-bad-list",
              "initial host list (known): " + config.initial_hosts.fault);
  invariants_.on_violation([this](const core::Violation& v) { log_violation(v); });
  servers_.update_hosts(config_.initial_hosts);
  list_sharing_.start();
  discovery_.start();
  operations_.start();
}

void Router::apply_hosts(HostList&& list, bool possibly_stale) {
  servers_.update_hosts(
      pools_.apply_list(operations_.hosts().apply(std::move(list), possibly_stale)));
  record_serving_change();
}

void Router::on_hosts(HostList&& list, bool possibly_stale) {
  operations_.hosts().on_response(io_.now(), list.date);
  apply_hosts(std::move(list), possibly_stale);
  list_sharing_.publish();
}

std::optional<StoredList> Router::list_to_share() const {
  if (!discovery_.has_list()) return std::nullopt;
  const HostRegistry& hosts = operations_.hosts();
  StoredList stored;
  stored.identity = discovery_.list_identity();
  stored.list.whole = true;
  stored.list.version = stored.identity.version;
  stored.list.hosts = hosts.listed();
  stored.list.date = hosts.last_date().date;
  stored.received_at = io_.uptime() - (io_.now() - hosts.last_date().received_at);
  return stored;
}

void Router::on_shared_list(StoredList&& stored, core::membership::ListOrder order) {
  if (order == core::membership::ListOrder::kSame) {
    HostList change = operations_.hosts().drained_only_in(stored.list);
    if (!change.hosts.empty()) apply_hosts(std::move(change), false);
    return;
  }
  Micros now = io_.now(), uptime = io_.uptime();
  if (stored.list.date > 0)
    operations_.hosts().on_response(now - (uptime - stored.received_at), stored.list.date);
  std::string before = list_version(), version = stored.identity.version;
  std::int64_t age = (uptime - stored.identity.confirmed_at) / kMillisecond;
  bool unconfirmed = order == core::membership::ListOrder::kNewerCount;
  discovery_.adopt_list(stored.identity);
  apply_hosts(std::move(stored.list), unconfirmed);
  if (unconfirmed) discovery_.fetch();
  log_.write(now, Log::Level::kInfo, "list-taken-over",
             "shared list: " + version + " of another process in use after " + before +
                 "; confirmed " + std::to_string(age) + " ms ago",
             {{"list", std::string_view(version)},
              {"before", std::string_view(before)},
              {"list_age_ms", age}});
}

bool Router::await_host_list() {
  io_.update_time();
  core::membership::StartupGate gate(io_.now(), watch_timing_of(config_.settings).max_startup_wait);
  std::unique_ptr<Alarm> poll = io_.alarm([] {});
  while (!stopping_since_ && !gate.is_open(io_.now(), discovery_.confirmed())) {
    poll->set(kStartupPollInterval);
    run_iteration();
  }
  if (!stopping_since_ && !discovery_.confirmed())
    log_.write(io_.now(), Log::Level::kWarn, "list-unconfirmed",
               "discovery: no list so far; serving with the one of the configuration",
               {{"list", std::string_view(list_version())},
                {"calls", static_cast<std::int64_t>(discovery_.counts().made)}});
  return !stopping_since_;
}

bool Router::listen(std::string& error) {
  auto address = parse_address(config_.listen, true);
  if (!address) {
    error = "invalid listen address '" + config_.listen + "', expected IP:PORT";
    return false;
  }
  invariants_.on_start(operations_.bans_known());
  listening_ = config_.accept_fd < 0 ? clients_.listen(*address, error)
                                     : clients_.adopt(config_.accept_fd, error);
  if (!listening_ || config_.accept_fd < 0) return listening_;
  // The process that has served until now may not share its list, as an older release does not, and
  // may have been told more since this one was. Without a confirmed list the calls of the watch are
  // still on their way and bring as much.
  bool may_lack_changes = discovery_.confirmed() && discovery_.age() >= kRecentlyConfirmed;
  if (!list_sharing_.has_heard() && may_lack_changes) discovery_.fetch();
  if (list_sharing_.has_heard()) discovery_.begin_takeover();
  return true;
}

void Router::update_listeners(const core::config::Model& model) {
  std::map<std::string, std::string> addresses;
  for (const auto& [name, listener] : model.listeners)
    if (name != "main") addresses[name] = listener.address;
  std::string error;
  if (!stopping_since_ && !clients_.update_listeners(addresses, error)) throw ConfigError(error);
}

void Router::apply_model(core::config::Model model) {
  // With a file without routes requests go to the whole list, as without a file.
  bool routes = !model.routes.empty();
  if (!routes && !traffic_policy_) return;
  // After the start the host list that is kept for pools may be as old as the start.
  if (!traffic_policy_ && running_) discovery_.fetch();
  traffic_policy_ = std::make_shared<core::TrafficPolicy>(std::move(model), traffic_policy_.get());
  pools_.set_traffic_policy(traffic_policy_);
  core_.set_traffic_policy(routes ? traffic_policy_ : nullptr);
  servers_.update_hosts(pools_.whole_list());
  record_serving_change();
}

void Router::record(core::flight::Ring* ring, std::function<void(const char* what)> alert) {
  recorder_.attach(ring);
  core_.on_alert(std::move(alert));
}

void Router::attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder,
                                      Micros every) {
  activity_recorder_ = &activity_recorder;
  activity_period_ = every;
  servers_.attach_activity_recorder(activity_recorder);
  core_.attach_activity_recorder(activity_recorder);
  activity_alarm_ = io_.alarm([this] {
    activity_recorder_->tick(io_.now());
    activity_alarm_->set(activity_period_);
  });
  activity_alarm_->set(activity_period_);
  record_serving_change();
}

void Router::run() {
  running_ = true;
  while (!done_) run_iteration();
  clients_.flush();
  if (activity_recorder_) activity_recorder_->tick(io_.now());
}

void Router::run_iteration() {
  for (int pass = 0; pass == 0 || (has_pending_work() && pass < kMaxPassesPerTurn); ++pass) {
    run_due_timers();
    deliver_events();
    // Requests are written before responses, as they have the longer way to go.
    servers_.flush();
    clients_.flush();
    io_.update_time();
  }
  arm_timer();
  io_.run_once(has_pending_work() ? Io::Wait::kNone : Io::Wait::kForEvents);
  if (on_each_iteration_) on_each_iteration_();
}

bool Router::has_pending_work() const {
  return !feed_.empty() || servers_.dirty() || clients_.dirty();
}

void Router::stop() {
  if (stopping_since_) return;
  stopping_since_ = io_.now();
  // The backlog of a shared listener is left to the other process; nobody else accepts from our
  // own.
  stop_alarm_->set(config_.accept_fd < 0 ? kStopListeningAfter : 0);
}

void Router::advance_shutdown() {
  clients_.drain();
  Micros limit = longest_deadline(config_) + kShutdownMargin;
  if (io_.now() - stopping_since_ > limit) end_requests();
  bool nothing_left =
      core_.table().size() == 0 && clients_.connections() == 0 && !clients_.listens();
  // Nobody else may know what discovery told this process last.
  bool owes_list = list_sharing_.pending() && io_.now() - stopping_since_ <= limit;
  done_ = !owes_list && (delivered_polls_ > kShutdownLingerPolls || nothing_left);
  if (!done_) stop_alarm_->set(kStopPollInterval);
}

/// Fails what is open, and counts the polls at which all responses were delivered. Those of this
/// call are written later in this turn of the loop, so they count from the next poll on at the
/// earliest. Clients that read slowly have the time limits of their connections.
void Router::end_requests() {
  bool delivered = core_.unanswered() == 0 && clients_.delivered();
  delivered_polls_ = delivered ? delivered_polls_ + 1 : 0;
  core_.fail_all();
  clients_.close_all();
}

bool Router::reload(const Config& config) {
  Micros now = io_.now();
  auto differs = [&](std::string_view what) {
    log_.write(now, Log::Level::kWarn, "reload-needs-restart",
               "reload: " + std::string(what) + " differs: needs a restart", {{"setting", what}});
  };
  std::string_view address = config.discovery;
  if (!parse_address(config.discovery)) {
    log_.write(now, Log::Level::kError, "reload-bad-discovery",
               "reload: invalid discovery address '" + config.discovery +
                   "', expected IP:PORT; the old one is kept",
               {{"address", address}});
    return false;
  }
  if (config.listen != config_.listen) differs("listen");
  if (config.memory_bytes != config_.memory_bytes || config.sockets != config_.sockets)
    differs("limits");
  if (config.operator_listen != config_.operator_listen) differs("operator");
  // The current settings may themselves be a transition; the classes of both are accepted until its
  // end.
  try {
    // The transition may hide what the module would not take at its end.
    violetusher::Balancer(config.settings, config.seed, now);
    update_settings(core::ops::strictest_of(config_.settings, config.settings));
  } catch (const std::invalid_argument& e) {
    log_.write(now, Log::Level::kError, "reload-bad-settings",
               std::string("reload: settings: ") + e.what() + "; the old ones are kept",
               {{"reason", std::string_view(e.what())}});
    return false;
  }
  next_settings_ = config.settings;  // only once they are known to be valid
  settings_transition_alarm_->set(core::ops::kSettingsTransition);
  config_.connection_settings = config.connection_settings;
  servers_.update_limits(server_limits(config));
  core_.update_bounds(table_bounds(config_));
  config_.paths = config.paths;
  log_.write(now, Log::Level::kInfo, "reload-discovery", "reload: discovery at " + config.discovery,
             {{"address", address}});
  discovery_.use(watch_timing_of(config.settings));
  if (config.discovery != config_.discovery) {
    config_.discovery = config.discovery;
    discovery_.move(config.discovery);
  }
  return true;
}

void Router::update_settings(const violetusher::Settings& settings) {
  pools_.update_settings(settings);
  config_.settings = settings;
  for (const auto& c : settings.classes) metrics_.add_class(c.name);
}

void Router::log_violation(const core::Violation& v) {
  std::string name = core::name_of(v.invariant), request = std::to_string(v.request);
  std::string list = list_version();
  log_.write(io_.now(), Log::Level::kError, "invariant-broken",
             "invariant " + name + " violated: request " + request + ", " + v.connection + ": " +
                 v.what + "; host list " + list,
             {{"invariant", std::string_view(name)},
              {"request", std::string_view(request)},
              {"connection", std::string_view(v.connection)},
              {"list", std::string_view(list)},
              {"reason", std::string_view(v.what)}});
}

core::ops::Metrics::Gauges Router::current_figures() {
  core::ops::Metrics::Gauges now;
  now.guard = &invariants_;
  now.server_closes = &servers_.closes();
  now.concurrent = core_.unanswered();
  now.dispatches = servers_.written();
  now.targets = operations_.hosts().size();
  now.list_age_ms = discovery_.age() / kMillisecond;
  now.list_version = list_version();
  now.discovery_calls = &discovery_.counts();
  now.client_buffer_bytes = clients_.buffered();
  now.client_buffer_peak_bytes = clients_.peak_buffered();
  now.server_buffer_bytes = servers_.buffered();
  now.server_buffer_peak_bytes = servers_.peak_buffered();
  HeapUsage heap = heap_usage();
  now.request_bytes = core_.table().bytes();
  now.heap_used_bytes = heap.used;
  now.heap_free_bytes = heap.free;
  const violetusher::Balancer& whole = *pools_.find(PoolSet::kWholeList)->balancer;
  operations_.hosts().each([&](const Host& host) {
    now.targets_disabled += host.server.health != violetusher::Health::Ready ||
                            whole.live_fraction(host.server.id) <= 0;
  });
  return now;
}

// ---- timers ----

void Router::arm_timer() {
  auto next = timers_.next();
  if (!next || (armed_at_ && armed_at_ <= *next)) return;
  armed_at_ = *next;
  io_.update_time();  // what was written since then took time
  alarm_->set(std::max<Micros>(armed_at_ - io_.now(), 0));
}

void Router::run_due_timers() {
  Micros now = io_.now();
  Timers::Task task;
  while (timers_.pop_due(now, task)) {
    if (task.kind == Timers::Task::Kind::kModule)
      feed_.push(TimerEvent{task.module, task.token});
    else
      core_.on_timer(task);
  }
}

// ---- modules ----

void Router::deliver_events() {
  while (!feed_.empty()) {
    ModuleEvent& event = feed_.pop();
    std::uint32_t number = std::visit([](const auto& e) { return e.module; }, event);
    // The module may have been freed before its last timer, or before a list was delivered.
    if (PoolSet::Module* module = pools_.find(number))
      apply_actions(number, deliver(*module->balancer, event));
    if (auto* e = std::get_if<OutcomeEvent>(&event)) core_.on_event_delivered(e->outcome.id);
    if (auto* e = std::get_if<DisconnectEvent>(&event)) core_.on_event_delivered(e->id);
    if (auto* e = std::get_if<StreamBeginEvent>(&event)) core_.on_event_delivered(e->id);
    if (auto* e = std::get_if<AnswerPauseEvent>(&event)) core_.on_event_delivered(e->id);
  }
  pools_.free_modules(io_.now());  // once per iteration, while no module is being called
}

const violetusher::Actions& Router::deliver(violetusher::Balancer& balancer, ModuleEvent& event) {
  Micros now = io_.now();
  if (auto* e = std::get_if<OutcomeEvent>(&event)) {
    e->outcome.finished = core_.finished(e->outcome.id);
    return balancer.on_outcome(now, e->outcome);
  }
  if (auto* e = std::get_if<RequestEvent>(&event)) {
    return core_.describe(e->id, request_) ? balancer.on_request(now, request_) : kNoActions;
  }
  if (auto* e = std::get_if<DisconnectEvent>(&event))
    return balancer.on_client_disconnect(now, e->id);
  if (auto* e = std::get_if<StreamBeginEvent>(&event))
    return balancer.on_response_start(now, e->id, e->server, e->attempt, e->latency);
  if (auto* e = std::get_if<AnswerPauseEvent>(&event))
    return balancer.on_answer_pause(now, e->id, e->attempt);
  if (auto* e = std::get_if<ListEvent>(&event)) return balancer.on_list(now, e->scope, e->servers);
  if (auto* e = std::get_if<TimerEvent>(&event)) return balancer.on_timer(now, e->token);
  return balancer.start(now);
}

void Router::apply_actions(std::uint32_t module, const violetusher::Actions& actions) {
  for (const violetusher::Action& action : actions) {
    if (auto* a = std::get_if<violetusher::Send>(&action)) core_.send(*a);
    if (auto* a = std::get_if<violetusher::Refuse>(&action)) core_.refuse(*a);
    if (auto* a = std::get_if<violetusher::Fail>(&action)) core_.fail(*a);
    if (auto* a = std::get_if<violetusher::Cancel>(&action)) core_.cancel(*a);
    if (auto* a = std::get_if<violetusher::Timer>(&action)) core_.set_module_timer(module, *a);
    // Watch needs nothing: Discovery watches from the start on. Probe is ignored: no site that the
    // module was made for allows it. The module of the whole list asks on behalf of all pools.
    if (module != PoolSet::kWholeList) continue;
    if (std::holds_alternative<violetusher::Fetch>(action)) discovery_.fetch();
  }
}

}  // namespace violetusher::net
