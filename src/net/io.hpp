// Owners of file descriptors and libevent objects, and the clock.
#pragma once

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "violetusher/balancer.hpp"

namespace violetusher::net {

using violetusher::Micros;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

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
/// discovery is a time on it without conversion.
class Clock {
 public:
  Clock() : origin_(unix_now() - monotonic_now()) {}
  Micros now() const { return origin_ + monotonic_now(); }

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

/// The address of "1.2.3.4:5", or nothing where the text is none. Port 0 stands for any free one and
/// is an address to listen on only.
std::optional<sockaddr_in> parse_address(const std::string& text, bool to_listen = false);

}  // namespace violetusher::net
