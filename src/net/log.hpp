// The log: events as lines on standard error, without ever waiting for whoever reads them.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "core/log/line.hpp"

namespace violetusher::net {

/// Where lines go.
class LogSink {
 public:
  virtual ~LogSink() = default;
  /// Writes one whole line or nothing of it, at once. False where it could not.
  virtual bool write(std::string_view line) = 0;
};

/// Standard error, or another descriptor that stays open. A pipe whose reader has stalled or gone
/// takes no line; a file takes all.
class DescriptorSink final : public LogSink {
 public:
  explicit DescriptorSink(int descriptor = 2) : descriptor_(descriptor) {}
  bool write(std::string_view line) override;

 private:
  int descriptor_;
};

class Log {
 public:
  using Level = core::log::Level;
  using Field = core::log::Field;
  explicit Log(LogSink& sink) : sink_(sink) {}
  void set(core::log::Format format, Level min_level) { format_ = format, min_level_ = min_level; }

  /// `event` is one of docs/operators/logs.md; `text` says it for people, and is all of the line
  /// where no operator file asks for more. At most a few lines a second of each event; the number
  /// left out, and of those that nobody took, stands in the next line.
  void write(Micros now, Level level, std::string_view event, std::string_view text,
             std::initializer_list<Field> fields = {});

 private:
  LogSink& sink_;
  core::log::Format format_ = core::log::Format::kText;
  Level min_level_ = Level::kInfo;
  core::log::EventRateLimiter rate_limiter_;
  std::uint64_t lost_ = 0;  // lines that the sink did not take
};

}  // namespace violetusher::net
