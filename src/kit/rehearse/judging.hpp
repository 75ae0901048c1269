// Internal parts of the oracle. Each judges one aspect of a recorded day and adds to the verdict.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "oracle.hpp"

namespace violetusher::rehearse {

/// The attempts of each try, by request and number of the try.
class AttemptIndex {
 public:
  using Attempts = std::vector<const kit::AttemptRecord*>;

  explicit AttemptIndex(const kit::History& history);
  /// The attempts of a try, in the order in which they reached the price caches.
  const Attempts& of(const kit::TryRecord& t) const;

 private:
  std::unordered_map<std::uint64_t, Attempts> attempts_;
};

/// Checks the rules that bind on every day: adds violations.
void check_rules(const Day& day, const kit::History& history, const AttemptIndex& attempts,
                 Verdict& verdict);
/// Computes the figures of the day: service, latency, head-of-line blocking, resources.
void compute_figures(const Day& day, const Plan& plan, const kit::History& history,
                     const AttemptIndex& attempts, Verdict& verdict);
/// Compares the figures with the expectations of the day: adds checks.
void check_expectations(const Day& day, Verdict& verdict);

}  // namespace violetusher::rehearse
