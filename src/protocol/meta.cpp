#include "meta.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "settings.hpp"

namespace violetusher::protocol {
namespace {

constexpr std::size_t kMaxPairs = 16;    // name=value pairs of one command
constexpr double kMaxReportValue = 1e9;  // of a load report; larger values are ignored

template <typename T>
std::optional<T> number(std::string_view text) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Removes the next word from `rest`; empty at the end.
std::string_view next_word(std::string_view& rest) {
  while (!rest.empty() && rest.front() == ' ') rest.remove_prefix(1);
  std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

/// Consumes `in` up to and including the next '\n'. Returns the line without its terminator once it
/// is complete; it points into `in` or `partial`, which the caller then clears. An incomplete line
/// is kept in `partial`. Sets `too_long` if no terminator comes within kMaxLineBytes.
std::optional<std::string_view> read_line(std::string_view& in, std::string& partial,
                                          bool& too_long) {
  std::size_t end = in.find('\n');
  std::size_t size = end == in.npos ? in.size() : end + 1;
  if (partial.size() + size > kMaxLineBytes) {
    too_long = true;
    return std::nullopt;
  }
  std::string_view line = in.substr(0, size);
  in.remove_prefix(size);
  if (end == std::string_view::npos || !partial.empty()) partial.append(line);
  if (end == std::string_view::npos) return std::nullopt;
  if (!partial.empty()) line = partial;
  line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

/// Moves up to `remaining` bytes from `in` to the end of `to`.
void read_bytes(std::string_view& in, std::string& to, std::size_t& remaining) {
  std::size_t size = std::min(remaining, in.size());
  to.append(in.data(), size);
  in.remove_prefix(size);
  remaining -= size;
}

/// Removes the line end that must follow a value; false if there is none.
bool strip_line_end(std::string& value) {
  if (value.size() < 2 || value[value.size() - 2] != '\r' || value.back() != '\n') return false;
  value.resize(value.size() - 2);
  return true;
}

/// Whether there are no control characters, which a terminal or another parser may not treat as
/// part of a line.
bool printable(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 32 || c == 127; });
}

/// Whether an answer's line may begin with `text`. Noise without a line end is told from a line
/// that is still being written as early as that.
bool may_begin_answer(std::string_view text) {
  if (text.back() == '\r') text.remove_suffix(1);
  if (!printable(text)) return false;
  constexpr std::string_view kVerbs[] = {"VA", "HD", "EN", "SERVER_ERROR", "CLIENT_ERROR", "ERROR",
                                         "NS", "EX", "NF"};
  std::string_view verb = text.substr(0, text.find(' '));
  bool whole = verb.size() < text.size();
  return std::any_of(std::begin(kVerbs), std::end(kVerbs), [&](std::string_view known) {
    return whole ? known == verb : known.substr(0, verb.size()) == verb;
  });
}

}  // namespace

void append_command_line(std::string& out, const Command& command, std::int64_t wait_ms) {
  char digits[24];
  char* end = std::to_chars(digits, digits + sizeof digits, wait_ms).ptr;
  out.reserve(out.size() + command.head.size() + command.tail.size() + sizeof digits +
              kLineEnd.size());
  out.append(command.head).append(digits, end).append(command.tail).append(kLineEnd);
}

std::string command_bytes(const Command& command, std::int64_t wait_ms) {
  std::string text;
  append_command_line(text, command, wait_ms);
  if (command.set) text.append(*command.value).append(kLineEnd);
  return text;
}

void append_value_head(std::string& out, const std::string& id, std::size_t length) {
  out.append("VA ").append(std::to_string(length)).append(" O").append(id).append("\r\n");
}

void append_reply(std::string& out, const std::string& id, const Reply& reply) {
  char digits[24];
  auto digits_of = [&](auto value) -> std::string_view {
    char* end = std::to_chars(digits, digits + sizeof digits, value).ptr;
    return {digits, static_cast<std::size_t>(end - digits)};
  };
  switch (reply.kind) {
    case Reply::Kind::Value:
      out.reserve(out.size() + reply.value.size() + id.size() + 40);
      out.append("VA ")
          .append(digits_of(reply.value.size()))
          .append(" O")
          .append(id)
          .append("\r\n");
      out.append(reply.value);
      break;
    case Reply::Kind::Stored:
      out.append("HD O").append(id);
      if (!reply.receipt.empty()) out.append(" c").append(reply.receipt);
      break;
    case Reply::Kind::Busy:
      out.append("SERVER_ERROR busy");
      if (reply.retry_after > 0)
        out.append(" ").append(digits_of((reply.retry_after + 999) / 1000));
      break;
    case Reply::Kind::Failed:
      out.append("SERVER_ERROR failed");
      break;
    case Reply::Kind::Bad:
      out.append("CLIENT_ERROR bad command");
      break;
  }
  out.append("\r\n");
}

CommandReader::Got CommandReader::parse_line(std::string_view line, Command& command) {
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  if (verb == "mn" && next_word(rest).empty()) return Got::Noop;
  if (verb != "mg" && verb != "ms") return Got::Unknown;
  if (!printable(line)) return Got::Bad;
  command.clear();
  command.set = verb == "ms";
  std::string_view key = next_word(rest);
  if (key.empty() || key.size() > kMaxKeyBytes) return Got::Bad;
  if (command.set) {
    auto length = number<std::size_t>(next_word(rest));
    if (!length || *length > kMaxValueBytes) return Got::Bad;
    value_remaining_ = *length + kLineEnd.size();
  }
  std::string_view pairs;
  bool wants_value = false;
  while (true) {
    std::string_view flag = next_word(rest);
    if (flag.empty()) break;
    if (flag == "v" && !command.set && !wants_value)
      wants_value = true;
    else if (flag[0] == 'O' && command.id.empty())
      command.id = flag.substr(1);
    else if (flag[0] == 'P' && pairs.empty())
      pairs = flag.substr(1);
    else
      return Got::Bad;  // an unknown or repeated flag
  }
  if (command.id.empty() || command.id.size() > kMaxOpaqueBytes || wants_value == command.set)
    return Got::Bad;
  std::string_view wait;
  std::array<std::string_view, kMaxPairs> names;
  std::size_t named = 0;
  for (std::string_view unparsed = pairs; !unparsed.empty();) {
    std::string_view pair = unparsed.substr(0, unparsed.find(','));
    unparsed.remove_prefix(std::min(unparsed.size(), pair.size() + 1));
    std::size_t eq = pair.find('=');
    if (eq == pair.npos) return Got::Bad;
    std::string_view name = pair.substr(0, eq), value = pair.substr(eq + 1);
    // A repeated name is rejected: the cache server might use the other value.
    auto* end = names.data() + named;
    if (named == kMaxPairs || std::find(names.data(), end, name) != end) return Got::Bad;
    names[named++] = name;
    if (name == "c") command.type = value;
    if (name == "t") command.tenant = value;
    if (name == "r") command.repeat = value == "1";
    if (name == "k") command.idempotency = value;
    if (name == "d") wait = value;
    if (name == "h") {  // only an estimate: an invalid one is ignored
      auto work = number<double>(value);
      if (work && *work >= 0 && *work < 1e12) command.work = static_cast<std::int64_t>(*work);
    }
  }
  auto wait_ms = number<double>(wait);
  if (command.type.empty() || !wait_ms || !(*wait_ms >= 0 && *wait_ms <= 1e9)) return Got::Bad;
  command.wait_ms = *wait_ms;
  command.key = key;
  std::size_t timeout_offset = static_cast<std::size_t>(wait.data() - line.data());
  command.head = line.substr(0, timeout_offset);
  command.tail = line.substr(timeout_offset + wait.size());
  if (!command.set) return Got::Command;
  state_ = State::Value;
  pending_ = std::move(command);
  pending_.value_discarded = value_remaining_ > max_kept_value_ + kLineEnd.size();
  // Grown as it comes it would take twice its size.
  if (!pending_.value_discarded) value_.reserve(value_remaining_);
  return Got::Nothing;
}

/// Takes more of the value. Of one that is discarded only what may be its line end is kept.
void CommandReader::take_value(std::string_view& in) {
  if (!pending_.value_discarded) return read_bytes(in, value_, value_remaining_);
  std::size_t size = std::min(value_remaining_, in.size());
  std::size_t kept = std::min(size, kLineEnd.size());
  value_.append(in.substr(size - kept, kept));
  if (value_.size() > kLineEnd.size()) value_.erase(0, value_.size() - kLineEnd.size());
  in.remove_prefix(size);
  value_remaining_ -= size;
}

CommandReader::Got CommandReader::take(std::string_view& in, Command& command) {
  while (!in.empty()) {
    if (state_ == State::Line) {
      bool too_long = false;
      auto line = read_line(in, partial_, too_long);
      if (too_long) return Got::Bad;
      if (!line) return Got::Nothing;
      Got got = parse_line(*line, command);
      std::string().swap(partial_);
      if (got != Got::Nothing) return got;
    } else {
      take_value(in);
      if (value_remaining_ > 0) return Got::Nothing;
      state_ = State::Line;
      std::string value = std::exchange(value_, std::string());
      bool is_whole = strip_line_end(value);
      command = std::exchange(pending_, Command());
      command.value = std::make_shared<const std::string>(std::move(value));
      return is_whole ? Got::Command : Got::Bad;
    }
  }
  return Got::Nothing;
}

void AnswerReader::parse_report(std::string_view text, Answer& answer) const {
  violetusher::Report report;
  report.fill(fields_->size(), std::numeric_limits<double>::quiet_NaN());
  bool any = false;
  while (!text.empty()) {
    std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    std::size_t eq = pair.find('=');
    if (eq == pair.npos) continue;
    auto field = violetusher::protocol::report_field_of(pair.substr(0, eq));
    auto value = number<double>(pair.substr(eq + 1));
    if (!field || !value || !(*value >= 0 && *value <= kMaxReportValue)) continue;  // unreadable
    auto at = std::find(fields_->begin(), fields_->end(), *field);
    auto index = static_cast<std::size_t>(at - fields_->begin());
    if (index >= report.size()) continue;
    report[index] = *value;
    any = true;
  }
  if (any) answer.report = report;
}

bool AnswerReader::parse_line(std::string_view line, Answer& answer) {
  answer.clear();
  if (!printable(line)) return false;
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  bool flags = true;
  if (verb == "VA") {
    answer.kind = Answer::Kind::Value;
    auto length = number<std::size_t>(next_word(rest));
    if (!length || *length > kMaxStreamedValueBytes) return false;
    answer.length = *length;
    remaining_ = *length + 2;
  } else if (verb == "HD") {
    answer.kind = Answer::Kind::Stored;
  } else if (verb == "EN") {
    answer.kind = Answer::Kind::Miss;
  } else if (verb == "SERVER_ERROR") {
    answer.kind = next_word(rest) == "busy" ? Answer::Kind::Busy : Answer::Kind::Error;
  } else if (verb == "CLIENT_ERROR" || verb == "ERROR") {
    answer.close_after = true;
    flags = false;
  } else if (verb == "NS" || verb == "EX" || verb == "NF") {
    answer.kind = Answer::Kind::Error;
  } else {
    return false;
  }
  bool fetching = false;
  while (flags) {
    std::string_view flag = next_word(rest);
    if (flag.empty()) break;
    std::string_view value = flag.substr(1);
    switch (flag[0]) {
      case 'O':
        answer.id = value;
        break;
      case 'c':
        answer.receipt = value;
        break;
      case 'h':
        answer.note = value == "1" ? 1 : value == "0" ? 2 : 0;
        break;
      case 'Z':
        fetching = true;
        break;
      case 'L':
        parse_report(value, answer);
        break;
      default:
        break;
    }
  }
  if (fetching && answer.note == 2) answer.note = 3;
  // Without a receipt the client couldn't verify that the write was stored.
  if (answer.kind == Answer::Kind::Stored && answer.receipt.empty()) return false;
  return true;
}

/// The usual case: the value has come with its line.
AnswerReader::Got AnswerReader::take_whole_value(std::string_view& in, Answer& answer) {
  answer.value.assign(in.data(), remaining_);
  in.remove_prefix(remaining_);
  remaining_ = 0;
  return strip_line_end(answer.value) ? Got::Answer : Got::Broken;
}

AnswerReader::Got AnswerReader::take(std::string_view& in, Answer& answer) {
  while (!in.empty()) {
    if (state_ == State::Line) {
      bool too_long = false;
      auto line = read_line(in, partial_, too_long);
      if (too_long) return Got::Broken;
      if (!line) return may_begin_answer(partial_) ? Got::Nothing : Got::Broken;
      bool good = parse_line(*line, answer);
      std::string().swap(partial_);
      if (!good) return Got::Broken;
      if (answer.kind != Answer::Kind::Value) return Got::Answer;
      if (answer.length > kMaxValueBytes) {
        pending_ = answer;
        remaining_ = answer.length;
        state_ = State::StreamedValue;
        return Got::Begin;
      }
      if (in.size() >= remaining_) return take_whole_value(in, answer);
      std::swap(pending_, answer);
      pending_.value.reserve(in.size());
      state_ = State::Value;
    } else if (state_ == State::StreamedValue) {
      piece_ = in.substr(0, remaining_);
      in.remove_prefix(piece_.size());
      remaining_ -= piece_.size();
      if (remaining_ == 0) state_ = State::StreamedValueEnd;
      return Got::Piece;
    } else if (state_ == State::StreamedValueEnd) {
      partial_ += in.front();
      in.remove_prefix(1);
      if (partial_ != std::string_view("\r\n").substr(0, partial_.size())) return Got::Broken;
      if (partial_.size() < 2) continue;
      partial_.clear();
      state_ = State::Line;
      answer = std::move(pending_);
      pending_ = Answer();
      return Got::Answer;
    } else {
      read_bytes(in, pending_.value, remaining_);
      if (remaining_ > 0) return Got::Nothing;
      state_ = State::Line;
      std::swap(answer, pending_);
      return strip_line_end(answer.value) ? Got::Answer : Got::Broken;
    }
  }
  return Got::Nothing;
}

}  // namespace violetusher::protocol
