// Each invariant is told when it is broken, and only then.
#include "core/guard/invariants.hpp"

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
  InvariantChecker guard_;
  std::vector<Violation> told_;
};

TEST_F(GuardTest, AnAttemptThatMayBeginIsNoViolation) {
  guard_.on_attempt_start(
      {.request = 1, .server = "s", .sent_deadline = 1'000'000, .deadline = 1'000'000});
  guard_.on_attempt_start({.request = 1, .server = "s", .hedge = true});
  guard_.on_attempt_start({.request = 1, .server = "s", .hedge = false, .hedges_allowed = false});
  EXPECT_EQ(told(), Told{});
  EXPECT_EQ(guard_.total(), 0u);
}

TEST_F(GuardTest, EachBrokenInvariantOfAnAttemptIsToldByName) {
  guard_.on_attempt_start({.request = 7, .server = "s", .server_available = false});
  EXPECT_EQ(told(), Told{Invariant::kSentToWanted});
  guard_.on_attempt_start({.request = 7, .server = "s", .request_open = false});
  EXPECT_EQ(told(), Told{Invariant::kSentForOpen});
  guard_.on_attempt_start({.request = 7, .server = "s", .hedge = true, .hedges_allowed = false});
  EXPECT_EQ(told(), Told{Invariant::kOneCopy});
  guard_.on_attempt_start({.request = 7, .server = "s", .sent_deadline = 150'001, .deadline = 0});
  EXPECT_EQ(told(), Told{Invariant::kTimeTold});
  guard_.on_attempt_start({.request = 7, .server = "s", .sent_deadline = 150'000, .deadline = 0});
  EXPECT_EQ(told(), Told{});
  EXPECT_EQ(guard_.total(), 4u);
}

TEST_F(GuardTest, AnswersClosesAndStarts) {
  guard_.on_final_response(1, true);
  guard_.on_close(CloseReason::kIdle, 0, 0);
  guard_.on_close(CloseReason::kClientClosed, 2, 1);
  guard_.on_close(CloseReason::kStalled, 1, 1);
  guard_.on_start(true);
  EXPECT_EQ(told(), Told{});
  guard_.on_final_response(1, false);
  EXPECT_EQ(told(), Told{Invariant::kOneAnswer});
  for (CloseReason reason : {CloseReason::kIdle, CloseReason::kEvicted, CloseReason::kBufferLimit,
                             CloseReason::kStopping, CloseReason::kCommandTimeout}) {
    guard_.on_close(reason, 1, 3);
    EXPECT_EQ(told(), Told{Invariant::kAnsweredBeforeClose}) << name_of(reason);
  }
  guard_.on_start(false);
  EXPECT_EQ(told(), Told{Invariant::kBansBeforeStart});
  EXPECT_EQ(guard_.closes()[static_cast<std::size_t>(CloseReason::kIdle)], 2u);
}

}  // namespace
}  // namespace violetusher::core
