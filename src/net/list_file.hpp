// The file by which the processes of one router hand their host list to each other, and to the next
// process after a kill. It is renamed into place whole, so a reader sees one list or another.
#pragma once

#include <atomic>
#include <optional>
#include <string>

#include "background_call.hpp"
#include "config.hpp"
#include "core/membership/list_order.hpp"
#include "file_io.hpp"
#include "io.hpp"

namespace violetusher::net {

/// A host list as it stands in the file. Times but `list.date` are of Io::uptime().
struct StoredList {
  core::membership::ListIdentity identity;
  HostList list;           ///< the full list, as discovery listed it; its `date` is in Unix time
  Micros received_at = 0;  ///< when the response with that date came
  Micros stored_at = 0;    ///< when the file was written
};

/// The text of the file, and back. Throws ConfigError if `text` is not such a file.
std::string text_of(const StoredList& stored);
StoredList parse_stored_list(const std::string& text);

/// Distinguishes the files that are renamed to one path, one after another. All 0 for no file.
struct FileStamp {
  std::uint64_t inode = 0;
  std::int64_t size = 0, modified_ns = 0;
  bool operator==(const FileStamp&) const = default;
};

/// Reads and writes the file, beside the event loop: on a busy disk an open or a rename may take
/// long.
class ListFile {
 public:
  struct ReadResult {
    CallStatus status;  ///< of reading the file
    FileStamp stamp;
    std::optional<StoredList> stored;  ///< nothing if this object wrote it, or it is not valid
    std::string invalid_reason;        ///< why the file is not valid; empty if it is
  };

  explicit ListFile(std::string path) : path_(std::move(path)) {}
  const std::string& path() const { return path_; }

  /// Starts to read the file if it has been replaced since the last successful read. ENOENT if
  /// there is none.
  CallStatus start_read_if_replaced();
  bool reading() const { return read_.in_progress(); }
  /// What was read if a read has ended, once.
  std::optional<ReadResult> take_read_result();
  /// Waits for the end of a read in progress.
  void wait_for_read() { read_.wait(); }

  /// Starts to replace the file. Fails with kWouldBlock if another process has replaced it since
  /// the last read, or does so at the moment, so that no list is lost unread. On failure the old
  /// file is untouched.
  void start_write(StoredList stored);
  bool writing() const { return write_.in_progress(); }
  /// The result of start_write() if it has ended, once.
  std::optional<CallStatus> take_write_result() { return write_.take_result(); }

 private:
  std::string path_;
  // Of the file that was last read, and of the one that need not be read before it is replaced.
  FileStamp known_, replaceable_;
  int failed_reads_ = 0;
  std::atomic<std::size_t> written_hash_{0};  // of the text written last, or being written
  BackgroundCall<ReadResult> read_;
  BackgroundCall<CallStatus> write_;
};

}  // namespace violetusher::net
