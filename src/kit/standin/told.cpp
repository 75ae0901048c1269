#include "told.hpp"

#include <algorithm>
#include <limits>

namespace violetusher::standin {
namespace {

// The constants of docs/design/membership.md, repeated here so that the oracle shares no code with
// the router.
constexpr Micros kAfterSilence = 6'000'000, kAfterWait = 2'000'000;
constexpr int kFailedHolds = 4;  // factor of the hold after a call that failed
constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace

ToldAccount::ToldAccount(kit::History& history, int routers, bool pushed, Micros ask_within)
    : history_(history),
      pushed_(pushed),
      ask_within_(ask_within),
      routers_(static_cast<std::size_t>(routers)) {}

void ToldAccount::changed(int server, Health health, Micros now) {
  for (Router& r : routers_) r.untold.push_back({server, health, now});
  advance(now);
}

void ToldAccount::written(int router, const std::vector<std::pair<int, Health>>& entries,
                          Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.silent_due = 0;
  r.call_failed = false;
  for (auto [server, health] : entries) history_.told.push_back({router, server, health, now});
  r.untold.clear();
}

void ToldAccount::asked(int router, Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.call_failed = false;
  r.hold = now + hold_for(r);
}

void ToldAccount::failed(int router, Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.call_failed = true;
  r.hold = std::max(r.hold, now + hold_for(r));
}

void ToldAccount::watching(int router, int watches) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  r.watches = watches;
  if (watches > 0) r.silent_due = 0;  // a new watch is open
}

void ToldAccount::silent(int router, Micros until, Micros now) {
  Router& r = routers_[static_cast<std::size_t>(router)];
  Micros due = std::max(now + kAfterSilence, until + kAfterWait);
  r.silent_due = r.silent_due > 0 ? std::min(r.silent_due, due) : due;
}

void ToldAccount::back(Micros now) {
  for (Router& r : routers_) r.hold = std::max(r.hold, now + hold_for(r));
}

Micros ToldAccount::hold_for(const Router& r) const {
  return (r.call_failed ? kFailedHolds : 1) * ask_within_;
}

Micros ToldAccount::due(const Router& r, const Change& change) const {
  if (r.silent_due > 0) return std::max(change.made, r.silent_due);
  if (pushed_) return change.made;
  if (r.watches > 0) return kNever;  // the router knows once it is written
  return std::max(change.made + ask_within_, r.hold);
}

void ToldAccount::advance(Micros now) {
  for (std::size_t k = 0; k < routers_.size(); ++k) {
    Router& r = routers_[k];
    // In the order of the changes, so that the latest of a price cache applies last.
    auto rest = std::stable_partition(r.untold.begin(), r.untold.end(),
                                      [&](const Change& c) { return due(r, c) <= now; });
    for (auto it = r.untold.begin(); it != rest; ++it)
      history_.told.push_back({static_cast<int>(k), it->server, it->health, due(r, *it)});
    r.untold.erase(r.untold.begin(), rest);
  }
}

}  // namespace violetusher::standin
