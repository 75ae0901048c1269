// One client's connection: its commands in, its answers out in the order of the commands. Only
// ClientSide, which owns all of them, uses it.
#pragma once

#include <list>
#include <string>
#include <string_view>

#include "client_side.hpp"

namespace violetusher::net {

class ClientConnection final : Watch::Target {
 public:
  ClientConnection(ClientSide& side, Socket socket, bool over_limit);

  void on_ready(unsigned what) override;
  void read();
  void flush();
  /// While it is not read a close goes unseen: looks for one. Call a few times in a tenth of a
  /// second, after which nothing more may be begun for a client that has closed.
  void poll_for_close();
  /// Renews its part in the bytes held for all.
  void update_buffered();

  /// No request is open and no answer is on its way: closing it loses nothing.
  bool quiescent() const { return slots_.empty() && out_.empty(); }
  bool in_command() const { return reader_.in_command() || !unparsed_.empty(); }
  /// True when its time is up, whatever it has been doing or not doing.
  bool timed_out(Micros now) const;
  /// Ends it for that. What has come on a resting one in this very moment is taken first, and
  /// nothing that the client has not read yet is lost by a reset.
  void close_timed_out();
  /// Ends one that rests: what has come in this very moment is taken first. False where that was a
  /// request, so that it does not rest any more.
  bool close_idle(core::CloseReason reason);
  /// Reads what has come and drops it, so that a close does not reset the connection.
  void discard_input();
  std::size_t unsent() const { return out_.size() - out_at_; }
  std::size_t buffered_output() const { return unsent() + slot_bytes_; }

  // Read and written by ClientSide.
  ClientSide& side_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  CommandReader reader_;
  std::list<ResponseSlot> slots_;
  std::size_t slot_bytes_ = 0;     // answer bytes in the slots
  std::size_t counted_bytes_ = 0;  // of ClientSide::buffered_
  bool reading_ = true;
  bool eof_ = false;
  bool peer_ended_ = false;  // a client that closes has gone: what it sent before is not sent on
  bool protocol_error_ = false;    // nothing more is taken from it: closes after the answers due
  bool over_limit_;                // refused and closed
  bool command_received_ = false;  // a whole command has come
  bool lingering_ = false;
  core::CloseReason close_reason_ = core::CloseReason::kAnswered;  // of one that lingers
  bool dirty_ = false;
  bool closed_ = false;
  Micros since_;           // first byte of the command under way, or start of the linger
  Micros last_active_at_;  // accepted, or last answered whole
  std::string listener_;   // by which it came; empty = the platform's
  std::size_t index_ = 0;  // in ClientSide::connections_

 private:
  bool may_close_for_shutdown() const;
  bool idle() const { return quiescent() && !in_command() && !lingering_ && !stalled_since_; }
  bool pipeline_full() const;
  void parse(std::string_view& in);
  void parse_deferred();
  void handle_command(Command&& command);
  void mark_command_received();
  void on_eof();
  ResponseSlot& add_slot();
  void release_slot();
  void collect_output();
  void resume_stream();
  void start_lingering_close(core::CloseReason reason);
  void update_reading();

  std::string unparsed_;  // bytes read that must wait to be parsed
  std::string out_;
  std::size_t out_at_ = 0;
  std::size_t lingered_bytes_ = 0;  // bytes read and dropped since our FIN
  Micros stalled_since_ = 0;
};

}  // namespace violetusher::net
