// The schedule of a day: every first try of every till, worked out from the seed alone before
// anything starts. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "day.hpp"

namespace violetusher::rehearse {

struct PlannedRequest {
  Micros at = 0;  ///< intended time of day
  int type = 0, banner = 0, hall = 0;
  std::string key;
  std::string idempotency;  ///< of a keyed class
  Micros hint = 0;          ///< `h`: the till's guess at the work
  bool direct = false;
};

struct Plan {
  std::uint64_t seed = 0;
  std::vector<PlannedRequest> requests;
};

Plan make_plan(const Day& day, std::uint64_t seed);

/// The factor on the rate at a time of day: of the shapes of one banner, or with -1 of those of
/// all.
double rate_factor(const Tills& tills, Micros at, int banner = -1);

/// One JSON line for each request, without its end; what a played day's log is held against.
std::string plan_line(const Day& day, const Plan& plan, std::size_t request);
/// A hash of all lines; equal plans have equal hashes.
std::uint64_t plan_hash(const Day& day, const Plan& plan);

}  // namespace violetusher::rehearse
