#include "server_side.hpp"

#include <algorithm>

#include "server_connection.hpp"

namespace violetusher::net {

using core::flight::Kind;
using core::flight::Reason;

namespace {

// What a server does right behind an answer, be it a close, a second copy or noise, shows within
// this. Until then the connection is used for another request only where there is no other idle
// one.
constexpr Micros kSettleTime = 3 * kMillisecond;
// No dial to a server that just refused one while it has connections that work.
constexpr Micros kDialPause = kSecond / 5;
constexpr Micros kSweep = kSecond / 50;
// A dial that has not ended so long after its limit is not watched by the system, which was out of
// something when it was asked to.
constexpr Micros kUnarmedDial = 2 * kSweep;

}  // namespace

ServerSide::ServerSide(Io& io, Handler& handler, Limits limits,
                       const std::vector<violetusher::ReportField>* fields,
                       core::flight::Recorder& recorder)
    : io_(io),
      handler_(handler),
      limits_(limits),
      fields_(fields),
      recorder_(recorder),
      sweep_alarm_(io.alarm([this] {
        sweep_alarm_->set(kSweep);
        sweep();
      })),
      scratch_(std::make_unique<char[]>(kScratch)) {
  sweep_alarm_->set(kSweep);
}

ServerSide::~ServerSide() = default;

void ServerSide::take_list(const HostList& list) {
  if (list.whole)
    for (auto& [id, pool] : pools_) pool->listed = pool->wanted = false;
  for (const Host& host : list.hosts) {
    bool gone = host.server.health == violetusher::Health::Removed;
    auto at = pools_.find(host.server.id);
    if (at == pools_.end()) {
      if (gone) continue;
      at = pools_.emplace(host.server.id, std::make_unique<ServerPool>()).first;
      at->second->id = host.server.id;
    }
    ServerPool& pool = *at->second;
    // Another process, or another place: what is open leads to the old one.
    bool moved = !gone && (pool.dial != host.dial || pool.born != host.server.up_since);
    if (moved) {
      pool.dial = host.dial;
      pool.born = host.server.up_since;
      pool.address = parse_address(host.dial);
      pool.no_dial_until = 0;
      for (auto& c : pool.connections) c->retiring_ = true;
    }
    pool.listed = !gone;
    pool.wanted = host.server.health == violetusher::Health::Ready;
  }
  // A send counts from its first byte: what has none yet does not go to a server that is told to
  // leave, or to the place that it left, however long it has waited for a connection or its turn.
  Micros all = io_.now() + 1;
  for (auto& [id, pool] : pools_) {
    for (auto& c : pool->connections) {
      c->retiring_ |= !pool->wanted;
      if (c->retiring_) c->drop_unsent(all);
    }
  }
  if (account_)
    for (auto& [id, pool] : pools_) account_->set_serving(id, pool->wanted);
  sweep();
}

void ServerSide::attach_activity_recorder(core::audit::ActivityRecorder& account) {
  account_ = &account;
  for (auto& [id, pool] : pools_) account_->set_serving(id, pool->wanted);
}

ServerConnection* ServerSide::dial(ServerPool& pool) {
  if (!pool.address) return nullptr;
  auto fresh = std::make_unique<ServerConnection>(*this, pool, next_connection_);
  CallResult result = fresh->dial();
  if (result == CallResult::kPermanentError) return nullptr;
  dials_put_off_ |= result != CallResult::kDone;
  recorder_.record(io_.now(), Kind::kDial, 0, -1, next_connection_++, 0, pool.id);
  pool.connections.push_back(std::move(fresh));
  ++total_;
  return pool.connections.back().get();
}

/// The connection for one more attempt: of the idle ones that have settled the last used, else a
/// new one, else the one with the least before it. Answers come in order, so waiting behind another
/// costs its whole service time; a dial costs a round trip or two.
ServerConnection* ServerSide::pick(ServerPool& pool) {
  Micros settled = io_.now() - kSettleTime;
  auto better = [&](const ServerConnection& a, const ServerConnection& b) {
    bool a_fresh = a.used_at_ > settled, b_fresh = b.used_at_ > settled;
    if (a_fresh != b_fresh) return b_fresh;
    return a_fresh ? a.used_at_ < b.used_at_ : a.used_at_ > b.used_at_;
  };
  while (true) {
    ServerConnection* idle = nullptr;
    for (auto& c : pool.connections)
      if (c->idle() && !c->retiring_ && (!idle || better(*c, *idle))) idle = c.get();
    if (!idle) break;
    // Looked at each time: what came behind the last answer, be it an end or bytes that nobody
    // asked for, would be taken for the answer to this one.
    if (!idle->may_have_ended()) return idle;
    close(*idle);
  }
  for (auto& c : pool.connections)  // dialled for a request that has ended since
    if (c->connecting_ && c->entries_.empty() && !c->retiring_) return c.get();
  bool may_dial = io_.now() >= pool.no_dial_until || pool.connections.empty();
  ServerConnection* fresh = may_dial && make_room(pool) ? dial(pool) : nullptr;
  if (fresh && fresh->socket_) return fresh;
  // A dial that this machine has put off takes what nothing else can.
  ServerConnection* busy = least_loaded(pool, Dialling::kCounts);
  return busy ? busy : fresh;
}

ServerConnection* ServerSide::least_loaded(ServerPool& pool, Dialling dialling) const {
  ServerConnection* best = nullptr;
  for (auto& c : pool.connections)
    if (!c->closed_ && c->socket_ && !c->retiring_ && !c->long_ &&
        (dialling == Dialling::kCounts || !c->connecting_) &&
        (c->entries_.empty() || c->entries_.front().live) &&
        c->entries_.size() < static_cast<std::size_t>(limits_.streams) &&
        (!best || c->entries_.size() < best->entries_.size()))
      best = c.get();
  return best;
}

bool ServerSide::make_room(ServerPool& pool) {
  if (pool.connections.size() >= limits_.table.max_open) {
    // One that only waits for answers nobody wants makes room.
    auto at = std::find_if(pool.connections.begin(), pool.connections.end(),
                           [](const auto& c) { return c->forsaken(); });
    if (at == pool.connections.end()) return false;
    close(**at);
  }
  if (total_ < limits_.connections) return true;
  // Else the one that has stood unused for longest, whichever server it leads to: in a large fleet
  // the servers of rare keys would keep those of popular ones from having any.
  ServerConnection* unused = nullptr;
  for (auto& [id, other] : pools_)
    for (auto& c : other->connections)
      if (!c->connecting_ && c->forsaken() && (!unused || c->used_at_ < unused->used_at_))
        unused = c.get();
  if (unused) close(*unused);
  return unused != nullptr;
}

void ServerSide::send(const std::string& server, RequestId id, int attempt, const Command& command,
                      Micros given_up, Micros until) {
  auto at = pools_.find(server);
  // A decision may be as old as the list that came behind it in the same turn.
  bool wanted = at != pools_.end() && at->second->wanted;
  ServerConnection* c = wanted ? pick(*at->second) : nullptr;
  if (!c) {
    auto have = at == pools_.end() ? 0 : at->second->connections.size();
    recorder_.record(io_.now(), Kind::kNoConnection, id, attempt, 0,
                     static_cast<std::int64_t>(have), server);
    handler_.on_attempt_end(id, attempt, Status::ConnectFailed, Answer());
    return;
  }
  auto before = static_cast<std::int64_t>(c->entries_.size());
  c->queue(id, attempt, command, given_up, until);
  recorder_.record(c->used_at_, Kind::kSent, id, attempt, c->number_, before, server);
}

std::pair<ServerConnection*, std::size_t> ServerSide::find(const std::string& server, RequestId id,
                                                           int attempt) {
  if (auto at = pools_.find(server); at != pools_.end())
    for (auto& c : at->second->connections)
      for (std::size_t k = 0; k < c->entries_.size(); ++k) {
        const ServerConnection::Entry& e = c->entries_[k];
        if (e.live && e.id == id && e.attempt == attempt) return {c.get(), k};
      }
  return {nullptr, 0};
}

bool ServerSide::withdraw(const std::string& server, RequestId id, int attempt) {
  auto [c, place] = find(server, id, attempt);
  if (!c || c->begun(place)) return false;
  c->entries_.erase(place);
  return true;
}

bool ServerSide::may_give_up(const std::string& server, RequestId id, int attempt) {
  auto [c, place] = find(server, id, attempt);
  if (!c || !c->begun(place)) return true;
  c->entries_[place].overdue = true;
  return c->forsaken();
}

Status ServerSide::cancel(const std::string& server, RequestId id, int attempt) {
  if (withdraw(server, id, attempt)) return Status::NotSent;
  auto [c, place] = find(server, id, attempt);
  if (!c) return Status::Cancelled;
  ServerConnection::Entry& e = c->entries_[place];
  e.live = false;
  e.since = io_.now();
  if (place == c->sent_) {
    // Partly written: finishing it would send the request after its end.
    close(*c);
    return Status::NotSent;
  }
  // Only an end of the connection tells the server that nobody waits any more, so that it may drop
  // what it has not begun. Where many clients leave early, what they left behind filled the
  // servers. It costs a new connection, some milliseconds of the server's work, for nothing where
  // servers go on with waiting work. Neighbours are not taken along: then the answer is read and
  // dropped when it comes.
  if (c->forsaken())
    close(*c);
  else if (c->paused_)
    c->go_on();  // read and dropped, for those behind it
  return Status::Cancelled;
}

void ServerSide::resume(const std::string& server, RequestId id, int attempt) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return;
  for (auto& c : at->second->connections) {
    if (!c->paused_ || c->entries_.empty()) continue;
    const ServerConnection::Entry& e = c->entries_.front();
    if (e.id == id && e.attempt == attempt) c->go_on();
  }
}

void ServerSide::touch(ServerConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ServerSide::close(ServerConnection& c) {
  if (c.closed_) return;
  c.closed_ = true;
  bool stale = c.kept_ && c.ended_by_peer_ && !c.reader_.in_answer();
  Status broken = stale ? Status::StaleConnection : Status::Reset;
  for (std::size_t k = 0; k < c.entries_.size(); ++k) {
    ServerConnection::Entry& e = c.entries_[k];
    if (e.live)
      handler_.on_attempt_end(e.id, e.attempt,
                              k >= c.sent_ ? Status::ConnectFailed
                              : e.overdue  ? Status::Timeout
                                           : broken,
                              Answer());
  }
  c.entries_.clear();
  c.watch_.reset();
  c.socket_.reset();
  auto& all = c.pool_.connections;
  auto at = std::find_if(all.begin(), all.end(), [&](const auto& p) { return p.get() == &c; });
  closed_.push_back(std::move(*at));
  all.erase(at);
  --total_;
}

/// A full connection table refuses new connections while those that are open work: what waited for
/// the dial goes behind others then. Where there are none, the server can't be reached.
void ServerSide::failed_dial(ServerConnection& c, CallResult why) {
  bool refused = why != CallResult::kTransientError;
  if (refused) {
    c.pool_.no_dial_until = io_.now() + kDialPause;
    c.pool_.keep.on_refused();
  }
  RecycledQueue<ServerConnection::Entry> waiting;
  std::swap(waiting, c.entries_);
  ServerPool& pool = c.pool_;
  close(c);
  for (; !waiting.empty(); waiting.pop_front()) {
    ServerConnection::Entry& e = waiting.front();
    ServerConnection* other = least_loaded(pool, Dialling::kLeftOut);
    if (!other) {
      handler_.on_attempt_end(e.id, e.attempt, refused ? Status::ConnectFailed : Status::NotSent,
                              Answer());
      continue;
    }
    other->take_over(std::move(e));
  }
}

/// Closes the idle connections that this router may no longer hold open, the least recently used
/// first.
void ServerSide::give_back(ServerPool& pool) {
  auto& all = pool.connections;
  pool.keep.advance(io_.now(), limits_.table, all.size());
  if (all.empty()) return;
  auto idle = std::count_if(all.begin(), all.end(), [](const auto& c) { return c->idle(); });
  std::size_t count = pool.keep.to_close(limits_.table, all.size(), static_cast<std::size_t>(idle));
  for (; count > 0; --count) {
    ServerConnection* unused = nullptr;
    for (auto& c : all)
      if (c->idle() && (!unused || c->used_at_ < unused->used_at_)) unused = c.get();
    close(*unused);
  }
}

void ServerSide::serve_put_off(ServerPool& pool) {
  if (!dials_put_off_) return;
  for (auto& c : pool.connections)
    while (!c->socket_ && !c->closed_ && !c->entries_.empty()) {
      ServerConnection* free = least_loaded(pool, Dialling::kLeftOut);
      if (!free) return;
      free->take_over(std::move(c->entries_.front()));
      c->entries_.pop_front();
    }
}

void ServerSide::sweep() {
  Micros now = io_.now();
  bool put_off = false;
  for (auto it = pools_.begin(); it != pools_.end();) {
    ServerPool& pool = *it->second;
    give_back(pool);
    for (std::size_t k = pool.connections.size(); k-- > 0;) {
      ServerConnection& c = *pool.connections[k];
      if (c.connecting_) {
        put_off |= !c.socket_;
        if (!c.socket_)
          c.dial_again();
        else if (now > c.dial_until_ + kUnarmedDial)
          failed_dial(c, CallResult::kTransientError);
        continue;
      }
      if (c.entries_.empty()) {
        if (c.retiring_ || now - c.used_at_ > limits_.table.max_idle_time) close(c);
        continue;
      }
      // What a full socket buffer has kept back this long was never sent, and must not go out when
      // the server may have begun to drain since.
      c.drop_unsent(now - limits_.dial_timeout);
      if (c.overdue(now)) close(c);
    }
    // A server that has left, whether a whole list or a change said so, leaves nothing behind once
    // its last attempt has ended.
    it = !pool.listed && pool.connections.empty() ? pools_.erase(it) : std::next(it);
  }
  dials_put_off_ = put_off;
}

void ServerSide::flush() {
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    ServerConnection* c = dirty_[k];
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  dirty_.clear();
  closed_.clear();
}

}  // namespace violetusher::net
