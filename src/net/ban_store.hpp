// The one owner of operators' bans. A ban is in force from promise() on, whatever the disk does; it
// is written by a thread of its own and tried again until it is durable. The file adds to what is
// held here and takes back only by an ONLINE line, never by being short, gone or unreadable.
#pragma once

#include <cstdint>
#include <deque>
#include <future>
#include <set>
#include <string>
#include <vector>

#include "ban_log.hpp"
#include "core/mutants.hpp"
#include "io.hpp"

namespace violetusher::net {

class BanStore {
 public:
  using Sequence = std::uint64_t;

  /// The file at `path`; an empty path keeps nothing, and all is known and durable at once.
  explicit BanStore(std::string path);

  /// From now on the server is out, or back; advance() writes it. The number of the promise.
  Sequence set_banned(const std::string& id, bool banned);
  /// Whether the promise outlives a kill.
  bool is_durable(Sequence sequence) const {
    return sequence <= durable_sequence_ || core::mutant(core::Mutant::kAcknowledgeBeforeDurable);
  }
  /// Reads and writes what is due. True where it changed what is out.
  bool advance(Micros now);
  /// When to advance again.
  Micros next_advance_at(Micros now) const;

  const std::set<std::string>& banned() const { return banned_; }
  /// Whether the file has been read to its end since the start, or never can be.
  bool loaded() const { return loaded_; }
  /// Why the file can't be read or written now; empty where it can.
  const std::string& error() const { return error_; }

 private:
  struct PendingUpdate {
    Sequence sequence;
    BanLine line;
  };

  void read();
  void apply(const BanLine& line);
  void requeue_missing(const std::vector<BanLine>& replacement);
  void start_write(Micros now);
  void finish_write(Micros now);
  void recompute_banned();

  std::string path_;
  BanLogReader reader_;
  std::set<std::string> in_file_, banned_;
  std::deque<PendingUpdate> pending_;  // not durable yet, in their order
  std::vector<BanLine> unconfirmed_;   // durable, and not read back yet
  std::future<CallStatus> write_;      // under way, of the first `writing_count_` of pending_
  std::size_t writing_count_ = 0;
  Sequence last_sequence_ = 0, durable_sequence_ = 0;
  Micros next_write_at_ = 0, retry_delay_ = 0;
  bool loaded_ = false;
  bool readable_ = true;
  std::string error_, read_error_, write_error_;
};

}  // namespace violetusher::net
