// The part of ServerConnection that deals with limits: how far its attempts are, when an answer is
// paused or broken off, and the room that answers take in the buffers.
#include <algorithm>

#include "core/mutants.hpp"
#include "server_connection.hpp"

namespace violetusher::net {

using CloseReason = core::ServerCloseReason;

namespace {

// The answer to an abandoned attempt is awaited for this long, so that its connection can be
// reused; after that the machine is considered silent.
constexpr Micros kAbandonedAnswerTimeout = kSecond;

}  // namespace

bool ServerConnection::holds_back() const {
  bool large = false;
  for (std::size_t k = 0; k < sent_ && !large; ++k) large = entries_[k].is_large();
  return large && side_.io_.untaken(socket_.number()) > 0;
}

bool ServerConnection::taken(std::size_t index) const {
  if (index >= sent_) return false;
  std::size_t written_behind = partial_;
  for (std::size_t k = index + 1; k < sent_; ++k) written_behind += entries_[k].size;
  return side_.io_.untaken(socket_.number()) <= written_behind;
}

bool ServerConnection::request_progresses() {
  std::size_t untaken = side_.io_.untaken(socket_.number());
  if (partial_ > 0) untaken += entries_[sent_].size - partial_;
  std::size_t before = std::exchange(untaken_, untaken);
  return before == 0 ? untaken > 0 : untaken < before;
}

ServerSide::AttemptProgress ServerConnection::progress_of(std::size_t index) const {
  ServerSide::AttemptProgress progress;
  if (index > 0 || !reader_.in_answer()) return progress;
  const Answer* head = reader_.value_head();
  progress.answer_begun = true;
  progress.long_value = head && head->length > protocol::kMaxValueBytes && !streaming_;
  progress.answer_bytes = progress_.bytes();
  return progress;
}

std::optional<CloseReason> ServerConnection::timed_out(Micros now) const {
  if (entries_.empty()) return std::nullopt;
  const QueuedAttempt& head = entries_.front();
  bool silent = now - std::max(head.since, last_active_at_) > kAbandonedAnswerTimeout;
  if (!head.live && silent && abandoned()) return CloseReason::kSilent;
  if (receiving() && progress_.timed_out(now) && !may_have_ended()) return CloseReason::kNoProgress;
  return std::nullopt;
}

void ServerConnection::report_pause(Micros now) {
  if (!receiving() || streaming_ || !progress_.take_pause(now)) return;
  if (core::mutant(core::Mutant::kPauseEndsAnswer))
    return side_.close(*this, CloseReason::kNoProgress);
  const QueuedAttempt& e = entries_.front();
  if (e.live) side_.handler_.on_answer_paused(e.id, e.attempt);
}

void ServerConnection::report_interruption(std::size_t index, CloseReason reason) const {
  const QueuedAttempt& e = entries_[index];
  core::InterruptedAttempt interrupted;
  interrupted.request = e.id;
  interrupted.attempt = e.attempt;
  interrupted.server = pool_.id;
  interrupted.reason = reason;
  interrupted.answer_bytes = index == 0 ? progress_.bytes() : 0;
  interrupted.request_bytes = index < sent_ ? e.size : index == sent_ ? partial_ : 0;
  interrupted.age = side_.io_.now() - e.queued_at;
  side_.handler_.on_attempt_interrupted(interrupted);
}

/// A server that has more to send than there is room for keeps it until then.
void ServerConnection::require_room() {
  update_buffered();
  std::size_t missing = reader_.to_be_buffered();
  if (missing == 0 || admitted_) return;
  if (side_.waiting_for_room_.empty() && admit_answer()) return;
  waits_for_room_ = true;
  watch_->read(false);
  side_.waiting_for_room_.push_back(this);
}

bool ServerConnection::admit_answer() {
  if (!side_.budget_.admits_answer(reader_.to_be_buffered())) return false;
  admitted_ = true;
  reader_.reserve_buffer();
  update_buffered();
  if (std::exchange(waits_for_room_, false)) resume();
  return true;
}

void ServerConnection::update_buffered() {
  std::size_t bytes = 0;
  if (!closed_) {
    bytes = reader_.buffered() + unconfirmed_value_.size();
    if (admitted_) bytes += reader_.to_be_buffered();
    // Values are held once, by the request: see RequestTable::bytes().
    for (std::size_t k = sent_; k < entries_.size(); ++k) bytes += entries_[k].line.size();
  }
  side_.budget_.update(counted_bytes_, bytes);
}

}  // namespace violetusher::net
