// Durations, rates and sizes as people write them: a number and a unit, never a bare number.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "violetusher/balancer.hpp"

namespace violetusher::kit {

/// "250us", "1.5ms", "5s", "2min". Microseconds; nothing where the text is no such thing, is
/// negative or longer than a day.
std::optional<Micros> parse_duration(std::string_view text);
/// "450/s" or "0.5/ms". Events a second.
std::optional<double> parse_rate(std::string_view text);
/// "512B", "64KiB", "32MiB". Bytes.
std::optional<std::uint64_t> parse_size(std::string_view text);
/// "56%". A part of one.
std::optional<double> parse_percent(std::string_view text);

/// For people: "1.50s", "12.3ms".
std::string duration_text(Micros span);
/// A part of one for people: 0.125 is "12.50%".
std::string percent(double part);

}  // namespace violetusher::kit
