// What was asked of a ledger and what was answered, and what its routers showed, as somebody
// outside saw it. The checker knows these and nothing of the code.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace violetusher::chaos {

using Micros = std::int64_t;

struct Operation {
  enum class Kind { kGet, kPut, kErase };
  enum class End {
    kDone,
    kConflict,  ///< refused for its version; took no effect
    kRefused,   ///< took no effect
    kUnknown,   ///< no answer: it may have taken effect, or may yet
  };
  static constexpr std::int64_t kAny = -1;

  int client = 0;
  Kind kind = Kind::kGet;
  std::string name, text;      ///< what was written, each text once; of a get what was read
  std::int64_t expect = kAny;  ///< a version, 0 = absent, or any
  std::uint64_t version = 0;   ///< as answered; 0 = absent
  Micros asked = 0, answered = 0;
  End end = End::kUnknown;
  /// Of a put that moves a roll-out on, and of a get that reads where one stands: so many per cent
  /// of the routers are to act on `next`, the rest on `last`.
  struct Roll {
    unsigned share = 100;
    std::string next, last;  ///< kOwn: what each router had before
  };
  std::optional<Roll> roll;
};
inline constexpr char kOwn[] = "own";
/// A text that begins so can be used by no router.
inline constexpr char kBad[] = "bad";

/// A router was seen at a position.
struct Sight {
  std::string router;
  Micros at = 0;
  std::uint64_t epoch = 0, position = 0, digest = 0;
  /// The disk that its view was on when seen: another number after each loss.
  int disk = 0;
};

/// A router's file that is rolled out was seen to hold another text.
struct Take {
  std::string router;
  Micros at = 0;
  std::string text;
};

struct History {
  std::vector<Operation> operations;
  std::vector<Take> takes;
  std::vector<Sight> sights;
};

struct Finding {
  std::string rule, what;
};

/// Of one name each: there is an order of its operations, each between its call and its answer, in
/// which a single copy would have answered the same. Beyond `limit` steps nothing is judged and
/// `judged` turns false.
std::vector<Finding> check_order(const History& history, bool& judged,
                                 std::size_t limit = 4'000'000);
/// No router went back while it had its disk; two that were at one position had one history.
std::vector<Finding> check_sights(const History& history);
/// Of roll-outs, with so many routers: never do more act on a text than the largest share that
/// anybody has asked for it allows, nobody on one that can't be used, no roll-out begins while
/// another is under way, and in the end, `settled`, each share is as the last read has it.
std::vector<Finding> check_rollouts(const History& history, std::size_t routers, bool settled);

}  // namespace violetusher::chaos
