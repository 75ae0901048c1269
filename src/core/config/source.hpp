// Configuration texts and what is wrong with them: positions, diagnostics, how they are shown.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace violetusher::core::config {

/// Where something stands: the file's number in Sources, line and column from 1, columns in bytes.
struct Position {
  std::uint32_t file = 0, line = 1, column = 1;
  bool operator==(const Position&) const = default;
};

struct Diagnostic {
  Position at;
  std::uint32_t length = 1;  ///< bytes to underline
  std::string what;          ///< what is wrong
  std::string hint;          ///< what would be right; may be empty
  /// What found it. One mistake often shows to all three; the earliest tells it best.
  enum class Stage { kLexer, kParser, kMeaning } stage = Stage::kMeaning;
};

/// Texts by number, in the order in which they were read.
class Sources {
 public:
  std::uint32_t add(std::string name, std::string text);
  const std::string& name(std::uint32_t file) const { return files_[file].name; }
  const std::string& text(std::uint32_t file) const { return files_[file].text; }
  std::size_t count() const { return files_.size(); }
  std::size_t bytes() const { return bytes_; }
  /// "FILE:LINE:COLUMN: what", the line itself, a caret, the hint. Long lines are cut around it.
  std::string show(const Diagnostic& d) const;
  /// The first line of that alone.
  std::string brief(const Diagnostic& d) const;

 private:
  struct File {
    std::string name, text;
  };
  std::vector<File> files_;
  std::size_t bytes_ = 0;
};

/// Collects diagnostics up to a bound: a file of rubbish gives a page of them and no more.
class Diagnostics {
 public:
  static constexpr std::size_t kMaxShown = 100;
  void add(Position at, std::string what, std::string hint = "", std::uint32_t length = 1) {
    if (list_.size() < kMaxShown)
      list_.push_back({at, length, std::move(what), std::move(hint), stage_});
    ++count_;
  }
  /// The stage of what is added from now on.
  void enter(Diagnostic::Stage stage) { stage_ = stage; }
  bool none() const { return count_ == 0; }
  std::size_t count() const { return count_; }
  bool full() const { return count_ >= kMaxShown; }
  const std::vector<Diagnostic>& list() const { return list_; }
  /// By file, line and column; of each line only what its earliest stage found, and one word of the
  /// lexer.
  void finalize();

 private:
  std::vector<Diagnostic> list_;
  std::size_t count_ = 0;
  Diagnostic::Stage stage_ = Diagnostic::Stage::kMeaning;
};

}  // namespace violetusher::core::config
