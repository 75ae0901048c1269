// File operations with typed results (call_result.hpp). Short reads and writes are continued
// internally.
#pragma once

#include <sys/stat.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "call_result.hpp"

namespace violetusher::net {

/// Owns an open file.
class File {
 public:
  File() = default;
  File(File&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~File();

  /// Opens `path` with the given flags of open(2), plus close-on-exec, and mode 0600.
  static CallStatus open(const std::string& path, int flags, File& file);
  explicit operator bool() const { return descriptor_ >= 0; }

  CallStatus info(struct stat& info) const;
  /// Reads until `size` bytes or the end of the file; `got` is the number of bytes read, also on
  /// failure.
  CallStatus read_at(std::int64_t offset, char* to, std::size_t size, std::size_t& received) const;
  /// Writes all of `text`; on failure a part of it may be in the file.
  CallStatus write(std::string_view text);
  CallStatus truncate(std::int64_t size);
  CallStatus sync_data();
  CallStatus sync();
  /// Takes an exclusive flock(2) without blocking: kWouldBlock if another process holds it.
  CallStatus lock();

 private:
  int descriptor_ = -1;
};

/// Opens the directory of `path` and locks it as File::lock() does, until `directory` is closed.
CallStatus lock_directory_of(const std::string& path, File& directory);

/// Reads a regular file of at most `max_bytes`. Never blocks; anything else is a permanent error
/// (EISDIR, EINVAL, EFBIG).
CallStatus read_whole_file(const std::string& path, std::size_t max_bytes, std::string& text);

/// What a file that has been written outlives.
enum class Durability {
  kProcess,  ///< its process
  kMachine,  ///< a crash of the machine
};

/// Replaces a file atomically: writes a temporary file beside it and renames it into place. For
/// kMachine the file and its directory are synced. On failure to write or rename, the old file is
/// untouched.
CallStatus replace_file(const std::string& path, std::string_view text,
                        Durability durability = Durability::kMachine);

}  // namespace violetusher::net
