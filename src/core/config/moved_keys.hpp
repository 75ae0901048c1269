// The share of keys that a new version of an operator file moves to another server, for a given
// host list, computed with the decision module's preferred server of each key.
#pragma once

#include <string>
#include <vector>

#include "diff.hpp"
#include "violetusher/balancer.hpp"

namespace violetusher::core::config {

/// The keys that move between two pools.
struct MovedKeys {
  RouteMatch match;           ///< the least specific match with this change
  std::string before, after;  ///< pools; empty = no route
  double share = 0;           ///< fraction of keys whose server differs, 0 to 1
  double nobody = 0;          ///< fraction of keys without a server afterwards, 0 to 1
};

/// For each pair of pools that requests go to before and after: the share of `keys` sample keys
/// that move, if any do. Draining servers get no keys, as in the router.
std::vector<MovedKeys> moved_keys(const Model& before, const Model& after,
                                  const std::vector<Server>& list, int keys);

}  // namespace violetusher::core::config
