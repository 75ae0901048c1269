// What a keeper writes down, behind one small interface: SQLite's files (sqlite_storage.hpp), or a
// disk made of memory whose faults a test chooses. One commit is all or nothing, and is on the disk
// when it returns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::ledger {

/// Who this disk belongs to. An identity lives as long as its disk and no longer.
struct Meta {
  std::uint64_t identity = 0;  ///< 0: nobody's yet
  std::uint64_t group = 0;     ///< 0: of no group yet
  std::uint64_t epoch = 0;     ///< raised by a rescue
  std::uint64_t boot = 0;      ///< starts so far
  bool voter = false;          ///< it has been asked to keep, and may have voted
  std::string fingerprint;     ///< of the files when they were made
  bool operator==(const Meta&) const = default;
};

struct LogEntry {
  std::uint64_t index = 0, term = 0;
  unsigned short type = 0;  ///< raft's
  std::string bytes;
};

struct Snapshot {
  std::uint64_t index = 0, term = 0, members_index = 0;
  std::string members, bytes;  ///< `members`: raft's encoding of a configuration
};

struct Image {
  Meta meta;
  std::uint64_t term = 0, vote = 0;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> log;  ///< without a gap, ascending
  std::string view;           ///< the state last shown to others; see core::ledger::State
};

struct Op {
  enum class Kind {
    kMeta,      ///< `meta`
    kTerm,      ///< `number`; takes the vote away
    kVote,      ///< `number`
    kTruncate,  ///< entries from `number` on go
    kAppend,    ///< `entry`
    kSnapshot,  ///< `snapshot`
    kTrim,      ///< entries up to `number` go
    kView,      ///< `bytes`
  };
  Kind kind = Kind::kMeta;
  std::uint64_t number = 0;
  Meta meta;
  LogEntry entry;
  Snapshot snapshot;
  std::string bytes;

  static Op of(Meta meta);
  static Op with_number(Kind kind, std::uint64_t number);  ///< of the kinds that have a number
  static Op append(LogEntry entry);
  static Op put(Snapshot snapshot);
  static Op view(std::string state);
};

enum class LoadResult {
  kOk,
  kUnreadable,  ///< not now: the disk gives an error, or takes nothing. It may later
  kCorrupt,     ///< what is there is not as it was written, and never will be
};

class Storage {
 public:
  virtual ~Storage() = default;
  /// All that is there; where it is not good, `error` says why and nothing is given.
  virtual LoadResult load(Image& image, std::string& error) = 0;
  /// All of it or nothing. False where it could not be written; what then stands is either, so the
  /// caller reads it anew before it goes on.
  virtual bool commit(const std::vector<Op>& ops) = 0;
  /// How long the last commit took, in microseconds.
  virtual std::int64_t last_commit_us() const { return 0; }
  /// Tells files that were put back from those that have stayed; see Meta::fingerprint. Empty where
  /// that can't be told now.
  virtual std::string fingerprint() = 0;
  /// Puts what is there out of the way, kept for people, and begins with nothing.
  virtual bool quarantine() = 0;
};

/// What the ops make of an image; what both kinds of storage agree on.
void apply_ops(Image& image, const std::vector<Op>& ops);
/// What is wrong with an image as a whole; empty where nothing is.
std::string image_error(const Image& image);

}  // namespace violetusher::ledger
