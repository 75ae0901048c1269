// The interface through which the router uses the clock, timers and sockets. It is implemented on
// the operating system (system_io.hpp), and can be implemented by a simulated network on virtual
// time. Nothing else in src/net calls a clock or socket function, which tests/net/seam_test checks.
// Randomness is seeded from the configuration.
//
// An Io and all objects it creates belong to one thread. Callbacks run only inside run_once().
#pragma once

#include <netinet/in.h>
#include <sys/uio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "call_result.hpp"
#include "violetusher/balancer.hpp"

namespace violetusher::net {

using violetusher::Micros;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

class Io;

/// Owns one socket of an Io.
class Socket {
 public:
  Socket() = default;
  Socket(Io& io, int number) : io_(&io), number_(number) {}
  Socket(Socket&& other) noexcept : io_(other.io_), number_(std::exchange(other.number_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      reset();
      io_ = other.io_;
      number_ = std::exchange(other.number_, -1);
    }
    return *this;
  }
  ~Socket() { reset(); }
  explicit operator bool() const { return number_ >= 0; }
  int number() const { return number_; }
  void reset();

 private:
  Io* io_ = nullptr;
  int number_ = -1;
};

/// Interest in the readiness of one socket. Must be destroyed before the socket.
class Watch {
 public:
  enum Ready : unsigned {
    kReadable = 1,
    kWritable = 2,
    kTimeout = 4,
    kPeerEnded = 8,  ///< with kReadable, if the system reports it; see Io::peer_ended()
  };
  /// Receives readiness events.
  class Target {
   public:
    virtual ~Target() = default;
    virtual void on_ready(unsigned what) = 0;
  };
  virtual ~Watch() = default;
  /// While enabled, the target is called as long as there is input, including the end of the
  /// stream.
  virtual void read(bool enabled) = 0;
  /// Calls the target once: when the socket becomes writable, or, given a `timeout`, when that
  /// expires first.
  virtual void write_once(Micros timeout = 0) = 0;
};

/// A one-shot timer.
class Alarm {
 public:
  virtual ~Alarm() = default;
  /// Starts the timer, replacing an earlier setting.
  virtual void set(Micros after) = 0;
  virtual void clear() = 0;
};

/// One HTTP GET at a time.
class HttpGet {
 public:
  struct Answer {
    std::string body;
    Micros date = 0;  ///< Unix time of the Date header; 0 if there is none
  };
  /// Why a call brought no answer.
  struct Failure {
    enum class Kind {
      kStatus,       ///< a response with the status `code`, which is not 200
      kUnreachable,  ///< no connection could be made
      kLocal,        ///< the same because of a local shortage; `code` is the errno
      kBroken,       ///< the connection was reset or ended before the response was complete
      kTimeout,      ///< the response took longer than it may
      kInvalid,      ///< the response is not valid HTTP, or too long
    };
    Kind kind = Kind::kBroken;
    int code = 0;
    /// For logs.
    std::string text() const;
  };
  /// Receives the answer of a 200 response, or nothing and the `failure`. Never called from within
  /// start().
  using Done = std::function<void(std::optional<Answer> answer, const Failure& failure)>;
  virtual ~HttpGet() = default;
  /// Starts a call; one in progress is cancelled.
  virtual void start(const std::string& address, const std::string& path, Micros timeout) = 0;
  virtual void stop() = 0;
};

/// Clock, timers, sockets and the event loop.
class Io {
 public:
  /// Results of recv() and send() other than a byte count.
  static constexpr ssize_t kAgain = -1, kBroken = -2;
  enum class Accepted {
    kNone,
    kOne,
    kAborted,         ///< the next one had ended before it was accepted; there may be more
    kNoDescriptor,    ///< the descriptor limit of this process is reached
    kTransientError,  ///< a shortage of the machine, not of this process
  };

  virtual ~Io() = default;
  /// Monotonic time whose origin is Unix time; see Clock. The value is cached: it changes only
  /// before each callback and by update_time(), so that all work of one callback sees one time and
  /// the clock is read once.
  virtual Micros now() const = 0;
  virtual void update_time() = 0;
  /// The same without its origin: alike in all processes of the machine, whatever its wall clock.
  virtual Micros uptime() const { return now(); }

  /// Listens on `address`; on failure returns an empty Socket and sets `error`.
  virtual Socket listen(const sockaddr_in& address, std::string& error) = 0;
  /// Takes over a listening socket that other processes may share; if `descriptor` is not one,
  /// returns an empty Socket and sets `error`.
  virtual Socket adopt(int descriptor, std::string& error) = 0;
  virtual std::uint16_t port(int listener) const = 0;
  /// Accepts the next pending connection.
  virtual Accepted accept(int listener, Socket& socket) = 0;
  /// Starts to connect; the socket becomes writable once that has ended. kDone with the socket;
  /// kTransientError on a local shortage, which says nothing about the peer; else kPermanentError.
  virtual CallResult connect(const sockaddr_in& address, Socket& socket) = 0;
  /// The result of connect(), once the socket is writable: kDone on success, kTransientError if the
  /// result can't be determined now.
  virtual CallResult connected(int socket) = 0;
  /// Returns the bytes read, 0 at the end of the stream, kAgain or kBroken.
  virtual ssize_t recv(int socket, char* to, std::size_t size) = 0;
  /// Returns the bytes written, kAgain or kBroken.
  virtual ssize_t send(int socket, const iovec* parts, std::size_t count) = 0;
  /// False only if recv() would certainly return kAgain: no bytes, end of stream or error is
  /// pending.
  virtual bool may_have_input(int socket) = 0;
  /// True once the peer has closed or reset the connection or shut down its sending side, even
  /// while bytes it sent before are unread. False if that can't be determined now: call again
  /// later.
  virtual bool peer_ended(int socket) = 0;
  /// Bytes written that the peer's system has not taken yet; 0 if that can't be determined.
  virtual std::size_t untaken(int) { return 0; }
  /// Makes close() discard the bytes that the peer's system has not taken, with a reset. Otherwise
  /// the system goes on sending them after the close.
  virtual void discard_untaken(int) {}
  /// Shuts down the sending side.
  virtual void shutdown_send(int socket) = 0;
  virtual void close(int socket) = 0;

  virtual std::unique_ptr<Watch> watch(int socket, Watch::Target& target) = 0;
  virtual std::unique_ptr<Alarm> alarm(std::function<void()> on_expiry) = 0;
  virtual std::unique_ptr<HttpGet> http(HttpGet::Done done) = 0;

  enum class Wait { kForEvents, kNone };
  /// Waits for events, or with kNone takes those that are there, and runs their callbacks.
  virtual void run_once(Wait wait = Wait::kForEvents) = 0;
};

inline void Socket::reset() {
  if (number_ >= 0) io_->close(std::exchange(number_, -1));
}

/// Parses "1.2.3.4:5". Port 0, which stands for any free port, is valid only with `to_listen`.
std::optional<sockaddr_in> parse_address(const std::string& text, bool to_listen = false);

}  // namespace violetusher::net
