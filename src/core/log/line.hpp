// Formats one event as one log line. No I/O and no clock.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "violetusher/balancer.hpp"

namespace violetusher::core::log {

/// How lines are written.
enum class Format : std::uint8_t { kText, kLogfmt, kJson };
enum class Level : std::uint8_t { kInfo, kWarn, kError };

/// A named value of an event.
struct Field {
  std::string_view name;  ///< letters, digits and '_'
  std::variant<std::int64_t, std::string_view> value;
};

/// Largest size of a line, including its end: what a pipe writes atomically (PIPE_BUF). Texts of
/// longer lines are truncated.
constexpr std::size_t kMaxLineBytes = 4096;

/// Returns the line with its end. As text it is `text` after the program's name, possibly of
/// several lines, without the fields; as logfmt and JSON it has time (RFC 3339, UTC), level, event,
/// msg and the fields. External bytes can't end the line or reach a terminal: control characters
/// and invalid UTF-8 are escaped.
std::string format_line(Format format, Micros unix_time, Level level, std::string_view event,
                        std::string_view text, std::initializer_list<Field> fields);

/// Bounds the lines of one event per interval and counts the suppressed ones. Memory is bounded:
/// events that come when the table is full share one counter.
class EventRateLimiter {
 public:
  static constexpr std::uint64_t kMaxLines = 20;
  static constexpr Micros kInterval = 10'000'000;
  static constexpr std::size_t kMaxEvents = 64;
  /// Returns whether a line of `event` may be written at `now`; `suppressed` is set to the number
  /// of lines left out since the previous one.
  bool admit(Micros now, std::string_view event, std::uint64_t& suppressed);

 private:
  struct Count {
    Micros since = 0;
    std::uint64_t written = 0, suppressed = 0;
  };
  std::map<std::string, Count, std::less<>> counts_;
};

}  // namespace violetusher::core::log
