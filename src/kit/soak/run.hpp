// One soak run: real daemons under a drawn schedule, judged from outside.
#pragma once

#include <string>
#include <vector>

#include "kit/rehearse/report.hpp"
#include "schedule.hpp"

namespace violetusher::soak {

struct Programs {
  std::string router;         ///< the daemon
  std::string fault_library;  ///< loaded into it
};

struct Finding {
  std::string rule, what;
};

struct RunResult {
  rehearse::Outcome outcome = rehearse::Outcome::kPass;
  std::string headline;
  std::vector<Finding> findings;
  std::uint64_t requests = 0, served = 0;
  std::uint64_t faults = 0;  ///< calls that were made to fail
  std::uint64_t bans = 0;    ///< that were said yes to
  std::string router_logs;   ///< of routers that ended badly
};

/// Plays the schedule. Throws std::runtime_error where the machine gives no socket, thread or
/// process.
RunResult run(const Schedule& schedule, const Programs& programs);

}  // namespace violetusher::soak
