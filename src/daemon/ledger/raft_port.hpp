// libraft's I/O, filled by us: what it stores goes to a Storage, what it sends becomes values for
// the links, and time and randomness come in from whoever owns the port. Nothing here knows of
// threads, sockets or files.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/ledger/bytes.hpp"
#include "core/ledger/rejoin_check.hpp"
#include "libraft.hpp"
#include "storage.hpp"

namespace violetusher::ledger {

using core::ledger::Json;
using core::ledger::LogPosition;
using Micros = std::int64_t;

struct RaftMember {
  std::uint64_t identity = 0;
  std::string address;
  int role = RAFT_VOTER;
};
/// Reads what raft_configuration_encode() writes; empty where it is none.
std::vector<RaftMember> read_members(std::string_view bytes);
std::string write_members(const std::vector<RaftMember>& members);
/// The members that the image's log ends with, and where it says so.
struct Members {
  std::uint64_t index = 0;
  std::vector<RaftMember> list;
};
Members members_of(const Image& image);

class RaftPort {
 public:
  struct Environment {
    std::function<Micros()> now;
    std::function<std::uint64_t()> random;
    std::function<void(std::uint64_t to, const std::string& address, Json&& message)> send;
    std::function<std::uint64_t()> members_index;  ///< of the entry that says who keeps
  };

  /// `image` is what the storage holds. All that is given outlives the port.
  RaftPort(Storage& storage, Image&& image, const LogPosition& floor, Environment env);

  raft_io* io() { return &io_; }
  void tick();
  /// Where a leader's entries replace one that says who keeps, libraft 0.15 goes wrong: if the
  /// entry before it is in a snapshot it reads what is no more there and crashes, and after a start
  /// it goes on with members that were never agreed on. So that is done here, on the disk, and raft
  /// is opened anew.
  void receive(std::uint64_t from, const std::string& address, const Json& message);
  /// Writes what is waiting and tells raft, until nothing waits. False once the storage has failed:
  /// then nothing more is done, and the raft that uses this is to be closed.
  bool flush();
  /// Nothing is wrong with the disk, but raft is to be opened anew from it; see receive().
  bool reopen_needed() const { return reopen_needed_; }
  /// Votes are given by this log alone from now on.
  void clear_floor() { floor_ = {}; }
  /// What is on the disk.
  const LogPosition& log_position() const { return position_; }

 private:
  struct PendingOps {
    std::vector<Op> ops;
    std::function<void(int status)> done;
  };
  static RaftPort& of(raft_io* io) { return *static_cast<RaftPort*>(io->impl); }
  int load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
           raft_entry** entries, std::size_t* count);
  int send(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
  int append(raft_io_append* request, const raft_entry* entries, unsigned count,
             raft_io_append_cb done);
  int put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot& snapshot,
                   raft_io_snapshot_put_cb done);
  int get_snapshot(raft_io_snapshot_get* request, raft_io_snapshot_get_cb done);
  int commit_now(std::vector<Op>&& ops);
  bool write(const std::vector<Op>& ops);
  void cancel_all();

  Storage& storage_;
  bool strip_snapshotted(raft_message& message);
  std::uint64_t conflict(const raft_message& message) const;
  void replace_configuration_entry(std::uint64_t from, const raft_message& message);
  Image image_;  // its log without the entries' bytes, as it is on the disk
  Environment env_;
  LogPosition position_, floor_;
  raft_io io_{};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb receive_ = nullptr;
  std::vector<PendingOps> pending_;
  std::vector<Op> delayed_;  // of a planted fault alone
  std::uint64_t next_index_ = 1;
  bool failed_ = false, reopen_needed_ = false;
};

}  // namespace violetusher::ledger
