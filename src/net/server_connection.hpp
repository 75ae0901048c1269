// One connection to a cache server: attempts are written in order, and their answers are read in
// the same order. Used only by ServerSide, which owns all of them.
#pragma once

#include "core/attempt/answer_progress.hpp"
#include "core/connections/idle_budget.hpp"
#include "recycled_queue.hpp"
#include "server_side.hpp"

namespace violetusher::net {

/// The state that is kept for one server.
struct ServerPool {
  std::string id;
  std::string dial;
  std::optional<sockaddr_in> address;
  bool listed = false;
  bool available = false;  // listed and ready
  Micros started_at = 0;
  Micros no_dial_until = 0;
  core::IdleBudget idle_budget;
  std::vector<std::unique_ptr<ServerConnection>> connections;
};

/// One connection to a cache server and the attempts queued on it.
class ServerConnection final : Watch::Target {
 public:
  using OwnAnswer = ServerSide::OwnAnswer;
  static constexpr std::size_t kLargeRequestBytes = 8u << 10;

  /// An attempt from its queueing until its answer.
  struct QueuedAttempt {
    RequestId id = 0;
    int attempt = 0;
    bool live = true;        // somebody waits for its answer
    bool timed_out = false;  // abandoned once all others are too: see ServerSide::may_abandon()
    bool is_set = false;
    std::string answer_id;        // the id that its answer must carry
    std::string line;             // of the command, with its end; freed once written
    protocol::SharedValue value;  // of a write, which follows the line; released once written
    std::size_t size = 0;         // of the whole command
    std::size_t time_left_begin = 0,
                time_left_end = 0;  // position of the time left in `line`
    Micros deadline = 0;            // end of the time left
    Micros send_before = 0;         // it may not be started at this time or later
    Micros queued_at = 0;
    Micros since = 0;        // when queued, later when abandoned
    std::uint32_t type = 0;  // its class, as numbered by the activity recorder
    bool started = false;    // its first byte is written
    OwnAnswer own_answer = OwnAnswer::kNotRequired;
    Micros written_at = 0;  // its last byte; 0 = not yet
    Micros copy_until = 0;  // until then a refusal may be a copy of the one before it

    /// Too large for a server's system to take at once, however slowly the server reads.
    bool is_large() const { return size > kLargeRequestBytes; }
    /// Replaces the time left in `line` by what is left at `now`.
    void update_time_left(Micros now);
    /// Frees what is not needed once the command is written, or given up.
    void release_command();
  };

  ServerConnection(ServerSide& side, ServerPool& pool, std::uint32_t id);

  void on_ready(unsigned what) override;
  /// Starts to connect. If this machine is out of a resource, retry_dial() tries again;
  /// kPermanentError if connecting is impossible.
  CallResult dial();
  void retry_dial();
  /// Writes the queued attempts.
  void flush();
  /// Gives up the attempt that is partly written: its rest would send the request after its end.
  /// Nothing more is written; those behind it fail, those before it get their answers.
  void stop_writing();
  /// Queues an attempt behind all others. Nothing of it is written before flush().
  void queue(RequestId id, int attempt, const Command& command,
             const ServerSide::AttemptTerms& terms);
  /// Removes the attempt at this index, of which no answer is expected.
  void remove(std::size_t index);
  /// Queues an attempt that has waited on another connection.
  void take_over(QueuedAttempt&& entry);
  /// Streams the long value that is being received.
  void begin_stream();
  /// Reads again after a pause.
  void resume();
  /// Ends the attempts at the back that are entirely unwritten and were queued before `since`.
  void drop_unsent(Micros since);

  /// Whether the server's system has yet to take a large request. What is behind it is not written
  /// meanwhile: the system would send it on, however long after its end.
  bool holds_back() const;
  /// Whether the server's system has taken the last byte of the request at this index. Until then
  /// the server does not begin it; after that nothing can call it back.
  bool taken(std::size_t index) const;
  /// Whether the server has taken a part of what was written since the last call, or has begun to.
  bool request_progresses();
  /// How far the attempt at this index is.
  ServerSide::AttemptProgress progress_of(std::size_t index) const;
  /// Goes on to read an answer that waits for room in the buffers, if there is room now.
  bool admit_answer();
  /// Updates the connection's share of ServerSide::budget_.
  void update_buffered();
  /// Established, with no attempt on it.
  bool idle() const { return !connecting_ && entries_.empty(); }
  /// Whether an attempt may be queued: an answer without an id cannot be told from a late copy of
  /// the one before it.
  bool suits(OwnAnswer own_answer) const;
  /// Whether a part of the entry at this index is written.
  bool started(std::size_t index) const {
    return index < sent_ || (index == sent_ && partial_ > 0);
  }
  /// No attempt on it is waited for.
  bool abandoned() const;
  /// False only if it is certain that the peer has not closed or reset the connection and has sent
  /// nothing unsolicited.
  bool may_have_ended() const { return side_.io_.may_have_input(socket_.number()); }
  /// A value is being passed on to a client: nothing can be begun anew for it elsewhere.
  bool serves_stream() const { return streaming_ && entries_.front().live; }
  /// Tells the handler, once for each answer, that one has begun and pauses.
  void report_pause(Micros now);
  /// Why it is to be closed, if an answer has not come in time.
  std::optional<core::ServerCloseReason> timed_out(Micros now) const;
  /// Tells the handler that a close ends the attempt at this index.
  void report_interruption(std::size_t index, core::ServerCloseReason reason) const;

  // Read and written by ServerSide.
  ServerSide& side_;
  ServerPool& pool_;
  std::uint32_t id_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  AnswerReader reader_;
  RecycledQueue<QueuedAttempt> entries_;  // in the order of their answers
  std::size_t sent_ = 0;                  // entries that are written completely
  std::size_t partial_ = 0;               // bytes of the next entry that are written
  bool connecting_ = true;
  bool draining_ = false;       // takes no new attempts; closes after its last answer
  bool write_stopped_ = false;  // within a request: see stop_writing()
  bool dirty_ = false;
  bool closed_ = false;
  bool has_answered_ = false;  // has received an answer before
  bool closed_by_peer_ = false;
  bool streaming_ = false;  // a streamed value is being passed on or dropped
  bool paused_ = false;     // not read until the client has read what came
  Micros last_active_at_;
  Micros refused_at_ = 0;  // when its last refusal or error without an id came; 0 = never
  Micros missed_at_ = 0;   // the same of misses
  // False from an answer that may have been a copy until one with an id.
  bool in_step_ = true;
  Micros dial_until_;   // the dial fails if it takes longer
  Micros defer_until_;  // a dial that this machine cannot start is retried until then

 private:
  /// An answer has begun, and the router reads it.
  bool receiving() const { return reader_.in_answer() && !paused_ && !waits_for_room_; }
  void require_room();
  void refresh_unsent();
  void record_started();
  void on_connected(unsigned what);
  void read();
  bool may_be_copy(const Answer& answer) const;
  void on_answer_without_id(const Answer& answer);
  void on_value_piece(std::string_view piece);
  void forward(std::string_view piece);

  std::string unconfirmed_value_;  // its first bytes, before it is passed on
  core::AnswerProgress progress_;  // of the answer that is being read
  std::size_t counted_bytes_ = 0;  // counted in ServerSide::budget_
  bool admitted_ = false;          // room is set aside for the rest of the answer
  bool waits_for_room_ = false;
  std::size_t untaken_ = 0;  // see request_progresses()
};

}  // namespace violetusher::net
