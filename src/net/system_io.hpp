// The implementation of io.hpp on the operating system: owners of file descriptors and libevent
// objects, the clock, and SystemIo.
#pragma once

#include <event2/event.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "io.hpp"

namespace violetusher::net {

/// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) reset(std::exchange(other.fd_, -1));
    return *this;
  }
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset(int fd = -1) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  int fd_;
};

struct EventFree {
  void operator()(event* e) const { event_free(e); }
  void operator()(event_base* b) const { event_base_free(b); }
};
using EventPtr = std::unique_ptr<event, EventFree>;
using EventBasePtr = std::unique_ptr<event_base, EventFree>;

inline timeval timeval_of(Micros span) {
  return {static_cast<time_t>(span / kSecond), static_cast<suseconds_t>(span % kSecond)};
}

/// Monotonic time whose origin is Unix time at the start: it never steps, and a `born_ms` from
/// discovery can be compared with it without conversion.
class Clock {
 public:
  Clock() : origin_(unix_now() - monotonic_now()) {}
  Micros now() const { return origin_ + monotonic_now(); }
  Micros origin() const { return origin_; }

 private:
  static Micros monotonic_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
  static Micros unix_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  Micros origin_;
};

/// An object whose parts of libevent add events by themselves, and ignore it if the system does not
/// take one.
class EventUser {
 public:
  virtual ~EventUser() = default;
  /// Adds the events again that are not registered.
  virtual void rearm_events() = 0;
};

/// The system's clock, timers and sockets on a libevent loop. The caller owns the loop, which must
/// outlive the object.
class SystemIo final : public Io {
 public:
  explicit SystemIo(event_base* base);

  Micros now() const override { return now_; }
  void update_time() override { now_ = clock_.now(); }
  Micros uptime() const override { return now_ - clock_.origin(); }
  Socket listen(const sockaddr_in& address, std::string& error) override;
  Socket adopt(int descriptor, std::string& error) override;
  std::uint16_t port(int listener) const override;
  Accepted accept(int listener, Socket& socket) override;
  CallResult connect(const sockaddr_in& address, Socket& socket) override;
  CallResult connected(int socket) override;
  ssize_t recv(int socket, char* to, std::size_t size) override;
  ssize_t send(int socket, const iovec* parts, std::size_t count) override;
  bool may_have_input(int socket) override;
  bool peer_ended(int socket) override;
  std::size_t untaken(int socket) override;
  void discard_untaken(int socket) override;
  void shutdown_send(int socket) override;
  void close(int socket) override;
  std::unique_ptr<Watch> watch(int socket, Watch::Target& target) override;
  std::unique_ptr<Alarm> alarm(std::function<void()> on_expiry) override;
  std::unique_ptr<HttpGet> http(HttpGet::Done done) override;
  void run_once(Wait wait = Wait::kForEvents) override;
  void add_event_user(EventUser& user) { event_users_.insert(&user); }
  void remove_event_user(EventUser& user) { event_users_.erase(&user); }

 private:
  static void on_rearm(evutil_socket_t, short, void* self);

  event_base* base_;
  std::set<EventUser*> event_users_;
  EventPtr rearm_;
  std::uint64_t seen_registration_failures_ = 0;
  Clock clock_;
  Micros now_;
};

}  // namespace violetusher::net
