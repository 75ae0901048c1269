// The schema of operator files: tables of sections and keys. A new subsystem adds its rows here and
// reads its records in compile.cpp; lexer, parser, formatter and generic checks need no change.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace violetusher::core::config {

/// The type of a key's value.
enum class Type {
  kName,      ///< an identifier
  kText,      ///< a quoted string
  kInteger,   ///< without a unit
  kDuration,  ///< us, ms, s, min; microseconds
  kSize,      ///< B, KiB, MiB, GiB; bytes
  kRate,      ///< /s, /ms; per second
  kPercent,   ///< 0% to 100%; as a fraction
  kShare,     ///< 0% or more; as a fraction
  kFlag,      ///< on, off
  kAddress,   ///< "127.0.0.1:11211"
  kPattern,   ///< a quoted string with '*' wildcards
};

/// A key of a section.
struct KeyRule {
  std::string_view key;
  Type type;
  bool list = false;
  bool required = false;
  std::string_view refers = {};  ///< kind of section that the value must name
  double low = 0, high = 1e15;
};

/// A kind of section.
struct SectionRule {
  std::string_view kind;
  std::span<const KeyRule> keys;
  bool named = true;                  ///< `KIND NAME { }`, else `KIND { }` at most once
  std::string_view parent_kind = {};  ///< kind of the enclosing section; empty = top level
  bool free_keys = false;             ///< any key that names a keys[0].refers; values as keys[0]
};

/// All kinds of sections.
std::span<const SectionRule> sections();
const SectionRule* find_section(std::string_view kind, std::string_view parent_kind);

/// For messages: a description of the type, and an example value.
std::string_view describe(Type type);
std::string_view example(Type type);

/// Parses a number with a unit into the type's base unit; false if it is invalid.
bool parse_quantity(Type type, std::string_view text, double& quantity);
/// The shortest text that parses back to the same quantity.
std::string format_quantity(Type type, double quantity);

/// The known word closest to a mistyped one by edit distance; empty if none is close.
std::string_view closest_match(std::string_view word, std::span<const std::string_view> known);

}  // namespace violetusher::core::config
