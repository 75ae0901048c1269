#include "server_side.hpp"

#include <algorithm>

#include "core/mutants.hpp"
#include "server_connection.hpp"

namespace violetusher::net {

using core::flight::Kind;
using core::flight::Reason;
using CloseReason = core::ServerCloseReason;

namespace {

// What a server sends right behind an answer, be it a close, a second answer or garbage, arrives
// within this time. Until then the connection is reused only if no other one is idle.
constexpr Micros kReuseDelay = 3 * kMillisecond;
// No dial to a server that has just refused one while it has working connections.
constexpr Micros kDialBackoff = kSecond / 5;

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
        sweep_alarm_->set(kSweepInterval);
        sweep();
      })),
      budget_(limits.buffer_bytes, protocol::kMaxValueBytes),
      read_buffer_(std::make_unique<char[]>(kReadBufferBytes)) {
  sweep_alarm_->set(kSweepInterval);
}

ServerSide::~ServerSide() = default;

void ServerSide::update_hosts(const HostList& list) {
  if (list.whole)
    for (auto& [id, pool] : pools_) pool->listed = pool->available = false;
  for (const Host& host : list.hosts) {
    bool removed = host.server.health == violetusher::Health::Removed;
    auto at = pools_.find(host.server.id);
    if (at == pools_.end()) {
      if (removed) continue;
      at = pools_.emplace(host.server.id, std::make_unique<ServerPool>()).first;
      at->second->id = host.server.id;
    }
    ServerPool& pool = *at->second;
    // A new process or a new address: open connections lead to the old one.
    bool moved = !removed && (pool.dial != host.dial || pool.started_at != host.server.up_since);
    if (moved) {
      pool.dial = host.dial;
      pool.started_at = host.server.up_since;
      pool.address = parse_address(host.dial);
      pool.no_dial_until = 0;
      for (auto& c : pool.connections) c->draining_ = true;
    }
    pool.listed = !removed;
    pool.available = host.server.health == violetusher::Health::Ready;
  }
  // An attempt counts as sent from its first byte. One without it is not sent to a server that is
  // draining, or to the address that it has left, however long the attempt has waited.
  Micros any_time = io_.now() + 1;
  for (auto& [id, pool] : pools_) {
    for (auto& c : pool->connections) {
      c->draining_ |= !pool->available;
      if (c->draining_) c->drop_unsent(any_time);
    }
  }
  if (activity_recorder_)
    for (auto& [id, pool] : pools_) activity_recorder_->set_serving(id, pool->available);
  sweep();
}

void ServerSide::attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder) {
  activity_recorder_ = &activity_recorder;
  for (auto& [id, pool] : pools_) activity_recorder_->set_serving(id, pool->available);
}

ServerConnection* ServerSide::dial(ServerPool& pool) {
  if (!pool.address) return nullptr;
  auto connection = std::make_unique<ServerConnection>(*this, pool, next_connection_id_);
  CallResult result = connection->dial();
  if (result == CallResult::kPermanentError) return nullptr;
  dials_deferred_ |= result != CallResult::kDone;
  recorder_.record(io_.now(), Kind::kDial, 0, -1, next_connection_id_++, 0, pool.id);
  pool.connections.push_back(std::move(connection));
  ++total_;
  return pool.connections.back().get();
}

/// The connection for one more attempt: the last used of the idle ones that have settled, else a
/// new one, else the one with the fewest attempts before it. Answers come in order, so waiting
/// behind another attempt costs its whole service time; a dial costs one or two round trips.
ServerConnection* ServerSide::pick_connection(ServerPool& pool, OwnAnswer own_answer) {
  Micros settled = io_.now() - kReuseDelay;
  auto better = [&](const ServerConnection& a, const ServerConnection& b) {
    bool a_fresh = a.last_active_at_ > settled, b_fresh = b.last_active_at_ > settled;
    if (a_fresh != b_fresh) return b_fresh;
    return a_fresh ? a.last_active_at_ < b.last_active_at_ : a.last_active_at_ > b.last_active_at_;
  };
  while (true) {
    ServerConnection* idle = nullptr;
    for (auto& c : pool.connections)
      if (c->idle() && !c->draining_ && c->suits(own_answer) && (!idle || better(*c, *idle)))
        idle = c.get();
    if (!idle) break;
    // Checked on each reuse: a close or unsolicited bytes behind the last answer would be taken for
    // the answer to this attempt.
    if (!idle->may_have_ended()) return idle;
    close(*idle, CloseReason::kClosedByServer);
  }
  for (auto& c : pool.connections)  // dialled for a request that has ended since
    if (c->connecting_ && c->entries_.empty() && !c->draining_) return c.get();
  bool may_dial = io_.now() >= pool.no_dial_until || pool.connections.empty();
  ServerConnection* connection = may_dial && make_room(pool) ? dial(pool) : nullptr;
  if (connection && connection->socket_) return connection;
  // A dial that this machine has deferred takes an attempt that no other connection can.
  ServerConnection* busy = least_loaded(pool, Connecting::kInclude, own_answer);
  return busy ? busy : connection;
}

ServerConnection* ServerSide::least_loaded(ServerPool& pool, Connecting connecting,
                                           OwnAnswer own_answer) const {
  ServerConnection* best = nullptr;
  for (auto& c : pool.connections)
    if (!c->closed_ && c->socket_ && !c->draining_ && !c->streaming_ && c->suits(own_answer) &&
        (connecting == Connecting::kInclude || !c->connecting_) &&
        (c->entries_.empty() || c->entries_.front().live) &&
        c->entries_.size() < static_cast<std::size_t>(limits_.streams) &&
        (!best || c->entries_.size() < best->entries_.size()))
      best = c.get();
  return best;
}

bool ServerSide::make_room(ServerPool& pool) {
  if (pool.connections.size() >= limits_.table.max_open) {
    // Close a connection that only waits for answers of abandoned attempts.
    auto at = std::find_if(pool.connections.begin(), pool.connections.end(),
                           [](const auto& c) { return c->abandoned(); });
    if (at == pool.connections.end()) return false;
    close(**at, CloseReason::kMadeRoom);
  }
  if (total_ < limits_.connections) return true;
  // Otherwise close the connection that has been unused longest, to whichever server: in a large
  // fleet the servers of rare keys would keep those of popular keys from having any.
  ServerConnection* least_recent = nullptr;
  for (auto& [id, other] : pools_)
    for (auto& c : other->connections)
      if (!c->connecting_ && c->abandoned() &&
          (!least_recent || c->last_active_at_ < least_recent->last_active_at_))
        least_recent = c.get();
  if (least_recent) close(*least_recent, CloseReason::kMadeRoom);
  return least_recent != nullptr;
}

void ServerSide::send(const std::string& server, RequestId id, int attempt, const Command& command,
                      const AttemptTerms& terms) {
  auto at = pools_.find(server);
  // A decision may predate a list that was delivered in the same iteration.
  bool server_available = at != pools_.end() && at->second->available;
  ServerConnection* c = server_available ? pick_connection(*at->second, terms.own_answer) : nullptr;
  if (!c) {
    // A refusal that may come again says nothing about the server.
    bool held_back = server_available &&
                     least_loaded(*at->second, Connecting::kInclude, OwnAnswer::kNotRequired);
    auto open_connections = at == pools_.end() ? 0 : at->second->connections.size();
    recorder_.record(io_.now(), Kind::kNoConnection, id, attempt, 0,
                     static_cast<std::int64_t>(open_connections), server);
    handler_.on_attempt_end(id, attempt, held_back ? Status::NotSent : Status::ConnectFailed,
                            Answer());
    return;
  }
  auto before = static_cast<std::int64_t>(c->entries_.size());
  c->queue(id, attempt, command, terms);
  recorder_.record(c->last_active_at_, Kind::kSent, id, attempt, c->id_, before, server);
}

std::pair<ServerConnection*, std::size_t> ServerSide::find(const std::string& server, RequestId id,
                                                           int attempt) {
  if (auto at = pools_.find(server); at != pools_.end())
    for (auto& c : at->second->connections)
      for (std::size_t k = 0; k < c->entries_.size(); ++k) {
        const ServerConnection::QueuedAttempt& e = c->entries_[k];
        if (e.live && e.id == id && e.attempt == attempt) return {c.get(), k};
      }
  return {nullptr, 0};
}

bool ServerSide::withdraw(const std::string& server, RequestId id, int attempt) {
  auto [c, index] = find(server, id, attempt);
  if (!c || c->started(index)) return false;
  c->remove(index);
  return true;
}

bool ServerSide::may_abandon(const std::string& server, RequestId id, int attempt) {
  auto [c, index] = find(server, id, attempt);
  if (!c || !c->started(index)) return true;
  c->entries_[index].timed_out = true;
  return c->abandoned();
}

Status ServerSide::cancel(const std::string& server, RequestId id, int attempt) {
  if (withdraw(server, id, attempt)) return Status::NotSent;
  auto [c, index] = find(server, id, attempt);
  if (!c) return Status::Cancelled;
  ServerConnection::QueuedAttempt& e = c->entries_[index];
  bool partly_written = index == c->sent_;
  c->report_interruption(index,
                         partly_written ? CloseReason::kPartialRequest : CloseReason::kAbandoned);
  if (partly_written) {
    c->stop_writing();
    if (c->abandoned()) close(*c, CloseReason::kPartialRequest);
    return Status::NotSent;
  }
  e.live = false;
  e.since = io_.now();
  // The system would send the rest, and the server would begin it, however late: PROTOCOL counts an
  // attempt from its last byte. The other attempts on the connection can be begun anew.
  if (!c->taken(index) && !c->serves_stream()) {
    close(*c, CloseReason::kAbandoned);
    return Status::Cancelled;
  }
  if (index + 1 == c->sent_ && c->holds_back()) c->drop_unsent(io_.now() + 1);
  // Only closing the connection tells the server that nobody waits any more, so that it may drop
  // what it has not started. With many clients that leave early, abandoned attempts filled the
  // servers. The price is a new connection, some milliseconds of the server's work, which is wasted
  // where servers go on with queued work. Other attempts on the connection are spared: then the
  // answer is read and dropped when it comes.
  if (c->abandoned())
    close(*c, CloseReason::kAbandoned);
  else if (c->paused_)
    c->resume();  // read and dropped, for the attempts behind it
  return Status::Cancelled;
}

ServerSide::AttemptProgress ServerSide::progress_of(const std::string& server, RequestId id,
                                                    int attempt) {
  auto [c, index] = find(server, id, attempt);
  return c ? c->progress_of(index) : AttemptProgress();
}

bool ServerSide::request_taken(const std::string& server, RequestId id, int attempt) {
  auto [c, index] = find(server, id, attempt);
  return c && c->taken(index);
}

bool ServerSide::request_progresses(const std::string& server, RequestId id, int attempt) {
  auto [c, index] = find(server, id, attempt);
  return c && c->started(index) && c->request_progresses();
}

bool ServerSide::begin_stream(const std::string& server, RequestId id, int attempt) {
  auto [c, index] = find(server, id, attempt);
  if (!c || !c->progress_of(index).long_value) return false;
  c->begin_stream();
  return true;
}

void ServerSide::resume(const std::string& server, RequestId id, int attempt) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return;
  for (auto& c : at->second->connections) {
    if (!c->paused_ || c->entries_.empty()) continue;
    const ServerConnection::QueuedAttempt& e = c->entries_.front();
    if (e.id == id && e.attempt == attempt) c->resume();
  }
}

void ServerSide::mark_dirty(ServerConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ServerSide::close(ServerConnection& c, CloseReason reason) {
  if (c.closed_) return;
  c.closed_ = true;
  closes_.add(reason);
  bool stale = c.has_answered_ && c.closed_by_peer_ && !c.reader_.in_answer();
  Status broken = stale ? Status::StaleConnection : Status::Reset;
  for (std::size_t k = 0; k < c.entries_.size(); ++k) {
    ServerConnection::QueuedAttempt& e = c.entries_[k];
    if (!e.live) continue;
    c.report_interruption(k, reason);
    handler_.on_attempt_end(e.id, e.attempt,
                            k >= c.sent_  ? Status::ConnectFailed
                            : e.timed_out ? Status::Timeout
                                          : broken,
                            Answer());
  }
  c.entries_.clear();
  c.update_buffered();
  std::erase(waiting_for_room_, &c);
  c.watch_.reset();
  // The system would go on sending what the server has not taken, for a request that is over.
  if (core::gives_up_attempts(reason) && !core::mutant(core::Mutant::kRequestSentAfterEnd))
    io_.discard_untaken(c.socket_.number());
  c.socket_.reset();
  auto& all = c.pool_.connections;
  auto at = std::find_if(all.begin(), all.end(), [&](const auto& p) { return p.get() == &c; });
  closed_.push_back(std::move(*at));
  all.erase(at);
  --total_;
}

/// A server whose connection table is full refuses new connections while open ones work: the
/// attempts that waited for the dial are queued on those. If there are none, the server is
/// unreachable.
void ServerSide::on_dial_failed(ServerConnection& c, CallResult why) {
  bool refused = why != CallResult::kTransientError;
  if (refused) {
    c.pool_.no_dial_until = io_.now() + kDialBackoff;
    c.pool_.idle_budget.on_refused();
  }
  RecycledQueue<ServerConnection::QueuedAttempt> waiting;
  std::swap(waiting, c.entries_);
  ServerPool& pool = c.pool_;
  close(c, CloseReason::kDialFailed);
  for (; !waiting.empty(); waiting.pop_front()) {
    ServerConnection::QueuedAttempt& e = waiting.front();
    ServerConnection* other = least_loaded(pool, Connecting::kExclude, e.own_answer);
    if (!other) {
      handler_.on_attempt_end(e.id, e.attempt, refused ? Status::ConnectFailed : Status::NotSent,
                              Answer());
      continue;
    }
    other->take_over(std::move(e));
  }
}

void ServerSide::reassign_deferred(ServerPool& pool) {
  if (!dials_deferred_) return;
  for (auto& c : pool.connections)
    while (!c->socket_ && !c->closed_ && !c->entries_.empty()) {
      OwnAnswer own_answer = c->entries_.front().own_answer;
      ServerConnection* free = least_loaded(pool, Connecting::kExclude, own_answer);
      if (!free) return;
      free->take_over(std::move(c->entries_.front()));
      c->entries_.pop_front();
    }
}

void ServerSide::admit_waiting_answers() {
  while (!waiting_for_room_.empty() && waiting_for_room_.front()->admit_answer())
    waiting_for_room_.erase(waiting_for_room_.begin());
}

void ServerSide::flush() {
  admit_waiting_answers();
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    ServerConnection* c = dirty_[k];
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  dirty_.clear();
  closed_.clear();
}

}  // namespace violetusher::net
