// The events of a day as the stand-ins and the tills observed them, recorded for evaluation after
// the day. All times are microseconds on one monotonic clock of the machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::kit {

/// How a price cache answered an attempt. A request with a malformed (spoilt) answer was executed.
enum class Answered { kNothing, kServed, kError, kBusy, kReset, kSpoilt };
inline const char* name_of(Answered how) {
  static const char* const kNames[] = {"nothing", "served", "failed", "busy", "reset", "spoilt"};
  return kNames[static_cast<int>(how)];
}

/// One attempt: a command that reached a price cache.
struct AttemptRecord {
  std::uint64_t request = 0;  ///< number in the plan; kNoRequest where the id is not of the plan
  int attempt_try = 0;        ///< which of the till's tries
  int server = -1;            ///< index into History::servers
  int router = -1;            ///< router of the listener; the number of routers = sent directly
  Micros first_byte = 0;      ///< when it arrived in the receive buffer, read or not
  Micros begun = 0;           ///< when it was read
  /// When its answer was complete at the price cache; 0: never. Answers are written in the order of
  /// their commands, so one may wait for others: `ended` - `made` is head-of-line blocking.
  Micros made = 0;
  /// When the last byte of its answer was written or its connection ended; 0: neither happened. The
  /// sender of the attempt can know of its end from here on.
  Micros ended = 0;
  /// When the last byte of the command arrived in the receive buffer.
  Micros last_byte = 0;
  /// Of an answer that is written slowly: when all of it that its client is owed by its deadline
  /// would have been written if nobody had closed: the whole answer, or the line of a long value.
  /// 0: it was written at once.
  Micros would_suffice = 0;
  Answered answered = Answered::kNothing;
  bool missed = false;      ///< a read of a key that was not in the price cache
  bool repeat = false;      ///< a write that was not executed, as its key had run before
  bool left = false;        ///< the router ended the attempt's connection first
  std::uint64_t value = 0;  ///< hash of the value or receipt in the answer
};
constexpr std::uint64_t kNoRequest = ~std::uint64_t{0};

/// One execution of a write at the product master.
struct EffectRecord {
  std::uint64_t request = 0;
  Micros at = 0;
  int server = -1;
};

/// A router was notified of a change by discovery, or must know of it from `at` on.
struct ToldRecord {
  int router = -1;
  int server = -1;
  violetusher::Health health = violetusher::Health::Ready;
  Micros at = 0;
};

/// How a try ended for its till.
enum class TryEnd {
  kOpen,  ///< still open at the end of the day
  kServed,
  kRefused,
  kFailed,    ///< any other complete line
  kGarbled,   ///< an answer that is malformed, incomplete or of another request
  kClosed,    ///< the router closed the connection without an answer
  kNoRouter,  ///< no connection was established, so no request was accepted
  kSilent,    ///< no answer within `wait` and the tolerance of the rules
  kCutOff,    ///< the router closed the connection within a long value
  kLeft,      ///< the till closed the connection early, as planned
};

/// One try of a till: a request that it writes to a router.
struct TryRecord {
  std::uint64_t request = 0;
  int number = 0;       ///< 0 is the first try
  int router = -1;      ///< the number of routers = sent to a price cache directly
  Micros intended = 0;  ///< when it should have been sent
  Micros sent = 0;      ///< its last byte was written; 0 = never
  Micros wait = 0;      ///< field `d` of the request
  Micros ended = 0;
  Micros begun = 0;  ///< of a long value: when its line was received; 0 = never
  TryEnd end = TryEnd::kOpen;
  bool kept_connection = false;  ///< written to a connection that was used before
  bool extra = false;            ///< bytes followed the answer
  std::uint64_t value = 0;       ///< hash of the value or receipt, where served
  Micros retry_after = 0;        ///< the retry time in a refusal

  /// When the till had its answer: a long value counts from its beginning.
  Micros answered() const { return begun ? begun : ended; }
};

/// One run of a router process.
struct RouterLife {
  int router = -1;
  Micros started = 0, ready = 0;                  ///< ready 0: never
  Micros signalled = 0;                           ///< SIGTERM
  std::vector<std::pair<Micros, Micros>> frozen;  ///< from SIGSTOP until SIGCONT
  Micros ended = 0;
  bool replaces = false;  ///< started beside the process that it takes over from
  bool killed = false;    ///< SIGKILL, as planned
  bool crashed = false;   ///< ended in another way than planned
  std::string how;        ///< exit code or signal, for reports
};

/// Resource usage of a router process at one moment.
struct RouterSample {
  int router = -1;
  Micros at = 0;
  std::uint64_t memory = 0;  ///< resident bytes
  int descriptors = 0;
};

/// Load of a price cache at one moment.
struct ServerSample {
  int server = -1;
  Micros at = 0;
  double utilisation = 0;
  int waiting = 0;
};

/// All events of a day.
struct History {
  Micros origin = 0;  ///< start of the day; the plan's times count from it
  Micros ended = 0;
  std::vector<std::string> servers;  ///< names; a replacement has its own name and index
  std::vector<AttemptRecord> attempts;
  std::vector<EffectRecord> effects;
  std::vector<ToldRecord> told;
  std::vector<std::pair<int, Micros>> fallen;  ///< price caches that collapsed under load, and when
  std::vector<TryRecord> tries;
  std::vector<RouterLife> lives;
  std::vector<RouterSample> router_samples;
  std::vector<ServerSample> server_samples;
};

/// Moves the first byte of each attempt to the time at which its till sent the request, if that is
/// later: bytes that waited in a listener's queue during a cut are recorded at the start of the
/// cut.
inline void begin_after_requests(History& history) {
  std::map<std::pair<std::uint64_t, int>, Micros> sent;
  for (const TryRecord& t : history.tries) sent[{t.request, t.number}] = t.sent;
  for (AttemptRecord& a : history.attempts)
    if (auto it = sent.find({a.request, a.attempt_try}); it != sent.end())
      a.first_byte = std::max(a.first_byte, it->second);
}

}  // namespace violetusher::kit
