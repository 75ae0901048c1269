#include "start_times.hpp"

#include <algorithm>
#include <cstdlib>

#include "core/mutants.hpp"

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000;
// A Date header has whole seconds and a response takes time; clocks closer than this count as
// equal.
constexpr Micros kClockTolerance = 3 * kSecond;
// A server is listed within this time of its start. An older start of a server that earlier
// responses did not list may come from a clock that is off.
constexpr Micros kMaxListingDelay = 60 * kSecond;

}  // namespace

void StartTimes::on_response(Micros now, Micros date) {
  previous_response_ = last_response_;
  last_response_ = now;
  if (date > 0) clock_offset_ = std::abs(date - now) > kClockTolerance ? date - now : 0;
}

Micros StartTimes::start_of(const std::string& id, Micros listed_start) {
  if (listed_start == 0 || last_response_ == 0 || mutant(Mutant::kTrustServerClock))
    return listed_start;
  auto [at, fresh] = servers_.try_emplace(id);
  Entry& entry = at->second;
  entry.used = true;
  if (!fresh && entry.listed_start == listed_start) return entry.start;
  Micros start = listed_start - clock_offset_;
  bool implausible = previous_response_ > 0 && start < previous_response_ - kMaxListingDelay;
  entry.listed_start = listed_start;
  entry.start = implausible ? last_response_ : std::min(start, last_response_);
  return entry.start;
}

void StartTimes::forget_unused() {
  std::erase_if(servers_, [](const auto& one) { return !one.second.used; });
  for (auto& [id, entry] : servers_) entry.used = false;
}

}  // namespace violetusher::core::membership
