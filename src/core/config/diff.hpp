// Differences in effect between two versions of a configuration, and the route that a request
// takes.
#pragma once

#include <string>
#include <vector>

#include "core/route/route_table.hpp"
#include "model.hpp"

namespace violetusher::core::config {

/// One difference in effect.
struct Change {
  std::string kind;     ///< "route", "pool", "limit", "budget", "class", "tenant", "listener",
                        ///< "recorder"
  std::string subject;  ///< what is affected: "class price-lookup, prefix \"a\""
  std::string what;     ///< "goes to pool b instead of a"
  RouteMatch match;     ///< of kind "route": the requests that are affected
};

/// Empty if nothing changes in effect: renamed limits, budgets, routes and pools, the order of
/// sections, and formatting are not differences.
std::vector<Change> diff(const Model& before, const Model& after);

/// The routes of a model as a table, whose numbers are indexes into `names`.
struct Routing {
  explicit Routing(const Model& model);
  /// The route's name, or nullptr.
  const std::string* find(const RouteRequest& request) const;
  std::vector<std::string> names;
  std::vector<RouteMatch> matches;
  RouteTable table;
};

/// The effect of a route on a request, without names: members of its pools, fallbacks, limits and
/// budget.
std::string effect_of(const Model& model, const std::string* route);

/// A readable description of the requests that match.
std::string subject_of(const RouteMatch& match);

/// A readable step-by-step explanation of the route taken.
std::string explain(const Model& model, const RouteRequest& request);

}  // namespace violetusher::core::config
