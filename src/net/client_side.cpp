#include "client_side.hpp"

#include <algorithm>

#include "client_connection.hpp"
#include "core/mutants.hpp"

namespace violetusher::net {

using core::CloseReason;

namespace {

constexpr Micros kSweep = kSecond / 20;
// As many as may wait at a listener that goes.
constexpr int kBacklog = 4096;

}  // namespace

ClientSide::ClientSide(Io& io, Handler& handler, Limits limits, core::InvariantChecker* guard)
    : io_(io),
      handler_(handler),
      limits_(limits),
      guard_(guard),
      sweep_alarm_(io.alarm([this] { sweep(); })),
      scratch_(std::make_unique<char[]>(kScratch)) {
  sweep_alarm_->set(kSweep);
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
  std::vector<std::unique_ptr<Listener>> fresh;
  auto same = [](const Listener& l, const auto& wanted) {
    return !l.retiring && l.name == wanted.first && l.address == wanted.second;
  };
  for (const auto& wanted : addresses) {
    if (std::any_of(listeners_.begin(), listeners_.end(),
                    [&](const auto& l) { return same(*l, wanted); }))
      continue;
    auto listener = std::make_unique<Listener>(*this);
    listener->name = wanted.first;
    listener->address = wanted.second;
    auto address = parse_address(wanted.second, true);
    if (address) listener->socket = io_.listen(*address, error);
    if (!listener->socket) {
      error = "listener '" + wanted.first + "', " + wanted.second + ": " +
              (address ? error : std::string("no address"));
      return false;
    }
    fresh.push_back(std::move(listener));
  }
  for (auto& l : listeners_)
    l->retiring |=
        !l->name.empty() && std::none_of(addresses.begin(), addresses.end(),
                                         [&](const auto& wanted) { return same(*l, wanted); });
  drop_retired();
  for (auto& listener : fresh) start_accepting(std::move(listener));
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
    if (l->name == name && !l->retiring) return io_.port(l->socket.number());
  return 0;
}

/// Watches are level-triggered: without a pause the loop would spin. A close or the sweep ends it.
void ClientSide::pause_accepting(bool pause) {
  accept_paused_ = pause;
  for (auto& l : listeners_) l->watch->read(!pause);
}

bool ClientSide::accept_some(Listener& listener, int most) {
  while (most-- > 0) {
    // Those that have said nothing have a third of the places: a crowd of them pushes out its own,
    // not the clients that ask.
    if (silent_ >= limits_.connections / 3) evict_silent();
    if (connections_.size() >= limits_.connections && !evict() &&
        connections_.size() >= limits_.connections + limits_.spare_connections) {
      pause_accepting(true);
      return false;
    }
    Socket socket;
    switch (io_.accept(listener.socket.number(), socket)) {
      case Io::Accepted::kNone:
        return true;
      case Io::Accepted::kNoDescriptor:
        if (!evict()) pause_accepting(true);
        return false;
      case Io::Accepted::kTransientError:
        if (core::mutant(core::Mutant::kEvictAtAnyShortage)) evict();
        pause_accepting(true);
        return false;
      case Io::Accepted::kOne:
        break;
    }
    bool over = connections_.size() >= limits_.connections;
    connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(socket), over));
    connections_.back()->index_ = connections_.size() - 1;
    connections_.back()->listener_ = listener.name;
    ++silent_;
  }
  return false;
}

/// Makes room: by closing a connection that only waits for the client's FIN, else by ending the one
/// that has rested for longest, else by closing the one that is in the middle of a command for
/// longest. False where each has a request open.
bool ClientSide::evict() {
  ClientConnection* oldest = nullptr;
  for (auto& c : connections_)
    if (c->lingering_ && (!oldest || c->since_ < oldest->since_)) oldest = c.get();
  if (oldest) {
    oldest->discard_input();
    close(*oldest, CloseReason::kEvicted);
    return true;
  }
  if (end_resting([](const ClientConnection&) { return true; })) return true;
  for (auto& c : connections_)
    if (c->vacant() && c->in_command() && (!oldest || c->since_ < oldest->since_)) oldest = c.get();
  if (oldest) close(*oldest, CloseReason::kEvicted);
  return oldest != nullptr;
}

bool ClientSide::evict_silent() {
  return end_resting([](const ClientConnection& c) { return !c.spoken_; });
}

/// Ends the connection that has rested for longest of those that may end: a planned end, so that a
/// request that has come on it in this very moment is taken, and another one ended. False where
/// there is none.
bool ClientSide::end_resting(const std::function<bool(const ClientConnection&)>& may_end) {
  std::vector<ClientConnection*> resting;
  for (auto& c : connections_)
    if (c->vacant() && !c->lingering_ && may_end(*c)) resting.push_back(c.get());
  std::sort(resting.begin(), resting.end(),
            [](const auto* a, const auto* b) { return a->used_at_ < b->used_at_; });
  if (core::mutant(core::Mutant::kEvictAtAnyShortage) && !resting.empty()) {
    close(*resting.front(), CloseReason::kEvicted);
    return true;
  }
  for (ClientConnection* c : resting)
    if (c->end_resting(CloseReason::kEvicted)) return true;
  return false;
}

/// Bounds what slow readers and writers of long values make the router hold, whichever way they go
/// about it: the connection that holds most is closed first. It hurts a client with large answers
/// on a slow line when many others are slow as well.
void ClientSide::bound_buffers() {
  while (buffered_ > limits_.buffer_bytes) {
    ClientConnection* most = nullptr;
    for (auto& c : connections_)
      if (!most || c->accounted_ > most->accounted_) most = c.get();
    if (!most) return;
    close(*most, CloseReason::kBufferLimit);
  }
}

void ClientSide::sweep() {
  sweep_alarm_->set(kSweep);
  Micros now = io_.now();
  for (std::size_t k = connections_.size(); k-- > 0;) {  // from the end: closing moves the last one
    if (k >= connections_.size()) continue;
    connections_[k]->look_for_end();  // which may close it, and take others along
    if (k >= connections_.size()) continue;
    if (connections_[k]->overdue(now))
      connections_[k]->end_overdue();
    else if (draining_)
      touch(*connections_[k]);  // its time for a first command may have run out
  }
  if (accept_paused_) pause_accepting(false);
  drop_retired();
}

/// Lets listeners go that are not wanted any more, once what waits there is taken: an accept that
/// fails for now says nothing of that.
void ClientSide::drop_retired() {
  // Apart: making room for what is accepted looks at all listeners.
  for (auto& l : listeners_) l->emptied = l->retiring && (l->shared || accept_some(*l, kBacklog));
  std::erase_if(listeners_, [](const auto& l) { return l->emptied; });
}

void ClientSide::touch(ClientConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ClientSide::close(ClientConnection& c, CloseReason reason) {
  if (c.closed_) return;
  c.closed_ = true;
  if (guard_) {
    RequestId owed = 0;
    for (const ClientSlot& slot : c.slots_)
      if (slot.id && !slot.done) owed = slot.id;
    guard_->on_close(reason, owed ? 1 : 0, owed);
  }
  for (ClientSlot& slot : c.slots_)
    if (slot.id && !slot.done) handler_.on_gone(slot.id);
  c.slots_.clear();
  if (!c.spoken_) --silent_;
  c.account();
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

void ClientSide::answer(Owed&& owed, const std::string& id, const Reply& reply) {
  ClientSlot* slot = std::exchange(owed.slot_, nullptr);
  if (!slot) return;
  ClientConnection& c = *slot->connection;
  if (reply.kind == Reply::Kind::Bad) c.broken_ = true;
  protocol::append_reply(slot->text, id, reply);
  c.ready_ += slot->text.size();
  slot->done = true;
  touch(c);
}

void ClientSide::begin(Owed& owed, const std::string& id, std::size_t length) {
  if (!owed) return;
  ClientSlot& slot = *owed.slot_;
  protocol::append_value_head(slot.text, id, length);
  slot.connection->ready_ += slot.text.size();
  touch(*slot.connection);
}

bool ClientSide::pass(Owed& owed, std::string_view piece) {
  if (!owed) return true;
  ClientSlot& slot = *owed.slot_;
  ClientConnection& c = *slot.connection;
  slot.text += piece;
  c.ready_ += piece.size();
  c.account();
  touch(c);
  // What comes out of turn waits for the answers before it. And many slow readers at once get
  // smaller buffers: the bound on all must not cost any its answer.
  bool in_turn = &slot == &c.slots_.front();
  std::size_t held = slot.text.size() + (in_turn ? c.unsent() : 0);
  bool small = !in_turn || buffered_ >= limits_.buffer_bytes / 2;
  bool much = held >= (small ? kOutLow : kOutHigh);
  slot.held_back |= much;
  return !much;
}

void ClientSide::end(Owed&& owed) {
  ClientSlot* slot = std::exchange(owed.slot_, nullptr);
  if (!slot) return;
  slot->text += "\r\n";
  slot->connection->ready_ += 2;
  slot->done = true;
  touch(*slot->connection);
}

void ClientSide::abort(Owed&& owed) {
  ClientSlot* slot = std::exchange(owed.slot_, nullptr);
  if (!slot) return;
  slot->id = 0;  // who calls knows of its end
  close(*slot->connection, CloseReason::kValueTruncated);
}

void ClientSide::say(ClientSlot& slot, std::string_view text) {
  slot.text = text;
  slot.connection->ready_ += text.size();
  slot.done = true;
  touch(*slot.connection);
}

void ClientSide::flush() {
  // Flushing may parse held commands, whose answers make a connection dirty again.
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    ClientConnection* c = dirty_[k];
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  dirty_.clear();
  bound_buffers();
  closed_.clear();
}

void ClientSide::drain() {
  for (auto& l : listeners_) l->retiring = true;
  drop_retired();
  if (draining_) return;
  draining_ = true;
  for (auto& c : connections_) touch(*c);
}

void ClientSide::end_all() {
  ending_ = true;
  for (auto& c : connections_) touch(*c);
}

}  // namespace violetusher::net
