#include "ban_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

#include "core/ops/call.hpp"

namespace violetusher::net {
namespace {

/// A file that is open and locked, or not open. The lock goes with it. It is held for a write
/// alone, so that whoever finds it taken has only to try again.
class LockedFile {
 public:
  LockedFile(const std::string& path, int flags, int lock)
      : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {
    if (fd_ >= 0 && ::flock(fd_, lock | LOCK_NB) != 0) reset();
  }
  LockedFile(const LockedFile&) = delete;
  LockedFile& operator=(const LockedFile&) = delete;
  ~LockedFile() { reset(); }
  explicit operator bool() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  /// False where another file has taken its name since it was opened.
  bool still_at(const std::string& path) const {
    struct stat mine, there;
    return ::fstat(fd_, &mine) == 0 && ::stat(path.c_str(), &there) == 0 &&
           mine.st_ino == there.st_ino;
  }

 private:
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int fd_;
};

bool put(int fd, const std::string& text) {
  return ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

std::string line_of(const std::string& id, bool out) {
  return (out ? "OFFLINE " : "ONLINE ") + id + "\n";
}

}  // namespace

bool BanFile::poll() {
  if (path_.empty()) return false;
  int fd = ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return false;
  std::set<std::string> before = out_;
  struct stat now;
  if (::fstat(fd, &now) == 0) {
    if (now.st_ino != inode_ || now.st_size < at_) {  // written anew: from its begin
      inode_ = now.st_ino;
      at_ = 0;
      out_.clear();
      partial_.clear();
    }
    char bytes[4096];
    ssize_t got;
    while ((got = ::pread(fd, bytes, sizeof bytes, at_)) > 0) {
      at_ += got;
      for (ssize_t k = 0; k < got; ++k) {
        if (bytes[k] != '\n') {
          if (partial_.size() <= core::ops::kMaxCall) partial_ += bytes[k];
          continue;
        }
        take_line(partial_);
        partial_.clear();
      }
    }
  }
  ::close(fd);
  return out_ != before;
}

void BanFile::take_line(const std::string& line) {
  std::string error;
  auto call = core::ops::parse_call(line, error);
  if (!call || call->id.empty()) return;
  if (call->kind == core::ops::Call::Kind::kOnline)
    out_.erase(call->id);
  else if (out_.size() < kMostOut)
    out_.insert(call->id);
}

bool BanFile::append(const std::string& id, bool out) {
  if (path_.empty()) return false;
  for (int tries = 0; tries < 100; ++tries) {
    LockedFile file(path_, O_RDWR | O_APPEND | O_CREAT, LOCK_SH);
    if (!file) {
      if (errno == EWOULDBLOCK) continue;
      return false;
    }
    if (!file.still_at(path_)) continue;
    struct stat now;
    if (::fstat(file.fd(), &now) != 0) return false;
    char last = '\n';
    if (now.st_size > 0 && ::pread(file.fd(), &last, 1, now.st_size - 1) != 1) return false;
    // Behind a torn line, a line of its own.
    if (!put(file.fd(), (last == '\n' ? "" : "\n") + line_of(id, out))) return false;
    if (static_cast<std::size_t>(now.st_size) < kCompactAt) return true;
    break;
  }
  return compact();
}

/// What is out, in a new file under the old name. Whoever appends meanwhile waits for the lock and
/// finds the new file.
bool BanFile::compact() {
  LockedFile file(path_, O_RDWR, LOCK_EX);
  if (!file || !file.still_at(path_)) return true;  // another process is at it
  poll();
  std::string text;
  for (const std::string& id : out_) text += line_of(id, true);
  std::string fresh = path_ + "." + std::to_string(::getpid());
  int to = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (to < 0) return true;  // the old file has it all
  bool whole = put(to, text);
  ::close(to);
  if (!whole || std::rename(fresh.c_str(), path_.c_str()) != 0) ::unlink(fresh.c_str());
  return true;
}

}  // namespace violetusher::net
