// What the routers that are left hold of the others' last words.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kit/ledger/fleet.hpp"

namespace violetusher::kit {

struct LastKnown {
  std::string by;
  std::int64_t age = 0;  ///< microseconds
  core::ledger::Json said;
};
/// By router, and whether it is of a life that has ended: another disk has come under its name.
using AllKnown = std::map<std::pair<std::string, bool>, LastKnown>;

/// The youngest of each.
AllKnown last_known(const std::vector<Said>& all);

}  // namespace violetusher::kit
