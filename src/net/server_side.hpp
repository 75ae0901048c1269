// The connections to cache servers: dial, pool, pipeline, idle close, and each attempt's fate.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "core/audit/activity_recorder.hpp"
#include "core/connections/idle_budget.hpp"
#include "core/flight/ring.hpp"
#include "io.hpp"
#include "protocol/meta.hpp"

namespace violetusher::net {

using protocol::Answer;
using protocol::AnswerReader;
using protocol::Command;

using violetusher::RequestId;
using violetusher::Status;

class ServerConnection;
struct ServerPool;

class ServerSide {
 public:
  /// Told of what becomes of attempts. Calls come from within the event loop, and from send() and
  /// cancel(); none may call back into ServerSide.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The attempt has ended; `answer` is what came, where `status` tells of one. Called once for
    /// each attempt, unless it was cancelled.
    virtual void on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) = 0;
    /// The attempt's first byte has been written. `wanted`: its server takes anything new;
    /// `sent_deadline`: what the server was told of the time that is left ends then.
    virtual void on_attempt_written(RequestId id, int attempt, bool server_available,
                                    Micros sent_deadline) = 0;
    /// The head of a long value has come. False where nobody wants the rest.
    virtual bool on_stream_begin(RequestId id, int attempt, const Answer& head) = 0;
    /// More of the value. False where no more is to come until resume().
    virtual bool on_stream_data(RequestId id, int attempt, std::string_view piece) = 0;
  };
  struct Limits {
    std::size_t connections = 300;                                          ///< to all servers
    core::ConnectionShare table = core::connection_share(1, 15 * kSecond);  ///< of each server
    int streams = 32;  ///< attempts on one connection
    Micros dial_timeout = 75 * kMillisecond;
  };

  ServerSide(Io& io, Handler& handler, Limits limits,
             const std::vector<violetusher::ReportField>* fields, core::flight::Recorder& recorder);
  ~ServerSide();

  /// Takes over what a list says of where servers are and whether they want anything new.
  void update_hosts(const HostList& list);

  /// Sends one attempt, whose server is told how long is left until `deadline` when the first of it
  /// is written; from `until` on nothing of it is begun any more. The handler may be told of its
  /// end before this returns.
  void send(const std::string& server, RequestId id, int attempt, const Command& command,
            Micros deadline, Micros send_before = violetusher::Send::kAnyTime);
  /// Takes an attempt back of which nothing is written yet; false where there is none.
  bool withdraw(const std::string& server, RequestId id, int attempt);
  /// Whether cancel() would end the attempt's connection, which alone tells the server that it is
  /// given up. Where it is not, as others on that connection still wait, the attempt goes on; it is
  /// given up with the last of them, and told as Timeout.
  bool may_abandon(const std::string& server, RequestId id, int attempt);
  /// Gives an attempt up: Moot where nothing of it was sent whole, Cancelled where it may have run.
  Status cancel(const std::string& server, RequestId id, int attempt);
  /// The long value of the attempt may go on coming.
  void resume(const std::string& server, RequestId id, int attempt);
  void flush();
  bool dirty() const { return !dirty_.empty(); }
  std::size_t connections() const { return total_; }
  /// Attempts written whole since the start.
  std::uint64_t written() const { return written_; }
  /// What new settings say of connections; how many there may be to all servers stays.
  void update_limits(const Limits& limits) {
    std::size_t connections = limits_.connections;
    limits_ = limits;
    limits_.connections = connections;
  }
  /// Tells `account`, which outlives this, what is sent and who gets anything new.
  void attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder);
  /// Servers of which anything is kept.
  std::size_t pools() const { return pools_.size(); }

 private:
  friend class ServerConnection;
  /// The connection that the attempt is on, and its place there; none where nobody waits for it.
  std::pair<ServerConnection*, std::size_t> find(const std::string& server, RequestId id,
                                                 int attempt);
  void sweep();
  void trim_idle(ServerPool& pool);
  ServerConnection* pick_connection(ServerPool& pool);
  enum class Connecting { kInclude, kExclude };
  /// The connection of the pool to write one more attempt behind others on; none where there is
  /// no good one. `dialling`: whether one that is not up yet may be it.
  ServerConnection* least_loaded(ServerPool& pool, Connecting connecting) const;
  /// Makes room for one more connection to `pool`'s server; false where all are in use.
  bool make_room(ServerPool& pool);
  ServerConnection* dial(ServerPool& pool);
  /// Moves what waits for dials that are put off to a connection of the pool that has room.
  void reassign_deferred(ServerPool& pool);
  void mark_dirty(ServerConnection& connection);
  /// Ends the connection; every attempt on it gets its outcome.
  void close(ServerConnection& connection);
  /// `why`: kTransientError where this machine could not dial, which is not held against the
  /// server.
  void on_dial_failed(ServerConnection& connection, CallResult why);

  Io& io_;
  Handler& handler_;
  Limits limits_;
  const std::vector<violetusher::ReportField>* fields_;
  core::flight::Recorder& recorder_;
  core::audit::ActivityRecorder* activity_recorder_ = nullptr;
  std::unique_ptr<Alarm> sweep_alarm_;
  std::unordered_map<std::string, std::unique_ptr<ServerPool>> pools_;
  std::size_t total_ = 0;
  bool dials_deferred_ = false;  // since the last sweep, by this machine
  std::uint64_t written_ = 0;
  std::uint32_t next_connection_id_ = 1;
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::vector<ServerConnection*> dirty_;
  static constexpr std::size_t kReadBufferBytes = 16u << 10;  // read at once from one connection
  std::unique_ptr<char[]> read_buffer_;
  Answer answer_;  // the one being read
};

}  // namespace violetusher::net
