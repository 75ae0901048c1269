// One member of the ledger's Raft group: Raft on a disk, from the rejoin check after a start to the
// calls that it answers once they are committed by a majority.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ledger/reconfiguration.hpp"
#include "core/ledger/rejoin_check.hpp"
#include "core/ledger/view.hpp"
#include "libraft.hpp"
#include "raft_port.hpp"
#include "storage.hpp"

namespace violetusher::ledger {

using core::ledger::Call;
using core::ledger::Outcome;
using core::ledger::View;

/// Timing of the group; all of its members should use the same values.
struct Timing {
  Micros heartbeat = 60'000, election = 600'000;
  Micros trust_after = 15'000'000;  ///< then the disk is trusted without the rejoin check
  unsigned snapshot_entries = 512, snapshot_trailing = 128;
};

/// A member's address in Raft. It contains the identity, so that a new identity of a router has
/// another address than the one before.
std::string raft_address(const std::string& name, std::uint64_t identity);
/// The router's name in a Raft address.
std::string name_in(const std::string& address);

/// A member of the group. It does not vote until the leader has promoted it.
class Voter {
 public:
  enum class Stage {
    kRejoinCheck,  ///< asking other members whether its disk is old
    kRunning,
    kStaleDisk,  ///< the disk is old: the identity must be abandoned
    kFailed,     ///< the disk failed; to be reopened after a delay
    kReopen,     ///< to be reopened at once
  };
  /// Receives the outcome of a call, or nothing if it is unknown whether the call took effect.
  using Done = std::function<void(std::optional<Outcome>)>;

  /// `target_voters`: the number of voters that the group should have; `routers`: the number of all
  /// other routers.
  Voter(Storage& storage, Image&& image, const std::string& name, const Timing& timing,
        std::size_t target_voters, std::size_t routers, RaftPort::Environment env);
  ~Voter();

  Stage stage() const { return stage_; }
  std::uint64_t identity() const { return identity_; }
  const core::ledger::RejoinCheck& rejoin_check() const { return rejoin_check_; }
  void add_answer(std::uint64_t from, const core::ledger::RejoinCheck::Answer& answer);
  void vouch();

  /// Advances Raft's timers.
  void tick();
  void receive(std::uint64_t from, const std::string& address, const Json& message);
  /// `done` is called once the call is committed, from within tick(), receive() or submit().
  void submit(const Call& call, Done done);

  bool is_leader() const { return stage_ == Stage::kRunning && raft_.state == RAFT_LEADER; }
  std::string leader();  ///< the leader's name; empty if unknown
  /// When it last heard from the leader of its term or was leader itself; 0: never.
  Micros last_leader_contact() const { return last_leader_contact_; }
  /// Members according to the latest configuration, which may be uncommitted.
  std::vector<RaftMember> members() const;
  core::ledger::RejoinCheck::Voters voters() const;
  bool votes() const;
  /// Whether a membership change is in progress.
  bool changing() const { return changing_ || raft_.configuration_uncommitted_index != 0; }
  void apply_change(const core::ledger::MembershipChange& membership_change);
  /// Transfers leadership to voter `to`; 0: to any that has caught up.
  void transfer_leadership(std::uint64_t to = 0);

  const View& view() const { return view_; }
  const LogPosition& log_position() const {
    return port_ ? port_->log_position() : initial_position_;
  }

 private:
  struct Request;
  struct Change;
  bool start_raft();
  void flush();
  void check_verdict();

  Storage& storage_;
  Image image_;  // until Raft runs
  std::string name_, address_;
  Timing timing_;
  RaftPort::Environment env_;
  std::uint64_t identity_;
  LogPosition initial_position_;
  Members initial_members_;
  core::ledger::RejoinCheck rejoin_check_;
  Stage stage_ = Stage::kRejoinCheck;
  // `running_time_`: since the start, without stalls
  Micros running_time_ = 0, last_tick_;
  std::unique_ptr<RaftPort> port_;
  raft raft_{};
  raft_fsm fsm_{};
  struct raft_transfer transfer_ {};
  View view_;
  Outcome applied_;
  Micros last_leader_contact_ = 0;
  bool changing_ = false, transferring_ = false;
};

}  // namespace violetusher::ledger
