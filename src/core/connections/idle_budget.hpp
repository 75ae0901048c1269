// Budget of idle connections to a cache server whose connection table all routers of the tier
// share. It decides and does no I/O: times come in as microseconds and must not run backwards.
#pragma once

#include <cstddef>
#include <cstdint>

namespace violetusher::core {

using Micros = std::int64_t;

/// Connections that a cache server's table is assumed to hold at least. No setting gives the size;
/// the smallest machines of the known sites hold 63 (three cores with 21 each).
inline constexpr std::size_t kAssumedTableSize = 60;

/// One router's share of a cache server's connection table.
struct ConnectionShare {
  std::size_t max_open = 1;  ///< connections that may be open at once, at least 1
  double mean_idle = 1;      ///< mean idle connections; below 1: one for part of the time
  Micros max_idle_time = 0;  ///< idle time after which a connection is closed
};

/// Returns the share of one of `routers` (at least 1), where cache servers close connections that
/// have been idle for `keepalive`. Idle connections of all routers together fill half of the table:
/// the rest is for requests in flight, and a fuller table costs the cache server more than
/// handshakes do.
ConnectionShare connection_share(int routers, Micros keepalive);

/// The idle time that a router may still spend on one cache server. It accrues at
/// ConnectionShare::mean_idle connection-seconds a second, is spent by open connections, and is
/// capped at what one max_idle_time accrues. Over any time T the idle connections of a router thus
/// take at most mean_idle * (T + max_idle_time), whatever its traffic: a few busy routers keep
/// connections as long as cache servers allow, hundreds of routers that each send a request every
/// few seconds close theirs, and a popular cache server's table is not filled. A router with far
/// more than the mean traffic pays with more handshakes.
class IdleBudget {
 public:
  /// Records that `open` connections, idle or not, were open since the last call.
  void advance(Micros now, const ConnectionShare& share, std::size_t open);
  /// Returns how many of the idle connections have to be closed, least recently used first.
  std::size_t to_close(const ConnectionShare& share, std::size_t open, std::size_t idle) const;
  /// The cache server refused a connection or did not accept it in time: its table may be full.
  /// Halves the share, which doubles again with each max_idle_time. If the cause was another one,
  /// the cost is a few handshakes.
  void on_refused();

 private:
  double scale_ = 1;   // current fraction of the share
  double credit_ = 0;  // connection-microseconds
  Micros advanced_at_ = -1;
};

}  // namespace violetusher::core
