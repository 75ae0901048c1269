// Each fault that can be planted in the ledger's code is found by the schedules that anybody can
// play, within a stated number of them.
#include "core/ledger/mutants.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kit/chaos/world.hpp"

namespace violetusher::chaos {
namespace {

using core::ledger::Mutant;
using core::ledger::planted;  // NOLINT: set in the child

struct Case {
  const char* name;
  Mutant mutant;
  int first, within;  // seeds from `first` on
};

class Planted : public testing::TestWithParam<Case> {};

/// In a process of its own: what a fault makes of a disk may end the library that reads it, and
/// that is found as well.
bool found(Mutant mutant, int seed) {
  pid_t child = ::fork();
  if (child == 0) {
    planted = mutant;
    ::_exit(simulate(draw(static_cast<std::uint64_t>(seed))).findings.empty() ? 0 : 1);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return status != 0;
}

TEST_P(Planted, IsFoundWithinItsSchedules) {
  int seed = GetParam().first, end = seed + GetParam().within;
  while (seed < end && !found(GetParam().mutant, seed)) ++seed;
  EXPECT_LT(seed, end) << "lived through " << GetParam().within << " schedules";
}

INSTANTIATE_TEST_SUITE_P(
    Ledger, Planted,
    testing::Values(Case{"RepeatAppliedTwice", Mutant::kRepeatAppliedTwice, 1, 40},
                    Case{"FollowerGoesBack", Mutant::kFollowerGoesBack, 1, 40},
                    Case{"AnswersBeforeCommit", Mutant::kAnswersBeforeCommit, 1, 40},
                    Case{"OldDiskTrusted", Mutant::kOldDiskTrusted, 1, 40},
                    Case{"AcknowledgeBeforeSync", Mutant::kAcknowledgeBeforeSync, 1, 40},
                    Case{"SnapshotLosesIndex", Mutant::kSnapshotLosesIndex, 1, 40},
                    Case{"TrimBeforeSnapshot", Mutant::kTrimBeforeSnapshot, 1, 40},
                    Case{"IdentityOutlivesDisk", Mutant::kIdentityOutlivesDisk, 1, 40},
                    Case{"ReadsOwnState", Mutant::kReadsOwnState, 1, 40},
                    Case{"ViewForgotten", Mutant::kViewForgotten, 1, 40}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace violetusher::chaos
