// Files, with every result typed (call_result.hpp). Short reads and writes are gone on with inside.
#pragma once

#include <sys/stat.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "call_result.hpp"

namespace violetusher::net {

class File {
 public:
  File() = default;
  File(File&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~File();

  /// Opens `path` with the flags of open(2), close-on-exec and mode 0600 besides.
  static CallStatus open(const std::string& path, int flags, File& file);
  explicit operator bool() const { return descriptor_ >= 0; }

  CallStatus info(struct stat& info) const;
  /// Reads until `size` bytes have come or the file ends; `got` tells how many, also on failure.
  CallStatus read_at(std::int64_t offset, char* to, std::size_t size, std::size_t& got) const;
  /// Writes all of `text`; on failure a part of it may stand in the file.
  CallStatus write(std::string_view text);
  CallStatus truncate(std::int64_t size);
  CallStatus sync_data();
  CallStatus sync();
  /// Takes the lock of flock(2) alone, without waiting: kWouldBlock where another holds it.
  CallStatus lock();

 private:
  int descriptor_ = -1;
};

/// The whole of an ordinary file of at most `most` bytes. Never waits: what is no ordinary file, or
/// is larger, is broken (EISDIR, EINVAL, EFBIG).
CallStatus read_whole_file(const std::string& path, std::size_t max_bytes, std::string& text);

/// Writes a file anew, beside its place, syncs it, and puts it there at once with the folder's
/// entry synced. What stood there is untouched on failure.
CallStatus replace_file(const std::string& path, std::string_view text);

}  // namespace violetusher::net
