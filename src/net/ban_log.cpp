#include "ban_log.hpp"

#include <fcntl.h>

#include <algorithm>
#include <set>

#include "core/ops/operator_command.hpp"

namespace violetusher::net {
namespace {

constexpr char kCompactLine[] = "COMPACT";
// Bytes read at once; larger than any file that this module writes.
constexpr std::size_t kMaxReadBytes = 2u << 20;

std::string text_of(const BanLine& line) {
  return (line.banned ? "OFFLINE " : "ONLINE ") + line.id + "\n";
}

std::optional<BanLine> parse_line(std::string_view text) {
  std::string error;
  auto command = core::ops::parse_command(text, error);
  if (!command || command->id.empty()) return std::nullopt;
  return BanLine{command->id, command->kind == core::ops::OperatorCommand::Kind::kOffline};
}

/// Sets `is_current` to false if the path has been replaced or removed since the file was opened.
CallStatus is_current_file(const File& file, const std::string& path, bool& is_current) {
  struct stat opened {
  }, current{};
  CallStatus status = file.info(opened);
  if (!status.done()) return status;
  if (::stat(path.c_str(), &current) != 0) {
    is_current = false;
    return errno == ENOENT ? CallStatus() : CallStatus::failed();
  }
  is_current = opened.st_ino == current.st_ino && opened.st_dev == current.st_dev;
  return {};
}

/// Opens and locks the file at `path`; EAGAIN if it is replaced meanwhile.
CallStatus open_locked(const std::string& path, File& file) {
  CallStatus status = File::open(path, O_RDWR | O_APPEND | O_CREAT, file);
  if (status.done()) status = file.lock();
  bool is_current = false;
  if (status.done()) status = is_current_file(file, path, is_current);
  if (status.done() && !is_current) return CallStatus::failed(EAGAIN);
  return status;
}

/// Finds the end of the last complete line, so that a partial line behind it can be truncated. If
/// the file ends in more bytes than a line can hold, that is `size`.
CallStatus end_of_lines(const File& file, std::int64_t size, std::int64_t& end) {
  char tail[core::ops::kMaxCommandBytes];
  std::int64_t from = std::max<std::int64_t>(0, size - static_cast<std::int64_t>(sizeof tail));
  std::size_t received = 0;
  CallStatus status = file.read_at(from, tail, static_cast<std::size_t>(size - from), received);
  if (!status.done()) return status;
  if (from + static_cast<std::int64_t>(received) != size) return CallStatus::failed(EAGAIN);
  std::size_t newline = std::string_view(tail, received).rfind('\n');
  if (newline != std::string_view::npos)
    end = from + static_cast<std::int64_t>(newline) + 1;
  else
    end = from == 0 ? 0 : size;
  return {};
}

CallStatus read_all(const File& file, std::set<std::string>& banned) {
  std::string text(kMaxReadBytes, '\0');
  std::size_t kept = 0;
  for (std::int64_t at = 0;;) {
    std::size_t received = 0;
    CallStatus status = file.read_at(at, text.data() + kept, kMaxReadBytes - kept, received);
    if (!status.done()) return status;
    std::string_view rest(text.data(), kept + received);
    for (std::size_t end; (end = rest.find('\n')) != rest.npos; rest.remove_prefix(end + 1)) {
      auto line = parse_line(rest.substr(0, end));
      if (!line) continue;
      if (!line->banned)
        banned.erase(line->id);
      else if (banned.size() < kMaxBans)
        banned.insert(line->id);
    }
    if (received == 0) return {};
    at += static_cast<std::int64_t>(received);
    // An overlong line is dropped as a whole.
    kept = rest.size() > core::ops::kMaxCommandBytes ? 0 : rest.size();
    std::copy(rest.end() - static_cast<std::ptrdiff_t>(kept), rest.end(), text.begin());
  }
}

/// Rewrites the file to the servers that are banned now. On failure the old file is complete.
void compact(const std::string& path, const File& locked) {
  std::set<std::string> banned;
  if (!read_all(locked, banned).done()) return;
  std::string text = std::string(kCompactLine) + "\n";
  for (const std::string& id : banned) text += text_of({id, true});
  replace_file(path, text);
}

}  // namespace

CallStatus append_bans(const std::string& path, const std::vector<BanLine>& lines, bool sync) {
  File file;
  CallStatus status = open_locked(path, file);
  struct stat info {};
  if (status.done()) status = file.info(info);
  if (!status.done()) return status;
  std::int64_t size = info.st_size, end = 0;
  if (size > 0) status = end_of_lines(file, size, end);
  if (status.done() && end < size) status = file.truncate(end);
  if (!status.done()) return status;
  std::string text;
  char last = '\n';
  std::size_t received = 0;
  if (end > 0) status = file.read_at(end - 1, &last, 1, received);
  if (!status.done()) return status;
  if (last != '\n') text = "\n";
  for (const BanLine& line : lines) text += text_of(line);
  status = file.write(text);
  if (status.done() && sync) status = file.sync_data();
  // After a failure, complete lines are written again and a partial one is truncated by the next
  // call.
  if (!status.done()) return status;
  if (static_cast<std::size_t>(end) >= kCompactionThresholdBytes) compact(path, file);
  return {};
}

void BanLogReader::parse(std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t end = bytes.find('\n');
    if (end == bytes.npos) {
      // Unterminated so far; a line past the maximum length is skipped as it arrives.
      if (bytes.size() <= core::ops::kMaxCommandBytes && !too_long_) return;
      too_long_ = true;
      offset_ += static_cast<std::int64_t>(bytes.size());
      return;
    }
    std::string_view text = bytes.substr(0, end);
    if (offset_ == 0 && text == kCompactLine) compacted_ = true;
    if (auto line = parse_line(text); line && !too_long_) lines_.push_back(std::move(*line));
    too_long_ = false;
    offset_ += static_cast<std::int64_t>(end) + 1;
    bytes.remove_prefix(end + 1);
  }
}

CallStatus BanLogReader::poll(Update& update) {
  update = Update::kNone;
  lines_.clear();
  File file;
  CallStatus status = File::open(path_, O_RDONLY | O_NONBLOCK, file);
  struct stat info {};
  if (status.done()) status = file.info(info);
  if (!status.done()) return status;
  bool replaced = info.st_ino != inode_ || info.st_size < offset_;
  std::int64_t from = replaced ? 0 : offset_;
  if (!replaced && info.st_size == offset_) {
    at_end_ = true;
    return {};
  }
  auto remaining = static_cast<std::size_t>(info.st_size - from);
  std::string bytes(std::min(remaining, kMaxReadBytes), '\0');
  std::size_t received = 0;
  status = file.read_at(from, bytes.data(), bytes.size(), received);
  if (!status.done()) return status;
  if (replaced) {
    inode_ = info.st_ino;
    offset_ = 0;
    too_long_ = compacted_ = false;
  }
  at_end_ = received == remaining;
  parse(std::string_view(bytes.data(), received));
  if (replaced)
    update = compacted_ && at_end_ ? Update::kCompacted : Update::kReplaced;
  else if (!lines_.empty())
    update = Update::kAppended;
  return {};
}

}  // namespace violetusher::net
