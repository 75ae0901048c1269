// How long connections to a price cache are kept idle, where its table of connections is shared by
// all routers of the tier. It decides and does nothing: times come in, in microseconds, and must
// not run backwards.
#pragma once

#include <cstddef>
#include <cstdint>

namespace violetusher::core {

using Micros = std::int64_t;

/// What a price cache's table is presumed to hold at least. No setting tells it; the smallest
/// machines of the sites that are known hold 63 (three cores, 21 for each).
inline constexpr std::size_t kPresumedTable = 60;

/// One router's part of a price cache's table.
struct ConnectionShare {
  std::size_t max_open = 1;  ///< connections that may be open at once, 1 at least
  double mean_idle = 1;      ///< that may be kept idle on the mean; under 1 for part of the time
  Micros max_idle_time = 0;  ///< no connection stands idle for longer
};

/// The part of one of `routers` (1 at least), where price caches end connections that have stood
/// idle for `keepalive`. Of the table all routers together fill half with what is idle: the rest is
/// for the requests under way, and a fuller table costs the price cache more than handshakes do.
ConnectionShare connection_share(int routers, Micros keepalive);

/// The idle time that a router may still spend on one price cache. It comes in at
/// ConnectionShare::idle connection-seconds a second and is spent by what is open; what one spell
/// of max_idle_time brings is saved at most. So over any time T the idle connections of a router
/// take idle * (T + max_idle_time) at most, whatever it sends: a few busy routers keep theirs as
/// long as price caches let them, some hundred that each come by every few seconds give them back,
/// and no price cache is filled for being popular. It hurts a router that sees far more than the
/// mean, which pays more handshakes.
class IdleBudget {
 public:
  /// `open` connections, idle or not, have been open since the last call.
  void advance(Micros now, const ConnectionShare& part, std::size_t open);
  /// How many idle connections of `open` are to be closed, the least recently used first.
  std::size_t to_close(const ConnectionShare& part, std::size_t open, std::size_t idle) const;
  /// The price cache refused a connection, or did not take it in time: its table may be full. The
  /// part is halved, and doubles again in each max_idle_time. Where the cause was another one, a
  /// router has lost some handshakes.
  void on_refused();

 private:
  double lean_ = 1;   // of the part
  double saved_ = 0;  // connection-microseconds
  Micros at_ = -1;
};

}  // namespace violetusher::core
