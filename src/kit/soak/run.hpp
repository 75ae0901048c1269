// One soak run: real daemons under a random schedule, checked from outside.
#pragma once

#include <string>
#include <vector>

#include "kit/rehearse/report.hpp"
#include "schedule.hpp"

namespace violetusher::soak {

/// Paths of the files that a run executes.
struct Programs {
  std::string router;         ///< the daemon
  std::string fault_library;  ///< loaded into the daemon
  std::string log_folder;     ///< each router's log goes there; empty: nowhere
};

/// A violated rule.
struct Finding {
  std::string rule, what;
};

/// The outcome of a run and its counts.
struct RunResult {
  rehearse::Outcome outcome = rehearse::Outcome::kPass;
  std::string headline;
  std::vector<Finding> findings;
  std::uint64_t requests = 0, served = 0;
  std::uint64_t faults = 0;         ///< injected faults
  std::uint64_t bans = 0;           ///< bans that a router accepted
  std::uint64_t slow_sessions = 0;  ///< connections of slow clients that ended by themselves
  std::string router_logs;          ///< logs of routers that exited abnormally
};

/// Runs the schedule. Throws std::runtime_error if a socket, thread or process can't be created.
RunResult run(const Schedule& schedule, const Programs& programs);

}  // namespace violetusher::soak
