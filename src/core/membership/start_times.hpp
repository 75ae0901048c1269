// When servers started, by the router's own clock. A list names starts in Unix time, by a clock
// that may be an hour off this one: what is impossible is not believed, and a server whose start
// can't be known counts as started now, so that slow start errs to the careful side. No I/O and no
// clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace violetusher::core::membership {

using Micros = std::int64_t;

class StartTimes {
 public:
  /// An answer of discovery came at `now`, with discovery's Unix time `date` in it; 0 where it told
  /// none. From here on starts are taken over; before, of() gives what it is told.
  void on_response(Micros now, Micros date);
  /// The start, by the router's clock, of the server that is listed with `born`; 0 for long ago.
  /// The same for the same two as long as it is asked for now and then.
  Micros start_of(const std::string& id, Micros born);
  /// Lets go of servers that were not asked for since the call before.
  void forget_unused();

 private:
  struct Known {
    Micros born = 0, start = 0;
    bool asked = true;
  };
  std::unordered_map<std::string, Known> known_;
  Micros now_ = 0, heard_before_ = 0;
  Micros ahead_ = 0;  // discovery's clock over this one
};

}  // namespace violetusher::core::membership
