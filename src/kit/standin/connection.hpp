// One connection to a stand-in price cache, on its side: commands in, answers out in order, and the
// record of when each command came and each answer left.
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

/// Of an exchange that is no request: a no-op, or a line that can't be read.
constexpr std::size_t kNoRecord = ~std::size_t{0};

/// One command on its way through a price cache.
struct Exchange {
  std::uint64_t token = 0;
  Connection* connection = nullptr;
  protocol::Command command;
  std::size_t attempt = kNoRecord;  ///< index into History::attempts
  Micros arrived = 0, begun = 0;
  bool handshake = false;  ///< the first of its connection
  bool done = false;       ///< `text` is whole
  bool hit = false, other_fetch = false;
  kit::Answered how = kit::Answered::kNothing;  ///< what `text` says, once it is written
  std::string text;
};

/// A loopback address held for the whole day: a bound socket that never listens keeps the port,
/// so that a listener can go (connections are refused) and come back.
class Address {
 public:
  Address();
  std::string text() const;
  /// Opens the listener; it is closed with the object returned.
  net::Fd listen(int backlog) const;
  /// Fills the backlog of `listener`, so that new connections neither come up nor are refused.
  /// The plugs are closed with the result.
  std::vector<net::Fd> plug(int listener) const;

 private:
  net::Fd holder_;
  sockaddr_in address_{};
};

/// When bytes that nobody read came to lie in the kernel's buffer: a price cache that is cut off
/// reads nothing, and what it finds afterwards was sent long before.
class Arrivals {
 public:
  /// `waiting` bytes lie unread now, at `now`.
  void note(std::uint64_t waiting, Micros now);
  /// When the next byte to be read came; `now` where it was not noted.
  Micros of_next(Micros now) const { return marks_.empty() ? now : marks_.front().at; }
  /// `count` bytes were read.
  void consume(std::uint64_t count);

 private:
  struct Mark {
    std::uint64_t end;  // of the bytes that had come by then, counted from the first ever read
    Micros at;
  };
  std::deque<Mark> marks_;
  std::uint64_t read_ = 0;
};

class Connection {
 public:
  /// `silent_since`: the listener was cut off from then until just now, so that what lies in the
  /// buffer may have been sent since; 0 where it was not.
  Connection(PriceCache& owner, net::Fd fd, int router, bool turned_away, Micros silent_since);

  int router() const { return router_; }
  PriceCache& owner() const { return owner_; }
  bool idle_since(Micros at) const {
    return waiting_.empty() && used_ < at && !reader_.in_command();
  }
  bool turned_away() const { return turned_away_; }
  /// Cut off, it reads and writes nothing, but notes when bytes come.
  void set_silent(bool silent);
  /// Ends the connection at once; with `reset` the peer sees a reset. What it owed ends with it in
  /// the record, unless `booked` is false: what is open at the end of a day stays open.
  void shut(bool reset, bool booked);
  /// Begins commands up to the streams of a connection.
  void begin_some();
  /// Moves whole answers to the socket, in order. False where the connection is gone with it.
  bool flush();
  void close_after_answers() { close_after_ = true; }

 private:
  static void on_write(evutil_socket_t, short, void* self);
  static void on_read(evutil_socket_t, short, void* self);
  static void on_arrival(evutil_socket_t, short, void* self);
  void note_arrivals();
  void peer_left();
  void take(std::string_view in);
  std::unique_ptr<Exchange> next_exchange(std::string_view& in, Micros came);

  /// An answer in `out_`, or a part of it: it is given once its last byte is written.
  struct Leaving {
    std::uint64_t end;  // bytes of the connection up to its end
    std::size_t attempt;
    kit::Answered how;
  };

  PriceCache& owner_;
  net::Fd fd_;
  int router_;
  net::EventPtr read_, write_, arrival_;
  protocol::CommandReader reader_;
  std::deque<std::unique_ptr<Exchange>> waiting_;
  std::deque<Leaving> leaving_;
  std::string out_;
  std::uint64_t written_ = 0;
  Arrivals arrivals_;
  Micros first_byte_ = 0, used_ = 0;
  bool first_ = true, silent_ = false, close_after_ = false, turned_away_;
};

}  // namespace violetusher::standin
