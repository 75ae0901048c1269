// Settings updates at run time: validation, and the settings in force during the transition.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::core::ops {

/// How long after a settings update requests may still follow the old settings, and already the new
/// ones: clients use new classes 1.2 s after SIGHUP (DAYS).
constexpr Micros kSettingsTransition = 1'500'000;

/// Returns the first path of `shape` that `paths` lacks, or an empty string. Numbers in paths are
/// list indices and match any index: each entry of a list in `paths` must have everything that all
/// entries of that list in `shape` have. What only some of them have may be absent.
std::string missing_path(const std::vector<std::string>& shape,
                         const std::vector<std::string>& paths);

/// Returns what is wrong with settings, at the start or of an update; empty if nothing is.
std::string settings_error(const Settings& settings);

/// Merges the settings of a transition: the tenants and classes of both, `to`'s first, each with
/// the stricter of the two rules on repeats, the longer deadline, the smaller number of
/// attempts, and a second one beside the first only where both allow it.
Settings strictest_of(const Settings& from, const Settings& to);

}  // namespace violetusher::core::ops
