// Names of the faults that can be injected into a fleet's ledger, as used in a day's events
// ("ledger-cut"), in schedule files and in reports.
#pragma once

#include <cstddef>
#include <string_view>

namespace violetusher::kit {

/// In the order of chaos::Fault::Kind.
inline constexpr std::string_view kLedgerFaults[] = {
    "kill",    "stop",      "freeze",     "cut",        "isolate",     "split",      "slow",
    "shuffle", "spoil",     "lose-disk",  "old-disk",   "rolled-back", "spoil-disk", "full-disk",
    "clock",   "slow-disk", "read-error", "power-loss", "reset",       "rate"};

/// Faults of a link from one router to another.
inline constexpr std::string_view kLinkFaults[] = {"cut",   "slow",  "shuffle",
                                                   "spoil", "reset", "rate"};
/// Faults that take a duration or a delay.
inline constexpr std::string_view kTimedFaults[] = {"slow",  "old-disk",  "rolled-back",
                                                    "clock", "slow-disk", "read-error"};

/// Whether `word` is one of `words`.
template <std::size_t n>
constexpr bool has_word(const std::string_view (&words)[n], std::string_view word) {
  for (std::string_view w : words)
    if (w == word) return true;
  return false;
}

}  // namespace violetusher::kit
