#include "server_side.hpp"

#include <algorithm>

namespace violetusher::net {

using core::flight::Kind;
using core::flight::Why;

namespace {

constexpr std::size_t kScratch = 16u << 10;
// An idle connection is closed after this part of the time after which the server does it: a
// command that crosses the server's close ends as a reset, and nobody can tell whether it ran.
constexpr double kIdlePart = 0.6;
// An abandoned attempt's answer is waited for this long, so that its connection can be used again;
// after that the machine is taken for silent.
constexpr Micros kAbandonTime = kSecond;
// An answer that has begun comes whole within this of its last bytes or never: a line or a value
// without its end, one whose length doesn't fit, a server that stops in the middle. It might hurt
// where a path loses packets and repeats them later than this.
constexpr Micros kPartTime = 60 * kMillisecond;
// The same of a long value while it may come: servers write them in pieces, over seconds.
constexpr Micros kLongPartTime = 4 * kSecond;
// Bytes of a long value that must have come before its length is believed and it is passed on.
constexpr std::size_t kBelieved = 16u << 10;
// What a server does right behind an answer, be it a close, a second copy or noise, shows within
// this. Until then the connection is used for another request only where there is no other idle
// one.
constexpr Micros kSettleTime = 3 * kMillisecond;
// No dial to a server that just refused one while it has connections that work.
constexpr Micros kDialPause = kSecond / 5;
constexpr Micros kSweep = kSecond / 50;

}  // namespace

struct ServerPool {
  std::string id;
  std::string dial;
  std::optional<sockaddr_in> address;
  bool listed = false;
  bool wanted = false;  // listed and ready
  Micros born = 0;
  Micros no_dial_until = 0;
  std::vector<std::unique_ptr<ServerConnection>> connections;
};

class ServerConnection final : Watch::Target {
 public:
  struct Entry {
    RequestId id;
    int attempt;
    bool live = true;  // somebody waits for it
    bool set;
    std::string answer_id;  // that its answer must bear
    std::string bytes;      // of the command; given up once written
    Micros since;           // queued, then abandoned
    std::size_t size = bytes.size();
  };

  ServerConnection(ServerSide& side, ServerPool& pool, Socket socket, std::uint32_t number)
      : side_(side),
        pool_(pool),
        number_(number),
        socket_(std::move(socket)),
        watch_(side.io_.watch(socket_.number(), *this)),
        reader_(side.fields_),
        used_at_(side.io_.now()) {}

  void on_ready(unsigned what) override {
    if (closed_) return;
    if (connecting_) {
      connected(what);
      return;
    }
    if (what & Watch::kWritable) side_.touch(*this);
    if (what & Watch::kReadable) read();
  }

  bool idle() const { return !connecting_ && entries_.empty(); }
  /// Nobody waits for anything on it.
  bool forsaken() const {
    return std::none_of(entries_.begin(), entries_.end(), [](const Entry& e) { return e.live; });
  }

  void await_connect() { watch_->write_once(side_.limits_.dial_timeout); }

  void connected(unsigned what) {
    bool up = !(what & Watch::kLimit) && side_.io_.connected(socket_.number());
    side_.recorder_.note(side_.io_.now(), Kind::kDialEnd, 0, -1, number_, 0, pool_.id,
                         up ? Why::kNone : Why::kDial);
    if (!up) {
      side_.failed_dial(*this);
      return;
    }
    connecting_ = false;
    watch_->read(true);
    side_.touch(*this);
  }

  void flush() {
    if (connecting_) return;
    while (sent_ < entries_.size()) {
      iovec parts[64];
      std::size_t count = 0;
      std::size_t skip = partial_;
      for (std::size_t k = sent_; k < entries_.size() && count < 64; ++k) {
        std::string& bytes = entries_[k].bytes;
        parts[count++] = {bytes.data() + skip, bytes.size() - skip};
        skip = 0;
      }
      ssize_t put = side_.io_.send(socket_.number(), parts, count);
      if (put == Io::kAgain) {
        watch_->write_once();
        return;
      }
      if (put < 0) {
        side_.close(*this);
        return;
      }
      partial_ += static_cast<std::size_t>(put);
      while (sent_ < entries_.size() && partial_ >= entries_[sent_].size) {
        Entry& e = entries_[sent_];
        partial_ -= e.size;
        std::string().swap(e.bytes);
        ++sent_;
        ++side_.written_;
        if (side_.recorder_.on())
          side_.recorder_.note(side_.io_.now(), Kind::kWritten, e.id, e.attempt, number_);
      }
    }
  }

  void read() {
    ssize_t got = side_.io_.recv(socket_.number(), side_.scratch_.get(), kScratch);
    if (got == Io::kAgain) return;
    if (got <= 0) {
      ended_by_peer_ = true;
      side_.close(*this);
      return;
    }
    read_at_ = used_at_ = side_.io_.now();
    std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
    Answer answer;
    while (!closed_) {
      AnswerReader::Got what = reader_.take(in, answer);
      if (what == AnswerReader::Got::Nothing) break;
      // Garbage, another request's answer and answers nobody asked for say that the two sides no
      // longer agree on what belongs to what: nothing more from this connection may be believed.
      if (what == AnswerReader::Got::Broken || sent_ == 0 || !fits(entries_.front(), answer)) {
        side_.close(*this);
        return;
      }
      if (what == AnswerReader::Got::Begin) {
        head_ = answer;
        continue;
      }
      if (what == AnswerReader::Got::Piece) {
        take_piece(reader_.piece());
        continue;
      }
      kept_ = true;
      long_ = false;
      bool last = answer.last;
      Entry done = std::move(entries_.front());
      entries_.pop_front();
      --sent_;
      if (done.live)
        side_.handler_.on_attempt_end(done.id, done.attempt, status_of(answer), std::move(answer));
      if (last) {
        side_.close(*this);
        return;
      }
    }
    // So does the beginning of an answer that nobody asked for.
    if ((sent_ == 0 && reader_.in_answer()) || (entries_.empty() && retiring_)) side_.close(*this);
  }

  /// A long value is passed on once more of it has come than answers whose length is a lie bring:
  /// until then it can still be a failed attempt, and tried elsewhere.
  void take_piece(std::string_view piece) {
    Entry& e = entries_.front();
    if (!long_) {
      early_.append(piece);
      if (early_.size() < kBelieved) return;
      long_ = true;
      std::string first = std::exchange(early_, std::string());
      if (e.live) e.live = side_.handler_.on_attempt_begin(e.id, e.attempt, head_);
      if (e.live) pass(first);
      // Neighbours are not taken along: for them it is read and dropped.
      if (!e.live && forsaken()) side_.close(*this);
    } else if (e.live) {
      pass(piece);
    }
  }

  void pass(std::string_view piece) {
    const Entry& e = entries_.front();
    if (side_.handler_.on_attempt_piece(e.id, e.attempt, piece)) return;
    paused_ = true;
    watch_->read(false);
  }

  static Status status_of(const Answer& answer) {
    switch (answer.kind) {
      case Answer::Kind::Busy:
        return Status::Full;
      case Answer::Kind::Error:
        return Status::Error;
      case Answer::Kind::Miss:
        return Status::Miss;
      default:
        return Status::Ok;
    }
  }

  static bool fits(const Entry& e, const Answer& answer) {
    if (answer.kind == Answer::Kind::Value && e.set) return false;
    if (answer.kind == Answer::Kind::Stored && !e.set) return false;
    if (answer.kind == Answer::Kind::Value || answer.kind == Answer::Kind::Stored)
      return answer.id == e.answer_id;
    return answer.id.empty() || answer.id == e.answer_id;
  }

  void go_on() {
    paused_ = false;
    read_at_ = side_.io_.now();  // the time until the next piece counts from here
    watch_->read(true);
  }

  /// True when the peer has ended or broken the connection, or said something unasked.
  bool ended() const { return side_.io_.has_input(socket_.number()); }

  ServerSide& side_;
  ServerPool& pool_;
  std::uint32_t number_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  AnswerReader reader_;
  std::deque<Entry> entries_;  // in the order of their answers
  std::size_t sent_ = 0;       // of them, written whole
  std::size_t partial_ = 0;    // bytes of the next one that are written
  bool connecting_ = true;
  bool retiring_ = false;  // nothing new; closes when its answers have come
  bool dirty_ = false;
  bool closed_ = false;
  bool kept_ = false;  // has answered before
  bool ended_by_peer_ = false;
  Answer head_;          // of a long value
  std::string early_;    // of it, before it is believed
  bool long_ = false;    // it is passed on, or dropped, as it comes
  bool paused_ = false;  // it is not read until its client has read what came
  Micros used_at_;
  Micros read_at_ = 0;  // bytes came last
};

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
    bool gone = host.server.health == violetusher::Health::Gone;
    auto at = pools_.find(host.server.id);
    if (at == pools_.end()) {
      if (gone) continue;
      at = pools_.emplace(host.server.id, std::make_unique<ServerPool>()).first;
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
  for (auto& [id, pool] : pools_)
    if (!pool->wanted)
      for (auto& c : pool->connections) c->retiring_ = true;
  sweep();
}

ServerConnection* ServerSide::dial(ServerPool& pool) {
  if (!pool.address) return nullptr;
  Socket socket = io_.connect(*pool.address);
  if (!socket) return nullptr;
  std::uint32_t number = next_connection_++;
  recorder_.note(io_.now(), Kind::kDial, 0, -1, number, 0, pool.id);
  pool.connections.push_back(
      std::make_unique<ServerConnection>(*this, pool, std::move(socket), number));
  ++total_;
  pool.connections.back()->await_connect();
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
    if (!idle->ended()) return idle;
    close(*idle);
  }
  for (auto& c : pool.connections)  // dialled for a request that has ended since
    if (c->connecting_ && c->entries_.empty() && !c->retiring_) return c.get();
  bool may_dial = io_.now() >= pool.no_dial_until || pool.connections.empty();
  if (may_dial && make_room(pool))
    if (ServerConnection* c = dial(pool)) return c;
  return least_loaded(pool);
}

ServerConnection* ServerSide::least_loaded(ServerPool& pool) const {
  ServerConnection* best = nullptr;
  for (auto& c : pool.connections)
    if (!c->closed_ && !c->retiring_ && !c->long_ &&
        (c->entries_.empty() || c->entries_.front().live) &&
        c->entries_.size() < static_cast<std::size_t>(limits_.streams) &&
        (!best || c->entries_.size() < best->entries_.size()))
      best = c.get();
  return best;
}

bool ServerSide::make_room(ServerPool& pool) {
  if (pool.connections.size() >= limits_.per_server) {
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
                      std::int64_t wait_ms) {
  auto at = pools_.find(server);
  ServerConnection* c = at == pools_.end() ? nullptr : pick(*at->second);
  if (!c) {
    handler_.on_attempt_end(id, attempt, Status::ConnectFailed, Answer());
    return;
  }
  ServerConnection::Entry e{.id = id,
                            .attempt = attempt,
                            .set = command.set,
                            .answer_id = command.id,
                            .bytes = protocol::command_bytes(command, wait_ms),
                            .since = io_.now()};
  c->used_at_ = e.since;
  recorder_.note(e.since, Kind::kSent, id, attempt, c->number_,
                 static_cast<std::int64_t>(c->entries_.size()), server);
  c->entries_.push_back(std::move(e));
  touch(*c);
}

Status ServerSide::cancel(const std::string& server, RequestId id, int attempt) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return Status::Cancelled;
  for (auto& owner : at->second->connections) {
    ServerConnection& c = *owner;
    for (std::size_t k = 0; k < c.entries_.size(); ++k) {
      ServerConnection::Entry& e = c.entries_[k];
      if (!e.live || e.id != id || e.attempt != attempt) continue;
      if (k > c.sent_ || (k == c.sent_ && c.partial_ == 0)) {
        c.entries_.erase(c.entries_.begin() + static_cast<std::ptrdiff_t>(k));
        return Status::Moot;
      }
      e.live = false;
      e.since = io_.now();
      if (k < c.sent_) {
        // Only an end of the connection tells the server that nobody waits any more, so that it may
        // drop what it has not begun. Where many clients leave early, what they left behind filled
        // the servers. It costs a new connection, some milliseconds of the server's work, for
        // nothing where servers go on with waiting work. Neighbours are not taken along: then the
        // answer is read and dropped when it comes.
        if (c.forsaken())
          close(c);
        else if (c.paused_)
          c.go_on();  // read and dropped, for those behind it
        return Status::Cancelled;
      }
      // Partly written: finishing it would send the request after its end.
      close(c);
      return Status::Moot;
    }
  }
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
  Status broken = stale ? Status::Stale : Status::Reset;
  for (std::size_t k = 0; k < c.entries_.size(); ++k) {
    ServerConnection::Entry& e = c.entries_[k];
    if (e.live)
      handler_.on_attempt_end(e.id, e.attempt, k < c.sent_ ? broken : Status::ConnectFailed,
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
void ServerSide::failed_dial(ServerConnection& c) {
  c.pool_.no_dial_until = io_.now() + kDialPause;
  std::deque<ServerConnection::Entry> waiting = std::move(c.entries_);
  c.entries_.clear();
  ServerPool& pool = c.pool_;
  close(c);
  for (ServerConnection::Entry& e : waiting) {
    ServerConnection* other = least_loaded(pool);
    if (!other || other->connecting_) {
      handler_.on_attempt_end(e.id, e.attempt, Status::ConnectFailed, Answer());
      continue;
    }
    recorder_.note(io_.now(), Kind::kMoved, e.id, e.attempt, other->number_,
                   static_cast<std::int64_t>(other->entries_.size()), pool.id);
    other->entries_.push_back(std::move(e));
    touch(*other);
  }
}

void ServerSide::sweep() {
  Micros now = io_.now();
  auto idle_limit = static_cast<Micros>(kIdlePart * static_cast<double>(limits_.keepalive));
  for (auto it = pools_.begin(); it != pools_.end();) {
    ServerPool& pool = *it->second;
    for (std::size_t k = pool.connections.size(); k-- > 0;) {
      ServerConnection& c = *pool.connections[k];
      if (c.connecting_) continue;
      if (c.entries_.empty()) {
        if (c.retiring_ || now - c.used_at_ > idle_limit) close(c);
        continue;
      }
      // What a full socket buffer has kept back this long was never sent, and must not go out when
      // the server may have begun to drain since.
      while (c.entries_.size() > c.sent_ + (c.partial_ > 0) &&
             now - c.entries_.back().since > limits_.dial_timeout) {
        ServerConnection::Entry e = std::move(c.entries_.back());
        c.entries_.pop_back();
        if (e.live) handler_.on_attempt_end(e.id, e.attempt, Status::ConnectFailed, Answer());
      }
      if (c.entries_.empty()) continue;
      const ServerConnection::Entry& head = c.entries_.front();
      bool silent = !head.live && now - std::max(head.since, c.used_at_) > kAbandonTime;
      bool broke_off = c.reader_.in_answer() && !c.paused_ &&
                       now - c.read_at_ > (c.long_ ? kLongPartTime : kPartTime);
      if (silent || broke_off) close(c);
    }
    // A server that has left, whether a whole list or a change said so, leaves nothing behind once
    // its last attempt has ended.
    it = !pool.listed && pool.connections.empty() ? pools_.erase(it) : std::next(it);
  }
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
