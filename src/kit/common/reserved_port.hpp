// A free port of 127.0.0.1, held by a bound socket over the restarts of whoever listens there.
#pragma once

#include "net/system_io.hpp"

namespace violetusher::kit {

/// Another socket can bind the port with SO_REUSEADDR while it is held.
struct ReservedPort {
  net::Fd holder;
  int number = 0;
  /// "127.0.0.1:PORT".
  std::string address() const { return "127.0.0.1:" + std::to_string(number); }
};

/// Throws std::runtime_error if there is none.
ReservedPort reserve_port();

}  // namespace violetusher::kit
