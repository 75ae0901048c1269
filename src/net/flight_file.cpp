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
  // The recording of the previous process may be needed to investigate how it ended.
  if (::rename(path.c_str(), (path + ".before").c_str()) != 0 && errno != ENOENT)
    fail("the previous recording can't be renamed");
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, 0640));
  if (!fd) fail("can't be created");
  // Allocates the blocks now: on a full disk a later write to the mapping would raise SIGBUS.
  if (int error = ::posix_fallocate(fd.get(), 0, static_cast<off_t>(bytes_))) {
    errno = error;
    fail("no disk space");
  }
  void* at =
      ::mmap(nullptr, bytes_, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_POPULATE, fd.get(), 0);
  if (at == MAP_FAILED) fail("can't be mapped");
  memory_ = static_cast<std::byte*>(at);
  ring_ = std::make_unique<core::flight::Ring>(std::span(memory_, bytes_), name, ::getpid(), now);
}

FlightFile::~FlightFile() { ::munmap(memory_, bytes_); }

bool FlightFile::copy(const std::string& reason, Micros now, bool on_request) {
  if (copies_ >= kMaxCopies) return false;
  if (!on_request && last_alert_at_ && now - last_alert_at_ < kMinAlertInterval) return false;
  if (!on_request) last_alert_at_ = now;
  std::string to = path_ + "." + reason + "-" + std::to_string(++copies_), part = to + ".part";
  Fd fd(::open(part.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0640));
  if (!fd) return false;
  auto bytes = ring_->memory();
  std::size_t written = 0;
  while (written < bytes.size()) {
    ssize_t count = ::write(fd.get(), bytes.data() + written, bytes.size() - written);
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  if (written == bytes.size() && ::rename(part.c_str(), to.c_str()) == 0) return true;
  ::unlink(part.c_str());
  return false;
}

}  // namespace violetusher::net
