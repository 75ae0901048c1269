// Runtime checks of one router's invariants, made where it sends, answers, closes and starts. They
// decide nothing: violations are counted and reported. No I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

/// What must hold at each of the checks.
enum class Invariant : std::uint8_t {
  kSentToAvailableServer,  ///< no attempt starts at a server that is draining or removed
  kSentForOpenRequest,     ///< nor for a request that is answered or whose client has disconnected
  kHedgeAllowed,           ///< nor beside another attempt of a request that may not be hedged
  kDeadlineNotExtended,    ///< a server is sent no more time than the request has left
  kSingleFinalAnswer,      ///< a request gets one final answer
  kAnsweredBeforeClose,    ///< the router does not close a connection with a pending response
  kBansLoadedBeforeStart,  ///< no client is accepted before the banned servers are known
  kCount,
};

/// Why the router closed a client's connection.
enum class CloseReason : std::uint8_t {
  kClientClosed,    ///< the client closed or broke it
  kAnswered,        ///< closed after the last answer
  kIdle,            ///< it was idle for too long
  kCommandTimeout,  ///< a command was not received in full in time
  kStalled,         ///< the client read none of its answer
  kEvicted,         ///< evicted to make room for another connection
  kBufferLimit,     ///< not used any more; its counter stays in DUMP
  kValueTruncated,  ///< a long value can't be completed
  kStopping,        ///< the router shuts down
  kCount,
};

/// Names as counted in DUMP.
const char* name_of(Invariant invariant);
const char* name_of(CloseReason reason);

/// A violated invariant.
struct Violation {
  Invariant invariant;
  RequestId request = 0;   ///< 0: none
  std::string connection;  ///< the peer of the connection
  std::string what;
};

/// Checks the invariants and counts violations and closes.
class InvariantChecker {
 public:
  using Report = std::function<void(const Violation&)>;
  template <typename Of>
  using Counts = std::array<std::uint64_t, static_cast<std::size_t>(Of::kCount)>;

  /// Sets the callback for violations; none by default.
  void on_violation(Report report) { report_ = std::move(report); }

  /// State at the moment when an attempt's first byte has been written.
  struct AttemptStart {
    RequestId request = 0;
    std::string_view server;
    bool server_available = true;  ///< the server accepts new requests
    bool request_open = true;      ///< the request is still unanswered
    bool hedge = false;            ///< another attempt is in flight
    bool hedges_allowed = true;
    Micros sent_deadline = 0;  ///< deadline that the server was sent
    Micros deadline = 0;       ///< deadline of the client
  };
  void on_attempt_start(const AttemptStart& attempt);
  /// A final answer is sent; `first`: there was none before.
  void on_final_response(RequestId request, bool first);
  /// A client's connection is closed with `pending` unanswered requests on it.
  void on_close(CloseReason reason, std::size_t pending, RequestId request);
  /// Clients are accepted from now on.
  void on_start(bool bans_known);

  const Counts<Invariant>& violations() const { return violations_; }
  const Counts<CloseReason>& closes() const { return closes_; }
  std::uint64_t total() const;

 private:
  void check(bool holds, Invariant invariant, RequestId request, std::string_view connection,
             const char* what);

  Report report_;
  Counts<Invariant> violations_{};
  Counts<CloseReason> closes_{};
};

}  // namespace violetusher::core
