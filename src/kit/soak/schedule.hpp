// What happens in one soak run, drawn from a seed: events of the day, failing calls of each router,
// calls of operators, signals, and a crowd of bad clients. A schedule is a list of items, so that
// one that breaks a rule can be made smaller item by item.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace violetusher::soak {

using Micros = std::int64_t;

/// A rehearsal event, as a TOML table of the day.
struct DayEvent {
  std::string text;
};

/// A line of the fault script of one router.
struct FailingCall {
  int router = 0;
  std::string rule;
};

/// An operator takes a server out at one router, and puts it back.
struct Ban {
  int router = 0;
  std::string server;
  Micros from = 0, until = 0;
};

/// A signal that a router gets a few times in a row.
struct Signals {
  int router = 0;
  int number = 0;
  Micros at = 0;
  int count = 1;
  Micros apart = 0;
};

/// Clients that connect and do not ask.
struct Crowd {
  int router = 0;
  int connections = 0;
  Micros from = 0, until = 0;
};

struct Schedule {
  std::uint64_t seed = 1;
  double seconds = 10;
  int routers = 6, servers = 8;
  double rate = 200;  ///< requests a second
  bool pushed = true;
  std::vector<DayEvent> events;
  std::vector<FailingCall> failing;
  std::vector<Ban> bans;
  std::vector<Signals> signals;
  std::vector<Crowd> crowds;

  /// Items that may be left out.
  std::size_t size() const;
  Schedule without(std::size_t item) const;
  /// The day, as TOML.
  std::string day() const;
  /// The fault script of a router.
  std::string faults(int router) const;
  /// All of it, for people.
  std::string text() const;
};

struct Bounds {
  double seconds = 10;
  int routers = 6;
};

/// The same seed and bounds give the same schedule.
Schedule draw(std::uint64_t seed, const Bounds& bounds);

}  // namespace violetusher::soak
