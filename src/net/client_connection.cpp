#include "client_connection.hpp"

#include <algorithm>

#include "core/mutants.hpp"

namespace violetusher::net {

using core::CloseReason;

namespace {

// Unanswered commands of one connection; at this number it is not read any more.
constexpr std::size_t kMaxPipelinedCommands = 32;
// A command must be complete within this time of its first byte, and the first one within this time
// of the accept. DAYS requires an error or a close within 3 s of connecting, and lets a client take
// 2 s to send a command head.
constexpr Micros kCommandTimeout = 2 * kSecond + 2 * kSecond / 5;
// The value of a write may take longer as long as it comes without a pause: clients need seconds
// to write. One that stops half way is closed within the same 3 s.
constexpr Micros kValuePauseTimeout = kSecond / 2;
constexpr Micros kValueTimeout = 10 * kSecond;
// A connection with no request open is closed after this time, the least that DAYS allows. Kept
// longer, connections of clients that ask once and never close use up the limit on connections.
constexpr Micros kIdleTimeout = 2 * kSecond;
// A router that is shutting down waits this long for the first command of a new connection: the
// client may have connected just before the shutdown, and a close would reset its command. Without
// a bound it could wait for ever.
constexpr Micros kFirstCommandGrace = kSecond / 5;
// A client whose system takes none of its response for this long is disconnected.
constexpr Micros kStallTimeout = 6 * kSecond;
// Lingering close: after our FIN the connection is read until the client's FIN, for at most this
// long and this many bytes. Closing with unread bytes sends a reset, which may destroy the last
// response on its way; what the client has not taken yet is waited for as a stalled client is.
constexpr Micros kLingerTimeout = kSecond / 2;
constexpr std::size_t kMaxLingerBytes = 256u << 10;
// Capacity that an empty output buffer keeps for the next response.
constexpr std::size_t kMaxKeptOutputBytes = 2048;
// Input of one connection that is answered at the end of a shutdown. Clients have some commands on
// their way, or the largest value; one that sends at full speed would go on for ever.
constexpr int kMaxLastCommands = 1024;
constexpr std::size_t kMaxLastBytes = 4u << 20;
// Slots kept for later commands, over all connections.
constexpr std::size_t kMaxSpareSlots = 256;

}  // namespace

ClientConnection::ClientConnection(ClientSide& side, Socket socket, bool over_limit)
    : side_(side),
      socket_(std::move(socket)),
      watch_(side.io_.watch(socket_.number(), *this)),
      over_limit_(over_limit),
      since_(side.io_.now()),
      last_active_at_(since_) {
  watch_->read(true);
}

void ClientConnection::on_ready(unsigned what) {
  if (closed_) return;
  if (what & Watch::kWritable) side_.mark_dirty(*this);
  if (what & Watch::kPeerEnded) peer_ended_ = true;
  if (what & Watch::kReadable) read();
}

/// A write that succeeds shows too late that the client reads: the system reports room only once
/// much of a buffer of megabytes is free.
void ClientConnection::poll_progress() {
  if (!stalled_since_ && !lingering_) return;
  std::size_t untaken = side_.io_.untaken(socket_.number());
  bool taken = untaken < untaken_ && !core::mutant(core::Mutant::kProgressByWrites);
  if (taken) (lingering_ ? since_ : stalled_since_) = side_.io_.now();
  untaken_ = untaken;
}

void ClientConnection::poll_for_close() {
  if (closed_ || eof_ || reading_ || lingering_ || !side_.io_.peer_ended(socket_.number())) return;
  peer_ended_ = true;
  on_eof();
}

void ClientConnection::read() {
  if (value_truncated_ && !lingering_) return;  // closes in flush()
  std::size_t size =
      side_.budget_.tight() ? ClientSide::kTightReadBytes : ClientSide::kReadBufferBytes;
  ssize_t got = side_.io_.recv(socket_.number(), side_.read_buffer_.get(), size);
  if (got < 0) {
    if (got == Io::kBroken) side_.close(*this, CloseReason::kClientClosed);  // reset by the client
    return;
  }
  if (lingering_) {
    lingered_bytes_ += static_cast<std::size_t>(got);
    if (got == 0 || lingered_bytes_ > kMaxLingerBytes) side_.close(*this, close_reason_);
    return;
  }
  if (got == 0) {
    on_eof();
    return;
  }
  if (side_.closing_all_) last_bytes_ += static_cast<std::size_t>(got);
  Micros now = side_.io_.now();
  if (!in_command()) since_ = now;
  last_read_at_ = now;
  std::string_view in(side_.read_buffer_.get(), static_cast<std::size_t>(got));
  if (unparsed_.empty()) {
    parse(in, now);
    unparsed_.assign(in);
  } else {
    unparsed_.append(in);
    parse_deferred();
  }
  if (closed_) return;
  update_buffered();
  update_reading();
}

bool ClientConnection::pipeline_full() const {
  return slots_.size() >= kMaxPipelinedCommands ||
         buffered_output() >= ClientSide::kOutputHighWatermark;
}

bool ClientConnection::may_parse() const {
  if (input_ended() || closed_ || held_ || pipeline_full()) return false;
  return slots_.empty() || side_.budget_.admits_pipelined_command();
}

/// Handles and consumes the commands in `in`, which was read at `received_at`, until another one
/// has to wait.
void ClientConnection::parse(std::string_view& in, Micros received_at) {
  while (!in.empty() && may_parse()) {
    Command& command = side_.command_;
    reader_.set_max_kept_value(side_.budget_.admitted_input());
    auto got = reader_.take(in, command);
    if (got == CommandReader::Got::Nothing) break;
    since_ = side_.io_.now();
    if (side_.closing_all_) ++last_commands_;
    switch (got) {
      case CommandReader::Got::Command:
        mark_command_received();
        command.waited = since_ - received_at;
        if (must_hold(command)) {
          held_ = std::make_unique<Command>(std::move(command));
          held_since_ = received_at;
        } else {
          handle_command(std::move(command));
        }
        break;
      case CommandReader::Got::Noop:
        mark_command_received();
        side_.respond_raw(add_slot(), "MN\r\n");
        break;
      case CommandReader::Got::Unknown:
        protocol_error_ = true;
        side_.respond_raw(add_slot(), "ERROR\r\n");
        break;
      default:
        side_.respond(PendingResponse(add_slot()), {}, Reply(Reply::Kind::Bad));
        break;
    }
  }
  limit_last_input();
  if (input_ended() || closed_) in = {};
}

/// Nothing more is read from a client that keeps sending at the end of a shutdown.
void ClientConnection::limit_last_input() {
  protocol_error_ |= last_commands_ >= kMaxLastCommands || last_bytes_ >= kMaxLastBytes;
}

/// A value that breaks off closes the connection: what has run behind it could not be answered.
bool ClientConnection::must_hold(const Command& command) const {
  if (side_.closing_all_) return false;  // it is rejected
  auto may_break_off = [](const ResponseSlot& slot) { return slot.may_stream && !slot.done; };
  return std::any_of(slots_.begin(), slots_.end(), may_break_off) &&
         side_.handler_.may_have_effect(command);
}

void ClientConnection::release_held_command() {
  if (!held_ || input_ended() || must_hold(*held_)) return;
  std::unique_ptr<Command> command = std::move(held_);
  command->waited = side_.io_.now() - held_since_;
  handle_command(std::move(*command));
}

/// What was read whole is answered, also after a half-close.
void ClientConnection::refuse_held_command() {
  if (!held_) return;
  side_.handler_.on_rejected(*held_);
  side_.respond(PendingResponse(add_slot()), {}, Reply(Reply::Kind::Busy));
  held_.reset();
}

void ClientConnection::handle_command(Command&& command) {
  ResponseSlot& slot = add_slot();
  slot.may_stream = !command.set;
  if (peer_ended_) {
    side_.respond(PendingResponse(slot), {}, Reply(Reply::Kind::Failed));
    return;
  }
  if (over_limit_ || command.value_discarded || side_.closing_all_) {
    side_.handler_.on_rejected(command);
    side_.respond(PendingResponse(slot), {}, Reply(Reply::Kind::Busy));
    return;
  }
  command.listener = listener_;
  RequestId id = side_.handler_.on_command(PendingResponse(slot), std::move(command));
  if (!slot.done) slot.id = id;
}

void ClientConnection::parse_deferred() {
  std::string_view in = unparsed_;
  parse(in, last_read_at_);
  if (in.empty())
    std::string().swap(unparsed_);
  else
    unparsed_.erase(0, unparsed_.size() - in.size());
}

void ClientConnection::mark_command_received() {
  if (!command_received_) --side_.without_command_;
  command_received_ = true;
}

/// A half-close looks like a close: the handler is notified, and what it responds is written. If
/// the client has closed, only that write fails.
void ClientConnection::on_eof() {
  eof_ = true;
  std::string().swap(unparsed_);
  refuse_held_command();
  watch_->read(false);
  if (quiescent()) {
    side_.close(*this, CloseReason::kClientClosed);
    return;
  }
  for (ResponseSlot& slot : slots_)
    if (slot.id && !slot.done) side_.handler_.on_client_eof(slot.id);
}

ResponseSlot& ClientConnection::add_slot() {
  std::list<ResponseSlot>& spare = side_.spare_slots_;
  if (spare.empty()) spare.emplace_back();
  slots_.splice(slots_.end(), spare, spare.begin());
  ResponseSlot& slot = slots_.back();
  slot.connection = this;
  slot.pending = true;
  side_.budget_.on_command();
  return slot;
}

/// Recycles the first slot, which is answered and whose text is empty.
void ClientConnection::release_slot() {
  ResponseSlot& slot = slots_.front();
  std::list<ResponseSlot>& spare = side_.spare_slots_;
  if (spare.size() >= kMaxSpareSlots || slot.text.capacity() > kMaxKeptOutputBytes) {
    slots_.pop_front();
    return;
  }
  slot.connection = nullptr;
  slot.id = 0;
  slot.done = slot.backpressured = slot.truncated = slot.may_stream = false;
  spare.splice(spare.begin(), slots_, slots_.begin());
}

/// Moves complete responses into the output in order, and what has arrived of the next one.
void ClientConnection::collect_output() {
  while (!slots_.empty()) {
    std::string& text = slots_.front().text;
    slot_bytes_ -= text.size();
    if (out_.empty() && text.size() > out_.capacity())
      out_.swap(text);
    else
      out_ += text;
    text.clear();
    if (!slots_.front().done) return;
    release_slot();
  }
}

/// Resumes the streamed value once the client has read most of what was buffered.
void ClientConnection::resume_stream() {
  if (slots_.empty() || !slots_.front().backpressured || unsent() > ClientSide::kOutputLowWatermark)
    return;
  slots_.front().backpressured = false;
  side_.handler_.on_buffer_drained(slots_.front().id);
}

void ClientConnection::flush() {
  collect_output();
  release_held_command();
  bool had_output = out_at_ < out_.size();
  while (out_at_ < out_.size()) {
    iovec rest{out_.data() + out_at_, out_.size() - out_at_};
    ssize_t sent = side_.io_.send(socket_.number(), &rest, 1);
    if (sent == Io::kBroken) {
      side_.close(*this, CloseReason::kClientClosed);
      return;
    }
    if (sent < 0) {
      if (!stalled_since_) {
        stalled_since_ = side_.io_.now();
        untaken_ = side_.io_.untaken(socket_.number());
      }
      watch_->write_once();
      break;
    }
    out_at_ += static_cast<std::size_t>(sent);
    stalled_since_ = 0;
  }
  if (out_at_ == out_.size()) {
    out_.clear();
    if (out_.capacity() > kMaxKeptOutputBytes) std::string().swap(out_);
    out_at_ = 0;
    if (had_output && slots_.empty()) last_active_at_ = side_.io_.now();
  } else if (out_at_ > ClientSide::kOutputLowWatermark) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  if (truncated_value_is_next() && out_.empty()) {
    close_after_truncated_value();
    return;
  }
  // A command that has arrived by now must be answered: read before the connection may close. At
  // the end of a shutdown it is rejected.
  if (side_.closing_all_ && !unparsed_.empty()) parse_deferred();
  bool shutting_down = side_.closing_all_ || may_close_for_shutdown();
  if (quiescent() && shutting_down && !eof_ && !lingering_) read();
  if (closed_) return;
  if (quiescent() && (eof_ || protocol_error_ || over_limit_ || may_close_for_shutdown())) {
    start_lingering_close(may_close_for_shutdown() ? CloseReason::kStopping
                                                   : CloseReason::kAnswered);
    update_buffered();
    return;
  }
  if (!unparsed_.empty()) parse_deferred();
  if (closed_) return;
  resume_stream();
  update_buffered();
  update_reading();
}

/// Without a reset, which could discard the responses before the value on their way.
void ClientConnection::close_after_truncated_value() {
  std::string().swap(unparsed_);
  held_.reset();
  side_.release_slots(*this);
  start_lingering_close(CloseReason::kValueTruncated);
  update_buffered();
}

void ClientConnection::close_timed_out() {
  if (idle())
    close_quiet(CloseReason::kIdle);
  else
    side_.close(*this, lingering_       ? close_reason_
                       : stalled_since_ ? CloseReason::kStalled
                                        : CloseReason::kCommandTimeout);
}

bool ClientConnection::close_quiet(CloseReason reason) {
  bool was_in_command = in_command();
  read();
  if (closed_) return true;
  if (!quiescent() || in_command() != was_in_command) return false;
  // A read that failed for a transient error does not show whether input has arrived.
  if (side_.io_.may_have_input(socket_.number())) return false;
  start_lingering_close(reason);
  return true;
}

void ClientConnection::discard_input() {
  for (std::size_t remaining = kMaxLingerBytes; remaining > 0;) {
    ssize_t got =
        side_.io_.recv(socket_.number(), side_.read_buffer_.get(), ClientSide::kReadBufferBytes);
    if (got <= 0) return;
    remaining -= std::min(remaining, static_cast<std::size_t>(got));
  }
}

/// Whether a router that is shutting down may close this connection.
bool ClientConnection::may_close_for_shutdown() const {
  // A command may have been received whole and be read in parts.
  if (side_.closing_all_)
    return protocol_error_ || !in_command() || !side_.io_.may_have_input(socket_.number());
  if (!side_.draining_ || in_command()) return false;
  return command_received_ || side_.io_.now() - last_active_at_ > kFirstCommandGrace;
}

/// Closes after the last response.
void ClientConnection::start_lingering_close(CloseReason reason) {
  if (lingering_) return;
  if (eof_) {
    side_.close(*this, CloseReason::kClientClosed);
    return;
  }
  lingering_ = true;
  ++side_.lingering_;
  close_reason_ = reason;
  since_ = side_.io_.now();
  untaken_ = side_.io_.untaken(socket_.number());
  side_.io_.shutdown_send(socket_.number());
  watch_->read(true);
}

void ClientConnection::update_reading() {
  if (closed_ || eof_ || lingering_) return;
  bool should_read = unparsed_.empty() && !held_ && !input_ended() && !pipeline_full();
  if (should_read == reading_) return;
  reading_ = should_read;
  watch_->read(should_read);
}

bool ClientConnection::command_timed_out(Micros now) const {
  Micros age = now - since_;
  if (age <= kCommandTimeout || !reader_.in_value()) return age > kCommandTimeout;
  return now - last_read_at_ > kValuePauseTimeout || age > kValueTimeout;
}

bool ClientConnection::timed_out(Micros now) const {
  if (lingering_) return now - since_ > (untaken_ > 0 ? kStallTimeout : kLingerTimeout);
  if (stalled_since_ && now - stalled_since_ > kStallTimeout) return true;
  if (!quiescent()) return false;  // its requests have deadlines of their own
  if (in_command()) return command_timed_out(now);
  return now - last_active_at_ > (command_received_ ? kIdleTimeout : kCommandTimeout);
}

void ClientConnection::update_buffered() {
  std::size_t output = std::max(buffered_output(), streams_ * ClientSide::kStreamBufferBytes);
  std::size_t input = reader_.buffered() + unparsed_.size() + (held_ ? held_->size() : 0);
  std::size_t now = closed_ ? 0 : input + output;
  side_.budget_.update(counted_bytes_, now);
}

bool ClientConnection::can_write(const ResponseSlot& slot) const {
  auto blocking = std::find_if(slots_.begin(), slots_.end(),
                               [&](const ResponseSlot& one) { return &one == &slot || !one.done; });
  return !stalled_since_ && blocking != slots_.end() && &*blocking == &slot;
}

}  // namespace violetusher::net
