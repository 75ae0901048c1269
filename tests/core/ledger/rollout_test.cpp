#include "core/ledger/rollout.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace violetusher::core::ledger {
namespace {

std::vector<std::string> routers(int n) {
  std::vector<std::string> names;
  for (int i = 1; i <= n; ++i) names.push_back("r" + std::to_string(i));
  return names;
}

std::set<std::string> first_of(const Plan& plan, const std::vector<std::string>& names) {
  std::set<std::string> first;
  for (const auto& name : names)
    if (is_selected(plan, name, names)) first.insert(name);
  return first;
}

TEST(Plan, IsDecodedAndOtherBytesAreRejected) {
  for (const Plan& p : {Plan{1, 10, "new", {}, 7}, Plan{9, 100, {}, {}, 0},
                        Plan{2, 50, std::string("\0\xff", 2), "", 1}})
    EXPECT_EQ(Plan::parse(p.bytes()), p);
  for (const std::string& bytes :
       {std::string(), std::string("text"), to_bytes({{"n", 1}}), Plan{0, 10, "a", {}, 0}.bytes(),
        Plan{1, 101, "a", {}, 0}.bytes(),
        Plan{1, 10, std::string(kMaxTextBytes + 1, 'a'), {}, 0}.bytes(),
        to_bytes({{"n", 1}, {"s", 1}, {"m", 1}, {"t", "no bytes"}, {"l", nullptr}})})
    EXPECT_FALSE(Plan::parse(bytes)) << bytes.substr(0, 40);
}

TEST(Plan, OneRolloutAtATimeAndShareNeverShrinks) {
  Plan p = *start_rollout({}, "a", 10).plan;
  EXPECT_EQ(p, (Plan{1, 10, "a", {}, 0}));
  EXPECT_FALSE(start_rollout(p, "b", 10).plan) << "another is in progress";
  EXPECT_FALSE(widen(p, 10).plan);
  EXPECT_FALSE(widen(p, 101).plan);
  p = *widen(p, 100).plan;
  EXPECT_FALSE(widen(p, 100).plan);
  EXPECT_FALSE(start_rollout(p, "a", 10).plan) << "all have it";
  EXPECT_FALSE(start_rollout(p, "b", 0).plan);
  EXPECT_FALSE(start_rollout(p, std::string(kMaxTextBytes + 1, 'b'), 10).plan);
  EXPECT_EQ(*start_rollout(p, "b", 10).plan, (Plan{2, 10, "b", "a", 0}));
}

TEST(Plan, RollBackIsIdempotent) {
  Plan p = *start_rollout(Plan{4, 100, "a", {}, 0}, "bad", 30).plan;
  p = *roll_back(p).plan;
  EXPECT_EQ(p, (Plan{6, 100, "a", "a", 0}));
  EXPECT_FALSE(roll_back(p).plan) << "a second roll-back must not return to the bad text";
  EXPECT_FALSE(roll_back({}).plan);
}

RC_GTEST_PROP(Plan, SelectionMatchesShareAndOnlyGrows, ()) {
  auto names = routers(*rc::gen::inRange(1, 60));
  auto number = *rc::gen::inRange<std::uint64_t>(1, 1000);
  auto share = *rc::gen::inRange(1u, 100u), more = *rc::gen::inRange(share, 101u);
  auto some = first_of({number, share, "a", {}, 0}, names);
  auto others = first_of({number, more, "a", {}, 0}, names);
  RC_ASSERT(some.size() == selected_count(share, names.size()));
  RC_ASSERT(others.size() == selected_count(more, names.size()));
  for (const auto& name : some) RC_ASSERT(others.count(name) == 1u);
}

TEST(Plan, EachRolloutSelectsOtherRoutersFirst) {
  auto names = routers(100);
  std::set<std::string> all;
  for (std::uint64_t n = 1; n <= 60; ++n) {
    auto first = first_of({n, 10, "a", {}, 0}, names);
    all.insert(first.begin(), first.end());
  }
  EXPECT_GT(all.size(), 90u);
}

TEST(Adopter, AppliesOneTextAfterTheOther) {
  Adopter a;
  a.set_current("own");
  EXPECT_FALSE(a.next(0)) << "there is no target";
  a.set_target(5, "one", 100);
  EXPECT_FALSE(a.next(99));
  auto job = a.next(100);
  ASSERT_TRUE(job);
  EXPECT_EQ(job->text, "one");
  a.set_target(6, "two", 100);
  EXPECT_FALSE(a.next(200)) << "the first is in progress";
  a.finish(Adopter::End::kAdopted, "", 300, 0);
  EXPECT_EQ(a.current(), label("one"));
  EXPECT_FALSE(a.at_target());
  EXPECT_EQ(a.next(300)->text, "two");
  a.finish(Adopter::End::kAdopted, "", 400, 0);
  EXPECT_TRUE(a.at_target());
  EXPECT_FALSE(a.next(500));
}

TEST(Adopter, RejectsATextOnceAndKeepsTheCurrentOne) {
  Adopter a;
  a.set_target(5, "bad", 0);
  ASSERT_TRUE(a.next(0));
  a.finish(Adopter::End::kRefused, "line 3", 0, 0);
  EXPECT_FALSE(a.next(1'000'000'000));
  EXPECT_EQ(a.current(), "own");
  EXPECT_EQ(a.report()["why"], "line 3");
  a.set_target(6, "good", 0);
  EXPECT_TRUE(a.next(0));
  a.finish(Adopter::End::kAdopted, "", 0, 0);
  a.set_target(7, "bad", 0);
  EXPECT_TRUE(a.next(0)) << "a new version is tried again: what was missing may exist by now";
  a.finish(Adopter::End::kRefused, "line 3", 0, 0);
  a.set_current(label("good"));
  EXPECT_TRUE(a.next(0)) << "the files were read again";
}

TEST(Adopter, RetriesAFailedDiskWithBackoff) {
  Adopter a;
  a.set_target(5, "one", 0);
  Micros now = 0, waited = 0;
  for (int i = 0; i < 12; ++i) {
    ASSERT_TRUE(a.next(now)) << i;
    a.finish(Adopter::End::kFailed, "full", now, 1'000'003ull * static_cast<unsigned>(i));
    Micros from = now;
    while (!a.next(now)) now += 10'000;
    a.finish(Adopter::End::kFailed, "full", now, 0);
    EXPECT_GE(now - from, std::min<Micros>(waited, Adopter::kMaxBackoff));
    EXPECT_LE(now - from, Adopter::kMaxBackoff * 3 / 2 + 10'000);
    waited = now - from;
    now += Adopter::kMaxBackoff;
  }
}

TEST(Adopter, TextChangedByHandIsReplaced) {
  Adopter a;
  a.set_target(5, "one", 0);
  a.next(0);
  a.finish(Adopter::End::kAdopted, "", 0, 0);
  a.set_current(label("somebody's"));
  ASSERT_FALSE(a.at_target());
  EXPECT_EQ(a.next(0)->text, "one");
}

}  // namespace
}  // namespace violetusher::core::ledger
