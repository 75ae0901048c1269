#include "told.hpp"

#include <algorithm>
#include <limits>

namespace violetusher::standin {
namespace {

// The constants of docs/design/membership.md, repeated here so that the oracle shares no code with
// the router.
constexpr Micros kAfterSilence = 6'000'000, kAfterWait = 2'000'000, kAfterFailure = 6'000'000;
constexpr int kFailedCallFactor = 4;  // factor of the period after a failed call
constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace

NotificationOracle::NotificationOracle(kit::History& history, int routers, bool pushed,
                                       Micros ask_within)
    : history_(history),
      pushed_(pushed),
      ask_within_(ask_within),
      routers_(static_cast<std::size_t>(routers)) {}

void NotificationOracle::on_change(int server, Health health, Micros now) {
  for (Router& r : routers_) r.pending.push_back({server, health, now});
  std::erase_if(changes_, [&](const Change& c) { return c.server == server; });
  changes_.push_back({server, health, now});
  advance(now);
}

void NotificationOracle::on_written(int router, const std::vector<std::pair<int, Health>>& entries,
                                    Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.silent_deadline = 0;
  r.call_failed = false;
  r.failed_at = 0;
  r.written_at = now;
  for (auto [server, health] : entries) history_.told.push_back({router, server, health, now});
  r.pending.clear();
}

void NotificationOracle::on_call(int router, Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.call_failed = false;
  r.excused_until = now + excuse_period(r);
}

void NotificationOracle::on_failure(int router, Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.call_failed = true;
  if (r.failed_at == 0) r.failed_at = now;
  r.excused_until = std::max(r.excused_until, now + excuse_period(r));
}

void NotificationOracle::set_watches(int router, int watches) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.watches = watches;
  if (watches > 0) r.silent_deadline = 0;  // a new watch is open
}

void NotificationOracle::on_silence(int router, Micros until, Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  Micros due = std::max(now + kAfterSilence, until + kAfterWait);
  r.silent_deadline = r.silent_deadline > 0 ? std::min(r.silent_deadline, due) : due;
}

void NotificationOracle::on_router_start(int router, Micros started) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  // This news may be later than the first calls of the process.
  Router fresh;
  fresh.watches = r.watches;
  fresh.started = started;
  fresh.excused_until = std::max(r.excused_until, started + ask_within_);
  if (r.failed_at >= started) fresh.failed_at = r.failed_at;
  if (r.written_at >= started) fresh.written_at = r.written_at;
  for (const Change& change : changes_)
    if (change.made >= fresh.written_at) fresh.pending.push_back(change);
  r = fresh;
}

void NotificationOracle::on_recovery(Micros now) {
  recovered_at_ = now;
  for (Router& r : routers_) r.excused_until = std::max(r.excused_until, now + excuse_period(r));
}

Micros NotificationOracle::excuse_period(const Router& r) const {
  return (r.call_failed ? kFailedCallFactor : 1) * ask_within_;
}

/// Of the sentences that apply, the one that gives the earliest time holds.
Micros NotificationOracle::notification_time(const Router& r, const Change& change) const {
  Micros time = std::min(time_by_watch_or_interval(r, change), time_after_failure(r, change));
  return std::max(time, r.started);
}

/// Once a call has failed: 6 s after discovery had the change and could be reached.
Micros NotificationOracle::time_after_failure(const Router& r, const Change& change) const {
  if (pushed_ || down_ || r.failed_at == 0) return kNever;
  return std::max(std::max(change.made, recovered_at_) + kAfterFailure, r.failed_at);
}

Micros NotificationOracle::time_by_watch_or_interval(const Router& r, const Change& change) const {
  if (r.silent_deadline > 0) return std::max(change.made, r.silent_deadline);
  if (pushed_) return change.made;
  if (r.watches > 0) return kNever;  // the router knows once it is written
  return std::max(change.made + ask_within_, r.excused_until);
}

void NotificationOracle::advance(Micros now) {
  for (std::size_t k = 0; k < routers_.size(); ++k) {
    Router& r = routers_[k];
    // In the order of the changes, so that the latest of a price cache applies last.
    auto rest = std::stable_partition(r.pending.begin(), r.pending.end(), [&](const Change& c) {
      return notification_time(r, c) <= now;
    });
    for (auto it = r.pending.begin(); it != rest; ++it)
      history_.told.push_back(
          {static_cast<int>(k), it->server, it->health, notification_time(r, *it)});
    r.pending.erase(r.pending.begin(), rest);
  }
}

}  // namespace violetusher::standin
