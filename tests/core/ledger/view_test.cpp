#include "core/ledger/view.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::ledger {
namespace {

std::string entry(int i) {
  return to_bytes(Call{Call::Kind::kPut, "value/a", std::to_string(i), Call::kAny, "x", 1,
                       static_cast<std::uint64_t>(i + 1), 0}
                      .json());
}

View grown(int calls) {
  View view;
  view.raise_epoch(1);
  for (int i = 0; i < calls; ++i) view.apply(entry(i));
  return view;
}

TEST(LedgerView, UpdateHasCallsIfSlightlyBehindElseASnapshot) {
  View ahead = grown(40), behind = grown(30), empty;
  auto update = ahead.since(behind.position());
  EXPECT_EQ(update.calls.size(), 10u);
  EXPECT_EQ(behind.apply_update(update), View::UpdateResult::kApplied);
  EXPECT_EQ(behind.state(), ahead.state());
  update = ahead.since(empty.position());
  EXPECT_FALSE(update.snapshot.empty());
  EXPECT_EQ(empty.apply_update(update), View::UpdateResult::kApplied);
  EXPECT_EQ(empty.position(), ahead.position());
}

TEST(LedgerView, ManyCallsAreSplitIntoSeveralUpdates) {
  View ahead = grown(200), behind = grown(1);
  int answers = 0;
  while (behind.apply_update(ahead.since(behind.position())) == View::UpdateResult::kApplied)
    ++answers;
  EXPECT_EQ(behind.state(), ahead.state());
  EXPECT_EQ(answers, 4);
}

TEST(LedgerView, NeverMovesBackwards) {
  View ahead = grown(40), behind = grown(30);
  EXPECT_EQ(ahead.apply_update(behind.since(Position())), View::UpdateResult::kStale);
  EXPECT_EQ(ahead.position().at, 40u);
  // It moves to a later epoch even if that has lost the last calls of the epoch before.
  View rescued = grown(20);
  rescued.raise_epoch(2);
  EXPECT_EQ(ahead.apply_update(rescued.since(ahead.position())), View::UpdateResult::kApplied);
  EXPECT_EQ(ahead.position().at, 20u);
  EXPECT_EQ(ahead.apply_update(grown(60).since(ahead.position())), View::UpdateResult::kStale);
}

TEST(LedgerView, UpdateFromAnotherHistoryIsRejected) {
  View one = grown(30), other = grown(29);
  other.apply(entry(77));
  EXPECT_EQ(one.apply_update(other.since(one.position())), View::UpdateResult::kMismatch);
  View::Update forged{one.position(), {1, 31, 12345}, {entry(30)}, {}};
  EXPECT_EQ(one.apply_update(forged), View::UpdateResult::kMismatch)
      << "its digest belongs to other calls";
  other.apply(entry(30));
  View::Update mixed = other.since(other.position());
  mixed.calls = {entry(30)};
  mixed.from = one.position();
  EXPECT_EQ(one.apply_update(mixed), View::UpdateResult::kMismatch);
  EXPECT_EQ(one.position(), grown(30).position());
  EXPECT_FALSE(View::Update::parse({{"from", 1}}));
}

}  // namespace
}  // namespace violetusher::core::ledger
