#include "system_io.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace violetusher::net {
namespace {

constexpr ev_ssize_t kMaxBody = 8 << 20;
constexpr ev_ssize_t kMaxHeaders = 64 << 10;
// A connection is used for a further call within this of its last answer.
constexpr Micros kReuseWithin = kSecond;
// A call that fails so soon on a used connection met the end of that connection.
constexpr Micros kStaleWithin = kSecond / 10;
// After a call that got no answer on a used connection, each gets one of its own for so long.
constexpr Micros kNoReuse = 10 * kSecond;

class SystemWatch final : public Watch {
 public:
  SystemWatch(Io& io, event_base* base, int socket, Target& target) : io_(io), target_(target) {
    // The peer's end comes with the bytes before it, so that it is known of before they are read.
    // Never asked for without EV_READ: a reset would then call nobody, over and over.
    bool tells = event_base_get_features(base) & EV_FEATURE_EARLY_CLOSE;
    short what = EV_READ | EV_PERSIST | (tells ? EV_CLOSED : 0);
    read_.reset(event_new(base, socket, what, on_event, this));
    write_.reset(event_new(base, socket, EV_WRITE, on_event, this));
  }
  void read(bool on) override { on ? event_add(read_.get(), nullptr) : event_del(read_.get()); }
  void write_once(Micros limit) override {
    timeval wait = timeval_of(limit);
    event_add(write_.get(), limit > 0 ? &wait : nullptr);
  }

 private:
  static void on_event(evutil_socket_t, short what, void* self) {
    unsigned ready = (what & (EV_READ | EV_CLOSED) ? kReadable : 0u) |
                     (what & EV_WRITE ? kWritable : 0u) | (what & EV_TIMEOUT ? kLimit : 0u) |
                     (what & EV_CLOSED ? kPeerEnded : 0u);
    auto* watch = static_cast<SystemWatch*>(self);
    watch->io_.renew();
    watch->target_.on_ready(ready);
  }

  Io& io_;
  Target& target_;
  EventPtr read_, write_;
};

class SystemAlarm final : public Alarm {
 public:
  SystemAlarm(Io& io, event_base* base, std::function<void()> rings)
      : io_(io), rings_(std::move(rings)) {
    event_.reset(event_new(base, -1, 0, on_event, this));
  }
  void set(Micros after) override {
    timeval wait = timeval_of(after);
    event_add(event_.get(), &wait);
  }
  void clear() override { event_del(event_.get()); }

 private:
  static void on_event(evutil_socket_t, short, void* self) {
    auto* alarm = static_cast<SystemAlarm*>(self);
    alarm->io_.renew();
    alarm->rings_();
  }

  Io& io_;
  std::function<void()> rings_;
  EventPtr event_;
};

class SystemHttpGet final : public HttpGet {
 public:
  SystemHttpGet(Io& io, event_base* base, Done done)
      : io_(io), base_(base), done_(std::move(done)) {
    ready_.reset(event_new(base, -1, 0, on_ready, this));
  }

  void start(const std::string& address, const std::string& path, Micros limit) override {
    stop();
    address_ = address;
    path_ = path;
    limit_ = limit;
    started_ = io_.now();
    reused_ = connection_ && address == connected_to_ && started_ - answered_ <= kReuseWithin &&
              started_ >= no_reuse_until_;
    if (!reused_) connection_.reset();
    make();
  }

  void stop() override {
    // No answer on a used connection: perhaps the other side takes one call on each.
    if (under_way_ && reused_) no_reuse_until_ = io_.now() + kNoReuse;
    if (under_way_) connection_.reset();
    under_way_ = false;
    body_.reset();
    event_del(ready_.get());
  }

 private:
  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };

  void make() {
    under_way_ = true;
    if (!connection_) connect();
    evhttp_request* request = connection_ ? evhttp_request_new(on_answer, this) : nullptr;
    if (!request) {
      event_active(ready_.get(), 0, 0);
      return;
    }
    timeval wait = timeval_of(limit_);
    evhttp_connection_set_timeout_tv(connection_.get(), &wait);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address_.c_str());
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path_.c_str()) != 0)
      event_active(ready_.get(), 0, 0);
  }

  void connect() {
    auto parsed = parse_address(address_);
    std::uint16_t port = parsed ? ntohs(parsed->sin_port) : 0;
    std::string host = address_.substr(0, address_.rfind(':'));
    connection_.reset(evhttp_connection_base_new(base_, nullptr, host.c_str(), port));
    connected_to_ = address_;
    if (!connection_) return;
    evhttp_connection_set_max_body_size(connection_.get(), kMaxBody);
    evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaders);
  }

  static void on_answer(evhttp_request* request, void* self) {
    auto* call = static_cast<SystemHttpGet*>(self);
    call->body_.reset();
    if (request && evhttp_request_get_response_code(request) == 200) {
      evbuffer* in = evhttp_request_get_input_buffer(request);
      std::size_t size = evbuffer_get_length(in);
      call->body_.emplace(size, '\0');
      evbuffer_copyout(in, call->body_->data(), size);
    }
    event_active(call->ready_.get(), 0, 0);
  }

  /// Outside of evhttp's own call, so that the connection can go.
  static void on_ready(evutil_socket_t, short, void* self) {
    auto* call = static_cast<SystemHttpGet*>(self);
    call->io_.renew();
    call->end();
  }

  void end() {
    Micros now = io_.now();
    if (!body_) connection_.reset();
    if (!body_ && reused_ && now - started_ <= kStaleWithin) {
      reused_ = false;
      make();
      return;
    }
    answered_ = now;
    under_way_ = false;
    done_(std::exchange(body_, std::nullopt));
  }

  Io& io_;
  event_base* base_;
  Done done_;
  std::unique_ptr<evhttp_connection, ConnectionFree> connection_;
  EventPtr ready_;
  std::optional<std::string> body_;
  std::string address_, path_, connected_to_;
  Micros limit_ = 0, started_ = 0, answered_ = 0, no_reuse_until_ = 0;
  bool under_way_ = false;
  bool reused_ = false;  // the call went out on a connection that had answered before
};

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

void no_delay(int socket) {
  int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Socket SystemIo::listen(const sockaddr_in& address, std::string& error) {
  Socket socket(*this, ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int fd = socket.number(), on = 1;
  if (socket && ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
      ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      ::listen(fd, SOMAXCONN) == 0)
    return socket;
  error = std::strerror(errno);
  return Socket();
}

Socket SystemIo::adopt(int descriptor, std::string& error) {
  int listens = 0;
  socklen_t size = sizeof listens;
  int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0 && ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 &&
      listens && ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) == 0 &&
      ::fcntl(descriptor, F_SETFD, FD_CLOEXEC) == 0)
    return Socket(*this, descriptor);
  error = flags >= 0 && !listens ? "no listening socket" : std::strerror(errno);
  return Socket();
}

std::uint16_t SystemIo::port(int listener) const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Io::Accepted SystemIo::accept(int listener, Socket& socket) {
  while (true) {
    int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      no_delay(fd);
      socket = Socket(*this, fd);
      return Accepted::kOne;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    return errno == EAGAIN || errno == EWOULDBLOCK ? Accepted::kNone : Accepted::kNoRoom;
  }
}

Socket SystemIo::connect(const sockaddr_in& address) {
  Socket socket(*this, ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) return socket;
  no_delay(socket.number());
  int result =
      ::connect(socket.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno != EINPROGRESS) return Socket();
  return socket;
}

bool SystemIo::connected(int socket) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

ssize_t SystemIo::recv(int socket, char* to, std::size_t size) {
  ssize_t got = ::recv(socket, to, size, 0);
  return got >= 0 ? got : would_block() ? kAgain : kBroken;
}

ssize_t SystemIo::send(int socket, const iovec* parts, std::size_t count) {
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = count;
  while (true) {
    ssize_t put = ::sendmsg(socket, &message, MSG_NOSIGNAL);
    if (put >= 0) return put;
    if (errno != EINTR) return would_block() ? kAgain : kBroken;
  }
}

bool SystemIo::has_input(int socket) {
  char byte;
  ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || !would_block();
}

bool SystemIo::peer_ended(int socket) {
  pollfd one{socket, POLLRDHUP, 0};
  return ::poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

void SystemIo::shut_sending(int socket) { ::shutdown(socket, SHUT_WR); }

void SystemIo::close(int socket) { ::close(socket); }

std::unique_ptr<Watch> SystemIo::watch(int socket, Watch::Target& target) {
  return std::make_unique<SystemWatch>(*this, base_, socket, target);
}

std::unique_ptr<Alarm> SystemIo::alarm(std::function<void()> rings) {
  return std::make_unique<SystemAlarm>(*this, base_, std::move(rings));
}

std::unique_ptr<HttpGet> SystemIo::http(HttpGet::Done done) {
  return std::make_unique<SystemHttpGet>(*this, base_, std::move(done));
}

void SystemIo::run_once() {
  event_base_loop(base_, EVLOOP_ONCE);
  renew();
}

}  // namespace violetusher::net
