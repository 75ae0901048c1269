#include "start_times.hpp"

#include <algorithm>
#include <cstdlib>

#include "core/mutants.hpp"

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000;
// A date has whole seconds, and an answer takes time; closer clocks count as equal.
constexpr Micros kClocksAgree = 3 * kSecond;
// A server is listed within this of its start. One that is listed later than that, by a router that
// has heard lists without it, may as well have a start by a clock that is off.
constexpr Micros kListedWithin = 60 * kSecond;

}  // namespace

void StartTimes::on_response(Micros now, Micros date) {
  heard_before_ = now_;
  now_ = now;
  if (date > 0) ahead_ = std::abs(date - now) > kClocksAgree ? date - now : 0;
}

Micros StartTimes::start_of(const std::string& id, Micros born) {
  if (born == 0 || now_ == 0 || mutant(Mutant::kTrustServerClock)) return born;
  auto [at, fresh] = known_.try_emplace(id);
  Known& known = at->second;
  known.asked = true;
  if (!fresh && known.born == born) return known.start;
  Micros start = born - ahead_;
  bool too_old = heard_before_ > 0 && start < heard_before_ - kListedWithin;
  known.born = born;
  known.start = too_old ? now_ : std::min(start, now_);
  return known.start;
}

void StartTimes::forget_unused() {
  std::erase_if(known_, [](const auto& one) { return !one.second.asked; });
  for (auto& [id, known] : known_) known.asked = false;
}

}  // namespace violetusher::core::membership
