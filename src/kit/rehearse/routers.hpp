// The router processes of a day: starts them, watches them, applies the scripted restarts and
// kills, and ends them with the rig however it ends. Configurations and logs are memory files
// (memfd); the state of routers that are replaced is in a folder that is removed at the end.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "kit/common/reserved_port.hpp"
#include "kit/common/temporary_directory.hpp"

namespace violetusher::rehearse {

/// Supervises the router processes.
class RouterProcesses {
 public:
  /// The discovery settings of one router.
  struct DiscoveryInfo {
    std::string address, initial_hosts;  ///< discovery address, and the initial host list as JSON
  };
  /// `on_availability_change` is called with a router and whether the tills may connect to it.
  RouterProcesses(kit::Loop& loop, const Day& day, std::uint64_t seed, std::string program,
                  std::vector<DiscoveryInfo> discovery, kit::History& history,
                  std::function<void(int, bool)> on_availability_change);
  /// Kills the routers that still run.
  ~RouterProcesses();

  std::string address(int router) const;
  /// Routers started from now on record to rN.flight in `folder`; empty = no recordings.
  void record_flights(const std::string& folder) { flight_ = folder; }
  /// Sets a source of text that is appended to each router's operator file.
  void set_operator_text(std::function<std::string(int)> source) {
    extra_operator_text_ = std::move(source);
  }
  /// Sets a source of additional environment variables for each router.
  void set_environment(std::function<std::vector<std::string>(int)> source) {
    environment_ = std::move(source);
  }
  /// Sets a function that is called with each process that is started, and when; not for one that
  /// takes over, as the rules count one router then.
  void on_start(std::function<void(int router, Micros started)> call) {
    on_start_ = std::move(call);
  }
  /// If on, a router that was sent SIGTERM is killed at the earliest time that PROTOCOL allows,
  /// which does not count as a crash: its pending responses are lost. If off, a router that does
  /// not end within a timeout has crashed.
  void kill_at_earliest(bool on) { kill_at_earliest_ = on; }
  /// Applies a fault now; it lasts for fault.until - fault.at.
  void act(const RouterFault& fault);
  /// 0 while the router does not run; while it is replaced, that of the new process.
  int pid(int router) const {
    return std::max(processes_[static_cast<std::size_t>(router)].pid, 0);
  }
  /// The process that takes clients: while the router is replaced, the one before until the new one
  /// is ready. 0 while there is none.
  int serving_pid(int router) const;
  /// Starts all routers and waits until each is ready. On failure returns false and sets `error`.
  bool start_all(std::string& error);
  /// Schedules the faults of the day, relative to `origin`, and starts sampling resources.
  void start_day(Micros origin);
  /// Sends SIGTERM to all routers, waits for them to end, and kills those that do not.
  void stop_all();
  /// The last bytes of a router's log.
  std::string log(int router) const;
  /// The log, up to a large bound.
  std::string whole_log(int router) const;
  /// The log lines in which a router reported a violation of one of its own invariants.
  std::vector<std::string> violations() const;
  /// True if a process ended unexpectedly.
  bool crashed() const { return crashed_; }

 private:
  struct Process {
    kit::ReservedPort port;  // for clients; where the router is replaced, the holder listens
    net::Fd config, log, operator_file;
    std::string operator_text;
    int pid = -1;
    std::size_t life = 0;
    bool exit_expected = false;
    bool restart = false;
    bool killed_at_deadline = false;  // killed at the earliest allowed time
    Micros kill_at = 0;
    std::array<kit::ReservedPort, 2> operators;  // of its processes, where it is replaced
    std::size_t operator_in_use = 0;             // index of that of the latest process
    std::unique_ptr<Process> replaced;           // the process that the latest one takes over from
  };
  void open_replacement_sockets(Process& process);
  std::vector<std::string> replacement_variables(int router) const;
  void replace(int router);
  void poll_until_taken_over(int router, Micros since);
  void reap(int router, Process& process);
  void kill_overdue(Process& process);
  void spawn(int router);
  std::string config_text(int router) const;
  std::string operator_text(int router) const;
  bool is_ready(int router) const;
  bool is_healthy(int operator_port) const;
  void reap();
  void reap_periodically();
  void sample_periodically();
  bool has_operator_file() const {
    return !day_.routers.operator_text.empty() || !flight_.empty() || extra_operator_text_;
  }
  void poll_until_ready(int router, Micros since);
  Micros termination_timeout() const;

  kit::Loop& loop_;
  const Day& day_;
  std::uint64_t seed_;
  std::string program_, flight_;
  std::function<std::string(int)> extra_operator_text_;
  std::function<std::vector<std::string>(int)> environment_;
  std::vector<DiscoveryInfo> discovery_;
  kit::History& history_;
  std::function<void(int, bool)> on_availability_change_;
  std::function<void(int, Micros)> on_start_;
  std::optional<kit::TemporaryDirectory>
      state_folder_;  // of routers that are replaced; their processes share it
  std::vector<Process> processes_;
  std::uint64_t start_count_ = 0;
  bool crashed_ = false, ending_ = false, kill_at_earliest_ = false;
};

}  // namespace violetusher::rehearse
