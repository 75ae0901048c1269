// A recording read back: whatever of it is whole, and what is wrong with the rest.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "ring.hpp"

namespace violetusher::core::flight {

struct Recording {
  std::string name;  ///< of the router
  Micros started = 0;
  std::int64_t pid = 0;
  std::vector<Record> records;  ///< in the order in which they were written
  std::uint64_t overwritten = 0;
  std::vector<std::string> problems;  ///< of what is not whole, for people
};

/// Reads `bytes`. False, with the reason in `error`, where they are no recording or one of another
/// version. A recording that is cut or has broken bytes is read as far as it is whole.
bool read_recording(std::span<const std::byte> bytes, Recording& recording, std::string& error);

}  // namespace violetusher::core::flight
