#include "line.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <utility>

namespace violetusher::core::log {
namespace {

constexpr std::size_t kMaxTextBytes = 3000;  // bytes of the message after escaping
constexpr std::size_t kMaxFieldBytes = 200;  // bytes of a field after escaping
constexpr std::size_t kMaxFields = 3;        // so that the line always fits kMaxLineBytes
constexpr const char* kLevels[] = {"info", "warn", "error"};

/// Returns the size of the UTF-8 sequence at the start of `text`; 0 if it has to be escaped.
std::size_t utf8_sequence_length(std::string_view text) {
  auto byte = [&](std::size_t k) { return static_cast<unsigned char>(text[k]); };
  auto follows = [&](std::size_t k) { return k < text.size() && (byte(k) & 0xc0) == 0x80; };
  if (byte(0) < 0x80) return byte(0) >= 0x20 && byte(0) != 0x7f ? 1 : 0;
  if (byte(0) >= 0xc2 && byte(0) < 0xe0 && follows(1)) {
    // U+0080 to U+009F are control characters too.
    return byte(0) == 0xc2 && byte(1) < 0xa0 ? 0 : 2;
  }
  if ((byte(0) & 0xf0) == 0xe0 && follows(1) && follows(2)) {
    bool longer = byte(0) == 0xe0 && byte(1) < 0xa0, surrogate = byte(0) == 0xed && byte(1) >= 0xa0;
    return longer || surrogate ? 0 : 3;
  }
  if (byte(0) >= 0xf0 && byte(0) <= 0xf4 && follows(1) && follows(2) && follows(3)) {
    bool longer = byte(0) == 0xf0 && byte(1) < 0x90, beyond = byte(0) == 0xf4 && byte(1) >= 0x90;
    return longer || beyond ? 0 : 4;
  }
  return 0;
}

/// Appends `text`, with everything escaped that could end a line or a quoted string or reach a
/// terminal, in at most `max_bytes` bytes; truncated text ends in three dots.
void append_escaped(std::string& out, std::string_view text, std::size_t max_bytes, bool quotes) {
  std::size_t stop = out.size() + max_bytes;
  while (!text.empty()) {
    char escape[8];
    std::size_t size = utf8_sequence_length(text);
    std::string_view piece = text.substr(0, std::max<std::size_t>(size, 1));
    if (size == 0) {
      std::snprintf(escape, sizeof escape, "\\u%04x", static_cast<unsigned char>(text[0]));
      text.remove_prefix(1);
      piece = escape;
    } else {
      text.remove_prefix(size);
      if (quotes && piece == "\"") piece = "\\\"";
      if (quotes && piece == "\\") piece = "\\\\";
    }
    if (out.size() + piece.size() + 3 > stop) {
      if (out.size() + 3 <= stop) out += "...";
      return;
    }
    out += piece;
  }
}

std::string time_text(Micros unix_time) {
  std::time_t seconds = static_cast<std::time_t>(unix_time / 1'000'000);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[40], whole[64];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(whole, sizeof whole, "%s.%06dZ", text, static_cast<int>(unix_time % 1'000'000));
  return whole;
}

void append_quoted(std::string& out, std::string_view text, std::size_t max_bytes) {
  out += '"';
  append_escaped(out, text, max_bytes, true);
  out += '"';
}

}  // namespace

std::string format_line(Format format, Micros unix_time, Level level, std::string_view event,
                        std::string_view text, std::initializer_list<Field> fields) {
  std::string line;
  if (format == Format::kText) {
    // Messages of the configuration checker have several lines, which are kept for readers.
    line = "violetusher: ";
    for (bool first = true; !text.empty(); first = false) {
      if (!first) line += '\n';
      std::size_t end = text.find('\n');
      append_escaped(line, text.substr(0, end),
                     kMaxTextBytes - std::min(kMaxTextBytes, line.size()), false);
      text.remove_prefix(end == text.npos ? text.size() : end + 1);
    }
    return line + "\n";
  }
  bool json = format == Format::kJson;
  auto name = [&](std::string_view what) {
    if (json)
      line.append(line == "{" ? "\"" : ",\"").append(what).append("\":");
    else
      line.append(line.empty() ? "" : " ").append(what).append("=");
  };
  auto word = [&](std::string_view what) {
    json ? append_quoted(line, what, kMaxFieldBytes)
         : append_escaped(line, what, kMaxFieldBytes, true);
  };
  if (json) line = "{";
  name("time"), word(time_text(unix_time));
  name("level"), word(kLevels[static_cast<int>(level)]);
  name("event"), word(event);
  name("msg"), append_quoted(line, text, kMaxTextBytes);
  std::size_t count = 0;
  for (const Field& field : fields) {
    if (++count > kMaxFields) break;
    name(field.name);
    if (auto* number = std::get_if<std::int64_t>(&field.value))
      line += std::to_string(*number);
    else
      append_quoted(line, std::get<std::string_view>(field.value), kMaxFieldBytes);
  }
  if (json) line += '}';
  return line + "\n";
}

bool EventRateLimiter::admit(Micros now, std::string_view event, std::uint64_t& suppressed) {
  auto it = counts_.find(event);
  if (it == counts_.end() && counts_.size() >= kMaxEvents) it = counts_.find("");
  if (it == counts_.end())
    it = counts_
             .emplace(counts_.size() + 1 < kMaxEvents ? std::string(event) : std::string(),
                      Count{now, 0, 0})
             .first;
  Count& c = it->second;
  if (now - c.since >= kInterval) c.since = now, c.written = 0;
  if (c.written >= kMaxLines) {
    ++c.suppressed;
    return false;
  }
  ++c.written;
  suppressed = std::exchange(c.suppressed, 0);
  return true;
}

}  // namespace violetusher::core::log
