// Memory for what is buffered between clients and cache servers, one budget for each side. Decides
// what may be taken on, so that nothing which has been taken must be dropped. No I/O and no clock.
#pragma once

#include <algorithm>
#include <cstddef>

namespace violetusher::core {

/// The bytes buffered for all clients together, and which further ones are admitted.
///
/// What grows the buffers is limited in the order in which it can be held back without harm:
/// pipelined commands wait unparsed, then what would stay buffered is refused, then what could be
/// written at once.
class BufferBudget {
 public:
  /// When a response can be written.
  enum class Delivery {
    kNow,    ///< it is the next of its connection, whose client reads
    kLater,  ///< it waits for responses before it, or for the client to read
  };

  /// `limit`: bytes for all clients. `largest_response`: expected of each until sizes are known.
  BufferBudget(std::size_t limit, std::size_t largest_response)
      : limit_(limit), expected_response_(largest_response) {}

  /// Replaces `counted` bytes by `now`.
  void update(std::size_t& counted, std::size_t now) {
    used_ += now - counted;
    peak_ = std::max(peak_, used_);
    counted = now;
  }
  /// A command waits for its response, or no longer does.
  void on_command() { ++pending_responses_; }
  void on_response_end() { --pending_responses_; }
  /// Learns from the size of a response, whether or not it was admitted.
  void on_response_size(std::size_t bytes);

  std::size_t used() const { return used_; }
  /// The most bytes that were buffered at a time.
  std::size_t peak() const { return peak_; }
  std::size_t pending_responses() const { return pending_responses_; }
  std::size_t expected_response() const { return expected_response_; }

  /// Half of the limit is used: buffers of each client are kept small.
  bool tight() const { return used_ >= limit_ / 2; }
  /// Whether another command of a client that already waits for a response may be taken: with it,
  /// the responses that are pending are expected to fit into half of the limit.
  bool admits_pipelined_command() const {
    return used_ + (pending_responses_ + 1) * expected_response_ <= limit_ / 2;
  }
  /// Whether the value of a response may be buffered.
  bool admits_value(std::size_t bytes, Delivery delivery) const {
    bool now = delivery == Delivery::kNow;
    return bytes <= (now ? kAlwaysAdmittedBytes : kNoLargerThanRefusalBytes) ||
           used_ + bytes <= (now ? limit_ : shared_limit());
  }
  /// Whether buffers of `bytes` may be set aside for a value that is streamed.
  bool admits_stream(std::size_t bytes) const { return used_ + bytes <= shared_limit(); }
  /// Whether the `bytes` that are missing of an answer may be received; else they are left to the
  /// server until there is room.
  bool admits_answer(std::size_t bytes) const { return used_ + bytes <= limit_; }
  /// The largest value of a command that may be kept while it is received.
  std::size_t admitted_input() const {
    return std::max(kAlwaysAdmittedBytes, shared_limit() - std::min(used_, shared_limit()));
  }

 private:
  static constexpr std::size_t kAlwaysAdmittedBytes = 4096;
  static constexpr std::size_t kNoLargerThanRefusalBytes = 64;
  /// The last quarter is left to responses that can be written.
  std::size_t shared_limit() const { return limit_ / 4 * 3; }

  std::size_t limit_;
  std::size_t expected_response_;  // moving average
  std::size_t used_ = 0, peak_ = 0;
  std::size_t pending_responses_ = 0;
};

}  // namespace violetusher::core
