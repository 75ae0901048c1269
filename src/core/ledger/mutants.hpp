// Faults that tests inject into the ledger's code to check that the tests detect them (mutation
// testing). In production builds mutant() is a constant false and the faults are compiled out; only
// test builds define VIOLETUSHER_MUTANTS.
#pragma once

namespace violetusher::core::ledger {

/// The faults that can be injected.
enum class Mutant {
  kNone,
  kRepeatAppliedTwice,     ///< a repeated call takes effect again
  kFollowerGoesBack,       ///< a follower accepts any state, also an older one
  kAnswersBeforeCommit,    ///< the leader confirms a call once it is in its own log
  kOldDiskTrusted,         ///< the rejoin check after a start is skipped
  kFloorIgnored,           ///< votes without having caught up to the rejoin check's floor
  kVoteForgotten,          ///< the vote is not loaded at a start
  kAcknowledgeBeforeSync,  ///< appended entries are reported as stored before they are
  kSnapshotLosesIndex,     ///< a snapshot claims to end one entry later than it does
  kTrimBeforeSnapshot,     ///< the log is trimmed before its snapshot is on the disk
  kIdentityOutlivesDisk,   ///< a voter that lost its disk continues under the old identity
  kReadsOwnState,          ///< a voter answers reads from its own state without the log
  kViewForgotten,          ///< a follower's view is not loaded at a start
  kShareIgnored,           ///< a roll-out reaches all routers at once
  kFilesNotRead,           ///< after a start a router's file counts as its own without being read
  kTakenMeansWanted,       ///< a finished job counts as the text that is assigned by now
};

/// Whether fault `m` is injected; at most one is at a time.
#ifdef VIOLETUSHER_MUTANTS
inline Mutant planted = Mutant::kNone;
inline bool mutant(Mutant m) { return planted == m; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace violetusher::core::ledger
