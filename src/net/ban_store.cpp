#include "ban_store.hpp"

#include <algorithm>

namespace violetusher::net {
namespace {

constexpr Micros kPollInterval = kSecond / 10;          // for lines appended by another process
constexpr Micros kBusyPollInterval = 5 * kMillisecond;  // while a write is in progress or unread
constexpr Micros kMinRetryDelay = 10 * kMillisecond;    // after a failed write; doubled each time
constexpr Micros kMaxRetryDelay = kSecond / 4;

}  // namespace

BanStore::BanStore(std::string path) : path_(std::move(path)), reader_(path_) {
  loaded_ = path_.empty();
}

BanStore::Sequence BanStore::set_banned(const std::string& id, bool banned) {
  pending_.push_back({++last_sequence_, {id, banned}});
  if (path_.empty()) {
    apply(pending_.back().line);
    pending_.clear();
    durable_sequence_ = last_sequence_;
  }
  retry_delay_ = 0;
  next_write_at_ = 0;
  recompute_banned();
  return last_sequence_;
}

bool BanStore::advance(Micros now) {
  if (path_.empty()) return false;
  std::set<std::string> before = banned_;
  finish_write(now);
  read();
  start_write(now);
  recompute_banned();
  error_ = !write_error_.empty() ? write_error_ : read_error_;
  return banned_ != before;
}

Micros BanStore::next_advance_at(Micros now) const {
  bool busy = write_.in_progress() || !unconfirmed_.empty() || !readable_ || !loaded_;
  if (busy) return now + kBusyPollInterval;
  if (!pending_.empty()) return std::max(now, next_write_at_);
  return now + kPollInterval;
}

void BanStore::apply(const BanLine& line) {
  if (!line.banned)
    in_file_.erase(line.id);
  else if (in_file_.size() < kMaxBans)
    in_file_.insert(line.id);
}

void BanStore::read() {
  std::size_t written = unconfirmed_.size();
  BanLogReader::Update update;
  CallStatus status = reader_.poll(update);
  bool missing = status.error == ENOENT;
  readable_ = status.done() || missing;
  read_error_ = readable_ ? "" : path_ + " can't be read: " + status.reason();
  if (missing) {
    reader_ = BanLogReader(path_);
    requeue_missing({});
    in_file_.clear();
    unconfirmed_.clear();
  }
  loaded_ |= missing || (!status.done() && !status.is_transient());
  if (!status.done()) return;
  if (update == BanLogReader::Update::kReplaced) requeue_missing(reader_.lines());
  if (update == BanLogReader::Update::kCompacted) in_file_.clear();
  for (const BanLine& line : reader_.lines()) apply(line);
  // A file larger than one read was not written by this module; the rest is read by later polls.
  loaded_ = true;
  if (reader_.at_end()) unconfirmed_.erase(unconfirmed_.begin(), unconfirmed_.begin() + written);
}

/// Queues the bans that a replaced file does not mention, so that they are written again.
void BanStore::requeue_missing(const std::vector<BanLine>& replacement) {
  std::set<std::string> known;
  for (const BanLine& line : replacement) known.insert(line.id);
  for (const PendingUpdate& update : pending_) known.insert(update.line.id);
  for (const std::string& id : banned_)
    if (!known.count(id)) pending_.push_back({0, {id, true}});
}

void BanStore::start_write(Micros now) {
  if (write_.in_progress() || pending_.empty() || now < next_write_at_) return;
  std::vector<BanLine> lines;
  for (const PendingUpdate& update : pending_) lines.push_back(update.line);
  writing_count_ = lines.size();
  write_.start([path = path_, lines] { return append_bans(path, lines); });
}

void BanStore::finish_write(Micros now) {
  std::optional<CallStatus> status = write_.take_result();
  if (!status) return;
  if (!status->done()) {
    if (status->result != CallResult::kWouldBlock)
      write_error_ = path_ + " can't be written: " + status->reason();
    retry_delay_ = std::clamp(2 * retry_delay_, kMinRetryDelay, kMaxRetryDelay);
    next_write_at_ = now + retry_delay_;
    return;
  }
  write_error_.clear();
  retry_delay_ = 0;
  for (; writing_count_ > 0; --writing_count_) {
    durable_sequence_ = std::max(durable_sequence_, pending_.front().sequence);
    unconfirmed_.push_back(std::move(pending_.front().line));
    pending_.pop_front();
  }
}

/// The bans in the file, overlaid with the updates that have not been read back from it yet.
void BanStore::recompute_banned() {
  banned_ = in_file_;
  if (core::mutant(core::Mutant::kFileOverridesMemory)) return;
  auto overlay = [this](const BanLine& line) {
    line.banned ? static_cast<void>(banned_.insert(line.id))
                : static_cast<void>(banned_.erase(line.id));
  };
  for (const BanLine& line : unconfirmed_) overlay(line);
  for (const PendingUpdate& update : pending_) overlay(update.line);
}

}  // namespace violetusher::net
