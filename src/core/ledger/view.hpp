// One router's copy of the ledger, from which it also feeds its followers: the state and the most
// recent calls, so that a follower that is slightly behind does not need the whole state. A view
// never moves backwards.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "state.hpp"

namespace violetusher::core::ledger {

/// A copy of the ledger's state with its recent calls.
class View {
 public:
  static constexpr std::size_t kMaxRetainedCalls = 512;       ///< recent calls kept for followers
  static constexpr std::size_t kMaxRetainedBytes = 1u << 20;  ///< of recent calls
  static constexpr std::size_t kMaxCallsPerUpdate = 64;       ///< calls in one update

  const State& state() const { return state_; }
  const Position& position() const { return state_.position(); }

  /// For a voter: applies the next call, or a snapshot of the whole state, from its own log.
  Outcome apply(std::string_view entry);
  bool reset(std::string_view snapshot);
  /// Moves to a later epoch; an earlier one is ignored.
  void raise_epoch(std::uint64_t epoch);

  /// What a follower at `from` needs to catch up: the calls after it, or else a snapshot.
  struct Update {
    Position from, to;
    std::vector<std::string> calls;
    std::string snapshot;  ///< in place of calls
    Json json() const;
    static std::optional<Update> parse(const Json& value);
  };
  Update since(const Position& from) const;

  /// The result of apply_update().
  enum class UpdateResult { kUnchanged, kApplied, kStale, kMismatch };
  /// For a follower: applies an update from its parent. kUnchanged: there was nothing new. kStale:
  /// the parent is behind this view. kMismatch: the update does not start at this position, or its
  /// digest shows another history; the follower has to request the whole state. The view changes
  /// only with kApplied.
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
