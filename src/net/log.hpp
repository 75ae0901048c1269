// The log: writes events as lines to standard error and never blocks on a slow reader.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "core/log/line.hpp"

namespace violetusher::net {

/// The destination of log lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  /// Writes one complete line or nothing, without blocking. Returns whether it was written.
  virtual bool write(std::string_view line) = 0;
};

/// Writes to standard error, or to another descriptor that stays open. A line to a pipe is dropped
/// if its reader has stalled or closed it; a regular file accepts every line.
class DescriptorSink final : public LogSink {
 public:
  explicit DescriptorSink(int descriptor = 2) : descriptor_(descriptor) {}
  bool write(std::string_view line) override;

 private:
  int descriptor_;
};

/// Formats events, limits their rate, and writes them to a sink.
class Log {
 public:
  using Level = core::log::Level;
  using Field = core::log::Field;
  explicit Log(LogSink& sink) : sink_(sink) {}
  void set(core::log::Format format, Level min_level) { format_ = format, min_level_ = min_level; }

  /// `event` is an event name of docs/operators/logs.md; `text` is the message for people, and the
  /// whole line unless an operator file sets another format. Each event is limited to a few lines a
  /// second; the next line says how many were suppressed or could not be written.
  void write(Micros now, Level level, std::string_view event, std::string_view text,
             std::initializer_list<Field> fields = {});

 private:
  LogSink& sink_;
  core::log::Format format_ = core::log::Format::kText;
  Level min_level_ = Level::kInfo;
  core::log::EventRateLimiter rate_limiter_;
  std::uint64_t dropped_ = 0;  // lines that the sink did not accept
};

}  // namespace violetusher::net
