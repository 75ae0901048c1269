// The ledger's state machine: named, versioned values, and the last outcome of each caller, so that
// a call that is repeated after a lost answer takes effect once. The same calls in the same order
// give the same state, outcomes and digest on every replica.
//
// The name of a value tells its use: "out/ID" exists while an operator bans that cache server,
// "file/operator" and "file/settings" hold roll-outs, and "value/..." is free for other uses.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "bytes.hpp"

namespace violetusher::core::ledger {

inline constexpr std::size_t kMaxNameBytes = 260;         ///< bytes
inline constexpr std::size_t kMaxValueBytes = 64u << 10;  ///< bytes of one value
inline constexpr std::size_t kMaxValues = 8192;           ///< number of values
inline constexpr std::size_t kMaxTotalBytes = 1u << 20;   ///< bytes of all values
inline constexpr std::size_t kMaxCallers = 1024;          ///< whose last outcome is kept

/// A request to read or change one value, as it stands in the log.
struct Call {
  enum class Kind { kGet, kPut, kErase };
  static constexpr std::int64_t kAny = -1, kAbsent = 0;

  Kind kind = Kind::kGet;
  std::string name, text;
  std::int64_t expect = kAny;  ///< required current version, kAbsent, or kAny
  std::string by;              ///< who made the change, for operators
  /// The caller and the sequence number of its call. A caller makes one call at a time and repeats
  /// it under the same number. `known` is the newest position that the caller knew before its first
  /// call. A kGet needs none of these.
  std::uint64_t caller = 0, number = 0, known = 0;

  Json json() const;
  static std::optional<Call> parse(const Json& value);
};

/// The result of a call.
struct Outcome {
  enum class Status { kDone, kConflict, kFull, kForgotten, kBad };
  Status status = Status::kDone;
  std::uint64_t version = 0;  ///< of the current value; 0: there is none
  std::string text;           ///< the value, for a kGet

  Json json() const;
  static std::optional<Outcome> parse(const Json& value);
  bool operator==(const Outcome&) const = default;
};
/// The status as it is shown to operators.
std::string_view name_of(Outcome::Status status);

/// A stored value.
struct Value {
  std::string text, by;
  std::uint64_t version = 0;  ///< the position of the call that wrote it
  bool operator==(const Value&) const = default;
};

/// How many calls have been applied. Of two positions of one group the one with the greater epoch
/// is later whatever its count: a rescued group may have lost the last calls of the epoch before.
struct Position {
  std::uint64_t epoch = 0, at = 0;  ///< `at` counts calls
  std::uint64_t digest = 0;         ///< of all calls so far
  bool before(const Position& o) const { return epoch != o.epoch ? epoch < o.epoch : at < o.at; }
  bool operator==(const Position&) const = default;
  Json json() const { return Json::array({epoch, at, digest}); }
  static Position parse(const Json& value);
};

/// The replicated state.
class State {
 public:
  /// Applies a log entry, an encoded call. An entry that is not one advances only the position.
  Outcome apply(std::string_view entry);

  /// The position after the last applied call.
  const Position& position() const { return position_; }
  void set_epoch(std::uint64_t epoch) { position_.epoch = epoch; }
  const std::map<std::string, Value, std::less<>>& values() const { return values_; }

  /// The whole state, for restore().
  std::string snapshot() const;
  /// Replaces the state by a snapshot; false, with nothing changed, if `bytes` are not one.
  bool restore(std::string_view bytes);
  bool operator==(const State&) const = default;

 private:
  struct Caller {
    std::uint64_t number = 0, last_call_at = 0;  // `last_call_at`: a position
    Outcome outcome;
    bool operator==(const Caller&) const = default;
  };
  Outcome change(const Call& call);
  void record_outcome(const Call& call, const Outcome& outcome);

  Position position_;
  std::map<std::string, Value, std::less<>> values_;
  std::size_t text_bytes_ = 0;
  std::map<std::uint64_t, Caller> callers_;
  std::uint64_t evicted_at_ = 0;  // the newest `last_call_at` of an evicted caller
};

}  // namespace violetusher::core::ledger
