// What one router holds of the ledger, and what it gives on to those that follow it: the state, how
// old it may be, and the last calls, so that who is a little behind need not be given everything.
// A view never goes back.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "state.hpp"

namespace violetusher::core::ledger {

class View {
 public:
  static constexpr std::size_t kMaxRetainedCalls = 512;       ///< calls kept for those behind
  static constexpr std::size_t kMaxRetainedBytes = 1u << 20;  ///< of them
  static constexpr std::size_t kMaxCallsPerUpdate = 64;       ///< calls in one answer

  const State& state() const { return state_; }
  const Position& position() const { return state_.position(); }

  /// Of a keeper: the next call, or all of the state, as its own log has it.
  Outcome apply(std::string_view entry);
  bool reset(std::string_view snapshot);
  void raise_epoch(std::uint64_t epoch);

  /// What somebody at `from` needs to come up to here: calls after it, or else the whole state.
  struct Update {
    Position from, to;
    std::vector<std::string> calls;
    std::string snapshot;  ///< in place of calls
    Json json() const;
    static std::optional<Update> parse(const Json& value);
  };
  Update since(const Position& from) const;

  enum class UpdateResult { kUnchanged, kApplied, kStale, kMismatch };
  /// Of a follower: takes what another gives. kNothing: it said nothing new. kOlder: the other is
  /// behind this one. kUnfit: it doesn't start where this one stands, or its digest tells of
  /// another history; the whole state is to be asked for. But for kNewer nothing is changed.
  UpdateResult apply_update(const Update& update);

 private:
  void retain(Position before, std::string_view entry);

  struct RetainedCall {
    Position before;
    std::string entry;
  };
  State state_;
  std::deque<RetainedCall> retained_;
  std::size_t retained_bytes_ = 0;
};

}  // namespace violetusher::core::ledger
