#include "server_connection.hpp"

#include <algorithm>

namespace violetusher::net {

using core::flight::Kind;
using core::flight::Reason;
using CloseReason = core::ServerCloseReason;

namespace {

// Bytes of a long value that must have come before its length is trusted and it is streamed on.
constexpr std::size_t kMinStreamedBytes = 16u << 10;
// A dial that this machine cannot start is deferred for this long at most: five in a row, at five
// servers, are over before the rejection that follows would be late.
constexpr Micros kMaxDialDeferral = 15 * kMillisecond;
// A second copy of an answer comes within this time of the first.
constexpr Micros kCopyWindow = 50 * kMillisecond;
// An answer and an attempt behind it that pass each other on the way: two ways of 1.3 ms and some
// time in both systems. Otherwise the attempt was there, and its server sent no copy.
constexpr Micros kPassingTime = 5 * kMillisecond;
// Capacity that the strings of an entry, and of an answer, keep for the next one.
constexpr std::size_t kMaxKeptCommandBytes = 1024, kMaxKeptValueBytes = 4096;

void clear_text(std::string& text, std::size_t max_kept_bytes) {
  if (text.capacity() > max_kept_bytes)
    std::string().swap(text);
  else
    text.clear();
}

Status status_of(const Answer& answer) {
  switch (answer.kind) {
    case Answer::Kind::Busy:
      return Status::Overloaded;
    case Answer::Kind::Error:
      return Status::Error;
    case Answer::Kind::Miss:
      return Status::Miss;
    default:
      return Status::Ok;
  }
}

/// Milliseconds from `now` to `end`, rounded up; 0 if `end` has passed.
std::int64_t left_ms(Micros end, Micros now) {
  return (std::max<Micros>(end - now, 0) + kMillisecond - 1) / kMillisecond;
}

/// The parts of queued commands that one call writes, behind those that are written already.
class UnsentParts {
 public:
  explicit UnsentParts(std::size_t written_bytes) : skip_(written_bytes) {}
  bool has_room() const { return count_ + kPartsPerCommand <= kMaxParts; }
  void add(const ServerConnection::QueuedAttempt& e) {
    add(e.line);
    if (!e.value) return;
    add(*e.value);
    add(protocol::kLineEnd);
  }
  const iovec* parts() const { return parts_; }
  std::size_t count() const { return count_; }

 private:
  static constexpr std::size_t kMaxParts = 64, kPartsPerCommand = 3;

  void add(std::string_view text) {
    std::size_t skipped = std::min(skip_, text.size());
    skip_ -= skipped;
    text.remove_prefix(skipped);
    if (!text.empty()) parts_[count_++] = {const_cast<char*>(text.data()), text.size()};
  }

  iovec parts_[kMaxParts];
  std::size_t count_ = 0, skip_;
};

bool matches(const ServerConnection::QueuedAttempt& e, const Answer& answer) {
  bool of_read = answer.kind == Answer::Kind::Value || answer.kind == Answer::Kind::Miss;
  if (of_read && e.is_set) return false;
  if (answer.kind == Answer::Kind::Stored && !e.is_set) return false;
  if (answer.kind == Answer::Kind::Value || answer.kind == Answer::Kind::Stored)
    return answer.id == e.answer_id;
  return answer.id.empty() || answer.id == e.answer_id;
}

}  // namespace

ServerConnection::ServerConnection(ServerSide& side, ServerPool& pool, std::uint32_t id)
    : side_(side),
      pool_(pool),
      id_(id),
      reader_(side.fields_),
      last_active_at_(side.io_.now()),
      dial_until_(last_active_at_ + side.limits_.dial_timeout),
      defer_until_(last_active_at_ + std::min(side.limits_.dial_timeout, kMaxDialDeferral)) {}

void ServerConnection::on_ready(unsigned what) {
  if (closed_) return;
  if (connecting_) {
    on_connected(what);
    return;
  }
  if (what & Watch::kWritable) side_.mark_dirty(*this);
  if (what & Watch::kReadable) read();
}

CallResult ServerConnection::dial() {
  CallResult result = side_.io_.connect(*pool_.address, socket_);
  if (result != CallResult::kDone) return result;
  watch_ = side_.io_.watch(socket_.number(), *this);
  watch_->write_once(std::max(dial_until_ - side_.io_.now(), kMillisecond));
  return result;
}

void ServerConnection::retry_dial() {
  bool over = side_.io_.now() >= defer_until_;
  CallResult result = over ? CallResult::kTransientError : dial();
  if (over || result == CallResult::kPermanentError) side_.on_dial_failed(*this, result);
}

void ServerConnection::on_connected(unsigned what) {
  CallResult result =
      what & Watch::kTimeout ? CallResult::kPermanentError : side_.io_.connected(socket_.number());
  Micros now = side_.io_.now();
  if (result == CallResult::kTransientError && now < dial_until_) {
    watch_->write_once(dial_until_ - now);
    return;
  }
  bool established = result == CallResult::kDone;
  side_.recorder_.record(now, Kind::kDialEnd, 0, -1, id_, 0, pool_.id,
                         established ? Reason::kNone : Reason::kDial);
  if (!established) {
    side_.on_dial_failed(*this, result);
    return;
  }
  connecting_ = false;
  watch_->read(true);
  side_.mark_dirty(*this);
}

/// Attempts that have waited for the connection or for their turn are sent with the time left now,
/// and fail if it is too late to start them.
void ServerConnection::refresh_unsent() {
  Micros now = side_.io_.now();
  for (std::size_t k = sent_ + (partial_ > 0); k < entries_.size();) {
    QueuedAttempt& e = entries_[k];
    if (e.live && now >= e.send_before) {
      RequestId id = e.id;
      int attempt = e.attempt;
      remove(k);
      side_.handler_.on_attempt_end(id, attempt, Status::ConnectFailed, Answer());
      continue;
    }
    if (now > e.since) e.update_time_left(now);
    ++k;
  }
}

void ServerConnection::QueuedAttempt::update_time_left(Micros now) {
  std::string left = std::to_string(left_ms(deadline, now));
  size -= line.size();
  line.replace(time_left_begin, time_left_end - time_left_begin, left);
  size += line.size();
  time_left_end = time_left_begin + left.size();
}

void ServerConnection::QueuedAttempt::release_command() {
  clear_text(line, kMaxKeptCommandBytes);
  value.reset();
}

void ServerConnection::remove(std::size_t index) {
  entries_[index].release_command();
  entries_.erase(index);
}

void ServerConnection::stop_writing() {
  write_stopped_ = draining_ = true;
  remove(sent_);
  partial_ = 0;
  drop_unsent(side_.io_.now() + 1);
}

void ServerConnection::flush() {
  if (connecting_ || write_stopped_) return;
  refresh_unsent();
  while (sent_ < entries_.size() && (partial_ > 0 || !holds_back())) {
    UnsentParts unsent(partial_);
    for (std::size_t k = sent_; k < entries_.size() && unsent.has_room(); ++k) {
      unsent.add(entries_[k]);
      if (entries_[k].is_large()) break;
    }
    ssize_t sent = side_.io_.send(socket_.number(), unsent.parts(), unsent.count());
    if (sent == Io::kAgain) {
      watch_->write_once();
      break;
    }
    if (sent < 0) {
      side_.close(*this, CloseReason::kWriteFailed);
      return;
    }
    partial_ += static_cast<std::size_t>(sent);
    record_started();
    while (sent_ < entries_.size() && partial_ >= entries_[sent_].size) {
      QueuedAttempt& e = entries_[sent_];
      partial_ -= e.size;
      e.release_command();
      e.written_at = side_.io_.now();
      ++sent_;
      ++side_.written_;
      if (side_.recorder_.on())
        side_.recorder_.record(side_.io_.now(), Kind::kWritten, e.id, e.attempt, id_);
    }
  }
  update_buffered();
}

/// An attempt counts as sent from its first byte.
void ServerConnection::record_started() {
  std::size_t at = 0;
  for (std::size_t k = sent_; k < entries_.size() && at < partial_; ++k) {
    QueuedAttempt& e = entries_[k];
    at += e.size;
    if (std::exchange(e.started, true)) continue;
    if (side_.activity_recorder_) side_.activity_recorder_->sent(pool_.id, e.type);
    side_.handler_.on_attempt_written(e.id, e.attempt, pool_.available, e.deadline);
  }
}

void ServerConnection::read() {
  ssize_t got =
      side_.io_.recv(socket_.number(), side_.read_buffer_.get(), ServerSide::kReadBufferBytes);
  if (got == Io::kAgain) return;
  if (got <= 0) {
    closed_by_peer_ = true;
    side_.close(*this, CloseReason::kClosedByServer);
    return;
  }
  last_active_at_ = side_.io_.now();
  progress_.on_bytes(last_active_at_, static_cast<std::size_t>(got));
  std::string_view in(side_.read_buffer_.get(), static_cast<std::size_t>(got));
  Answer& answer = side_.answer_;
  while (!closed_) {
    AnswerReader::Got what = reader_.take(in, answer);
    if (what == AnswerReader::Got::Nothing) break;
    // Garbage, the answer to another request or an unsolicited answer shows that the two sides no
    // longer agree on which answer belongs to which request: nothing more on this connection can be
    // trusted.
    bool head = what == AnswerReader::Got::Begin || what == AnswerReader::Got::Answer;
    if (what == AnswerReader::Got::Broken || sent_ == 0 ||
        (head && (!matches(entries_.front(), answer) || may_be_copy(answer)))) {
      side_.close(*this, sent_ == 0 ? CloseReason::kUnsolicitedBytes : CloseReason::kProtocolError);
      return;
    }
    if (what == AnswerReader::Got::Begin) {
      if (entries_.front().live)
        side_.handler_.on_long_value(entries_.front().id, entries_.front().attempt);
      continue;
    }
    if (what == AnswerReader::Got::Piece) {
      on_value_piece(reader_.piece());
      continue;
    }
    has_answered_ = true;
    streaming_ = false;
    progress_.on_complete(in.size());
    admitted_ = false;
    if (answer.id.empty())
      on_answer_without_id(answer);
    else
      in_step_ = true;
    bool last = answer.close_after;
    const QueuedAttempt& done = entries_.front();
    RequestId id = done.id;
    int attempt = done.attempt;
    bool live = done.live;
    entries_.pop_front();
    --sent_;
    if (live) side_.handler_.on_attempt_end(id, attempt, status_of(answer), std::move(answer));
    clear_text(answer.value, kMaxKeptValueBytes);
    if (last) {
      side_.close(*this, CloseReason::kErrorAnswer);
      return;
    }
  }
  if (closed_) return;
  // The same holds for the beginning of an unsolicited answer, or of an answer to another request.
  const Answer* head = reader_.value_head();
  if (sent_ == 0 && reader_.in_answer())
    side_.close(*this, CloseReason::kUnsolicitedBytes);
  else if (head && !matches(entries_.front(), *head))
    side_.close(*this, CloseReason::kProtocolError);
  else if (entries_.empty() && draining_)
    side_.close(*this, CloseReason::kDrained);
  else
    side_.reassign_deferred(pool_);
  if (closed_) return;
  require_room();
  if (sent_ < entries_.size()) side_.mark_dirty(*this);
}

/// A value is streamed on only after more of it has come than accompanies a false length. Until
/// then it can still be a failed attempt and be retried elsewhere.
void ServerConnection::on_value_piece(std::string_view piece) {
  if (streaming_) {
    if (entries_.front().live) forward(piece);
    return;
  }
  unconfirmed_value_.append(piece);
  if (unconfirmed_value_.size() >= kMinStreamedBytes) begin_stream();
}

void ServerConnection::begin_stream() {
  QueuedAttempt& e = entries_.front();
  streaming_ = true;
  std::string first = std::exchange(unconfirmed_value_, std::string());
  if (e.live) e.live = side_.handler_.on_stream_begin(e.id, e.attempt, *reader_.value_head());
  e.timed_out = false;  // its client waits for the rest, whatever the attempt took so far
  if (e.live && !first.empty()) forward(first);
  // Other attempts on the connection are spared: for them the value is read and dropped.
  if (!e.live && abandoned()) side_.close(*this, CloseReason::kAbandoned);
}

void ServerConnection::forward(std::string_view piece) {
  const QueuedAttempt& e = entries_.front();
  if (side_.handler_.on_stream_data(e.id, e.attempt, piece)) return;
  paused_ = true;
  watch_->read(false);
}

void ServerConnection::resume() {
  paused_ = false;
  progress_.on_read_resumed(side_.io_.now());
  watch_->read(true);
}

bool ServerConnection::abandoned() const {
  for (std::size_t k = 0; k < entries_.size(); ++k)
    if (entries_[k].live && !entries_[k].timed_out) return false;
  return true;
}

bool ServerConnection::suits(OwnAnswer own_answer) const {
  Micros last = own_answer == OwnAnswer::kOfRead ? std::max(refused_at_, missed_at_) : refused_at_;
  if (own_answer == OwnAnswer::kNotRequired) return true;
  return in_step_ && (last == 0 || side_.io_.now() - last > kCopyWindow);
}

/// Whether an answer that says that the first attempt has not run may be a copy of the one before
/// it, while the server runs the attempt.
bool ServerConnection::may_be_copy(const Answer& answer) const {
  bool never_ran = answer.kind == Answer::Kind::Busy || answer.kind == Answer::Kind::Miss;
  return never_ran && answer.id.empty() && last_active_at_ < entries_.front().copy_until;
}

/// A copy is sent only when nothing else waits at the server: an attempt behind this answer can get
/// it only if it was still on its way.
void ServerConnection::on_answer_without_id(const Answer& answer) {
  bool miss = answer.kind == Answer::Kind::Miss;
  Micros last = std::max(refused_at_, missed_at_);
  if (last > 0 && last_active_at_ - last <= kCopyWindow) in_step_ = false;
  (miss ? missed_at_ : refused_at_) = last_active_at_;
  for (std::size_t k = 1; k < entries_.size(); ++k) {
    QueuedAttempt& e = entries_[k];
    bool was_there = k < sent_ && last_active_at_ - e.written_at > kPassingTime;
    bool confusable =
        e.own_answer != OwnAnswer::kNotRequired && (!miss || e.own_answer == OwnAnswer::kOfRead);
    if (confusable && !was_there) e.copy_until = last_active_at_ + kCopyWindow;
  }
}

void ServerConnection::queue(RequestId id, int attempt, const Command& command,
                             const ServerSide::AttemptTerms& terms) {
  QueuedAttempt& e = entries_.push();
  e.id = id;
  e.attempt = attempt;
  e.live = true;
  e.timed_out = false;
  e.is_set = command.set;
  e.started = false;
  e.type = side_.activity_recorder_ ? side_.activity_recorder_->type_of(command.type) : 0;
  e.answer_id = command.id;
  e.line.clear();
  e.queued_at = e.since = last_active_at_ = side_.io_.now();
  e.deadline = terms.deadline;
  e.send_before = terms.send_before;
  e.own_answer = terms.own_answer;
  e.written_at = e.copy_until = 0;
  protocol::append_command_line(e.line, command, left_ms(e.deadline, e.since));
  e.value = command.value;
  e.size = e.line.size() + (e.value ? e.value->size() + protocol::kLineEnd.size() : 0);
  e.time_left_begin = command.head.size();
  e.time_left_end = e.line.size() - command.tail.size() - protocol::kLineEnd.size();
  side_.mark_dirty(*this);
}

void ServerConnection::take_over(QueuedAttempt&& entry) {
  side_.recorder_.record(side_.io_.now(), Kind::kMoved, entry.id, entry.attempt, id_,
                         static_cast<std::int64_t>(entries_.size()), pool_.id);
  entry.copy_until = 0;
  entries_.push() = std::move(entry);
  side_.mark_dirty(*this);
}

void ServerConnection::drop_unsent(Micros since) {
  while (entries_.size() > sent_ + (partial_ > 0) && entries_.back().since < since) {
    const QueuedAttempt& e = entries_.back();
    RequestId id = e.id;
    int attempt = e.attempt;
    bool live = e.live;
    remove(entries_.size() - 1);
    if (live) side_.handler_.on_attempt_end(id, attempt, Status::ConnectFailed, Answer());
  }
}

}  // namespace violetusher::net
