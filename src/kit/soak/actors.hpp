// Acts on the routers of a run beside its tills: operator calls, misbehaving clients and signals.
// Each is a thread that follows its part of the schedule.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/system_io.hpp"
#include "schedule.hpp"
#include "slow_clients.hpp"

namespace violetusher::soak {

/// An operator's call to a router, and its response.
struct BanCall {
  int router = 0;
  std::string server;
  bool offline = false;             ///< true: ban the server; false: lift the ban
  Micros called = 0, answered = 0;  ///< answered 0: no complete response was received
  bool accepted = false;
};

/// Runs the bans, signals and misbehaving clients of a schedule against the routers.
class Actors {
 public:
  struct Router {
    std::string clients, operators;  ///< addresses
    std::function<int()> pid;        ///< 0 while it is not running; callable from any thread
  };

  Actors(const Schedule& schedule, std::vector<Router> routers);
  ~Actors() { join(); }
  /// Starts the threads. The schedule's times are relative to `origin`, on `clock`.
  void start(const net::Clock& clock, Micros origin);
  /// Stops and joins the threads.
  void join();
  /// The operator calls in the order in which they were made; valid after join().
  const std::vector<BanCall>& calls() const { return calls_; }
  /// The slow connections that ended by themselves; valid after join().
  const std::vector<SlowSessionRecord>& slow_sessions() const { return slow_sessions_; }

 private:
  bool wait_until(Micros at) const;
  void ban(const Ban& ban);
  void call(const Ban& ban, bool offline);
  void signal(const Signals& signals);
  void misbehaving_clients(const MisbehavingClients& misbehaving_clients);
  void slow_clients(const SlowClients& clients);

  const Schedule& schedule_;
  std::vector<Router> routers_;
  const net::Clock* clock_ = nullptr;
  Micros origin_ = 0;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<BanCall> calls_;
  std::vector<SlowSessionRecord> slow_sessions_;
  std::atomic<std::uint64_t> next_slow_session_{1};
  std::vector<std::thread> threads_;
};

}  // namespace violetusher::soak
