// violetusher: the decisions of a router in front of a fleet of cache servers.
//
// One Balancer decides for one router. It does no I/O, reads no clock, starts no thread and keeps
// no global state: the router reports events with the time they happened, and each call returns the
// actions to take at that same time, in order. The same events and seed give the same actions on
// every machine. Calls on one Balancer must not overlap; different Balancers are independent.
//
// All times and durations are microseconds. A time only has meaning relative to other times given
// to the same Balancer, and must not run backwards (an earlier time is taken as the latest one
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

/// What repeating a request may do.
enum class Effect {
  Repeatable,  ///< safe to run any number of times
  Keyed,       ///< repeats are dropped inside a group of servers for `key_ttl`
  Once,        ///< must not run twice; nothing drops repeats
};

/// Which servers drop repeats of a Keyed request.
enum class Group { All, Zone, Cell };

struct ClassSettings {
  std::string name;
  Micros latency_objective = 0;  ///< an answer within this time earns full worth
  Micros deadline = 0;           ///< the client's whole patience, all its tries together
  double worth = 1;              ///< per request, or per unit of work (Settings::worth_by_work)
  double late_worth = 0;         ///< part of the worth for an answer after the aim, 0 to 1
  Effect effect = Effect::Repeatable;
  Group group = Group::All;  ///< for Keyed
  Micros key_ttl = 0;        ///< for Keyed: from the send of the first attempt that may have run
  bool streamed = false;     ///< answers start with an on_response_start
};

struct TenantSettings {
  std::string name;
  double portion = 0;      ///< its portion of the service, 0 to 1
  double quota_per_s = 0;  ///< requests a second over all routers; 0 = no quota
};

/// What one value of a server's load report means.
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

/// Start-up settings. Validated by the Balancer constructor, which throws std::invalid_argument
/// naming the setting when it cannot be used (no classes, a negative or non-finite number, a share
/// above 1).
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;  ///< may be empty
  std::vector<ReportField> report_fields;
  std::string zone;                ///< the router's own zone; may be empty
  std::vector<std::string> zones;  ///< all zones
  std::string origin_kind;         ///< aside mode: servers of this kind are the origin
  bool cache_aside = false;        ///< misses come back to the router, which asks the origin
  int routers = 1;                 ///< routers in the tier, this one included
  bool list_on_demand = false;     ///< the list comes only on Watch or Fetch
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;    ///< a request may have two attempts out together
  bool retry_after = false;  ///< clients are told Refuse::wait
  bool worth_by_work = false;
  bool weights_listed = false;  ///< Server::weight carries a size
  int max_attempts = 1;
  Micros max_retry_after = 0;
  Micros timer_granularity = 1000;  ///< the shortest time between two calls' actions taking effect
  double cross_zone_charge = 0;
  double waste_charge = 0;
  double late_fail_charge = 0;
  double over_share_worth = 1;
  // The figures of the rules.
  Micros answer_slack = 0;
  Micros list_refresh_interval = 10'000'000;
  Micros drain_grace = 0;
  double slow_start_min_fraction =
      0.3;                       ///< a cold server starts at no less than this part of its capacity
  Micros slow_start_window = 0;  ///< and is warm no later than this
  double overload_factor = 3;    ///< sent more than this multiple of its capacity
  Micros overload_window = 1'500'000;  ///< for this long, a cold server falls over
};

enum class Health { Ready, Draining, Removed };

struct Server {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = -1;  ///< servers of one cell share the keys they have seen; -1 = none
  Health health = Health::Ready;
  double weight = 1;
  Micros up_since = 0;  ///< 0 = long ago
};

enum class ListScope {
  Delta,   ///< only the entries that changed
  Full,    ///< the complete list
  Cached,  ///< the complete list as last held, perhaps out of date
  Failed,  ///< a Watch or Fetch failed, or the watch broke
};

struct Request {
  RequestId id = 0;
  std::string type;            ///< the name of its class; an unknown one is treated as the first
  std::string tenant;          ///< may be empty
  std::string key;             ///< requests of one key go together; may be empty
  Micros remaining = 0;        ///< until the client gives this try up
  std::optional<Micros> work;  ///< expected work, as time on a standard core
  bool repeat = false;
  bool write = false;
};

enum class Status {
  Ok,
  Error,            ///< may have run
  Overloaded,       ///< turned away unseen
  Timeout,          ///< may have run or be running
  ConnectFailed,    ///< never ran
  Reset,            ///< may have run
  StaleConnection,  ///< a kept connection broke with nothing of the answer: may have run
  Cancelled,        ///< may have run
  NotSent,          ///< never sent
  Miss,             ///< aside mode: nothing held there for the key
};

/// The values of one load report, in the order of Settings::report_fields, in place: one comes with
/// nearly every answer. Values beyond kMaxValues are not kept.
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
  /// `count` times `value`, kMaxValues times at most.
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

struct Outcome {
  RequestId id = 0;
  bool finished = false;  ///< the request has ended, now or earlier
  std::string server;
  Status status = Status::Ok;
  Micros latency = 0;
  int attempt = 0;
  int cache_result = 0;  ///< 1 hit, 2 miss, 3 miss with a fetch already out, 0 not told
  Report report;         ///< as in Settings::report_fields; may be empty or shorter
};

// ---- actions ----
struct Send {
  static constexpr Micros kAnyTime = std::numeric_limits<Micros>::max();
  RequestId id;
  std::string server;
  Micros attempt_timeout;         ///< 0 = until the client quits
  Micros send_before = kAnyTime;  ///< not to be sent at this time or later, however it has waited
};
struct Refuse {
  RequestId id;
  Micros retry_after;
};  ///< final: trying again is harmless
struct Fail {
  RequestId id;
};  ///< final: promises nothing
struct Cancel {
  RequestId id;
  int attempt;
};
struct Watch {};  ///< ask for changes of the list from now on
struct Fetch {};  ///< ask for the whole list once
struct Timer {
  Micros after;
  std::uint64_t token;
  RequestId request = 0;  ///< once this one is over the call may be left out; 0 = never
};                        ///< call on_timer(token) then
struct Probe {
  std::string server;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, Watch, Fetch, Timer, Probe>;
using Actions = std::vector<Action>;

/// Decides for one router. Contract breaches are harmless: an outcome, end or timer for a request
/// or server this Balancer does not know is ignored, as is a second on_request with an id still
/// open.
///
/// The actions that a call returns live until the next call on the same Balancer.
class Balancer {
 public:
  /// Throws std::invalid_argument when `settings` cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Takes over new settings; what was learnt is kept. Requests that are open keep the rules of the
  /// class that they came with. Throws std::invalid_argument, and then nothing has changed.
  void update_settings(const Settings& settings);

  /// Actions owed at the start (asking for the list, the first timer). Call once.
  const Actions& start(Micros now);
  const Actions& on_list(Micros now, ListScope scope, const std::vector<Server>& entries);
  const Actions& on_request(Micros now, const Request& request);
  const Actions& on_response_start(Micros now, RequestId id, const std::string& server, int attempt,
                                   Micros latency);
  const Actions& on_outcome(Micros now, const Outcome& outcome);
  /// The client left; nothing more is owed.
  const Actions& on_client_disconnect(Micros now, RequestId id);
  const Actions& on_timer(Micros now, std::uint64_t token);
  const Actions& on_probe(Micros now, const std::string& server, Status status, Micros latency,
                          const Report& report);

  /// Figures for tests and for the router's own metrics.
  struct Stats {
    std::size_t open_requests = 0;
    std::size_t saved_seeds = 0;
    std::size_t tracked_keys = 0;
    std::size_t servers = 0;
    std::uint64_t draws = 0;  ///< LCG draws since the start
  };
  Stats stats() const;
  /// Where an idle fleet would serve the key's first request now: the server id, or empty.
  std::string preferred_server(const std::string& key) const;
  /// The part of its slots a listed server is live over now, 0 to 1.
  double live_fraction(const std::string& server) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace violetusher
