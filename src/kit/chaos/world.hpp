// A fleet's ledger in one process on virtual time: the very code of the routers, on disks made of
// memory and links made of a queue, under a schedule's faults. The same schedule gives the same
// run.
#pragma once

#include <map>
#include <string>

#include "history.hpp"
#include "schedule.hpp"

namespace violetusher::chaos {

struct Result {
  History history;
  std::vector<Finding> findings;  ///< what the checker and the last look found
  bool judged = true;             ///< false: the checker's bound was reached
  std::size_t done = 0, unknown = 0, frames = 0, commits = 0;
  std::size_t busiest = 0;  ///< frames that one router has sent
  std::size_t bytes = 0, busiest_bytes = 0;
  std::size_t peak = 0;       ///< frames that one router has sent within 100 ms
  std::vector<Fault> played;  ///< that took place; a disk is lost only while the rest is whole
  std::map<std::string, Micros> led;  ///< how long each router did, on virtual time
  std::uint64_t trace = 0;            ///< digest of all that was seen
  std::vector<Micros> waits;  ///< of each call that was done, from call to answer, ascending
};

Result simulate(const Schedule& schedule);

/// The least part of a failing schedule that still fails, found by leaving faults out.
Schedule shrink(const Schedule& schedule, std::size_t tries = 400);

}  // namespace violetusher::chaos
