// The server side of one connection to a stand-in price cache: parses commands, writes the answers
// in order and records when each command arrived and each answer was written.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.hpp"
#include "protocol/meta.hpp"

namespace violetusher::standin {

class PriceCache;
class Connection;

/// The `attempt` of an exchange without a record: a no-op or a line that cannot be parsed.
constexpr std::size_t kNoAttempt = ~std::size_t{0};

/// One command and its answer while a price cache processes it.
struct Exchange {
  std::uint64_t token = 0;
  Connection* connection = nullptr;
  protocol::Command command;
  std::size_t attempt = kNoAttempt;  ///< index into History::attempts
  Micros arrived = 0, begun = 0;
  bool handshake = false;  ///< the first command of its connection
  bool done = false;       ///< `text` is complete
  bool hit = false, other_fetch = false;
  kit::Answered how = kit::Answered::kNothing;  ///< outcome to record once `text` is written
  std::string text;
  std::size_t released = 0;  ///< bytes of `text` that may be written by now
  std::size_t copied = 0;    ///< of them, those that are in the connection's output
};

/// A loopback address that is reserved for the whole day: a bound socket that never listens keeps
/// the port, so that a listener can be closed (connections are refused) and opened again.
class Address {
 public:
  Address();
  std::string text() const;
  /// Opens a listener, which closes when the returned object is destroyed.
  net::Fd listen(int backlog) const;
  /// Fills the backlog of `listener`, so that new connections are neither established nor refused.
  /// The connections that fill it close when the result is destroyed.
  std::vector<net::Fd> fill_backlog(int listener) const;

 private:
  net::Fd holder_;
  sockaddr_in address_{};
};

/// Records when unread bytes arrived in the kernel's receive buffer. A price cache that is cut off
/// reads nothing, so the bytes it reads afterwards may have been sent long before.
class ArrivalTimes {
 public:
  /// Records that `waiting` bytes are unread at `now`.
  void record(std::uint64_t waiting, Micros now);
  /// Arrival time of the next byte to be read; `now` where none was recorded.
  Micros next_arrival(Micros now) const { return marks_.empty() ? now : marks_.front().at; }
  /// Arrival time of the last of the next `count` bytes; `now` where none was recorded.
  Micros arrival_of(std::uint64_t count, Micros now) const;
  /// Records that `count` bytes were read.
  void consume(std::uint64_t count);

 private:
  struct Mark {
    std::uint64_t
        end;  // offset behind the bytes that had arrived by `at`, from the first byte ever
    Micros at;
  };
  std::deque<Mark> marks_;
  std::uint64_t read_ = 0;
};

class Connection {
 public:
  /// `silent_since`: when the cut began that the listener has just come out of, which is the
  /// earliest time at which the bytes in the buffer may have been sent; 0 where there was no cut.
  Connection(PriceCache& owner, net::Fd fd, int router, bool rejected, Micros silent_since);

  int router() const { return router_; }
  PriceCache& owner() const { return owner_; }
  bool idle_since(Micros at) const {
    return waiting_.empty() && used_ < at && !reader_.in_command();
  }
  bool rejected() const { return rejected_; }
  /// While silent, the connection reads and writes nothing, but records when bytes arrive.
  void set_silent(bool silent);
  /// Closes the connection at once; with `reset` the peer sees a reset. Records the end of its
  /// unanswered attempts, unless `record_end` is false: attempts open at the end of a day stay
  /// open.
  void terminate(bool reset, bool record_end);
  /// Starts waiting commands, up to the stream limit of a connection.
  void start_pending();
  /// Writes complete answers to the socket, in order. False where the connection was closed.
  bool flush();
  void close_after_answers() { close_after_ = true; }

 private:
  static void on_write(evutil_socket_t, short, void* self);
  static void on_read(evutil_socket_t, short, void* self);
  static void on_arrival(evutil_socket_t, short, void* self);
  static void on_resume(evutil_socket_t, short, void* self);
  void record_arrivals();
  /// Stops reading for a while; what arrives meanwhile is recorded.
  void pause_reading(Micros span);
  void watch_arrivals_only();
  void resume_reading();
  void on_peer_closed();
  void on_input(std::string_view in);
  std::unique_ptr<Exchange> next_exchange(std::string_view& in, Micros came);

  /// An answer, or the rest of one, in `out_`: it counts as given once its last byte is written.
  struct OutgoingAnswer {
    std::uint64_t end;  // offset of its end in the bytes written on the connection
    std::size_t attempt;
    kit::Answered how;
  };

  PriceCache& owner_;
  net::Fd fd_;
  int router_;
  net::EventPtr read_, write_, arrival_, resume_;
  protocol::CommandReader reader_;
  std::deque<std::unique_ptr<Exchange>> waiting_;
  std::deque<OutgoingAnswer> outgoing_;
  std::string out_;
  std::uint64_t written_ = 0;
  ArrivalTimes arrivals_;
  Micros first_byte_ = 0, used_ = 0;
  bool first_ = true, silent_ = false, close_after_ = false, rejected_;
};

}  // namespace violetusher::standin
