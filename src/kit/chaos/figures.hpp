// What a history says about how fast a ledger was, and how soon it was itself again.
#pragma once

#include <vector>

#include "world.hpp"

namespace violetusher::chaos {

/// Fills in the figures that the history gives.
void count(Result& result);

/// From the first router that shows a position until the last of them shows it or a later one, for
/// each position, ascending.
std::vector<Micros> spread(const History& history, int routers);

/// From each fault to the first answer to a call that was asked after it, ascending: the time in
/// which a leader was missed, detected and replaced, where it was the leader that it struck.
std::vector<Micros> answered_again(const Result& result);

/// From the end of each fault that had stopped a router until that one showed what the fleet had
/// shown by then, ascending. One that did not until the end is left out, and told by a finding.
std::vector<Micros> caught_up(const Result& result);

/// Of an ascending list; 0 where it is empty.
Micros quantile(const std::vector<Micros>& sorted, double q);

}  // namespace violetusher::chaos
