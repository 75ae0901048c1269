// The request schedule of a day: the first try of every request, drawn from the seed alone before
// anything starts. No I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "day.hpp"

namespace violetusher::rehearse {

struct PlannedRequest {
  Micros at = 0;  ///< intended send time, from the start of the day
  int type = 0, tenant = 0, hall = 0;
  std::string key;
  std::string idempotency;  ///< idempotency key; only in a keyed class
  Micros hint = 0;          ///< the till's estimate of the work, sent as `h`
  bool direct = false;      ///< sent straight to a price cache
};

struct Plan {
  std::uint64_t seed = 0;
  std::vector<PlannedRequest> requests;
};

/// Draws the schedule. The same day and seed give the same plan.
Plan make_plan(const Day& day, std::uint64_t seed);

/// The factor on the request rate at a time of day: from the entries for one tenant, or with -1
/// from those that apply to all tenants.
double rate_factor(const Tills& tills, Micros at, int tenant = -1);

/// One request as a line of JSON, without the newline. A played day logs its requests in this form.
std::string plan_line(const Day& day, const Plan& plan, std::size_t request);
/// A hash over the lines of all requests, to compare plans.
std::uint64_t plan_hash(const Day& day, const Plan& plan);

}  // namespace violetusher::rehearse
