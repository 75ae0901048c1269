// Each invariant is told when it is broken, and only then.
#include "core/guard/guard.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace violetusher::core {
namespace {

class GuardTest : public ::testing::Test {
 protected:
  GuardTest() {
    guard_.on_violation([this](const Violation& v) { told_.push_back(v); });
  }
  /// What has been told since the last call.
  std::vector<Invariant> told() {
    std::vector<Invariant> all;
    for (const Violation& v : std::exchange(told_, {})) all.push_back(v.invariant);
    return all;
  }
  using Told = std::vector<Invariant>;
  Guard guard_;
  std::vector<Violation> told_;
};

TEST_F(GuardTest, AnAttemptThatMayBeginIsNoViolation) {
  guard_.begin({.request = 1, .server = "s", .told_until = 1'000'000, .deadline = 1'000'000});
  guard_.begin({.request = 1, .server = "s", .copy = true});
  guard_.begin({.request = 1, .server = "s", .copy = false, .copies_allowed = false});
  EXPECT_EQ(told(), Told{});
  EXPECT_EQ(guard_.total(), 0u);
}

TEST_F(GuardTest, EachBrokenInvariantOfAnAttemptIsToldByName) {
  guard_.begin({.request = 7, .server = "s", .wanted = false});
  EXPECT_EQ(told(), Told{Invariant::kSentToWanted});
  guard_.begin({.request = 7, .server = "s", .open = false});
  EXPECT_EQ(told(), Told{Invariant::kSentForOpen});
  guard_.begin({.request = 7, .server = "s", .copy = true, .copies_allowed = false});
  EXPECT_EQ(told(), Told{Invariant::kOneCopy});
  guard_.begin({.request = 7, .server = "s", .told_until = 150'001, .deadline = 0});
  EXPECT_EQ(told(), Told{Invariant::kTimeTold});
  guard_.begin({.request = 7, .server = "s", .told_until = 150'000, .deadline = 0});
  EXPECT_EQ(told(), Told{});
  EXPECT_EQ(guard_.total(), 4u);
}

TEST_F(GuardTest, AnswersClosesAndStarts) {
  guard_.answer(1, true);
  guard_.close(CloseReason::kIdle, 0, 0);
  guard_.close(CloseReason::kClientGone, 2, 1);
  guard_.close(CloseReason::kStalled, 1, 1);
  guard_.start(true);
  EXPECT_EQ(told(), Told{});
  guard_.answer(1, false);
  EXPECT_EQ(told(), Told{Invariant::kOneAnswer});
  for (CloseReason reason : {CloseReason::kIdle, CloseReason::kRoom, CloseReason::kBuffers,
                             CloseReason::kStopping, CloseReason::kCommandTime}) {
    guard_.close(reason, 1, 3);
    EXPECT_EQ(told(), Told{Invariant::kAnsweredBeforeClose}) << name_of(reason);
  }
  guard_.start(false);
  EXPECT_EQ(told(), Told{Invariant::kBansBeforeStart});
  EXPECT_EQ(guard_.closes()[static_cast<std::size_t>(CloseReason::kIdle)], 2u);
}

}  // namespace
}  // namespace violetusher::core
