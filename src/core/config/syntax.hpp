// The syntax of operator files: tokens and the tree that the parser makes of them. It knows no
// section and no key: those are tables in schema.hpp. Grammar: docs/operators/configuration.md.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "source.hpp"

namespace violetusher::core::config {

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
  std::string text;  ///< a name, a number with its unit, or a text without its quotes
  Position at;
  std::uint32_t length = 0;
  std::vector<std::string> comments;  ///< lines that stand before it, without their '#'
  std::string trailing_comment;       ///< a comment behind it on its line
};

/// Cuts a text into tokens. What can't be one is told and left out. The last token is kEnd.
std::vector<Token> tokenize(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics);

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
  std::string name;  ///< of a block; empty where it has none
  Value value;
  std::vector<Node> nodes;
  Position at, name_at;
  std::uint32_t length = 0, name_length = 0;
  std::vector<std::string> comments, closing_comments;
  std::string trailing_comment, closing_trailing_comment;
};

struct Tree {
  std::vector<Node> nodes;
  std::vector<std::string> closing_comments;
};

/// Parses one file. After an error it goes on behind the next ';' or '}', so that independent
/// errors are told together.
Tree parse(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics);

}  // namespace violetusher::core::config
