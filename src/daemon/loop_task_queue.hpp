// How one thread asks another's loop to do something: what is posted runs there, in order.
#pragma once

#include <event2/event.h>

#include <functional>
#include <mutex>
#include <vector>

#include "net/system_io.hpp"

namespace violetusher::net {

class LoopTaskQueue {
 public:
  /// `base`: of the loop that runs what is posted. Made and unmade while that loop stands still.
  explicit LoopTaskQueue(event_base* base);
  /// From any thread.
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
