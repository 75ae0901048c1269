// The decision module of violetusher, a router between clients and a fleet of cache servers.
//
// One Balancer decides for one router. It does no I/O, reads no clock, starts no thread and keeps
// no global state: the router reports events with the time they happened, and each call returns the
// actions to take at that same time, in order. The same events and seed give the same actions on
// every machine. Calls on one Balancer must not overlap; different Balancers are independent.
//
// All times and durations are in microseconds. A time only has meaning relative to other times
// given to the same Balancer, and must not run backwards (an earlier time counts as the latest one
// seen).
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace violetusher {

using Micros = std::int64_t;
using RequestId = std::uint64_t;

/// The effect of executing a request more than once.
enum class Effect {
  Repeatable,  ///< safe to run any number of times
  Keyed,       ///< a group of servers drops repeats for `key_ttl`
  Once,        ///< must not run twice, as no server drops repeats
};

/// Which servers drop repeats of a Keyed request.
enum class Group { All, Zone, Cell };

/// The settings of a request class.
struct ClassSettings {
  std::string name;
  Micros latency_objective = 0;  ///< an answer within this time earns its full worth
  Micros deadline = 0;           ///< the client's total timeout, including its retries
  double worth = 1;              ///< per request, or per unit of work (Settings::worth_by_work)
  double late_worth = 0;         ///< fraction of the worth earned after the objective, 0 to 1
  Effect effect = Effect::Repeatable;
  Group group = Group::All;  ///< for Keyed
  Micros key_ttl = 0;        ///< for Keyed: from the send of the first attempt that may have run
  bool streamed = false;     ///< responses are streamed and start with an on_response_start
};

/// The settings of a tenant.
struct TenantSettings {
  std::string name;
  double portion = 0;      ///< its share of the service, 0 to 1
  double quota_per_s = 0;  ///< requests per second over all routers; 0 = no quota
};

/// The meaning of one value of a server's load report.
enum class ReportField {
  InFlight,
  Queue,
  Utilization,
  LatencyMs,
  PerSecond,
  ErrorsPerSecond,
  HitShare,
  FetchesOut,
  Unknown,
};

/// The settings of a Balancer. It validates them and throws std::invalid_argument, naming the
/// setting, if one cannot be used (no classes, a negative or non-finite number, a fraction above
/// 1).
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;  ///< may be empty
  std::vector<ReportField> report_fields;
  std::string zone;                ///< the router's own zone; may be empty
  std::vector<std::string> zones;  ///< all zones
  std::string origin_kind;         ///< cache-aside mode: the Server::kind of the origin
  bool cache_aside = false;        ///< after a cache miss the router itself asks the origin
  int routers = 1;                 ///< routers in the tier, including this one
  bool list_on_demand = false;     ///< the host list comes only after a Watch or Fetch
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;    ///< a request may have two attempts out at a time
  bool retry_after = false;  ///< clients receive Refuse::retry_after
  bool worth_by_work = false;
  bool weights_listed = false;  ///< Server::weight holds the server's size
  int max_attempts = 1;
  Micros max_retry_after = 0;
  Micros timer_granularity = 1000;  ///< minimum time between calls whose actions take effect
  // Charges and worths as the service accounts for them.
  double cross_zone_charge = 0;  ///< worth lost by a request to a server in another zone
  double waste_charge = 0;
  double late_fail_charge = 0;
  double over_share_worth = 1;
  // The rules that a router must keep.
  Micros answer_slack = 0;  ///< a final answer may come this long after the deadline
  Micros list_refresh_interval = 10'000'000;  ///< without a watch the list is requested this often
  Micros drain_grace = 0;  ///< attempts to a draining server may still start for this long
  /// The capacity of a server that has just started, as a fraction of its full capacity.
  double slow_start_min_fraction = 0.3;
  Micros slow_start_window = 0;  ///< a server has its full capacity after this time at the latest
  /// A server in slow start breaks down if it gets more than this multiple of its capacity ...
  double overload_factor = 3;
  Micros overload_window = 1'500'000;  ///< ... for this long.
};

/// The state of a server on the host list.
enum class Health { Ready, Draining, Removed };

/// One entry of the host list.
struct Server {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = -1;  ///< servers of a cell drop each other's repeats; -1 = none
  Health health = Health::Ready;
  double weight = 1;
  Micros up_since = 0;  ///< 0 = long ago
};

/// What a call of Balancer::on_list delivers.
enum class ListScope {
  Delta,   ///< only the entries that changed
  Full,    ///< the complete list
  Cached,  ///< the complete list as last known, possibly out of date
  Failed,  ///< a Watch or Fetch failed, or the watch was interrupted
};

/// One try of a client.
struct Request {
  RequestId id = 0;
  std::string type;            ///< the name of its class; an unknown one is treated as the first
  std::string tenant;          ///< may be empty
  std::string key;             ///< requests for one key prefer the same servers; may be empty
  Micros remaining = 0;        ///< until the client's timeout for this try
  std::optional<Micros> work;  ///< expected work, as time on a standard core
  bool repeat = false;
  bool write = false;
};

/// The result of an attempt.
enum class Status {
  Ok,
  Error,            ///< may have run
  Overloaded,       ///< rejected by an overloaded server: never ran
  Timeout,          ///< may have run or still be running
  ConnectFailed,    ///< never ran
  Reset,            ///< may have run
  StaleConnection,  ///< a keep-alive connection closed before any byte of the answer: may have run
  Cancelled,        ///< may have run
  NotSent,          ///< the request never left the router
  Miss,             ///< cache-aside mode: the server does not hold the key
};

/// The values of one load report, in the order of Settings::report_fields. They are stored in
/// place, as nearly every answer carries a report. Values beyond kMaxValues are dropped.
class Report {
 public:
  static constexpr std::size_t kMaxValues = 16;
  Report() = default;
  Report(std::initializer_list<double> values) { assign(values.begin(), values.size()); }
  Report(const std::vector<double>& values) { assign(values.data(), values.size()); }

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  double operator[](std::size_t k) const { return values_[k]; }
  double& operator[](std::size_t k) { return values_[k]; }
  void clear() { size_ = 0; }
  /// Sets the report to `count` copies of `value`, at most kMaxValues.
  void fill(std::size_t count, double value) {
    size_ = std::min(count, kMaxValues);
    std::fill_n(values_.begin(), size_, value);
  }

 private:
  void assign(const double* from, std::size_t count) {
    size_ = std::min(count, kMaxValues);
    std::copy_n(from, size_, values_.begin());
  }

  std::array<double, kMaxValues> values_{};
  std::size_t size_ = 0;
};

/// How an attempt ended.
struct Outcome {
  RequestId id = 0;
  bool finished = false;  ///< the request is finished, by this attempt or earlier
  std::string server;
  Status status = Status::Ok;
  Micros latency = 0;
  int attempt = 0;
  int cache_result = 0;  ///< 1 hit, 2 miss, 3 miss that joined a fetch in progress, 0 unknown
  Report report;         ///< may be shorter than Settings::report_fields or empty
};

// ---- actions ----
/// Send the request to the server, as its next attempt.
struct Send {
  static constexpr Micros kAnyTime = std::numeric_limits<Micros>::max();
  RequestId id;
  std::string server;
  Micros attempt_timeout;  ///< 0 = until the client's timeout
  /// Not to be sent at this time or later, even after waiting; from then on no more than one
  /// attempt of the request may still come to run.
  Micros send_before = kAnyTime;
};
/// Final answer: the request was refused, and a retry is harmless.
struct Refuse {
  RequestId id;
  Micros retry_after;
};
/// Final answer: the request failed and may have run.
struct Fail {
  RequestId id;
};
/// Cancel an attempt.
struct Cancel {
  RequestId id;
  int attempt;
};
struct Watch {};  ///< subscribe to changes of the host list
struct Fetch {};  ///< request the complete host list once
/// Call on_timer(token) after this time.
struct Timer {
  Micros after;
  std::uint64_t token;
  RequestId request = 0;  ///< the call may be omitted once this request is finished; 0 = never
};
/// Check the health of a server.
struct Probe {
  std::string server;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, Watch, Fetch, Timer, Probe>;
using Actions = std::vector<Action>;

/// Decides for one router. Breaches of the contract are harmless: an outcome, disconnect or timer
/// for a request or server that this Balancer does not know is ignored, as is a second on_request
/// with the id of an open request.
///
/// The actions that a call returns are valid until the next call on the same Balancer.
class Balancer {
 public:
  /// Throws std::invalid_argument if `settings` cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Replaces the settings and keeps all statistics. Open requests keep the class settings under
  /// which they arrived. If it throws std::invalid_argument, nothing has changed.
  void update_settings(const Settings& settings);

  /// Call once. Returns the initial actions (the timer of the first list request).
  const Actions& start(Micros now);
  /// A host list or changes to it arrived, or a Watch or Fetch failed.
  const Actions& on_list(Micros now, ListScope scope, const std::vector<Server>& entries);
  /// A client's request arrived.
  const Actions& on_request(Micros now, const Request& request);
  /// A streamed response started to arrive.
  const Actions& on_response_start(Micros now, RequestId id, const std::string& server, int attempt,
                                   Micros latency);
  /// The answer to an attempt has begun and pauses: it may be slow, or never be complete. Where a
  /// request may have two attempts out, another one may start beside it; none is ended for this.
  const Actions& on_answer_pause(Micros now, RequestId id, int attempt);
  /// An attempt ended.
  const Actions& on_outcome(Micros now, const Outcome& outcome);
  /// The client disconnected: the request needs no answer any more.
  const Actions& on_client_disconnect(Micros now, RequestId id);
  /// A Timer expired.
  const Actions& on_timer(Micros now, std::uint64_t token);
  /// A Probe ended.
  const Actions& on_probe(Micros now, const std::string& server, Status status, Micros latency,
                          const Report& report);

  /// Counters for tests and for the router's metrics.
  struct Stats {
    std::size_t open_requests = 0;
    std::size_t saved_seeds = 0;
    std::size_t tracked_keys = 0;
    std::size_t servers = 0;
    std::uint64_t draws = 0;  ///< random draws of slots since the start
  };
  Stats stats() const;
  /// The id of the server at which an idle fleet would serve a first request for the key now; empty
  /// if there is none.
  std::string preferred_server(const std::string& key) const;
  /// The fraction of its slots in which a listed server accepts requests now, 0 to 1. It is below 1
  /// in slow start, under overload, with high latency and after an ejection.
  double live_fraction(const std::string& server) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace violetusher
