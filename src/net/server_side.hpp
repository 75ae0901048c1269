// The side of the router that faces cache servers: dials, connection pools, pipelining, idle
// closes, and the outcome of each attempt.
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
#include "core/guard/server_closes.hpp"
#include "core/limit/buffer_budget.hpp"
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

/// Owns all connections to cache servers and the attempts on them.
class ServerSide {
 public:
  /// Receives the events of attempts. Calls come from within the event loop and from send() and
  /// cancel(); they must not call back into ServerSide.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The attempt has ended; `answer` is what was received, if `status` implies an answer. Called
    /// once for each attempt that is not cancelled.
    virtual void on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) = 0;
    /// The first byte of the attempt has been written. `server_available`: its server is listed and
    /// ready; `sent_deadline`: the end of the time left that the server was sent.
    virtual void on_attempt_written(RequestId id, int attempt, bool server_available,
                                    Micros sent_deadline) = 0;
    /// The attempt's answer has begun and pauses: it may be slow, or never be complete. Told once.
    virtual void on_answer_paused(RequestId, int) {}
    /// The head of a value that is too long to be buffered has come. It is streamed once more of it
    /// has come, or from begin_stream() on.
    virtual void on_long_value(RequestId, int) {}
    /// A streamed value begins. Returns false if nobody waits for it.
    virtual bool on_stream_begin(RequestId id, int attempt, const Answer& head) = 0;
    /// More of the value. Returns false if no more is to come until resume().
    virtual bool on_stream_data(RequestId id, int attempt, std::string_view piece) = 0;
    /// The router gives the attempt up, or its connection has broken: told before its end.
    virtual void on_attempt_interrupted(const core::InterruptedAttempt&) {}
  };
  /// Limits on connections and their use.
  struct Limits {
    std::size_t connections = 300;                                          ///< to all servers
    core::ConnectionShare table = core::connection_share(1, 15 * kSecond);  ///< of each server
    int streams = 32;  ///< attempts pipelined on one connection
    /// Buffered for all servers together: answers that have begun, and requests partly written.
    std::size_t buffer_bytes = 8u << 20;
    Micros dial_timeout = 75 * kMillisecond;
  };

  ServerSide(Io& io, Handler& handler, Limits limits,
             const std::vector<violetusher::ReportField>* fields, core::flight::Recorder& recorder);
  ~ServerSide();

  /// Applies a host list: the addresses of servers, and which of them accept new attempts.
  void update_hosts(const HostList& list);

  /// Which answers without an id, of another attempt, must not be taken for an attempt's own. A
  /// server may send such an answer a second time.
  enum class OwnAnswer {
    kNotRequired,
    kOfWrite,  ///< refusals and errors
    kOfRead,   ///< misses too
  };
  /// The terms on which an attempt is sent.
  struct AttemptTerms {
    Micros deadline = 0;  ///< the server is sent the time left until then, as of the first byte
    Micros send_before = violetusher::Send::kAnyTime;  ///< it fails unless it is started before
    OwnAnswer own_answer = OwnAnswer::kNotRequired;
  };
  /// Sends one attempt. The handler may be notified of its end before this returns.
  void send(const std::string& server, RequestId id, int attempt, const Command& command,
            const AttemptTerms& terms);
  /// Removes an attempt of which nothing is written yet; returns false if there is none.
  bool withdraw(const std::string& server, RequestId id, int attempt);
  /// Whether cancel() would close the attempt's connection, which is the only way to tell the
  /// server that the attempt is abandoned. If it would not, as others on that connection still
  /// wait, the attempt goes on; it is abandoned with the last of them and reported as Timeout.
  bool may_abandon(const std::string& server, RequestId id, int attempt);
  /// Abandons an attempt: NotSent if no whole attempt was sent, Cancelled if it may have run.
  Status cancel(const std::string& server, RequestId id, int attempt);
  /// How far an attempt is.
  struct AttemptProgress {
    bool answer_begun = false;
    bool long_value = false;  ///< its head has come, and it can be streamed
    std::size_t answer_bytes = 0;
  };
  AttemptProgress progress_of(const std::string& server, RequestId id, int attempt);
  /// Whether the server's system has taken the attempt's request whole, so that it may run; else
  /// cancel() keeps it from running.
  bool request_taken(const std::string& server, RequestId id, int attempt);
  /// Whether the server has taken a part of the attempt's request since the last call, or has begun
  /// to: it is read slowly.
  bool request_progresses(const std::string& server, RequestId id, int attempt);
  /// Streams a long value from now on, however little of it has come; returns false if the attempt
  /// receives none. Calls the handler.
  bool begin_stream(const std::string& server, RequestId id, int attempt);
  /// Resumes the streamed value of the attempt.
  void resume(const std::string& server, RequestId id, int attempt);
  /// Writes the queued attempts. Call once per iteration of the loop.
  void flush();
  /// Whether there is something to flush.
  bool dirty() const { return !dirty_.empty(); }
  /// Open connections to all servers.
  std::size_t connections() const { return total_; }
  /// Attempts written completely since the start.
  std::uint64_t written() const { return written_; }
  /// Applies the connection limits of new settings; the totals for all servers stay.
  void update_limits(const Limits& limits) {
    std::size_t connections = limits_.connections, buffer_bytes = limits_.buffer_bytes;
    limits_ = limits;
    limits_.connections = connections;
    limits_.buffer_bytes = buffer_bytes;
  }
  /// Reports sent attempts and the available servers to `activity_recorder`, which must outlive
  /// this object.
  void attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder);
  /// Bytes buffered for all servers now, and the most so far.
  std::size_t buffered() const { return budget_.used(); }
  std::size_t peak_buffered() const { return budget_.peak(); }
  /// Closes of connections so far, by reason.
  const core::ServerCloseCounts& closes() const { return closes_; }
  /// Servers for which any state is kept.
  std::size_t pools() const { return pools_.size(); }

 private:
  friend class ServerConnection;
  /// The connection of a live attempt and its index there; null if there is none.
  std::pair<ServerConnection*, std::size_t> find(const std::string& server, RequestId id,
                                                 int attempt);
  void sweep();
  void trim_idle(ServerPool& pool);
  ServerConnection* pick_connection(ServerPool& pool, OwnAnswer own_answer);
  enum class Connecting { kInclude, kExclude };
  /// The connection of the pool on which to queue one more attempt behind others; null if none is
  /// suitable. `connecting`: whether connections that are not established yet count.
  ServerConnection* least_loaded(ServerPool& pool, Connecting connecting,
                                 OwnAnswer own_answer) const;
  /// Makes room for one more connection to `pool`'s server; returns false if all are in use.
  bool make_room(ServerPool& pool);
  ServerConnection* dial(ServerPool& pool);
  /// Goes on with answers that wait for room in the buffers, the longest wait first.
  void admit_waiting_answers();
  /// Moves attempts that wait for deferred dials to a connection of the pool that has room.
  void reassign_deferred(ServerPool& pool);
  void mark_dirty(ServerConnection& connection);
  /// Closes the connection; every attempt on it gets its outcome.
  void close(ServerConnection& connection, core::ServerCloseReason reason);
  /// `why` is kTransientError if this machine could not dial, which is not held against the server.
  void on_dial_failed(ServerConnection& connection, CallResult why);

  Io& io_;
  Handler& handler_;
  Limits limits_;
  const std::vector<violetusher::ReportField>* fields_;
  core::flight::Recorder& recorder_;
  core::audit::ActivityRecorder* activity_recorder_ = nullptr;
  std::unique_ptr<Alarm> sweep_alarm_;
  std::unordered_map<std::string, std::unique_ptr<ServerPool>> pools_;
  core::ServerCloseCounts closes_;
  std::size_t total_ = 0;
  bool dials_deferred_ = false;  // since the last sweep, by this machine
  std::uint64_t written_ = 0;
  std::uint32_t next_connection_id_ = 1;
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::vector<ServerConnection*> dirty_;
  core::BufferBudget budget_;
  std::vector<ServerConnection*> waiting_for_room_;  // not read until the buffers have room
  static constexpr Micros kSweepInterval = kSecond / 50;
  static constexpr std::size_t kReadBufferBytes = 16u << 10;  // bytes per read
  std::unique_ptr<char[]> read_buffer_;
  Answer answer_;  // the one being read
};

}  // namespace violetusher::net
