#include "file_io.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdio>

namespace violetusher::net {
namespace {

constexpr mode_t kFileMode = 0600;

CallStatus status_of(int result) { return result < 0 ? CallStatus::failed() : CallStatus(); }

std::string directory_of(const std::string& path) {
  std::size_t slash = path.rfind('/');
  if (slash == path.npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

CallStatus write_new_file(const std::string& path, std::string_view text, Durability durability) {
  File file;
  CallStatus status = File::open(path, O_WRONLY | O_CREAT | O_TRUNC, file);
  if (status.done()) status = file.write(text);
  if (status.done() && durability == Durability::kMachine) status = file.sync();
  return status;
}

CallStatus open_directory_of(const std::string& path, File& directory) {
  return File::open(directory_of(path), O_RDONLY | O_DIRECTORY, directory);
}

CallStatus sync_directory_of(const std::string& path) {
  File directory;
  CallStatus status = open_directory_of(path, directory);
  return status.done() ? directory.sync() : status;
}

}  // namespace

File::~File() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

CallStatus File::open(const std::string& path, int flags, File& file) {
  int descriptor =
      retry_interrupted([&] { return ::open(path.c_str(), flags | O_CLOEXEC, kFileMode); });
  if (descriptor < 0) return CallStatus::failed();
  file = File();
  file.descriptor_ = descriptor;
  return {};
}

CallStatus File::info(struct stat& info) const { return status_of(::fstat(descriptor_, &info)); }

CallStatus File::read_at(std::int64_t offset, char* to, std::size_t size,
                         std::size_t& received) const {
  received = 0;
  while (received < size) {
    ssize_t count = retry_interrupted([&] {
      return ::pread(descriptor_, to + received, size - received,
                     static_cast<off_t>(offset + static_cast<std::int64_t>(received)));
    });
    if (count < 0) return CallStatus::failed();
    if (count == 0) break;
    received += static_cast<std::size_t>(count);
  }
  return {};
}

CallStatus File::write(std::string_view text) {
  while (!text.empty()) {
    ssize_t written =
        retry_interrupted([&] { return ::write(descriptor_, text.data(), text.size()); });
    if (written < 0) return CallStatus::failed();
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

CallStatus File::truncate(std::int64_t size) {
  return status_of(
      retry_interrupted([&] { return ::ftruncate(descriptor_, static_cast<off_t>(size)); }));
}

CallStatus File::sync_data() {
  return status_of(retry_interrupted([&] { return ::fdatasync(descriptor_); }));
}

CallStatus File::sync() {
  return status_of(retry_interrupted([&] { return ::fsync(descriptor_); }));
}

CallStatus File::lock() {
  return status_of(retry_interrupted([&] { return ::flock(descriptor_, LOCK_EX | LOCK_NB); }));
}

CallStatus lock_directory_of(const std::string& path, File& directory) {
  CallStatus status = open_directory_of(path, directory);
  return status.done() ? directory.lock() : status;
}

CallStatus read_whole_file(const std::string& path, std::size_t max_bytes, std::string& text) {
  text.clear();
  File file;
  // Non-blocking: opening a FIFO without a writer would block.
  CallStatus status = File::open(path, O_RDONLY | O_NONBLOCK, file);
  struct stat info {};
  if (status.done()) status = file.info(info);
  if (!status.done()) return status;
  if (S_ISDIR(info.st_mode)) return CallStatus::failed(EISDIR);
  if (!S_ISREG(info.st_mode)) return CallStatus::failed(EINVAL);
  auto size = static_cast<std::size_t>(info.st_size);
  if (size > max_bytes) return CallStatus::failed(EFBIG);
  text.resize(size);
  std::size_t received = 0;
  status = file.read_at(0, text.data(), size, received);
  text.resize(received);
  if (!status.done()) text.clear();
  return status;
}

CallStatus replace_file(const std::string& path, std::string_view text, Durability durability) {
  std::string temporary = path + "." + std::to_string(::getpid());
  CallStatus status = write_new_file(temporary, text, durability);
  if (status.done()) status = status_of(std::rename(temporary.c_str(), path.c_str()));
  if (!status.done()) {
    ::unlink(temporary.c_str());
    return status;
  }
  return durability == Durability::kMachine ? sync_directory_of(path) : CallStatus();
}

}  // namespace violetusher::net
