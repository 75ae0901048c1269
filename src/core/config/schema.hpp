// What operator files may say: sections and keys as tables. A later subsystem adds its rows here
// (or hands over a table of its own) and reads its records; lexer, parser, formatter and checks of
// the general kind stay as they are.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace violetusher::core::config {

enum class Type {
  kName,      ///< a word
  kText,      ///< in quotes
  kInteger,   ///< without unit
  kDuration,  ///< us, ms, s, min; microseconds
  kSize,      ///< B, KiB, MiB, GiB; bytes
  kRate,      ///< /s, /ms, /min; a second
  kPercent,   ///< 0% to 100%; a part
  kShare,     ///< 0% and up
  kFlag,      ///< on, off
  kAddress,   ///< "127.0.0.1:11211"
  kPattern,   ///< text with '*'
};

struct KeyRule {
  std::string_view key;
  Type type;
  bool list = false;
  bool required = false;
  std::string_view refers = {};  ///< the kind of section that a name must be defined as
  double low = 0, high = 1e15;
};

struct SectionRule {
  std::string_view kind;
  std::span<const KeyRule> keys;
  bool named = true;                  ///< `KIND NAME { }`, else `KIND { }`, once
  std::string_view parent_kind = {};  ///< the kind of section that it stands in; empty = at the top
  bool free_keys = false;  ///< any key, with values of keys[0]'s type; names of keys[0].refers
};

/// The sections that this version knows.
std::span<const SectionRule> sections();
const SectionRule* find_section(std::string_view kind, std::string_view parent_kind);

/// For messages: "a duration", and how one is written.
std::string_view describe(Type type);
std::string_view example(Type type);

/// The figure of a number with its unit in the type's own unit; false where it is none.
bool parse_quantity(Type type, std::string_view text, double& quantity);
/// The shortest way to write a figure of that type.
std::string format_quantity(Type type, double quantity);

/// The known word nearest to a mistyped one; empty where none is near.
std::string_view closest_match(std::string_view word, std::span<const std::string_view> known);

}  // namespace violetusher::core::config
