#include "record.hpp"

namespace violetusher::core::flight {

const char* name_of(Kind kind) {
  static const char* const kNames[] = {
      "none",    "taken",         "routed",        "sent",          "written",
      "dial",    "dial-end",      "moved",         "end",           "cancelled",
      "refused", "failed",        "answered",      "gone",          "forgotten",
      "late",    "second-answer", "attempt-after", "no-connection", "answer-paused"};
  auto at = static_cast<std::uint8_t>(kind);
  return at <= kMaxKind ? kNames[at] : "unknown";
}

const char* name_of(Reason why) {
  static const char* const kNames[] = {"none",        "module",       "no-route",   "limit",
                                       "budget",      "table",        "bytes",      "buffer",
                                       "dial",        "deadline",     "left",       "shutdown",
                                       "bad-command", "duplicate-id", "key-expired"};
  auto at = static_cast<std::uint8_t>(why);
  return at <= kMaxReason ? kNames[at] : "unknown";
}

const char* name_of(Status status) {
  static const char* const kNames[] = {"ok",    "error", "busy",      "timeout", "connect-failed",
                                       "reset", "stale", "cancelled", "moot",    "miss"};
  auto at = static_cast<std::size_t>(status);
  return at < sizeof kNames / sizeof *kNames ? kNames[at] : "unknown";
}

}  // namespace violetusher::core::flight
