#include "connection.hpp"

#include <arpa/inet.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "price_cache.hpp"

namespace violetusher::standin {
namespace {

using kit::Answered;

constexpr std::size_t kReadChunkBytes = 16u << 10;
constexpr std::size_t kMaxOutputBytes =
    4u << 20;  // unread output bytes before the connection is closed
constexpr std::size_t kMaxPendingCommands = 4096;  // unanswered commands of one connection
constexpr std::size_t kMaxArrivalMarks =
    4096;  // marks while cut off; later bytes are added to the last mark

void require(bool good, const char* what) {
  if (!good) throw std::runtime_error(std::string(what) + ": " + std::strerror(errno));
}

}  // namespace

// ---- addresses ----

Address::Address() : holder_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  require(static_cast<bool>(holder_), "socket");
  int yes = 1;
  ::setsockopt(holder_.get(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
  ::setsockopt(holder_.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  address_.sin_family = AF_INET;
  address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  require(::bind(holder_.get(), reinterpret_cast<sockaddr*>(&address_), sizeof address_) == 0,
          "bind");
  socklen_t size = sizeof address_;
  ::getsockname(holder_.get(), reinterpret_cast<sockaddr*>(&address_), &size);
}

std::string Address::text() const {
  return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port));
}

net::Fd Address::listen(int backlog) const {
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  require(static_cast<bool>(fd), "socket");
  int yes = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  require(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) == 0,
          "bind");
  require(::listen(fd.get(), backlog) == 0, "listen");
  return fd;
}

std::vector<net::Fd> Address::fill_backlog(int listener) const {
  // A backlog of 0 holds one connection; once it is full the kernel drops further SYNs.
  ::listen(listener, 0);
  std::vector<net::Fd> backlog_connections;
  for (int k = 0; k < 2; ++k) {
    net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!fd) break;
    ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_);
    backlog_connections.push_back(std::move(fd));
  }
  return backlog_connections;
}

// ---- arrivals ----

void ArrivalTimes::record(std::uint64_t waiting, Micros now) {
  std::uint64_t end = read_ + waiting;
  if (end <= (marks_.empty() ? read_ : marks_.back().end)) return;
  if (marks_.size() >= kMaxArrivalMarks)
    marks_.back().end = end;
  else
    marks_.push_back({end, now});
}

Micros ArrivalTimes::arrival_of(std::uint64_t count, Micros now) const {
  for (const Mark& mark : marks_)
    if (mark.end >= read_ + count) return mark.at;
  return now;
}

void ArrivalTimes::consume(std::uint64_t count) {
  read_ += count;
  while (!marks_.empty() && marks_.front().end <= read_) marks_.pop_front();
}

// ---- connections ----

Connection::Connection(PriceCache& owner, net::Fd fd, int router, bool rejected,
                       Micros silent_since)
    : owner_(owner), fd_(std::move(fd)), router_(router), rejected_(rejected) {
  event_base* base = owner_.shared_.loop.base();
  read_.reset(event_new(base, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
  write_.reset(event_new(base, fd_.get(), EV_WRITE, on_write, this));
  // Edge-triggered: it fires for each arrival even though nothing is read.
  arrival_.reset(event_new(base, fd_.get(), EV_READ | EV_ET | EV_PERSIST, on_arrival, this));
  resume_.reset(evtimer_new(base, on_resume, this));
  event_add(read_.get(), nullptr);
  used_ = owner_.shared_.loop.now();
  int waiting = 0;
  if (silent_since && ::ioctl(fd_.get(), FIONREAD, &waiting) == 0)
    arrivals_.record(static_cast<std::uint64_t>(waiting), silent_since);
}

void Connection::set_silent(bool silent) {
  silent_ = silent;
  if (silent) {
    event_del(write_.get());
    watch_arrivals_only();
  } else {
    resume_reading();
    // Answers that were made during the cut could not be sent. That wait is due to the cut, not to
    // head-of-line blocking, so it is left out of the record.
    for (auto& exchange : waiting_)
      if (exchange->done && exchange->attempt != kNoAttempt)
        owner_.record(*exchange).made = owner_.shared_.loop.now();
    flush();
  }
}

void Connection::watch_arrivals_only() {
  event_del(read_.get());
  record_arrivals();
  event_add(arrival_.get(), nullptr);
}

void Connection::resume_reading() {
  record_arrivals();
  event_del(arrival_.get());
  event_add(read_.get(), nullptr);
}

void Connection::pause_reading(Micros span) {
  watch_arrivals_only();
  timeval after{span / 1'000'000, span % 1'000'000};
  event_add(resume_.get(), &after);
}

void Connection::on_resume(evutil_socket_t, short, void* self) {
  auto* c = static_cast<Connection*>(self);
  if (!c->silent_ && !c->close_after_) c->resume_reading();
}

void Connection::record_arrivals() {
  int waiting = 0;
  if (::ioctl(fd_.get(), FIONREAD, &waiting) == 0)
    arrivals_.record(static_cast<std::uint64_t>(waiting), owner_.shared_.loop.now());
}

void Connection::terminate(bool reset, bool record_end) {
  Micros now = owner_.shared_.loop.now();
  auto end = [&](std::size_t attempt) {
    if (attempt == kNoAttempt || !record_end) return;
    auto& record = owner_.shared_.history.attempts[attempt];
    if (record.ended != 0) return;
    record.ended = now;
    if (reset)
      record.answered = Answered::kReset;
    else
      record.left = true;
  };
  for (const OutgoingAnswer& answer : outgoing_) end(answer.attempt);
  for (auto& exchange : waiting_) {
    // Behind other answers, nobody knows when its turn would have come.
    bool behind = exchange != waiting_.front();
    if (behind && exchange->attempt != kNoAttempt) owner_.record(*exchange).would_suffice = 0;
    end(exchange->attempt);
    owner_.shared_.exchanges.erase(exchange->token);
    owner_.shared_.at_origin.erase(exchange->token);
  }
  read_.reset();
  write_.reset();
  arrival_.reset();
  resume_.reset();
  if (reset) {
    linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  fd_.reset();
}

void Connection::start_pending() {
  int out = 0;
  for (auto& exchange : waiting_) {
    if (!fd_) return;  // the previous command made the price cache collapse
    if (out == owner_.shared_.spec.streams) return;
    if (exchange->begun == 0) {
      exchange->begun = owner_.shared_.loop.now();
      owner_.arrive(*exchange);
    }
    ++out;
  }
}

bool Connection::flush() {
  if (!fd_) return false;
  if (silent_) return true;
  while (!waiting_.empty() && waiting_.front()->done) {
    Exchange& front = *waiting_.front();
    out_.append(front.text, front.copied, front.released - front.copied);
    front.copied = front.released;
    if (front.copied < front.text.size()) break;
    outgoing_.push_back({written_ + out_.size(), front.attempt, front.how});
    owner_.shared_.exchanges.erase(front.token);
    waiting_.pop_front();
  }
  used_ = owner_.shared_.loop.now();
  while (!out_.empty()) {
    ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
    if (put <= 0) {
      if (put < 0 && (errno == EAGAIN || errno == EINTR) && out_.size() < kMaxOutputBytes) {
        event_add(write_.get(), nullptr);
        return true;
      }
      owner_.close(*this, false);
      return false;
    }
    out_.erase(0, static_cast<std::size_t>(put));
    written_ += static_cast<std::uint64_t>(put);
    // An answer counts from here: the peer cannot know of it before it is written.
    for (; !outgoing_.empty() && outgoing_.front().end <= written_; outgoing_.pop_front()) {
      if (outgoing_.front().attempt == kNoAttempt) continue;
      auto& record = owner_.shared_.history.attempts[outgoing_.front().attempt];
      record.ended = used_;
      record.answered = outgoing_.front().how;
    }
  }
  if (close_after_ && waiting_.empty()) {
    owner_.close(*this, false);
    return false;
  }
  start_pending();
  return true;
}

void Connection::on_write(evutil_socket_t, short, void* self) {
  static_cast<Connection*>(self)->flush();
}

void Connection::on_arrival(evutil_socket_t, short, void* self) {
  static_cast<Connection*>(self)->record_arrivals();
}

void Connection::on_read(evutil_socket_t, short, void* self) {
  auto* c = static_cast<Connection*>(self);
  char bytes[kReadChunkBytes];
  const Fault* slow = c->owner_.fault(FaultKind::kReadsSlowly);
  std::size_t most = slow ? std::min<std::size_t>(slow->bytes, sizeof bytes) : sizeof bytes;
  ssize_t got = ::recv(c->fd_.get(), bytes, most, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0) return c->on_peer_closed();
  if (slow) c->pause_reading(slow->delay);
  c->on_input({bytes, static_cast<std::size_t>(got)});
}

void Connection::on_peer_closed() {
  if (owner_.shared_.spec.drop_gone_work)
    for (auto& exchange : waiting_) owner_.station_.drop(exchange->token);
  owner_.close(*this, false);
}

void Connection::on_input(std::string_view in) {
  Micros now = owner_.shared_.loop.now();
  used_ = now;
  while (!in.empty()) {
    if (!reader_.in_command()) first_byte_ = arrivals_.next_arrival(now);
    std::size_t before = in.size();
    auto exchange = next_exchange(in, first_byte_);
    std::uint64_t taken = before - in.size();
    Micros last_byte = arrivals_.arrival_of(taken, now);
    arrivals_.consume(taken);
    if (!exchange) break;
    if (exchange->attempt != kNoAttempt) owner_.record(*exchange).last_byte = last_byte;
    waiting_.push_back(std::move(exchange));
    if (close_after_ || waiting_.size() > kMaxPendingCommands) {
      close_after_ = true;
      event_del(read_.get());
      break;
    }
  }
  flush();
}

/// The next complete command of `in`, recorded as received at `came`; null where none is complete.
std::unique_ptr<Exchange> Connection::next_exchange(std::string_view& in, Micros came) {
  FleetState& shared = owner_.shared_;
  Micros now = shared.loop.now();
  protocol::Command command;
  auto got = reader_.take(in, command);
  if (got == protocol::CommandReader::Got::Nothing) return nullptr;
  auto exchange = std::make_unique<Exchange>();
  exchange->token = shared.next_token++;
  exchange->connection = this;
  if (got != protocol::CommandReader::Got::Command) {
    exchange->begun = now;
    exchange->done = true;
    bool bad = got == protocol::CommandReader::Got::Bad;
    exchange->text = got == protocol::CommandReader::Got::Noop ? "MN\r\n"
                     : bad                                     ? "CLIENT_ERROR bad command\r\n"
                                                               : "ERROR\r\n";
    exchange->released = exchange->text.size();
    if (bad) close_after_ = true;
    return exchange;
  }
  exchange->command = std::move(command);
  exchange->handshake = first_;
  first_ = false;
  exchange->arrived = now;
  kit::AttemptRecord record;
  RequestName name;
  bool ours = read_request_id(exchange->command.id, name);
  record.request = ours ? name.request : kit::kNoRequest;
  record.attempt_try = name.number;
  record.server = owner_.server_;
  record.router = router_;
  record.first_byte = came;
  record.begun = now;
  exchange->attempt = shared.history.attempts.size();
  shared.history.attempts.push_back(record);
  shared.exchanges[exchange->token] = exchange.get();
  return exchange;
}

}  // namespace violetusher::standin
