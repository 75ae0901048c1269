// The test rig: plays a day with the stand-ins and the tills on a thread each, and the router
// processes on the calling thread.
#pragma once

#include <functional>
#include <string>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "plan.hpp"
#include "routers.hpp"

namespace violetusher::rehearse {

/// How well the rig kept its own schedule.
struct RigFigures {
  kit::Lateness tills;               ///< from the intended to the actual send time
  kit::Lateness standins;            ///< of the stand-ins' timers
  std::uint64_t out_of_sockets = 0;  ///< connections that the tills could not open
  bool interrupted = false;
  std::string trouble;  ///< why the result is inconclusive; empty if it is not
};

/// Everything recorded while a day was played.
struct Played {
  kit::History history;
  RigFigures rig;
  std::string router_logs;  ///< the last log lines of each router, if one crashed or did not start
  std::string not_started;  ///< why a router did not start, which fails the day; else empty
  std::vector<std::string>
      violations;  ///< invariant violations that routers logged; they fail the day too
};

struct RigOptions {
  std::string router;             ///< path of the router program
  bool progress = true;           ///< print progress on standard error
  bool kill_at_earliest = false;  ///< see RouterProcesses
  std::string flight;             ///< folder for flight recordings; empty = no recordings
  /// Text appended to each router's operator file; empty = none.
  std::function<std::string(int router)> operator_more;
  /// Additional environment variables of each router, as NAME=VALUE.
  std::function<std::vector<std::string>(int router)> environment;
  /// Called before the routers start, with the loop that runs their processes, and after that loop
  /// has ended.
  std::function<void(kit::Loop& loop)> before;
  std::function<void()> after;
  /// Called on that loop when the day begins, to schedule further actions.
  std::function<void(kit::Loop& loop, RouterProcesses& routers, Micros origin)> beside;
};

/// Plays `plan` and ends everything it started. Throws std::runtime_error when a socket, thread or
/// process cannot be created; the result is inconclusive then.
Played play(const Day& day, const Plan& plan, const RigOptions& options);

}  // namespace violetusher::rehearse
