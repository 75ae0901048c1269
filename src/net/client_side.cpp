#include "client_side.hpp"

#include <algorithm>

#include "client_connection.hpp"
#include "core/mutants.hpp"

namespace violetusher::net {

using core::CloseReason;

namespace {

constexpr Micros kSweepInterval = kSecond / 20;
// A connection is not evicted within this time of its accept or of the first byte of a command:
// what it has sent may be on its way. New connections wait in the backlog meanwhile.
constexpr Micros kEvictionGrace = kSecond / 10;

}  // namespace

ClientSide::ClientSide(Io& io, Handler& handler, Limits limits, core::InvariantChecker* invariants)
    : io_(io),
      handler_(handler),
      limits_(limits),
      invariants_(invariants),
      budget_(limits.buffer_bytes, protocol::kMaxValueBytes),
      sweep_alarm_(io.alarm([this] { sweep(); })),
      read_buffer_(std::make_unique<char[]>(kReadBufferBytes)) {
  sweep_alarm_->set(kSweepInterval);
}

ClientSide::~ClientSide() = default;

bool ClientSide::adopt(int descriptor, std::string& error) {
  auto listener = std::make_unique<Listener>(*this);
  listener->socket = io_.adopt(descriptor, error);
  listener->shared = true;
  return start_accepting(std::move(listener));
}

bool ClientSide::listen(const sockaddr_in& address, std::string& error) {
  auto listener = std::make_unique<Listener>(*this);
  listener->socket = io_.listen(address, error);
  return start_accepting(std::move(listener));
}

bool ClientSide::update_listeners(const std::map<std::string, std::string>& addresses,
                                  std::string& error) {
  std::vector<std::unique_ptr<Listener>> added;
  auto same = [](const Listener& l, const auto& requested) {
    return !l.draining && l.name == requested.first && l.address == requested.second;
  };
  for (const auto& requested : addresses) {
    if (std::any_of(listeners_.begin(), listeners_.end(),
                    [&](const auto& l) { return same(*l, requested); }))
      continue;
    auto listener = std::make_unique<Listener>(*this);
    listener->name = requested.first;
    listener->address = requested.second;
    auto address = parse_address(requested.second, true);
    if (address) listener->socket = io_.listen(*address, error);
    if (!listener->socket) {
      error = "listener '" + requested.first + "', " + requested.second + ": " +
              (address ? error : std::string("invalid address, expected IP:PORT"));
      return false;
    }
    added.push_back(std::move(listener));
  }
  for (auto& l : listeners_)
    l->draining |= !l->name.empty() &&
                   std::none_of(addresses.begin(), addresses.end(),
                                [&](const auto& requested) { return same(*l, requested); });
  close_drained_listeners();
  for (auto& listener : added) start_accepting(std::move(listener));
  return true;
}

bool ClientSide::start_accepting(std::unique_ptr<Listener> listener) {
  if (!listener->socket) return false;
  listener->watch = io_.watch(listener->socket.number(), *listener);
  listener->watch->read(!accept_paused_);
  listeners_.push_back(std::move(listener));
  return true;
}

std::uint16_t ClientSide::port(const std::string& name) const {
  for (const auto& l : listeners_)
    if (l->name == name && !l->draining) return io_.port(l->socket.number());
  return 0;
}

/// Watches are level-triggered: without a pause the loop would spin. A closed connection or the
/// sweep ends the pause.
void ClientSide::pause_accepting(bool pause) {
  accept_paused_ = pause;
  for (auto& l : listeners_) l->watch->read(!pause);
}

bool ClientSide::accept_pending(Listener& listener) {
  for (int accepts = 0; accepts < kMaxAcceptsPerEvent; ++accepts) {
    // Connections that have sent no command get a third of the limit, so that a crowd of them
    // evicts only its own kind and not clients with requests.
    if (without_command_ >= limits_.connections / 3) evict_without_command();
    bool wait = active() >= limits_.connections && !evict() && has_evictable_soon();
    bool full = connections_.size() >= limits_.connections + limits_.spare_connections;
    if (wait || (full && !close_lingering())) {
      pause_accepting(true);
      return false;
    }
    Socket socket;
    switch (io_.accept(listener.socket.number(), socket)) {
      case Io::Accepted::kNone:
        return true;
      case Io::Accepted::kNoDescriptor:
        if (!close_lingering() && !evict()) pause_accepting(true);
        return false;
      case Io::Accepted::kTransientError:
        if (core::mutant(core::Mutant::kEvictAtAnyShortage)) evict();
        pause_accepting(true);
        return false;
      case Io::Accepted::kAborted:
        continue;
      case Io::Accepted::kOne:
        break;
    }
    if (listener.draining) --listener.backlog_left;
    bool over = active() >= limits_.connections;
    connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(socket), over));
    connections_.back()->index_ = connections_.size() - 1;
    connections_.back()->listener_ = listener.name;
    ++without_command_;
  }
  return false;
}

/// Makes room for a connection: closes the one that has been idle longest between two commands,
/// else the one whose first or next command has been awaited longest. Returns false if there is
/// none, as all have a request open or have only just connected or begun a command.
bool ClientSide::evict() {
  if (core::mutant(core::Mutant::kEvictAtAnyShortage))
    return evict_quiet([](const ClientConnection&) { return true; });
  auto between_commands = [](const ClientConnection& c) {
    return c.command_received_ && !c.in_command();
  };
  return evict_quiet(between_commands) ||
         evict_quiet([this](const ClientConnection& c) { return !in_grace(c); });
}

bool ClientSide::evict_without_command() {
  return evict_quiet(
      [this](const ClientConnection& c) { return !c.command_received_ && !in_grace(c); });
}

bool ClientSide::in_grace(const ClientConnection& c) const {
  return io_.now() - c.quiet_since() < kEvictionGrace;
}

bool ClientSide::has_evictable_soon() const {
  return std::any_of(connections_.begin(), connections_.end(), [this](const auto& c) {
    return c->quiescent() && !c->lingering_ && in_grace(*c);
  });
}

/// Closes the connection that `may_evict` accepts and that has been without a request longest. The
/// close is graceful: a request that arrives on it at this moment is served, and another connection
/// is closed instead. Returns false if there is none.
bool ClientSide::evict_quiet(const std::function<bool(const ClientConnection&)>& may_evict) {
  std::vector<ClientConnection*> quiet;
  for (auto& c : connections_)
    if (c->quiescent() && !c->lingering_ && may_evict(*c)) quiet.push_back(c.get());
  std::sort(quiet.begin(), quiet.end(),
            [](const auto* a, const auto* b) { return a->quiet_since() < b->quiet_since(); });
  if (core::mutant(core::Mutant::kEvictAtAnyShortage) && !quiet.empty()) {
    close(*quiet.front(), CloseReason::kEvicted);
    return true;
  }
  for (ClientConnection* c : quiet)
    if (c->close_quiet(CloseReason::kEvicted)) return true;
  return false;
}

/// Closes the connection that has waited longest for the client's FIN; returns false if there is
/// none.
bool ClientSide::close_lingering() {
  ClientConnection* oldest = nullptr;
  for (auto& c : connections_)
    if (c->lingering_ && (!oldest || c->since_ < oldest->since_)) oldest = c.get();
  if (!oldest) return false;
  oldest->discard_input();
  close(*oldest, CloseReason::kEvicted);
  return true;
}

void ClientSide::sweep() {
  sweep_alarm_->set(kSweepInterval);
  Micros now = io_.now();
  for (std::size_t k = connections_.size(); k-- > 0;) {  // in reverse: closing moves the last one
    if (k >= connections_.size()) continue;
    connections_[k]->poll_for_close();  // may close this and other connections
    if (k >= connections_.size()) continue;
    connections_[k]->poll_progress();
    if (connections_[k]->timed_out(now))
      connections_[k]->close_timed_out();
    else if (draining_)
      mark_dirty(*connections_[k]);  // its grace for a first command may be over
  }
  if (accept_paused_) pause_accepting(false);
  close_drained_listeners();
}

/// Closes listeners that are no longer configured once their backlog is empty. An accept that fails
/// for a transient error does not show that it is. A connection that comes after the listener began
/// to drain is not waited for: at most a full backlog is accepted.
void ClientSide::close_drained_listeners() {
  // Not inside erase_if: making room for an accepted connection iterates over all listeners.
  for (auto& l : listeners_)
    l->drained = l->draining && (l->shared || accept_pending(*l) || l->backlog_left <= 0);
  std::erase_if(listeners_, [](const auto& l) { return l->drained; });
}

void ClientSide::mark_dirty(ClientConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ClientSide::close(ClientConnection& c, CloseReason reason) {
  if (c.closed_) return;
  c.closed_ = true;
  if (c.lingering_) --lingering_;
  if (invariants_) {
    RequestId unanswered = 0;
    for (const ResponseSlot& slot : c.slots_)
      if (slot.id && !slot.done) unanswered = slot.id;
    invariants_->on_close(reason, unanswered ? 1 : 0, unanswered);
  }
  release_slots(c);
  if (!c.command_received_) --without_command_;
  c.update_buffered();
  c.watch_.reset();
  c.socket_.reset();
  std::size_t at = c.index_;
  closed_.push_back(std::move(connections_[at]));
  if (at + 1 != connections_.size()) {
    connections_[at] = std::move(connections_.back());
    connections_[at]->index_ = at;
  }
  connections_.pop_back();
  if (accept_paused_) pause_accepting(false);
}

void ClientSide::release_slots(ClientConnection& c) {
  for (ResponseSlot& slot : c.slots_)
    if (slot.id && !slot.done) handler_.on_client_disconnected(slot.id);
  while (!c.slots_.empty()) {
    end_pending(c.slots_.front());
    c.slots_.pop_front();
  }
  c.slot_bytes_ = 0;
}

void ClientSide::respond(PendingResponse&& response, const std::string& id, const Reply& reply) {
  ResponseSlot* slot = std::exchange(response.slot_, nullptr);
  if (!slot) return;
  ClientConnection& c = *slot->connection;
  if (reply.kind == Reply::Kind::Bad) c.protocol_error_ = true;
  if (reply.kind == Reply::Kind::Value || reply.kind == Reply::Kind::Stored)
    budget_.on_response_size(reply.value.size());
  protocol::append_reply(slot->text, id, reply);
  c.slot_bytes_ += slot->text.size();
  finish(*slot);
  c.update_buffered();
}

void ClientSide::finish(ResponseSlot& slot) {
  slot.done = true;
  end_pending(slot);
  mark_dirty(*slot.connection);
}

void ClientSide::end_pending(ResponseSlot& slot) {
  if (std::exchange(slot.pending, false)) budget_.on_response_end();
  if (std::exchange(slot.streaming, false)) --slot.connection->streams_;
}

bool ClientSide::admits_value(const PendingResponse& response, std::size_t bytes) {
  if (!response) return true;
  using Delivery = core::BufferBudget::Delivery;
  const ResponseSlot& slot = *response.slot_;
  bool now = slot.connection->can_write(slot);
  bool admitted = budget_.admits_value(bytes, now ? Delivery::kNow : Delivery::kLater);
  if (!admitted) budget_.on_response_size(bytes);  // else learnt when it is sent
  return admitted;
}

bool ClientSide::admits_stream() {
  bool admitted = budget_.admits_stream(kStreamBufferBytes);
  budget_.on_response_size(kStreamBufferBytes);
  return admitted;
}

void ClientSide::begin_stream(PendingResponse& response, const std::string& id,
                              std::size_t length) {
  if (!response) return;
  ResponseSlot& slot = *response.slot_;
  slot.streaming = true;
  ++slot.connection->streams_;
  protocol::append_value_head(slot.text, id, length);
  slot.connection->slot_bytes_ += slot.text.size();
  mark_dirty(*slot.connection);
}

bool ClientSide::stream(PendingResponse& response, std::string_view piece) {
  if (!response) return true;
  ResponseSlot& slot = *response.slot_;
  ClientConnection& c = *slot.connection;
  slot.text += piece;
  c.slot_bytes_ += piece.size();
  c.update_buffered();
  mark_dirty(c);
  // A response that is not first in order waits for those before it. With many slow readers each
  // gets a smaller buffer, so that the limit on all of them costs none its response.
  bool in_turn = &slot == &c.slots_.front();
  std::size_t buffered = slot.text.size() + (in_turn ? c.unsent() : 0);
  bool small = !in_turn || budget_.tight();
  bool full = buffered >= (small ? kOutputLowWatermark : kOutputHighWatermark);
  slot.backpressured |= full;
  return !full;
}

void ClientSide::end_stream(PendingResponse&& response) {
  ResponseSlot* slot = std::exchange(response.slot_, nullptr);
  if (!slot) return;
  slot->text += "\r\n";
  slot->connection->slot_bytes_ += 2;
  finish(*slot);
}

void ClientSide::abort_stream(PendingResponse&& response) {
  ResponseSlot* slot = std::exchange(response.slot_, nullptr);
  if (!slot) return;
  slot->id = 0;  // the caller handles the end of the request itself
  slot->backpressured = false;
  slot->truncated = true;
  end_pending(*slot);
  slot->connection->value_truncated_ = true;
  mark_dirty(*slot->connection);
}

void ClientSide::respond_raw(ResponseSlot& slot, std::string_view text) {
  slot.text = text;
  slot.connection->slot_bytes_ += text.size();
  finish(slot);
}

void ClientSide::flush() {
  // Flushing may read or parse commands, whose responses mark a connection dirty again: that is
  // left to the next call.
  flushing_.swap(dirty_);
  for (ClientConnection* c : flushing_) {
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  flushing_.clear();
  if (closed_.empty()) return;
  std::erase_if(dirty_, [](const ClientConnection* c) { return c->closed_; });
  closed_.clear();
}

void ClientSide::drain() {
  for (auto& l : listeners_) l->draining = true;
  close_drained_listeners();
  if (draining_) return;
  draining_ = true;
  for (auto& c : connections_) mark_dirty(*c);
}

bool ClientSide::delivered() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& c) { return c->delivered(); });
}

void ClientSide::close_all() {
  closing_all_ = true;
  for (auto& c : connections_) mark_dirty(*c);
}

}  // namespace violetusher::net
