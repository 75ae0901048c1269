#include "loop_task_queue.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace violetusher::net {
namespace {

constexpr Micros kPollInterval = 50 * kMillisecond;

}  // namespace

LoopTaskQueue::LoopTaskQueue(event_base* base)
    : wakeup_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!wakeup_fd_) throw std::system_error(errno, std::generic_category(), "eventfd");
  wakeup_event_.reset(event_new(base, wakeup_fd_.get(), EV_READ | EV_PERSIST, on_ready, this));
  event_add(wakeup_event_.get(), nullptr);
  poll_event_.reset(event_new(base, -1, EV_PERSIST, on_poll, this));
  timeval every = timeval_of(kPollInterval);
  event_add(poll_event_.get(), &every);
}

void LoopTaskQueue::post(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  std::uint64_t one = 1;
  // If the counter is full, the loop is already due to wake up; after any other failure the next
  // poll finds the task.
  [[maybe_unused]] ssize_t put =
      retry_interrupted([&] { return ::write(wakeup_fd_.get(), &one, sizeof one); });
}

/// Runs tasks whose wake-up failed, and adds the wake-up event again if that had failed.
void LoopTaskQueue::on_poll(evutil_socket_t, short, void* self) {
  auto* queue = static_cast<LoopTaskQueue*>(self);
  event_add(queue->wakeup_event_.get(), nullptr);
  queue->run();
}

void LoopTaskQueue::on_ready(evutil_socket_t descriptor, short, void* self) {
  auto* queue = static_cast<LoopTaskQueue*>(self);
  std::uint64_t count = 0;
  [[maybe_unused]] ssize_t got = ::read(descriptor, &count, sizeof count);
  queue->run();
}

void LoopTaskQueue::run() {
  std::vector<std::function<void()>> tasks;
  {
    std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
  }
  for (auto& task : tasks) task();
}

}  // namespace violetusher::net
