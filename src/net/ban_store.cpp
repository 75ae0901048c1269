#include "ban_store.hpp"

#include <algorithm>
#include <chrono>
#include <system_error>

namespace violetusher::net {
namespace {

constexpr Micros kLookEvery = kSecond / 10;        // at what another process may have written
constexpr Micros kBusyEvery = 5 * kMillisecond;    // while something is under way or unread
constexpr Micros kFirstPause = 10 * kMillisecond;  // after a failed write, then doubled
constexpr Micros kLongestPause = kSecond / 4;

}  // namespace

BanStore::BanStore(std::string path) : path_(std::move(path)), reader_(path_) {
  known_ = path_.empty();
}

BanStore::Number BanStore::promise(const std::string& id, bool out) {
  pending_.push_back({++last_, {id, out}});
  if (path_.empty()) {
    take(pending_.back().line);
    pending_.clear();
    durable_to_ = last_;
  }
  pause_ = 0;
  write_at_ = 0;
  show();
  return last_;
}

bool BanStore::advance(Micros now) {
  if (path_.empty()) return false;
  std::set<std::string> before = out_;
  end_write(now);
  read();
  begin_write(now);
  show();
  trouble_ = !write_trouble_.empty() ? write_trouble_ : read_trouble_;
  return out_ != before;
}

Micros BanStore::next(Micros now) const {
  bool busy = write_.valid() || !written_.empty() || !readable_ || !known_;
  if (busy) return now + kBusyEvery;
  if (!pending_.empty()) return std::max(now, write_at_);
  return now + kLookEvery;
}

void BanStore::take(const BanLine& line) {
  if (!line.out)
    in_file_.erase(line.id);
  else if (in_file_.size() < kMostBans)
    in_file_.insert(line.id);
}

void BanStore::read() {
  std::size_t written = written_.size();
  BanLogReader::News news;
  CallStatus status = reader_.poll(news);
  bool missing = status.error == ENOENT;
  readable_ = status.done() || missing;
  read_trouble_ = readable_ ? "" : path_ + " can't be read: " + status.reason();
  if (missing) {
    reader_ = BanLogReader(path_);
    promise_again({});
    in_file_.clear();
    written_.clear();
  }
  known_ |= missing || (!status.done() && !status.is_transient());
  if (!status.done()) return;
  if (news == BanLogReader::News::kOther) promise_again(reader_.lines());
  if (news == BanLogReader::News::kWhole) in_file_.clear();
  for (const BanLine& line : reader_.lines()) take(line);
  // A file that is larger than one part can't be ours, and is read in the background.
  known_ = true;
  if (reader_.at_end()) written_.erase(written_.begin(), written_.begin() + written);
}

/// What is out, and that another file in the place of the one before does not tell of, is written
/// again.
void BanStore::promise_again(const std::vector<BanLine>& told) {
  std::set<std::string> known;
  for (const BanLine& line : told) known.insert(line.id);
  for (const Promise& promise : pending_) known.insert(promise.line.id);
  for (const std::string& id : out_)
    if (!known.count(id)) pending_.push_back({0, {id, true}});
}

void BanStore::begin_write(Micros now) {
  if (write_.valid() || pending_.empty() || now < write_at_) return;
  std::vector<BanLine> lines;
  for (const Promise& promise : pending_) lines.push_back(promise.line);
  writing_ = lines.size();
  auto write = [path = path_, lines] { return append_bans(path, lines); };
  try {
    write_ = std::async(std::launch::async, write);
  } catch (const std::system_error&) {  // no thread to be had
    write_ = std::async(std::launch::deferred, write);
  }
}

void BanStore::end_write(Micros now) {
  if (!write_.valid() || write_.wait_for(std::chrono::seconds(0)) == std::future_status::timeout)
    return;
  CallStatus status = write_.get();
  if (!status.done()) {
    if (status.result != CallResult::kWouldBlock)
      write_trouble_ = path_ + " can't be written: " + status.reason();
    pause_ = std::clamp(2 * pause_, kFirstPause, kLongestPause);
    write_at_ = now + pause_;
    return;
  }
  write_trouble_.clear();
  pause_ = 0;
  for (; writing_ > 0; --writing_) {
    durable_to_ = std::max(durable_to_, pending_.front().number);
    written_.push_back(std::move(pending_.front().line));
    pending_.pop_front();
  }
}

/// What is out: the file's word, and over it what was promised and is not read back from it yet.
void BanStore::show() {
  out_ = in_file_;
  if (core::mutant(core::Mutant::kFileOverridesMemory)) return;
  auto lay_over = [this](const BanLine& line) {
    line.out ? static_cast<void>(out_.insert(line.id)) : static_cast<void>(out_.erase(line.id));
  };
  for (const BanLine& line : written_) lay_over(line);
  for (const Promise& promise : pending_) lay_over(promise.line);
}

}  // namespace violetusher::net
