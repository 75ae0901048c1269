// Which share of keys another server would get by a new version of an operator file, given the list
// of servers: worked out by the decision module's own home of each key.
#pragma once

#include <string>
#include <vector>

#include "diff.hpp"
#include "violetusher/balancer.hpp"

namespace violetusher::core::config {

struct MovedKeys {
  RouteMatch match;           ///< the widest requests that go this way
  std::string before, after;  ///< pools; empty = no route
  double share = 0;           ///< of keys whose server differs, 0 to 1
  double nobody = 0;          ///< of keys that have none afterwards, 0 to 1
};

/// For every two pools that requests go to before and after, the share of `keys` sample keys that
/// move, where any does. Draining servers of the list get no keys, as in the router.
std::vector<MovedKeys> moved_keys(const Model& before, const Model& after,
                                  const std::vector<Server>& list, int keys);

}  // namespace violetusher::core::config
