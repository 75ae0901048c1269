// What a log of calls makes of the ledger's state: named values, each with a version, and what was
// answered to whom, so that a call that is repeated after a lost answer takes effect once. The same
// calls in the same order give the same state, the same answers and the same digest everywhere.
//
// Names say what a value is for: "out/ID" is there while an operator has that cache server out,
// "file/operator" and "file/settings" hold what is rolled out, and "value/..." is anyone's.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "bytes.hpp"

namespace violetusher::core::ledger {

inline constexpr std::size_t kMaxNameBytes = 260;         ///< bytes
inline constexpr std::size_t kMaxValueBytes = 64u << 10;  ///< bytes of one value
inline constexpr std::size_t kMaxValues = 8192;           ///< of all names
inline constexpr std::size_t kMaxTotalBytes = 1u << 20;   ///< bytes of all values
inline constexpr std::size_t kMaxCallers = 1024;          ///< whose last answer is kept

struct Call {
  enum class Kind { kGet, kPut, kErase };
  static constexpr std::int64_t kAny = -1, kAbsent = 0;

  Kind kind = Kind::kGet;
  std::string name, text;
  std::int64_t expect = kAny;  ///< the version that must stand, kAbsent, or kAny
  std::string by;              ///< who asked, for people
  /// Who calls and its how-manieth call: one at a time, a repeat under the same number. `known` is
  /// the newest position that the caller had heard of before its first call. A kGet needs none.
  std::uint64_t caller = 0, number = 0, known = 0;

  Json json() const;
  static std::optional<Call> parse(const Json& value);
};

struct Outcome {
  enum class Status { kDone, kConflict, kFull, kForgotten, kBad };
  Status status = Status::kDone;
  std::uint64_t version = 0;  ///< of the value that now stands; 0 = there is none
  std::string text;           ///< that value, of a kGet

  Json json() const;
  static std::optional<Outcome> parse(const Json& value);
  bool operator==(const Outcome&) const = default;
};
std::string_view name_of(Outcome::Status status);

struct Value {
  std::string text, by;
  std::uint64_t version = 0;  ///< the position of the call that wrote it
  bool operator==(const Value&) const = default;
};

/// How much has been applied. Of two positions of one group the greater epoch is the later one,
/// whatever the rest says: a rescued group may have lost the end of what was before it.
struct Position {
  std::uint64_t epoch = 0, at = 0;  ///< `at` counts calls
  std::uint64_t digest = 0;         ///< of all calls up to there
  bool before(const Position& o) const { return epoch != o.epoch ? epoch < o.epoch : at < o.at; }
  bool operator==(const Position&) const = default;
  Json json() const { return Json::array({epoch, at, digest}); }
  static Position parse(const Json& value);
};

class State {
 public:
  /// `entry` is a call's bytes as they stand in the log. What is none changes nothing but the
  /// position.
  Outcome apply(std::string_view entry);

  const Position& position() const { return position_; }
  void set_epoch(std::uint64_t epoch) { position_.epoch = epoch; }
  const std::map<std::string, Value, std::less<>>& values() const { return values_; }

  std::string snapshot() const;
  /// Takes over a snapshot; false, with nothing changed, where it is none.
  bool restore(std::string_view bytes);
  bool operator==(const State&) const = default;

 private:
  struct Caller {
    std::uint64_t number = 0, last_call_at = 0;  // `used`: position of its last call
    Outcome outcome;
    bool operator==(const Caller&) const = default;
  };
  Outcome change(const Call& call);
  void record_outcome(const Call& call, const Outcome& outcome);

  Position position_;
  std::map<std::string, Value, std::less<>> values_;
  std::size_t text_bytes_ = 0;
  std::map<std::uint64_t, Caller> callers_;
  std::uint64_t evicted_at_ = 0;  // the newest `used` of a caller whose answer is no longer kept
};

}  // namespace violetusher::core::ledger
