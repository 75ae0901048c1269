// Schedules one router's calls to discovery: when each is made, cancelled and repeated, and which
// responses are applied. No I/O and no clock: times come in as microseconds and must not run
// backwards; calls go out through Port.
//
// A watch may fall silent without an end, which looks the same as one that still waits. Each watch
// is therefore renewed by a second one long before its wait is over, and the older one runs to its
// own end: no call is cancelled in normal operation, as a cancelled call starts the notification
// deadline for what it missed. An older watch that has no end when it should shows that calls
// fall silent, and the newer watch may be as silent. An immediate call then fetches what
// was missed, and only after its response are the others cancelled.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "watch_timing.hpp"

namespace violetusher::core::membership {

/// Compares two list versions: below 0, 0 or above 0. Nothing if one of them is not a number, as
/// the order is unknown then.
std::optional<int> compare_versions(const std::string& a, const std::string& b);

/// The result of one call to discovery.
struct ListResponse {
  bool sound = false;  ///< a list of which every entry is usable
  bool list = false;   ///< a list, of which some entries may be unusable
  std::string version;
  bool whole = false;    ///< the full list, not the changes since a version
  bool refused = false;  ///< no list, but an error status: discovery is there
};

/// Why a call to discovery is made.
enum class CallReason {
  kStart,          ///< the first call of the process, or of a watch that is begun anew
  kContinuation,   ///< the call before it was answered
  kRenewal,        ///< the watch is old, and may have fallen silent
  kUnanswered,     ///< the call before it may be silent
  kRetry,          ///< the call before it failed
  kOverdue,        ///< a watch has no response although its wait is over
  kOtherFailed,    ///< another call in flight failed: this one shows what both may have missed
  kWholeList,      ///< the whole list is wanted beside the watch
  kAddressChange,  ///< discovery has moved
};
/// The name of a reason in logs.
const char* name_of(CallReason reason);

/// What the router does with the list of a response.
enum class ListDecision {
  kIgnore,
  kApply,
  /// The version count restarted, so discovery may know less than the router: servers known to be
  /// draining or removed stay so where the list says otherwise.
  kApplyUnconfirmed,
};

/// The calls to discovery of one router. Its owner reports responses and calls run_due().
class WatchScheduler {
 public:
  /// Slots of calls: those of a watch (one that ends, one that waits, and those that fetch what
  /// they missed, of which several may be silent), and one of single fetches.
  enum Place { kWatch0, kWatch1, kWatch2, kWatch3, kWatch4, kFetch, kPlaces };
  static constexpr int kWatchPlaces = kFetch;

  /// Sends and cancels calls for the scheduler.
  class Port {
   public:
    virtual ~Port() = default;
    /// Requests the changes since `version`, or the full list if it is empty; discovery may hold
    /// the call for `wait`.
    virtual void start(Place place, const std::string& version, Micros wait, CallReason reason) = 0;
    /// Cancels the call of the slot.
    virtual void cancel(Place place) = 0;
  };

  /// `version` is that of the list that the router starts with; `seed` is of the jitter.
  WatchScheduler(Port& port, const WatchTiming& timing, const std::string& version,
                 std::uint64_t seed);

  /// Changes the timing; returns false if it is the same. Calls in flight keep theirs.
  bool set_timing(const WatchTiming& timing) {
    if (timing == timing_) return false;
    timing_ = timing;
    return true;
  }
  /// Plans the first call. From then on there is always a call in flight or planned.
  void start(Micros now);
  /// Starts a watch. Its first call returns at once, which shows that discovery responds; then the
  /// watches in flight are cancelled.
  void watch(Micros now, CallReason reason = CallReason::kStart) {
    start_watch_call(now, kImmediateWait, reason);
  }
  /// Requests the full list beside the watch, with a bounded number of tries.
  void fetch(Micros now);
  /// Discovery moved to another address: starts there with the full list. Versions of the two
  /// addresses can't be compared.
  void change_address(Micros now);
  void stop();

  /// A newer list that another process of the router had is in use from now on; a response
  /// confirmed it there at `confirmed_at`. The calls go on: what they bring is compared with it.
  void adopt_list(const std::string& version, Micros confirmed_at);

  /// Another process of the router is about to end and to give up its calls, after which the
  /// deadline of what this process misses is shorter: renews the watch that is open, and the next
  /// one, early.
  void begin_takeover(Micros now);

  /// Handles the end of a call; `answer.list` is false if it failed in any way.
  ListDecision on_response(Place place, Micros now, const ListResponse& answer);
  /// Does everything that is due. Call it at next_due() or later.
  void run_due(Micros now);
  /// The time of the next run_due(); nothing if no call is in flight or planned.
  std::optional<Micros> next_due() const;

  int calls_in_flight() const;
  /// Whether a response has confirmed the list since the start.
  bool confirmed() const { return confirmed_; }
  /// When a response last confirmed the list, or the start.
  Micros last_response_at() const { return last_response_at_; }
  void set_started(Micros now) { last_response_at_ = now; }
  /// Version of the list in use.
  const std::string& version() const { return version_; }

 private:
  // Wait of the first call of a watch.
  static constexpr Micros kImmediateWait = 1000;
  struct Call {
    bool in_flight = false;
    bool overdue = false;        // its wait is over without a response
    bool after_trouble = false;  // made because another call failed or may be silent
    bool continues = false;      // a watch that follows a response, with only refusals in between
    Micros started = 0, wait = 0, deadline = 0;
    Micros follow_up_at = 0;          // when another is made beside it; 0: never
    std::uint64_t lists_applied = 0;  // lists applied before it started
    bool is_watch() const { return wait > kImmediateWait; }
  };
  Micros random_between(Micros from, Micros to);
  void start_call(Place place, Micros now, Micros wait, CallReason reason);
  void start_watch_call(Micros now, Micros wait, CallReason reason);
  bool has_call() const;
  bool has_waiting_watch() const;
  bool has_free_place() const;
  Micros next_timeout() const;
  void follow_up(Micros now);
  void handle_timeout(Place place, Micros now);
  void cancel_watches_before(const Call& call);
  void request_full_list(Micros now);
  void cancel(Place place);
  void on_call_failed(Place place, Micros now);
  void renew_for_takeover(Call& watch, Micros now);
  /// Plans the call after `watch` within `age`; 0 leaves it as it is.
  void renew_within(Micros age, Call& watch, Micros now);
  Micros retry_delay(int failures);
  void schedule_retry(Micros now);
  ListDecision evaluate(const Call& call, Micros now, const ListResponse& answer);

  Port& port_;
  WatchTiming timing_;
  std::string version_;        // version in use, whichever discovery it came from
  std::string watch_version_;  // version that a watch names; empty: request the full list
  std::array<Call, kPlaces> calls_;
  Place newest_ = kWatch0;   // the newest watch slot
  Micros next_call_at_ = 0;  // when the newest call is made, or made again; 0: not planned
  CallReason next_call_reason_ = CallReason::kStart;
  Micros fetch_at_ = 0;  // when the full list is requested; 0: not planned
  Micros last_response_at_ = 0;
  int failures_ = 0;              // consecutive failures of watches
  int fetch_failures_ = 0;        // failures of the current fetch of the full list
  int older_lists_ = 0;           // consecutive full lists that are older than the one in use
  bool address_changed_ = false;  // no list of the new address has been applied yet
  bool confirmed_ = false;
  bool crowded_ = false;            // the last response shows that calls queue up at discovery
  int takeover_renewals_ = 0;       // early renewals of a new process that are still to be made
  bool continues_refused_ = false;  // the next call tries again a watch that was refused
  std::uint64_t lists_applied_ = 0, rng_;
};

}  // namespace violetusher::core::membership
