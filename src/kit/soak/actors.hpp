// Who acts on a run beside its tills: operators, a crowd of clients that do not ask, and whoever
// sends signals. Each is a thread that follows its part of the schedule.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/system_io.hpp"
#include "schedule.hpp"

namespace violetusher::soak {

/// What was asked of a router and what it said.
struct BanCall {
  int router = 0;
  std::string server;
  bool out = false;
  Micros called = 0, answered = 0;  ///< answered 0: no whole answer came
  bool yes = false;
};

class Actors {
 public:
  struct Router {
    std::string clients, operators;  ///< addresses
    std::function<int()> pid;        ///< 0 while it does not run; from any thread
  };

  Actors(const Schedule& schedule, std::vector<Router> routers);
  ~Actors() { join(); }
  /// The times of the schedule count from `origin`, on `clock`.
  void start(const net::Clock& clock, Micros origin);
  void join();
  /// After join(): in the order of their calls.
  const std::vector<BanCall>& calls() const { return calls_; }

 private:
  bool wait_until(Micros at) const;
  void ban(const Ban& ban);
  void call(const Ban& ban, bool out);
  void signal(const Signals& signals);
  void crowd(const Crowd& crowd);

  const Schedule& schedule_;
  std::vector<Router> routers_;
  const net::Clock* clock_ = nullptr;
  Micros origin_ = 0;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<BanCall> calls_;
  std::vector<std::thread> threads_;
};

}  // namespace violetusher::soak
