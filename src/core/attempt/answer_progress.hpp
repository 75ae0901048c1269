// Progress of the answer that is being received on a connection to a cache server. Two questions
// with an answer each: is another server tried beside this one, and is the connection still sound?
// docs/design/attempt-lifetime.md has all time limits of an attempt. No I/O and no clock.
#pragma once

#include <cstddef>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

/// An answer that has begun and then pauses for this long may be spoilt: a line or value without
/// its end, or a length that does not fit. Another attempt may start beside it; it ends nothing.
constexpr Micros kAnswerPause = 60'000;
/// An answer that has begun is sound as long as it makes progress within this time. Servers need
/// seconds to write a long value, in pieces of any size, and may be cut off for 6 s and come back.
constexpr Micros kAnswerProgressTimeout = 8'000'000;

/// A server reads a request as long as it takes a part of it within this time.
constexpr Micros kRequestPause = 200'000;

/// Follows one answer after the other.
class AnswerProgress {
 public:
  /// More bytes of the answer have come.
  void on_bytes(Micros now, std::size_t bytes) {
    last_progress_at_ = now;
    bytes_ += bytes;
  }
  /// The answer is complete; `rest` bytes of the next one have come with it.
  void on_complete(std::size_t rest) {
    bytes_ = rest;
    pause_reported_ = false;
  }
  /// The router reads again after a pause of its own, which is not held against the server.
  void on_read_resumed(Micros now) { last_progress_at_ = now; }

  /// Bytes received of the answer.
  std::size_t bytes() const { return bytes_; }
  /// Whether the answer pauses; true once for each answer.
  bool take_pause(Micros now) {
    if (pause_reported_ || now - last_progress_at_ <= kAnswerPause) return false;
    return pause_reported_ = true;
  }
  /// Whether the answer has made no progress for so long that its connection is not sound.
  bool timed_out(Micros now) const { return now - last_progress_at_ > kAnswerProgressTimeout; }

 private:
  Micros last_progress_at_ = 0;
  std::size_t bytes_ = 0;
  bool pause_reported_ = false;
};

}  // namespace violetusher::core
