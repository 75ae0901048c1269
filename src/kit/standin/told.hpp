// Computes when each router must know of each change of the host list, whether or not the change
// reached it: the oracle's own version of the rules in docs/design/membership.md. It knows what
// discovery did and which calls arrived, and nothing about the state of the routers.
#pragma once

#include <utility>
#include <vector>

#include "kit/common/history.hpp"
#include "spec.hpp"

namespace violetusher::standin {

/// Records the notification time of each change for each router in a History.
class NotificationOracle {
 public:
  /// `pushed`: each router has its own discovery agent. `ask_within`: poll interval of the
  /// settings.
  NotificationOracle(kit::History& history, int routers, bool pushed, Micros ask_within);

  /// The list has changed. If pushed, the agents have the change at once.
  void on_change(int server, Health health, Micros now);
  /// All changes that the router did not have yet were written to it: `entries`.
  void on_written(int router, const std::vector<std::pair<int, Health>>& entries, Micros now);
  /// A call of the router has arrived.
  void on_call(int router, Micros now);
  /// A call was refused, or its watch ended in a way that the router can see.
  void on_failure(int router, Micros now);
  /// The router has `watches` open calls at discovery that will be answered.
  void set_watches(int router, int watches);
  /// A watch has become silent; by its own parameters it may wait until `until`.
  void on_silence(int router, Micros until, Micros now);
  /// Whether discovery is down, and no change can be had from it.
  void set_down(bool down) { down_ = down; }
  /// Discovery is up again.
  void on_recovery(Micros now);
  /// A process of the router has started with the list of the start of the day: it is owed all
  /// changes since.
  void on_router_start(int router, Micros started);
  /// Records the notifications whose time has come. Call several times a second.
  void advance(Micros now);

 private:
  struct Change {
    int server;
    Health health;
    Micros made;
  };
  struct Router {
    int watches = 0;
    Micros silent_deadline =
        0;                     // deadline for changes that a silent watch missed; 0: none is silent
    Micros excused_until = 0;  // without a watch, the router need not know of changes before this
    bool call_failed = false;
    Micros failed_at = 0;   // the first failed call since something was written; 0: none
    Micros written_at = 0;  // when something was last written; 0: never
    Micros started = 0;
    std::vector<Change> pending;
  };
  Micros notification_time(const Router& router, const Change& change) const;
  Micros time_by_watch_or_interval(const Router& router, const Change& change) const;
  Micros time_after_failure(const Router& router, const Change& change) const;
  Micros excuse_period(const Router& router) const;

  kit::History& history_;
  bool pushed_;
  bool down_ = false;
  Micros ask_within_;
  Micros recovered_at_ = 0;
  std::vector<Change> changes_;  // the latest of each cache server, in their order
  std::vector<Router> routers_;
};

}  // namespace violetusher::standin
