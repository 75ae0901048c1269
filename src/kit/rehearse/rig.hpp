// Plays a day: stand-ins and tills on a thread each, the routers' processes on the caller's.
#pragma once

#include <functional>
#include <string>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "plan.hpp"
#include "routers.hpp"

namespace violetusher::rehearse {

struct RigFigures {
  kit::Lateness tills;     ///< from the intended to the real moment of sending
  kit::Lateness standins;  ///< of the stand-ins' timers
  std::uint64_t out_of_sockets = 0;
  bool interrupted = false;
  std::string trouble;  ///< why nothing can be judged; empty where all is well
};

struct Played {
  kit::History history;
  RigFigures rig;
  std::string router_logs;              ///< the last of what each wrote, where one ended badly
  std::string not_started;              ///< a router that did not come up, which is a verdict
  std::vector<std::string> violations;  ///< of invariants, as routers told of them; a verdict too
};

struct RigOptions {
  std::string router;             ///< the program
  bool progress = true;           ///< on standard error
  bool kill_at_earliest = false;  ///< see RouterProcesses
  std::string flight;             ///< a folder for the routers' recordings; empty = none are made
  /// What each router's operator file has besides the day's; empty = nothing.
  std::function<std::string(int router)> operator_more;
  /// More for its environment, as NAME=VALUE.
  std::function<std::vector<std::string>(int router)> environment;
  /// Called before the routers start, with the loop of their processes, and once that has run.
  std::function<void(kit::Loop& loop)> before;
  std::function<void()> after;
  /// Called on that loop as the day begins, for whoever plays something beside it.
  std::function<void(kit::Loop& loop, RouterProcesses& routers, Micros origin)> beside;
};

/// Plays `plan` and ends all it has started. Throws std::runtime_error where the machine gives no
/// socket, thread or process: nothing can be judged then.
Played play(const Day& day, const Plan& plan, const RigOptions& options);

}  // namespace violetusher::rehearse
