#include "log.hpp"

namespace violetusher::net {

void Log::write(Micros now, Level level, std::string_view event, std::string_view text,
                std::initializer_list<Field> fields) {
  if (level < min_level_) return;
  std::uint64_t suppressed = 0;
  if (!rate_limiter_.admit(now, event, suppressed)) return;
  auto write_notice = [&](std::string_view what, std::uint64_t count) {
    std::string notice = std::to_string(count) + " lines " + std::string(what);
    return sink_.write(core::log::format_line(format_, now, Level::kWarn, "log-lines-lost", notice,
                                              {{"lines", static_cast<std::int64_t>(count)}}));
  };
  if (dropped_ > 0 && write_notice("could not be written", dropped_)) dropped_ = 0;
  if (suppressed > 0) write_notice("of '" + std::string(event) + "' were suppressed", suppressed);
  if (!sink_.write(core::log::format_line(format_, now, level, event, text, fields))) ++dropped_;
}

}  // namespace violetusher::net
