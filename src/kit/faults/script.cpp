// Parses fault scripts.
#include "script.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <sstream>

namespace violetusher::faults {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(Call::kCount)> kCallNames = {
    "open",       "read",       "pread",     "write",     "pwrite", "readv",
    "writev",     "fsync",      "fdatasync", "ftruncate", "rename", "flock",
    "socket",     "accept4",    "connect",   "recv",      "send",   "sendmsg",
    "getsockopt", "epoll_wait", "epoll_ctl", "poll",      "clock"};

struct ErrnoName {
  const char* name;
  int number;
};

constexpr ErrnoName kErrnoNames[] = {
    {"EACCES", EACCES},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"EAGAIN", EAGAIN},
    {"ECONNABORTED", ECONNABORTED},
    {"ECONNREFUSED", ECONNREFUSED},
    {"ECONNRESET", ECONNRESET},
    {"EDQUOT", EDQUOT},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"EINTR", EINTR},
    {"EIO", EIO},
    {"EISDIR", EISDIR},
    {"EMFILE", EMFILE},
    {"ENETDOWN", ENETDOWN},
    {"ENETUNREACH", ENETUNREACH},
    {"ENFILE", ENFILE},
    {"ENOBUFS", ENOBUFS},
    {"ENOENT", ENOENT},
    {"ENOMEM", ENOMEM},
    {"ENOSPC", ENOSPC},
    {"EPERM", EPERM},
    {"EPIPE", EPIPE},
    {"EPROTO", EPROTO},
    {"EROFS", EROFS},
    {"ETIMEDOUT", ETIMEDOUT},
};

constexpr Micros kMillisecond = 1000, kSecond = 1'000'000;
// The longest delay between reading the clock and writing that a process must tolerate.
constexpr Micros kMaxDelay = 150 * kMillisecond;

/// A line of the script with the read position, which error messages report.
class Line {
 public:
  Line(const std::string& text, const std::string& file, int number)
      : text_(text), file_(file), number_(number) {}

  /// The next word; empty at the end of the line or at a comment.
  std::string word() {
    at_ = std::min(text_.find_first_not_of(" \t\r", at_), text_.size());
    if (at_ < text_.size() && text_[at_] == '#') at_ = text_.size();
    begin_ = at_;
    at_ = std::min(text_.find_first_of(" \t\r", at_), text_.size());
    return text_.substr(begin_, at_ - begin_);
  }
  [[noreturn]] void fail(const std::string& what, std::size_t offset = 0) const {
    throw ScriptError(file_ + ":" + std::to_string(number_) + ":" +
                      std::to_string(begin_ + offset + 1) + ": " + what);
  }
  int number() const { return number_; }

 private:
  const std::string& text_;
  const std::string& file_;
  int number_;
  std::size_t at_ = 0, begin_ = 0;
};

std::vector<std::string> split(const std::string& text, char by) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, by);) parts.push_back(part);
  if (text.empty() || text.back() == by) parts.emplace_back();
  return parts;
}

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<Micros> parse_duration(const std::string& text) {
  struct Unit {
    const char* name;
    double micros;
  };
  static constexpr Unit kUnits[] = {
      {"us", 1}, {"ms", 1e3}, {"min", 60e6}, {"s", 1e6}, {"h", 3600e6}};
  std::size_t digits = text.find_first_not_of("+-.0123456789");
  if (digits == text.npos) return std::nullopt;
  std::size_t begin = text[0] == '+' ? 1 : 0;  // from_chars does not accept a plus sign
  std::string figure = text.substr(begin, digits - begin);
  auto value = parse_number<double>(figure);
  if (!value || !std::isfinite(*value)) return std::nullopt;
  for (const Unit& unit : kUnits)
    if (text.compare(digits, text.npos, unit.name) == 0)
      return static_cast<Micros>(*value * unit.micros);
  return std::nullopt;
}

Micros read_duration(const Line& line, const std::string& key, const std::string& value,
                     bool allow_negative) {
  auto result = parse_duration(value);
  if (!result) line.fail("'" + value + "' is not a duration such as 100ms or 2s", key.size() + 1);
  if (*result < 0 && !allow_negative) line.fail(key + " must not be negative", key.size() + 1);
  return *result;
}

Call call_of(const Line& line, const std::string& name, std::size_t offset) {
  for (std::size_t k = 0; k < kCallNames.size(); ++k)
    if (name == kCallNames[k]) return static_cast<Call>(k);
  line.fail("unknown call '" + name + "'", offset);
}

void read_key(const Line& line, const std::string& word, Rule& rule) {
  std::size_t equals = word.find('=');
  if (equals == word.npos) line.fail("'" + word + "' is not of the form KEY=VALUE");
  std::string key = word.substr(0, equals), value = word.substr(equals + 1);
  std::size_t offset = equals + 1;
  if (key == "path") {
    if (value.empty()) line.fail("path is empty", offset);
    rule.path = value;
  } else if (key == "error") {
    for (const std::string& name : split(value, '|')) {
      auto number = errno_of(name);
      if (!number) line.fail("unknown error '" + name + "'", offset);
      rule.errors.push_back(*number);
      offset += name.size() + 1;
    }
  } else if (key == "short" || key == "times" || key == "skip") {
    auto number = parse_number<std::uint64_t>(value);
    if (!number || *number == 0) line.fail("'" + value + "' is not a positive integer", offset);
    (key == "short" ? rule.short_count : key == "times" ? rule.times : rule.skip) = *number;
  } else if (key == "chance") {
    auto number = parse_number<double>(value);
    if (!number || !(*number > 0 && *number <= 1))
      line.fail("'" + value + "' is not a probability above 0 and up to 1", offset);
    rule.chance = *number;
  } else if (key == "delay") {
    rule.delay = read_duration(line, key, value, false);
    if (rule.delay > kMaxDelay) line.fail("delay must be 150ms at most", offset);
  } else if (key == "step") {
    rule.step = read_duration(line, key, value, true);
  } else if (key == "from") {
    rule.from = read_duration(line, key, value, false);
  } else if (key == "until") {
    rule.until = read_duration(line, key, value, false);
  } else if (key == "every") {
    rule.every = read_duration(line, key, value, false);
  } else if (key == "for") {
    rule.for_span = read_duration(line, key, value, false);
  } else {
    line.fail("unknown key '" + key + "'");
  }
}

Rule read_rule(Line& line, const std::string& calls) {
  Rule rule;
  rule.line = line.number();
  std::size_t offset = 0;
  for (const std::string& name : split(calls, ',')) {
    rule.calls.push_back(call_of(line, name, offset));
    offset += name.size() + 1;
  }
  for (std::string word = line.word(); !word.empty(); word = line.word())
    read_key(line, word, rule);
  bool clock = rule.names(Call::kClock);
  if (clock != (rule.step != 0)) line.fail("a rule needs both 'clock' and 'step', or neither");
  if (!clock && rule.errors.empty() && rule.short_count == 0 && rule.delay == 0)
    line.fail("the rule has no effect: expected error, short or delay");
  if (rule.until > 0 && rule.until <= rule.from) line.fail("until must be later than from");
  if ((rule.every > 0) != (rule.for_span > 0))
    line.fail("a rule needs both every and for, or neither");
  return rule;
}

}  // namespace

const char* name_of(Call call) { return kCallNames[static_cast<std::size_t>(call)]; }

std::optional<int> errno_of(const std::string& name) {
  for (const ErrnoName& one : kErrnoNames)
    if (name == one.name) return one.number;
  return std::nullopt;
}

std::string errno_name(int number) {
  for (const ErrnoName& one : kErrnoNames)
    if (number == one.number) return one.name;
  return std::to_string(number);
}

bool Rule::names(Call call) const {
  return std::find(calls.begin(), calls.end(), call) != calls.end();
}

bool Rule::holds_at(Micros at) const {
  if (at < from || (until > 0 && at >= until)) return false;
  return every == 0 || (at - from) % every < for_span;
}

Script parse_script(const std::string& text, const std::string& name) {
  Script script;
  std::istringstream in(text);
  int number = 0;
  for (std::string content; std::getline(in, content);) {
    Line line(content, name, ++number);
    std::string first = line.word();
    if (first.empty()) continue;
    if (first != "seed") {
      script.rules.push_back(read_rule(line, first));
      continue;
    }
    std::string value = line.word();
    auto seed = parse_number<std::uint64_t>(value);
    if (!seed) line.fail("'" + value + "' is not a seed (unsigned integer)");
    script.seed = *seed;
  }
  return script;
}

}  // namespace violetusher::faults
