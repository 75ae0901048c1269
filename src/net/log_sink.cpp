#include <poll.h>
#include <unistd.h>

#include "log.hpp"

namespace violetusher::net {

/// A pipe that polls writable accepts PIPE_BUF bytes atomically, and no line is longer than that.
bool DescriptorSink::write(std::string_view line) {
  pollfd ready{descriptor_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT) || (ready.revents & POLLERR))
    return false;
  return ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

}  // namespace violetusher::net
