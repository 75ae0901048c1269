// One connection to a cache server: attempts written in their order, answers read in the same. Only
// ServerSide, which owns all of them, uses it.
#pragma once

#include "core/connections/idle_budget.hpp"
#include "recycled_queue.hpp"
#include "server_side.hpp"

namespace violetusher::net {

/// What is kept of one server.
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

class ServerConnection final : Watch::Target {
 public:
  struct QueuedAttempt {
    RequestId id = 0;
    int attempt = 0;
    bool live = true;  // somebody waits for it
    bool timed_out =
        false;  // nobody would if it could be given up alone: ServerSide::may_abandon()
    bool is_set = false;
    std::string answer_id;  // that its answer must bear
    std::string bytes;      // of the command; given up once written
    std::size_t size = 0;   // of those bytes
    std::size_t time_left_begin = 0,
                time_left_end = 0;  // in them, where the time that is left is told
    Micros deadline = 0;            // which ends then
    Micros send_before = 0;         // it may not begin then or later
    Micros since = 0;               // queued, then abandoned
    std::uint32_t type = 0;         // its class, as the account numbers it
    bool started = false;           // its first byte is written

    void update_time_left(Micros now);
  };

  ServerConnection(ServerSide& side, ServerPool& pool, std::uint32_t id);

  void on_ready(unsigned what) override;
  /// Begins to connect. What this machine is out of something for is tried again by retry_dial();
  /// kBroken where it can't be done.
  CallResult dial();
  void retry_dial();
  void flush();
  /// Behind all others. Nothing of it is written before flush().
  void queue(RequestId id, int attempt, const Command& command, Micros deadline,
             Micros send_before);
  /// The same of one that has waited on another connection.
  void take_over(QueuedAttempt&& entry);
  /// Reads on after a pause.
  void resume();
  /// Ends attempts at the back of which nothing is written and that were queued before `since`.
  void drop_unsent(Micros since);

  bool idle() const { return !connecting_ && entries_.empty(); }
  /// Something of the entry at this place is written.
  bool started(std::size_t index) const {
    return index < sent_ || (index == sent_ && partial_ > 0);
  }
  /// Nobody waits for anything on it.
  bool abandoned() const;
  /// True unless it is certain that the peer has neither ended or broken the connection nor said
  /// something unasked.
  bool may_have_ended() const { return side_.io_.may_have_input(socket_.number()); }
  /// True when it is to be closed for what has not come in time.
  bool timed_out(Micros now) const;

  // Read and written by ServerSide.
  ServerSide& side_;
  ServerPool& pool_;
  std::uint32_t id_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  AnswerReader reader_;
  RecycledQueue<QueuedAttempt> entries_;  // in the order of their answers
  std::size_t sent_ = 0;                  // of them, written whole
  std::size_t partial_ = 0;               // bytes of the next one that are written
  bool connecting_ = true;
  bool draining_ = false;  // nothing new; closes when its answers have come
  bool dirty_ = false;
  bool closed_ = false;
  bool has_answered_ = false;  // has answered before
  bool closed_by_peer_ = false;
  bool streaming_ = false;  // a long value is passed on, or dropped, as it comes
  bool paused_ = false;     // it is not read until its client has read what came
  Micros last_active_at_;
  Micros dial_until_;   // not up by then, it never will be
  Micros defer_until_;  // this machine could not begin to dial by then: nor is it tried again

 private:
  void refresh_unsent();
  void record_started();
  void on_connected(unsigned what);
  void read();
  void on_value_piece(std::string_view piece);
  void forward(std::string_view piece);

  Answer head_;                    // of a long value
  std::string unconfirmed_value_;  // of it, before it is believed
  Micros last_read_at_ = 0;        // bytes came last
};

}  // namespace violetusher::net
