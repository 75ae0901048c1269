#include "flight_file.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "config.hpp"
#include "system_io.hpp"

namespace violetusher::net {

FlightFile::FlightFile(const std::string& path, std::size_t bytes, const std::string& name,
                       Micros now)
    : path_(path), bytes_(bytes / core::flight::kBlockBytes * core::flight::kBlockBytes) {
  auto fail = [&](const char* what) {
    CallStatus status = CallStatus::failed();
    throw UnreadableError("recorder: " + path + ": " + what + ": " + status.reason(),
                          status.is_transient());
  };
  // What the process before has left is what somebody may want to read.
  if (::rename(path.c_str(), (path + ".before").c_str()) != 0 && errno != ENOENT)
    fail("the old recording can't be kept");
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, 0640));
  if (!fd) fail("can't be made");
  // Its blocks now: a full disk must not show as a signal later.
  if (int error = ::posix_fallocate(fd.get(), 0, static_cast<off_t>(bytes_))) {
    errno = error;
    fail("no room");
  }
  void* at =
      ::mmap(nullptr, bytes_, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_POPULATE, fd.get(), 0);
  if (at == MAP_FAILED) fail("can't be mapped");
  memory_ = static_cast<std::byte*>(at);
  ring_ = std::make_unique<core::flight::Ring>(std::span(memory_, bytes_), name, ::getpid(), now);
}

FlightFile::~FlightFile() { ::munmap(memory_, bytes_); }

bool FlightFile::copy(const std::string& reason, Micros now, bool asked) {
  if (copies_ >= kMostCopies) return false;
  if (!asked && alerted_at_ && now - alerted_at_ < kBetweenAlerts) return false;
  if (!asked) alerted_at_ = now;
  std::string to = path_ + "." + reason + "-" + std::to_string(++copies_), part = to + ".part";
  Fd fd(::open(part.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0640));
  if (!fd) return false;
  auto bytes = ring_->memory();
  std::size_t have = 0;
  while (have < bytes.size()) {
    ssize_t put = ::write(fd.get(), bytes.data() + have, bytes.size() - have);
    if (put <= 0) break;
    have += static_cast<std::size_t>(put);
  }
  if (have == bytes.size() && ::rename(part.c_str(), to.c_str()) == 0) return true;
  ::unlink(part.c_str());
  return false;
}

}  // namespace violetusher::net
