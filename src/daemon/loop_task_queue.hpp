// Runs tasks posted from other threads on an event loop, in order.
#pragma once

#include <event2/event.h>

#include <functional>
#include <mutex>
#include <vector>

#include "net/system_io.hpp"

namespace violetusher::net {

/// A queue of tasks for the thread that runs an event loop.
class LoopTaskQueue {
 public:
  /// `base`: the loop that runs the tasks. Construct and destroy only while that loop isn't
  /// running.
  explicit LoopTaskQueue(event_base* base);
  /// Thread-safe.
  void post(std::function<void()> task);

 private:
  static void on_ready(evutil_socket_t, short, void* self);

  static void on_poll(evutil_socket_t, short, void* self);
  void run();

  Fd wakeup_fd_;
  EventPtr wakeup_event_, poll_event_;
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
};

}  // namespace violetusher::net
