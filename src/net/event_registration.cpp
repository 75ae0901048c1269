#include "event_registration.hpp"

#include <event2/event.h>

#include <atomic>
#include <cstdio>
#include <cstring>

namespace violetusher::net {
namespace {

// How libevent's warning about a failed epoll_ctl begins.
constexpr const char* kEpollWarning = "Epoll ";

std::atomic<std::uint64_t> failures{0};

void on_libevent_message(int severity, const char* message) {
  if (severity == EVENT_LOG_DEBUG) return;
  bool is_warning = severity == EVENT_LOG_WARN;
  if (is_warning && std::strncmp(message, kEpollWarning, std::strlen(kEpollWarning)) == 0)
    ++failures;
  const char* name = is_warning ? "warn" : severity == EVENT_LOG_ERR ? "err" : "msg";
  std::fprintf(stderr, "[%s] %s\n", name, message);
}

}  // namespace

void watch_event_registrations() { event_set_log_callback(on_libevent_message); }

std::uint64_t failed_event_registrations() { return failures; }

}  // namespace violetusher::net
