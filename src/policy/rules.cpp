// Implements every decision of the Balancer. In this order: constants, state, slot assignment, key
// spreading, server health, admission control, attempts, host list.
//
// Cache servers own slots of a hash interval in proportion to their weight. A request draws
// pseudo-random slots from a seed derived from its key until it hits a slot whose owner may take
// it. Each server accepts draws in a fraction of its slots only (its live fraction), which shrinks
// when the server is slow, overloaded, ejected or in slow start.
#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <stdexcept>
#include <string_view>
#include <unordered_map>

#include "violetusher/balancer.hpp"
#include "violetusher/recycled_map.hpp"

namespace violetusher {
namespace {

constexpr Micros kSecond = 1'000'000;

// ---- slot assignment ----
constexpr int kSlotBits = 15;
constexpr int kSlotCount = 1 << kSlotBits;
// Ten servers of weight 1 cover 1% of the slots, 250 cover 25%.
constexpr int kSlotsPerWeightUnit = 32;
// Beyond this fraction the slots of every server are halved until they fit.
constexpr double kMaxCoverageFraction = 0.5;
constexpr int kMaxDrawsPerWalk = 20'000;

// ---- key spreading ----
// Load of a single key, as a multiple of a server's fair share, from which it gets more replicas.
constexpr double kKeySpreadShareFactor = 0.7;
// Requests within key_count_window() that justify each replica of a key. With 1, two requests that
// came close together by chance gave a rare key a second replica, and the extra fetches overloaded
// the origin.
constexpr double kRequestsPerReplica = 2;
// Errors per attempt over the fleet beyond which an overloaded server causes no extra replicas.
constexpr double kMaxSpreadErrorFraction = 0.02;
// Servers skipped in one walk because they are at their limit of attempts in flight.
constexpr int kMaxInFlightLimitSkips = 4;
// A server's limit of this router's attempts in flight: the base, plus the factor times the mean.
constexpr double kInFlightLimitFactor = 2.0;
constexpr double kInFlightLimitBase = 3.0;

// ---- zone affinity ----
// A key is served from the router's own zone when a replica there saves more worth than it costs.
// The cost of one more replica, in requests: its cache miss, and its load on a busy origin.
constexpr double kMissCostInRequests = 2.0;
// Raises the cost for a key seen once: one request is weaker evidence of popularity than two.
constexpr double kSeenOnceCostFactor = 1.5;
// The fraction of slots in other zones that a popular key skips, at most.
constexpr double kMaxZoneAffinityFraction = 0.9;
constexpr std::size_t kMaxTrackedKeys = 4096;  // per generation; bounds memory under a key scan
constexpr Micros kKeyCountGeneration = 10 * kSecond;

// ---- server health: outlier detection ----
// Each failure adds its weight to the server's failure score; at this score it is ejected.
constexpr double kEjectionFailureScore = 2.0;
constexpr double kFailureScoreHalfLife = 8.0 * kSecond;
// Failures per attempt that are always considered normal.
constexpr double kMinBaselineFailureFraction = 0.05;
// Weights of one attempt in the moving averages of failure rates.
constexpr double kFleetFailureRateGain = 0.04;
constexpr double kServerFailureRateGain = 0.1;
// The ejection time doubles with each consecutive ejection, from the base to the maximum.
constexpr Micros kBaseEjectionTime = kSecond;
constexpr Micros kMaxEjectionTime = 8 * kSecond;
// Distinct servers of a zone, unreachable one after another, that cause the zone's ejection.
constexpr int kZoneEjectionServers = 3;
// After an ejection the live fraction rises from the minimum to 1 over this time.
constexpr Micros kRecoveryRampTime = 3 * kSecond;
constexpr double kRecoveryRampMinFraction = 0.2;
// The maximum weight of one timeout, as a multiple of kEjectionFailureScore.
constexpr double kMaxTimeoutWeightFactor = 1.3;
// Panic threshold: ejections are ignored while more than this fraction of servers is ejected.
constexpr double kPanicEjectedFraction = 0.7;

// ---- server health: latency and load ----
// Weight of one latency in a server's mean log ratio to the usual latency of the class.
constexpr double kLatencyRatioGain = 0.25;
constexpr double kLatencyRatioHalfLife = 8.0 * kSecond;
constexpr double kSlowLatencyRatio = 1.8;  // a server counts as slow from this ratio
// Keeps some requests going to a slow server, so that its recovery is noticed.
constexpr double kMinLiveFraction = 0.06;
// Higher for an overloaded server, as each shift of keys to other servers costs cache misses.
constexpr double kMinLoadLiveFraction = 0.4;
// A server counts as overloaded at this fraction of busy cores, if above the fleet mean by the
// margin.
constexpr double kOverloadUtilization = 0.85;
constexpr double kOverloadUtilizationMargin = 0.05;
// The fraction of its remaining keys that a server gives up for each rejection as overloaded.
constexpr double kRejectionPenaltyFraction = 0.2;
constexpr double kRejectionPenaltyHalfLife = 15.0 * kSecond;
// Exponential rates of a server's load live fraction: its decrease per unit of overload, and its
// increase without overload.
constexpr double kLoadShedRatePerSecond = 1.2;
constexpr double kLoadRecoveryRatePerSecond = 0.12;
constexpr double kMaxReportIntervalSeconds = 2;  // the time that one load report may stand for

// ---- slow start ----
// A server in slow start gets at most this multiple of its fair share at reduced capacity.
constexpr double kSlowStartBudgetFactor = 1.3;
// Token capacity of that budget, as a fraction of overload_window. With 1, a hot key that arrived
// after an idle period spent twice the budget at once.
constexpr double kSlowStartBurstFraction = 0.4;
// It also gets at most this fraction of the load that would overload it if warm servers were at the
// limit of their capacity.
constexpr double kSlowStartOverloadFraction = 0.5;
// Weight of one refresh in the moving average of the warm servers' rate: about 5 s.
constexpr double kWarmServerRateGain = 0.02;

// ---- attempts: retry and hedge budgets, timeouts ----
constexpr double kRetryTokensPerRequest = 0.03;
constexpr double kMaxRetryTokens = 10;
constexpr double kHedgeTokensPerRequest = 0.03;
constexpr double kMaxHedgeTokens = 3;
// Retry tokens for an attempt beside a paused answer: as for a failure of one server.
constexpr double kPausedAnswerCost = 0.5;
// Weight of a paused answer as a timeout of its server, and of a hedged attempt.
constexpr double kHedgedTimeoutWeight = 0.5;
// The attempt timeout is this latency quantile times the factor.
constexpr double kTimeoutLatencyQuantile = 0.95;
constexpr double kAttemptTimeoutFactor = 2.0;
// Errors are attributed to the server itself from this failure score on.
constexpr double kErrorAttributionScore = 0.9;
// A server may only count as an outlier above this number of failures per attempt.
constexpr double kMinOutlierFailureFraction = 0.25;
// How much one success lowers the failure score of an outlier; others are reset to 0.
constexpr double kFailureScoreReliefPerSuccess = 0.5;
// Broken connections per attempt, over the fleet, that are not a sign of overload.
constexpr double kMaxBenignDisconnectFraction = 0.3;
// Errors per attempt at the healthier half of the servers beyond which errors are not retried.
constexpr double kMaxRetriableErrorFraction = 0.1;

// ---- admission control ----
// The shed fraction is updated at this interval, by the fraction of bad results (late or none).
constexpr Micros kAdmissionInterval = kSecond / 4;
constexpr double kAdmissionCountDecayFactor = 0.75;  // of the result counts, per interval
// Good results assumed in addition to those counted. While nearly everything is shed few results
// come in, and the one in ten that is normally late kept it so for 15 s with the servers idle.
constexpr double kPriorGoodResults = 6;
constexpr double kMaxBadResultFraction = 0.2;  // the admitted fraction grows below this
// Decrease of the admitted fraction per interval if all results are bad. Fast for likely misses, as
// the origin's queue otherwise stays longer than the clients' timeouts; slow for likely hits, as
// oscillation leaves servers idle.
constexpr double kAdmissionDecreaseFraction = 0.3;
constexpr double kCachedAdmissionDecreaseFraction = 0.1;
// A key with this many recent requests is likely cached.
constexpr int kLikelyCachedRequests = 3;
// Increase of the admitted fraction per interval without bad results: multiplicative, and additive
// because a very small fraction would hardly grow otherwise.
constexpr double kAdmissionIncreaseFraction = 0.25;
constexpr double kAdmissionIncreaseStep = 0.05;
constexpr double kMinAdmittedFraction = 0.03;
// Bounds for the shed probability of requests of the highest and lowest worth, as multiples of the
// shed fraction.
constexpr double kMinShedFactor = 0.4;
constexpr double kMaxShedFactor = 1.4;

// ---- host list ----
// The first list request is delayed at random by up to this fraction of list_refresh_interval, so
// that routers started together spread their requests.
constexpr double kListRequestJitterFraction = 0.4;
// Mean delay after a failed list request. Not exponential: the router counts as notified of the
// whole list 6 s after discovery recovers, and a second try may have to fit into that time.
constexpr double kListRetryBackoff = kSecond;

// ---- averages ----
constexpr double kRateWindowSeconds = 5;           // decay time of request and attempt rates
constexpr Micros kRefreshInterval = kSecond / 10;  // of the fleet-wide sums

/// The finalizer of splitmix64.
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// FNV-1a, mixed.
std::uint64_t hash_string(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) hash = (hash ^ c) * 0x100000001b3ULL;
  return mix(hash);
}

/// Knuth's MMIX linear congruential generator.
std::uint64_t next_draw(std::uint64_t seed) {
  return seed * 6364136223846793005ULL + 1442695040888963407ULL;
}

int slot_of(std::uint64_t draw) { return static_cast<int>(draw >> (64 - kSlotBits)); }
/// The position of a draw within its slot, 0 to 1.
double position_in_slot(std::uint64_t draw) {
  return static_cast<double>((draw >> 17) & 0xffffffffULL) / 4294967296.0;
}

/// Adds one attempt to the moving average of a failure rate.
void update_rate(double& rate, bool failed, double gain = kFleetFailureRateGain) {
  rate += gain * (failed - rate);
}

enum TimerKind : std::uint64_t { kDeadlineTimer, kHedgeTimer, kListTimer };

void require(bool ok, const std::string& name) {
  if (!ok) throw std::invalid_argument("setting " + name + " cannot be used");
}

}  // namespace

struct Balancer::Impl {
  // ---- state ----
  struct Zone {
    // Distinct servers found unreachable without a success in between, and the last of them.
    int unreachable_in_row = 0, last_server = -1;
    Micros ejected_until = 0;
  };
  struct ServerState {
    Server listed;         // the entry of the host list
    bool present = false;  // on the current list and not removed
    int in_flight = 0;     // this router's attempts
    int references = 0;    // attempts of open requests at it, pending or not
    // Moving averages of failures per attempt, by FailureKind.
    std::array<double, 3> failure_rates = {};
    double failure_score = 0;
    Micros failure_score_at = 0;
    int consecutive_ejections = 0;  // without a recovery in between
    Micros ejected_until = 0;
    Micros recovery_start = 0;     // of the ramp after an ejection; 0 = none
    double log_latency_ratio = 0;  // mean log ratio to the usual latency of the class
    double latency_samples = 0;    // decaying weight of the samples behind it
    Micros latency_at = 0;
    double load_live_fraction = 1;  // live fraction by reported load
    double rejection_penalty = 0;   // fraction given up for rejections as overloaded
    Micros rejection_penalty_at = 0;
    Micros report_at = 0;
    double slow_start_tokens = 0;
    Micros slow_start_refilled_at = 0;
    Zone* zone = nullptr;
  };
  enum FailureKind { kErrors, kResets, kTimeouts };
  /// Whether the server may have executed an attempt's request.
  enum class Execution { Pending, MayHaveRun, NeverRan };
  struct Attempt {
    int server;  // index in `servers`
    Micros sent;
    Execution execution = Execution::Pending;
    bool paused = false;  // its answer has begun and then paused
  };
  struct ClassState {
    ClassSettings settings;
    double mean_log_latency = 0;
    double latency_quantile = 0;  // at kTimeoutLatencyQuantile
    double samples = 0;
  };
  struct OpenRequest {
    Request request;
    // The class as it was on arrival: a settings update does not affect open requests.
    std::shared_ptr<ClassState> class_state;
    int recent_requests = 0;     // for its key, including this one
    bool cached = false;         // a server likely holds its key
    std::uint64_t key_hash = 0;  // the walk of a key starts here
    std::uint64_t seed = 0;
    Micros arrived_at = 0;
    Micros deadline = 0;
    bool closed = false;          // finally answered, or nothing more is expected
    bool reached_server = false;  // by one of the attempts
    bool cache_missed = false;    // cache-aside mode: a cache server reported a miss
    std::vector<Attempt> attempts;
  };

  Settings config;
  std::uint64_t rng_state;
  Micros now = 0;
  std::vector<ServerState> servers;
  std::map<std::string, Zone> zones;       // by name; those not in the settings share one
  std::map<std::string, int> index_by_id;  // ordered, so that iteration is deterministic
  std::vector<int> free_indices;           // entries of `servers` free for reuse
  std::vector<int> slots = std::vector<int>(kSlotCount, -1);
  RecycledMap<OpenRequest> open_requests;
  /// The progress of a key's walk over its replicas.
  struct SavedSeed {
    std::uint64_t seed = 0;  // of the last selection
    int selections = 0;      // since the walk started at the key's hash
    int first_server = -1;   // the first server selected since then
    double count = 0;        // requests for the key, decaying with this router's requests
    double counted_at = 0;   // the value of `requests_sent` at the last update of `count`
  };
  RecycledMap<SavedSeed> saved_seeds;        // by key hash
  double requests_sent = 0, last_sweep = 0;  // last_sweep: its value when stale seeds were erased
  struct KeyCount {
    int count = 0;
    bool cached = false;  // the last read was answered, so some server holds the key
  };
  // The current generation and the previous one.
  std::array<std::unordered_map<std::uint64_t, KeyCount>, 2> key_counts;
  Micros generation_start = 0;
  std::vector<std::shared_ptr<ClassState>> classes;
  std::map<std::string, double> tenant_rates;  // by name, as a settings update may reorder them
  double attempt_rate_sum = 0;                 // decaying sum of the attempts' relative costs
  Micros rates_decayed_at = 0;
  Micros started_at = 0;
  double mean_work = 0;
  double mean_log_latency = 0;  // over all classes
  double mean_queue = 0, mean_utilization = 0;
  int total_in_flight = 0;
  // Moving averages per attempt over the whole fleet.
  double error_rate = 0, unreachable_rate = 0, overloaded_rate = 0, disconnect_rate = 0;
  // By FailureKind: the mean of the healthier half of the servers, and of all attempts.
  std::array<double, 3> baseline_failure_rates = {};
  std::array<double, 3> fleet_failure_rates = {};
  double retry_tokens = kMaxRetryTokens / 2, hedge_tokens = kMaxHedgeTokens / 2;
  struct AdmissionState {
    double shed_fraction = 0;
    double good_results = 0, bad_results = 0;  // of admitted requests, decaying
  };
  std::array<AdmissionState, 2> admission;  // for likely cache misses, and for likely hits
  double mean_worth = 0;                    // per request, or per unit of cost: see should_shed()
  Micros admission_updated_at = 0;
  // Updated by refresh().
  Micros refreshed_at = -1;
  double live_fraction_sum = 1, live_weight_sum = 1, warm_weight_sum = 1, zone_affinity = 0;
  double warm_server_rate = 0;  // this router's requests per second and weight at warm servers
  bool panic_mode = false;
  // Host list.
  bool watching = false, watch_pending = false;
  std::uint64_t list_timer_token = 0;
  std::uint64_t draws = 0;
  std::vector<double> rate_scratch;  // reused memory of refresh_baseline_failure_rates()
  Actions actions;

  /// The factor of exponential decay since a time.
  double decay(Micros since, double half_life) const {
    return std::exp2(-static_cast<double>(now - since) / half_life);
  }

  double random() {
    rng_state = mix(rng_state + 1);
    return static_cast<double>(rng_state >> 11) / 9007199254740992.0;
  }

  // ---- slot assignment ----
  bool is_origin(const ServerState& server) const {
    return config.cache_aside && !config.origin_kind.empty() &&
           server.listed.kind == config.origin_kind;
  }

  /// Assigns each server slots by draws from the hash of its id, so that a change of the list moves
  /// only the keys of the servers that changed.
  void assign_slots() {
    std::fill(slots.begin(), slots.end(), -1);
    double unit = kSlotsPerWeightUnit, total = 0;
    for (const ServerState& server : servers)
      if (server.present && !is_origin(server))
        total += std::max(server.listed.weight, 0.0) * kSlotsPerWeightUnit;
    while (total > kMaxCoverageFraction * kSlotCount) unit /= 2, total /= 2;
    for (const auto& [id, i] : index_by_id) {  // on a conflict the lower id keeps the slot
      const ServerState& server = servers[i];
      if (!server.present || is_origin(server)) continue;
      int wanted_slots = std::max(1, static_cast<int>(std::lround(server.listed.weight * unit)));
      std::uint64_t seed = hash_string(id);
      for (int tries = 0; wanted_slots > 0 && tries < kSlotCount; ++tries) {
        seed = next_draw(seed);
        int& slot = slots[slot_of(seed)];
        if (slot < 0) slot = i, --wanted_slots;
      }
    }
    refreshed_at = -1;
  }

  bool usable(const ServerState& server) const {
    return server.present && server.listed.health == Health::Ready;
  }

  bool in_slow_start(const ServerState& server) const {
    return server.listed.up_since > 0 && now - server.listed.up_since < config.slow_start_window;
  }

  double slow_start_fraction(const ServerState& server) const {
    if (!in_slow_start(server)) return 1;
    double age = static_cast<double>(std::max<Micros>(0, now - server.listed.up_since)) /
                 static_cast<double>(config.slow_start_window);
    return config.slow_start_min_fraction + (1 - config.slow_start_min_fraction) * age;
  }

  /// The fraction of each of its slots in which a server accepts draws. Ejection, slow start, high
  /// latency and overload all act here, so each moves only the keys of the fraction given up.
  double live_fraction(const ServerState& server) const {
    if (!usable(server)) return 0;
    double fraction = slow_start_fraction(server) *
                      std::max(kMinLiveFraction, server.load_live_fraction *
                                                     (1 - current_rejection_penalty(server)) *
                                                     latency_live_fraction(server));
    if (!panic_mode) {
      if (is_ejected(server)) return 0;
      if (server.recovery_start > 0) {
        double ramp = static_cast<double>(now - server.recovery_start) / kRecoveryRampTime;
        fraction *= std::min(1.0, kRecoveryRampMinFraction + (1 - kRecoveryRampMinFraction) * ramp);
      }
    }
    return fraction;
  }

  bool is_ejected(const ServerState& server) const {
    return now < std::max(server.ejected_until, server.zone->ejected_until);
  }

  /// Updates the fleet-wide sums every kRefreshInterval.
  void refresh() {
    if (refreshed_at >= 0 && now - refreshed_at < kRefreshInterval) return;
    refreshed_at = now;
    refresh_baseline_failure_rates();
    double ready = 0, ejected = 0, local_ready = 0, local_ejected = 0;
    for (const ServerState& server : servers) {
      if (!usable(server) || is_origin(server)) continue;
      bool local = server.listed.zone == config.zone;
      ready += 1, local_ready += local;
      if (is_ejected(server)) ejected += 1, local_ejected += local;
    }
    // In a network partition between zones many ejections are justified, as long as the servers of
    // the router's own zone answer. If most of these are ejected as well, the fault is more likely
    // in this router or in its detection.
    panic_mode = local_ready > 0 ? local_ejected > kPanicEjectedFraction * local_ready &&
                                       ejected > kPanicEjectedFraction * ready
                                 : ejected > kPanicEjectedFraction * ready;
    double local_live = 0, local_servers = 0, nominal_weight = 0;
    live_fraction_sum = live_weight_sum = warm_weight_sum = 0;
    for (const ServerState& server : servers) {
      if (!usable(server) || is_origin(server)) continue;
      double fraction = live_fraction(server);
      live_fraction_sum += fraction, live_weight_sum += fraction * server.listed.weight;
      warm_weight_sum += slow_start_fraction(server) * server.listed.weight;
      nominal_weight += server.listed.weight;
      if (server.listed.zone == config.zone) local_live += fraction, local_servers += 1;
    }
    if (warm_weight_sum > 0.8 * nominal_weight && warm_weight_sum > 0) {
      double fair_rate = attempts_per_second() / warm_weight_sum;
      warm_server_rate +=
          (warm_server_rate <= 0 ? 1 : kWarmServerRateGain) * (fair_rate - warm_server_rate);
    }
    // Affinity falls with the live fraction of the own zone. With low traffic, ejections count only
    // as far as the own zone has more of them than others: if a few servers of each zone are
    // ejected, cross-zone requests merely move load around.
    double local_live_fraction = local_servers > 0 ? local_live / local_servers : 0;
    // With few servers and frequent requests, each ejection raises the load of the rest of the
    // zone.
    if (ready > ejected && low_traffic())
      local_live_fraction = std::min(1.0, local_live_fraction * ready / (ready - ejected));
    zone_affinity = kMaxZoneAffinityFraction * local_live_fraction * local_live_fraction;
  }

  // ---- key spreading ----
  /// The number of this router's requests over which a key's requests are counted: a key with
  /// kKeySpreadShareFactor of a fair share gets kRequestsPerReplica requests within it.
  double key_count_window() const {
    return kRequestsPerReplica * std::max(1.0, live_fraction_sum / kKeySpreadShareFactor);
  }

  /// The seed from which the request's walk starts. Repeated requests for a key continue from the
  /// saved seed until the key has as many replicas as its share of the traffic needs; then the walk
  /// starts at the key's hash again. A key that one server can serve stays at its first server, and
  /// the count of a hot key survives each restart of its walk.
  SavedSeed& seed_for(std::uint64_t key_hash) {
    requests_sent += 1;
    double window = key_count_window();
    auto decayed_count = [&](const SavedSeed& saved) {
      return saved.count * std::exp(-(requests_sent - saved.counted_at) / window);
    };
    if (requests_sent - last_sweep > window) {
      for (auto it = saved_seeds.begin(); it != saved_seeds.end();)
        it = decayed_count(it->second) < 0.5 ? saved_seeds.erase_and_recycle(it) : std::next(it);
      last_sweep = requests_sent;
    }
    auto [saved, inserted] = saved_seeds.find_or_insert(key_hash);
    if (inserted) saved = SavedSeed();
    saved.count = decayed_count(saved) + 1;
    saved.counted_at = requests_sent;
    // A server may be overloaded by several moderately popular keys, none of which would be spread
    // on its own: its keys get more replicas. Not while the origin fails, as each replica is one
    // more fetch.
    bool no_extra_replicas = saved.first_server < 0 || saved.count < kRequestsPerReplica ||
                             error_rate > kMaxSpreadErrorFraction;
    double per_server = kRequestsPerReplica *
                        (no_extra_replicas ? 1 : servers[saved.first_server].load_live_fraction);
    if (saved.selections == 0 || saved.selections >= saved.count / per_server)
      saved.seed = key_hash, saved.selections = 0;
    return saved;
  }

  /// Counts the key's requests over the last one to two generations.
  void count_key(OpenRequest& open) {
    if (now - generation_start > kKeyCountGeneration || key_counts[0].size() >= kMaxTrackedKeys) {
      key_counts[1] = std::move(key_counts[0]);
      key_counts[0].clear();
      generation_start = now;
    }
    auto [it, inserted] = key_counts[0].try_emplace(open.key_hash);
    auto previous = key_counts[1].find(open.key_hash);
    if (inserted && previous != key_counts[1].end()) it->second.cached = previous->second.cached;
    open.recent_requests =
        ++it->second.count + (previous != key_counts[1].end() ? previous->second.count : 0);
    open.cached = it->second.cached && !open.request.write;
  }

  /// Records how an admitted request ended. A request that no server has executed is no evidence
  /// about the cache: otherwise the keys of a burst counted as misses, were shed as such time and
  /// again, and were not cached again although servers were idle.
  void record_result(const OpenRequest& open, bool answered, bool in_time) {
    AdmissionState& state = admission[open.cached];
    // Normally one answer in ten is late. A router with low traffic sees so few results that by
    // chance it would shed some requests all day, so late answers weigh less there. A request that
    // never reached a server is no sign of load either: after a zone was cut off, requests to all
    // other zones were shed.
    bool load_related = !answered && (open.reached_server || any_pending(open));
    double bad = in_time ? 0 : load_related ? 1 : std::min(1.0, kSecond / request_interval());
    // Nor is an answer that began and then paused: that server, or the path to it, writes slowly.
    // Shedding for it refused most requests of a soak run whose servers had little load.
    bool paused = std::any_of(open.attempts.begin(), open.attempts.end(),
                              [](const Attempt& a) { return a.paused; });
    if (in_time || !paused) state.good_results += 1 - bad, state.bad_results += bad;
    auto it = key_counts[0].find(open.key_hash);
    if (it != key_counts[0].end() && (answered || may_have_run(open)))
      it->second.cached = answered && !open.request.write;
  }

  /// Whether a replica of the key in the router's own zone pays off. If one request at each router
  /// of the zone is enough for that, the router does not wait for a second one: a router sees a
  /// rare key so seldom that some would consider it popular and others not, which left the key with
  /// replicas in each zone and most of its requests still crossing zones.
  bool zone_replica_pays(int recent_requests) const {
    double peers = std::max(1.0, config.routers / std::max<double>(1, config.zones.size()));
    return config.cross_zone_charge * recent_requests * peers >
           (recent_requests >= 2 ? 1 : kSeenOnceCostFactor) * kMissCostInRequests;
  }

  bool at_in_flight_limit(const ServerState& server) const {
    double mean = total_in_flight / std::max(1.0, live_weight_sum);
    return server.in_flight >=
           kInFlightLimitBase + kInFlightLimitFactor * mean * server.listed.weight;
  }

  /// Requests per second that this router may send to a server in slow start.
  double slow_start_rate(const ServerState& server) const {
    // The fair share is by listed weight: by live weight, servers that shed load would push it to
    // those in slow start. It is limited by what warm servers were seen to handle, as after a mass
    // replacement the fair share of the few servers left exceeds their capacity.
    double fair_rate = attempts_per_second() / std::max(1.0, warm_weight_sum);
    double max_rate =
        warm_server_rate > 0
            ? std::min(kSlowStartBudgetFactor * fair_rate,
                       kSlowStartOverloadFraction * config.overload_factor * warm_server_rate)
            : kSlowStartBudgetFactor * fair_rate;
    return slow_start_fraction(server) * server.listed.weight * max_rate;
  }

  /// Whether the budget of a server in slow start allows a request. Tokens are in units of the mean
  /// request. Each router keeps its own share of the budget, so that all routers together stay
  /// within the overload limit without coordination. Tokens start at a random value below 1, as
  /// many routers that each may send one request at once would overload the server together.
  bool slow_start_allows(ServerState& server, double cost) {
    if (!in_slow_start(server)) return true;
    double rate = slow_start_rate(server);
    double max_tokens = std::max(1.0, kSlowStartBurstFraction * rate *
                                          static_cast<double>(config.overload_window) / kSecond);
    server.slow_start_tokens +=
        rate * static_cast<double>(now - server.slow_start_refilled_at) / kSecond;
    server.slow_start_tokens = std::min(server.slow_start_tokens, max_tokens);
    server.slow_start_refilled_at = now;
    return server.slow_start_tokens >= std::min(cost, max_tokens);
  }

  struct Selection {
    int server = -1;  // index in `servers`; -1 = none
    std::uint64_t seed = 0;
  };

  /// Draws from `seed`, at most `draws_left` times, until a server accepts; -1 if none does.
  int next_live_server(std::uint64_t& seed, int& draws_left) const {
    while (draws_left-- > 0) {
      seed = next_draw(seed);
      int i = slots[slot_of(seed)];
      if (i >= 0 && position_in_slot(seed) < live_fraction(servers[i])) return i;
    }
    return -1;
  }

  /// Draws from `seed` to the next accepting server to which the request may be sent.
  Selection walk(std::uint64_t seed, const OpenRequest& open, bool prefer_local) {
    Selection fallback;
    int skipped = 0;
    double cost = cost_of(open);
    for (int draws_left = kMaxDrawsPerWalk, before = draws_left;; before = draws_left) {
      int i = next_live_server(seed, draws_left);
      draws += static_cast<std::uint64_t>(before - std::max(draws_left, 0));
      if (i < 0) return fallback;
      ServerState& server = servers[i];
      if (!may_send(open, i) || tried(open, i)) continue;
      if (prefer_local && server.listed.zone != config.zone &&
          position_in_slot(mix(seed)) < zone_affinity)
        continue;
      if (!slow_start_allows(server, cost)) continue;
      if (at_in_flight_limit(server) && skipped < kMaxInFlightLimitSkips) {
        if (fallback.server < 0) fallback = {i, seed};
        ++skipped;
        continue;
      }
      return {i, seed};
    }
  }

  /// Rendezvous hashing over the servers to which the request may be sent, for walks that ran out
  /// of draws. A few servers, or slow ones, cover so few of the slots that walks miss them: a
  /// single server that answered 30 times slower than before had most of its keys refused.
  Selection rendezvous_fallback(const OpenRequest& open) {
    Selection best;
    std::uint64_t highest_rank = 0;
    for (const auto& [id, i] : index_by_id) {
      std::uint64_t rank = mix(open.seed ^ hash_string(id));
      if (rank < highest_rank || live_fraction(servers[i]) <= 0 || is_origin(servers[i])) continue;
      if (!may_send(open, i) || tried(open, i) || !slow_start_allows(servers[i], cost_of(open)))
        continue;
      best = {i, open.seed}, highest_rank = rank;
    }
    return best;
  }

  // ---- server health ----
  /// The live fraction by latency: inverse to the ratio of a slow server's latency to the usual
  /// one.
  double latency_live_fraction(const ServerState& server) const {
    if (server.latency_samples < 2) return 1;
    double remaining = decay(server.latency_at, kLatencyRatioHalfLife);
    double ratio = std::exp(server.log_latency_ratio * remaining);
    return ratio > kSlowLatencyRatio ? kSlowLatencyRatio / ratio : 1;
  }

  /// Updates the latency statistics of the class, if the attempt succeeded, and of the server.
  void record_latency(ServerState& server, ClassState& class_state, Micros latency, bool ok) {
    double value = std::max<double>(1, static_cast<double>(latency));
    double log_value = std::log(value);
    if (class_state.samples == 0)
      class_state.mean_log_latency = log_value, class_state.latency_quantile = value * 2;
    class_state.samples = std::min(class_state.samples + 1, 200.0);
    double gain = std::max(1 / class_state.samples, 0.02);
    if (ok) {
      mean_log_latency += (mean_log_latency == 0 ? 1 : 0.03) * (log_value - mean_log_latency);
      class_state.mean_log_latency += gain * (log_value - class_state.mean_log_latency);
      class_state.latency_quantile *=
          std::exp((value > class_state.latency_quantile ? kTimeoutLatencyQuantile
                                                         : kTimeoutLatencyQuantile - 1) *
                   std::max(gain, 0.05));
    }
    double remaining = decay(server.latency_at, kLatencyRatioHalfLife);
    server.log_latency_ratio *= remaining, server.latency_samples *= remaining;
    server.log_latency_ratio +=
        kLatencyRatioGain * (log_value - class_state.mean_log_latency - server.log_latency_ratio);
    server.latency_samples += 1;
    server.latency_at = now;
  }

  /// Lowers the server's failure rates and score, and ends its recovery once the ramp is over.
  void record_success(ServerState& server) {
    bool outlier = false;
    for (FailureKind kind : {kErrors, kResets, kTimeouts}) {
      outlier |= is_outlier(server, kind);
      update_rate(server.failure_rates[kind], false, kServerFailureRateGain);
      update_rate(fleet_failure_rates[kind], false);
    }
    if (server.recovery_start > 0 && now - server.recovery_start > kRecoveryRampTime)
      server.recovery_start = 0, server.consecutive_ejections = 0;
    // Otherwise a server that answers some requests and lets others time out is never ejected.
    server.failure_score =
        outlier ? std::max(0.0, server.failure_score - kFailureScoreReliefPerSuccess) : 0;
  }

  /// Adds a failure to the server's score and ejects the server at kEjectionFailureScore. A failure
  /// counts only as far as it is unusual: when a stopped origin causes errors at every server, or
  /// overload delays all of them, one more failure is hardly evidence against its server. The
  /// weight is the log-likelihood ratio of a failed against a healthy server, in units of a failure
  /// at the minimum baseline.
  void record_failure(ServerState& server, double weight, double baseline) {
    weight *= std::log(std::max(baseline, kMinBaselineFailureFraction)) /
              std::log(kMinBaselineFailureFraction);
    server.failure_score *= decay(server.failure_score_at, kFailureScoreHalfLife);
    server.failure_score += weight;
    server.failure_score_at = now;
    if (server.failure_score < kEjectionFailureScore || now < server.ejected_until) return;
    // At least a few request intervals, as the ejection would otherwise end before the next request
    // to the server.
    auto interval = static_cast<Micros>(std::min(request_interval(), 8.0 * kSecond));
    Micros ejection_time = std::min(std::max(kMaxEjectionTime, 4 * interval),
                                    std::max(kBaseEjectionTime, 2 * interval)
                                        << std::min(server.consecutive_ejections, 5));
    server.ejected_until =
        now + static_cast<Micros>(static_cast<double>(ejection_time) * (0.75 + 0.5 * random()));
    server.recovery_start = server.ejected_until;
    server.consecutive_ejections = std::min(server.consecutive_ejections + 1, 8);
    // One failure in the recovery ejects the server again.
    server.failure_score = kEjectionFailureScore - 1;
    refreshed_at = -1;
  }

  /// Records a failure that may be the server's own. The baseline is the healthier half of the
  /// servers: a failing origin, a network path that corrupts answers and overload show there too,
  /// and then one server's failures are hardly evidence. By the mean of all servers, those that
  /// failed every request within milliseconds counted as normal once there were many of them, kept
  /// their keys and attracted those of others.
  void record_server_failure(ServerState& server, FailureKind kind, double weight) {
    update_rate(server.failure_rates[kind], true, kServerFailureRateGain);
    update_rate(fleet_failure_rates[kind], true);
    // With low traffic most servers have not failed yet, whatever the state of the fleet, so the
    // healthier half always looks healthy; half the mean of all attempts is used if it is higher.
    record_failure(
        server, weight,
        std::max(baseline_failure_rates[kind], low_traffic() ? fleet_failure_rates[kind] / 2 : 0));
  }

  /// The weight of one timeout. It rises with the request interval: with low traffic the second
  /// timeout at a server comes too late to confirm the first, and a hundred routers never detected
  /// servers that hung. It may eject healthy servers where many requests time out by chance.
  double timeout_weight() const {
    return std::clamp(request_interval() / kSecond, 1.0,
                      kEjectionFailureScore * kMaxTimeoutWeightFactor);
  }
  /// The mean time between two requests of this router to one server.
  double request_interval() const {
    return kSecond * live_fraction_sum / std::max(0.1, attempts_per_second());
  }
  bool low_traffic() const { return request_interval() > kSecond; }

  /// Ejects a whole zone when several of its servers in a row are unreachable. With low traffic no
  /// single server of an unreachable zone gets enough requests to be ejected, and requests kept
  /// waiting for connections to it. The first attempt after the ejection ends or renews it.
  void record_reachability(int index, bool reached) {
    Zone& zone = *servers[index].zone;
    if (reached) zone = Zone();
    if (reached || !low_traffic()) return;
    zone.unreachable_in_row += zone.last_server != index;
    zone.last_server = index;
    if (zone.unreachable_in_row < kZoneEjectionServers) return;
    zone.ejected_until = now + static_cast<Micros>(kBaseEjectionTime * (0.75 + 0.5 * random()));
    refreshed_at = -1;
  }

  /// Whether the server fails in this way far more often than the healthier half of the servers.
  bool is_outlier(const ServerState& server, FailureKind kind) const {
    return server.failure_rates[kind] >
           std::max(kMinOutlierFailureFraction, 3 * baseline_failure_rates[kind]);
  }

  /// Sets each baseline to the mean failure rate of the healthier half of the servers.
  void refresh_baseline_failure_rates() {
    for (std::size_t kind = 0; kind < baseline_failure_rates.size(); ++kind) {
      rate_scratch.clear();
      for (const ServerState& server : servers)
        if (usable(server) && !is_origin(server))
          rate_scratch.push_back(server.failure_rates[kind]);
      std::size_t half = (rate_scratch.size() + 1) / 2;
      std::nth_element(rate_scratch.begin(),
                       rate_scratch.begin() + static_cast<std::ptrdiff_t>(half),
                       rate_scratch.end());
      double sum = 0;
      for (std::size_t k = 0; k < half; ++k) sum += rate_scratch[k];
      baseline_failure_rates[kind] = half > 0 ? sum / static_cast<double>(half) : 0;
    }
  }

  /// The fraction of its keys that a server gives up for rejecting requests as overloaded. It
  /// decays with time alone, as servers without load reports never report that they have recovered.
  double current_rejection_penalty(const ServerState& server) const {
    return server.rejection_penalty * decay(server.rejection_penalty_at, kRejectionPenaltyHalfLife);
  }

  void record_overloaded(ServerState& server) {
    double penalty = current_rejection_penalty(server);
    server.rejection_penalty = penalty + (1 - penalty) * kRejectionPenaltyFraction *
                                             std::max(0.0, 1 - 4 * overloaded_rate);
    server.rejection_penalty_at = now;
  }

  void record_load_report(ServerState& server, const Report& report) {
    if (report.empty()) return;
    double overload = 0;
    for (std::size_t k = 0; k < report.size() && k < config.report_fields.size(); ++k) {
      double value = report[k];
      if (!std::isfinite(value)) continue;
      if (config.report_fields[k] == ReportField::Utilization) {
        mean_utilization += 0.03 * (value - mean_utilization);
        // Relative to the fleet: if all overloaded servers shed keys, nearly every key would move
        // and miss.
        overload =
            std::max(overload, (value - std::max(kOverloadUtilization,
                                                 mean_utilization + kOverloadUtilizationMargin)) /
                                   (1 - kOverloadUtilization));
      } else if (config.report_fields[k] == ReportField::Queue) {
        mean_queue += 0.03 * (value - mean_queue);
        overload =
            std::max(overload, std::min(2.0, (value - 2 - 2 * mean_queue) / (2 + mean_queue)));
      }
    }
    // A server that gave up most of its keys reports rarely, so recovery goes by the time passed.
    double seconds = static_cast<double>(now - server.report_at) / kSecond;
    server.report_at = now;
    server.load_live_fraction *= std::exp(
        overload > 0 ? -kLoadShedRatePerSecond * overload * std::min(1.0, seconds)
                     : kLoadRecoveryRatePerSecond * std::min(kMaxReportIntervalSeconds, seconds));
    server.load_live_fraction = std::clamp(server.load_live_fraction, kMinLoadLiveFraction, 1.0);
  }

  // ---- admission control ----
  double rate_decay() const {
    return std::exp(-static_cast<double>(now - rates_decayed_at) / (kRateWindowSeconds * kSecond));
  }

  /// Counts attempts rather than arrivals: refused requests do not load servers.
  double attempts_per_second() const {
    double window_seconds = std::max(
        0.2, std::min(kRateWindowSeconds, static_cast<double>(now - started_at) / kSecond));
    return attempt_rate_sum * rate_decay() / window_seconds;
  }

  /// The expected cost of a request relative to the mean one: by its work if given, otherwise by
  /// the usual latency of its class.
  double cost_of(const OpenRequest& open) const {
    if (!open.request.work || mean_work <= 0) {
      const ClassState& class_state = *open.class_state;
      return class_state.samples < 5
                 ? 1
                 : std::clamp(std::exp(class_state.mean_log_latency - mean_log_latency), 0.2, 5.0);
    }
    return std::clamp(static_cast<double>(*open.request.work) / mean_work, 0.2, 5.0);
  }

  /// Lowers the admitted fraction by a small step while many admitted requests get a late answer or
  /// none, and raises it otherwise, also without results: a shed fraction that waited for results
  /// stayed high when few were left, and one that moved in large steps oscillated between shedding
  /// nearly everything and overload. Likely cache hits have an admission state of their own: an
  /// overloaded origin makes only the likely misses fail, overloaded servers make both fail.
  void update_admission() {
    if (now - admission_updated_at < kAdmissionInterval) return;
    for (bool cached : {false, true}) {
      AdmissionState& state = admission[cached];
      double decrease = cached ? kCachedAdmissionDecreaseFraction : kAdmissionDecreaseFraction;
      double bad_fraction =
          state.bad_results / (state.good_results + state.bad_results + kPriorGoodResults);
      double increase = bad_fraction > kMaxBadResultFraction
                            ? 0
                            : std::min(1.0, 2 * (1 - bad_fraction / kMaxBadResultFraction));
      double admitted_fraction =
          (1 - state.shed_fraction) * (1 + (increase > 0 ? kAdmissionIncreaseFraction * increase
                                                         : -decrease * bad_fraction)) +
          kAdmissionIncreaseStep * increase;
      state.shed_fraction = 1 - std::clamp(admitted_fraction, kMinAdmittedFraction, 1.0);
      state.good_results *= kAdmissionCountDecayFactor,
          state.bad_results *= kAdmissionCountDecayFactor;
    }
    admission_updated_at = now;
  }

  bool shedding() const { return admission[0].shed_fraction > 0 || admission[1].shed_fraction > 0; }

  /// Whether admission control refuses the request.
  bool should_shed(const OpenRequest& open) {
    update_admission();
    const ClassSettings& class_settings = open.class_state->settings;
    double shed_fraction = admission[open.cached].shed_fraction;
    double probability = shed_fraction;
    // Relative to the mean worth of arriving requests, so that the shed fraction holds over all of
    // them: relative to the class of highest worth, the bulk of the traffic was refused altogether
    // and servers were idle.
    double worth = class_settings.worth / (config.worth_by_work ? 1 : cost_of(open));
    mean_worth += (mean_worth <= 0 ? 1 : 0.02) * (worth - mean_worth);
    if (worth > 0) probability *= std::clamp(mean_worth / worth, kMinShedFactor, kMaxShedFactor);
    probability = std::min(probability, 1 - kMinAdmittedFraction / 2);
    for (const TenantSettings& tenant : config.tenants) {
      if (tenant.name != open.request.tenant || tenant.quota_per_s <= 0) continue;
      double quota = tenant.quota_per_s / std::max(1, config.routers);
      double admitted_rate = tenant_rates[open.request.tenant] / kRateWindowSeconds;
      if (admitted_rate > quota)
        probability += std::min(1.0, 4 * shed_fraction) * (1 - quota / admitted_rate);
    }
    if (shed_fraction <= 0) return false;
    if (open.request.key.empty()) return random() < probability;
    // Decided by key and alike at every router: admitted keys stay cached and are answered by hits,
    // so that a fleet with empty caches and an overloaded origin fills up key by key, popular keys
    // first. With random shedding, misses of every key went on and the origin never caught up.
    if (open.recent_requests >= kLikelyCachedRequests) probability *= probability;
    return position_in_slot(mix(~open.key_hash)) < probability;
  }

  void decay_rates() {
    if (rates_decayed_at == now) return;
    double factor = rate_decay();
    attempt_rate_sum *= factor;
    for (auto& [name, rate] : tenant_rates) rate *= factor;
    rates_decayed_at = now;
  }

  void record_arrival(const OpenRequest& open) {
    decay_rates();
    if (open.request.work) {
      double work = static_cast<double>(*open.request.work);
      mean_work += (mean_work <= 0 ? 1 : 0.02) * (work - mean_work);
    }
    retry_tokens = std::min(kMaxRetryTokens, retry_tokens + kRetryTokensPerRequest);
    hedge_tokens = std::min(kMaxHedgeTokens, hedge_tokens + kHedgeTokensPerRequest);
  }

  // ---- attempts ----
  bool tried(const OpenRequest& open, int index) const {
    return std::any_of(open.attempts.begin(), open.attempts.end(),
                       [&](const Attempt& a) { return a.server == index; });
  }
  bool any_pending(const OpenRequest& open) const {
    return std::any_of(open.attempts.begin(), open.attempts.end(),
                       [](const Attempt& a) { return a.execution == Execution::Pending; });
  }
  /// Whether an attempt is pending that nothing speaks against yet.
  bool any_awaited(const OpenRequest& open) const {
    return std::any_of(open.attempts.begin(), open.attempts.end(), [](const Attempt& a) {
      return a.execution == Execution::Pending && !a.paused;
    });
  }
  bool may_have_run(const OpenRequest& open) const {
    return std::any_of(open.attempts.begin(), open.attempts.end(),
                       [](const Attempt& a) { return a.execution != Execution::NeverRan; });
  }

  /// The time before which a repeat of a Keyed request must be sent: then the servers begin to
  /// forget the key of an attempt that may have run.
  Micros repeat_deadline(const OpenRequest& open) const {
    Micros deadline = Send::kAnyTime;
    for (const Attempt& attempt : open.attempts)
      if (open.class_state->settings.effect == Effect::Keyed &&
          attempt.execution != Execution::NeverRan)
        deadline = std::min(deadline, attempt.sent + open.class_state->settings.key_ttl -
                                          2 * config.timer_granularity);
    return deadline;
  }

  /// Whether one more attempt may go to the server: it is neither draining nor removed, attempts
  /// are left, and a repeat there is safe.
  bool may_send(const OpenRequest& open, int index) const {
    const ServerState& target = servers[index];
    if (!usable(target) || static_cast<int>(open.attempts.size()) >= config.max_attempts)
      return false;
    if (!config.may_hedge && any_pending(open)) return false;
    const ClassSettings& class_settings = open.class_state->settings;
    if (class_settings.effect == Effect::Repeatable) return true;
    if (now >= repeat_deadline(open)) return false;
    for (const Attempt& attempt : open.attempts) {
      if (attempt.execution == Execution::NeverRan) continue;
      if (class_settings.effect == Effect::Once) return false;
      const Server& previous = servers[attempt.server].listed;
      if (class_settings.group == Group::Zone && previous.zone != target.listed.zone) return false;
      if (class_settings.group == Group::Cell &&
          (previous.cell < 0 || previous.cell != target.listed.cell))
        return false;
    }
    return true;
  }

  /// Whether the request may be refused, which promises the client that a retry is harmless.
  bool may_refuse(const OpenRequest& open) const {
    const ClassSettings& class_settings = open.class_state->settings;
    if (class_settings.effect == Effect::Repeatable || !may_have_run(open)) return true;
    return class_settings.effect == Effect::Keyed && class_settings.group == Group::All;
  }

  void add_timer(Micros after, RequestId id, TimerKind kind) {
    actions.push_back(
        Timer{std::max<Micros>(after, 1), id << 2 | kind, kind == kListTimer ? 0 : id});
  }

  /// Answers a request that was not served. An `isolated` failure is no sign of load, so admission
  /// control does not count it.
  void finish(OpenRequest& open, bool isolated = false) {
    if (open.closed) return;
    open.closed = true;
    if (!open.attempts.empty() && !isolated) record_result(open, false, false);
    if (may_refuse(open))
      actions.push_back(
          Refuse{open.request.id, config.retry_after ? config.max_retry_after / 4 : 0});
    else
      actions.push_back(Fail{open.request.id});
    cancel_pending(open);
  }

  void cancel_pending(const OpenRequest& open, int except = -1) {
    if (!config.may_cancel) return;
    for (std::size_t k = 0; k < open.attempts.size(); ++k)
      if (open.attempts[k].execution == Execution::Pending && static_cast<int>(k) != except)
        actions.push_back(Cancel{open.request.id, static_cast<int>(k)});
  }

  void erase_if_done(RequestId id) {
    auto it = open_requests.find(id);
    if (it == open_requests.end() || !it->second.closed || any_pending(it->second)) return;
    for (const Attempt& attempt : it->second.attempts) --servers[attempt.server].references;
    open_requests.erase_and_recycle(it);
  }

  /// The time after which an attempt is hedged or given up.
  Micros attempt_timeout(const OpenRequest& open) const {
    const ClassState& class_state = *open.class_state;
    double usual_latency = class_state.samples > 0
                               ? class_state.latency_quantile
                               : static_cast<double>(class_state.settings.latency_objective) / 2;
    return static_cast<Micros>(std::max(kAttemptTimeoutFactor * usual_latency,
                                        4.0 * static_cast<double>(config.timer_granularity)));
  }

  /// Whether an attempt that is pending at the request's deadline counts as a timeout. With low
  /// traffic the latency quantile is enough, as clients whose cache misses take long give up before
  /// attempt_timeout(). With more traffic it is not: overload would look like many timeouts.
  bool is_timeout(const OpenRequest& open, const Attempt& attempt) const {
    auto timeout = static_cast<double>(attempt_timeout(open));
    double usual_latency = std::max(open.class_state->latency_quantile,
                                    4.0 * static_cast<double>(config.timer_granularity));
    return static_cast<double>(now - attempt.sent) >
           (low_traffic() ? std::min(timeout, usual_latency) : timeout);
  }

  /// Cache-aside mode: writes, and reads after a cache miss, go to the origin.
  bool needs_origin(const OpenRequest& open) const {
    return config.cache_aside && !config.origin_kind.empty() &&
           (open.request.write || open.cache_missed);
  }

  /// The origin has no slots: sends to its usable server with the fewest attempts in flight.
  bool send_to_origin(OpenRequest& open) {
    int best = -1;
    for (const auto& [id, i] : index_by_id)
      if (is_origin(servers[i]) && may_send(open, i) &&
          (best < 0 || servers[i].in_flight < servers[best].in_flight))
        best = i;
    if (best < 0) return false;
    start_attempt(open, best);
    return true;
  }

  /// Sends the request to the next server of its walk; false if no server may take it.
  bool send(OpenRequest& open) {
    refresh();
    if (needs_origin(open)) return send_to_origin(open);
    bool first = open.attempts.empty();
    bool prefer_local = false;
    SavedSeed* saved = first && !open.request.key.empty() ? &seed_for(open.key_hash) : nullptr;
    if (first) open.seed = saved ? saved->seed : mix(rng_state = mix(rng_state + 1));
    if (config.cross_zone_charge > 0 && zone_affinity > 0)
      prefer_local = first ? zone_replica_pays(open.recent_requests) : true;
    Selection selection = walk(open.seed, open, prefer_local);
    if (selection.server < 0 && prefer_local) selection = walk(open.seed, open, false);
    if (selection.server < 0) selection = rendezvous_fallback(open);
    if (selection.server < 0) return false;
    open.seed = selection.seed;
    // Admitted requests only: clients repeat refused ones, which do not use the quota.
    auto tenant = tenant_rates.find(open.request.tenant);
    if (first && tenant != tenant_rates.end()) tenant->second += 1;
    if (saved) {
      if (saved->selections++ == 0) saved->first_server = selection.server;
      saved->seed = selection.seed;
    }
    start_attempt(open, selection.server);
    return true;
  }

  void start_attempt(OpenRequest& open, int index) {
    ServerState& server = servers[index];
    Micros send_before = repeat_deadline(open);
    open.attempts.push_back({index, now});
    ++server.in_flight, ++total_in_flight, ++server.references;
    decay_rates();
    attempt_rate_sum += cost_of(open);
    if (in_slow_start(server)) server.slow_start_tokens -= cost_of(open);
    Micros remaining = open.deadline - now;
    Micros timeout = attempt_timeout(open);
    bool may_repeat = static_cast<int>(open.attempts.size()) < config.max_attempts &&
                      open.class_state->settings.effect != Effect::Once &&
                      !open.class_state->settings.streamed;
    Micros attempt_limit = 0;
    // An attempt at the origin is never hedged.
    if (may_repeat && timeout * 3 / 2 < remaining && !is_origin(server)) {
      if (config.may_hedge)
        add_timer(timeout, open.request.id, kHedgeTimer);
      else
        attempt_limit = timeout;
    }
    actions.push_back(Send{open.request.id, server.listed.id, attempt_limit, send_before});
  }

  /// Whether a failure is the fault of one server or connection: a broken connection, or a failure
  /// at an outlier. It is no sign of overload: admission control does not count it, and it is
  /// retried at another server even while requests are shed. This covers corrupt answers, crashes
  /// and servers that fail every request; it is wrong for overloaded servers that break connections
  /// instead of rejecting requests.
  bool is_isolated_failure(Status status, const ServerState& server) const {
    if (status == Status::Error) return is_outlier(server, kErrors);
    if (status == Status::Timeout) return is_outlier(server, kTimeouts);
    return status == Status::Reset || status == Status::StaleConnection;
  }

  /// After the end of `attempt`. Attempts with a paused answer keep no other from being tried, and
  /// are waited for if there is none.
  void retry_or_finish(OpenRequest& open, const Attempt& attempt, Status status) {
    if (open.closed || any_awaited(open)) return;
    const ServerState& server = servers[attempt.server];
    bool isolated = is_isolated_failure(status, server);
    bool never_sent = status == Status::ConnectFailed || status == Status::NotSent;
    bool never_ran = status == Status::Overloaded || never_sent;
    // The first failure on a stale keep-alive connection is retried regardless of the budget, as it
    // is no sign of load. This covers idle timeouts of middleboxes and restarts behind a load
    // balancer; it is wrong for overloaded servers that break connections, so it stops when more
    // than a few connections break.
    bool stale_connection = status == Status::StaleConnection && open.attempts.size() == 1 &&
                            disconnect_rate < kMaxBenignDisconnectFraction;
    double cost = stale_connection ? 0 : never_ran ? 0.25 : isolated ? 0.5 : 1;
    bool time_left = open.deadline - now > 2 * config.timer_granularity;
    if (status == Status::Miss && time_left && send(open))
      return;  // a miss is no failure: costs no tokens
    // A failed fetch from the origin ends in an error, and another server would only fetch once
    // more and overload the origin further. Errors are retried if they come from one server rather
    // than from many.
    bool no_retry = status == Status::Error && !isolated &&
                    (baseline_failure_rates[kErrors] > kMaxRetriableErrorFraction ||
                     server.failure_score < kErrorAttributionScore);
    // While requests are shed nothing else is retried, as a retry would take the place of a first
    // attempt. An attempt that was never sent has cost no server anything.
    no_retry |= !never_sent && !isolated && shedding();
    if (!no_retry && time_left && retry_tokens >= cost) {
      retry_tokens -= cost;
      if (send(open)) return;
    }
    // An attempt that was given up as the servers forget its key: the server reads slowly, or the
    // path to it is slow, and with a longer window it would have been waited for.
    bool given_up = never_sent || status == Status::Cancelled;
    isolated |= given_up && now >= repeat_deadline(open);
    if (!any_pending(open)) finish(open, isolated);
  }

  /// Tries another server beside answers that have begun and pause. A spoilt answer looks like one
  /// of a slow server until its deadline, and costs its caller no more than this.
  void hedge_paused(OpenRequest& open) {
    bool time_left = open.deadline - now > 2 * config.timer_granularity;
    if (any_awaited(open) || !time_left || retry_tokens < kPausedAnswerCost) return;
    if (send(open)) retry_tokens -= kPausedAnswerCost;
  }

  // ---- host list ----
  void schedule_list_request(Micros after) { add_timer(after, ++list_timer_token, kListTimer); }

  void handle_list_failure() {
    watching = watch_pending = false;
    double delay = kListRetryBackoff * (0.5 + random());
    schedule_list_request(static_cast<Micros>(
        std::min(delay, 0.8 * static_cast<double>(config.list_refresh_interval))));
  }

  void update_server(const Server& entry) {
    int new_index = free_indices.empty() ? static_cast<int>(servers.size()) : free_indices.back();
    auto [position, inserted] = index_by_id.try_emplace(entry.id, new_index);
    if (inserted && !free_indices.empty())
      free_indices.pop_back();
    else if (inserted)
      servers.emplace_back();
    ServerState& server = servers[position->second];
    bool restarted = entry.up_since != server.listed.up_since || !server.present;
    Server previous = std::move(server.listed);
    server.listed = entry;
    if (!std::isfinite(entry.weight) || entry.weight < 0) server.listed.weight = 1;
    if (entry.health == Health::Removed && entry.zone.empty())
      server.listed.zone = previous.zone, server.listed.cell = previous.cell;
    server.present = entry.health != Health::Removed;
    server.zone = &zones[zones.count(server.listed.zone) ? server.listed.zone : ""];
    // A new process: what was recorded about the old one no longer applies.
    if (restarted && server.present) {
      server.failure_score = 0, server.consecutive_ejections = 0, server.ejected_until = 0,
      server.recovery_start = 0;
      server.log_latency_ratio = 0, server.latency_samples = 0, server.load_live_fraction = 1,
      server.rejection_penalty = 0, server.failure_rates = {};
      server.slow_start_tokens = random(), server.slow_start_refilled_at = now;
    }
  }

  /// Erases removed servers that no open request refers to. Where each replaced machine returns
  /// under a new id, the state of old ones would otherwise grow without bound.
  void erase_removed_servers() {
    for (auto it = index_by_id.begin(); it != index_by_id.end();) {
      int i = it->second;
      if (servers[i].present || servers[i].references > 0) {
        ++it;
        continue;
      }
      for (auto& [key_hash, saved] : saved_seeds)
        if (saved.first_server == i) saved.first_server = -1;
      servers[i] = ServerState();
      free_indices.push_back(i);
      it = index_by_id.erase(it);
    }
  }

  void validate() const {
    auto is_fraction = [](double value) {
      return std::isfinite(value) && value >= 0 && value <= 1;
    };
    auto is_amount = [](double value) { return std::isfinite(value) && value >= 0; };
    require(!config.classes.empty(), "classes");
    for (const ClassSettings& class_settings : config.classes) {
      require(class_settings.latency_objective >= 0, "classes.aim");
      require(class_settings.deadline >= 0, "classes.deadline");
      require(class_settings.key_ttl >= 0, "classes.key_ttl");
      require(is_amount(class_settings.worth), "classes.worth");
      require(is_amount(class_settings.late_worth), "classes.late_worth");
    }
    for (const TenantSettings& tenant : config.tenants) {
      require(is_fraction(tenant.portion), "tenants.portion");
      require(is_amount(tenant.quota_per_s), "tenants.quota_per_s");
    }
    require(config.routers >= 1, "routers");
    require(config.max_attempts >= 1, "max_attempts");
    require(config.timer_granularity >= 0, "tick");
    require(config.answer_slack >= 0, "answer_slack");
    require(config.list_refresh_interval >= 0, "ask_within");
    require(config.drain_grace >= 0, "drain_grace");
    require(config.max_retry_after >= 0, "max_retry_after");
    require(config.slow_start_window >= 0, "cold_time");
    require(config.overload_window >= 0, "tip_after");
    require(is_fraction(config.slow_start_min_fraction), "cold_share");
    require(is_amount(config.overload_factor), "overload_factor");
    require(is_amount(config.cross_zone_charge), "cross_zone_charge");
  }

  /// Statistics of classes and tenants are kept by name.
  void apply_settings(const Settings& settings) {
    config = settings;
    validate();
    for (const std::string& zone : config.zones) zones[zone];
    std::vector<std::shared_ptr<ClassState>> new_classes;
    for (const ClassSettings& class_settings : config.classes) {
      auto known = class_of(class_settings.name);
      new_classes.push_back(std::make_shared<ClassState>(
          known && known->settings.name == class_settings.name ? *known : ClassState()));
      new_classes.back()->settings = class_settings;
    }
    classes = std::move(new_classes);
    std::map<std::string, double> kept_rates;
    for (const TenantSettings& tenant : config.tenants)
      kept_rates[tenant.name] = tenant_rates[tenant.name];
    tenant_rates.swap(kept_rates);
  }

  /// The class of this name; the first one if it is unknown.
  std::shared_ptr<ClassState> class_of(const std::string& name) const {
    for (const auto& class_state : classes)
      if (class_state->settings.name == name) return class_state;
    return classes.empty() ? nullptr : classes.front();
  }

  /// Starts a call of the public interface: advances the clock and clears the actions.
  void begin_call(Micros time) {
    now = std::max(now, time);
    actions.clear();
  }
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>()) {
  Impl& impl = *impl_;
  impl.apply_settings(settings);
  impl.rng_state = mix(seed);
  impl.now = impl.started_at = impl.rates_decayed_at = impl.admission_updated_at =
      impl.generation_start = now;
}
void Balancer::update_settings(const Settings& settings) {
  Settings old = impl_->config;
  try {
    impl_->apply_settings(settings);
  } catch (...) {
    impl_->config = std::move(old);
    throw;
  }
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

const Actions& Balancer::start(Micros now) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  if (impl.config.list_on_demand)
    impl.schedule_list_request(
        static_cast<Micros>(impl.random() * kListRequestJitterFraction *
                            static_cast<double>(impl.config.list_refresh_interval)));
  return impl.actions;
}

const Actions& Balancer::on_list(Micros now, ListScope scope, const std::vector<Server>& entries) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  if (scope == ListScope::Failed) {
    impl.handle_list_failure();
    return impl.actions;
  }
  if (scope != ListScope::Cached && impl.watch_pending)
    impl.watch_pending = false, impl.watching = true;
  if (scope != ListScope::Delta) {
    std::map<std::string, bool> listed_ids;
    for (const Server& entry : entries) listed_ids[entry.id] = true;
    for (auto& [id, i] : impl.index_by_id)
      if (!listed_ids.count(id))
        impl.servers[i].present = false, impl.servers[i].listed.health = Health::Removed;
  }
  for (const Server& entry : entries) impl.update_server(entry);
  impl.erase_removed_servers();
  impl.assign_slots();
  return impl.actions;
}

const Actions& Balancer::on_request(Micros now, const Request& request) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  auto [open, inserted] = impl.open_requests.find_or_insert(request.id);
  if (!inserted) return impl.actions;
  open.request = request;  // assigned, so that a recycled entry reuses its memory
  open.attempts.clear();
  open.closed = open.cache_missed = open.cached = open.reached_server = false;
  open.recent_requests = 0, open.seed = 0;
  open.class_state = impl.class_of(request.type);
  open.arrived_at = impl.now;
  open.deadline = impl.now + std::max<Micros>(0, request.remaining);
  impl.record_arrival(open);
  open.key_hash = hash_string(request.key);
  if (!request.key.empty()) impl.count_key(open);
  if (impl.should_shed(open) || !impl.send(open)) {
    impl.finish(open);
    impl.erase_if_done(request.id);
    return impl.actions;
  }
  // Leaves time for a final answer before the client's own timeout.
  impl.add_timer(request.remaining - 2 * impl.config.timer_granularity, request.id, kDeadlineTimer);
  return impl.actions;
}

const Actions& Balancer::on_response_start(Micros now, RequestId id, const std::string& server,
                                           int attempt, Micros) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  auto it = impl.open_requests.find(id);
  auto at = impl.index_by_id.find(server);
  if (it == impl.open_requests.end() || at == impl.index_by_id.end() || attempt < 0)
    return impl.actions;
  Impl::OpenRequest& open = it->second;
  impl.record_success(impl.servers[at->second]);
  // The response is streamed to the client from here on: no deadline and no further attempts.
  if (!open.closed)
    impl.record_result(open, true,
                       impl.now - open.arrived_at <= open.class_state->settings.latency_objective);
  open.closed = true;
  impl.cancel_pending(open, attempt);
  return impl.actions;
}

const Actions& Balancer::on_answer_pause(Micros now, RequestId id, int attempt) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  auto it = impl.open_requests.find(id);
  if (it == impl.open_requests.end() || it->second.closed || attempt < 0) return impl.actions;
  Impl::OpenRequest& open = it->second;
  if (attempt >= static_cast<int>(open.attempts.size())) return impl.actions;
  Impl::Attempt& paused = open.attempts[static_cast<std::size_t>(attempt)];
  if (paused.execution != Impl::Execution::Pending || paused.paused) return impl.actions;
  paused.paused = true;
  impl.record_server_failure(impl.servers[paused.server], Impl::kTimeouts, kHedgedTimeoutWeight);
  impl.hedge_paused(open);
  return impl.actions;
}

const Actions& Balancer::on_outcome(Micros now, const Outcome& outcome) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  auto it = impl.open_requests.find(outcome.id);
  if (it == impl.open_requests.end()) return impl.actions;
  Impl::OpenRequest& open = it->second;
  if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(open.attempts.size()))
    return impl.actions;
  Impl::Attempt& attempt = open.attempts[outcome.attempt];
  if (attempt.execution != Impl::Execution::Pending) return impl.actions;
  Impl::ServerState& server = impl.servers[attempt.server];
  --server.in_flight, --impl.total_in_flight;
  bool never_ran = outcome.status == Status::Overloaded ||
                   outcome.status == Status::ConnectFailed || outcome.status == Status::NotSent ||
                   outcome.status == Status::Miss;
  attempt.execution = never_ran ? Impl::Execution::NeverRan : Impl::Execution::MayHaveRun;
  bool connect_failed = outcome.status == Status::ConnectFailed;
  open.reached_server |= !connect_failed && outcome.status != Status::NotSent;
  if (outcome.status <= Status::Overloaded || connect_failed)
    impl.record_reachability(attempt.server, !connect_failed);
  impl.record_load_report(server, outcome.report);
  update_rate(impl.error_rate, outcome.status == Status::Error);
  update_rate(impl.overloaded_rate, outcome.status == Status::Overloaded);
  update_rate(impl.disconnect_rate,
              outcome.status == Status::StaleConnection || outcome.status == Status::Reset);
  update_rate(impl.unreachable_rate,
              outcome.status == Status::ConnectFailed || outcome.status == Status::Reset);
  switch (outcome.status) {
    case Status::Ok:
      impl.record_success(server);
      if (!impl.is_origin(server))
        impl.record_latency(server, *open.class_state, outcome.latency, true);
      break;
    case Status::Miss:
      impl.record_success(server);
      open.cache_missed = true;
      break;
    case Status::Overloaded:  // no evidence of a failed server
      impl.record_overloaded(server);
      break;
    case Status::Timeout:
      impl.record_server_failure(server, Impl::kTimeouts, 1);
      impl.record_latency(server, *open.class_state, outcome.latency, false);
      break;
    case Status::Error:
      impl.record_server_failure(server, Impl::kErrors, 0.5);
      break;
    case Status::Reset:
      impl.record_server_failure(server, Impl::kResets, 1);
      break;
    case Status::ConnectFailed:
      impl.record_failure(server, 1, impl.unreachable_rate);
      break;
    // Evidence about the connection only: a failed server refuses the next connection.
    case Status::StaleConnection:
    case Status::Cancelled:
    case Status::NotSent:
      break;
  }
  if (!open.closed && outcome.status == Status::Ok)
    impl.record_result(open, true,
                       impl.now - open.arrived_at <= open.class_state->settings.latency_objective);
  if (outcome.finished) {
    if (!open.closed) impl.cancel_pending(open);
    open.closed = true;
  } else {
    impl.retry_or_finish(open, attempt, outcome.status);
  }
  impl.erase_if_done(outcome.id);
  return impl.actions;
}

const Actions& Balancer::on_client_disconnect(Micros now, RequestId id) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  auto it = impl.open_requests.find(id);
  if (it == impl.open_requests.end()) return impl.actions;
  if (!it->second.closed) impl.cancel_pending(it->second);
  it->second.closed = true;
  impl.erase_if_done(id);
  return impl.actions;
}

const Actions& Balancer::on_timer(Micros now, std::uint64_t token) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  std::uint64_t kind = token & 3, id = token >> 2;
  if (kind == kListTimer) {
    if (id != impl.list_timer_token || impl.watching) return impl.actions;
    impl.watch_pending = true;
    impl.actions.push_back(Watch{});
    // Asks again if no answer comes at all.
    impl.schedule_list_request(impl.config.list_refresh_interval);
    return impl.actions;
  }
  auto it = impl.open_requests.find(id);
  if (it == impl.open_requests.end() || it->second.closed) return impl.actions;
  Impl::OpenRequest& open = it->second;
  if (kind == kDeadlineTimer) {
    // A request that arrived with less time than its latency objective is no sign of load: it is a
    // client's last retry. Such requests failed with the servers idle, were counted as overload,
    // and the shedding caused more retries.
    bool isolated = open.deadline - open.arrived_at < open.class_state->settings.latency_objective;
    for (const Impl::Attempt& attempt : open.attempts) {
      if (attempt.execution != Impl::Execution::Pending || !impl.is_timeout(open, attempt))
        continue;
      isolated |= impl.is_outlier(impl.servers[attempt.server], Impl::kTimeouts);
      impl.record_server_failure(impl.servers[attempt.server], Impl::kTimeouts,
                                 impl.timeout_weight());
    }
    impl.finish(open, isolated);
  } else if (kind == kHedgeTimer && !open.attempts.empty() &&
             open.attempts.back().execution == Impl::Execution::Pending &&
             impl.now - open.attempts.back().sent >= impl.attempt_timeout(open) / 2) {
    Impl::ServerState& server = impl.servers[open.attempts.back().server];
    impl.record_server_failure(server, Impl::kTimeouts, kHedgedTimeoutWeight);
    if (impl.hedge_tokens >= 1 && (!impl.shedding() || impl.is_outlier(server, Impl::kTimeouts))) {
      impl.hedge_tokens -= 1;
      impl.send(open);
    }
  }
  impl.erase_if_done(id);
  return impl.actions;
}

const Actions& Balancer::on_probe(Micros now, const std::string& server, Status status, Micros,
                                  const Report& report) {
  Impl& impl = *impl_;
  impl.begin_call(now);
  auto at = impl.index_by_id.find(server);
  if (at == impl.index_by_id.end()) return impl.actions;
  if (status == Status::Ok) impl.record_load_report(impl.servers[at->second], report);
  return impl.actions;
}

Balancer::Stats Balancer::stats() const {
  return {impl_->open_requests.size(), impl_->saved_seeds.size(),
          impl_->key_counts[0].size() + impl_->key_counts[1].size(), impl_->index_by_id.size(),
          impl_->draws};
}

std::string Balancer::preferred_server(const std::string& key) const {
  std::uint64_t seed = hash_string(key);
  int draws_left = kMaxDrawsPerWalk;
  int i = impl_->next_live_server(seed, draws_left);
  return i < 0 ? std::string() : impl_->servers[i].listed.id;
}

double Balancer::live_fraction(const std::string& server) const {
  auto at = impl_->index_by_id.find(server);
  return at == impl_->index_by_id.end() ? 0 : impl_->live_fraction(impl_->servers[at->second]);
}

}  // namespace violetusher
