// A disk that fails, for real processes: a library of ours that is loaded before the C library
// (LD_PRELOAD) stands between SQLite and the files of a ledger. The rig sets what it does by a
// small shared file, and undoes after a kill what was written and never synced, as a machine that
// loses its power does.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace violetusher::chaos {

/// The environment variable that names the shared file.
inline constexpr char kFaultyDiskVariable[] = "VIOLETUSHER_FAULTY_DISK";
/// Files whose name holds this are a ledger's.
inline constexpr char kLedgerFile[] = "/ledger.db";

struct DiskControl {
  std::atomic<std::uint32_t> sync_delay_ms{0};
  std::atomic<std::uint32_t> fail_reads{0};   ///< EIO
  std::atomic<std::uint32_t> fail_writes{0};  ///< EIO
  std::atomic<std::uint32_t> keep_undo{1};
};

/// Ahead of each write: what stood there. In "FILE.undo", emptied by each sync of FILE.
struct UndoRecord {
  std::uint64_t offset = 0, length = 0;  ///< of the old bytes, which follow
  std::uint64_t size = 0;                ///< of the whole file, before
};

/// Takes back the writes to the ledger files in `folder` that were not synced: all but the first
/// `kept` of each file. How many went.
std::size_t undo_unsynced(const std::string& folder, std::size_t kept);

}  // namespace violetusher::chaos
