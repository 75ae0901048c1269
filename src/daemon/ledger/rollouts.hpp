// The files of this router that are managed by roll-outs: determines the text that each should hold
// according to the ledger and applies it. Runs on the ledger's thread; the router itself accepts or
// rejects each text.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/config/model.hpp"
#include "core/ledger/rollout.hpp"
#include "core/ledger/view.hpp"
#include "rollout_file.hpp"

namespace violetusher::ledger {

/// Applies roll-outs to the files of this router.
class Rollouts {
 public:
  /// Receives the reason why the router can't use the staged text, or an empty string if it does.
  using Applied = std::function<void(std::string why)>;
  struct Environment {
    std::function<core::ledger::Micros()> now;
    std::function<std::uint64_t()> random;
    /// Whether the view is known to be recent; no job is started on an old view.
    std::function<bool()> recent;
    /// Asks the router to use the staged text; `applied` is called later, on this thread.
    std::function<void(RolloutFile& file, Applied applied)> apply_staged;
    std::function<void(core::ledger::Json report)> report;
    std::function<void(const std::string& event, const std::string& text)> log_event;
  };

  /// `names`: all routers, including `name`.
  Rollouts(const std::map<std::string, core::config::Rollout>& files, std::string name,
           std::vector<std::string> names, Environment env);

  /// Sets the target texts according to a new view.
  void on_view(const core::ledger::View& view);
  /// Starts the jobs that are due.
  void tick();
  /// The files may have been changed by hand.
  void reread();

 private:
  struct Entry {
    RolloutFile file;
    core::ledger::Micros spread;
    core::ledger::Adopter adopter;
    bool content_known = false;  // the file's label was read
  };
  void start(const std::string& name, Entry& entry, const core::ledger::Adopter::Job& job);
  void end(const std::string& name, Entry& entry, const core::ledger::Text& text,
           core::ledger::Adopter::End how, const std::string& why);
  void reread_file(Entry& entry);
  void report();

  std::map<std::string, Entry> files_;
  std::string name_;
  std::vector<std::string> names_;
  Environment env_;
};

}  // namespace violetusher::ledger
