// The router processes of a day: starts them, watches them, applies the scripted restarts and
// kills, and ends them with the rig however it ends. Configurations and logs are memory files
// (memfd), so nothing is left on disk.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"

namespace violetusher::rehearse {

/// Supervises the router processes.
class RouterProcesses {
 public:
  /// The discovery settings of one router.
  struct Told {
    std::string discovery, known;  ///< discovery address, and the initial host list as JSON
  };
  /// `changed` is called with a router and whether the tills may connect to it.
  RouterProcesses(kit::Loop& loop, const Day& day, std::uint64_t seed, std::string program,
                  std::vector<Told> told, kit::History& history,
                  std::function<void(int, bool)> changed);
  /// Kills the routers that still run.
  ~RouterProcesses();

  std::string address(int router) const;
  /// Routers started from now on record to rN.flight in `folder`; empty = no recordings.
  void record(const std::string& folder) { flight_ = folder; }
  /// Sets a source of text that is appended to each router's operator file.
  void operate(std::function<std::string(int)> more) { more_ = std::move(more); }
  /// Sets a source of additional environment variables for each router.
  void surround(std::function<std::vector<std::string>(int)> more) {
    environment_ = std::move(more);
  }
  /// If on, a router that was sent SIGTERM is killed at the earliest time that PROTOCOL allows,
  /// which does not count as a crash: its pending responses are lost. If off, a router that does
  /// not end within a timeout has crashed.
  void kill_at_earliest(bool on) { kill_at_earliest_ = on; }
  /// Applies a fault now; it lasts for fault.until - fault.at.
  void act(const RouterFault& fault);
  /// 0 while the router does not run.
  int pid(int router) const {
    return std::max(processes_[static_cast<std::size_t>(router)].pid, 0);
  }
  /// Starts all routers and waits until each is ready. On failure returns false and sets `error`.
  bool start_all(std::string& error);
  /// Schedules the faults of the day, relative to `origin`, and starts sampling resources.
  void begin(Micros origin);
  /// Sends SIGTERM to all routers, waits for them to end, and kills those that do not.
  void stop_all();
  /// The last bytes of a router's log.
  std::string log(int router) const;
  /// The log lines in which a router reported a violation of one of its own invariants.
  std::vector<std::string> violations() const;
  /// True if a process ended unexpectedly.
  bool crashed() const { return crashed_; }

 private:
  struct Process {
    net::Fd holder;  // a bound socket that reserves the port over restarts; never listens
    int port = 0;
    net::Fd config, log, operator_file;
    std::string operator_text;
    int pid = -1;
    std::size_t life = 0;
    bool expected_end = false;
    bool start_again = false;
    bool cut_off = false;  // killed at the earliest allowed time
    Micros kill_at = 0;
  };
  void spawn(int router);
  std::string config_text(int router) const;
  std::string operator_text(int router) const;
  bool answers(int router) const;
  void reap();
  void watch();
  void sample();
  bool operated() const { return !day_.routers.operator_text.empty() || !flight_.empty() || more_; }
  void until_ready(int router, Micros since);
  Micros ends_within() const;

  kit::Loop& loop_;
  const Day& day_;
  std::uint64_t seed_;
  std::string program_, flight_;
  std::function<std::string(int)> more_;
  std::function<std::vector<std::string>(int)> environment_;
  std::vector<Told> told_;
  kit::History& history_;
  std::function<void(int, bool)> changed_;
  std::vector<Process> processes_;
  std::uint64_t starts_ = 0;
  bool crashed_ = false, ending_ = false, kill_at_earliest_ = false;
};

}  // namespace violetusher::rehearse
