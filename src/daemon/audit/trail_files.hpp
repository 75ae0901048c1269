// A trail on disk: files of whole lines in a folder of the router's own, written by a thread of its
// own, so that no disk ever holds up a till's request. Bounded by size and age: the oldest files
// go. What could not be written is counted, and the next block that can be says so.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/audit/activity_recorder.hpp"
#include "core/audit/trail.hpp"
#include "net/system_io.hpp"

namespace violetusher::audit {

using core::audit::Micros;

struct TrailSettings {
  std::string folder, router;
  std::int64_t max_bytes = 64 << 20;  ///< bytes of all files together
  Micros retention = 7 * 86400ll * 1'000'000;
};

/// The files of a trail, in order.
std::vector<std::string> trail_files(const std::string& folder);
/// What they hold together. Throws std::filesystem::filesystem_error where one can't be read.
core::audit::Trail read_trail(const std::string& folder);

class TrailFiles {
 public:
  /// Of what waits for the disk, in bytes; what comes beyond is lost, and counted.
  static constexpr std::size_t kMaxPendingBytes = 1u << 20;
  static constexpr int kFileCount = 8;                     ///< that `size` is spread over
  static constexpr std::int64_t kMaxFileBytes = 16 << 20;  ///< bytes
  static constexpr Micros kMinBackoff = 1'000'000;         ///< after a failure, then doubled
  static constexpr Micros kMaxBackoff = 16'000'000;        ///< up to half of this

  /// `note` is called from the writer's thread when the disk fails and when it takes blocks again.
  TrailFiles(const TrailSettings& settings,
             std::function<void(const std::string&)> on_disk_state_change);
  /// Writes what waits, once.
  ~TrailFiles();
  TrailFiles(const TrailFiles&) = delete;

  /// From any thread; never waits for the disk.
  void write(std::string body);
  /// The last block on disk: its number and sum, as `trail check` writes them; empty before the
  /// first.
  std::string last_position();
  /// Whether a reader of what comes now may have missed what came before; asked for once.
  bool consume_gap();

 private:
  void run();
  /// Writes from the front of `batch` what the disk takes. Why not all; empty where it took all.
  std::string write_batch(std::deque<std::string>& batch);
  std::string ensure_open(std::int64_t bytes);
  std::string append(const std::string& line);
  std::string find_last_position();
  void delete_old_files();

  TrailSettings settings_;
  std::function<void(const std::string&)> on_disk_state_change_;
  // Of the writer's thread.
  net::Fd lock_, file_;
  core::audit::TrailPosition last_;
  std::int64_t written_ = 0;   // to the file
  bool last_known_ = false;    // where the trail ended before
  bool file_started_ = false;  // this process has begun a file
  std::string error_;
  // Shared.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> queue_;
  std::size_t queued_ = 0;  // bytes
  std::uint64_t lost_ = 0;  // blocks, between the two times
  Micros lost_from_ = 0, lost_to_ = 0;
  core::audit::TrailPosition on_disk_;
  bool gap_ = false, stopping_ = false;
  std::thread thread_;
};

}  // namespace violetusher::audit
