// Interface of the ledger's persistent storage: a SQLite database (sqlite_storage.hpp), or an
// in-memory disk with injected faults in tests. A commit is atomic, and durable when it returns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::ledger {

/// Identifies the owner of a disk. An identity is never used without its disk.
struct Meta {
  std::uint64_t identity = 0;  ///< 0: none yet
  std::uint64_t group = 0;     ///< 0: none yet
  std::uint64_t epoch = 0;     ///< increased by a rescue
  std::uint64_t boot = 0;      ///< number of starts
  bool voter = false;          ///< it became a member and may have voted
  std::string fingerprint;     ///< of the files when they were created
  bool operator==(const Meta&) const = default;
};

/// An entry of the Raft log.
struct LogEntry {
  std::uint64_t index = 0, term = 0;
  unsigned short type = 0;  ///< Raft's entry type
  std::string bytes;
};

/// A Raft snapshot.
struct Snapshot {
  std::uint64_t index = 0, term = 0, members_index = 0;
  std::string members, bytes;  ///< `members`: encoded Raft configuration
};

/// The whole content of a storage.
struct Image {
  Meta meta;
  std::uint64_t term = 0, vote = 0;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> log;  ///< ascending, without gaps
  std::string view;           ///< the last published state; see core::ledger::State
};

/// One write; a commit consists of several.
struct Op {
  enum class Kind {
    kMeta,      ///< `meta`
    kTerm,      ///< `number`; clears the vote
    kVote,      ///< `number`
    kTruncate,  ///< removes entries from `number` on
    kAppend,    ///< `entry`
    kSnapshot,  ///< `snapshot`
    kTrim,      ///< removes entries up to `number`
    kView,      ///< `bytes`
  };
  Kind kind = Kind::kMeta;
  std::uint64_t number = 0;
  Meta meta;
  LogEntry entry;
  Snapshot snapshot;
  std::string bytes;

  // One factory for each kind of operation.
  static Op of(Meta meta);
  static Op with_number(Kind kind, std::uint64_t number);  ///< for kinds with a number
  static Op append(LogEntry entry);
  static Op put(Snapshot snapshot);
  static Op view(std::string state);
};

/// The result of loading a storage.
enum class LoadResult {
  kOk,
  kUnreadable,  ///< the disk reports an error, which may be temporary
  kCorrupt,     ///< the content is damaged permanently
};

/// Storage of one router's ledger.
class Storage {
 public:
  virtual ~Storage() = default;
  /// Loads the whole content. Unless the result is kOk, `error` has the reason and the image is not
  /// filled.
  virtual LoadResult load(Image& image, std::string& error) = 0;
  /// Applies all operations atomically. After a failure (false) they may or may not have been
  /// applied, so the caller has to load the image again before it continues.
  virtual bool commit(const std::vector<Op>& ops) = 0;
  /// Duration of the last commit, in microseconds.
  virtual std::int64_t last_commit_us() const { return 0; }
  /// Distinguishes the original files from a restored copy; see Meta::fingerprint. Empty if it
  /// can't be determined now.
  virtual std::string fingerprint() = 0;
  /// Moves the content aside, where operators can inspect it, and starts empty.
  virtual bool quarantine() = 0;
};

/// Applies operations to an image; defines their meaning for all storages.
void apply_ops(Image& image, const std::vector<Op>& ops);
/// Checks the consistency of an image; empty if it is consistent.
std::string image_error(const Image& image);

}  // namespace violetusher::ledger
