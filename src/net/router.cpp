#include "router.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace violetusher::net {
namespace {

using violetusher::Actions;
using violetusher::ListScope;

// What servers are presumed to hold at least; all routers together stay within it.
constexpr std::size_t kServerHolds = 60;
constexpr std::size_t kMostPerServer = 8;
// Descriptors for the listener, the event base, discovery and the log.
constexpr std::size_t kReservedSockets = 24;
constexpr std::size_t kSpareClients = 50;
// Memory, as parts of what the router may use: the commands of open requests, and what is buffered
// for clients. An open request costs kOpenBytes beside its command: its places in the tables here
// and in the module, timers, and its answer on the way.
constexpr std::size_t kOpenPart = 4, kBufferPart = 8;
constexpr std::size_t kOpenBytes = 4096;
// After SIGTERM the front still sends new connections for up to 0.4 s, and what comes later than
// 0.7 s is ours to lose no more: in between the router stops listening.
constexpr Micros kStopListening = kSecond / 2;
constexpr Micros kStopStep = 20 * kMillisecond;
constexpr Micros kStopSlack = 650 * kMillisecond;
// A request that the module has left open this long after its time gets its answer all the same.
constexpr Micros kLastAnswer = 15 * kMillisecond;

const char* const kFailed = "SERVER_ERROR failed\r\n";
const char* const kBusy = "SERVER_ERROR busy\r\n";
const char* const kBad = "CLIENT_ERROR bad command\r\n";

std::size_t server_sockets(const Config& c) { return (c.sockets - kReservedSockets) / 3; }

ClientSide::Limits client_limits(const Config& c) {
  ClientSide::Limits l;
  l.spare_connections = std::min(kSpareClients, c.sockets / 16);
  l.connections = c.sockets - kReservedSockets - server_sockets(c) - l.spare_connections;
  l.buffer_bytes = c.memory_bytes / kBufferPart;
  return l;
}

ServerSide::Limits server_limits(const Config& c) {
  ServerSide::Limits l;
  l.connections = server_sockets(c);
  l.per_server = std::clamp<std::size_t>(
      kServerHolds / static_cast<std::size_t>(c.settings.routers), 1, kMostPerServer);
  l.streams = c.links.streams;
  l.keepalive = c.links.keepalive;
  l.dial_timeout = c.links.dial_timeout;
  return l;
}

/// Each pool's module draws from a seed of its own; that of the whole list from the router's.
std::unique_ptr<violetusher::Balancer> make_balancer(const Config& c, std::uint32_t pool, Micros now) {
  try {
    return std::make_unique<violetusher::Balancer>(c.settings, c.seed + pool * 0x9e3779b97f4a7c15ull, now);
  } catch (const std::invalid_argument& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
}

Micros longest_deadline(const Config& c) {
  Micros longest = 0;
  for (const auto& one : c.settings.classes) longest = std::max(longest, one.deadline);
  return longest;
}

std::vector<violetusher::Server> servers_of(const HostList& list) {
  std::vector<violetusher::Server> servers;
  servers.reserve(list.hosts.size());
  for (const Host& host : list.hosts) servers.push_back(host.server);
  return servers;
}

}  // namespace

Router::Router(event_base* base, const Config& config)
    : base_(base),
      config_(config),
      max_open_(std::min<std::size_t>(config.memory_bytes / kOpenPart / kOpenBytes,
                                      static_cast<std::size_t>(config.links.max_open))),
      max_open_bytes_(config.memory_bytes / kOpenPart),
      clients_(base, clock_, *this, client_limits(config)),
      servers_(base, clock_, *this, server_limits(config), &config_.settings.report_fields),
      discovery_(base, config.discovery, config.known.version, !config.settings.must_ask, *this) {
  timer_event_.reset(event_new(base, -1, 0, on_timer, this));
  stop_event_.reset(event_new(base, -1, 0, on_stop_step, this));
  servers_.take_list(config_.known);
  hosts_ = config_.known;
  auto& whole = pools_[0] = std::make_unique<Pool>();
  whole->balancer = make_balancer(config_, 0, clock_.now());
  perform(0, whole->balancer->start(clock_.now()));
  events_.push_back(ListEvent{0, ListScope::Cached, servers_of(config_.known)});
}

void Router::operate(core::config::Model model) {
  traffic_ = std::make_shared<core::Traffic>(std::move(model), traffic_.get());
  const auto& wanted = traffic_->model().pools;
  // A pool stays itself, with what its module has learnt, while it selects the same servers.
  for (auto it = pool_numbers_.begin(); it != pool_numbers_.end();) {
    auto now = wanted.find(it->first);
    Pool& pool = *pools_[it->second];
    bool same = now != wanted.end() && now->second.halls == pool.selection.halls &&
                now->second.kinds == pool.selection.kinds && now->second.hosts == pool.selection.hosts &&
                now->second.blocks == pool.selection.blocks && now->second.servers == pool.selection.servers;
    if (same) {
      ++it;
    } else {
      pool.leaving = true;
      it = pool_numbers_.erase(it);
    }
  }
  for (const auto& [name, selection] : wanted) {
    if (pool_numbers_.count(name)) continue;
    std::uint32_t number = next_pool_++;
    auto& pool = pools_[number] = std::make_unique<Pool>();
    pool_numbers_[name] = number;
    pool->name = name;
    pool->selection = selection;
    pool->balancer = make_balancer(config_, number, clock_.now());
    perform(number, pool->balancer->start(clock_.now()));
    if (selection.servers.empty()) {
      tell_list(number, *pool, ListScope::Full, servers_of(hosts_));
      continue;
    }
    std::vector<violetusher::Server> members;
    for (const std::string& address : selection.servers) {
      violetusher::Server server;
      server.id = address;
      server.zone = config_.settings.zone;
      members.push_back(server);
      pool->members[address] = violetusher::Health::Ready;
    }
    events_.push_back(ListEvent{number, ListScope::Full, std::move(members)});
  }
  HostList list = hosts_;
  list.whole = true;
  servers_.take_list(with_static_servers(std::move(list)));
  forget_pools();
}

/// Pools with fixed servers need them in the list of connections, whatever discovery says.
HostList Router::with_static_servers(HostList list) const {
  if (!list.whole) return list;
  std::unordered_set<std::string> there;
  for (const Host& host : list.hosts) there.insert(host.server.id);
  for (const auto& [number, pool] : pools_)
    for (const std::string& address : pool->selection.servers)
      if (there.insert(address).second) {
        Host host;
        host.server.id = host.dial = address;
        list.hosts.push_back(host);
      }
  return list;
}

/// What of a list concerns a pool, told to its module. What left concerns all that had it.
void Router::tell_list(std::uint32_t number, Pool& pool, ListScope scope,
                       const std::vector<violetusher::Server>& servers) {
  if (!pool.selection.servers.empty()) return;
  if (scope == ListScope::Full) pool.members.clear();
  std::vector<violetusher::Server> mine;
  for (const violetusher::Server& server : servers) {
    bool gone = server.health == violetusher::Health::Gone;
    if (gone ? pool.members.count(server.id) == 0 : !core::selected(pool.selection, server)) continue;
    if (gone)
      pool.members.erase(server.id);
    else
      pool.members[server.id] = server.health;
    mine.push_back(server);
  }
  events_.push_back(ListEvent{number, scope, std::move(mine)});
}

Router::Pool* Router::pool_by_name(const std::string& name) const {
  auto it = pool_numbers_.find(name);
  return it == pool_numbers_.end() ? nullptr : pools_.at(it->second).get();
}

bool Router::has_live(const std::string& name) const {
  const Pool* pool = pool_by_name(name);
  return pool && std::any_of(pool->members.begin(), pool->members.end(), [](const auto& m) {
           return m.second == violetusher::Health::Ready;
         });
}

/// Price caches of the discovery list drop one another's repeats where the class's group is all of
/// them; fixed addresses are not known to belong to it.
bool Router::shares_repeats(const std::string& name) const {
  const Pool* pool = pool_by_name(name);
  if (!pool || !pool->selection.servers.empty()) return false;
  for (const auto& c : config_.settings.classes)
    if (c.effect == violetusher::Effect::Keyed && c.group != violetusher::Group::All) return false;
  return true;
}

/// Frees pools that no version has any more and no request is in.
void Router::forget_pools() {
  for (auto it = pools_.begin(); it != pools_.end();)
    it = it->second->leaving && it->second->open == 0 ? pools_.erase(it) : std::next(it);
}

bool Router::listen(std::string& error) {
  auto address = parse_address(config_.listen, true);
  if (!address) {
    error = "no address: '" + config_.listen + "'";
    return false;
  }
  return clients_.listen(*address, error);
}

void Router::run() {
  while (!done_) {
    do {
      ring();
      settle();
      // Requests go on before answers go back: they have the longer way.
      servers_.flush();
      clients_.flush();
    } while (!events_.empty() || servers_.dirty() || clients_.dirty());
    arm();
    event_base_loop(base_, EVLOOP_ONCE);
  }
}

void Router::stop() {
  if (stopping_since_) return;
  stopping_since_ = clock_.now();
  timeval wait = timeval_of(kStopListening);
  event_add(stop_event_.get(), &wait);
}

void Router::on_stop_step(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  r->clients_.drain();
  Micros waited = r->clock_.now() - r->stopping_since_;
  bool late = waited > longest_deadline(r->config_) + kStopSlack;
  if (late) r->fail_all();
  if (late || (r->open_.empty() && r->clients_.connections() == 0)) {
    r->done_ = true;
    return;
  }
  timeval wait = timeval_of(kStopStep);
  event_add(r->stop_event_.get(), &wait);
}

/// The last moment before the end: nobody waits for an answer that will never come.
void Router::fail_all() {
  for (auto& [id, open] : open_)
    if (!open.answered) give_answer(open, kFailed);
  clients_.flush();
}

void Router::reload(const Config& config) {
  auto differs = [](const char* what) {
    std::fprintf(stderr, "violetusher: reload: %s differs: needs a restart\n", what);
  };
  if (!parse_address(config.discovery)) {
    std::fprintf(stderr, "violetusher: reload: discovery: no address: '%s'; the old one is kept\n",
                 config.discovery.c_str());
    return;
  }
  if (config.listen != config_.listen) differs("listen");
  if (config.memory_bytes != config_.memory_bytes || config.sockets != config_.sockets)
    differs("limits");
  if (config.settings_text != config_.settings_text) differs("settings");
  std::fprintf(stderr, "violetusher: reload: discovery at %s\n", config.discovery.c_str());
  config_.discovery = config.discovery;
  discovery_.move(config.discovery);
}

// ---- clients ----

/// Takes what the settings know. A class or tenant that they don't, or a keyed write without its
/// key, means something else to a cache server or nothing, and an id that is open already would
/// make two requests' answers look alike.
void Router::on_command(ClientSlot& slot, Command&& command) {
  const auto& classes = config_.settings.classes;
  auto type = std::find_if(classes.begin(), classes.end(),
                           [&](const auto& c) { return c.name == command.type; });
  const auto& tenants = config_.settings.tenants;
  bool tenant = tenants.empty() || std::any_of(tenants.begin(), tenants.end(), [&](const auto& t) {
                  return t.name == command.tenant;
                });
  if (type == classes.end() || !tenant || open_ids_.count(command.id) > 0 ||
      (type->effect == violetusher::Effect::Keyed && !command.idempotent)) {
    clients_.reject(slot, kBad);
    return;
  }
  if (open_.size() >= max_open_ || open_bytes_ >= max_open_bytes_ || timers_.size() > 8 * max_open_) {
    clients_.answer(slot, kBusy);  // before the module has seen it
    return;
  }
  // Nobody waits longer than the class lets him, so no request is held for longer.
  Micros wait = std::min(static_cast<Micros>(command.wait_ms * 1000), type->deadline);
  if (command.work && *command.work > type->deadline) command.work.reset();  // no guess at all
  RequestId id = next_id_++;
  slot.id = id;
  open_ids_.insert(command.id);
  open_bytes_ += command.size();
  Open& open = open_.try_emplace(id, std::move(command)).first->second;
  open.slot = &slot;
  open.deadline = clock_.now() + wait;
  if (!admit(slot, open, type->effect == violetusher::Effect::Keyed)) return;
  ++pools_[open.pool]->open;
  open.untold = 1;
  events_.push_back(RequestEvent{open.pool, id});
}

/// Route, pool and limits where an operator file is in use. What is over a limit, or has no route, is
/// refused at once and forgotten.
bool Router::admit(ClientSlot& slot, Open& open, bool keyed) {
  if (!traffic_) return true;
  const Command& c = open.command;
  core::RouteRequest request{"main", c.tenant, c.type, c.key};
  auto decision = traffic_->admit(clock_.now(), request, keyed, *this);
  if (decision.admitted) {
    open.traffic = traffic_;
    open.ticket = std::move(decision.ticket);
    open.pool = pool_numbers_.at(*open.ticket.pool);
    return true;
  }
  std::string text = kBusy;
  if (config_.settings.retry_after && decision.come_back > 0) {
    Micros wait = std::min(decision.come_back, config_.settings.max_retry_after);
    text = "SERVER_ERROR busy " + std::to_string((wait + kMillisecond - 1) / kMillisecond) + "\r\n";
  }
  RequestId id = slot.id;
  slot.id = 0;  // nobody is told when its connection goes
  open_ids_.erase(c.id);
  open_bytes_ -= c.size();
  open_.erase(id);
  clients_.answer(slot, std::move(text));
  return false;
}

/// A client that closes has gone away (PROTOCOL), and from here its close looks like one of its
/// sending side alone. Its attempts are given up at once: where clients leave early and ask again,
/// what they left behind ran on unseen by the module and filled the servers. One that still reads
/// gets its final answer now; it hurts clients that end their sending before they have read.
void Router::on_left(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.answered) return;
  give_answer(it->second, kFailed);
  tell_gone(id, it->second);
}

void Router::on_gone(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  open.slot = nullptr;
  open.answered = true;
  end_ticket(open, false);
  tell_gone(id, open);
}

void Router::tell_gone(RequestId id, Open& open) {
  ++open.untold;
  events_.push_back(GoneEvent{open.pool, id});
}

// ---- cache servers ----

void Router::on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  if (status == Status::Miss && !config_.settings.aside) status = Status::Error;
  if (status == Status::Ok && !open.answered) {
    std::string text;
    if (answer.kind == Answer::Kind::Value) {
      text = "VA " + std::to_string(answer.length) + " O" + open.command.id + "\r\n";
      text += answer.value;
    } else {
      text = "HD O" + open.command.id;
      if (!answer.receipt.empty()) text += " c" + answer.receipt;
      text += "\r\n";
    }
    give_answer(open, std::move(text));
  }
  if (a.out) tell_outcome(id, open, attempt, status, &answer);
  forget_if_done(id);
}

// ---- discovery ----

void Router::on_hosts(HostList&& list) {
  ListScope scope = list.whole ? ListScope::Full : ListScope::Delta;
  std::vector<violetusher::Server> servers = servers_of(list);
  for (auto& [number, pool] : pools_)
    if (number != 0) tell_list(number, *pool, scope, servers);
  events_.push_back(ListEvent{0, scope, std::move(servers)});
  servers_.take_list(with_static_servers(list));
  // Kept for pools that a later operator file makes.
  if (list.whole) {
    hosts_ = std::move(list);
    return;
  }
  hosts_.version = list.version;
  for (Host& host : list.hosts) {
    auto old = std::find_if(hosts_.hosts.begin(), hosts_.hosts.end(),
                            [&](const Host& h) { return h.server.id == host.server.id; });
    bool gone = host.server.health == violetusher::Health::Gone;
    if (old == hosts_.hosts.end()) {
      if (!gone) hosts_.hosts.push_back(std::move(host));
    } else if (gone) {
      hosts_.hosts.erase(old);
    } else {
      *old = std::move(host);
    }
  }
}

void Router::on_hosts_failed() {
  for (const auto& [number, pool] : pools_) events_.push_back(ListEvent{number, ListScope::Failed, {}});
}

// ---- timers ----

void Router::on_timer(evutil_socket_t, short, void* self) {
  static_cast<Router*>(self)->armed_at_ = 0;  // run() rings what is due
}

void Router::set_timer(Micros at, Due due, std::uint64_t token, int attempt, std::uint32_t pool) {
  timers_.push({at, timer_order_++, due, token, attempt, pool});
}

void Router::arm() {
  if (timers_.empty() || (armed_at_ && armed_at_ <= timers_.top().at)) return;
  armed_at_ = timers_.top().at;
  timeval wait = timeval_of(std::max<Micros>(armed_at_ - clock_.now(), 0));
  event_add(timer_event_.get(), &wait);
}

void Router::ring() {
  Micros now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now) {
    Timer t = timers_.top();
    timers_.pop();
    if (t.due == Due::Module)
      events_.push_back(TimerEvent{t.pool, t.token});
    else
      expire(t.token, t.attempt);
  }
}

/// The attempt's patience, or with attempt -1 the client's, is over. An attempt of -2 is the last
/// guard: whatever happened, the client gets its answer.
void Router::expire(RequestId id, int attempt) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  if (attempt == -2) {
    if (!open.answered) {
      give_answer(open, kFailed);
      tell_gone(id, open);  // or the module would hold on to it
    }
    return;
  }
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    Attempt& a = open.attempts[k];
    if (!a.out || (attempt >= 0 && static_cast<int>(k) != attempt)) continue;
    Status status = servers_.cancel(a.server, id, static_cast<int>(k));
    tell_outcome(id, open, static_cast<int>(k),
                 status == Status::Moot ? Status::ConnectFailed : Status::Timeout, nullptr);
  }
  if (attempt == -1 && !open.answered)
    set_timer(clock_.now() + kLastAnswer, Due::Expiry, id, -2);
}

// ---- the module ----

void Router::tell_outcome(RequestId id, Open& open, int attempt, Status status, Answer* answer) {
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.out = false;
  a.may_have_run = status != Status::Full && status != Status::ConnectFailed && status != Status::Moot;
  OutcomeEvent e;
  e.pool = open.pool;
  e.outcome.id = id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  e.outcome.latency = clock_.now() - a.sent;
  e.outcome.attempt = attempt;
  if (answer) {
    e.outcome.note = answer->note;
    e.outcome.report = std::move(answer->report);
  }
  ++open.untold;
  events_.push_back(std::move(e));
}

void Router::settle() {
  while (!events_.empty()) {
    // Not from within a call of the module that is freed with it.
    if (!freed_.empty()) {
      freed_.clear();
      forget_pools();
      if (events_.empty()) break;
    }
    Event event = std::move(events_.front());
    events_.pop_front();
    Micros now = clock_.now();
    std::uint32_t number = std::visit([](const auto& e) { return e.pool; }, event);
    auto pool = pools_.find(number);
    if (pool == pools_.end()) continue;  // its last timer, or a list that came too late for it
    violetusher::Balancer& balancer = *pool->second->balancer;
    if (auto* e = std::get_if<OutcomeEvent>(&event)) {
      auto it = open_.find(e->outcome.id);
      e->outcome.finished = it == open_.end() || it->second.answered;
      if (it != open_.end()) --it->second.untold;
      perform(number, balancer.on_outcome(now, e->outcome));
      forget_if_done(e->outcome.id);
    } else if (auto* e = std::get_if<RequestEvent>(&event)) {
      auto it = open_.find(e->id);
      if (it == open_.end()) continue;
      Open& open = it->second;
      --open.untold;
      if (open.answered) {  // gone before the module heard of it
        forget_if_done(e->id);
        continue;
      }
      violetusher::Request r;
      r.id = e->id;
      r.type = open.command.type;
      r.tenant = open.command.tenant;
      r.key = open.command.key;
      r.remaining = std::max<Micros>(0, open.deadline - now);
      r.work = open.command.work;
      r.repeat = open.command.repeat;
      r.write = open.command.set;
      set_timer(open.deadline, Due::Expiry, e->id, -1);
      perform(number, balancer.on_request(now, r));
    } else if (auto* e = std::get_if<GoneEvent>(&event)) {
      if (auto it = open_.find(e->id); it != open_.end()) --it->second.untold;
      perform(number, balancer.on_gone(now, e->id));
      forget_if_done(e->id);
    } else if (auto* e = std::get_if<ListEvent>(&event)) {
      perform(number, balancer.on_list(now, e->scope, e->servers));
    } else if (auto* e = std::get_if<TimerEvent>(&event)) {
      perform(number, balancer.on_timer(now, e->token));
    }
  }
}

void Router::perform(std::uint32_t pool, const Actions& actions) {
  acting_ = pool;
  for (const violetusher::Action& action : actions)
    std::visit([this](const auto& a) { act(a); }, action);
}

void Router::act(const violetusher::Send& a) {
  auto it = open_.find(a.id);
  if (it == open_.end()) return;  // the module outlives no request: see forget_if_done
  Open& open = it->second;
  int attempt = static_cast<int>(open.attempts.size());
  Micros now = clock_.now();
  if (open.traffic && !open.answered && !within_budget(a.id, open)) {
    open.attempts.push_back({a.server, now});
    tell_outcome(a.id, open, attempt, Status::Moot, nullptr);
    return;
  }
  open.attempts.push_back({a.server, now});
  // An answer may have come while the module did not know of it yet.
  if (open.answered || now >= open.deadline) {
    tell_outcome(a.id, open, attempt, Status::Moot, nullptr);
    return;
  }
  Micros wait = open.deadline - now;
  if (a.patience > 0 && a.patience < wait) {
    wait = a.patience;
    set_timer(now + wait, Due::Expiry, a.id, attempt);
  }
  servers_.send(a.server, a.id, attempt, open.command, (wait + kMillisecond - 1) / kMillisecond);
}

/// The budget's word on another attempt. Where it says no and nothing else is under way, the request
/// gets its final answer now: a refusal only where trying again is harmless.
bool Router::within_budget(RequestId id, Open& open) {
  Micros now = clock_.now();
  if (open.attempts.empty()) {
    open.traffic->on_first(now, open.ticket);
    return true;
  }
  bool hedge = std::any_of(open.attempts.begin(), open.attempts.end(), [](const Attempt& a) { return a.out; });
  if (open.traffic->may_retry(now, open.ticket, hedge)) return true;
  if (hedge) return false;
  bool ran = std::any_of(open.attempts.begin(), open.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  if (ran && open.command.idempotent)
    give_answer(open, kFailed);
  else
    give_answer(open, kBusy, true);
  tell_gone(id, open);
  return false;
}

void Router::act(const violetusher::Refuse& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  std::string text = "SERVER_ERROR busy";
  if (a.wait > 0) text += ' ' + std::to_string((a.wait + kMillisecond - 1) / kMillisecond);
  give_answer(it->second, text + "\r\n", true);
  forget_if_done(a.id);
}

void Router::act(const violetusher::Fail& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  give_answer(it->second, kFailed);
  forget_if_done(a.id);
}

void Router::act(const violetusher::Cancel& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || a.attempt < 0 ||
      a.attempt >= static_cast<int>(it->second.attempts.size()))
    return;
  Open& open = it->second;
  Attempt& one = open.attempts[static_cast<std::size_t>(a.attempt)];
  if (!one.out) return;
  tell_outcome(a.id, open, a.attempt, servers_.cancel(one.server, a.id, a.attempt), nullptr);
}

void Router::act(const violetusher::Timer& a) {
  set_timer(clock_.now() + a.after, Due::Module, a.token, 0, acting_);
}

void Router::act(const violetusher::Probe&) {
  // The module probes nothing; no site it was made for allows it.
}

void Router::end_ticket(Open& open, bool refused) {
  if (open.traffic) open.traffic->end(clock_.now(), open.ticket, refused);
}

void Router::give_answer(Open& open, std::string text, bool refused) {
  open.answered = true;
  end_ticket(open, refused);
  if (ClientSlot* slot = std::exchange(open.slot, nullptr)) clients_.answer(*slot, std::move(text));
}

void Router::forget_if_done(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  const Open& open = it->second;
  if (!open.answered || open.untold > 0) return;
  for (const Attempt& a : open.attempts)
    if (a.out) return;
  open_ids_.erase(open.command.id);
  open_bytes_ -= open.command.size();
  std::uint32_t number = open.pool;
  open_.erase(it);
  auto pool = pools_.find(number);
  if (pool != pools_.end() && --pool->second->open == 0 && pool->second->leaving) freed_.push_back(number);
}

}  // namespace violetusher::net
