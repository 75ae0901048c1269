// One keeper of the ledger: raft on its disk, from the questions that it asks before it may vote to
// the calls that it answers once a majority has them on theirs.
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

/// Times of the group; all keepers of one should have the same.
struct Timing {
  Micros heartbeat = 60'000, election = 600'000;
  Micros trust_after = 15'000'000;  ///< then a disk that nobody vouched for is taken as it is
  unsigned snapshot_entries = 512, snapshot_trailing = 128;
};

/// A keeper's address in raft: an identity that follows another at one router has another address.
std::string raft_address(const std::string& name, std::uint64_t identity);
/// The router's name in such an address.
std::string name_in(const std::string& address);

class Voter {
 public:
  enum class Stage {
    kRejoinCheck,  ///< it does not yet know whether its disk is an old one
    kRunning,
    kStaleDisk,  ///< it is: this identity must go
    kFailed,     ///< the disk took or gave no more; to be opened anew after a while
    kReopen,     ///< to be opened anew at once
  };
  /// Nothing where it could not be had: whether the call holds is then not known.
  using Done = std::function<void(std::optional<Outcome>)>;

  /// `wanted`: voters of the whole group; `routers`: the others of the fleet.
  Voter(Storage& storage, Image&& image, const std::string& name, const Timing& timing,
        std::size_t target_voters, std::size_t routers, RaftPort::Environment env);
  ~Voter();

  Stage stage() const { return stage_; }
  std::uint64_t identity() const { return identity_; }
  const core::ledger::RejoinCheck& rejoin_check() const { return rejoin_check_; }
  void add_answer(std::uint64_t from, const core::ledger::RejoinCheck::Answer& answer);
  void vouch();

  void tick();
  void receive(std::uint64_t from, const std::string& address, const Json& message);
  /// The outcome comes once the call is committed, from within tick() or receive(), or here.
  void submit(const Call& call, Done done);

  bool is_leader() const { return stage_ == Stage::kRunning && raft_.state == RAFT_LEADER; }
  std::string leader();  ///< its name; empty where none is known
  /// When it last heard from the leader of its term, or led itself; 0 = not yet.
  Micros last_leader_contact() const { return last_leader_contact_; }
  std::vector<RaftMember> members() const;
  core::ledger::RejoinCheck::Voters voters() const;
  bool votes() const;
  bool changing() const { return changing_ || raft_.configuration_uncommitted_index != 0; }
  void apply_change(const core::ledger::MembershipChange& membership_change);
  /// Gives up leading, to another that votes; 0: to whichever is as far.
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
  Image image_;  // until raft runs
  std::string name_, address_;
  Timing timing_;
  RaftPort::Environment env_;
  std::uint64_t identity_;
  LogPosition initial_position_;
  Members initial_members_;
  core::ledger::RejoinCheck rejoin_check_;
  Stage stage_ = Stage::kRejoinCheck;
  Micros running_time_ = 0,
         last_tick_;  // `running_time_`: since its start, as it has lived through it
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
