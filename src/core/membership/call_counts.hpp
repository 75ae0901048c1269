// Counts of the calls to discovery, by how they ended.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace violetusher::core::membership {

/// How a call to discovery ended.
enum class CallOutcome : std::uint8_t {
  kAnswered,     ///< with a list of which every entry is usable
  kUnusable,     ///< with something else
  kRefused,      ///< with an error status: discovery is there, and has no answer for now
  kUnreachable,  ///< no connection could be made
  kFailed,       ///< reset, ended within the answer, or timed out
  kLocalError,   ///< a local shortage: the call has not left this machine
  kGivenUp,      ///< ended by the router, with no answer
  kCount,
};

/// The name of an outcome in logs and metrics.
constexpr const char* name_of(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAnswered:
      return "answered";
    case CallOutcome::kUnusable:
      return "unusable";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kUnreachable:
      return "unreachable";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kLocalError:
      return "local-error";
    case CallOutcome::kGivenUp:
      return "given-up";
    case CallOutcome::kCount:
      break;
  }
  return "unknown";
}

/// Calls since the start of the process.
struct CallCounts {
  std::uint64_t made = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(CallOutcome::kCount)> ended{};
};

}  // namespace violetusher::core::membership
