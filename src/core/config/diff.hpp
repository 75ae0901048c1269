// What two versions of a configuration would do differently, and which route one request takes.
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
  std::string subject;  ///< whom it is about: "class price-lookup, prefix \"a\""
  std::string what;     ///< "goes to pool b instead of a"
  RouteMatch match;     ///< of kind "route": the requests that are concerned
};

/// Empty where nothing changes in effect: names of limits, budgets, routes and pools that are only
/// renamed, orders and ways of writing don't count.
std::vector<Change> diff(const Model& before, const Model& after);

/// The routes of a model as a table; numbers are places in `names`.
struct Routing {
  explicit Routing(const Model& model);
  /// The route's name, or nullptr.
  const std::string* find(const RouteRequest& request) const;
  std::vector<std::string> names;
  std::vector<RouteMatch> matches;
  RouteTable table;
};

/// What becomes of a request by a route, free of names: pool's members, fallbacks, limits, budget.
std::string effect_of(const Model& model, const std::string* route);

/// Whom a match is about, for people.
std::string subject_of(const RouteMatch& match);

/// The route taken, step by step, for people.
std::string explain(const Model& model, const RouteRequest& request);

}  // namespace violetusher::core::config
