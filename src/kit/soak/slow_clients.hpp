// Clients that read or write slowly but steadily: each of their commands must get its whole answer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/system_io.hpp"
#include "schedule.hpp"

namespace violetusher::soak {

/// A connection to a router; none if it can't be had. `receive_buffer`: 0 = the system's default.
net::Fd connect_to(const std::string& address, int receive_buffer = 0);

/// What became of one slow connection.
struct SlowSessionRecord {
  int router = 0;
  Micros began = 0, ended = 0;
  std::size_t commands = 0, answers = 0;
  bool connected = false;
  bool closed = false;             ///< by the router, before the last answer was whole
  bool within_long_value = false;  ///< the answer that broke off may have done so at its server
};

/// One connection that sends its commands and takes their answers at a low rate.
class SlowSession {
 public:
  SlowSession(int router, SlowClients::Kind kind, const std::string& address, std::uint64_t number,
              Micros now);

  /// Writes and reads as much as is due at `now`.
  void step(Micros now);
  bool ended() const { return !fd_; }
  const SlowSessionRecord& record() const { return record_; }

 private:
  void write_some(Micros now);
  void read_some(Micros now);
  void take_answers();
  void end(Micros now, bool closed);

  net::Fd fd_;
  SlowClients::Kind kind_;
  std::string out_, in_;
  Micros next_write_ = 0, next_read_ = 0;
  SlowSessionRecord record_;
};

}  // namespace violetusher::soak
