#include "reconfiguration.hpp"

#include <algorithm>
#include <map>

namespace violetusher::core::ledger {
namespace {

std::size_t voters_in_zone(const std::vector<Member>& members, const std::string& zone) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [&](const Member& m) { return m.votes && !m.unreachable && m.zone == zone; }));
}

/// The eligible candidate whose zone has the fewest voters; ties are broken by name.
const Candidate* best_candidate(const std::vector<Member>& members,
                                const std::vector<Candidate>& from) {
  const Candidate* found = nullptr;
  for (const Candidate& c : from) {
    if (std::any_of(members.begin(), members.end(), [&](const Member& m) {
          return m.identity == c.identity || (m.name == c.name && !m.unreachable);
        }))
      continue;
    if (!found || std::make_pair(voters_in_zone(members, c.zone), c.name) <
                      std::make_pair(voters_in_zone(members, found->zone), found->name))
      found = &c;
  }
  return found;
}

}  // namespace

std::optional<MembershipChange> next_change(std::uint64_t self, std::size_t target_voters,
                                            const std::vector<Member>& members,
                                            const std::vector<Candidate>& candidates,
                                            const std::optional<Move>& move) {
  // A member's router that reports a new identity has lost the old one's disk. The old identity
  // never returns, and a vote that nobody can cast only makes a majority harder to reach.
  for (const Member& m : members)
    if (m.identity != self && std::any_of(candidates.begin(), candidates.end(), [&](const auto& c) {
          return c.name == m.name && c.identity != m.identity;
        }))
      return MembershipChange{MembershipChange::Kind::kRemove, m.identity, {}};
  for (const Member& m : members)
    if (!m.votes && m.unreachable)
      return MembershipChange{MembershipChange::Kind::kRemove, m.identity, {}};
  for (const Member& m : members)
    if (!m.votes && !m.unreachable)
      return MembershipChange{MembershipChange::Kind::kPromote, m.identity, {}};

  if (move) {
    auto named = [&](const std::string& name) {
      return std::find_if(members.begin(), members.end(),
                          [&](const Member& m) { return m.name == name; });
    };
    auto from = named(move->from), to = named(move->to);
    if (to == members.end() && from != members.end())
      for (const Candidate& c : candidates)
        if (c.name == move->to)
          return MembershipChange{MembershipChange::Kind::kAdd, c.identity, c.name};
    // The new member already votes, so the old one can be removed.
    if (to != members.end() && from != members.end() && from->identity != self)
      return MembershipChange{MembershipChange::Kind::kRemove, from->identity, {}};
  }
  std::size_t voting = 0, reachable = 0;
  for (const Member& m : members) voting += m.votes, reachable += m.votes && !m.unreachable;
  const Candidate* next = best_candidate(members, candidates);
  if (reachable < target_voters && next)
    return MembershipChange{MembershipChange::Kind::kAdd, next->identity, next->name};
  // Unreachable voters are removed once there are enough others.
  if (voting > target_voters)
    for (const Member& m : members)
      if (m.votes && m.unreachable)
        return MembershipChange{MembershipChange::Kind::kRemove, m.identity, {}};
  // A zone that holds a majority gives up one voter if another zone has room.
  if (reachable > target_voters || (next && reachable == target_voters)) {
    const Member* crowded = nullptr;
    for (const Member& m : members)
      if (m.votes && !m.unreachable && m.identity != self &&
          (!crowded || voters_in_zone(members, m.zone) > voters_in_zone(members, crowded->zone)))
        crowded = &m;
    if (!crowded) return {};
    if (reachable > target_voters)
      return MembershipChange{MembershipChange::Kind::kRemove, crowded->identity, {}};
    if (2 * voters_in_zone(members, crowded->zone) > target_voters &&
        voters_in_zone(members, next->zone) + 1 < voters_in_zone(members, crowded->zone))
      return MembershipChange{MembershipChange::Kind::kAdd, next->identity, next->name};
  }
  return {};
}

std::string move_error(const Move& move, std::size_t target_voters,
                       const std::vector<Member>& members, const std::optional<Candidate>& to) {
  auto named = [&](const std::string& name) {
    return std::find_if(members.begin(), members.end(),
                        [&](const Member& m) { return m.name == name; });
  };
  auto from = named(move.from);
  if (from == members.end()) return "'" + move.from + "' is not a voter";
  if (named(move.to) != members.end()) return "'" + move.to + "' is already a voter";
  if (!to) return {};
  std::vector<Member> after;
  for (const Member& m : members)
    if (m.name != move.from) after.push_back(m);
  after.push_back({to->identity, to->name, to->zone, true, false});
  // Assume that the leader is neither of the two, if there is another member.
  auto self =
      std::find_if(after.begin(), after.end(), [&](const Member& m) { return m.name != move.to; });
  if (next_change(self == after.end() ? to->identity : self->identity, target_voters, after,
                  {{from->identity, from->name, from->zone}}))
    return "the group would revert the move: zone '" + to->zone + "' would have too many voters";
  return {};
}

bool may_stop(const std::vector<Member>& members, const std::vector<std::string>& names) {
  std::size_t voting = 0, left = 0;
  for (const Member& m : members) {
    voting += m.votes;
    left +=
        m.votes && !m.unreachable && std::find(names.begin(), names.end(), m.name) == names.end();
  }
  return left >= voting / 2 + 1;
}

}  // namespace violetusher::core::ledger
