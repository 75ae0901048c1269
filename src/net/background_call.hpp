// Runs calls that may block for long, such as those on a slow disk, beside the event loop.
#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <system_error>

namespace violetusher::net {

/// One call at a time in a thread of its own. The destructor waits for a call in progress.
template <typename Result>
class BackgroundCall {
 public:
  /// Starts `call`, which must not use what the event loop changes. Only while none is in progress.
  /// Where the system has no thread to spare, the call runs within take_result().
  void start(std::function<Result()> call) {
    try {
      result_ = std::async(std::launch::async, call);
    } catch (const std::system_error&) {  // no thread available
      result_ = std::async(std::launch::deferred, call);
    }
  }
  /// Whether a call has been started whose result has not been taken.
  bool in_progress() const { return result_.valid(); }
  /// Waits until a call in progress has ended.
  void wait() {
    if (result_.valid()) result_.wait();
  }
  /// The result of the call if it has ended, once. Does not wait.
  std::optional<Result> take_result() {
    if (!result_.valid()) return std::nullopt;
    // A deferred call never becomes ready, and runs in get().
    if (result_.wait_for(std::chrono::seconds(0)) == std::future_status::timeout)
      return std::nullopt;
    return result_.get();
  }

 private:
  std::future<Result> result_;
};

}  // namespace violetusher::net
