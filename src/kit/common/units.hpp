// Parses and formats durations, rates and sizes in text form: a number with a mandatory unit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "violetusher/balancer.hpp"

namespace violetusher::kit {

/// Parses "250us", "1.5ms", "5s" or "2min" to microseconds; nothing where the text is malformed,
/// negative or longer than a day.
std::optional<Micros> parse_duration(std::string_view text);
/// Parses "450/s" or "0.5/ms" to events per second.
std::optional<double> parse_rate(std::string_view text);
/// Parses "512B", "64KiB" or "32MiB" to bytes.
std::optional<std::uint64_t> parse_size(std::string_view text);
/// Parses "56%" to a fraction of one.
std::optional<double> parse_percent(std::string_view text);

/// Formats a duration for reports: "1.50s", "12.3ms".
std::string duration_text(Micros span);
/// Formats a fraction for reports: 0.125 is "12.50%".
std::string percent(double part);

}  // namespace violetusher::kit
