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
  view.raise(1);
  for (int i = 0; i < calls; ++i) view.apply(entry(i));
  return view;
}

TEST(LedgerView, WhoIsALittleBehindIsGivenCallsAndOthersTheWhole) {
  View ahead = grown(40), behind = grown(30), empty;
  auto update = ahead.since(behind.position());
  EXPECT_EQ(update.calls.size(), 10u);
  EXPECT_EQ(behind.take(update), View::Taken::kNewer);
  EXPECT_EQ(behind.state(), ahead.state());
  update = ahead.since(empty.position());
  EXPECT_FALSE(update.snapshot.empty());
  EXPECT_EQ(empty.take(update), View::Taken::kNewer);
  EXPECT_EQ(empty.position(), ahead.position());
}

TEST(LedgerView, AVeryLongWayGoesInSeveralAnswers) {
  View ahead = grown(200), behind = grown(1);
  int answers = 0;
  while (behind.take(ahead.since(behind.position())) == View::Taken::kNewer) ++answers;
  EXPECT_EQ(behind.state(), ahead.state());
  EXPECT_EQ(answers, 4);
}

TEST(LedgerView, NeverGoesBack) {
  View ahead = grown(40), behind = grown(30);
  EXPECT_EQ(ahead.take(behind.since(Position())), View::Taken::kOlder);
  EXPECT_EQ(ahead.position().at, 40u);
  // But into a later epoch, even where that has lost the end of what was before.
  View rescued = grown(20);
  rescued.raise(2);
  EXPECT_EQ(ahead.take(rescued.since(ahead.position())), View::Taken::kNewer);
  EXPECT_EQ(ahead.position().at, 20u);
  EXPECT_EQ(ahead.take(grown(60).since(ahead.position())), View::Taken::kOlder);
}

TEST(LedgerView, AnotherHistoryIsNotTaken) {
  View one = grown(30), other = grown(29);
  other.apply(entry(77));
  EXPECT_EQ(one.take(other.since(one.position())), View::Taken::kUnfit);
  View::Update forged{one.position(), {1, 31, 12345}, {entry(30)}, {}};
  EXPECT_EQ(one.take(forged), View::Taken::kUnfit) << "its digest is of other calls";
  other.apply(entry(30));
  View::Update mixed = other.since(other.position());
  mixed.calls = {entry(30)};
  mixed.from = one.position();
  EXPECT_EQ(one.take(mixed), View::Taken::kUnfit);
  EXPECT_EQ(one.position(), grown(30).position());
  EXPECT_FALSE(View::Update::parse({{"from", 1}}));
}

}  // namespace
}  // namespace violetusher::core::ledger
