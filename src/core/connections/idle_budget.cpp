#include "idle_budget.hpp"

#include <algorithm>
#include <cmath>

namespace violetusher::core {
namespace {

// Idle connections are closed after this fraction of the server's keep-alive time: a command that
// crosses the server's close ends in a reset, and the router can't know whether it ran.
constexpr double kIdleTimeFraction = 0.6;
// Fraction of the table for idle connections.
constexpr double kIdleTableFraction = 0.5;
// More connections than this to one cache server gain a router nothing.
constexpr std::size_t kMaxOpen = 8;
// Lower bound of the scale; below it the share would take minutes to recover.
constexpr double kMinScale = 1.0 / 64;

}  // namespace

ConnectionShare connection_share(int routers, Micros keepalive) {
  auto all = static_cast<std::size_t>(std::max(1, routers));
  ConnectionShare share;
  share.max_open = std::clamp<std::size_t>(kAssumedTableSize / all, 1, kMaxOpen);
  share.mean_idle = kIdleTableFraction * kAssumedTableSize / static_cast<double>(all);
  share.max_idle_time = static_cast<Micros>(kIdleTimeFraction * static_cast<double>(keepalive));
  return share;
}

void IdleBudget::advance(Micros now, const ConnectionShare& share, std::size_t open) {
  auto window = static_cast<double>(std::max<Micros>(1, share.max_idle_time));
  if (advanced_at_ >= 0 && now > advanced_at_) {
    auto passed = static_cast<double>(now - advanced_at_);
    scale_ = std::min(1.0, scale_ * std::exp2(passed / window));
    credit_ += passed * (scale_ * share.mean_idle - static_cast<double>(open));
  }
  credit_ = std::clamp(credit_, 0.0, scale_ * share.mean_idle * window);
  advanced_at_ = std::max(advanced_at_, now);
}

std::size_t IdleBudget::to_close(const ConnectionShare& share, std::size_t open,
                                 std::size_t idle) const {
  if (credit_ > 0) return 0;
  auto allowed = static_cast<std::size_t>(scale_ * share.mean_idle);
  return open > allowed ? std::min(idle, open - allowed) : 0;
}

void IdleBudget::on_refused() {
  scale_ = std::max(kMinScale, scale_ / 2);
  credit_ = 0;
}

}  // namespace violetusher::core
