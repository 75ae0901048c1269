// A file whose text the fleet brings up to date, on this router's disk. What is there at any moment
// is one whole text or the other; beside it lie, while they are needed:
//   FILE.own     what it held before the first roll-out
//   FILE.next    the text that is to come
//   FILE.before  what it held a moment ago
#pragma once

#include <optional>
#include <string>

#include "core/ledger/rollout.hpp"

namespace violetusher::ledger {

/// Used by two threads, one after the other: the ledger's stages, the router's swaps.
class RolloutFile {
 public:
  explicit RolloutFile(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }
  std::string staged() const { return path_ + ".next"; }
  /// Of the text that is there; see core::ledger::label. Nothing while it can't be read.
  std::optional<std::string> label() const;
  /// Writes `text` beside the file, and waits for the disk. Why it could not; empty where it could.
  std::string stage(const core::ledger::Text& text);
  /// Puts the staged text in the file's place; undo() puts back what was there.
  bool swap();
  /// Where it fails, undo_pending() until it does not.
  bool undo();
  bool undo_pending() const { return undo_pending_; }
  /// After a swap that stands, on the ledger's thread: all of it is on the disk, and what is no
  /// longer needed is gone.
  void finish(const core::ledger::Text& text);

 private:
  std::string path_;
  bool undo_pending_ = false;
};

}  // namespace violetusher::ledger
