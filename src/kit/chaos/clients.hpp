// Those who call the ledger while it is under attack, and write down what they asked and heard.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/ledger/rollout.hpp"
#include "core/ledger/state.hpp"
#include "history.hpp"
#include "schedule.hpp"

namespace violetusher::chaos {

class Clients {
 public:
  static constexpr Micros kGivesUp = 1'200'000;  ///< of one try; a router says no before that
  static constexpr int kTries = 3;               ///< of one call, at any router
  static constexpr char kRolled[] = "file/operator";

  class Outside {
   public:
    virtual ~Outside() = default;
    virtual Micros now() = 0;
    virtual std::uint64_t random() = 0;
    virtual void after(Micros wait, std::function<void()> task) = 0;
    virtual void send(int client, int router, const std::string& kind,
                      const core::ledger::Json& body) = 0;
  };

  Clients(Outside& outside, const Schedule& schedule, History& history);

  void start();
  /// No new calls.
  void stop() { stopped_ = true; }
  /// One of them reads every name until each is answered.
  void read_all();
  bool all_read() const { return reading_ && to_read_.empty(); }
  void answered(int client, const std::string& frame);

 private:
  struct Client {
    std::uint64_t caller = 0, number = 0, waiting = 0;
    int tries = 0, writes = 0;
    Operation op;
    core::ledger::Call call;
    std::map<std::string, std::uint64_t> versions;  // as last heard
    // Of an operator: what it has read and not used yet.
    std::optional<std::uint64_t> read_version;
    std::optional<core::ledger::Plan> plan;
    bool operates = false;
  };
  void ask(int number);
  void operate(int number);
  void issue(int number, Operation op);
  void try_once(int number);
  void gone_by(int number, std::uint64_t wait);
  void end(int number, Operation::End how);
  Client& at(int number) { return clients_[static_cast<std::size_t>(number)]; }

  Outside& outside_;
  const Schedule& schedule_;
  History& history_;
  std::vector<Client> clients_;
  std::vector<std::string> to_read_;
  std::uint64_t waits_ = 0;
  bool stopped_ = false, reading_ = false;
};

}  // namespace violetusher::chaos
