// A local file whose text is managed by roll-outs. At any moment it holds one complete text or the
// other. While needed, these files stand beside it:
//   FILE.own     its text from before the first roll-out
//   FILE.next    the staged text
//   FILE.before  its text from before the last swap
#pragma once

#include <optional>
#include <string>

#include "core/ledger/rollout.hpp"

namespace violetusher::ledger {

/// A managed file. Used by two threads in turn: the ledger's thread stages texts, the router's
/// swaps them.
class RolloutFile {
 public:
  explicit RolloutFile(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }
  std::string staged() const { return path_ + ".next"; }
  /// The label of the current text, see core::ledger::label(); nothing while it can't be read.
  std::optional<std::string> label() const;
  /// Writes `text` to FILE.next and syncs it. Returns the error, or an empty string.
  std::string stage(const core::ledger::Text& text);
  /// Replaces the file by the staged text; undo() restores the previous one.
  bool swap();
  /// Restores the text from before the swap. If this fails, undo_pending() is true until it
  /// succeeds.
  bool undo();
  bool undo_pending() const { return undo_pending_; }
  /// Completes a swap that is to stay, on the ledger's thread: syncs it and deletes the files that
  /// are no longer needed.
  void finish(const core::ledger::Text& text);

 private:
  std::string path_;
  bool undo_pending_ = false;
};

}  // namespace violetusher::ledger
