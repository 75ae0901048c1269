// The one seam through which time, timers and sockets reach the router. Behind it stands the system
// (system_io.hpp), or a simulated network on virtual time; nothing else in src/net calls a clock or
// a socket function (tests/net/seam_test looks). Randomness comes in as the configuration's seed.
//
// An Io and all that it gives belong to one thread. Callbacks come from within run_once() alone.
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

/// Interest in what can be done with one socket. Must go before the socket.
class Watch {
 public:
  enum Ready : unsigned {
    kReadable = 1,
    kWritable = 2,
    kTimeout = 4,
    kPeerEnded = 8,  ///< with kReadable, where the system tells: see Io::peer_ended()
  };
  class Target {
   public:
    virtual ~Target() = default;
    virtual void on_ready(unsigned what) = 0;
  };
  virtual ~Watch() = default;
  /// While on, the target is called as long as there is something to read, an end included.
  virtual void read(bool enabled) = 0;
  /// The target is called once, when the socket can be written; with a `limit` also, and only, when
  /// that has passed first.
  virtual void write_once(Micros timeout = 0) = 0;
};

/// Rings once after each set().
class Alarm {
 public:
  virtual ~Alarm() = default;
  /// Replaces what was set before.
  virtual void set(Micros after) = 0;
  virtual void clear() = 0;
};

/// One HTTP GET at a time.
class HttpGet {
 public:
  struct Answer {
    std::string body;
    Micros date = 0;  ///< Unix time by its Date; 0 where it has none
  };
  /// Gets the answer of a 200, or nothing where the call failed in any way. Not called from
  /// start().
  using Done = std::function<void(std::optional<Answer> answer)>;
  virtual ~HttpGet() = default;
  /// Begins a call; one that is under way is dropped.
  virtual void start(const std::string& address, const std::string& path, Micros timeout) = 0;
  virtual void stop() = 0;
};

class Io {
 public:
  /// What recv() and send() return besides a count.
  static constexpr ssize_t kAgain = -1, kBroken = -2;
  enum class Accepted {
    kNone,
    kOne,
    kNoDescriptor,    ///< this process may not open another one
    kTransientError,  ///< the machine is out of something for now; says nothing of this process
  };

  virtual ~Io() = default;
  /// Monotonic, with Unix time as its origin; see Clock. It stands still between two callbacks and
  /// calls of renew(): what happens in one go happens at one time, and the clock is read once.
  virtual Micros now() const = 0;
  virtual void update_time() = 0;

  /// Listens; an empty Socket with the reason in `error` where it can't.
  virtual Socket listen(const sockaddr_in& address, std::string& error) = 0;
  /// A socket that listens already and that others hold as well; an empty one with the reason in
  /// `error` where `descriptor` is none.
  virtual Socket adopt(int descriptor, std::string& error) = 0;
  virtual std::uint16_t port(int listener) const = 0;
  /// The next connection that waits.
  virtual Accepted accept(int listener, Socket& socket) = 0;
  /// Begins to connect; the end shows as writable. kDone with the socket; kTransientError where
  /// this machine is out of something for now, which says nothing of the peer; else kBroken.
  virtual CallResult connect(const sockaddr_in& address, Socket& socket) = 0;
  /// Whether connect() has come to a good end (kDone); asked once it is writable. kTransientError
  /// where that can't be told now.
  virtual CallResult connected(int socket) = 0;
  /// Bytes read, 0 at the end of the stream, kAgain or kBroken.
  virtual ssize_t recv(int socket, char* to, std::size_t size) = 0;
  /// Bytes written, kAgain or kBroken.
  virtual ssize_t send(int socket, const iovec* parts, std::size_t count) = 0;
  /// False only where it is certain that recv() would return kAgain: neither bytes, an end nor an
  /// error has come.
  virtual bool may_have_input(int socket) = 0;
  /// True once the peer has closed the connection or ended its sending, or broken it, also while
  /// bytes that it sent before are still unread. False where that can't be told now: ask again.
  virtual bool peer_ended(int socket) = 0;
  /// Ends the sending side.
  virtual void shutdown_send(int socket) = 0;
  virtual void close(int socket) = 0;

  virtual std::unique_ptr<Watch> watch(int socket, Watch::Target& target) = 0;
  virtual std::unique_ptr<Alarm> alarm(std::function<void()> on_expiry) = 0;
  virtual std::unique_ptr<HttpGet> http(HttpGet::Done done) = 0;

  /// Waits for something to happen and calls whom it concerns.
  virtual void run_once() = 0;
};

inline void Socket::reset() {
  if (number_ >= 0) io_->close(std::exchange(number_, -1));
}

/// The address of "1.2.3.4:5", or nothing where the text is none. Port 0 stands for any free one
/// and is an address to listen on only.
std::optional<sockaddr_in> parse_address(const std::string& text, bool to_listen = false);

}  // namespace violetusher::net
