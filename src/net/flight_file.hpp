// The flight recorder's file: the ring lies in it, mapped, so that it survives whatever ends the
// process, and copies of it are put beside it when somebody asks or a rule is close to being
// broken.
#pragma once

#include <memory>
#include <string>

#include "core/flight/ring.hpp"

namespace violetusher::net {

class FlightFile {
 public:
  static constexpr int kMaxCopies = 16;                    ///< of one process
  static constexpr Micros kMinAlertInterval = 10'000'000;  ///< copies that nobody asked for

  /// Makes `path` with a ring of `bytes`; one that is there becomes `path`.before. Throws
  /// ConfigError.
  FlightFile(const std::string& path, std::size_t bytes, const std::string& name, Micros now);
  ~FlightFile();
  FlightFile(const FlightFile&) = delete;
  FlightFile& operator=(const FlightFile&) = delete;

  core::flight::Ring& ring() { return *ring_; }
  /// Copies the ring to `path`.REASON-NUMBER. False where that can't be, or not now.
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
