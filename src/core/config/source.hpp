// Source texts of a configuration, and diagnostics with their positions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace violetusher::core::config {

/// A position: the index of the file in Sources, line and column from 1, columns in bytes.
struct Position {
  std::uint32_t file = 0, line = 1, column = 1;
  bool operator==(const Position&) const = default;
};

/// An error at a position.
struct Diagnostic {
  Position at;
  std::uint32_t length = 1;  ///< bytes to underline
  std::string what;          ///< the error
  std::string hint;          ///< how to fix it; may be empty
  /// The stage that found it. One mistake often causes errors in all three; the earliest describes
  /// it best.
  enum class Stage { kLexer, kParser, kSemantics } stage = Stage::kSemantics;
};

/// The source texts, by index in the order in which they were read.
class Sources {
 public:
  std::uint32_t add(std::string name, std::string text);
  const std::string& name(std::uint32_t file) const { return files_[file].name; }
  const std::string& text(std::uint32_t file) const { return files_[file].text; }
  std::size_t count() const { return files_.size(); }
  std::size_t bytes() const { return bytes_; }
  /// "FILE:LINE:COLUMN: what", the source line, a caret and the hint. Long lines are cut around the
  /// position.
  std::string show(const Diagnostic& d) const;
  /// Only the first line of show().
  std::string brief(const Diagnostic& d) const;

 private:
  struct File {
    std::string name, text;
  };
  std::vector<File> files_;
  std::size_t bytes_ = 0;
};

/// Collects diagnostics up to a limit, so that a file of garbage gives a page of them at most.
class Diagnostics {
 public:
  static constexpr std::size_t kMaxShown = 100;
  void add(Position at, std::string what, std::string hint = "", std::uint32_t length = 1) {
    if (list_.size() < kMaxShown)
      list_.push_back({at, length, std::move(what), std::move(hint), stage_});
    ++count_;
  }
  /// Sets the stage of diagnostics added from now on.
  void enter(Diagnostic::Stage stage) { stage_ = stage; }
  bool none() const { return count_ == 0; }
  std::size_t count() const { return count_; }
  bool full() const { return count_ >= kMaxShown; }
  const std::vector<Diagnostic>& list() const { return list_; }
  /// Sorts by file, line and column. Of each line only the errors of its earliest stage are kept,
  /// and only one of the lexer.
  void finalize();

 private:
  std::vector<Diagnostic> list_;
  std::size_t count_ = 0;
  Diagnostic::Stage stage_ = Diagnostic::Stage::kSemantics;
};

}  // namespace violetusher::core::config
