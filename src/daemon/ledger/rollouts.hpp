// The files of this router that the fleet brings up to date: which text each is to hold by what the
// ledger says, and the steps there. On the ledger's thread; what the router itself has to say about
// a text it is asked for.
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

class Rollouts {
 public:
  /// Why the router can't act on what is staged, empty where it now does.
  using Applied = std::function<void(std::string why)>;
  struct Environment {
    std::function<core::ledger::Micros()> now;
    std::function<std::uint64_t()> random;
    /// Whether what the ledger says is known to be recent: on an old word nothing new is begun.
    std::function<bool()> recent;
    /// Asks the router to act on what is staged; `tried` comes later, on this thread.
    std::function<void(RolloutFile& file, Applied applied)> apply_staged;
    std::function<void(core::ledger::Json report)> report;
    std::function<void(const std::string& event, const std::string& text)> log_event;
  };

  /// `names`: of all routers, `name` among them.
  Rollouts(const std::map<std::string, core::config::Rollout>& files, std::string name,
           std::vector<std::string> names, Environment env);

  void on_view(const core::ledger::View& view);
  void tick();
  /// Somebody may have changed the files.
  void reread();

 private:
  struct Entry {
    RolloutFile file;
    core::ledger::Micros spread;
    core::ledger::Adopter adopter;
    bool content_known = false;  // what the file holds was read
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
