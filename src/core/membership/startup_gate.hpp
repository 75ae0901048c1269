// Decides when a starting router may accept clients. The host list that it starts with may be as
// old as its predecessor, and changes of before the start bind it as soon as a call to discovery
// has failed. No I/O and no clock.
#pragma once

#include <cstdint>

#include "core/mutants.hpp"

namespace violetusher::core::membership {

using Micros = std::int64_t;

/// Accepts clients once discovery has confirmed the list, or after the time that a start may take.
/// Calls that fail are no reason to start sooner: discovery may be down, which frees the router
/// from what it does not know, or the calls themselves may be at fault, which does not.
class StartupGate {
 public:
  /// `began`: when the router began to wait; `max_wait`: of WatchTiming.
  StartupGate(Micros began, Micros max_wait) : began_(began), max_wait_(max_wait) {}

  bool is_open(Micros now, bool confirmed) const {
    if (mutant(Mutant::kServeUnconfirmedList)) return true;
    return confirmed || now - began_ >= max_wait_;
  }

 private:
  Micros began_, max_wait_;
};

}  // namespace violetusher::core::membership
