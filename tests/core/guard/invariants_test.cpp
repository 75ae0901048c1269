// Each invariant is reported when it is violated, and only then.
#include "core/guard/invariants.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace violetusher::core {
namespace {

class InvariantTest : public ::testing::Test {
 protected:
  InvariantTest() {
    checker_.on_violation([this](const Violation& v) { violations_.push_back(v); });
  }
  /// Returns the violations reported since the last call.
  std::vector<Invariant> reported() {
    std::vector<Invariant> all;
    for (const Violation& v : std::exchange(violations_, {})) all.push_back(v.invariant);
    return all;
  }
  using Invariants = std::vector<Invariant>;
  InvariantChecker checker_;
  std::vector<Violation> violations_;
};

TEST_F(InvariantTest, AnAllowedAttemptIsNoViolation) {
  checker_.on_attempt_start(
      {.request = 1, .server = "s", .sent_deadline = 1'000'000, .deadline = 1'000'000});
  checker_.on_attempt_start({.request = 1, .server = "s", .hedge = true});
  checker_.on_attempt_start({.request = 1, .server = "s", .hedge = false, .hedges_allowed = false});
  EXPECT_EQ(reported(), Invariants{});
  EXPECT_EQ(checker_.total(), 0u);
}

TEST_F(InvariantTest, EachViolationOfAnAttemptIsReported) {
  checker_.on_attempt_start({.request = 7, .server = "s", .server_available = false});
  EXPECT_EQ(reported(), Invariants{Invariant::kSentToAvailableServer});
  checker_.on_attempt_start({.request = 7, .server = "s", .request_open = false});
  EXPECT_EQ(reported(), Invariants{Invariant::kSentForOpenRequest});
  checker_.on_attempt_start({.request = 7, .server = "s", .hedge = true, .hedges_allowed = false});
  EXPECT_EQ(reported(), Invariants{Invariant::kHedgeAllowed});
  checker_.on_attempt_start({.request = 7, .server = "s", .sent_deadline = 150'001, .deadline = 0});
  EXPECT_EQ(reported(), Invariants{Invariant::kDeadlineNotExtended});
  checker_.on_attempt_start({.request = 7, .server = "s", .sent_deadline = 150'000, .deadline = 0});
  EXPECT_EQ(reported(), Invariants{});
  EXPECT_EQ(checker_.total(), 4u);
}

TEST_F(InvariantTest, ViolationsOfAnswersClosesAndStartsAreReported) {
  checker_.on_final_response(1, true);
  checker_.on_close(CloseReason::kIdle, 0, 0);
  checker_.on_close(CloseReason::kClientClosed, 2, 1);
  checker_.on_close(CloseReason::kStalled, 1, 1);
  checker_.on_start(true);
  EXPECT_EQ(reported(), Invariants{});
  checker_.on_final_response(1, false);
  EXPECT_EQ(reported(), Invariants{Invariant::kSingleFinalAnswer});
  for (CloseReason reason : {CloseReason::kIdle, CloseReason::kEvicted, CloseReason::kBufferLimit,
                             CloseReason::kStopping, CloseReason::kCommandTimeout}) {
    checker_.on_close(reason, 1, 3);
    EXPECT_EQ(reported(), Invariants{Invariant::kAnsweredBeforeClose}) << name_of(reason);
  }
  checker_.on_start(false);
  EXPECT_EQ(reported(), Invariants{Invariant::kBansLoadedBeforeStart});
  EXPECT_EQ(checker_.closes()[static_cast<std::size_t>(CloseReason::kIdle)], 2u);
}

}  // namespace
}  // namespace violetusher::core
