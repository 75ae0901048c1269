// The schedule of one soak run, generated from a seed: events of the day, failing system calls of
// each router, operator calls, signals and misbehaving clients. A schedule is a list of items, so
// that a failing one can be shrunk item by item.
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

/// An operator bans a server at one router, and lifts the ban later.
struct Ban {
  int router = 0;
  std::string server;
  Micros from = 0, until = 0;
};

/// A signal that is sent to a router `count` times.
struct Signals {
  int router = 0;
  int number = 0;
  Micros at = 0;
  int count = 1;
  Micros interval = 0;
};

/// Clients that connect to harm others, and reconnect.
struct MisbehavingClients {
  enum class Kind {
    kIdle,       ///< send nothing, a partial command or a no-op
    kHalfWay,    ///< stop within the value of a write
    kFlood,      ///< send unsound lines as fast as they can
    kLeavers,    ///< send many reads at once and close with the answers unread
    kLongHeads,  ///< send many commands at once, each of a head with very many short fields
  };
  int router = 0;
  int connections = 0;
  Micros from = 0, until = 0;
  Kind kind = Kind::kIdle;
};

/// Sound clients that read or write slowly; they connect at `from`, in place of one that has ended
/// another connects until `until`.
struct SlowClients {
  enum class Kind { kReaders, kWriters };
  int router = 0;
  int connections = 0;
  Micros from = 0, until = 0;
  Kind kind = Kind::kReaders;
};

/// What a run is mostly about.
enum class Profile {
  kMixed,         ///< failing system calls, bans, restarts, bad servers
  kRestarts,      ///< routers that start again and again, while calls to discovery fail and servers
                  ///< drain
  kReplacements,  ///< routers whose process is replaced, one or all at once, while calls to
                  ///< discovery fail or wait in a short queue and servers drain
  kSlowPeers,     ///< servers and clients that read or write slowly, stop half way or leave
};

/// All items of a run and the parameters of its day.
struct Schedule {
  std::uint64_t seed = 1;
  double seconds = 10;
  int routers = 6, servers = 8;
  double rate = 200;  ///< requests per second
  bool pushed = true;
  Micros ask_within = 10'000'000;  ///< poll interval of routers without a watch
  /// Of a discovery that is crowded: its time for a call and its places for calls that wait.
  Micros call_time = 0;  ///< 0: not crowded
  int call_places = 0;
  Profile profile = Profile::kMixed;
  std::vector<DayEvent> events;
  std::vector<FailingCall> failing;
  std::vector<Ban> bans;
  std::vector<Signals> signals;
  std::vector<MisbehavingClients> misbehaving;
  std::vector<SlowClients> slow_clients;

  /// Number of items that can be removed.
  std::size_t size() const;
  /// A copy without the item of that index.
  Schedule without(std::size_t item) const;
  /// The day, as TOML.
  std::string day() const;
  /// The fault script of a router.
  std::string faults(int router) const;
  /// The whole schedule in readable form.
  std::string text() const;
};

/// Parameters of the generated schedules.
struct Bounds {
  double seconds = 10;
  int routers = 6;
  Profile profile = Profile::kMixed;
};

/// Generates a schedule. The same seed and bounds give the same schedule.
Schedule generate(std::uint64_t seed, const Bounds& bounds);

}  // namespace violetusher::soak
