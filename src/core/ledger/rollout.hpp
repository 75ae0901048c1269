// Staged roll-out of a text, such as an operator file, to a share of the routers first: the plan
// that is stored in the ledger, which of its two texts a router should use, and the steps by which
// one router gets there. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bytes.hpp"

namespace violetusher::core::ledger {

using Micros = std::int64_t;

inline constexpr std::size_t kMaxTextBytes = 31u << 10;  ///< a plan holds two texts

/// The text of a file; nothing stands for each router's own text from before any roll-out.
using Text = std::optional<std::string>;
/// "own", or the digest of the text as 16 hexadecimal digits.
std::string label(const Text& text);

/// The ledger's value "file/NAME". One value holds plan and texts, so a plan never exists without
/// its texts.
struct Plan {
  std::uint64_t number = 0;  ///< increases with each roll-out and each roll-back
  unsigned share = 100;      ///< percentage of routers, rounded up, that use `next`
  Text next, previous;       ///< the other routers use `previous`
  std::uint64_t nonce = 0;   ///< random, so that no two writes are equal

  bool in_progress() const { return share < 100; }
  std::string bytes() const;
  static std::optional<Plan> parse(std::string_view bytes);
  bool operator==(const Plan&) const = default;
};

/// The plan to write in place of the current one, or the reason why there is none.
struct Proposal {
  std::optional<Plan> plan;
  std::string why;
};
/// Starts a roll-out. Rejected while another is in progress, or if all routers use the text
/// already.
Proposal start_rollout(const std::optional<Plan>& now, std::string text, unsigned share);
/// Extends the roll-out to more routers; 100 completes it. The share never shrinks; use
/// roll_back().
Proposal widen(const std::optional<Plan>& now, unsigned share);
/// Returns all routers to the previous text. Rejected if they are back already, so that a repeated
/// call never brings the text that was withdrawn back.
Proposal roll_back(const std::optional<Plan>& now);

/// The number of routers in a share, rounded up.
std::size_t selected_count(unsigned share, std::size_t routers);
/// Whether the share of the plan includes router `name`; `names` are all routers, including it. A
/// selected router stays selected as the share grows. The order differs between roll-outs.
bool is_selected(const Plan& plan, const std::string& name, const std::vector<std::string>& names);
/// The text that router `name` should use.
const Text& target_text(const Plan& plan, const std::string& name,
                        const std::vector<std::string>& names);

/// Moves one router to its target text, one job at a time. A text that the router can't use is
/// rejected once and the router stays on its current one; a failed write is retried with
/// exponential backoff.
class Adopter {
 public:
  static constexpr Micros kMinBackoff = 1'000'000, kMaxBackoff = 60'000'000;

  struct Job {
    std::uint64_t version = 0;  ///< of the ledger's value
    Text text;
  };
  /// How a job ended.
  enum class End {
    kAdopted,
    kRefused,  ///< this router can't use the text
    kFailed,   ///< it could not be written
  };

  /// Sets the label of the text that the router's files hold. To be called at the start and
  /// whenever the files may have been changed by hand.
  void set_current(std::string current);
  /// Sets the target text according to the newest view. A new text is not applied before
  /// `not_before`, so that the routers do not all switch at the same moment.
  void set_target(std::uint64_t version, const Text& text, Micros not_before);
  /// The job to start now; nothing while one is running, or before the backoff of a failed one
  /// ends.
  std::optional<Job> next(Micros now);
  /// Ends the current job. `random` adds jitter to the retries: what fills one disk often fills
  /// many.
  void finish(End end, const std::string& why, Micros now, std::uint64_t random);

  /// The label of the text that the router uses.
  const std::string& current() const { return current_; }
  bool busy() const { return job_.has_value(); }
  /// Whether the router uses its target text, or has none.
  bool at_target() const { return version_ == 0 || current_ == label(text_); }
  /// Status for operators and tools: version, target and current text, and why they differ.
  Json report() const;

 private:
  std::string current_ = "own", refused_, why_;
  std::uint64_t version_ = 0;
  Text text_;
  std::optional<Job> job_;
  Micros backoff_ = 0, not_before_ = 0;
};

}  // namespace violetusher::core::ledger
