// New settings while running: which are good, and what binds while clients change over.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::core::ops {

/// How long after new settings requests may still come by the old ones, and by the new ones
/// already: clients name new classes 1.2 s after SIGHUP (DAYS).
constexpr Micros kSettingsTransition = 1'500'000;

/// The first path of `shape` that `paths` lacks, or an empty text. Numbers in paths are places in
/// lists and stand for any place: each entry of a list in `paths` must have all that each entry of
/// it in `shape` has.
std::string missing_path(const std::vector<std::string>& shape,
                         const std::vector<std::string>& paths);

/// What is wrong with settings, at the start or to be taken over while running; empty where nothing
/// is.
std::string settings_error(const Settings& settings);

/// What binds while both are about: the tenants and the classes of both, `to`'s first, each with
/// the stricter of the two rules on repeats, the longer deadline, and the smaller number of
/// attempts.
Settings strictest_of(const Settings& from, const Settings& to);

}  // namespace violetusher::core::ops
