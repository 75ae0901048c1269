// Classifies failures of system calls. This is the only place that maps errno to a result: other
// modules don't inspect errno, so that a local shortage is never mistaken for a missing file, a
// failed peer or a network error.
#pragma once

#include <cerrno>
#include <string>

namespace violetusher::net {

/// The outcome of a system call.
enum class CallResult {
  kDone,
  kWouldBlock,      ///< no data, or no buffer space, at the moment
  kTransientError,  ///< a local shortage or a failure that may pass: retry
  kPermanentError,  ///< retrying does not help
};

/// For calls on a file, a listener, or a socket that is not connected yet. Calls go through
/// retry_interrupted(), which handles EINTR.
CallResult classify_error(int error);

/// For calls on an established connection, which an unreachable network breaks.
CallResult classify_connection_error(int error);

/// Whether an error of accept() concerns only the connection that it would have returned, so that
/// the next one can be accepted at once.
bool affects_one_connection(int error);

/// The result of a call, with its errno for messages.
struct CallStatus {
  CallResult result = CallResult::kDone;
  int error = 0;

  /// For a call that has just failed: reads errno.
  static CallStatus failed() { return failed(errno); }
  static CallStatus failed(int error) { return {classify_error(error), error}; }
  bool done() const { return result == CallResult::kDone; }
  /// Whether a retry may succeed.
  bool is_transient() const { return !done() && result != CallResult::kPermanentError; }
  std::string reason() const;
};

/// Repeats the call while it fails with EINTR.
template <typename Call>
auto retry_interrupted(Call&& call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

}  // namespace violetusher::net
