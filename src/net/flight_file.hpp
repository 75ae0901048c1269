// The flight recorder's file. The ring buffer is mapped from it, so that a recording survives any
// end of the process. Copies are written beside it on request, and when an invariant is close to
// being violated.
#pragma once

#include <memory>
#include <string>

#include "core/flight/ring.hpp"

namespace violetusher::net {

/// Owns the mapped recording of this process.
class FlightFile {
 public:
  static constexpr int kMaxCopies = 16;  ///< per process
  static constexpr Micros kMinAlertInterval =
      10'000'000;  ///< between copies made without a request

  /// Creates `path` with a ring of `bytes`; an existing file is renamed to `path`.before. Throws
  /// UnreadableError.
  FlightFile(const std::string& path, std::size_t bytes, const std::string& name, Micros now);
  ~FlightFile();
  FlightFile(const FlightFile&) = delete;
  FlightFile& operator=(const FlightFile&) = delete;

  core::flight::Ring& ring() { return *ring_; }
  /// Copies the ring to `path`.REASON-NUMBER. False if that fails, or if the limits on copies don't
  /// allow one now.
  bool copy(const std::string& reason, Micros now, bool on_request);

 private:
  std::string path_;
  std::byte* memory_ = nullptr;
  std::size_t bytes_;
  std::unique_ptr<core::flight::Ring> ring_;
  int copies_ = 0;
  Micros last_alert_at_ = 0;
};

}  // namespace violetusher::net
