// A text that all routers are to act on, such as an operator file, brought to a part of them first:
// what stands about it in the ledger, which router is to act on which of its two texts, and what
// one router does to come there. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bytes.hpp"

namespace violetusher::core::ledger {

using Micros = std::int64_t;

inline constexpr std::size_t kMaxTextBytes = 31u << 10;  ///< bytes of one text; a plan holds two

/// Nothing: what each router's own file held before any roll-out.
using Text = std::optional<std::string>;
/// "own", or 16 digits of the text's digest.
std::string label(const Text& text);

/// What stands in the ledger as "file/NAME". One value holds all of it, so that there is no moment
/// in which a plan is there and its text is not.
struct Plan {
  std::uint64_t number = 0;  ///< of the roll-out: one more with each that begins or is taken back
  unsigned share = 100;      ///< per cent of the routers, rounded up, that act on `next`
  Text next, previous;       ///< the rest act on `last`
  std::uint64_t nonce = 0;   ///< drawn by whoever wrote it, so that no two writings are alike

  bool in_progress() const { return share < 100; }
  std::string bytes() const;
  static std::optional<Plan> parse(std::string_view bytes);
  bool operator==(const Plan&) const = default;
};

/// The plan to write in place of `now`, or why there is none.
struct Proposal {
  std::optional<Plan> plan;
  std::string why;
};
/// Refused while another is under way, and of a text that all act on already.
Proposal start_rollout(const std::optional<Plan>& now, std::string text, unsigned share);
/// To more routers; 100 ends the roll-out. Never to fewer: that is what back() is for.
Proposal widen(const std::optional<Plan>& now, unsigned share);
/// All routers go back to what they had before. Going back twice is going back once.
Proposal roll_back(const std::optional<Plan>& now);

/// How many of so many routers are meant by a share.
std::size_t selected_count(unsigned share, std::size_t routers);
/// Whether `name` is among the first of all `names`, its own among them. Whoever is stays so as the
/// share grows; which ones they are differs from roll-out to roll-out.
bool is_selected(const Plan& plan, const std::string& name, const std::vector<std::string>& names);
const Text& target_text(const Plan& plan, const std::string& name,
                        const std::vector<std::string>& names);

/// One router on its way to what is wanted: one step at a time, each after the one before has
/// ended. What it can't use it refuses once and stays where it is; what its disk did not take it
/// tries again, ever more seldom.
class Adopter {
 public:
  static constexpr Micros kMinBackoff = 1'000'000, kMaxBackoff = 60'000'000;

  struct Job {
    std::uint64_t version = 0;  ///< of the ledger's value
    Text text;
  };
  enum class End {
    kAdopted,
    kRefused,  ///< the text can't be used here
    kFailed,   ///< it could not be written
  };

  /// `has`: the label of what the router acts on, as its files say. To be called at the start, and
  /// again whenever somebody may have changed them.
  void set_current(std::string current);
  /// As the newest view has it; a view never goes back. Another text than before is not begun with
  /// before `not_before`, so that not all routers take it over in one moment.
  void set_target(std::uint64_t version, const Text& text, Micros not_before);
  /// What to do now; nothing while one is under way, or has just failed.
  std::optional<Job> next(Micros now);
  /// `random` spreads the tries of many routers: what fills one disk often fills many.
  void finish(End end, const std::string& why, Micros now, std::uint64_t random);

  const std::string& current() const { return current_; }
  bool busy() const { return job_.has_value(); }
  bool at_target() const { return version_ == 0 || current_ == label(text_); }
  /// For people and tools: version, what is wanted and had, and why it is not there.
  Json report() const;

 private:
  std::string current_ = "own", refused_, why_;
  std::uint64_t version_ = 0;
  Text text_;
  std::optional<Job> job_;
  Micros backoff_ = 0, not_before_ = 0;
};

}  // namespace violetusher::core::ledger
