#include "server_closes.hpp"

namespace violetusher::core {

const char* name_of(ServerCloseReason reason) {
  static constexpr const char* kNames[] = {
      "closed-by-server", "write-failed", "protocol-error", "unsolicited-bytes",
      "error-answer",     "no-progress",  "silent",         "abandoned",
      "partial-request",  "drained",      "idle",           "made-room",
      "dial-failed"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(ServerCloseReason::kCount));
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace violetusher::core
