#include "tills.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <stdexcept>

#include "protocol/command.hpp"

namespace violetusher::rehearse {
namespace {

using kit::Stream;
using kit::TryEnd;

constexpr std::size_t kMaxLineBytes = 4096;
// A long value that has begun is read as long as it goes on.
constexpr Micros kMaxValuePause = 10'000'000;
constexpr Micros kPausePollInterval = 500'000;
constexpr Micros kMinRetryTime = 20'000;  // no retry is sent with less time left until the deadline
constexpr int kMaxDirectConnections = 64;

}  // namespace

/// A client connection with one request at a time, as real tills use them.
class TillLoadGenerator::Connection {
 public:
  Connection(TillLoadGenerator& owner, int target, net::Fd fd)
      : owner_(owner), target_(target), fd_(std::move(fd)) {
    event_base* base = owner_.loop_.base();
    read_.reset(event_new(base, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(base, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
  }
  int target() const { return target_; }
  bool used() const { return served_ > 0; }

  void send_request(std::uint64_t try_index, const std::string& id, std::string command) {
    try_index_ = try_index;
    busy_ = true;
    id_ = id;
    out_ = std::move(command);
    in_.clear();
    flush();
  }
  /// Closes the connection while its try is in progress: the till has stopped waiting.
  void abandon() {
    busy_ = false;
    owner_.drop(*this);
  }
  void close() {
    read_.reset();
    write_.reset();
    fd_.reset();
  }
  bool carries(std::uint64_t try_index) const { return busy_ && try_index_ == try_index; }
  /// Whether a long value is being received that has not paused for too long.
  bool receives_value(Micros now) const {
    return record().begun != 0 && now - last_byte_ < kMaxValuePause;
  }

 private:
  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->flush();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->receive();
  }
  kit::TryRecord& record() { return owner_.history_.tries[try_index_]; }
  const kit::TryRecord& record() const { return owner_.history_.tries[try_index_]; }

  void flush() {
    while (!out_.empty()) {
      ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (put < 0 && (errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (put <= 0) return finish(record().kept_connection ? TryEnd::kClosed : TryEnd::kNoRouter);
      out_.erase(0, static_cast<std::size_t>(put));
    }
    if (busy_ && record().sent == 0) record().sent = owner_.loop_.now();
  }

  void receive() {
    char bytes[16384];
    ssize_t got = ::recv(fd_.get(), bytes, sizeof bytes, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) {
      if (!busy_) return owner_.drop(*this);
      // The router received nothing if the connection was never established.
      return finish(record().sent == 0 && !record().kept_connection ? TryEnd::kNoRouter
                    : in_.empty()                                   ? TryEnd::kClosed
                    : record().begun                                ? TryEnd::kCutOff
                                                                    : TryEnd::kGarbled);
    }
    if (!busy_) {
      // Unexpected bytes after the final answer.
      if (served_ > 0) record().extra = true;
      return owner_.drop(*this);
    }
    in_.append(bytes, static_cast<std::size_t>(got));
    last_byte_ = owner_.loop_.now();
    parse_answer();
  }

  void parse_answer() {
    std::size_t end_of_line = in_.find("\r\n");
    if (end_of_line == in_.npos) {
      if (in_.size() > kMaxLineBytes) finish(TryEnd::kGarbled);
      return;
    }
    std::string line = in_.substr(0, end_of_line);
    std::size_t whole = end_of_line + 2;
    TryEnd how = TryEnd::kFailed;
    auto has_own_id = [&] {
      std::size_t at = line.find(" O");
      return at != line.npos && line.substr(at + 2, line.find(' ', at + 2) - at - 2) == id_;
    };
    if (line.rfind("VA ", 0) == 0) {
      std::size_t length = 0;
      std::from_chars(line.data() + 3, line.data() + line.size(), length);
      if (length > standin::kMaxLongValueBytes || !has_own_id()) return finish(TryEnd::kGarbled);
      if (length > protocol::kMaxValueBytes && record().begun == 0) record().begun = last_byte_;
      if (in_.size() < whole + length + 2) return;
      if (in_.compare(whole + length, 2, "\r\n") != 0) return finish(TryEnd::kGarbled);
      record().value = kit::hash_of(std::string_view(in_).substr(whole, length));
      whole += length + 2;
      how = TryEnd::kServed;
    } else if (line.rfind("HD", 0) == 0) {
      std::size_t at = line.find(" c");
      if (!has_own_id() || at == line.npos) return finish(TryEnd::kGarbled);
      record().value = kit::hash_of(line.substr(at + 2, line.find(' ', at + 2) - at - 2));
      how = TryEnd::kServed;
    } else if (line.rfind("SERVER_ERROR busy", 0) == 0) {
      how = TryEnd::kRefused;
      std::int64_t ms = 0;
      if (line.size() > 18) std::from_chars(line.data() + 18, line.data() + line.size(), ms);
      record().retry_after = std::max<std::int64_t>(ms, 0) * 1000;
    }
    bool extra = in_.size() > whole;
    if (extra) record().extra = true;
    ++served_;
    busy_ = false;
    std::uint64_t try_index = try_index_;
    if (extra)
      owner_.drop(*this);
    else
      owner_.idle_[static_cast<std::size_t>(target_)].push_back(this);
    owner_.ended(try_index, how);
  }

  void finish(TryEnd how) {
    std::uint64_t try_index = try_index_;
    busy_ = false;
    owner_.drop(*this);
    owner_.ended(try_index, how);
  }

  TillLoadGenerator& owner_;
  int target_;
  net::Fd fd_;
  net::EventPtr read_, write_;
  std::string id_, in_, out_;
  std::uint64_t try_index_ = 0, served_ = 0;
  Micros last_byte_ = 0;
  bool busy_ = false;
};

TillLoadGenerator::TillLoadGenerator(kit::Loop& loop, const Day& day, const Plan& plan,
                                     std::vector<std::string> addresses, kit::History& history)
    : loop_(loop),
      day_(day),
      plan_(plan),
      draws_(plan.seed),
      history_(history),
      alive_(day.routers.halls.size(), 1),
      connections_(addresses.size()),
      idle_(addresses.size()) {
  for (const std::string& text : addresses) {
    auto address = net::parse_address(text);
    if (!address) throw std::runtime_error("not an address: " + text);
    addresses_.push_back(*address);
  }
  history_.tries.reserve(plan.requests.size() * 2);
}

TillLoadGenerator::~TillLoadGenerator() = default;

void TillLoadGenerator::start(Micros origin) {
  origin_ = origin;
  next_request();
}

void TillLoadGenerator::next_request() {
  if (next_index_ == plan_.requests.size()) return finish_if_done();
  Micros at = origin_ + plan_.requests[next_index_].at;
  loop_.at(at, [this] {
    std::uint64_t request = next_index_++;
    ++open_requests_;
    Micros intended = origin_ + plan_.requests[request].at;
    lateness_.add(loop_.now() - intended);
    send(request, 0, intended);
    next_request();
  });
}

int TillLoadGenerator::choose_router(std::uint64_t request, int number) const {
  int hall = plan_.requests[request].hall;
  std::vector<int> own, any;
  for (std::size_t r = 0; r < alive_.size(); ++r) {
    if (!alive_[r]) continue;
    any.push_back(static_cast<int>(r));
    if (day_.routers.halls[r] == hall) own.push_back(static_cast<int>(r));
  }
  const auto& from = own.empty() ? any : own;
  if (from.empty()) return -1;
  return from[draws_.bits(Stream::kTill, request, static_cast<std::uint64_t>(number)) %
              from.size()];
}

int TillLoadGenerator::max_connections(int target) const {
  int routers = static_cast<int>(alive_.size());
  return target < routers ? std::max(day_.routers.sockets / 3, 8) : kMaxDirectConnections;
}

/// An idle connection or a new one; nullptr if the limit of the tills or of the rig is reached.
TillLoadGenerator::Connection* TillLoadGenerator::connection_to(int target) {
  auto at = static_cast<std::size_t>(target);
  if (!idle_[at].empty()) {
    Connection* connection = idle_[at].back();
    idle_[at].pop_back();
    return connection;
  }
  if (static_cast<int>(connections_[at].size()) >= max_connections(target)) return nullptr;
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd) {
    ++out_of_sockets_;
    return nullptr;
  }
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&addresses_[at]), sizeof(sockaddr_in)) != 0 &&
      errno != EINPROGRESS) {
    if (errno == EADDRNOTAVAIL) ++out_of_sockets_;
    return nullptr;
  }
  connections_[at].push_back(std::make_unique<Connection>(*this, target, std::move(fd)));
  return connections_[at].back().get();
}

void TillLoadGenerator::drop(Connection& connection) {
  auto at = static_cast<std::size_t>(connection.target());
  std::erase(idle_[at], &connection);
  auto it = std::find_if(connections_[at].begin(), connections_[at].end(),
                         [&](auto& w) { return w.get() == &connection; });
  if (it == connections_[at].end()) return;
  connection.close();
  dropped_.push_back(std::move(*it));
  connections_[at].erase(it);
  if (dropped_.size() == 1) loop_.at(loop_.now(), [this] { dropped_.clear(); });
}

std::string TillLoadGenerator::command_for(std::uint64_t request, int number, Micros wait) const {
  const PlannedRequest& r = plan_.requests[request];
  const TillClass& type = day_.tills.classes[static_cast<std::size_t>(r.type)];
  std::string pairs = " O" + standin::request_id(request, number) + " Pc=" + type.name +
                      ",t=" + day_.tills.tenants[static_cast<std::size_t>(r.tenant)].name +
                      ",d=" + std::to_string(wait / 1000) + ",h=" + std::to_string(r.hint);
  if (!type.keyed) return "mg " + r.key + " v" + pairs + "\r\n";
  std::string value = "sale " + r.key;
  value.resize(std::max<std::size_t>(value.size(), type.value_bytes), '.');
  return "ms " + r.key + " " + std::to_string(value.size()) + pairs + ",k=" + r.idempotency +
         "\r\n" + value + "\r\n";
}

void TillLoadGenerator::send(std::uint64_t request, int number, Micros intended) {
  const PlannedRequest& r = plan_.requests[request];
  const TillClass& type = day_.tills.classes[static_cast<std::size_t>(r.type)];
  int routers = static_cast<int>(alive_.size());
  int target =
      r.direct
          ? routers + static_cast<int>(kit::hash_of(r.key) % (addresses_.size() - alive_.size()))
          : choose_router(request, number);
  Micros now = loop_.now();
  Micros left = origin_ + r.at + type.deadline - now;
  kit::TryRecord record;
  record.request = request;
  record.number = number;
  record.router = std::min(target, routers);
  record.intended = intended;
  record.wait = std::min(left, static_cast<Micros>(day_.tills.try_timeout_fraction *
                                                   static_cast<double>(type.deadline)));
  record.wait = std::max<Micros>(record.wait / 1000 * 1000, 1000);
  std::uint64_t try_index = history_.tries.size();
  history_.tries.push_back(record);
  ++counts_.sent;
  if (number > 0) ++counts_.retries;
  Connection* connection = target < 0 ? nullptr : connection_to(target);
  if (!connection) return ended(try_index, TryEnd::kNoRouter);
  history_.tries[try_index].kept_connection = connection->used();
  auto at = static_cast<std::size_t>(target);
  // The till stops waiting after its attempt timeout plus the slack of the rules; an impatient one
  // leaves early.
  leave_when_silent(at, try_index, now + history_.tries[try_index].wait + day_.expect.answer_slack);
  if (draws_.uniform(Stream::kTill, request, 1000 + static_cast<std::uint64_t>(number)) <
          day_.tills.early_leave_fraction &&
      !r.direct)
    loop_.at(now + day_.tills.early_leave_after, [this, at, try_index] {
      if (Connection* carrier = carrier_of(at, try_index))
        leave(*carrier, try_index, TryEnd::kLeft);
    });
  connection->send_request(try_index, standin::request_id(request, number),
                           command_for(request, number, history_.tries[try_index].wait));
}

TillLoadGenerator::Connection* TillLoadGenerator::carrier_of(std::size_t target,
                                                             std::uint64_t try_index) {
  for (auto& connection : connections_[target])
    if (connection->carries(try_index)) return connection.get();
  return nullptr;
}

void TillLoadGenerator::leave(Connection& carrier, std::uint64_t try_index, TryEnd how) {
  carrier.abandon();
  ended(try_index, how);
}

void TillLoadGenerator::leave_when_silent(std::size_t target, std::uint64_t try_index, Micros at) {
  loop_.at(at, [this, target, try_index] {
    Connection* carrier = carrier_of(target, try_index);
    if (!carrier) return;
    if (!carrier->receives_value(loop_.now())) return leave(*carrier, try_index, TryEnd::kSilent);
    leave_when_silent(target, try_index, loop_.now() + kPausePollInterval);
  });
}

void TillLoadGenerator::ended(std::uint64_t try_index, TryEnd end) {
  kit::TryRecord& record = history_.tries[try_index];
  if (record.end != TryEnd::kOpen) return;
  Micros now = loop_.now();
  record.end = end;
  record.ended = now;
  const PlannedRequest& r = plan_.requests[record.request];
  const TillClass& type = day_.tills.classes[static_cast<std::size_t>(r.type)];
  if (end == TryEnd::kServed) ++counts_.served;
  if (end == TryEnd::kRefused) ++counts_.refused;
  if (end != TryEnd::kServed && end != TryEnd::kRefused) ++counts_.failed;
  Micros pause = std::max(day_.tills.retry_backoff, record.retry_after);
  Micros retry_at = now + pause;
  if (end == TryEnd::kServed || record.number >= day_.tills.retries || r.direct ||
      retry_at + kMinRetryTime > origin_ + r.at + type.deadline) {
    --open_requests_;
    return finish_if_done();
  }
  std::uint64_t request = record.request;
  int number = record.number + 1;
  loop_.at(retry_at, [this, request, number, retry_at] { send(request, number, retry_at); });
}

void TillLoadGenerator::finish_if_done() {
  if (next_index_ == plan_.requests.size() && open_requests_ == 0) loop_.stop();
}

}  // namespace violetusher::rehearse
