// One client connection: commands in, responses out in the order of the commands. Used only by
// ClientSide, which owns all of them.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "client_side.hpp"

namespace violetusher::net {

/// One accepted connection of a client.
class ClientConnection final : Watch::Target {
 public:
  ClientConnection(ClientSide& side, Socket socket, bool over_limit);

  void on_ready(unsigned what) override;
  /// Reads once from the socket and handles the commands in the input.
  void read();
  /// Writes the complete responses in order and closes the connection if it is finished.
  void flush();
  /// A close goes unseen while the connection is not being read; this polls for it. Call several
  /// times within a tenth of a second: after that time nothing more may be started for a client
  /// that has closed.
  void poll_for_close();
  /// Looks whether a client that holds output up has taken a part of it. Call several times within
  /// the time limits of a stalled client.
  void poll_progress();
  /// Updates the connection's share of ClientSide::budget_.
  void update_buffered();
  /// Whether a response in this slot could be written at once: those before it are complete, and
  /// the client reads.
  bool can_write(const ResponseSlot& slot) const;

  /// No request is open and no response is buffered: closing the connection loses nothing.
  bool quiescent() const { return slots_.empty() && out_.empty(); }
  /// Besides, its client's system has taken all that was written. The end of our sending counts as
  /// a byte.
  bool delivered() const { return quiescent() && side_.io_.untaken(socket_.number()) == 0; }
  /// A part of a command has been received.
  bool in_command() const { return reader_.in_command() || !unparsed_.empty(); }
  /// Whether a timeout of the connection has passed, in whatever state it is.
  bool timed_out(Micros now) const;
  /// Closes it for that. Input that has just arrived on an idle connection is read first, and no
  /// reset discards a response that the client has not read yet.
  void close_timed_out();
  /// Since when there has been no request: when the current command began, or the last response was
  /// written. Only of a quiescent connection.
  Micros quiet_since() const { return in_command() ? since_ : last_active_at_; }
  /// Closes a quiescent connection after reading what has just arrived. Returns false if a request
  /// has, or a command has begun, or more is to be read.
  bool close_quiet(core::CloseReason reason);
  /// Reads and discards what has arrived, so that the close does not reset the connection.
  void discard_input();
  /// Bytes of the output that are not written yet.
  std::size_t unsent() const { return out_.size() - out_at_; }
  std::size_t buffered_output() const { return unsent() + slot_bytes_; }

  // Read and written by ClientSide.
  ClientSide& side_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  CommandReader reader_;
  std::list<ResponseSlot> slots_;
  std::size_t slot_bytes_ = 0;     // response bytes in the slots
  std::size_t counted_bytes_ = 0;  // counted in ClientSide::budget_
  std::size_t streams_ = 0;        // streamed values that have begun and not ended
  /// A complete command that waits until the values before it on the connection are whole.
  std::unique_ptr<Command> held_;
  Micros held_since_ = 0;
  bool reading_ = true;
  bool eof_ = false;
  bool peer_ended_ = false;      // the client has closed: commands it sent before are not forwarded
  bool protocol_error_ = false;  // nothing more is read: closes after the pending responses
  bool value_truncated_ = false;   // nothing more is read: closes after a value that broke off
  bool over_limit_;                // its commands are rejected and it is closed
  bool command_received_ = false;  // a whole command has been received
  bool lingering_ = false;
  core::CloseReason close_reason_ = core::CloseReason::kAnswered;  // while lingering
  bool dirty_ = false;
  bool closed_ = false;
  Micros since_;           // first byte of the current command, or start of the linger
  Micros last_active_at_;  // when accepted, or when the last response was written
  std::string listener_;   // that accepted it; empty for the main one
  std::size_t index_ = 0;  // in ClientSide::connections_

 private:
  bool may_close_for_shutdown() const;
  bool idle() const { return quiescent() && !in_command() && !lingering_ && !stalled_since_; }
  bool pipeline_full() const;
  /// Further commands of this client are discarded.
  bool input_ended() const { return protocol_error_ || value_truncated_; }
  bool truncated_value_is_next() const { return !slots_.empty() && slots_.front().truncated; }
  void close_after_truncated_value();
  /// Whether the next command may be parsed now.
  bool may_parse() const;
  void parse(std::string_view& in, Micros received_at);
  void parse_deferred();
  bool must_hold(const Command& command) const;
  void release_held_command();
  void refuse_held_command();
  void handle_command(Command&& command);
  void mark_command_received();
  void limit_last_input();
  void on_eof();
  ResponseSlot& add_slot();
  void release_slot();
  void collect_output();
  void resume_stream();
  void start_lingering_close(core::CloseReason reason);
  bool command_timed_out(Micros now) const;
  void update_reading();

  std::string unparsed_;     // bytes read that cannot be parsed yet
  Micros last_read_at_ = 0;  // when the last bytes were read
  // Read at the end of a shutdown; see limit_last_input().
  int last_commands_ = 0;
  std::size_t last_bytes_ = 0;
  std::string out_;
  std::size_t out_at_ = 0;
  std::size_t lingered_bytes_ = 0;  // bytes discarded since our FIN
  Micros stalled_since_ = 0;        // since when the client has taken no output; 0 = it takes it
  std::size_t untaken_ = 0;         // output that its system had not taken at the last look
};

}  // namespace violetusher::net
