#include "core/ledger/state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace violetusher::core::ledger {
namespace {

Call put(std::uint64_t number, const std::string& name, const std::string& text,
         std::int64_t expect = Call::kAny, std::uint64_t caller = 7) {
  return {Call::Kind::kPut, name, text, expect, "somebody", caller, number, 0};
}
Outcome apply(State& state, const Call& call) { return state.apply(to_bytes(call.json())); }

TEST(LedgerState, RepeatedCallTakesEffectOnceWithTheSameOutcome) {
  State state;
  Outcome first = apply(state, put(1, "out/s-1", "out"));
  apply(state, {Call::Kind::kErase, "out/s-1", "", Call::kAny, "other", 8, 1, 0});
  EXPECT_EQ(apply(state, put(1, "out/s-1", "out")), first);
  EXPECT_TRUE(state.values().empty()) << "erased by the other caller, not written again";
  EXPECT_EQ(apply(state, put(2, "out/s-1", "out")).status, Outcome::Status::kDone);
  EXPECT_EQ(apply(state, put(1, "out/s-2", "out")).status, Outcome::Status::kForgotten);
}

TEST(LedgerState, ChangeNeedsTheExpectedVersion) {
  State state;
  std::uint64_t version = apply(state, put(1, "value/a", "one", Call::kAbsent)).version;
  EXPECT_EQ(apply(state, put(2, "value/a", "two", Call::kAbsent)),
            (Outcome{Outcome::Status::kConflict, version, {}}));
  EXPECT_EQ(apply(state, put(3, "value/a", "two", static_cast<std::int64_t>(version))).status,
            Outcome::Status::kDone);
  EXPECT_EQ(state.values().at("value/a").text, "two");
}

TEST(LedgerState, FullStateRejectsValuesUnchanged) {
  State state;
  std::string large(kMaxValueBytes, 'x');
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kMaxTotalBytes / kMaxValueBytes; ++i)
    EXPECT_EQ(apply(state, put(++number, "value/" + std::to_string(i), large)).status,
              Outcome::Status::kDone);
  EXPECT_EQ(apply(state, put(++number, "value/more", "x")).status, Outcome::Status::kFull);
  EXPECT_EQ(apply(state, put(++number, "value/0", large)).status, Outcome::Status::kDone);
  EXPECT_EQ(apply(state, put(++number, "value/0", large + "x")).status, Outcome::Status::kBad);
  EXPECT_EQ(state.values().count("value/more"), 0u);
}

TEST(LedgerState, CallOfAnEvictedCallerIsNotAppliedAgain) {
  State state;
  apply(state, put(1, "value/a", "first", Call::kAny, 1));
  for (std::uint64_t caller = 2; caller <= kMaxCallers + 1; ++caller)
    apply(state, put(1, "value/b", std::to_string(caller), Call::kAny, caller));
  // It called before, and its outcome has been evicted.
  EXPECT_EQ(apply(state, put(1, "value/a", "first", Call::kAny, 1)).status,
            Outcome::Status::kForgotten);
  // A caller that began after the last eviction is certainly new.
  Call fresh = put(1, "value/c", "new", Call::kAny, 99'999);
  fresh.known = state.position().at;
  EXPECT_EQ(apply(state, fresh).status, Outcome::Status::kDone);
}

TEST(LedgerState, InvalidEntryAdvancesOnlyThePosition) {
  State state;
  EXPECT_EQ(state.apply("garbage").status, Outcome::Status::kBad);
  EXPECT_EQ(state.position().at, 1u);
  EXPECT_TRUE(state.values().empty());
  std::string deep(100, '\x81');  // nested arrays
  EXPECT_FALSE(from_bytes(deep + "\x01"));
  EXPECT_FALSE(State().restore(deep));
  EXPECT_FALSE(State().restore(to_bytes({{"p", 1}})));
}

// For random calls: a snapshot taken at any point and the calls after it give the same state,
// outcomes and digest as all calls.
TEST(LedgerState, SnapshotPlusLaterCallsEqualsAllCalls) {
  bool good = rc::check([] {
    State whole, part;
    auto count = *rc::gen::inRange(1, 80), cut = *rc::gen::inRange(0, 80);
    for (int i = 0; i < count; ++i) {
      Call call{static_cast<Call::Kind>(*rc::gen::inRange(0, 3)),
                "value/" + std::to_string(*rc::gen::inRange(0, 4)),
                std::to_string(i),
                *rc::gen::inRange(-1, 12),
                "x",
                static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)),
                static_cast<std::uint64_t>(*rc::gen::inRange(1, 12)),
                0};
      Outcome outcome = apply(whole, call);
      RC_ASSERT(apply(part, call) == outcome);
      if (i == cut) {
        State next;
        RC_ASSERT(next.restore(part.snapshot()));
        part = next;
      }
    }
    RC_ASSERT(whole == part);
  });
  EXPECT_TRUE(good);
}

}  // namespace
}  // namespace violetusher::core::ledger
