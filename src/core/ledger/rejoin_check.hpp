// Whether a keeper that has just started may vote. Its disk may be an old one that somebody put
// back: then it has promised things that it no longer knows of, and a vote of its could make a
// majority forget them. So it asks the others first.
//
// Let n keepers vote and m be a majority. What this one has promised stands also on m - 1 others.
// Any n - m + 1 others have one of those among them: once so many have answered, the newest log and
// the highest term among them bound all that it can have promised. It then votes for nobody whose
// log is behind that, leads nothing before its own log is there, and uses no term up to that one;
// whether its disk is old no longer matters to what was promised. Where one of the others has heard
// more from it than its disk knows, the disk is old for certain, and its identity is given up.
//
// An old disk may also name old voters, few or none where it is of the group's first seconds. So
// those who answer tell who votes by their own logs, and the latest of these is asked instead; and
// with fewer voters on the disk than the group is to have, half of all routers have to answer
// first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>

#include "bytes.hpp"

namespace violetusher::core::ledger {

/// How far a keeper's disk is: its term, and the end of its log. Neither ever goes back.
struct LogPosition {
  std::uint64_t term = 0, last_term = 0, last_index = 0;
  /// Whether a log that ends so is older than one that ends as `o` says; raft's own order.
  bool log_before(const LogPosition& o) const {
    return std::tie(last_term, last_index) < std::tie(o.last_term, o.last_index);
  }
  bool behind(const LogPosition& o) const { return term < o.term || log_before(o); }
  /// The later of both, each part alone.
  void raise(const LogPosition& o);
  bool operator==(const LogPosition&) const = default;
  Json json() const { return Json::array({term, last_term, last_index}); }
  static LogPosition parse(const Json& value);
};

class RejoinCheck {
 public:
  enum class Verdict { kWait, kCleared, kStaleDisk };

  /// Who votes, by the entry of the log at `index`.
  struct Voters {
    std::uint64_t index = 0;
    std::set<std::uint64_t> identities;
  };
  /// `own_voters`: by this disk's log, its own identity among them or not. `wanted`: voters of the
  /// whole group. `routers`: all others of the fleet.
  RejoinCheck(std::uint64_t self, const LogPosition& own, const Voters& own_voters,
              std::size_t target_voters, std::size_t routers);

  struct Answer {
    LogPosition position;  ///< how far it is; nothing of one that keeps nothing
    LogPosition asker;     ///< the furthest that it ever heard this one say it is
    Voters voters;
  };
  void add_answer(std::uint64_t from, const Answer& answer);
  /// The operators, or the time that they set, say that the disk is no old one.
  void vouch() { vouched_ = true; }

  Verdict verdict() const;
  std::size_t needed() const { return std::max(needed_voters_, needed_routers_); }
  std::size_t answered() const { return answered_.size(); }
  /// What the votes of this one must respect once it is cleared.
  const LogPosition& floor() const { return floor_; }

 private:
  void set_voters(const Voters& voters);

  std::uint64_t self_;
  Voters voters_;
  std::set<std::uint64_t> answered_;
  LogPosition own_, floor_;
  std::size_t needed_voters_ = 0;   // of the voters
  std::size_t needed_routers_ = 0;  // of all
  bool vouched_ = false, stale_ = false;
};

}  // namespace violetusher::core::ledger
