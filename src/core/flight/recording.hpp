// Reads a recording back: every intact record, and what is wrong with the rest.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "ring.hpp"

namespace violetusher::core::flight {

/// The intact contents of a recording.
struct Recording {
  std::string name;  ///< of the router
  Micros started = 0;
  std::int64_t pid = 0;
  std::vector<Record> records;  ///< in the order of writing
  std::uint64_t overwritten = 0;
  std::vector<std::string> problems;  ///< what is damaged, in readable form
};

/// Reads `bytes`. Returns false, with the reason in `error`, if they are not a recording or have
/// another version. A truncated or corrupt recording is read as far as it is intact.
bool read_recording(std::span<const std::byte> bytes, Recording& recording, std::string& error);

}  // namespace violetusher::core::flight
