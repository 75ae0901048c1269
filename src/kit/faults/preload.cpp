// Implements the fault library of preload.hpp. Each wrapped call first applies the rules of the
// script and then, unless it is to fail, makes the real call, possibly with fewer bytes.
#include "preload.hpp"

#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <mutex>

#include "script.hpp"

namespace {

using namespace violetusher::faults;

constexpr Micros kSecond = 1'000'000, kMillisecond = 1000;
constexpr Micros kScriptCheckInterval = 2 * kMillisecond;
constexpr std::size_t kUnlimitedLength = SIZE_MAX;

template <typename F>
F next(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

// The library makes its own system calls directly, so that they don't pass through the wrappers.
Micros monotonic_now() {
  timespec now{};
  ::syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * kSecond + now.tv_nsec / 1000;
}

std::string read_directly(const char* path) {
  std::string text;
  long fd = ::syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
  if (fd < 0) return text;
  char bytes[4096];
  for (long got; (got = ::syscall(SYS_read, fd, bytes, sizeof bytes)) > 0;)
    text.append(bytes, static_cast<std::size_t>(got));
  ::syscall(SYS_close, fd);
  return text;
}

/// The faults to apply to one call.
struct Outcome {
  int error = 0;  ///< errno to fail with; 0: the real call is made
  std::size_t max_length = kUnlimitedLength;
  Micros delay = 0;
};

/// The script in use and the state of its rules. Access is guarded by a mutex.
class Faults {
 public:
  static Faults& instance() {
    static Faults* faults = new Faults;  // never destroyed: wrapped calls can still be made at exit
    return *faults;
  }

  Outcome outcome_for(Call call, int fd, const char* path) {
    if (!script_path_) return {};
    std::lock_guard lock(mutex_);
    Micros now = monotonic_now();
    reload_if_changed(now);
    Outcome outcome;
    for (std::size_t k = 0; k < script_.rules.size() && outcome.error == 0; ++k)
      apply(k, call, fd, path, now - origin_, outcome);
    return outcome;
  }

  Micros clock_step() {
    if (!script_path_) return 0;
    std::lock_guard lock(mutex_);
    Micros now = monotonic_now(), step = 0;
    reload_if_changed(now);
    for (const Rule& rule : script_.rules)
      if (rule.step != 0 && rule.holds_at(now - origin_)) step += rule.step;
    return step;
  }

 private:
  Faults() {
    script_path_ = std::getenv(kScriptVariable);
    log_path_ = std::getenv(kLogVariable);
    const char* origin = std::getenv(kOriginVariable);
    origin_ = origin ? std::atoll(origin) : monotonic_now();
    if (!script_path_) return;
    try {
      script_ = parse_script(read_directly(script_path_), script_path_);
    } catch (const ScriptError& e) {
      report(e.what());
      ::_exit(2);
    }
    reset_counters();
    changed();
  }

  void reset_counters() {
    applied_.assign(script_.rules.size(), 0);
    matched_.assign(script_.rules.size(), 0);
    random_ = script_.seed + static_cast<std::uint64_t>(::getpid());
  }

  /// Whether the script file has changed since the previous call.
  bool changed() {
    struct stat info {};
    if (::syscall(SYS_newfstatat, AT_FDCWD, script_path_, &info, 0) != 0) return false;
    bool differs = info.st_ino != last_stat_.st_ino || info.st_size != last_stat_.st_size ||
                   info.st_mtim.tv_sec != last_stat_.st_mtim.tv_sec ||
                   info.st_mtim.tv_nsec != last_stat_.st_mtim.tv_nsec;
    last_stat_ = info;
    return differs;
  }

  void reload_if_changed(Micros now) {
    if (now < next_check_at_) return;
    next_check_at_ = now + kScriptCheckInterval;
    if (!changed()) return;
    try {
      script_ = parse_script(read_directly(script_path_), script_path_);
      reset_counters();
    } catch (const ScriptError& e) {
      report(e.what());
    }
  }

  double draw_random() {
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;  // Knuth's MMIX generator
    return static_cast<double>(random_ >> 40) / static_cast<double>(1 << 24);
  }

  bool matches_path(const Rule& rule, int fd, const char* path) const {
    if (rule.path.empty()) return true;
    char name[PATH_MAX] = {};
    if (!path && fd >= 0) {
      char link[64];
      std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
      ::syscall(SYS_readlinkat, AT_FDCWD, link, name, sizeof name - 1);
      path = name;
    }
    return path && std::strstr(path, rule.path.c_str());
  }

  void apply(std::size_t number, Call call, int fd, const char* path, Micros at, Outcome& outcome) {
    const Rule& rule = script_.rules[number];
    if (!rule.names(call) || !rule.holds_at(at) || !matches_path(rule, fd, path)) return;
    if (++matched_[number] <= rule.skip) return;
    if (rule.times > 0 && applied_[number] >= rule.times) return;
    if (rule.chance < 1 && draw_random() >= rule.chance) return;
    ++applied_[number];
    if (!rule.errors.empty())
      outcome.error = rule.errors[static_cast<std::size_t>(draw_random() * rule.errors.size())];
    if (rule.short_count > 0) outcome.max_length = std::min(outcome.max_length, rule.short_count);
    outcome.delay = std::max(outcome.delay, rule.delay);
    append_to_log(rule, call, fd, path, at);
  }

  void append_to_log(const Rule& rule, Call call, int fd, const char* path, Micros at) {
    if (!log_path_) return;
    char text[512];
    int size = std::snprintf(text, sizeof text, "%.6f pid=%d %s fd=%d %s rule=%d%s%s\n",
                             static_cast<double>(at) / kSecond, ::getpid(), name_of(call), fd,
                             rule.errors.empty() ? (rule.short_count ? "short" : "delay") : "error",
                             rule.line, path ? " path=" : "", path ? path : "");
    long log =
        ::syscall(SYS_openat, AT_FDCWD, log_path_, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (log < 0) return;
    ::syscall(SYS_write, log, text,
              std::min<std::size_t>(static_cast<std::size_t>(size), sizeof text - 1));
    ::syscall(SYS_close, log);
  }

  static void report(const char* what) {
    ::syscall(SYS_write, 2, what, std::strlen(what));
    ::syscall(SYS_write, 2, "\n", 1);
  }

  const char* script_path_ = nullptr;
  const char* log_path_ = nullptr;
  Micros origin_ = 0, next_check_at_ = 0;
  std::mutex mutex_;
  Script script_;
  std::vector<std::uint64_t> applied_,
      matched_;  // per rule: calls it was applied to, and calls it matched
  std::uint64_t random_ = 0;
  struct stat last_stat_ {};
};

/// Applies the rules to a call, sleeping for its delay. Returns false, with errno set, if the call
/// is to fail; otherwise sets the number of bytes that it may transfer.
bool apply_faults(Call call, int fd, const char* path, std::size_t& max_length) {
  Outcome outcome = Faults::instance().outcome_for(call, fd, path);
  if (outcome.delay > 0) {
    timespec wait{outcome.delay / kSecond, outcome.delay % kSecond * 1000};
    ::syscall(SYS_nanosleep, &wait, nullptr);
  }
  max_length = outcome.max_length;
  if (outcome.error == 0) return true;
  errno = outcome.error;
  return false;
}

bool apply_faults(Call call, int fd, const char* path = nullptr) {
  std::size_t max_length;
  return apply_faults(call, fd, path, max_length);
}

/// The first `max_length` bytes of `parts`.
std::vector<iovec> first_bytes(const iovec* parts, std::size_t count, std::size_t max_length) {
  std::vector<iovec> limited;
  for (std::size_t k = 0; k < count && max_length > 0; ++k) {
    limited.push_back({parts[k].iov_base, std::min(parts[k].iov_len, max_length)});
    max_length -= limited.back().iov_len;
  }
  return limited;
}

unsigned mode_of(int flags, va_list more) {
  return (flags & (O_CREAT | O_TMPFILE)) ? va_arg(more, unsigned) : 0;
}

template <typename Buffer>
ssize_t transfer(Call call, const char* name, int fd, Buffer bytes, std::size_t length) {
  std::size_t max_length;
  if (!apply_faults(call, fd, nullptr, max_length)) return -1;
  return next<ssize_t (*)(int, Buffer, std::size_t)>(name)(fd, bytes, std::min(length, max_length));
}

template <typename Buffer>
ssize_t transfer_at(Call call, const char* name, int fd, Buffer bytes, std::size_t length,
                    off64_t offset) {
  std::size_t max_length;
  if (!apply_faults(call, fd, nullptr, max_length)) return -1;
  return next<ssize_t (*)(int, Buffer, std::size_t, off64_t)>(name)(
      fd, bytes, std::min(length, max_length), offset);
}

ssize_t transfer_parts(Call call, const char* name, int fd, const iovec* parts, int count) {
  std::size_t max_length;
  if (!apply_faults(call, fd, nullptr, max_length)) return -1;
  auto real = next<ssize_t (*)(int, const iovec*, int)>(name);
  if (max_length == kUnlimitedLength) return real(fd, parts, count);
  std::vector<iovec> limited = first_bytes(parts, static_cast<std::size_t>(count), max_length);
  return real(fd, limited.data(), static_cast<int>(limited.size()));
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  unsigned mode = mode_of(flags, more);
  va_end(more);
  if (!apply_faults(Call::kOpen, -1, path)) return -1;
  return next<int (*)(const char*, int, ...)>("open")(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  unsigned mode = mode_of(flags, more);
  va_end(more);
  if (!apply_faults(Call::kOpen, -1, path)) return -1;
  return next<int (*)(const char*, int, ...)>("open64")(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
  if (!apply_faults(Call::kOpen, -1, path)) return nullptr;
  return next<FILE* (*)(const char*, const char*)>("fopen")(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  if (!apply_faults(Call::kOpen, -1, path)) return nullptr;
  return next<FILE* (*)(const char*, const char*)>("fopen64")(path, mode);
}

ssize_t read(int fd, void* to, std::size_t length) {
  return transfer(Call::kRead, "read", fd, to, length);
}

ssize_t write(int fd, const void* from, std::size_t length) {
  return transfer(Call::kWrite, "write", fd, from, length);
}

ssize_t pread(int fd, void* to, std::size_t length, off_t offset) {
  return transfer_at(Call::kPread, "pread64", fd, to, length, offset);
}

ssize_t pread64(int fd, void* to, std::size_t length, off64_t offset) {
  return transfer_at(Call::kPread, "pread64", fd, to, length, offset);
}

ssize_t pwrite(int fd, const void* from, std::size_t length, off_t offset) {
  return transfer_at(Call::kPwrite, "pwrite64", fd, from, length, offset);
}

ssize_t pwrite64(int fd, const void* from, std::size_t length, off64_t offset) {
  return transfer_at(Call::kPwrite, "pwrite64", fd, from, length, offset);
}

ssize_t readv(int fd, const iovec* parts, int count) {
  return transfer_parts(Call::kReadv, "readv", fd, parts, count);
}

ssize_t writev(int fd, const iovec* parts, int count) {
  return transfer_parts(Call::kWritev, "writev", fd, parts, count);
}

int fsync(int fd) { return apply_faults(Call::kFsync, fd) ? next<int (*)(int)>("fsync")(fd) : -1; }

int fdatasync(int fd) {
  return apply_faults(Call::kFdatasync, fd) ? next<int (*)(int)>("fdatasync")(fd) : -1;
}

int ftruncate(int fd, off_t size) {
  if (!apply_faults(Call::kFtruncate, fd)) return -1;
  return next<int (*)(int, off64_t)>("ftruncate64")(fd, size);
}

int ftruncate64(int fd, off64_t size) { return ftruncate(fd, size); }

int rename(const char* from, const char* to) {
  if (!apply_faults(Call::kRename, -1, to)) return -1;
  return next<int (*)(const char*, const char*)>("rename")(from, to);
}

int flock(int fd, int what) {
  return apply_faults(Call::kFlock, fd) ? next<int (*)(int, int)>("flock")(fd, what) : -1;
}

int socket(int domain, int type, int protocol) {
  if (!apply_faults(Call::kSocket, -1)) return -1;
  return next<int (*)(int, int, int)>("socket")(domain, type, protocol);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  if (!apply_faults(Call::kAccept4, fd)) return -1;
  return next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4")(fd, address, size, flags);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  if (!apply_faults(Call::kConnect, fd)) return -1;
  return next<int (*)(int, const sockaddr*, socklen_t)>("connect")(fd, address, size);
}

ssize_t recv(int fd, void* to, std::size_t length, int flags) {
  std::size_t max_length;
  if (!apply_faults(Call::kRecv, fd, nullptr, max_length)) return -1;
  return next<ssize_t (*)(int, void*, std::size_t, int)>("recv")(
      fd, to, std::min(length, max_length), flags);
}

ssize_t send(int fd, const void* from, std::size_t length, int flags) {
  std::size_t max_length;
  if (!apply_faults(Call::kSend, fd, nullptr, max_length)) return -1;
  return next<ssize_t (*)(int, const void*, std::size_t, int)>("send")(
      fd, from, std::min(length, max_length), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  std::size_t max_length;
  if (!apply_faults(Call::kSendmsg, fd, nullptr, max_length)) return -1;
  msghdr limited = *message;
  std::vector<iovec> parts;
  if (max_length != kUnlimitedLength) {
    parts = first_bytes(message->msg_iov, message->msg_iovlen, max_length);
    limited.msg_iov = parts.data();
    limited.msg_iovlen = parts.size();
  }
  return next<ssize_t (*)(int, const msghdr*, int)>("sendmsg")(fd, &limited, flags);
}

int getsockopt(int fd, int level, int name, void* value, socklen_t* size) {
  if (!apply_faults(Call::kGetsockopt, fd)) return -1;
  return next<int (*)(int, int, int, void*, socklen_t*)>("getsockopt")(fd, level, name, value,
                                                                       size);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int wait) {
  if (!apply_faults(Call::kEpollWait, fd)) return -1;
  return next<int (*)(int, epoll_event*, int, int)>("epoll_wait")(fd, events, max_events, wait);
}

int epoll_ctl(int fd, int what, int watched, epoll_event* event) {
  if (what != EPOLL_CTL_DEL && !apply_faults(Call::kEpollCtl, watched)) return -1;
  return next<int (*)(int, int, int, epoll_event*)>("epoll_ctl")(fd, what, watched, event);
}

int poll(pollfd* fds, nfds_t count, int wait) {
  if (!apply_faults(Call::kPoll, -1)) return -1;
  return next<int (*)(pollfd*, nfds_t, int)>("poll")(fds, count, wait);
}

int clock_gettime(clockid_t clock, timespec* now) {
  int result = next<int (*)(clockid_t, timespec*)>("clock_gettime")(clock, now);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  Micros step = Faults::instance().clock_step();
  if (step == 0) return result;
  Micros stepped = now->tv_sec * kSecond + now->tv_nsec / 1000 + step;
  now->tv_sec = stepped / kSecond;
  now->tv_nsec = stepped % kSecond * 1000 + now->tv_nsec % 1000;
  return result;
}

int gettimeofday(timeval* now, void* zone) {
  int result = next<int (*)(timeval*, void*)>("gettimeofday")(now, zone);
  Micros step = Faults::instance().clock_step();
  if (result != 0 || step == 0) return result;
  Micros stepped = now->tv_sec * kSecond + now->tv_usec + step;
  now->tv_sec = stepped / kSecond;
  now->tv_usec = stepped % kSecond;
  return result;
}

std::time_t time(std::time_t* result) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (result) *result = now.tv_sec;
  return now.tv_sec;
}
}
