// Why connections to cache servers are closed: one reason for each close. No I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

/// Why the router closed a connection to a cache server.
enum class ServerCloseReason : std::uint8_t {
  kClosedByServer,    ///< the server closed or reset it
  kWriteFailed,       ///< a write failed as the connection is broken
  kProtocolError,     ///< bytes that are no answer, or the answer to another request
  kUnsolicitedBytes,  ///< bytes that no request has asked for
  kErrorAnswer,       ///< an answer after which the server may be out of step
  kNoProgress,        ///< an answer that had begun made no progress for too long
  kSilent,            ///< nobody waits any more, and the server has said nothing for too long
  kAbandoned,         ///< the last attempt on it that somebody waited for was cancelled
  kPartialRequest,    ///< its request was cancelled while it was only partly written
  kDrained,           ///< the server drains or has moved, and the last answer has come
  kIdle,              ///< unused for too long, or more than the idle budget
  kMadeRoom,          ///< closed for a connection that is needed more
  kDialFailed,        ///< it was never established
  kCount,
};

/// The name as logged and as counted in DUMP.
const char* name_of(ServerCloseReason reason);

/// Whether the router closes for this reason on attempts that may be unanswered: their requests are
/// over, whatever the server has read of them.
constexpr bool gives_up_attempts(ServerCloseReason reason) {
  return reason == ServerCloseReason::kNoProgress || reason == ServerCloseReason::kSilent ||
         reason == ServerCloseReason::kAbandoned || reason == ServerCloseReason::kPartialRequest ||
         reason == ServerCloseReason::kMadeRoom;
}

/// A close under an attempt that somebody waited for.
struct InterruptedAttempt {
  RequestId request = 0;
  int attempt = 0;
  std::string_view server;
  ServerCloseReason reason = ServerCloseReason::kClosedByServer;
  std::size_t answer_bytes = 0;   ///< received of its answer
  std::size_t request_bytes = 0;  ///< written of its request
  Micros age = 0;                 ///< since it was queued on the connection
};

/// Closes so far, by reason.
class ServerCloseCounts {
 public:
  void add(ServerCloseReason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t of(ServerCloseReason reason) const {
    return counts_[static_cast<std::size_t>(reason)];
  }

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(ServerCloseReason::kCount)> counts_{};
};

}  // namespace violetusher::core
