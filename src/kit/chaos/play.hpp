// A day with real daemons: tills and price caches as in a rehearsal, a ledger between the routers,
// a relay on each link of it, and a schedule's faults on processes, links and disks.
#pragma once

#include <string>

#include "kit/rehearse/day.hpp"
#include "kit/rehearse/oracle.hpp"
#include "kit/rehearse/report.hpp"
#include "schedule.hpp"
#include "world.hpp"

namespace violetusher::chaos {

struct PlayOptions {
  std::string router;       ///< the program
  std::string faulty_disk;  ///< the library of that name; empty: no disk is slow or gives errors
  std::string folder;       ///< for the routers' disks; made anew and left behind
  bool progress = true;
  bool ledger = true;  ///< off: the same day without it, to compare
};

struct PlayResult {
  Result ledger;
  rehearse::Day played_day;  ///< as it was played: with the quiet at the end, and what was done
  rehearse::Plan plan;
  rehearse::Played played;
  rehearse::Verdict day;      ///< with what the ledger's checker has found
  std::string inconclusive;   ///< why nothing can be judged; empty where it can
  std::string logs;           ///< of routers that ended badly
  std::uint64_t carried = 0;  ///< bytes from router to router
  std::uint64_t memory = 0;   ///< bytes, the most of any router
  int descriptors = 0;        ///< likewise
};

/// What a day with a ledger says about it.
Schedule schedule_of(const rehearse::Day& day);

/// The day's routers are the schedule's; its length covers the schedule and the quiet after it.
PlayResult play(const rehearse::Day& day, const Schedule& schedule, const PlayOptions& options);

}  // namespace violetusher::chaos
