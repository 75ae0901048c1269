#include "system_io.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <ctime>

namespace violetusher::net {
namespace {

constexpr ev_ssize_t kMaxBodyBytes = 8 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 64 << 10;
// Delay before another attempt to add an event that could not be added.
constexpr Micros kRearmDelay = 5 * kMillisecond;
// A connection is reused within this time after its last answer.
constexpr Micros kReuseWindow = kSecond;
// Of an HTTP response that has begun, the next part is waited for so long.
constexpr Micros kMaxResponseStall = kSecond;
// A call on a reused connection that fails within this time most likely hit a connection that the
// server had closed.
constexpr Micros kStaleConnectionWindow = kSecond / 10;
// After a call on a reused connection got no answer, connections are not reused for this long.
constexpr Micros kNoReuseDuration = 10 * kSecond;

// How libevent's warning about a failed epoll_ctl begins.
constexpr const char* kEpollWarning = "Epoll ";

/// How many events the system did not take in this process. Objects of libevent that add events by
/// themselves, such as HTTP connections, ignore that and wait for ever.
std::atomic<std::uint64_t> failed_event_registrations{0};

/// Counts libevent's warnings about events, and writes all messages to standard error, as it would.
void on_libevent_message(int severity, const char* message) {
  if (severity == EVENT_LOG_DEBUG) return;
  int error = errno;  // of the call that the message is about, which its caller may look at
  bool is_warning = severity == EVENT_LOG_WARN;
  if (is_warning && std::strncmp(message, kEpollWarning, std::strlen(kEpollWarning)) == 0)
    ++failed_event_registrations;
  const char* name = is_warning ? "warn" : severity == EVENT_LOG_ERR ? "err" : "msg";
  std::fprintf(stderr, "[%s] %s\n", name, message);
  errno = error;
}

class SystemWatch final : public Watch {
 public:
  SystemWatch(Io& io, event_base* base, int socket, Target& target) : io_(io), target_(target) {
    // EV_CLOSED reports the peer's close together with the bytes before it, before they are read.
    // Never requested without EV_READ: a reset would then wake the loop repeatedly without a
    // callback.
    bool reports_close = event_base_get_features(base) & EV_FEATURE_EARLY_CLOSE;
    short what = EV_READ | EV_PERSIST | (reports_close ? EV_CLOSED : 0);
    read_.reset(event_new(base, socket, what, on_event, this));
    write_.reset(event_new(base, socket, EV_WRITE, on_event, this));
  }
  void read(bool on) override {
    read_enabled_ = on;
    if (on)
      arm_read();
    else
      event_del(read_.get());
  }
  void write_once(Micros timeout) override {
    write_timeout_ = timeout;
    arm_write();
  }

 private:
  void arm_read() {
    if (event_add(read_.get(), nullptr) != 0) schedule_retry();
  }
  void arm_write() {
    timeval wait = timeval_of(write_timeout_);
    write_needs_arming_ = event_add(write_.get(), write_timeout_ > 0 ? &wait : nullptr) != 0;
    if (write_needs_arming_) schedule_retry();
  }
  /// The event could not be added; retries from a timer, which needs no system resources.
  void schedule_retry() {
    if (!retry_) retry_.reset(event_new(event_get_base(read_.get()), -1, 0, on_retry, this));
    timeval wait = timeval_of(kRearmDelay);
    event_add(retry_.get(), &wait);
  }
  static void on_retry(evutil_socket_t, short, void* self) {
    auto* watch = static_cast<SystemWatch*>(self);
    if (watch->read_enabled_) watch->arm_read();
    if (watch->write_needs_arming_) watch->arm_write();
  }
  static void on_event(evutil_socket_t, short what, void* self) {
    unsigned ready = (what & (EV_READ | EV_CLOSED) ? kReadable : 0u) |
                     (what & EV_WRITE ? kWritable : 0u) | (what & EV_TIMEOUT ? kTimeout : 0u) |
                     (what & EV_CLOSED ? kPeerEnded : 0u);
    auto* watch = static_cast<SystemWatch*>(self);
    watch->io_.update_time();
    watch->target_.on_ready(ready);
  }

  Io& io_;
  Target& target_;
  EventPtr read_, write_, retry_;
  bool read_enabled_ = false, write_needs_arming_ = false;
  Micros write_timeout_ = 0;
};

class SystemAlarm final : public Alarm {
 public:
  SystemAlarm(Io& io, event_base* base, std::function<void()> on_expiry)
      : io_(io), on_expiry_(std::move(on_expiry)) {
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
    alarm->io_.update_time();
    alarm->on_expiry_();
  }

  Io& io_;
  std::function<void()> on_expiry_;
  EventPtr event_;
};

/// Parses an HTTP date (RFC 9110) to Unix time; 0 if it is invalid.
Micros date_of(const char* text) {
  std::tm parts{};
  if (!text || !::strptime(text, "%a, %d %b %Y %H:%M:%S GMT", &parts)) return 0;
  return std::max<Micros>(::timegm(&parts), 0) * kSecond;
}

class SystemHttpGet final : public HttpGet, EventUser {
 public:
  SystemHttpGet(SystemIo& io, event_base* base, Done done)
      : io_(io), base_(base), done_(std::move(done)) {
    ready_.reset(event_new(base, -1, 0, on_ready, this));
    stalled_.reset(event_new(base, -1, 0, on_stalled, this));
    io_.add_event_user(*this);
  }
  ~SystemHttpGet() override { io_.remove_event_user(*this); }

  void start(const std::string& address, const std::string& path, Micros timeout) override {
    stop();
    address_ = address;
    path_ = path;
    timeout_ = timeout;
    started_ = io_.now();
    reused_ = connection_ && address == connected_to_ && started_ - answered_ <= kReuseWindow &&
              started_ >= no_reuse_until_;
    if (!reused_) connection_.reset();
    send_request();
  }

  void stop() override {
    // No answer on a reused connection: the server may accept one call per connection.
    if (in_progress_ && reused_) no_reuse_until_ = io_.now() + kNoReuseDuration;
    if (in_progress_) connection_.reset();
    in_progress_ = false;
    answer_.reset();
    event_del(ready_.get());
    event_del(stalled_.get());
  }

 private:
  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };

  void rearm_events() override {
    if (!in_progress_ || !connection_) return;
    bufferevent* buffer = evhttp_connection_get_bufferevent(connection_.get());
    bufferevent_enable(buffer, bufferevent_get_enabled(buffer));
  }

  void send_request() {
    in_progress_ = true;
    if (!connection_) connect();
    evhttp_request* request = connection_ ? evhttp_request_new(on_answer, this) : nullptr;
    if (!request) return fail_to_send();
    evhttp_request_set_error_cb(request, on_error);
    timeval wait = timeval_of(timeout_);
    evhttp_connection_set_timeout_tv(connection_.get(), &wait);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address_.c_str());
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path_.c_str()) != 0)
      fail_to_send();
  }

  void fail_to_send() {
    failure_ = {Failure::Kind::kLocal, errno};
    event_active(ready_.get(), 0, 0);
  }

  void connect() {
    auto parsed = parse_address(address_);
    std::uint16_t port = parsed ? ntohs(parsed->sin_port) : 0;
    std::string host = address_.substr(0, address_.rfind(':'));
    connection_.reset(evhttp_connection_base_new(base_, nullptr, host.c_str(), port));
    connected_to_ = address_;
    if (!connection_) return;
    evhttp_connection_set_max_body_size(connection_.get(), kMaxBodyBytes);
    evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaderBytes);
    bufferevent* buffer = evhttp_connection_get_bufferevent(connection_.get());
    evbuffer_add_cb(bufferevent_get_input(buffer), on_input, this);
  }

  static void on_input(evbuffer*, const evbuffer_cb_info* change, void* self) {
    auto* call = static_cast<SystemHttpGet*>(self);
    if (change->n_added == 0 || !call->in_progress_) return;
    timeval wait = timeval_of(kMaxResponseStall);
    event_add(call->stalled_.get(), &wait);
  }

  /// A part of a response has come, and nothing more.
  static void on_stalled(evutil_socket_t, short, void* self) {
    auto* call = static_cast<SystemHttpGet*>(self);
    call->failure_ = {Failure::Kind::kTimeout, 0};
    event_active(call->ready_.get(), 0, 0);
  }

  /// Called before on_answer(), which has no request then.
  static void on_error(evhttp_request_error error, void* self) {
    static_cast<SystemHttpGet*>(self)->failure_ = {kind_of(error), 0};
  }

  static Failure::Kind kind_of(evhttp_request_error error) {
    switch (error) {
      case EVREQ_HTTP_TIMEOUT:
        return Failure::Kind::kTimeout;
      case EVREQ_HTTP_INVALID_HEADER:
      case EVREQ_HTTP_DATA_TOO_LONG:
        return Failure::Kind::kInvalid;
      default:
        return Failure::Kind::kBroken;
    }
  }

  /// A request without a status was never sent: its connection could not be made.
  static Failure failure_of(int status, int error) {
    if (status != 0) return {Failure::Kind::kStatus, status};
    // Of a connection that was attempted, libevent leaves no errno of its own.
    bool is_local = classify_error(error) == CallResult::kTransientError;
    return is_local ? Failure{Failure::Kind::kLocal, error} : Failure{Failure::Kind::kUnreachable};
  }

  static void on_answer(evhttp_request* request, void* self) {
    int error = errno;
    auto* call = static_cast<SystemHttpGet*>(self);
    call->answer_.reset();
    if (request) call->failure_ = failure_of(evhttp_request_get_response_code(request), error);
    if (request && evhttp_request_get_response_code(request) == 200) {
      evbuffer* in = evhttp_request_get_input_buffer(request);
      Answer answer;
      answer.body.resize(evbuffer_get_length(in));
      evbuffer_copyout(in, answer.body.data(), answer.body.size());
      answer.date = date_of(evhttp_find_header(evhttp_request_get_input_headers(request), "Date"));
      call->answer_ = std::move(answer);
    }
    event_active(call->ready_.get(), 0, 0);
  }

  /// Runs outside of evhttp's callback, so that the connection can be freed.
  static void on_ready(evutil_socket_t, short, void* self) {
    auto* call = static_cast<SystemHttpGet*>(self);
    call->io_.update_time();
    call->finish();
  }

  void finish() {
    event_del(stalled_.get());
    Micros now = io_.now();
    if (!answer_) connection_.reset();
    if (!answer_ && reused_ && now - started_ <= kStaleConnectionWindow) {
      reused_ = false;
      send_request();
      return;
    }
    answered_ = now;
    in_progress_ = false;
    done_(std::exchange(answer_, std::nullopt), failure_);
  }

  SystemIo& io_;
  event_base* base_;
  Done done_;
  std::unique_ptr<evhttp_connection, ConnectionFree> connection_;
  EventPtr ready_, stalled_;
  std::optional<Answer> answer_;
  Failure failure_;  // of the call, where it has no answer
  std::string address_, path_, connected_to_;
  Micros timeout_ = 0, started_ = 0, answered_ = 0, no_reuse_until_ = 0;
  bool in_progress_ = false;
  bool reused_ = false;  // the call was sent on a connection with an earlier answer
};

/// For recv() and send(): a transient shortage of memory is retried like a call that would block.
ssize_t error_result() {
  return classify_connection_error(errno) == CallResult::kPermanentError ? Io::kBroken : Io::kAgain;
}

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
  error = flags >= 0 && !listens ? "not a listening socket" : std::strerror(errno);
  return Socket();
}

std::uint16_t SystemIo::port(int listener) const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Io::Accepted SystemIo::accept(int listener, Socket& socket) {
  int fd = retry_interrupted(
      [&] { return ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); });
  if (fd >= 0) {
    no_delay(fd);
    socket = Socket(*this, fd);
    return Accepted::kOne;
  }
  if (affects_one_connection(errno)) return Accepted::kAborted;
  if (errno == EMFILE) return Accepted::kNoDescriptor;
  return classify_error(errno) == CallResult::kWouldBlock ? Accepted::kNone
                                                          : Accepted::kTransientError;
}

CallResult SystemIo::connect(const sockaddr_in& address, Socket& socket) {
  Socket created(*this, ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!created) return classify_error(errno);
  no_delay(created.number());
  int result =
      ::connect(created.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno != EINPROGRESS) return classify_error(errno);
  socket = std::move(created);
  return CallResult::kDone;
}

CallResult SystemIo::connected(int socket) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return CallResult::kTransientError;
  return error == 0 ? CallResult::kDone : CallResult::kPermanentError;
}

ssize_t SystemIo::recv(int socket, char* to, std::size_t size) {
  ssize_t received = retry_interrupted([&] { return ::recv(socket, to, size, 0); });
  return received >= 0 ? received : error_result();
}

ssize_t SystemIo::send(int socket, const iovec* parts, std::size_t count) {
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = count;
  ssize_t sent = retry_interrupted([&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL); });
  return sent >= 0 ? sent : error_result();
}

bool SystemIo::may_have_input(int socket) {
  char byte;
  ssize_t received =
      retry_interrupted([&] { return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT); });
  return received >= 0 || classify_connection_error(errno) != CallResult::kWouldBlock;
}

bool SystemIo::peer_ended(int socket) {
  pollfd one{socket, POLLRDHUP, 0};
  int ready = retry_interrupted([&] { return ::poll(&one, 1, 0); });
  return ready > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

std::size_t SystemIo::untaken(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void SystemIo::discard_untaken(int socket) {
  if (untaken(socket) == 0) return;
  linger at_once{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void SystemIo::shutdown_send(int socket) { ::shutdown(socket, SHUT_WR); }

void SystemIo::close(int socket) { ::close(socket); }

std::unique_ptr<Watch> SystemIo::watch(int socket, Watch::Target& target) {
  return std::make_unique<SystemWatch>(*this, base_, socket, target);
}

std::unique_ptr<Alarm> SystemIo::alarm(std::function<void()> on_expiry) {
  return std::make_unique<SystemAlarm>(*this, base_, std::move(on_expiry));
}

std::unique_ptr<HttpGet> SystemIo::http(HttpGet::Done done) {
  return std::make_unique<SystemHttpGet>(*this, base_, std::move(done));
}

SystemIo::SystemIo(event_base* base) : base_(base), now_(clock_.now()) {
  event_set_log_callback(on_libevent_message);
  seen_registration_failures_ = failed_event_registrations;
  rearm_.reset(event_new(base, -1, 0, on_rearm, this));
}

void SystemIo::on_rearm(evutil_socket_t, short, void* self) {
  for (EventUser* user : static_cast<SystemIo*>(self)->event_users_) user->rearm_events();
}

void SystemIo::run_once(Wait wait) {
  event_base_loop(base_, EVLOOP_ONCE | (wait == Wait::kNone ? EVLOOP_NONBLOCK : 0));
  update_time();
  std::uint64_t failures = failed_event_registrations;
  if (failures == seen_registration_failures_) return;
  seen_registration_failures_ = failures;
  timeval wait_time = timeval_of(kRearmDelay);
  event_add(rearm_.get(), &wait_time);
}

}  // namespace violetusher::net
