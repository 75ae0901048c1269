// Faults that tests inject into the router's own code to verify that checks detect them. In release
// builds `mutant()` is constant false and the code is removed; only the test build defines
// VIOLETUSHER_MUTANTS, and the environment variable VIOLETUSHER_MUTANT selects the fault.
#pragma once

#ifdef VIOLETUSHER_MUTANTS
#include <cstdlib>
#include <string_view>
#endif

namespace violetusher::core {

/// The faults that can be injected.
enum class Mutant {
  kAcknowledgeBeforeDurable,  ///< a ban is acknowledged before it is durable
  kFileOverridesMemory,       ///< the ban file replaces the bans in memory
  kEvictAtAnyShortage,        ///< each failed accept closes an idle client connection, unread
  kReloadNotRetried,          ///< an unreadable file counts as an invalid one
  kTrustServerClock,          ///< listed start times are used whatever the clock behind them
  kPauseEndsAnswer,           ///< an answer that pauses is closed on
  kDeadlineEndsLongValue,     ///< a long value that has begun is not passed on at the deadline
  kTimeoutEndsAnswer,         ///< an attempt's timeout ends an answer that has begun
  kRequestSentAfterEnd,       ///< a request that is given up is sent on by the system
  kProgressByWrites,          ///< only a write that succeeds shows that a client reads
  kIdsForgotten,              ///< an id is forgotten with its request
  kServeUnconfirmedList,      ///< clients are accepted before discovery has confirmed the list
  kNothingBesideSilentCall,   ///< a call without a response is waited for alone
  kListNotShared,             ///< the processes of a router do not share their host list
  kListSharedOnce,            ///< a process shares its first list only
  kOlderListTaken,            ///< a shared list is taken over although it is older
};

#ifdef VIOLETUSHER_MUTANTS
inline bool mutant(Mutant m) {
  static constexpr std::string_view kNames[] = {
      "yes-before-durable",       "file-over-memory",    "evict-at-any-shortage",
      "reload-not-retried",       "clock-believed",      "pause-ends-answer",
      "deadline-ends-long-value", "timeout-ends-answer", "request-sent-after-end",
      "progress-by-writes",       "ids-forgotten",       "serve-unconfirmed",
      "nothing-beside-silent",    "list-not-shared",     "list-shared-once",
      "older-list-taken"};
  static const char* planted = std::getenv("VIOLETUSHER_MUTANT");
  return planted && kNames[static_cast<int>(m)] == planted;
}
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace violetusher::core
