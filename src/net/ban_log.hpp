// The file in which operators' bans outlive a process: lines that are only appended, which the old
// and the new process of a replacement both write and replay in their order.
//
//     OFFLINE ID
//     ONLINE ID
//     COMPACT      at the top of a file that was written anew: all that is out stands in it
//
// A line without its end, too long, or none of these says nothing.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "file_io.hpp"

namespace violetusher::net {

struct BanLine {
  std::string id;
  bool banned = false;
};

inline constexpr std::size_t kCompactionThresholdBytes = 64u << 10;  ///< bytes
inline constexpr std::size_t kMaxBans = 4096;                        ///< servers out at once

/// Appends the lines and syncs the file; all of them are durable where it says so. What a kill or a
/// failed write has torn at the end of the file is cut off first. Where it fails, some of the lines
/// may stand in the file. kWouldBlock where another process writes just now. Past its bound the
/// file is written anew.
CallStatus append_bans(const std::string& path, const std::vector<BanLine>& lines,
                       bool sync = true);

/// Follows the file.
class BanLogReader {
 public:
  explicit BanLogReader(std::string path) : path_(std::move(path)) {}

  enum class Update {
    kNone,
    kAppended,   ///< lines() came behind what was read before
    kCompacted,  ///< lines() are the whole of another file, which was compacted
    kReplaced,   ///< lines() stand in another file, which may lack what was read before
  };
  /// Reads on, a bounded part at once; a failure changes nothing. Where there is no file, ENOENT.
  CallStatus poll(Update& update);
  const std::vector<BanLine>& lines() const { return lines_; }
  /// Whether the last poll came to the end of the file.
  bool at_end() const { return at_end_; }

 private:
  void parse(std::string_view bytes);

  std::string path_;
  std::uint64_t inode_ = 0;
  std::int64_t offset_ = 0;  // behind the last whole line
  bool too_long_ = false;    // the line at offset_ has no end within the bound
  bool at_end_ = false, compacted_ = false;
  std::vector<BanLine> lines_;
};

}  // namespace violetusher::net
