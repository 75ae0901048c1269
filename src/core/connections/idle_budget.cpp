#include "idle_budget.hpp"

#include <algorithm>
#include <cmath>

namespace violetusher::core {
namespace {

// An idle connection is closed after this part of the time after which the server does it: a
// command that crosses the server's close ends as a reset, and nobody can tell whether it ran.
constexpr double kIdlePart = 0.6;
// Of the table, for what is idle.
constexpr double kTableIdle = 0.5;
// Beyond this many a router gains nothing at one price cache.
constexpr std::size_t kMost = 8;
// The part is not halved below this, or it would take minutes to come back.
constexpr double kLeanest = 1.0 / 64;

}  // namespace

ConnectionShare connection_share(int routers, Micros keepalive) {
  auto all = static_cast<std::size_t>(std::max(1, routers));
  ConnectionShare part;
  part.max_open = std::clamp<std::size_t>(kPresumedTable / all, 1, kMost);
  part.mean_idle = kTableIdle * kPresumedTable / static_cast<double>(all);
  part.max_idle_time = static_cast<Micros>(kIdlePart * static_cast<double>(keepalive));
  return part;
}

void IdleBudget::advance(Micros now, const ConnectionShare& part, std::size_t open) {
  auto spell = static_cast<double>(std::max<Micros>(1, part.max_idle_time));
  if (at_ >= 0 && now > at_) {
    auto passed = static_cast<double>(now - at_);
    lean_ = std::min(1.0, lean_ * std::exp2(passed / spell));
    saved_ += passed * (lean_ * part.mean_idle - static_cast<double>(open));
  }
  saved_ = std::clamp(saved_, 0.0, lean_ * part.mean_idle * spell);
  at_ = std::max(at_, now);
}

std::size_t IdleBudget::to_close(const ConnectionShare& part, std::size_t open,
                                 std::size_t idle) const {
  if (saved_ > 0) return 0;
  auto allowed = static_cast<std::size_t>(lean_ * part.mean_idle);
  return open > allowed ? std::min(idle, open - allowed) : 0;
}

void IdleBudget::on_refused() {
  lean_ = std::max(kLeanest, lean_ / 2);
  saved_ = 0;
}

}  // namespace violetusher::core
