#include "core/ledger/reconfiguration.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::ledger {
namespace {

using Kind = MembershipChange::Kind;

Member voter(std::uint64_t id, const char* name, const char* zone, bool unreachable = false) {
  return {id, name, zone, true, unreachable};
}

TEST(LedgerReconfiguration, SingleVoterGrowsToTargetAcrossZones) {
  std::vector<Member> members{voter(1, "r1", "bole")};
  std::vector<Candidate> candidates{{2, "r2", "bole"}, {3, "r3", "kality"}, {4, "r4", "piassa"}};
  std::vector<std::string> order;
  while (auto change = next_change(1, 3, members, candidates)) {
    if (change->kind == Kind::kAdd) {
      order.push_back(change->name);
      auto it = std::find_if(candidates.begin(), candidates.end(),
                             [&](const auto& c) { return c.identity == change->identity; });
      members.push_back({it->identity, it->name, it->zone, false, false});
      candidates.erase(it);
    } else {
      ASSERT_EQ(change->kind, Kind::kPromote);
      for (Member& m : members)
        if (m.identity == change->identity) m.votes = true;
    }
  }
  EXPECT_EQ(order, (std::vector<std::string>{"r3", "r4"})) << "no two in one zone";
}

TEST(LedgerReconfiguration, MemberWithNewIdentityReplacesItsOldIdentity) {
  std::vector<Member> members{voter(1, "r1", "bole"), voter(2, "r2", "kality"),
                              voter(3, "r3", "piassa")};
  std::vector<Candidate> back{{33, "r3", "piassa"}};
  EXPECT_EQ(next_change(1, 3, members, back), (MembershipChange{Kind::kRemove, 3, {}}));
  members.pop_back();
  EXPECT_EQ(next_change(1, 3, members, back), (MembershipChange{Kind::kAdd, 33, "r3"}));
}

TEST(LedgerReconfiguration, UnreachableVoterIsReplacedOnceAnotherIsAvailable) {
  std::vector<Member> members{voter(1, "r1", "bole"), voter(2, "r2", "kality"),
                              voter(3, "r3", "piassa", true)};
  EXPECT_FALSE(next_change(1, 3, members, {}))
      << "without another it stays: two of three are better";
  std::vector<Candidate> spare{{4, "r4", "kality"}};
  EXPECT_EQ(next_change(1, 3, members, spare), (MembershipChange{Kind::kAdd, 4, "r4"}));
  members.push_back(voter(4, "r4", "kality"));
  EXPECT_EQ(next_change(1, 3, members, {}), (MembershipChange{Kind::kRemove, 3, {}}));
}

TEST(LedgerReconfiguration, ZoneWithMajorityGivesUpOneVoter) {
  std::vector<Member> members{voter(1, "r1", "bole"), voter(2, "r2", "bole"),
                              voter(3, "r3", "kality")};
  std::vector<Candidate> spare{{4, "r4", "piassa"}};
  EXPECT_EQ(next_change(1, 3, members, spare), (MembershipChange{Kind::kAdd, 4, "r4"}));
  members.push_back(voter(4, "r4", "piassa"));
  EXPECT_EQ(next_change(1, 3, members, {}), (MembershipChange{Kind::kRemove, 2, {}}))
      << "and never the leader itself";
  members.erase(members.begin() + 1);
  EXPECT_FALSE(next_change(1, 3, members, {{2, "r2", "bole"}}));
}

TEST(LedgerReconfiguration, StoppingAMajorityIsRefused) {
  std::vector<Member> members{voter(1, "r1", "bole"), voter(2, "r2", "kality"),
                              voter(3, "r3", "piassa")};
  EXPECT_TRUE(may_stop(members, {"r2", "r9"}));
  EXPECT_FALSE(may_stop(members, {"r2", "r3"}));
  members[0].unreachable = true;
  EXPECT_FALSE(may_stop(members, {"r2"}));
}

TEST(LedgerReconfiguration, MoveAddsNewVoterBeforeRemovingTheOld) {
  std::vector<Member> three{
      {1, "r1", "a", true, false}, {2, "r2", "b", true, false}, {3, "r3", "c", true, false}};
  std::vector<Candidate> r4{{4, "r4", "a"}}, r4_r5{{5, "r5", "b"}, {4, "r4", "a"}};
  Move move{"r2", "r4"};
  EXPECT_EQ(next_change(1, 3, three, r4_r5, move),
            (MembershipChange{MembershipChange::Kind::kAdd, 4, "r4"}));
  EXPECT_FALSE(next_change(1, 3, three, {}, move)) << "no hello from the new voter";
  auto four = three;
  four.push_back({4, "r4", "a", false, false});
  EXPECT_EQ(next_change(1, 3, four, r4, move),
            (MembershipChange{MembershipChange::Kind::kPromote, 4, {}}));
  four.back().votes = true;
  EXPECT_EQ(next_change(1, 3, four, r4, move),
            (MembershipChange{MembershipChange::Kind::kRemove, 2, {}}));
  four.erase(four.begin() + 1);
  EXPECT_FALSE(next_change(1, 3, four, {}, move)) << "it is done";
  EXPECT_FALSE(next_change(2, 3, three, {}, move));
}

}  // namespace
}  // namespace violetusher::core::ledger
