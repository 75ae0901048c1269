#include "price_cache.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace violetusher::standin {
namespace {

using kit::Answered;

constexpr int kBacklog = 512;
// A connection that is accepted within this time after a cut may have been established during it.
constexpr Micros kAcceptAfterCutWindow = 50'000;
constexpr double kWorkSigma = 0.35;  // log-normal spread of the work within a class of requests
constexpr int kSmallReceiveBuffer = 8 << 10;
constexpr Micros kDefaultWork = 30'000;  // mean work of a request without a work hint

}  // namespace

PriceCache& FleetState::owner_of(const Exchange& exchange) const {
  return exchange.connection->owner();
}

// ---- the price cache ----

PriceCache::PriceCache(FleetState& shared, int server, int addresses)
    : shared_(shared),
      server_(server),
      spec_index_(server),
      kind_(shared.spec.kinds[static_cast<std::size_t>(
          shared.spec.servers[static_cast<std::size_t>(server)].kind)]),
      addresses_(static_cast<std::size_t>(addresses)),
      station_(kind_.cores, kind_.waiting),
      store_(0, 0, shared.draws, 0),
      overload_(shared.spec.fall_multiple, shared.spec.fall_after) {
  for (int router = 0; router < addresses; ++router) {
    listeners_.push_back(std::make_unique<Listener>());
    listeners_.back()->owner = this;
    listeners_.back()->router = router;
  }
}

PriceCache::~PriceCache() {
  recording_ = false;
  stop();
}

void PriceCache::start(Micros born) {
  born_ = born;
  running_ = true;
  draining_ = collapsed_ = false;
  station_ = Station(kind_.cores, kind_.waiting);
  store_ = Store(kind_.memory, born == 0 ? shared_.spec.held : 0, shared_.draws,
                 static_cast<std::uint64_t>(server_));
  overload_ = OverloadDetector(shared_.spec.fall_multiple, shared_.spec.fall_after);
  reports_.clear();
  spent_before_ = spent_sampled_ = 0;
  sampled_at_ = shared_.loop.now();
  hit_share_ = born == 0 ? shared_.spec.held : 0;
  service_ms_ = 30;
  for (auto& listener : listeners_) open_listener(*listener);
  refresh();
}

void PriceCache::open_listener(Listener& listener) {
  listener.fd = addresses_[static_cast<std::size_t>(listener.router)].listen(kBacklog);
  listener.event.reset(event_new(shared_.loop.base(), listener.fd.get(), EV_READ | EV_PERSIST,
                                 on_accept, &listener));
  event_add(listener.event.get(), nullptr);
  if (!may_read_slowly()) return;
  // Else the system takes a large request at once, however slowly the stand-in reads.
  ::setsockopt(listener.fd.get(), SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
               sizeof kSmallReceiveBuffer);
}

/// Whether some fault of the day makes this price cache read slowly.
bool PriceCache::may_read_slowly() const {
  return std::any_of(shared_.faults.begin(), shared_.faults.end(), [this](const Fault& f) {
    return f.kind == FaultKind::kReadsSlowly &&
           std::find(f.servers.begin(), f.servers.end(), spec_index_) != f.servers.end();
  });
}

void PriceCache::stop() {
  running_ = false;
  for (auto& listener : listeners_) {
    listener->event.reset();
    listener->backlog_connections.clear();
    listener->fd.reset();
    listener->silent = false;
  }
  while (!connections_.empty()) close(*connections_.front(), true);
  station_.clear();
  fetching_.clear();
}

bool PriceCache::silent_now(int router) const {
  return fault(FaultKind::kVanishes) || shared_.partitioned(router, spec().hall);
}

void PriceCache::refresh() {
  const Fault* slow = fault(FaultKind::kSlow);
  station_.set_pace(kind_.speed * (collapsed_ ? 1e-3 : 1) / (slow ? slow->factor : 1) *
                    (born_ ? capacity_fraction(shared_.spec, shared_.loop.now() - born_) : 1));
  if (!running_) return;
  for (auto& listener : listeners_) {
    bool silent = silent_now(listener->router);
    if (silent != listener->silent) set_silent(*listener, silent);
  }
}

void PriceCache::set_silent(Listener& listener, bool silent) {
  listener.silent = silent;
  (silent ? listener.silent_from : listener.silent_until) = shared_.loop.now();
  if (silent) {
    event_del(listener.event.get());
    listener.backlog_connections =
        addresses_[static_cast<std::size_t>(listener.router)].fill_backlog(listener.fd.get());
  } else {
    listener.backlog_connections.clear();
    ::listen(listener.fd.get(), kBacklog);
    event_add(listener.event.get(), nullptr);
  }
  std::vector<Connection*> mine;
  for (auto& connection : connections_)
    if (connection->router() == listener.router) mine.push_back(connection.get());
  for (Connection* connection : mine) connection->set_silent(silent);
}

void PriceCache::on_accept(evutil_socket_t fd, short, void* at) {
  auto* listener = static_cast<Listener*>(at);
  PriceCache* self = listener->owner;
  while (true) {
    net::Fd peer(::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (!peer) return;
    Micros now = self->shared_.loop.now();
    Micros silent_since =
        now - listener->silent_until < kAcceptAfterCutWindow ? listener->silent_from : 0;
    bool full = static_cast<int>(self->connections_.size()) >= self->kind_.connections;
    // Connections beyond the limit are answered busy; beyond twice the limit they are just closed.
    if (static_cast<int>(self->connections_.size()) >= 2 * self->kind_.connections) continue;
    if (!full) {
      const Fault* costly_connect = self->fault(FaultKind::kConnectCost);
      auto work = static_cast<double>(self->kind_.connect_work) *
                  (costly_connect ? costly_connect->factor : 1);
      self->station_.enqueue_always(now, static_cast<Micros>(work));
      self->pump();
    }
    self->connections_.push_back(
        std::make_unique<Connection>(*self, std::move(peer), listener->router, full, silent_since));
  }
}

void PriceCache::close(Connection& connection, bool reset) {
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [&](auto& c) { return c.get() == &connection; });
  if (it == connections_.end()) return;
  connection.terminate(reset, recording_);
  // A method of the connection may be on the call stack, so the loop frees it afterwards.
  closed_.push_back(std::move(*it));
  connections_.erase(it);
  if (closed_.size() == 1) shared_.loop.at(shared_.loop.now(), [this] { closed_.clear(); });
}

const Fault* PriceCache::fault(FaultKind kind) const {
  for (const Fault& f : shared_.faults)
    if (f.kind == kind && shared_.active(f) &&
        std::find(f.servers.begin(), f.servers.end(), spec_index_) != f.servers.end())
      return &f;
  return nullptr;
}

bool PriceCache::fault_applies(FaultKind kind, const Exchange& exchange) const {
  const Fault* f = fault(kind);
  if (!f) return false;
  // The draw depends on the request and the server alone, not on the order of arrival.
  return shared_.draws.uniform(kit::Stream::kFault, kit::hash_of(exchange.command.id),
                               (static_cast<std::uint64_t>(kind) << 32) +
                                   static_cast<std::uint64_t>(spec_index_)) < f->rate;
}

double PriceCache::capacity() const {
  return kind_.cores * kind_.speed *
         (born_ ? capacity_fraction(shared_.spec, shared_.loop.now() - born_) : 1);
}

Micros PriceCache::work_of(const Exchange& exchange) const {
  RequestName name;
  std::uint64_t index =
      read_request_id(exchange.command.id, name) ? name.request : kit::hash_of(exchange.command.id);
  double mean = static_cast<double>(exchange.command.work.value_or(kDefaultWork));
  return static_cast<Micros>(mean * shared_.draws.lognormal(kWorkSigma, kit::Stream::kWork, index));
}

void PriceCache::arrive(Exchange& exchange) {
  Micros network_delay = shared_.network_delay(exchange.connection->router(), spec().hall) +
                         (exchange.handshake ? shared_.spec.handshake : 0);
  std::uint64_t token = exchange.token;
  if (network_delay <= 0) return begin(exchange);
  shared_.loop.at(shared_.loop.now() + network_delay, [this, token] {
    auto it = shared_.exchanges.find(token);
    if (it != shared_.exchanges.end()) begin(*it->second);
  });
}

void PriceCache::begin(Exchange& exchange) {
  Micros now = shared_.loop.now();
  if (fault(FaultKind::kMute)) return;
  if (exchange.connection->rejected()) {
    exchange.connection->close_after_answers();
    return finish(exchange, Answered::kBusy, "SERVER_ERROR busy");
  }
  if (draining_ || fault_applies(FaultKind::kBusy, exchange))
    return finish(exchange, Answered::kBusy, "SERVER_ERROR busy");
  refresh();
  Micros work = work_of(exchange);
  if (born_ && now - born_ < shared_.spec.warm_up && !collapsed_ &&
      overload_.record(now, work, capacity()))
    return collapse();
  if (!station_.offer(now, exchange.token, work))
    return finish(exchange, Answered::kBusy, "SERVER_ERROR busy");
  pump();
}

void PriceCache::collapse() {
  collapsed_ = true;
  shared_.history.fallen.emplace_back(server_, shared_.loop.now());
  stop();
}

void PriceCache::pump() {
  auto next = station_.next();
  Micros now = shared_.loop.now();
  if (!next || (next_pump_ > now && next_pump_ <= *next)) return;
  next_pump_ = *next;
  shared_.loop.at(*next, [this] {
    next_pump_ = 0;
    for (std::uint64_t token : station_.take_done(shared_.loop.now())) {
      auto it = shared_.exchanges.find(token);
      if (it != shared_.exchanges.end()) on_work_done(*it->second);
    }
    pump();
  });
}

void PriceCache::on_work_done(Exchange& exchange) {
  Micros now = shared_.loop.now();
  auto& record = this->record(exchange);
  const std::string& key = exchange.command.key;
  double took = static_cast<double>(now - exchange.arrived) / 1000;
  service_ms_ += 0.1 * (took - service_ms_);
  if (exchange.command.set) {
    std::string receipt =
        "r" + std::to_string(kit::hash_of(exchange.command.idempotency) & 0xffffffffff);
    bool room = shared_.origin.working() < shared_.origin.cores() ||
                shared_.origin.waiting() < shared_.spec.origin.waiting;
    if (!exchange.command.idempotency.empty()) {
      // The key is stored only if the write runs: where the product master has no room, the write
      // fails without an effect, and its repeat has to run.
      auto first = room ? shared_.repeats.find_or_store(now, exchange.command.idempotency, receipt)
                        : std::nullopt;
      if (first) {
        record.repeat = true;
        record.value = kit::hash_of(*first);
        return finish(exchange, Answered::kServed, "HD O" + exchange.command.id + " c" + *first);
      }
    }
    if (!room) return finish(exchange, Answered::kError, "SERVER_ERROR failed");
    shared_.history.effects.push_back({record.request, now, server_});
    for (auto& cache : shared_.caches)
      if (cache.get() != this) cache->store_.drop(key);
    record.value = kit::hash_of(receipt);
    exchange.text = "HD O" + exchange.command.id + " c" + receipt;
  } else {
    exchange.hit = store_.find(key, size_of(key));
    hit_share_ += 0.02 * ((exchange.hit ? 1 : 0) - hit_share_);
    if (exchange.hit) return finish(exchange, Answered::kServed, served_text(exchange));
    record.missed = true;
    exchange.other_fetch = fetching_[key]++ > 0;
  }
  // The product master processes the request; it occupies no core of the price cache meanwhile.
  if (!shared_.origin.offer(now, exchange.token, shared_.spec.origin.time)) {
    if (!exchange.command.set && --fetching_[key] == 0) fetching_.erase(key);
    return finish(exchange, Answered::kError, "SERVER_ERROR failed");
  }
  shared_.at_origin[exchange.token] = &exchange;
  shared_.pump_origin();
}

void PriceCache::origin_done(Exchange& exchange) {
  const std::string& key = exchange.command.key;
  if (exchange.command.set) return finish(exchange, Answered::kServed, std::move(exchange.text));
  if (auto it = fetching_.find(key); it != fetching_.end() && --it->second == 0)
    fetching_.erase(it);
  std::string text = served_text(exchange);
  store_.keep(key, text.size());
  finish(exchange, Answered::kServed, std::move(text));
}

void PriceCache::sample() {
  if (!running_) return;
  Micros now = shared_.loop.now();
  refresh();
  double spent = station_.spent(now);
  double span = static_cast<double>(std::max<Micros>(now - sampled_at_, 1));
  double utilisation = std::min(1.0, (spent - spent_before_) / (span * kind_.cores));
  spent_before_ = spent;
  sampled_at_ = now;
  reports_.push_back({now, utilisation, service_ms_, hit_share_});
  const Fault* late = fault(FaultKind::kReportsLate);
  Micros lag = shared_.spec.report_lag + (late ? late->delay : 0);
  while (reports_.size() > 1 && reports_[1].at <= now - lag) reports_.pop_front();
  shared_.history.server_samples.push_back({server_, now, utilisation, station_.waiting()});
  // Closes the connections that were idle for `idle_close`.
  std::vector<Connection*> idle;
  for (auto& connection : connections_)
    if (connection->idle_since(now - shared_.spec.idle_close)) idle.push_back(connection.get());
  for (Connection* connection : idle) close(*connection, false);
}

}  // namespace violetusher::standin
