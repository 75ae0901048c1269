// Decides when a starting router may accept clients. The host list that it starts with may be as
// old as its predecessor, and changes of before the start bind it as soon as a call to discovery
// has failed. No I/O and no clock.
#pragma once

#include <cstdint>

#include "core/mutants.hpp"

namespace violetusher::core::membership {

using Micros = std::int64_t;

/// Accepts clients once discovery has confirmed the list, or once waiting longer would cost more:
/// if discovery turns every call away, or is silent for longer than a start may take.
class StartupGate {
 public:
  /// `began`: when the router began to wait; `max_wait`: of WatchTiming.
  StartupGate(Micros began, Micros max_wait) : began_(began), max_wait_(max_wait) {}

  /// `failures`: consecutive failed calls.
  bool is_open(Micros now, bool confirmed, int failures) const {
    if (mutant(Mutant::kServeUnconfirmedList)) return true;
    if (confirmed || now - began_ >= max_wait_) return true;
    return failures >= kFailuresOfOutage && now - began_ >= kMinOutage;
  }

 private:
  // With fewer failed calls, or in a shorter time, the calls may be at fault, and not discovery.
  static constexpr int kFailuresOfOutage = 4;
  static constexpr Micros kMinOutage = 1'000'000;
  Micros began_, max_wait_;
};

}  // namespace violetusher::core::membership
