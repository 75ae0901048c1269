// Which router acts on which version of what, and who is behind and why: worked out of what each
// router says of itself and of who said nothing. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::core::audit {

using Micros = std::int64_t;

/// One version that a router acts on. Where there is no number, what most have counts as the one
/// that all should have.
struct Version {
  std::uint64_t number = 0;  ///< only grows; 0: there is none
  std::string content;       ///< a digest or a name; equal where the content is
  std::optional<std::string>
      assigned;          ///< the content that this router is to have, where it is told
  std::string why;       ///< of its own: why it has another
  bool refused = false;  ///< it can't use what is wanted
};

struct RouterReport {
  std::string router, zone;
  std::string error;         ///< why it could not be asked; empty where it answered
  bool disk_failed = false;  ///< of its ledger
  Micros age = 0;            ///< of what it knows of the fleet; negative: it does not know
  std::map<std::string, Version> versions;  ///< by kind: "program", "settings", "file/operator"
};

enum class Cause {
  kUnreachable,  ///< down, or not to be reached
  kPartitioned,  ///< it answers, and has heard nothing of the fleet for too long
  kDiskFailed,   ///< its disk takes nothing
  kRefused,      ///< it can't use the version
  kInProgress,   ///< it knows of the version and is coming to it
  kBehind,       ///< it has an older one, and nothing says why
  kDiffers,      ///< no number tells which is newer; most have another
  kConflict,     ///< the number is the one of most, the content is not
};
std::string_view name_of(Cause cause);

struct Straggler {
  std::string router, kind;
  std::string actual, expected;  ///< "7 of 4f1c...", or the content alone
  Cause cause = Cause::kBehind;
  std::string why;
};

/// Of one kind: how many act on what, the most frequent first.
struct VersionDistribution {
  std::string kind;
  std::vector<std::pair<std::string, std::size_t>> versions;
};

struct Audit {
  std::size_t routers = 0, current = 0;
  std::vector<VersionDistribution> distributions;
  std::vector<Straggler> stragglers;  ///< the gravest causes first, then by router
};

/// `max_age`: how old a router's knowledge of the fleet may be.
Audit audit(const std::vector<RouterReport>& fleet, Micros max_age);

}  // namespace violetusher::core::audit
