// Disaster recovery: creates a new group from the disk of one voter after the majority has been
// lost permanently.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/ledger/bytes.hpp"
#include "storage.hpp"

namespace violetusher::ledger {

/// A planned rescue.
struct Rescue {
  std::vector<Op> ops;        ///< to be applied to that disk in one commit
  core::ledger::Json report;  ///< what is kept, and what may be lost
};

/// Plans a rescue from an image. Uses the whole log, also uncommitted entries, since they may have
/// been acknowledged. The group continues under a greater epoch with a single voter, `identity`, at
/// router `name`; others join it. Nothing, with `error` set, if the image is not of a voter.
std::optional<Rescue> plan_rescue(const Image& image, const std::string& name,
                                  std::uint64_t identity, const std::string& fingerprint,
                                  std::string& error);

/// A summary of an image's content, for operators.
core::ledger::Json describe(const Image& image);

}  // namespace violetusher::ledger
