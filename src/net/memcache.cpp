#include "memcache.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include "../drill/settings.hpp"

namespace arrowfork {
namespace {

template <typename T>
std::optional<T> number(std::string_view text) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// The next word of `rest`, which it is taken from; empty at the end.
std::string_view next_word(std::string_view& rest) {
  while (!rest.empty() && rest.front() == ' ') rest.remove_prefix(1);
  std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

/// Moves bytes up to and with the next '\n' from `in` behind `partial`. Gives the line without its
/// end when it is whole; it lives in `in`'s memory or in `partial`, which the caller clears then.
/// Sets `too_long` when no line end came within kMaxLine bytes.
std::optional<std::string_view> take_text_line(std::string_view& in, std::string& partial,
                                               bool& too_long) {
  std::size_t end = in.find('\n');
  std::size_t size = end == in.npos ? in.size() : end + 1;
  if (partial.size() + size > kMaxLine) {
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

/// Moves up to `need` bytes from `in` behind `to`.
void take_bytes(std::string_view& in, std::string& to, std::size_t& need) {
  std::size_t size = std::min(need, in.size());
  to.append(in.data(), size);
  in.remove_prefix(size);
  need -= size;
}

bool ends_line(const std::string& value) {
  return value.size() >= 2 && value[value.size() - 2] == '\r' && value.back() == '\n';
}

bool plain(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 33 || c == 127; });
}

}  // namespace

std::string Command::line(std::int64_t wait) const {
  char digits[24];
  char* end = std::to_chars(digits, digits + sizeof digits, wait).ptr;
  std::string text;
  text.reserve(before_d.size() + after_d.size() + static_cast<std::size_t>(end - digits) + 2 +
               (value && value->size() <= kLargeValue ? value->size() : 0));
  text.append(before_d).append(digits, end).append(after_d).append("\r\n");
  return text;
}

CommandReader::Got CommandReader::take_line(std::string_view line, Command& command) {
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  if (verb == "mn") return Got::Noop;
  if (verb != "mg" && verb != "ms") return Got::Unknown;
  command = Command();
  command.set = verb == "ms";
  std::string_view key = next_word(rest);
  bool good = !key.empty() && key.size() <= kMaxKey && plain(key);
  if (command.set) {
    auto length = number<std::size_t>(next_word(rest));
    // Without its length nobody can tell where the value ends.
    if (!length || *length > kMaxValue) return Got::Broken;
    value_need_ = *length + 2;
    state_ = State::Skip;  // until the line proves good
  }
  Got bad = command.set ? Got::Nothing : Got::Bad;  // a bad set is told once its value is skipped
  std::string_view pairs;
  while (true) {
    std::string_view flag = next_word(rest);
    if (flag.empty()) break;
    if (flag[0] == 'O') command.id = flag.substr(1);
    if (flag[0] == 'P') pairs = flag.substr(1);
  }
  if (!good || command.id.empty() || pairs.empty() || !plain(line.substr(line.size() - 1)))
    return bad;
  std::string_view at_d = pairs.substr(pairs.size());
  bool has_d = false;
  for (std::string_view left = pairs; !left.empty();) {
    std::string_view pair = left.substr(0, left.find(','));
    left.remove_prefix(std::min(left.size(), pair.size() + 1));
    std::size_t eq = pair.find('=');
    if (eq == pair.npos) continue;
    std::string_view name = pair.substr(0, eq), value = pair.substr(eq + 1);
    if (name == "c") command.type = value;
    if (name == "t") command.tenant = value;
    if (name == "r") command.repeat = value == "1";
    if (name == "h") {
      auto work = number<double>(value);
      if (work && std::isfinite(*work) && *work >= 0 && *work < 1e15)
        command.work = static_cast<std::int64_t>(*work);
    }
    if (name == "d") {
      auto wait = number<double>(value);
      if (!wait || !std::isfinite(*wait) || *wait < 0 || *wait > 1e9) return bad;
      command.wait_ms = *wait;
      at_d = value;
      has_d = true;
    }
  }
  if (command.type.empty()) return bad;
  command.key = key;
  std::size_t cut = static_cast<std::size_t>(at_d.data() - line.data());
  command.before_d = line.substr(0, cut);
  if (!has_d) command.before_d += ",d=";
  command.after_d = line.substr(cut + at_d.size());
  if (!command.set) return Got::Command;
  state_ = State::Value;
  value_ = std::make_shared<std::string>();
  value_->reserve(std::min<std::size_t>(value_need_, kLargeValue));
  pending_ = std::move(command);
  return Got::Nothing;
}

CommandReader::Got CommandReader::take(std::string_view& in, Command& command) {
  while (true) {
    if (state_ == State::Line) {
      if (in.empty()) return Got::Nothing;
      bool too_long = false;
      auto line = take_text_line(in, partial_, too_long);
      if (too_long) return Got::Broken;
      if (!line) return Got::Nothing;
      Got got = take_line(*line, command);
      partial_.clear();
      if (got != Got::Nothing) return got;
    } else if (state_ == State::Value) {
      take_bytes(in, *value_, value_need_);
      if (value_need_ > 0) return Got::Nothing;
      state_ = State::Line;
      if (!ends_line(*value_)) return Got::Broken;
      pending_.value = std::move(value_);
      command = std::move(pending_);
      return Got::Command;
    } else {
      std::size_t size = std::min(value_need_, in.size());
      in.remove_prefix(size);
      value_need_ -= size;
      if (value_need_ > 0) return Got::Nothing;
      state_ = State::Line;
      return Got::Bad;
    }
  }
}

void AnswerReader::parse_report(std::string_view text, Answer& answer) const {
  answer.report.assign(fields_->size(), std::numeric_limits<double>::quiet_NaN());
  while (!text.empty()) {
    std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    std::size_t eq = pair.find('=');
    if (eq == pair.npos) continue;
    auto field = robinseam::drill::report_field_of(pair.substr(0, eq));
    auto value = number<double>(pair.substr(eq + 1));
    if (!field || !value || !std::isfinite(*value)) continue;  // unreadable: skipped
    auto at = std::find(fields_->begin(), fields_->end(), *field);
    if (at != fields_->end()) answer.report[static_cast<std::size_t>(at - fields_->begin())] = *value;
  }
}

bool AnswerReader::parse_line(std::string_view line, Answer& answer) const {
  answer = Answer();
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  bool flags = true;
  if (verb == "VA") {
    answer.kind = Answer::Kind::Value;
    auto length = number<std::size_t>(next_word(rest));
    if (!length || *length > kMaxValue) return false;
    answer.length = *length;
  } else if (verb == "HD") {
    answer.kind = Answer::Kind::Stored;
  } else if (verb == "EN") {
    answer.kind = Answer::Kind::Miss;
  } else if (verb == "SERVER_ERROR") {
    answer.kind = next_word(rest) == "busy" ? Answer::Kind::Busy : Answer::Kind::Error;
  } else if (verb == "CLIENT_ERROR" || verb == "ERROR") {
    answer.last = true;
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
  return true;
}

AnswerReader::Got AnswerReader::take(std::string_view& in, Answer& answer,
                                     std::string_view& chunk) {
  while (true) {
    switch (state_) {
      case State::Line: {
        if (in.empty()) return Got::Nothing;
        bool too_long = false;
        auto line = take_text_line(in, partial_, too_long);
        if (too_long) return Got::Broken;
        if (!line) return Got::Nothing;
        bool good = parse_line(*line, answer);
        partial_.clear();
        if (!good) return Got::Broken;
        if (answer.kind != Answer::Kind::Value) return Got::Answer;
        if (answer.length > kLargeValue) {
          need_ = answer.length;
          state_ = State::Large;
          return Got::Head;
        }
        need_ = answer.length + 2;
        if (in.size() >= need_) {  // the usual case: all of it is here
          if (in[need_ - 2] != '\r' || in[need_ - 1] != '\n') return Got::Broken;
          answer.value = in.substr(0, need_);
          in.remove_prefix(need_);
          return Got::Answer;
        }
        pending_ = std::move(answer);
        pending_.value.reserve(need_);
        state_ = State::Value;
        break;
      }
      case State::Value:
        take_bytes(in, pending_.value, need_);
        if (need_ > 0) return Got::Nothing;
        state_ = State::Line;
        if (!ends_line(pending_.value)) return Got::Broken;
        answer = std::move(pending_);
        return Got::Answer;
      case State::Large: {
        if (in.empty()) return Got::Nothing;
        chunk = in.substr(0, need_);
        in.remove_prefix(chunk.size());
        need_ -= chunk.size();
        if (need_ == 0) need_ = 2, state_ = State::LargeEnd;
        return Got::Chunk;
      }
      case State::LargeEnd:
        if (in.empty()) return Got::Nothing;
        take_bytes(in, partial_, need_);
        if (need_ > 0) return Got::Nothing;
        state_ = State::Line;
        bool whole = ends_line(partial_);
        partial_.clear();
        return whole ? Got::End : Got::Broken;
    }
  }
}

}  // namespace arrowfork
