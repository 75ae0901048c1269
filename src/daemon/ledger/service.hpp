// The ledger of a running router: its node, files and links on a thread of their own, so that no
// disk and no other router ever holds up a till's request.
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

class Service final : public net::Operations::FleetBans {
 public:
  /// Called on the router's own thread.
  struct Handler {
    std::function<void(const std::set<std::string>& out)> on_bans_changed;
    std::function<void(const std::string& event, const std::string& text)> log_event;
    /// What the router acts on, by kind: a digest or a name each.
    std::function<std::map<std::string, std::string>()> versions;
    /// Where the router's trail stands; empty or none where it keeps none.
    std::function<std::string()> trail;
    /// Puts a staged text in its file's place and acts on it; why not, empty where it does.
    std::function<std::string(RolloutFile& file)> apply_staged;
  };

  /// `base`: the router's loop. `model` has a ledger. Throws net::ConfigError where it can't
  /// listen.
  Service(event_base* base, const core::config::Model& model, const std::string& name,
          Handler handler);
  ~Service() override;
  Service(const Service&) = delete;

  void set_banned(const std::string& id, bool out,
                  std::function<void(std::string why)> done) override;
  /// The router ends: leading goes to another.
  void transfer_leadership();
  /// Files that are rolled out may have been changed by hand.
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
  bool stopping_ = false;  // of the ledger's thread
  std::thread thread_;
};

/// What the operator file says, as a node takes it; the router's own name among the peers or not.
NodeSettings node_settings(const core::config::Ledger& settings,
                           const std::map<std::string, core::config::Peer>& peers,
                           const std::string& name);

}  // namespace violetusher::ledger
