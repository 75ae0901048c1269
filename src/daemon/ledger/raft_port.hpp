// Implementation of libraft's I/O interface: it writes to a Storage, sends messages as JSON values,
// and gets time and randomness from its owner. Independent of threads, sockets and files.
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

/// A member in a Raft configuration.
struct RaftMember {
  std::uint64_t identity = 0;
  std::string address;
  int role = RAFT_VOTER;
};
/// Decodes what raft_configuration_encode() writes; empty if it is not a configuration.
std::vector<RaftMember> read_members(std::string_view bytes);
/// Encodes a configuration as libraft does.
std::string write_members(const std::vector<RaftMember>& members);
/// The latest configuration in an image, and the index of its log entry.
struct Members {
  std::uint64_t index = 0;
  std::vector<RaftMember> list;
};
Members members_of(const Image& image);

/// Connects one libraft instance to its storage and its links.
class RaftPort {
 public:
  /// What the port needs from its owner.
  struct Environment {
    std::function<Micros()> now;
    std::function<std::uint64_t()> random;
    std::function<void(std::uint64_t to, const std::string& address, Json&& message)> send;
    std::function<std::uint64_t()> members_index;  ///< of the latest configuration entry
  };

  /// `image` is the content of the storage. The storage must outlive the port.
  RaftPort(Storage& storage, Image&& image, const LogPosition& floor, Environment env);

  raft_io* io() { return &io_; }
  void tick();
  /// Processes a message. libraft 0.15 fails when a leader's entries replace a configuration entry:
  /// if the preceding one is covered by a snapshot, it reads an entry that is gone and crashes;
  /// after a restart it continues with an uncommitted configuration. So such a replacement is
  /// written to the disk here, and Raft is reopened.
  void receive(std::uint64_t from, const std::string& address, const Json& message);
  /// Writes pending operations and completes their requests until none are left. False once the
  /// storage has failed: then no more is written, and the Raft instance has to be closed.
  bool flush();
  /// The disk is good, but Raft has to be reopened from it; see receive().
  bool reopen_needed() const { return reopen_needed_; }
  /// From now on votes depend on this log alone.
  void clear_floor() { floor_ = {}; }
  /// The position on the disk.
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
  Image image_;  // as on the disk, without the bytes of log entries
  Environment env_;
  LogPosition position_, floor_;
  raft_io io_{};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb receive_ = nullptr;
  std::vector<PendingOps> pending_;
  std::vector<Op> delayed_;  // used by injected faults only
  std::uint64_t next_index_ = 1;
  bool failed_ = false, reopen_needed_ = false;
};

}  // namespace violetusher::ledger
