// An audit trail on disk: files of complete lines in a folder of the router's own. A separate
// thread writes them, so that a slow disk never delays a client's request. The trail is bounded by
// size and age; the oldest files are deleted. Blocks that could not be written are counted, and the
// next block that is written reports the gap.
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

/// Where and how much to write.
struct TrailSettings {
  std::string folder, router;
  std::int64_t max_bytes = 64 << 20;  ///< of all files together
  Micros retention = 7 * 86400ll * 1'000'000;
};

/// The paths of a trail's files, in order.
std::vector<std::string> trail_files(const std::string& folder);
/// Reads a whole trail. Throws std::filesystem::filesystem_error if a file can't be read.
core::audit::Trail read_trail(const std::string& folder);

/// Writes a trail in the background.
class TrailFiles {
 public:
  /// Bound on what waits for the disk; blocks beyond it are dropped and counted.
  static constexpr std::size_t kMaxPendingBytes = 1u << 20;
  static constexpr int kFileCount = 8;                     ///< that `max_bytes` is divided into
  static constexpr std::int64_t kMaxFileBytes = 16 << 20;  ///< of one file
  static constexpr Micros kMinBackoff = 1'000'000;         ///< after a failure, then doubled
  static constexpr Micros kMaxBackoff = 16'000'000;        ///< the actual pause is half the backoff

  /// `on_disk_state_change` is called on the writer's thread, with a message, when writing begins
  /// to fail and when it succeeds again.
  TrailFiles(const TrailSettings& settings,
             std::function<void(const std::string&)> on_disk_state_change);
  /// Makes one attempt to write what is queued.
  ~TrailFiles();
  TrailFiles(const TrailFiles&) = delete;

  /// Queues a block. May be called from any thread; never waits for the disk.
  void write(std::string body);
  /// The position of the last block on disk as "NUMBER:SUM"; empty before the first.
  std::string last_position();
  /// Whether a reader of the next block may lack earlier ones. Reports each gap once.
  bool consume_gap();

 private:
  void run();
  /// Writes blocks from the front of `batch` and removes them. Returns the error that stopped it,
  /// or an empty string if all were written.
  std::string write_batch(std::deque<std::string>& batch);
  std::string ensure_open(std::int64_t bytes);
  std::string append(const std::string& line);
  std::string find_last_position();
  void delete_old_files();

  TrailSettings settings_;
  std::function<void(const std::string&)> on_disk_state_change_;
  // Used by the writer's thread only.
  net::Fd lock_, file_;
  core::audit::TrailPosition last_;
  std::int64_t written_ = 0;   // bytes in the current file
  bool last_known_ = false;    // `last_` is valid
  bool file_started_ = false;  // this process has begun a file
  std::string error_;
  // Guarded by `mutex_`.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> queue_;
  std::size_t queued_ = 0;  // bytes
  std::uint64_t lost_ = 0;  // blocks dropped between the two times
  Micros lost_from_ = 0, lost_to_ = 0;
  core::audit::TrailPosition on_disk_;
  bool gap_ = false, stopping_ = false;
  std::thread thread_;
};

}  // namespace violetusher::audit
