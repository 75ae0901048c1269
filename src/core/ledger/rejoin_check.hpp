// Decides whether a voter that has just started may vote. Its disk may be an old copy that was
// restored. Then it has lost acknowledged entries and votes, and voting could make a majority lose
// them, which Raft does not tolerate. So it asks the other members first.
//
// Let the group have n voters and let m be a majority. Whatever this voter has acknowledged is also
// on m - 1 others. Any n - m + 1 others include one of those, so once that many have answered, the
// newest log and the highest term among the answers (the floor) bound everything that it can have
// acknowledged. From then on it grants no vote to a candidate whose log is behind the floor, does
// not become leader until its own log has reached the floor, and does not use a term up to the
// floor's. Then it no longer matters whether the disk is old. If another member has heard of a
// later position of this voter than its disk holds, the disk is certainly old and its identity is
// abandoned.
//
// An old disk may also hold an old configuration, with few or no voters if it is from the first
// seconds of the group. So answers include the voters according to the sender's log, and the most
// recent configuration is used. If the disk lists fewer voters than the group should have, half of
// all routers have to answer as well.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>

#include "bytes.hpp"

namespace violetusher::core::ledger {

/// The position of a voter's disk: its term and the end of its log. Neither ever decreases.
struct LogPosition {
  std::uint64_t term = 0, last_term = 0, last_index = 0;
  /// Whether a log that ends here is less up to date than one that ends at `o`, in Raft's order.
  bool log_before(const LogPosition& o) const {
    return std::tie(last_term, last_index) < std::tie(o.last_term, o.last_index);
  }
  /// Whether the term or the log end is behind that of `o`.
  bool behind(const LogPosition& o) const { return term < o.term || log_before(o); }
  /// Raises the term and the log end, each on its own, to those of `o` if they are later.
  void raise(const LogPosition& o);
  bool operator==(const LogPosition&) const = default;
  Json json() const { return Json::array({term, last_term, last_index}); }
  static LogPosition parse(const Json& value);
};

/// Collects the answers of other members until the voter may vote or its disk proves to be old.
class RejoinCheck {
 public:
  enum class Verdict { kWait, kCleared, kStaleDisk };

  /// The voters of the group according to the configuration entry at `index`.
  struct Voters {
    std::uint64_t index = 0;
    std::set<std::uint64_t> identities;
  };
  /// `own_voters`: according to this disk's log, with or without its own identity. `target_voters`:
  /// the number of voters that the group should have. `routers`: the number of all other routers.
  RejoinCheck(std::uint64_t self, const LogPosition& own, const Voters& own_voters,
              std::size_t target_voters, std::size_t routers);

  /// The answer of another member.
  struct Answer {
    LogPosition position;  ///< of the sender; zero if it is not a member
    LogPosition asker;     ///< the latest position that the sender has heard of this voter
    Voters voters;
  };
  /// Registers an answer; a repeated one from the same identity counts once.
  void add_answer(std::uint64_t from, const Answer& answer);
  /// The operators, or the time limit that they configured, confirm that the disk is not old.
  void vouch() { vouched_ = true; }

  /// What to do according to the answers so far.
  Verdict verdict() const;
  /// The number of answers that are needed, and of those that have arrived.
  std::size_t needed() const { return std::max(needed_voters_, needed_routers_); }
  std::size_t answered() const { return answered_.size(); }
  /// The position that its votes must respect once it is cleared.
  const LogPosition& floor() const { return floor_; }

 private:
  void set_voters(const Voters& voters);

  std::uint64_t self_;
  Voters voters_;
  std::set<std::uint64_t> answered_;
  LogPosition own_, floor_;
  std::size_t needed_voters_ = 0;   // answers from voters
  std::size_t needed_routers_ = 0;  // answers from all routers
  bool vouched_ = false, stale_ = false;
};

}  // namespace violetusher::core::ledger
