// What the leader does next about who keeps the ledger: one step at a time, and none while the one
// before is under way. Keepers that are gone give way to others, spread over halls so that no hall
// holds a majority where the halls allow it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::core::ledger {

using Micros = std::int64_t;

struct Member {
  std::uint64_t identity = 0;
  std::string name, zone;
  bool votes = false;
  bool unreachable = false;  ///< not heard of for longer than the group puts up with
};

struct Candidate {
  std::uint64_t identity = 0;
  std::string name, zone;
};

struct MembershipChange {
  enum class Kind { kAdd, kPromote, kRemove };
  Kind kind = Kind::kAdd;
  std::uint64_t identity = 0;
  std::string name;  ///< of a kAdd
  bool operator==(const MembershipChange&) const = default;
};

/// What operators ask for: one keeper's place goes to another router.
struct Move {
  std::string from, to;  ///< names
};

/// `members` as the log has them, the leader `self` among them; `candidates` were heard of lately;
/// `wanted` is how many are to vote. Nothing where all is well or nothing can be done.
std::optional<MembershipChange> next_change(std::uint64_t self, std::size_t target_voters,
                                            const std::vector<Member>& members,
                                            const std::vector<Candidate>& candidates,
                                            const std::optional<Move>& move = {});

/// Why a move is none, or would be undone at once; empty where it is good. `to`: who would come, as
/// heard of.
std::string move_error(const Move& move, std::size_t target_voters,
                       const std::vector<Member>& members, const std::optional<Candidate>& to);

/// Whether the group still has a majority when these stop, of those that are not gone.
bool may_stop(const std::vector<Member>& members, const std::vector<std::string>& names);

}  // namespace violetusher::core::ledger
