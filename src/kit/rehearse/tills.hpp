// The tills: an open-loop load generator that sends each request of a plan at its time, independent
// of the answers. A simple load balancer in each zone spreads the tries over the routers of the
// zone.
#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "kit/common/random.hpp"
#include "plan.hpp"

namespace violetusher::rehearse {

/// Counters for progress output; safe to read from other threads.
struct TillCounts {
  std::atomic<std::uint64_t> sent{0}, served{0}, refused{0}, failed{0}, retries{0};
};

/// Sends the requests of a plan and records how each try ended.
class TillLoadGenerator {
 public:
  /// `addresses`: the routers, then the price caches for direct requests. The plan and the day must
  /// outlive the object.
  TillLoadGenerator(kit::Loop& loop, const Day& day, const Plan& plan,
                    std::vector<std::string> addresses, kit::History& history);
  ~TillLoadGenerator();

  /// Starts sending; the day begins at `origin`. Stops the loop once the last try has ended.
  void start(Micros origin);
  /// Tells the load balancer whether a router is up; call it on the loop's thread.
  void set_alive(int router, bool alive) { alive_[static_cast<std::size_t>(router)] = alive; }
  /// How late requests were sent, compared with the plan.
  const kit::Lateness& lateness() const { return lateness_; }
  /// How often the rig ran out of sockets or local ports.
  std::uint64_t out_of_sockets() const { return out_of_sockets_; }
  const TillCounts& counts() const { return counts_; }

 private:
  class Connection;
  friend class Connection;

  /// Schedules the next request of the plan.
  void next_request();
  void send(std::uint64_t request, int number, Micros intended);
  /// The connection on which a try is in progress; null if it has ended.
  Connection* carrier_of(std::size_t target, std::uint64_t try_index);
  void leave(Connection& carrier, std::uint64_t try_index, kit::TryEnd how);
  /// Leaves at `at`, or later if a long value has begun by then and goes on.
  void leave_when_silent(std::size_t target, std::uint64_t try_index, Micros at);
  /// Records the end of a try, and schedules a retry if it was not served.
  void ended(std::uint64_t try_index, kit::TryEnd end);
  void finish_if_done();
  /// A router that is up, in the request's zone if possible; -1 if there is none.
  int choose_router(std::uint64_t request, int number) const;
  Connection* connection_to(int target);
  void drop(Connection& connection);
  std::string command_for(std::uint64_t request, int number, Micros wait) const;
  int max_connections(int target) const;

  kit::Loop& loop_;
  const Day& day_;
  const Plan& plan_;
  kit::Draws draws_;
  std::vector<sockaddr_in> addresses_;
  kit::History& history_;
  std::vector<char> alive_;
  Micros origin_ = 0;
  std::size_t next_index_ = 0;
  std::uint64_t open_requests_ = 0;  // requests with a try in progress or waiting for a retry
  std::vector<std::list<std::unique_ptr<Connection>>> connections_;  // by target
  std::vector<std::vector<Connection*>> idle_;
  std::vector<std::unique_ptr<Connection>> dropped_;
  kit::Lateness lateness_;
  std::uint64_t out_of_sockets_ = 0;
  TillCounts counts_;
};

}  // namespace violetusher::rehearse
