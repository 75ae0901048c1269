// The append-only log file that keeps operators' bans across processes. While a router is replaced,
// the old and the new process both append to it and replay it in file order.
//
//     OFFLINE ID
//     ONLINE ID
//     COMPACT      first line of a compacted file, which holds every server that is banned
//
// Lines that are unterminated, too long or of any other form are ignored.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "file_io.hpp"

namespace violetusher::net {

/// One change: the server is banned, or its ban is lifted.
struct BanLine {
  std::string id;
  bool banned = false;
};

inline constexpr std::size_t kCompactionThresholdBytes = 64u << 10;  ///< bytes
inline constexpr std::size_t kMaxBans = 4096;                        ///< servers banned at once

/// Appends the lines and syncs the file; on success all of them are durable. A partial line that a
/// kill or a failed write left at the end of the file is truncated first. On failure some of the
/// lines may be in the file. kWouldBlock if another process holds the lock. Past
/// kCompactionThresholdBytes the file is compacted.
CallStatus append_bans(const std::string& path, const std::vector<BanLine>& lines,
                       bool sync = true);

/// Reads the file incrementally as it grows or is replaced.
class BanLogReader {
 public:
  explicit BanLogReader(std::string path) : path_(std::move(path)) {}

  /// What poll() has read.
  enum class Update {
    kNone,
    kAppended,   ///< lines() were appended to what was read before
    kCompacted,  ///< lines() are the full content of a new, compacted file
    kReplaced,   ///< lines() are from another file, which may lack what was read before
  };
  /// Reads the next part, of bounded size; a failure changes nothing. ENOENT if there is no file.
  CallStatus poll(Update& update);
  const std::vector<BanLine>& lines() const { return lines_; }
  /// Whether the last poll reached the end of the file.
  bool at_end() const { return at_end_; }

 private:
  void parse(std::string_view bytes);

  std::string path_;
  std::uint64_t inode_ = 0;
  std::int64_t offset_ = 0;  // just behind the last complete line
  bool too_long_ = false;    // the line at offset_ exceeds the maximum length
  bool at_end_ = false, compacted_ = false;
  std::vector<BanLine> lines_;
};

}  // namespace violetusher::net
