// Owns the bans of this router. A ban is in force from set_banned() on, whatever the disk does; a
// background thread writes it and retries until it is durable. The ban log can add bans, and lifts
// one only by an ONLINE line, never by being truncated, missing or unreadable.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "background_call.hpp"
#include "ban_log.hpp"
#include "core/mutants.hpp"
#include "io.hpp"

namespace violetusher::net {

/// The set of banned servers, kept in memory and in the ban log.
class BanStore {
 public:
  using Sequence = std::uint64_t;

  /// `path`: the ban log. With an empty path nothing is stored, and every update counts as durable
  /// at once.
  explicit BanStore(std::string path);

  /// Bans a server or lifts its ban, in force at once; advance() writes it. Returns the sequence
  /// number of the update.
  Sequence set_banned(const std::string& id, bool banned);
  /// Whether the update survives a kill of the process.
  bool is_durable(Sequence sequence) const {
    return sequence <= durable_sequence_ || core::mutant(core::Mutant::kAcknowledgeBeforeDurable);
  }
  /// Does the reads and writes that are due. True if the set of banned servers changed.
  bool advance(Micros now);
  /// When to call advance() next.
  Micros next_advance_at(Micros now) const;

  const std::set<std::string>& banned() const { return banned_; }
  /// Whether the ban log has been read since the start, or permanently can't be.
  bool loaded() const { return loaded_; }
  /// Why the ban log can't be read or written at present; empty if it can.
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
  std::deque<PendingUpdate> pending_;  // not durable yet, oldest first
  std::vector<BanLine> unconfirmed_;   // durable, but not read back from the file yet
  BackgroundCall<CallStatus> write_;   // in progress: the first writing_count_ of pending_
  std::size_t writing_count_ = 0;
  Sequence last_sequence_ = 0, durable_sequence_ = 0;
  Micros next_write_at_ = 0, retry_delay_ = 0;
  bool loaded_ = false;
  bool readable_ = true;
  std::string error_, read_error_, write_error_;
};

}  // namespace violetusher::net
