#include "client_connection.hpp"

#include <algorithm>

namespace violetusher::net {

using core::CloseReason;

namespace {

// Unanswered commands of one connection; beyond, it is not read.
constexpr std::size_t kPipelineMax = 32;
// A command must come within this of its first byte, and the first one within this of the accept.
// DAYS owes an error or a close within 3 s of connecting, and lets a client take 2 s for a head.
constexpr Micros kCommandTimeout = 2 * kSecond + 2 * kSecond / 5;
// A connection with no request open is closed after this, the least that DAYS allows. Kept longer
// they pile up, as some clients ask once and never close, and the places that clients have run out.
constexpr Micros kIdleTime = 2 * kSecond;
// A router that stops leaves a new connection so long for its first command: the client may have
// connected just before, and what it sends would meet a closed door. Later it could wait for ever.
constexpr Micros kFirstWord = kSecond / 5;
// A client that takes none of its answer for this long is given up.
constexpr Micros kStallTime = 3 * kSecond;
// After our FIN the connection is read until the client's, at most this long and this many bytes:
// closing with unread bytes sends a reset, which may destroy the last answer on its way.
constexpr Micros kLingerTime = kSecond / 2;
constexpr std::size_t kLingerBytes = 256u << 10;
// What an empty output keeps of its memory for the next answer.
constexpr std::size_t kKeptOut = 2048;
// Places that are kept for the answers of the next commands, of all connections.
constexpr std::size_t kSpareSlots = 256;

}  // namespace

ClientConnection::ClientConnection(ClientSide& side, Socket socket, bool over_limit)
    : side_(side),
      socket_(std::move(socket)),
      watch_(side.io_.watch(socket_.number(), *this)),
      over_limit_(over_limit),
      since_(side.io_.now()),
      used_at_(since_) {
  watch_->read(true);
}

void ClientConnection::on_ready(unsigned what) {
  if (closed_) return;
  if (what & Watch::kWritable) side_.touch(*this);
  if (what & Watch::kPeerEnded) peer_ended_ = true;
  if (what & Watch::kReadable) read();
}

void ClientConnection::look_for_end() {
  if (closed_ || eof_ || reading_ || lingering_ || !side_.io_.peer_ended(socket_.number())) return;
  peer_ended_ = true;
  end_of_input();
}

void ClientConnection::read() {
  ssize_t got = side_.io_.recv(socket_.number(), side_.scratch_.get(), ClientSide::kScratch);
  if (got < 0) {
    if (got == Io::kBroken) side_.close(*this, CloseReason::kClientClosed);  // a reset
    return;
  }
  if (lingering_) {
    lingered_ += static_cast<std::size_t>(got);
    if (got == 0 || lingered_ > kLingerBytes) side_.close(*this, end_reason_);
    return;
  }
  if (got == 0) {
    end_of_input();
    return;
  }
  if (!in_command()) since_ = side_.io_.now();
  std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
  if (held_.empty()) {
    parse(in);
    held_.assign(in);
  } else {
    held_.append(in);
    parse_held();
  }
  if (closed_) return;
  account();
  update_reading();
}

bool ClientConnection::full() const {
  return slots_.size() >= kPipelineMax || waiting() >= ClientSide::kOutHigh;
}

/// Handles the commands in `in` and consumes them, until the pipeline is full.
void ClientConnection::parse(std::string_view& in) {
  while (!broken_ && !closed_ && !in.empty() && !full()) {
    Command& command = side_.command_;
    auto got = reader_.take(in, command);
    if (got == CommandReader::Got::Nothing) break;
    since_ = side_.io_.now();
    switch (got) {
      case CommandReader::Got::Command:
        speak();
        take(std::move(command));
        break;
      case CommandReader::Got::Noop:
        speak();
        side_.say(add_slot(), "MN\r\n");
        break;
      case CommandReader::Got::Unknown:
        broken_ = true;
        side_.say(add_slot(), "ERROR\r\n");
        break;
      default:
        side_.answer(Owed(add_slot()), {}, Reply(Reply::Kind::Bad));
        break;
    }
  }
  if (broken_ || closed_) in = {};
}

void ClientConnection::take(Command&& command) {
  ClientSlot& slot = add_slot();
  if (peer_ended_) {
    side_.answer(Owed(slot), {}, Reply(Reply::Kind::Failed));
    return;
  }
  if (over_limit_) {
    side_.handler_.on_turned_away(command);
    side_.answer(Owed(slot), {}, Reply(Reply::Kind::Busy));
    return;
  }
  command.listener = listener_;
  RequestId id = side_.handler_.on_command(Owed(slot), std::move(command));
  if (!slot.done) slot.id = id;
}

void ClientConnection::parse_held() {
  std::string_view in = held_;
  parse(in);
  if (in.empty())
    std::string().swap(held_);
  else
    held_.erase(0, held_.size() - in.size());
}

void ClientConnection::speak() {
  if (!spoken_) --side_.silent_;
  spoken_ = true;
}

/// A half-close looks like a close: the handler is told, and what it answers is written. A client
/// that is really gone only makes the write fail.
void ClientConnection::end_of_input() {
  eof_ = true;
  std::string().swap(held_);
  watch_->read(false);
  if (vacant()) {
    side_.close(*this, CloseReason::kClientClosed);
    return;
  }
  for (ClientSlot& slot : slots_)
    if (slot.id && !slot.done) side_.handler_.on_left(slot.id);
}

ClientSlot& ClientConnection::add_slot() {
  std::list<ClientSlot>& spare = side_.spare_slots_;
  if (spare.empty()) spare.emplace_back();
  slots_.splice(slots_.end(), spare, spare.begin());
  slots_.back().connection = this;
  return slots_.back();
}

/// The first one is answered; what it holds is empty.
void ClientConnection::drop_slot() {
  ClientSlot& slot = slots_.front();
  std::list<ClientSlot>& spare = side_.spare_slots_;
  if (spare.size() >= kSpareSlots || slot.text.capacity() > kKeptOut) {
    slots_.pop_front();
    return;
  }
  slot.connection = nullptr;
  slot.id = 0;
  slot.done = slot.held_back = false;
  spare.splice(spare.begin(), slots_, slots_.begin());
}

/// Moves finished answers into the output, in order, and what has come of the next one.
void ClientConnection::advance() {
  while (!slots_.empty()) {
    std::string& text = slots_.front().text;
    ready_ -= text.size();
    if (out_.empty() && text.size() > out_.capacity())
      out_.swap(text);
    else
      out_ += text;
    text.clear();
    if (!slots_.front().done) return;
    drop_slot();
  }
}

/// Lets more of a long value come once the client has read most of what there was.
void ClientConnection::let_more_come() {
  if (slots_.empty() || !slots_.front().held_back || unsent() > ClientSide::kOutLow) return;
  slots_.front().held_back = false;
  side_.handler_.on_drained(slots_.front().id);
}

void ClientConnection::flush() {
  advance();
  bool said = out_at_ < out_.size();
  while (out_at_ < out_.size()) {
    iovec rest{out_.data() + out_at_, out_.size() - out_at_};
    ssize_t put = side_.io_.send(socket_.number(), &rest, 1);
    if (put == Io::kBroken) {
      side_.close(*this, CloseReason::kClientClosed);
      return;
    }
    if (put < 0) {
      if (!stalled_since_) stalled_since_ = side_.io_.now();
      watch_->write_once();
      break;
    }
    out_at_ += static_cast<std::size_t>(put);
    stalled_since_ = 0;
  }
  if (out_at_ == out_.size()) {
    out_.clear();
    if (out_.capacity() > kKeptOut) std::string().swap(out_);
    out_at_ = 0;
    if (said && slots_.empty()) used_at_ = side_.io_.now();
  } else if (out_at_ > ClientSide::kOutLow) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  // What has come until now was taken: it is read before the connection may close.
  if (vacant() && released() && !eof_ && !lingering_ && !side_.ending_) read();
  if (closed_) return;
  if (vacant() && (eof_ || broken_ || over_limit_ || released())) {
    finish(released() ? CloseReason::kStopping : CloseReason::kAnswered);
    account();
    return;
  }
  if (!held_.empty()) parse_held();
  if (closed_) return;
  let_more_come();
  account();
  update_reading();
}

void ClientConnection::end_overdue() {
  if (rests())
    end_resting(CloseReason::kIdle);
  else
    side_.close(*this, lingering_       ? end_reason_
                       : stalled_since_ ? CloseReason::kStalled
                                        : CloseReason::kCommandTimeout);
}

bool ClientConnection::end_resting(CloseReason reason) {
  read();
  if (closed_) return true;
  // A read that failed for now has told nothing of what has come.
  if (!rests() || side_.io_.may_have_input(socket_.number())) return false;
  finish(reason);
  return true;
}

void ClientConnection::discard_input() {
  for (std::size_t most = kLingerBytes; most > 0;) {
    ssize_t got = side_.io_.recv(socket_.number(), side_.scratch_.get(), ClientSide::kScratch);
    if (got <= 0) return;
    most -= std::min(most, static_cast<std::size_t>(got));
  }
}

/// Whether a router that stops owes nothing more here.
bool ClientConnection::released() const {
  if (side_.ending_) return true;
  if (!side_.draining_ || in_command()) return false;
  return spoken_ || side_.io_.now() - used_at_ > kFirstWord;
}

/// Closes after the last answer.
void ClientConnection::finish(CloseReason reason) {
  if (lingering_) return;
  if (eof_) {
    side_.close(*this, CloseReason::kClientClosed);
    return;
  }
  lingering_ = true;
  end_reason_ = reason;
  since_ = side_.io_.now();
  side_.io_.shutdown_send(socket_.number());
  watch_->read(true);
}

void ClientConnection::update_reading() {
  if (closed_ || eof_ || lingering_) return;
  bool want = held_.empty() && !broken_ && !full();
  if (want == reading_) return;
  reading_ = want;
  watch_->read(want);
}

bool ClientConnection::overdue(Micros now) const {
  if (lingering_) return now - since_ > kLingerTime;
  if (stalled_since_ && now - stalled_since_ > kStallTime) return true;
  if (!vacant()) return false;  // its requests have deadlines of their own
  if (in_command()) return now - since_ > kCommandTimeout;
  return now - used_at_ > (spoken_ ? kIdleTime : kCommandTimeout);
}

void ClientConnection::account() {
  std::size_t now = closed_ ? 0 : reader_.buffered() + held_.size() + waiting();
  side_.buffered_ += now - accounted_;
  accounted_ = now;
}

}  // namespace violetusher::net
