// Tells when the system did not take an event of libevent, as epoll_ctl failed. Objects of libevent
// that add events by themselves, such as HTTP connections, ignore that and wait for ever.
#pragma once

#include <cstdint>

namespace violetusher::net {

/// Watches libevent's warnings from now on; they are still written to standard error. Call it once
/// or more before the loop runs.
void watch_event_registrations();

/// How many events the system did not take since then, in this process.
std::uint64_t failed_event_registrations();

}  // namespace violetusher::net
