// Audit of a fleet: which router acts on which version of each kind of content, which routers are
// behind, and why. Computed from the status that each router reports, and from the routers that did
// not answer. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::core::audit {

using Micros = std::int64_t;

/// A version that a router acts on. Without numbers, the content that most routers have is the
/// expected one.
struct Version {
  std::uint64_t number = 0;             ///< increases with each version; 0: not numbered
  std::string content;                  ///< a digest or a name that identifies the content
  std::optional<std::string> assigned;  ///< content assigned to this router, if reported
  std::string why;                      ///< the router's own reason for having another
  bool refused = false;                 ///< it can't use the assigned content
};

/// What one router reported, or why it could not be asked.
struct RouterReport {
  std::string router, zone;
  std::string error;                        ///< why it could not be asked; empty if it answered
  bool disk_failed = false;                 ///< the disk of its ledger fails
  Micros age = 0;                           ///< of its view of the ledger; negative: unknown
  std::map<std::string, Version> versions;  ///< by kind: "program", "settings", "file/operator"
};

/// Why a router does not act on the expected version; the most severe first.
enum class Cause {
  kUnreachable,  ///< down or unreachable
  kPartitioned,  ///< it answers, but its view of the ledger is too old
  kDiskFailed,   ///< its disk fails
  kRefused,      ///< it can't use the version
  kInProgress,   ///< it knows the version and is applying it
  kBehind,       ///< it has an older version for no known reason
  kDiffers,      ///< not numbered, and most routers have another content
  kConflict,     ///< the expected number with other content
};
/// The cause as it is shown to operators.
std::string_view name_of(Cause cause);

/// A router that does not act on the expected version.
struct Straggler {
  std::string router, kind;
  std::string actual, expected;  ///< "7 of 4f1c...", or the content alone if not numbered
  Cause cause = Cause::kBehind;
  std::string why;
};

/// The number of routers on each version of one kind, the most frequent first.
struct VersionDistribution {
  std::string kind;
  std::vector<std::pair<std::string, std::size_t>> versions;
};

/// The result of an audit.
struct Audit {
  std::size_t routers = 0, current = 0;
  std::vector<VersionDistribution> distributions;
  std::vector<Straggler> stragglers;  ///< the most severe causes first, then by router
};

/// Audits the fleet. A router whose view of the ledger is older than `max_age` counts as cut off.
Audit audit(const std::vector<RouterReport>& fleet, Micros max_age);

}  // namespace violetusher::core::audit
