#include "core/ledger/rejoin_check.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::ledger {
namespace {

using Verdict = RejoinCheck::Verdict;
RejoinCheck::Answer says(LogPosition position, LogPosition asker = {}) {
  return {position, asker, {}};
}

TEST(RejoinCheck, NeededAnswersDependOnNumberOfVoters) {
  RejoinCheck three(1, {3, 3, 30}, {5, {1, 2, 3}}, 3, 6);
  EXPECT_EQ(three.needed(), 2u);
  three.add_answer(2, says({3, 3, 29}));
  three.add_answer(2, says({3, 3, 29}));  // a repeated answer counts once
  EXPECT_EQ(three.verdict(), Verdict::kWait);
  three.add_answer(9, says({3, 3, 29}));  // not a voter
  EXPECT_EQ(three.verdict(), Verdict::kWait);
  three.add_answer(3, says({4, 3, 31}));
  EXPECT_EQ(three.verdict(), Verdict::kCleared);
  EXPECT_EQ(three.floor(), (LogPosition{4, 3, 31}));
  EXPECT_EQ(RejoinCheck(1, {}, {5, {1, 2, 3, 4, 5}}, 5, 6).needed(), 3u);
  EXPECT_EQ(RejoinCheck(1, {}, {5, {1, 2}}, 2, 6).needed(), 1u);
  EXPECT_EQ(RejoinCheck(1, {}, {5, {1}}, 1, 0).verdict(), Verdict::kCleared);
}

TEST(RejoinCheck, LaterPositionKnownToAnotherProvesAStaleDisk) {
  RejoinCheck p(1, {3, 3, 30}, {5, {1, 2, 3}}, 3, 6);
  p.add_answer(2, says({3, 3, 30}, {3, 3, 31}));
  EXPECT_EQ(p.verdict(), Verdict::kStaleDisk);
  RejoinCheck by_vote(1, {3, 3, 30}, {5, {1, 2, 3}}, 3, 6);
  by_vote.add_answer(2, says({4, 3, 30}, {4, 3, 30}));
  by_vote.vouch();
  EXPECT_EQ(by_vote.verdict(), Verdict::kStaleDisk)
      << "it had voted in a term that its disk does not know";
}

TEST(RejoinCheck, DiskWithTooFewVotersNeedsAnswersFromHalfOfAllRouters) {
  // Its own log lists it as the only voter.
  RejoinCheck p(1, {1, 1, 2}, {1, {1}}, 3, 6);
  EXPECT_EQ(p.verdict(), Verdict::kWait);
  p.add_answer(2, {{5, 5, 400}, {}, {90, {1, 2, 3}}});
  EXPECT_EQ(p.verdict(), Verdict::kWait);
  p.add_answer(7, says({}));
  p.add_answer(8, says({}));
  EXPECT_EQ(p.verdict(), Verdict::kWait) << "half of the routers, but not both other voters";
  p.add_answer(3, says({5, 5, 399}));
  EXPECT_EQ(p.verdict(), Verdict::kCleared);
  EXPECT_EQ(p.floor(), (LogPosition{5, 5, 400}));
}

// For all groups of up to seven voters, all majorities with this voter that may hold an
// acknowledged entry, and all sets of answers that clear it: the floor is never below that entry.
TEST(RejoinCheck, FloorIsNeverBelowAnAcknowledgedEntry) {
  for (unsigned n = 2; n <= 7; ++n) {
    unsigned majority = n / 2 + 1, others = n - 1;
    std::set<std::uint64_t> voters;
    for (unsigned i = 1; i <= n; ++i) voters.insert(i);
    for (unsigned holds = 0; holds < 1u << others; ++holds) {
      if (static_cast<unsigned>(__builtin_popcount(holds)) + 1 < majority) continue;
      for (unsigned answers = 0; answers < 1u << others; ++answers) {
        RejoinCheck p(1, {1, 1, 10}, {1, voters}, n, others);
        for (unsigned i = 0; i < others; ++i)
          if (answers >> i & 1) p.add_answer(i + 2, says({1, 1, holds >> i & 1 ? 20u : 10u}));
        ASSERT_TRUE(p.verdict() == Verdict::kWait || p.floor().last_index == 20) << n;
      }
    }
  }
}

}  // namespace
}  // namespace violetusher::core::ledger
