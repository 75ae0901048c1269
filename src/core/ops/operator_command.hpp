// What an operator asks of the router: one line a call.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace violetusher::core::ops {

constexpr std::size_t kMaxCommandBytes = 512;  ///< bytes of a call's line, its end included
constexpr std::size_t kMaxId = 250;            ///< bytes of a cache server's id

struct OperatorCommand {
  enum class Kind { kHealth, kDump, kOffline, kOnline };
  Kind kind = Kind::kHealth;
  std::string id;  ///< of kOffline and kOnline
};

/// The call that `line` (without its end) makes; nothing with the reason in `error` where it is
/// none. Words may stand apart by any number of spaces; letters of either case.
std::optional<OperatorCommand> parse_command(std::string_view line, std::string& error);

/// Whether the text may be a cache server's id: printable, no spaces, of a length that can be kept.
bool good_id(std::string_view id);

}  // namespace violetusher::core::ops
