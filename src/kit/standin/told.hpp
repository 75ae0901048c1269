// When each change of discovery's list counts as told to each router, whether or not it arrived:
// the oracle's own account of the terms of service (docs/design/membership.md). It knows what
// discovery did and which calls came, and nothing of the routers.
#pragma once

#include <utility>
#include <vector>

#include "kit/common/history.hpp"
#include "spec.hpp"

namespace violetusher::standin {

class ToldAccount {
 public:
  /// `pushed`: each router's discovery is an agent of its own. `ask_within`: as the settings have
  /// it.
  ToldAccount(kit::History& history, int routers, bool pushed, Micros ask_within);

  /// The list has changed. Pushed: the agents have it.
  void changed(int server, Health health, Micros now);
  /// All that the router lacks of the list was written to it: `entries`.
  void written(int router, const std::vector<std::pair<int, Health>>& entries, Micros now);
  /// A call of the router has come.
  void asked(int router, Micros now);
  /// A call was refused, or its watch broken in a way that the router can see.
  void failed(int router, Micros now);
  /// The router has `watches` calls at discovery that wait and will be answered.
  void watching(int router, int watches);
  /// A watch has fallen silent, which may wait until `until` by its call.
  void silent(int router, Micros until, Micros now);
  /// Discovery is there again after it was down.
  void back(Micros now);
  /// Writes down what has come to count as told. Call some times a second.
  void advance(Micros now);

 private:
  struct Change {
    int server;
    Health health;
    Micros made;
  };
  struct Router {
    int watches = 0;
    Micros silent_due = 0;  // what the silent watch missed counts from here; 0: none is silent
    Micros hold = 0;        // without a watch, held until here to the list that it has
    bool call_failed = false;
    std::vector<Change> untold;
  };
  Micros due(const Router& router, const Change& change) const;
  Micros hold_for(const Router& router) const;

  kit::History& history_;
  bool pushed_;
  Micros ask_within_;
  std::vector<Router> routers_;
};

}  // namespace violetusher::standin
