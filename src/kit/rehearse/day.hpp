// The model of a day file, the scenario that a rehearsal plays: the fleet and the routers, the load
// of the tills, the faults, and the expectations that are checked at the end. Parsed from TOML;
// docs/operators/rehearsal.md lists every key with its unit and default.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "kit/standin/spec.hpp"

namespace violetusher::rehearse {

/// A day file that is not valid; what() is "FILE:LINE: reason".
struct DayError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A class of requests that the tills send.
struct TillClass {
  std::string name;
  double share = 0;      ///< fraction of all requests; the shares of a day add up to 1
  Micros work = 30'000;  ///< mean processing time on a core of speed 1
  /// Latency objective and deadline, both from the intended send time.
  Micros latency_objective = 150'000, deadline = 600'000;
  /// Worth per unit of work within the objective, and the fraction of it left until the deadline.
  double worth = 1, late_worth = 0.27;
  bool keyed = false;             ///< a write that carries an idempotency key
  std::uint64_t value_bytes = 0;  ///< least size of a written value
};

/// A tenant of the routers: a brand of stores.
struct Tenant {
  std::string name;
  double share = 0;  ///< fraction of all requests
};

/// Multiplies the request rate by a factor that changes linearly from `from_factor` to `to_factor`
/// over the interval. The factors of overlapping intervals multiply.
struct RateRamp {
  Micros from = 0, until = 0;
  double from_factor = 1, to_factor = 1;
  int tenant = -1;  ///< index of the only tenant that it applies to; -1 = all tenants
};

/// An interval in which some reads ask for a key that no other request uses.
struct Scan {
  Micros from = 0, until = 0;
  double share = 0;  ///< fraction of the reads in the interval
};

/// The load that the tills generate.
struct Tills {
  double rate = 300;  ///< requests per second over all zones
  std::vector<RateRamp> rate_ramps;
  std::vector<Scan> scans;
  std::vector<TillClass> classes;
  std::vector<Tenant> tenants;
  std::vector<double> zone_shares;     ///< fraction of the requests of each zone; empty = equal
  std::size_t keys = 20'000;           ///< number of distinct keys that are read
  double zipf = 0.9;                   ///< exponent of the popularity of keys
  int retries = 2;                     ///< at most, for each request
  double try_timeout_fraction = 0.45;  ///< timeout of one try, as a fraction of the deadline
  Micros retry_backoff = 30'000;       ///< pause before a retry
  double early_leave_fraction = 0.01;  ///< fraction of the tries that the till abandons early
  Micros early_leave_after = 60'000;   ///< when an abandoned try is closed
  double direct_fraction = 0;          ///< fraction of the reads sent straight to a price cache
  /// How long the load balancer of the tills takes to detect that a router is down.
  Micros failure_detection_delay = 2'000'000;
};

/// Restart by SIGTERM, SIGKILL and a later start, a second process that takes over from the first,
/// reload by SIGHUP, and SIGSTOP until SIGCONT.
enum class RouterFaultKind { kRestart, kKill, kReplace, kReload, kFreeze };

/// A scheduled action on router processes.
struct RouterFault {
  RouterFaultKind kind = RouterFaultKind::kRestart;
  Micros at = 0, until = 0;  ///< `until`: when a killed or frozen router runs again
  std::vector<int> routers;
  std::string operator_text;  ///< of a reload: the new operator file; empty = unchanged
};

/// Whether a router's process is replaced: the platform holds the clients' listening sockets then.
bool replaces_processes(const std::vector<RouterFault>& faults);

/// The routers of a day and the limits they run with.
struct Routers {
  std::vector<int> halls;            ///< the zone of each router
  std::uint64_t memory = 64u << 20;  ///< memory limit in bytes
  int sockets = 512;                 ///< file descriptor limit
  int max_attempts = 5;              ///< of one request
  bool retry_after = false;          ///< whether a refusal may name a time to retry after
  std::string operator_text;         ///< contents of their operator file; empty = none
};

/// A fault of the replicated ledger: at one router, or on the link from one router to another.
struct LedgerEvent {
  std::string what;  ///< one of kit::kLedgerFaults
  Micros at = 0, until = 0;
  int router = 0, to = 0;  ///< `to`: the receiving router of a link fault
  Micros by = 0;           ///< delay, age or clock offset, depending on the fault
  double kib_per_s = 0;    ///< bandwidth of a rate-limited link
};

/// The replicated ledger between the routers. A day that has one is played by
/// `violetusher-kit chaos play`.
struct LedgerSettings {
  bool on = false;
  int keepers = 3, followers = 4;  ///< voting and non-voting replicas
  int clients = 4, names = 5;      ///< concurrent clients, and distinct values they access
  int operators = 0;               ///< concurrent operators that roll out texts
  std::vector<LedgerEvent> events;
};

/// Expectations on the figures of a day. A negative value is not checked. Fractions are 0 to 1.
struct Expectations {
  /// Least service (worth earned / worth asked): overall, and of the worst window, class, tenant.
  double service = -1, worst_window = -1, worst_class = -1, worst_tenant = -1;
  double refused_below = -1;    ///< fraction of the requests that end as refused
  double served = -1;           ///< least fraction of the requests that end as served
  double ledger_answered = -1;  ///< least fraction of the ledger calls that are answered
  Micros ledger_p99 = -1;       ///< longest p99 latency of answered ledger calls
  /// By name of the class: the longest p99 latency of served requests.
  std::vector<std::pair<std::string, Micros>> p99;
  std::vector<std::pair<std::string, double>> tenants;  ///< name, least service
  std::uint64_t memory_below = 0;  ///< bytes, for each router; default: its memory limit
  /// Growth of the mean resident memory from the second quarter of the day to the last, as a
  /// fraction.
  double memory_growth_below = -1;
  int descriptors_below = 0;  ///< open file descriptors of each router
  /// Tolerances of the rules: how late an answer may come after the timeout of a try, how long
  /// attempts may still go to a price cache that drains, and how long a refusal or failure may wait
  /// once nothing is in progress for the request.
  Micros answer_slack = 50'000, drain_grace = 500'000, max_answer_delay = 150'000;
};

/// Limits on the scheduling delay of the rig itself. Beyond them the result is inconclusive.
struct RigBounds {
  Micros late_p99 = 5'000, late_worst = 250'000;  ///< of sent requests and of stand-in timers
  Micros ready_within = 10'000'000;               ///< startup timeout of a router
};

/// An event of the day, as reports show it.
struct Event {
  Micros at = 0, until = 0;
  std::string what;  ///< the name in the day file and the affected servers, routers or zone
};

/// A whole day file.
struct Day {
  std::string file, name, about;
  std::uint64_t seed = 1;
  Micros length = 15'000'000;
  standin::FleetSpec fleet;
  std::vector<standin::Fault> faults;
  Routers routers;
  LedgerSettings ledger;
  std::vector<RouterFault> router_faults;
  Tills tills;
  Expectations expect;
  RigBounds rig;
  std::vector<Event> events;
};

/// Reads a day file. Throws DayError.
Day load_day(const std::string& path);
/// Parses the text of a day file; messages use `name` as its path. Throws DayError.
Day parse_day(const std::string& text, const std::string& name);

}  // namespace violetusher::rehearse
