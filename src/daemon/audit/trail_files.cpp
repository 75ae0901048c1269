#include "trail_files.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace violetusher::audit {
namespace {

namespace fs = std::filesystem;
using core::audit::Json;

constexpr const char* kFilePrefix = "trail-";
constexpr const char* kFileSuffix = ".log";

Micros wall_clock_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string errno_text(const std::string& what) { return what + ": " + std::strerror(errno); }

struct FoundFile {
  std::string path;
  std::uint64_t number = 0;  ///< number of its first block, from its name
  std::int64_t size = 0;
  fs::file_time_type modified;
};

/// The trail's files, in order. If `error` is set, the folder could not be read completely.
std::vector<FoundFile> files_in(const std::string& folder, std::error_code& error) {
  std::vector<FoundFile> all;
  error.clear();
  for (fs::directory_iterator at(folder, error), end; !error && at != end; at.increment(error)) {
    const auto& entry = *at;
    std::string name = entry.path().filename().string();
    FoundFile f{entry.path().string(), 0, 0, {}};
    int used = 0;
    if (std::sscanf(name.c_str(), "trail-%20lu.log%n", &f.number, &used) != 1 ||
        used != static_cast<int>(name.size()))
      continue;
    std::error_code gone;  // the writer may have just deleted it
    f.size = static_cast<std::int64_t>(entry.file_size(gone));
    f.modified = entry.last_write_time(gone);
    if (gone) continue;
    all.push_back(std::move(f));
  }
  std::sort(all.begin(), all.end(), [](auto& a, auto& b) { return a.number < b.number; });
  return all;
}

std::string read_whole_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  // Copying an empty file sets the bad bit of `text`, not of `in`.
  if (!in.is_open() || in.bad())
    throw fs::filesystem_error("can't be read", path,
                               std::error_code(errno, std::generic_category()));
  return text.str();
}

}  // namespace

std::vector<std::string> trail_files(const std::string& folder) {
  std::vector<std::string> out;
  std::error_code error;
  for (const FoundFile& f : files_in(folder, error)) out.push_back(f.path);
  return out;
}

core::audit::Trail read_trail(const std::string& folder) {
  core::audit::TrailReader reader;
  for (const std::string& path : trail_files(folder)) {
    std::string text;
    try {
      text = read_whole_file(path);
    } catch (const fs::filesystem_error&) {
      std::error_code error;
      if (fs::exists(path, error)) throw;
      continue;  // the writer has just deleted it as the oldest
    }
    reader.add_file(path, text);
  }
  return reader.finish();
}

TrailFiles::TrailFiles(const TrailSettings& settings,
                       std::function<void(const std::string&)> on_disk_state_change)
    : settings_(settings),
      on_disk_state_change_(std::move(on_disk_state_change)),
      thread_([this] { run(); }) {}

TrailFiles::~TrailFiles() {
  {
    std::lock_guard guard(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void TrailFiles::write(std::string body) {
  std::lock_guard guard(mutex_);
  if (queued_ + body.size() > kMaxPendingBytes) {
    Micros now = wall_clock_now();
    if (lost_++ == 0) lost_from_ = now;
    lost_to_ = now;
    gap_ = true;
    return;
  }
  queued_ += body.size();
  queue_.push_back(std::move(body));
  wake_.notify_all();
}

std::string TrailFiles::last_position() {
  std::lock_guard guard(mutex_);
  return on_disk_.number ? core::audit::format_position(on_disk_) : std::string();
}

bool TrailFiles::consume_gap() {
  std::lock_guard guard(mutex_);
  // Wait until there is room in the queue, or the full view would be dropped as well.
  return queued_ < kMaxPendingBytes / 2 && std::exchange(gap_, false);
}

void TrailFiles::run() {
  std::deque<std::string> batch;
  Micros backoff = kMinBackoff;
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    batch.swap(queue_);
    std::uint64_t lost = std::exchange(lost_, 0);
    if (lost)
      batch.push_back(Json({{"k", "gap"},
                            {"from", lost_from_},
                            {"to", lost_to_},
                            {"blocks", lost},
                            {"why", error_.empty() ? "more than the disk takes" : error_}})
                          .dump(-1, ' ', false, Json::error_handler_t::replace));
    lock.unlock();
    std::string wrong = write_batch(batch);
    if (wrong != error_) {
      error_ = wrong;
      on_disk_state_change_(wrong.empty() ? "the trail is written again"
                                          : "the trail is not written: " + wrong);
    }
    lock.lock();
    if (wrong.empty()) on_disk_ = last_;
    // Unwritten blocks go back to the front of the queue and count against its bound.
    queue_.insert(queue_.begin(), std::make_move_iterator(batch.begin()),
                  std::make_move_iterator(batch.end()));
    batch.clear();
    queued_ = 0;
    for (const std::string& body : queue_) queued_ += body.size();
    if (stopping_ && (queue_.empty() || !wrong.empty())) return;
    backoff = wrong.empty() ? kMinBackoff : std::min(2 * backoff, kMaxBackoff);
    if (!wrong.empty())
      wake_.wait_for(lock, std::chrono::microseconds(backoff / 2), [this] { return stopping_; });
  }
}

std::string TrailFiles::write_batch(std::deque<std::string>& batch) {
  std::string wrong;
  while (!batch.empty() && wrong.empty()) {
    auto bytes = static_cast<std::int64_t>(batch.front().size());
    wrong = ensure_open(bytes);
    if (!wrong.empty()) break;
    core::audit::TrailPosition next = last_;
    wrong = append(append_block(next, batch.front()));
    if (!wrong.empty()) break;
    last_ = next;
    batch.pop_front();
  }
  // A power failure loses at most the last batch; a killed process loses nothing that was written.
  if (wrong.empty() && file_ && ::fdatasync(file_.get()) != 0) {
    wrong = errno_text(settings_.folder);
    file_ = net::Fd();  // unknown which pages were written; continue in another file
  }
  return wrong;
}

/// Finds the end of the existing trail. If no file has a readable block, the numbering continues
/// after the highest file name and the chain begins anew.
std::string TrailFiles::find_last_position() {
  last_ = {};
  std::error_code error;
  auto all = files_in(settings_.folder, error);
  if (error) return settings_.folder + ": " + error.message();
  for (auto at = all.rbegin(); at != all.rend(); ++at) {
    std::optional<core::audit::TrailPosition> position;
    try {
      position = core::audit::last_position_in(read_whole_file(at->path));
    } catch (const fs::filesystem_error& e) {
      return e.what();
    }
    if (!position) continue;
    last_ = *position;
    break;
  }
  // File names only increase, so that a file without a complete block is not overwritten.
  if (!all.empty()) last_.number = std::max(last_.number, all.back().number);
  return "";
}

/// Opens the next file if the current one has no room for another block.
std::string TrailFiles::ensure_open(std::int64_t bytes) {
  std::int64_t file_limit = std::min(settings_.max_bytes / kFileCount, kMaxFileBytes);
  if (file_ && written_ + bytes < file_limit) return "";
  file_ = net::Fd();
  std::error_code error;
  fs::create_directories(settings_.folder, error);
  if (!lock_) {
    net::Fd lock(::open((settings_.folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
    if (!lock) return errno_text(settings_.folder + "/lock");
    // The previous process may still be shutting down; its blocks come first.
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
      return settings_.folder + ": another process writes there";
    lock_ = std::move(lock);
  }
  if (!last_known_) {
    std::string wrong = find_last_position();
    if (!wrong.empty()) return wrong;
    last_known_ = true;
  }
  delete_old_files();
  core::audit::TrailPosition next = last_;
  std::string line = append_block(next, header_body(settings_.router, last_,
                                                    !file_started_   ? "start"
                                                    : error_.empty() ? "size"
                                                                     : error_));
  char name[64];
  std::snprintf(name, sizeof name, "/%s%020lu%s", kFilePrefix, next.number, kFileSuffix);
  net::Fd file(::open((settings_.folder + name).c_str(),
                      O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0644));
  if (!file) {
    if (errno == EEXIST) ++last_.number;  // taken by another writer: use the next number on retry
    return errno_text(settings_.folder + name);
  }
  file_ = std::move(file);
  written_ = 0;
  std::string wrong = append(line);
  if (!wrong.empty()) {
    ::unlink((settings_.folder + name).c_str());  // it has no complete block
    file_ = net::Fd();
    return wrong;
  }
  last_ = next;
  if (std::exchange(file_started_, true)) {
    std::lock_guard guard(mutex_);
    gap_ = true;  // files are also read on their own: each has a full view near its start
  }
  return "";
}

std::string TrailFiles::append(const std::string& line) {
  for (std::size_t at = 0; at < line.size();) {
    ssize_t put = ::write(file_.get(), line.data() + at, line.size() - at);
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) {
      std::string wrong = errno_text(settings_.folder);
      // The line is written again once there is room, in another file if the partial line can't be
      // truncated.
      if (at > 0 && ::ftruncate(file_.get(), written_) != 0) file_ = net::Fd();
      return wrong;
    }
    at += static_cast<std::size_t>(put);
  }
  written_ += static_cast<std::int64_t>(line.size());
  return "";
}

/// Deletes the oldest files until there is room for another full file.
void TrailFiles::delete_old_files() {
  std::error_code unread;
  auto all = files_in(settings_.folder, unread);
  if (unread) return;  // retried with the next file
  std::int64_t file_limit = std::min(settings_.max_bytes / kFileCount, kMaxFileBytes),
               sum = file_limit;
  for (const FoundFile& f : all) sum += f.size;
  auto old = fs::file_time_type::clock::now() - std::chrono::microseconds(settings_.retention);
  for (const FoundFile& f : all) {
    if (sum <= settings_.max_bytes && f.modified > old) break;
    std::error_code error;
    fs::remove(f.path, error);
    sum -= f.size;
  }
}

}  // namespace violetusher::audit
