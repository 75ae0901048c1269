#include <gtest/gtest.h>

#include "kit/chaos/history.hpp"
#include "kit/chaos/schedule.hpp"
#include "kit/common/random.hpp"

namespace violetusher::chaos {
namespace {

using Kind = Operation::Kind;
using End = Operation::End;

Operation op(int client, Kind kind, const std::string& text, std::uint64_t version, Micros asked,
             Micros answered, End end = End::kDone, std::int64_t expect = Operation::kAny) {
  return {client, kind, "value/a", text, expect, version, asked, answered, end, {}};
}

bool explained(std::vector<Operation> ops) {
  bool judged = false;
  History history;
  history.operations = std::move(ops);
  bool good = check_order(history, judged).empty();
  EXPECT_TRUE(judged);
  return good;
}

TEST(ChaosChecker, ReadsSeeTheLastWriteThatWasAnswered) {
  EXPECT_TRUE(explained({op(1, Kind::kPut, "x", 1, 0, 10), op(2, Kind::kGet, "x", 1, 11, 12)}));
  EXPECT_FALSE(explained({op(1, Kind::kPut, "x", 1, 0, 10), op(2, Kind::kGet, "", 0, 11, 12)}));
  EXPECT_FALSE(explained({op(1, Kind::kPut, "x", 1, 0, 10), op(1, Kind::kPut, "y", 2, 11, 20),
                          op(2, Kind::kGet, "x", 1, 21, 22)}))
      << "an old read";
  EXPECT_TRUE(explained({op(1, Kind::kPut, "x", 1, 0, 10), op(1, Kind::kPut, "y", 2, 11, 20),
                         op(2, Kind::kGet, "x", 1, 15, 22), op(2, Kind::kGet, "y", 2, 23, 24)}));
  EXPECT_FALSE(explained({op(1, Kind::kPut, "x", 1, 0, 10), op(1, Kind::kPut, "y", 2, 11, 40),
                          op(2, Kind::kGet, "y", 2, 15, 22), op(3, Kind::kGet, "x", 1, 23, 24)}))
      << "seen, and then not there";
}

TEST(ChaosChecker, WhatNobodyAnsweredMayHaveHappenedOnceAtAnyLaterTime) {
  auto lost = op(1, Kind::kPut, "x", 0, 0, 10, End::kUnknown);
  EXPECT_TRUE(explained({lost, op(2, Kind::kGet, "", 0, 11, 12)}));
  EXPECT_TRUE(
      explained({lost, op(2, Kind::kGet, "", 0, 11, 12), op(2, Kind::kGet, "x", 5, 13, 14)}));
  EXPECT_FALSE(explained({lost, op(2, Kind::kGet, "x", 5, 11, 12),
                          op(2, Kind::kPut, "y", 6, 13, 14), op(2, Kind::kGet, "x", 5, 15, 16)}))
      << "twice";
}

TEST(ChaosChecker, AComparedWriteHoldsToItsVersion) {
  auto first = op(1, Kind::kPut, "x", 1, 0, 10), second = op(1, Kind::kPut, "y", 2, 11, 20);
  EXPECT_FALSE(explained({first, second, op(2, Kind::kPut, "z", 3, 21, 22, End::kDone, 1)}));
  EXPECT_TRUE(explained({first, second, op(2, Kind::kPut, "z", 2, 21, 22, End::kConflict, 1)}));
  EXPECT_FALSE(explained({first, op(2, Kind::kPut, "z", 1, 21, 22, End::kConflict, 1)}))
      << "refused for the version that stood";
  EXPECT_FALSE(explained({first, op(2, Kind::kPut, "z", 1, 21, 22)})) << "one version, two texts";
}

TEST(ChaosChecker, AVersionThatNobodyReadMayBeAnyOfThoseWithoutOne) {
  auto lost = op(1, Kind::kPut, "x", 0, 0, 10, End::kUnknown);
  auto refused = op(2, Kind::kPut, "y", 7, 11, 12, End::kConflict, 0);
  EXPECT_TRUE(explained({lost, refused, op(2, Kind::kPut, "z", 8, 13, 14, End::kDone, 7)}));
  EXPECT_FALSE(explained({refused, op(2, Kind::kGet, "", 0, 13, 14)})) << "of nobody's writing";
}

TEST(ChaosChecker, RoutersAreSeenToGoBackAndToPart) {
  History h;
  h.sights = {{"r1", 0, 1, 5, 55, 0}, {"r1", 1, 1, 6, 66, 0}, {"r2", 2, 1, 6, 66, 0}};
  EXPECT_TRUE(check_sights(h).empty());
  h.sights.push_back({"r1", 3, 1, 4, 44, 1});  // with another disk
  EXPECT_TRUE(check_sights(h).empty());
  h.sights.push_back({"r1", 4, 1, 3, 33, 1});
  EXPECT_EQ(check_sights(h).at(0).rule, "back");
  h.sights.back() = {"r2", 4, 1, 6, 67, 1};
  EXPECT_EQ(check_sights(h).at(0).rule, "split");
}

TEST(ChaosSchedule, IsReadAsItIsWritten) {
  Schedule s = draw(12);
  EXPECT_EQ(text_of(parse_schedule(text_of(s))), text_of(s));
  EXPECT_EQ(text_of(draw(12)), text_of(s));
  for (const char* bad : {"kill 5 1 r1 r2", "kill 1 5 r1", "kill 1 5 r9 r1", "fall 1 2 r1 r2",
                          "routers many", "seed 1 2", "kill 1 5 r99999999999 r1"})
    EXPECT_THROW(parse_schedule(bad), std::runtime_error) << bad;
}

/// Guards against draws whose order the compiler chooses, which would differ between machines.
TEST(ChaosSchedule, ASeedNamesTheSameScheduleOnEveryMachine) {
  std::uint64_t hash = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    for (const Schedule& s : {draw(seed), draw_more(seed), draw_losses(seed, 5)})
      hash = kit::hash_of(text_of(s), hash);
  EXPECT_EQ(hash, 1148446120728711839u);
}

/// A step of a roll-out at `version`, asked at once and answered.
Operation step(std::uint64_t version, unsigned share, const std::string& next,
               const std::string& last, End end = End::kDone, Kind kind = Kind::kPut) {
  auto at = static_cast<Micros>(version);
  return {1,       kind, "file/operator", "",  Operation::kAny,
          version, at,   at + 1,          end, Operation::Roll{share, next, last}};
}

std::vector<std::string> rules(std::vector<Operation> steps, std::vector<Take> takes,
                               bool settled = true) {
  History history;
  history.operations = std::move(steps);
  history.takes = std::move(takes);
  std::vector<std::string> rules;
  for (const Finding& f : check_rollouts(history, 4, settled)) rules.push_back(f.rule);
  return rules;
}
using Rules = std::vector<std::string>;

TEST(ChaosChecker, NoMoreActOnATextThanWereAskedFor) {
  Operation some = step(10, 25, "a", kOwn), all = step(20, 100, "a", kOwn);
  EXPECT_EQ(rules({some}, {{"r1", 15, "a"}}), Rules{});
  EXPECT_EQ(rules({some}, {{"r1", 15, "a"}, {"r2", 16, "a"}}), Rules{"share"});
  EXPECT_EQ(rules({some, all}, {{"r1", 15, "a"}, {"r2", 21, "a"}}), Rules{});
  EXPECT_EQ(rules({some}, {{"r1", 15, "a"}, {"r1", 16, kOwn}, {"r2", 17, "a"}}), Rules{});
  EXPECT_EQ(rules({some}, {{"r1", 9, "a"}}), Rules{"share"}) << "before anybody asked";
  EXPECT_EQ(rules({step(10, 25, "a", kOwn, End::kConflict)}, {{"r1", 15, "a"}}), Rules{"share"});
  EXPECT_EQ(rules({step(10, 25, "a", kOwn, End::kUnknown)}, {{"r1", 15, "a"}}), Rules{});
  EXPECT_EQ(rules({step(10, 100, "bad a", kOwn)}, {{"r1", 15, "bad a"}}), Rules{"bad-text"});
}

TEST(ChaosChecker, RollOutsComeOneAtATime) {
  Operation a = step(10, 25, "a", kOwn), b = step(20, 25, "b", "a");
  EXPECT_EQ(rules({a, b}, {}), Rules{"one-at-a-time"});
  EXPECT_EQ(rules({a, step(15, 100, "a", kOwn), b}, {}), Rules{});
  EXPECT_EQ(rules({a, step(20, 100, kOwn, kOwn)}, {}), Rules{}) << "taken back";
  EXPECT_EQ(rules({a, step(15, 100, "a", kOwn, End::kUnknown), b}, {}), Rules{});
}

TEST(ChaosChecker, InTheEndEachShareIsAsItWasLastRead) {
  Operation put = step(10, 50, "a", kOwn), read = step(10, 50, "a", kOwn, End::kDone, Kind::kGet);
  std::vector<Take> two{{"r1", 15, "a"}, {"r2", 16, "a"}};
  EXPECT_EQ(rules({put, read}, two), Rules{});
  EXPECT_EQ(rules({put, read}, {{"r1", 15, "a"}}), Rules{"end"});
  EXPECT_EQ(rules({put, read}, {{"r1", 15, "a"}}, false), Rules{});
  Operation back = step(20, 100, kOwn, kOwn, End::kDone, Kind::kGet);
  EXPECT_EQ(rules({put, back}, two), Rules{"end"});
}

}  // namespace
}  // namespace violetusher::chaos
