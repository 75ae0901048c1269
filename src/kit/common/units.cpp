#include "units.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <initializer_list>
#include <utility>

namespace violetusher::kit {
namespace {

/// Parses a number followed by one of `units` and multiplies it by the factor of the unit.
std::optional<double> with_unit(std::string_view text,
                                std::initializer_list<std::pair<std::string_view, double>> units) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (auto [name, times] : units)
    if (unit == name) return value * times;
  return std::nullopt;
}

}  // namespace

std::optional<Micros> parse_duration(std::string_view text) {
  auto value = with_unit(text, {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 6e7}, {"h", 3.6e9}});
  if (!value || *value > 8.64e10) return std::nullopt;
  return static_cast<Micros>(std::llround(*value));
}

std::optional<double> parse_rate(std::string_view text) {
  return with_unit(text, {{"/s", 1}, {"/ms", 1e3}, {"/min", 1.0 / 60}});
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
  auto value = with_unit(text, {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}});
  if (!value || *value > 1e15) return std::nullopt;
  return static_cast<std::uint64_t>(std::llround(*value));
}

std::optional<double> parse_percent(std::string_view text) {
  return with_unit(text, {{"%", 0.01}});
}

std::string duration_text(Micros span) {
  char text[32];
  if (span == 0) return "0s";
  if (span >= 1'000'000)
    std::snprintf(text, sizeof text, "%.2fs", static_cast<double>(span) / 1e6);
  else if (span >= 1000)
    std::snprintf(text, sizeof text, "%.1fms", static_cast<double>(span) / 1e3);
  else
    std::snprintf(text, sizeof text, "%lldus", static_cast<long long>(span));
  return text;
}

std::string percent(double part) {
  char text[24];
  std::snprintf(text, sizeof text, "%.2f%%", part * 100);
  return text;
}

}  // namespace violetusher::kit
