// A new group from what one keeper's disk still has, for when the majority is lost for good.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/ledger/bytes.hpp"
#include "storage.hpp"

namespace violetusher::ledger {

struct Rescue {
  std::vector<Op> ops;        ///< to be committed to that disk, all at once
  core::ledger::Json report;  ///< what is kept, and what may be lost
};

/// All of the image's log counts, also what was never agreed on: it may have been promised. The
/// group goes on under a greater epoch with one keeper, `identity`, at the router `name`; others
/// join it. Nothing, with `error`, where the image is no keeper's.
std::optional<Rescue> plan_rescue(const Image& image, const std::string& name,
                                  std::uint64_t identity, const std::string& fingerprint,
                                  std::string& error);

/// What an image holds, for people.
core::ledger::Json describe(const Image& image);

}  // namespace violetusher::ledger
