// The tills: send a plan open loop, each request at its time whatever the answers do, through a
// plain front for each hall that deals connections out over its routers.
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

/// What the tills have seen so far; for a live line.
struct TillCounts {
  std::atomic<std::uint64_t> sent{0}, served{0}, refused{0}, failed{0}, retries{0};
};

class TillSide {
 public:
  /// `addresses`: of the routers, then of the price caches that are asked directly. The plan and
  /// the day must outlive the object.
  TillSide(kit::Loop& loop, const Day& day, const Plan& plan, std::vector<std::string> addresses,
           kit::History& history);
  ~TillSide();

  /// The day begins at `origin`. The loop is stopped once the last try has ended.
  void start(Micros origin);
  /// The front's knowledge of a router; from the loop's own thread.
  void set_alive(int router, bool alive) { alive_[static_cast<std::size_t>(router)] = alive; }
  /// How late requests were begun to be sent.
  const kit::Lateness& lateness() const { return lateness_; }
  /// Sockets could not be had: the rig's own limit.
  std::uint64_t out_of_sockets() const { return out_of_sockets_; }
  const TillCounts& counts() const { return counts_; }

 private:
  class Wire;
  friend class Wire;

  void next_request();
  void send(std::uint64_t request, int number, Micros intended);
  void ended(std::uint64_t attempt_index, kit::TryEnd end);
  void finish_if_done();
  int choose_router(std::uint64_t request, int number) const;
  Wire* wire_to(int target);
  void drop(Wire& wire);
  std::string command_for(std::uint64_t request, int number, Micros wait) const;
  int limit(int target) const;

  kit::Loop& loop_;
  const Day& day_;
  const Plan& plan_;
  kit::Draws draws_;
  std::vector<sockaddr_in> addresses_;
  kit::History& history_;
  std::vector<char> alive_;
  Micros origin_ = 0;
  std::size_t next_ = 0;
  std::uint64_t open_ = 0;  // tries under way or waiting for their pause
  std::vector<std::list<std::unique_ptr<Wire>>> wires_;  // by target
  std::vector<std::vector<Wire*>> idle_;
  std::vector<std::unique_ptr<Wire>> dropped_;
  kit::Lateness lateness_;
  std::uint64_t out_of_sockets_ = 0;
  TillCounts counts_;
};

}  // namespace violetusher::rehearse
