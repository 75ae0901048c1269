#include "crossing.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace violetusher::net {

Crossing::Crossing(event_base* base) : bell_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!bell_) throw std::system_error(errno, std::generic_category(), "eventfd");
  event_.reset(event_new(base, bell_.get(), EV_READ | EV_PERSIST, on_ready, this));
  event_add(event_.get(), nullptr);
}

void Crossing::post(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t put = ::write(bell_.get(), &one, sizeof one);  // full is as good as rung
}

void Crossing::on_ready(evutil_socket_t bell, short, void* self) {
  auto* crossing = static_cast<Crossing*>(self);
  std::uint64_t rung = 0;
  [[maybe_unused]] ssize_t got = ::read(bell, &rung, sizeof rung);
  std::vector<std::function<void()>> tasks;
  {
    std::lock_guard lock(crossing->mutex_);
    tasks.swap(crossing->tasks_);
  }
  for (auto& task : tasks) task();
}

}  // namespace violetusher::net
