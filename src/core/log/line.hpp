// One event as one line of a log: what it says and how it is written. No I/O and no clock.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "violetusher/balancer.hpp"

namespace violetusher::core::log {

enum class Format : std::uint8_t { kText, kLogfmt, kJson };
enum class Level : std::uint8_t { kInfo, kWarn, kError };

struct Field {
  std::string_view name;  ///< letters, digits and '_'
  std::variant<std::int64_t, std::string_view> value;
};

/// Bytes of the longest line, its end included: what a pipe takes whole or not at all (PIPE_BUF). A
/// longer one has its texts cut.
constexpr std::size_t kMostLine = 4096;

/// The line with its end. As text it is `text` behind the program's name, which may have lines of
/// its own, and the fields are left out; as logfmt and JSON it has time (RFC 3339, UTC), level,
/// event, msg and the fields. Bytes from outside can't end the line or reach a terminal: control
/// characters and what is no UTF-8 are escaped.
std::string format_line(Format format, Micros unix_time, Level level, std::string_view event,
                        std::string_view text, std::initializer_list<Field> fields);

/// Lines of one event that may be written in a span; what is left out is counted. Bounded: events
/// that are not known when the table is full share one count.
class EventRateLimiter {
 public:
  static constexpr std::uint64_t kMost = 20;
  static constexpr Micros kSpan = 10'000'000;
  static constexpr std::size_t kMostEvents = 64;
  /// Whether a line of `event` may be written at `now`, and how many were left out since the last
  /// one.
  bool admit(Micros now, std::string_view event, std::uint64_t& suppressed);

 private:
  struct Count {
    Micros since = 0;
    std::uint64_t written = 0, suppressed = 0;
  };
  std::map<std::string, Count, std::less<>> counts_;
};

}  // namespace violetusher::core::log
