// The invariants of one router, checked where it sends, answers, closes and starts. It decides
// nothing: what breaks one is counted and told. No I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

enum class Invariant : std::uint8_t {
  kSentToWanted,         ///< no attempt begins at a server that was told to leave
  kSentForOpen,          ///< nor for a request that has its answer, or whose client has gone
  kOneCopy,              ///< nor beside another one, where a request may have one alone
  kTimeTold,             ///< a server is told no more than the time that is left
  kOneAnswer,            ///< a request gets one final answer
  kAnsweredBeforeClose,  ///< a connection on which an answer is owed is not closed by the router
  kBansBeforeStart,      ///< no client is taken before it is known which servers are out
  kCount,
};

/// Why the router closed a client's connection.
enum class CloseReason : std::uint8_t {
  kClientClosed,    ///< the client closed or broke it
  kAnswered,        ///< the last answer was owed a close
  kIdle,            ///< it rested too long
  kCommandTimeout,  ///< a command did not come whole in time
  kStalled,         ///< the client took none of its answer
  kEvicted,         ///< another connection needed its place
  kBufferLimit,     ///< too much is held for all clients
  kValueTruncated,  ///< a long value can't be finished
  kStopping,        ///< the router ends
  kCount,
};

const char* name_of(Invariant invariant);
const char* name_of(CloseReason reason);

struct Violation {
  Invariant invariant;
  RequestId request = 0;   ///< 0: of none
  std::string connection;  ///< whom it leads to
  std::string what;
};

class InvariantChecker {
 public:
  using Report = std::function<void(const Violation&)>;
  template <typename Of>
  using Counts = std::array<std::uint64_t, static_cast<std::size_t>(Of::kCount)>;

  /// Whoever is told of each violation; nobody by default.
  void on_violation(Report report) { report_ = std::move(report); }

  /// An attempt's first byte has been written.
  struct AttemptStart {
    RequestId request = 0;
    std::string_view server;
    bool server_available = true;  ///< the server takes anything new
    bool request_open = true;      ///< somebody waits for the answer
    bool hedge = false;            ///< another attempt is out
    bool hedges_allowed = true;
    Micros sent_deadline = 0;  ///< what the server was told ends then
    Micros deadline = 0;       ///< the client's time
  };
  void on_attempt_start(const AttemptStart& attempt);
  /// A final answer is given; `first`: there was none before.
  void on_final_response(RequestId request, bool first);
  /// A client's connection is closed while it waits for the answers of `owed` requests.
  void on_close(CloseReason reason, std::size_t owed, RequestId request);
  /// Clients are taken from now on.
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
