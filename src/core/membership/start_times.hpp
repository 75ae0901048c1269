// Start times of servers by the router's own clock. A list carries Unix times of a clock that may
// be an hour off: impossible times are rejected, and a server with an unknown start time counts as
// started now, so that slow start errs on the safe side. No I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace violetusher::core::membership {

using Micros = std::int64_t;

/// Converts the start times of a host list to the router's clock.
class StartTimes {
 public:
  /// Records a response of discovery that came at `now` with discovery's Unix time `date` in it; 0
  /// if it had none. Before the first call, start_of() returns listed times unchanged.
  void on_response(Micros now, Micros date);
  /// Returns the start, by the router's clock, of the server that is listed with `listed_start`; 0
  /// means long ago. The same arguments give the same result as long as forget_unused() has not
  /// dropped the server.
  Micros start_of(const std::string& id, Micros listed_start);
  /// Drops the servers that were not asked for since the previous call.
  void forget_unused();

 private:
  struct Entry {
    Micros listed_start = 0, start = 0;
    bool used = true;
  };
  std::unordered_map<std::string, Entry> servers_;
  Micros last_response_ = 0, previous_response_ = 0;
  Micros clock_offset_ = 0;  // how far discovery's clock is ahead of this one
};

}  // namespace violetusher::core::membership
