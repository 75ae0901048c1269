// What happened on a day, as the stand-ins and the tills saw it: recorded first, judged afterwards.
// All times are microseconds on one monotonic clock of the machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::kit {

/// How a price cache answered an attempt. A spoilt answer has run.
enum class Answered { kNothing, kServed, kError, kBusy, kReset, kSpoilt };
inline const char* name_of(Answered how) {
  static const char* const kNames[] = {"nothing", "served", "failed", "busy", "reset", "spoilt"};
  return kNames[static_cast<int>(how)];
}

/// One command that reached a price cache.
struct AttemptRecord {
  std::uint64_t request = 0;  ///< the number in the plan; kNoRequest where the id is none of ours
  int attempt_try = 0;        ///< which of the till's tries
  int server = -1;            ///< index into History::servers
  int router = -1;            ///< whose listener it came by; the number of routers = sent directly
  Micros first_byte = 0;      ///< when it lay in the price cache's buffer, read or not
  Micros begun = 0;           ///< when it was read
  /// When its answer was whole at the price cache; 0: never. Answers leave in the order of their
  /// commands, so that one may stand behind others: `ended` - `made` is the head-of-line wait.
  Micros made = 0;
  /// When the last byte of its answer was written, or its connection ended; 0: nothing was said,
  /// and nobody left. Whoever sent the attempt can know of its end from here on.
  Micros ended = 0;
  Answered answered = Answered::kNothing;
  bool missed = false;      ///< a read of a key that the price cache did not hold
  bool repeat = false;      ///< a keyed write that was dropped as a repeat
  bool left = false;        ///< the router ended the attempt's connection first
  std::uint64_t value = 0;  ///< hash of the value or receipt that was given
};
constexpr std::uint64_t kNoRequest = ~std::uint64_t{0};

/// One effect of a write at the product master.
struct EffectRecord {
  std::uint64_t request = 0;
  Micros at = 0;
  int server = -1;
};

/// Discovery has written a change to a router.
struct ToldRecord {
  int router = -1;
  int server = -1;
  violetusher::Health health = violetusher::Health::Ready;
  Micros at = 0;
};

/// How a try ended for its till.
enum class TryEnd {
  kOpen,  ///< the day ended first
  kServed,
  kRefused,
  kFailed,    ///< any other whole line
  kGarbled,   ///< an answer that can't be read, is not whole or belongs to another request
  kClosed,    ///< the router closed the connection with no answer
  kNoRouter,  ///< no connection came up: nothing was taken
  kSilent,    ///< no answer within `wait` and the slack of the rules
  kLeft,      ///< the till went away early of its own will
};

/// One request written to a router.
struct TryRecord {
  std::uint64_t request = 0;
  int number = 0;       ///< 0 is the first try
  int router = -1;      ///< the number of routers = sent to a price cache directly
  Micros intended = 0;  ///< when it should have been sent
  Micros sent = 0;      ///< its last byte was written; 0 = never
  Micros wait = 0;      ///< `d`
  Micros ended = 0;
  TryEnd end = TryEnd::kOpen;
  bool kept_connection = false;  ///< written to a connection that had served before
  bool extra = false;            ///< bytes came behind the answer
  std::uint64_t value = 0;       ///< hash of the value or receipt, where served
  Micros retry_after = 0;        ///< the time that a refusal named
};

/// One process of a router.
struct RouterLife {
  int router = -1;
  Micros started = 0, ready = 0;                  ///< ready 0: never
  Micros signalled = 0;                           ///< SIGTERM
  std::vector<std::pair<Micros, Micros>> frozen;  ///< from SIGSTOP until SIGCONT
  Micros ended = 0;
  bool killed = false;   ///< by the script
  bool crashed = false;  ///< ended otherwise than the script had it
  std::string how;       ///< exit code or signal, for people
};

struct RouterSample {
  int router = -1;
  Micros at = 0;
  std::uint64_t memory = 0;  ///< resident bytes
  int descriptors = 0;
};

struct ServerSample {
  int server = -1;
  Micros at = 0;
  double utilisation = 0;
  int waiting = 0;
};

struct History {
  Micros origin = 0;  ///< the moment that the plan's times count from
  Micros ended = 0;
  std::vector<std::string> servers;  ///< names; a replacement has a name and index of its own
  std::vector<AttemptRecord> attempts;
  std::vector<EffectRecord> effects;
  std::vector<ToldRecord> told;
  std::vector<std::pair<int, Micros>> fallen;  ///< price caches pushed over
  std::vector<TryRecord> tries;
  std::vector<RouterLife> lives;
  std::vector<RouterSample> router_samples;
  std::vector<ServerSample> server_samples;
};

/// No attempt began before its till had sent the request: what lay in a listener's queue through a
/// cut is noted as come with the cut's begin.
inline void begin_after_requests(History& history) {
  std::map<std::pair<std::uint64_t, int>, Micros> sent;
  for (const TryRecord& t : history.tries) sent[{t.request, t.number}] = t.sent;
  for (AttemptRecord& a : history.attempts)
    if (auto it = sent.find({a.request, a.attempt_try}); it != sent.end())
      a.first_byte = std::max(a.first_byte, it->second);
}

}  // namespace violetusher::kit
