// The calls that one router has out at discovery: when each is made, given up and made anew, and
// which answers count. No I/O and no clock: times come in, in microseconds, and must not run
// backwards; calls go out through Port.
//
// A watch may fall silent without an end, and that can't be told from one that waits. So a watch is
// renewed by a second one beside it long before its wait is over, and the older goes on to its own
// end: in quiet no call is given up, as that would start the clock by which what is missed counts
// as told. An older one that has no end when it should shows silence, and the newer may be as
// silent: a call that is answered at once brings what was missed, and only then are they let go.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "watch_timing.hpp"

namespace violetusher::core::membership {

/// Compares two versions of a list. Nothing where they are no numbers: then nothing is known.
std::optional<int> compare_versions(const std::string& a, const std::string& b);

/// What an answer was.
struct ListResponse {
  bool sound = false;  ///< a list, and all of its entries could be used
  bool list = false;   ///< a list, though some entries may not be usable
  std::string version;
  bool whole = false;
};

/// What is to be done with an answer's list.
enum class ListDecision {
  kIgnore,
  kApply,
  /// Discovery counts from anew, and may know less than what is held: whoever was told to leave
  /// stays so where the list says otherwise.
  kApplyUnconfirmed,
};

class WatchScheduler {
 public:
  /// The places of a watch (one that ends, one that waits, one that brings what they missed), and
  /// the one of single fetches.
  enum Place { kWatch0, kWatch1, kWatch2, kFetch, kPlaces };

  class Port {
   public:
    virtual ~Port() = default;
    /// Asks for what changed since `version`, or for the whole list where it is empty; discovery
    /// may hold the call for `wait`.
    virtual void start(Place place, const std::string& version, Micros wait) = 0;
    /// The call is not wanted any more.
    virtual void cancel(Place place) = 0;
    /// No watch is out and none will be made until watch(). Called last.
    virtual void on_watch_lost() = 0;
  };

  /// `held`: the version of the list that the router starts with. `seed`: of what is drawn.
  WatchScheduler(Port& port, const WatchTiming& terms, const std::string& held, std::uint64_t seed);

  /// Other terms from now on; false where they are the same. Calls that are out keep theirs.
  bool set_timing(const WatchTiming& terms) {
    if (terms == terms_) return false;
    terms_ = terms;
    return true;
  }
  /// Begins a watch. The first call of it returns at once, so that it is known that discovery
  /// answers; watches that are out are let go then.
  void watch(Micros now) { begin(now, kAtOnce); }
  /// Asks for the whole list, besides; a few times where that fails.
  void fetch(Micros now);
  /// Discovery is at another address: begins there with the whole list. What the versions there
  /// mean is not known.
  void change_address(Micros now);
  void stop();

  /// A call has its answer; `answer.list` is false where it failed in any way.
  ListDecision on_response(Place place, Micros now, const ListResponse& answer);
  /// What is due is done. Call at next(), or later.
  void run_due(Micros now);
  /// When something is due; nothing where no call is out and none is to be made.
  std::optional<Micros> next_due() const;

  /// When an answer last showed what the list is, or the start.
  Micros last_response_at() const { return heard_at_; }
  void set_started(Micros now) { heard_at_ = now; }
  /// Of the list in use.
  const std::string& version() const { return held_; }
  /// Calls made since the start.
  std::uint64_t calls_made() const { return made_; }

 private:
  // The wait of the first call of a watch.
  static constexpr Micros kAtOnce = 1000;
  struct Call {
    bool out = false;
    bool overdue = false;                             // its wait is over, and it has not ended
    Micros began = 0, wait = 0, ends = 0, renew = 0;  // renew 0: never
    std::uint64_t lists = 0;                          // taken before it began
  };
  Micros drawn(Micros from, Micros to);
  void open(Place place, Micros now, Micros wait);
  void begin(Micros now, Micros wait);
  bool any_watch() const { return calls_[0].out || calls_[1].out || calls_[2].out; }
  void ask_whole(Micros now);
  void cancel(Place place);
  void lost(Place place, Micros now);
  Micros pause(int failures);
  void retry(Micros now);
  ListDecision judge(const Call& call, Micros now, const ListResponse& answer);

  Port& port_;
  WatchTiming terms_;
  std::string held_;   // the version in use, whatever discovery it came from
  std::string index_;  // what a watch names; empty: the whole list is asked for
  std::array<Call, kPlaces> calls_;
  Place newest_ = kWatch0;  // of the watches
  Micros retry_at_ = 0;     // the newest is begun again; 0: not
  Micros fetch_at_ = 0;     // the whole list is asked for (again); 0: not
  Micros heard_at_ = 0;
  int failures_ = 0;        // of watches in a row
  int fetch_failures_ = 0;  // of the whole list that was last wanted
  int older_ = 0;           // whole lists in a row that are older than what is held
  bool moved_ = false;      // no list of this discovery was taken yet
  std::uint64_t lists_ = 0, made_ = 0, rng_;
};

}  // namespace violetusher::core::membership
