// The library itself: see faulty_disk.hpp. It has no state but what the C library's own calls need,
// and does nothing to files that are not a ledger's.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <vector>

#include "faulty_disk.hpp"

namespace {

using violetusher::chaos::DiskControl;
using violetusher::chaos::UndoRecord;

constexpr int kMostFiles = 4096;
bool ledgers[kMostFiles];  // by descriptor
char undo_names[kMostFiles][512];

template <typename F>
F next(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

const DiskControl* control() {
  static const DiskControl* shared = [] {
    const char* path = std::getenv(violetusher::chaos::kFaultyDiskVariable);
    static const DiskControl none;
    static const auto real_open = next<int (*)(const char*, int, ...)>("open");
    int fd = path ? real_open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0) return &none;
    void* at = ::mmap(nullptr, sizeof(DiskControl), PROT_READ, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? &none : static_cast<const DiskControl*>(at);
  }();
  return shared;
}

bool watched(int fd) { return fd >= 0 && fd < kMostFiles && ledgers[fd]; }

int opened(int fd, const char* path) {
  if (fd < 0 || fd >= kMostFiles) return fd;
  const char* name = std::strstr(path, violetusher::chaos::kLedgerFile);
  // The index beside the write-ahead log is made anew from it.
  ledgers[fd] = name && !std::strstr(name, "-shm") && !std::strstr(name, ".undo");
  if (ledgers[fd])
    ledgers[fd] = std::snprintf(undo_names[fd], sizeof undo_names[fd], "%s.undo", path) <
                  static_cast<int>(sizeof undo_names[fd]);
  return fd;
}

int open_undo(int fd, int flags) {
  static const auto real = next<int (*)(const char*, int, ...)>("open");
  return real(undo_names[fd], flags | O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
}

/// What stands where `length` bytes at `offset` are about to be written or cut off.
void keep(int fd, off64_t offset, std::size_t length) {
  if (!control()->keep_undo) return;
  static const auto read_at = next<ssize_t (*)(int, void*, std::size_t, off64_t)>("pread64");
  struct stat info {};
  if (::fstat(fd, &info) != 0) return;
  std::vector<char> bytes(sizeof(UndoRecord) + length);
  ssize_t got = read_at(fd, bytes.data() + sizeof(UndoRecord), length, offset);
  UndoRecord record{static_cast<std::uint64_t>(offset),
                    static_cast<std::uint64_t>(got > 0 ? got : 0),
                    static_cast<std::uint64_t>(info.st_size)};
  std::memcpy(bytes.data(), &record, sizeof record);
  int undo = open_undo(fd, O_APPEND);
  if (undo < 0) return;
  static const auto real = next<ssize_t (*)(int, const void*, std::size_t)>("write");
  [[maybe_unused]] ssize_t put = real(undo, bytes.data(), sizeof record + record.length);
  ::close(undo);
}

int synced(int fd, int result) {
  if (result == 0 && control()->keep_undo) {
    int undo = open_undo(fd, O_TRUNC);
    if (undo >= 0) ::close(undo);
  }
  return result;
}

int sync_slowly(int fd, const char* name) {
  auto real = next<int (*)(int)>(name);
  if (!watched(fd)) return real(fd);
  if (unsigned ms = control()->sync_delay_ms) ::usleep(ms * 1000);
  if (control()->fail_writes) {
    errno = EIO;
    return -1;
  }
  return synced(fd, real(fd));
}

template <typename Result>
Result failed() {
  errno = EIO;
  return -1;
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  static const auto real = next<int (*)(const char*, int, ...)>("open");
  va_list more;
  va_start(more, flags);
  unsigned mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(more, unsigned) : 0;
  va_end(more);
  return opened(real(path, flags, mode), path);
}

int open64(const char* path, int flags, ...) {
  static const auto real = next<int (*)(const char*, int, ...)>("open64");
  va_list more;
  va_start(more, flags);
  unsigned mode = (flags & (O_CREAT | O_TMPFILE)) ? va_arg(more, unsigned) : 0;
  va_end(more);
  return opened(real(path, flags, mode), path);
}

int close(int fd) {
  static const auto real = next<int (*)(int)>("close");
  if (fd >= 0 && fd < kMostFiles) ledgers[fd] = false;
  return real(fd);
}

ssize_t pread64(int fd, void* to, std::size_t length, off64_t offset) {
  static const auto real = next<ssize_t (*)(int, void*, std::size_t, off64_t)>("pread64");
  return watched(fd) && control()->fail_reads ? failed<ssize_t>() : real(fd, to, length, offset);
}

ssize_t read(int fd, void* to, std::size_t length) {
  static const auto real = next<ssize_t (*)(int, void*, std::size_t)>("read");
  return watched(fd) && control()->fail_reads ? failed<ssize_t>() : real(fd, to, length);
}

ssize_t pwrite64(int fd, const void* from, std::size_t length, off64_t offset) {
  static const auto real = next<ssize_t (*)(int, const void*, std::size_t, off64_t)>("pwrite64");
  if (!watched(fd)) return real(fd, from, length, offset);
  if (control()->fail_writes) return failed<ssize_t>();
  keep(fd, offset, length);
  return real(fd, from, length, offset);
}

int ftruncate64(int fd, off64_t size) {
  static const auto real = next<int (*)(int, off64_t)>("ftruncate64");
  if (!watched(fd)) return real(fd, size);
  struct stat info {};
  if (::fstat(fd, &info) == 0 && info.st_size > size)
    keep(fd, size, static_cast<std::size_t>(info.st_size - size));
  return real(fd, size);
}

int fsync(int fd) { return sync_slowly(fd, "fsync"); }
int fdatasync(int fd) { return sync_slowly(fd, "fdatasync"); }
}
