#include "loop_task_queue.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace violetusher::net {
namespace {

constexpr Micros kLook = 50 * kMillisecond;

}  // namespace

LoopTaskQueue::LoopTaskQueue(event_base* base) : bell_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!bell_) throw std::system_error(errno, std::generic_category(), "eventfd");
  event_.reset(event_new(base, bell_.get(), EV_READ | EV_PERSIST, on_ready, this));
  event_add(event_.get(), nullptr);
  look_.reset(event_new(base, -1, EV_PERSIST, on_look, this));
  timeval every = timeval_of(kLook);
  event_add(look_.get(), &every);
}

void LoopTaskQueue::post(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  std::uint64_t one = 1;
  // Full is as good as rung; where it fails otherwise the next look finds the task.
  [[maybe_unused]] ssize_t put =
      retry_interrupted([&] { return ::write(bell_.get(), &one, sizeof one); });
}

/// What a bell that failed to ring has left, and a bell that was not watched.
void LoopTaskQueue::on_look(evutil_socket_t, short, void* self) {
  auto* crossing = static_cast<LoopTaskQueue*>(self);
  event_add(crossing->event_.get(), nullptr);
  crossing->run();
}

void LoopTaskQueue::on_ready(evutil_socket_t bell, short, void* self) {
  auto* crossing = static_cast<LoopTaskQueue*>(self);
  std::uint64_t rung = 0;
  [[maybe_unused]] ssize_t got = ::read(bell, &rung, sizeof rung);
  crossing->run();
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
