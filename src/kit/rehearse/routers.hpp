// The real routers of a day: processes that are started, watched, restarted as the script has it,
// and ended with the rig however that ends. Nothing is written to a disk: configurations and logs
// live in memory files that go with their last user.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "day.hpp"
#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"

namespace violetusher::rehearse {

class RouterProcesses {
 public:
  struct Told {
    std::string discovery, known;  ///< address, and the list as JSON
  };
  /// `changed`: called with a router and whether the front may use it.
  RouterProcesses(kit::Loop& loop, const Day& day, std::uint64_t seed, std::string program,
                  std::vector<Told> told, kit::History& history,
                  std::function<void(int, bool)> changed);
  /// Kills what still runs.
  ~RouterProcesses();

  std::string address(int router) const;
  /// Routers started from now on record into `folder`, rN.flight; empty = they don't.
  void record(const std::string& folder) { flight_ = folder; }
  /// What each router's operator file has besides the day's.
  void operate(std::function<std::string(int)> more) { more_ = std::move(more); }
  void surround(std::function<std::vector<std::string>(int)> more) {
    environment_ = std::move(more);
  }
  /// Routers that are told to end are killed at the earliest moment that PROTOCOL allows, which is
  /// no crash: what they owe then is lost. Else one that has not ended after a while has crashed.
  void kill_at_earliest(bool on) { kill_at_earliest_ = on; }
  /// Does to them now what the day's script may do; takes fault.until - fault.at.
  void act(const RouterFault& fault);
  /// 0 while it doesn't run.
  int pid(int router) const {
    return std::max(processes_[static_cast<std::size_t>(router)].pid, 0);
  }
  /// Starts all and waits until each has said that it is ready. False with the reason.
  bool start_all(std::string& error);
  /// Events of the day and samples from now on.
  void begin(Micros origin);
  /// Planned end of all; waits for it, then kills.
  void stop_all();
  /// What a router wrote, the last bytes of it.
  std::string log(int router) const;
  /// The lines in which a router told of an invariant that it broke itself.
  std::vector<std::string> violations() const;
  /// A process ended that should not have.
  bool crashed() const { return crashed_; }

 private:
  struct Process {
    net::Fd holder;  // keeps the port over restarts; never listens
    int port = 0;
    net::Fd config, log, operator_file;
    std::string operator_text;
    int pid = -1;
    std::size_t life = 0;
    bool expected_end = false;
    bool start_again = false;
    bool cut_off = false;  // killed, as its time to end was over
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
