// The syntax of operator files: tokens and the parse tree. It is independent of sections and keys,
// which schema.hpp defines as tables. Grammar: docs/operators/configuration.md.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "source.hpp"

namespace violetusher::core::config {

/// A token with the comments around it.
struct Token {
  enum class Kind {
    kName,
    kText,
    kNumber,
    kOpen,
    kClose,
    kEquals,
    kSemicolon,
    kComma,
    kOpenList,
    kCloseList,
    kEnd
  };
  Kind kind = Kind::kEnd;
  std::string text;  ///< a name, a number with its unit, or a string without its quotes
  Position at;
  std::uint32_t length = 0;
  std::vector<std::string> comments;  ///< comment lines before it, without their '#'
  std::string trailing_comment;       ///< comment behind it on the same line
};

/// Splits a text into tokens. Invalid input is reported and skipped. The last token is kEnd.
std::vector<Token> tokenize(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics);

/// The value of a setting.
struct Value {
  enum class Kind { kName, kText, kNumber, kList };
  Kind kind = Kind::kName;
  std::string text;
  std::vector<Value> items;
  Position at;
  std::uint32_t length = 0;
};

/// `KEY = VALUE;` or `KIND NAME { ... }` or `include "FILE";` or `version N;`.
struct Node {
  enum class Kind { kSetting, kBlock, kInclude, kVersion };
  Kind kind = Kind::kSetting;
  std::string key;   ///< of a setting, or the kind of a block
  std::string name;  ///< of a block; may be empty
  Value value;
  std::vector<Node> nodes;
  Position at, name_at;
  std::uint32_t length = 0, name_length = 0;
  std::vector<std::string> comments, closing_comments;
  std::string trailing_comment, closing_trailing_comment;
};

/// The parse tree of one file.
struct Tree {
  std::vector<Node> nodes;
  std::vector<std::string> closing_comments;
};

/// Parses one file. After an error it continues behind the next ';' or '}', so that independent
/// errors are reported together.
Tree parse(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics);

}  // namespace violetusher::core::config
