// Automatic membership changes of the ledger's Raft group, decided by the leader: one change at a
// time, and none while another is in progress. Unreachable voters are replaced, and voters are
// spread over zones so that, where possible, no zone holds a majority.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::core::ledger {

using Micros = std::int64_t;

/// A member of the group, as in the leader's log.
struct Member {
  std::uint64_t identity = 0;
  std::string name, zone;
  bool votes = false;
  bool unreachable = false;  ///< silent for longer than the group tolerates
};

/// A router that is not a member and may become one.
struct Candidate {
  std::uint64_t identity = 0;
  std::string name, zone;
};

/// One Raft membership change.
struct MembershipChange {
  enum class Kind { kAdd, kPromote, kRemove };
  Kind kind = Kind::kAdd;
  std::uint64_t identity = 0;
  std::string name;  ///< set for kAdd only
  bool operator==(const MembershipChange&) const = default;
};

/// An operator's request to replace one voter by another router.
struct Move {
  std::string from, to;  ///< names
};

/// The next membership change, or nothing if none is needed or possible. `members` includes the
/// leader, `self`; `candidates` were heard of recently.
std::optional<MembershipChange> next_change(std::uint64_t self, std::size_t target_voters,
                                            const std::vector<Member>& members,
                                            const std::vector<Candidate>& candidates,
                                            const std::optional<Move>& move = {});

/// Why a move is invalid or would be reverted at once; empty if it is valid. `to`: the new voter,
/// if it was heard of recently.
std::string move_error(const Move& move, std::size_t target_voters,
                       const std::vector<Member>& members, const std::optional<Candidate>& to);

/// Whether reachable voters still form a majority after the routers `names` have stopped.
bool may_stop(const std::vector<Member>& members, const std::vector<std::string>& names);

}  // namespace violetusher::core::ledger
