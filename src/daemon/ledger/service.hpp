// The ledger of a running router: its node, files and links on a separate thread, so that neither
// the disk nor another router ever delays a client's request.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "core/config/model.hpp"
#include "daemon/loop_task_queue.hpp"
#include "net/operations.hpp"
#include "node.hpp"
#include "rollouts.hpp"

namespace violetusher::ledger {

/// Runs the ledger's thread and connects it to the router's thread.
class Service final : public net::Operations::FleetBans {
 public:
  /// Callbacks on the router's own thread.
  struct Handler {
    std::function<void(const std::set<std::string>& out)> on_bans_changed;
    std::function<void(const std::string& event, const std::string& text)> log_event;
    /// The versions that the router acts on, by kind: a digest or a name each.
    std::function<std::map<std::string, std::string>()> versions;
    /// The position of the router's audit trail; empty or not set if it keeps none.
    std::function<std::string()> trail;
    /// Swaps in a staged text and reloads. Returns why it can't be used, or an empty string.
    std::function<std::string(RolloutFile& file)> apply_staged;
  };

  /// `base`: the router's event loop. `model` must have a ledger. Throws net::ConfigError if it
  /// can't listen.
  Service(event_base* base, const core::config::Model& model, const std::string& name,
          Handler handler);
  ~Service() override;
  Service(const Service&) = delete;

  void set_banned(const std::string& id, bool out,
                  std::function<void(std::string why)> done) override;
  /// Hands over leadership before the router shuts down.
  void transfer_leadership();
  /// To be called when managed files may have been changed by hand.
  void reread_rollout_files();

 private:
  class Environment;
  void run();

  Handler handler_;
  std::string name_;
  net::LoopTaskQueue to_router_;
  net::EventBasePtr base_;
  std::unique_ptr<net::LoopTaskQueue> to_ledger_;
  std::unique_ptr<Environment> env_;
  bool stopping_ = false;  // used by the ledger's thread
  std::thread thread_;
};

/// Settings of a node from the operator file. `peers` may include the router itself.
NodeSettings node_settings(const core::config::Ledger& settings,
                           const std::map<std::string, core::config::Peer>& peers,
                           const std::string& name);

}  // namespace violetusher::ledger
