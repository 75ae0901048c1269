// Operator commands: one line each.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace violetusher::core::ops {

constexpr std::size_t kMaxCommandBytes = 512;  ///< bytes of a command line, including its end
constexpr std::size_t kMaxIdBytes = 250;       ///< bytes of a cache server's id

/// A parsed operator command.
struct OperatorCommand {
  enum class Kind { kHealth, kDump, kOffline, kOnline };
  Kind kind = Kind::kHealth;
  std::string id;  ///< for kOffline and kOnline
};

/// Parses `line` (without its end). Returns nothing, with the reason in `error`, if it is not a
/// command. Words may be separated by any number of spaces; case is ignored.
std::optional<OperatorCommand> parse_command(std::string_view line, std::string& error);

/// Returns whether the text can be the id of a cache server: printable, no spaces, at most
/// kMaxIdBytes.
bool is_valid_id(std::string_view id);

}  // namespace violetusher::core::ops
