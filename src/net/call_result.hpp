// What the failure of a system call means. The one table from errno to it: past this module nothing
// looks at errno, and no failure is taken for a statement about a file, a peer or the network.
#pragma once

#include <cerrno>
#include <string>

namespace violetusher::net {

enum class CallResult {
  kDone,
  kWouldBlock,      ///< nothing there, or no room, now
  kTransientError,  ///< the machine is out of something for now: to be tried again
  kPermanentError,  ///< for good
};

/// Of a file, a listener, or a socket that is not connected yet. EINTR is not asked about:
/// retry_interrupted() has tried again.
CallResult classify_error(int error);

/// Of a connection: here an unreachable network means that it is gone.
CallResult classify_connection_error(int error);

/// Whether an error of accept() is about the one connection that it would have returned, so that
/// the next may be taken at once.
bool affects_one_connection(int error);

/// How a call ended, with its errno for messages.
struct CallStatus {
  CallResult result = CallResult::kDone;
  int error = 0;

  /// Of a call that has just failed.
  static CallStatus failed() { return failed(errno); }
  static CallStatus failed(int error) { return {classify_error(error), error}; }
  bool done() const { return result == CallResult::kDone; }
  /// Whether trying again may help.
  bool is_transient() const { return !done() && result != CallResult::kPermanentError; }
  std::string reason() const;
};

/// Makes the call until no signal interrupts it.
template <typename Call>
auto retry_interrupted(Call&& call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

}  // namespace violetusher::net
