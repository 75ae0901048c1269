// The part of ServerSide that looks at all connections from time to time: idle ones, dials and
// answers that have taken too long, and servers that were removed.
#include <algorithm>

#include "server_connection.hpp"

namespace violetusher::net {

using CloseReason = core::ServerCloseReason;

namespace {

// A dial that has not ended this many sweeps after its timeout is not being watched: the system was
// out of a resource when it was asked to.
constexpr int kUnwatchedDialSweeps = 2;

}  // namespace

/// Closes the idle connections that exceed this router's idle budget, the least recently used
/// first.
void ServerSide::trim_idle(ServerPool& pool) {
  auto& all = pool.connections;
  pool.idle_budget.advance(io_.now(), limits_.table, all.size());
  if (all.empty()) return;
  auto idle = std::count_if(all.begin(), all.end(), [](const auto& c) { return c->idle(); });
  std::size_t count =
      pool.idle_budget.to_close(limits_.table, all.size(), static_cast<std::size_t>(idle));
  for (; count > 0; --count) {
    ServerConnection* least_recent = nullptr;
    for (auto& c : all)
      if (c->idle() && (!least_recent || c->last_active_at_ < least_recent->last_active_at_))
        least_recent = c.get();
    close(*least_recent, CloseReason::kIdle);
  }
}

void ServerSide::sweep() {
  Micros now = io_.now();
  bool deferred = false;
  for (auto it = pools_.begin(); it != pools_.end();) {
    ServerPool& pool = *it->second;
    trim_idle(pool);
    for (std::size_t k = pool.connections.size(); k-- > 0;) {
      ServerConnection& c = *pool.connections[k];
      if (c.connecting_) {
        deferred |= !c.socket_;
        if (!c.socket_)
          c.retry_dial();
        else if (now > c.dial_until_ + kUnwatchedDialSweeps * kSweepInterval)
          on_dial_failed(c, CallResult::kTransientError);
        continue;
      }
      if (c.entries_.empty()) {
        if (c.draining_)
          close(c, CloseReason::kDrained);
        else if (now - c.last_active_at_ > limits_.table.max_idle_time)
          close(c, CloseReason::kIdle);
        continue;
      }
      // What a full socket buffer has held back this long was never sent, and must not be sent to a
      // server that may have begun to drain since.
      c.drop_unsent(now - limits_.dial_timeout);
      c.report_pause(now);
      if (c.closed_) continue;
      if (c.holds_back() && !c.entries_.front().live && c.abandoned()) {
        close(c, CloseReason::kAbandoned);
        continue;
      }
      if (c.sent_ < c.entries_.size()) mark_dirty(c);  // what was held back may go by now
      if (auto reason = c.timed_out(now)) close(c, *reason);
    }
    // The state of a server that was removed, by a whole list or by a change, is freed once its
    // last attempt has ended.
    it = !pool.listed && pool.connections.empty() ? pools_.erase(it) : std::next(it);
  }
  dials_deferred_ = deferred;
}

}  // namespace violetusher::net
