// Every decision of violetusher, from top to bottom:
//   tunables, state, segments, saved seeds, server health, admission, attempts, list.
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

// ---- tunables ----
constexpr Micros kSecond = 1'000'000;
// Segments. 2^15 slots, 32 for a unit of weight: 1% of the interval for ten servers, 25% for 250.
constexpr int kSlotBits = 15;
constexpr int kSlotCount = 1 << kSlotBits;
constexpr int kSlotsPerWeightUnit = 32;
constexpr double kMaxCoverageFraction =
    0.5;                                  // beyond, every server's slots are halved until they fit
constexpr int kMaxDrawsPerWalk = 20'000;  // of one walk
// Saved seeds. One key may load a server with this multiple of a fair share before it is spread.
constexpr double kKeySpreadShareFactor = 0.7;
// Requests of one key, in windows' worth of own traffic, behind each server it is spread over. With
// one, a chance pair of a rare key made a second copy, and the fetches of them all jammed origins.
constexpr double kRequestsPerReplica = 2;
constexpr double kMaxSpreadErrorFraction =
    0.02;  // errors over the fleet past which no hot server adds copies
constexpr int kMaxInFlightLimitSkips =
    4;  // landings passed over because the server is at its limit
constexpr double kInFlightLimitFactor = 2.0;  // own attempts out, at most, over the mean server's
constexpr double kInFlightLimitBase = 3.0;    // and never under this many
// Nearness: a key is kept in the own zone once a copy there saves more worth than it costs.
// Worth lost by one more copy, in requests: its miss, and what it adds to a jammed origin.
constexpr double kMissCostInRequests = 2.0;
// One request tells less of a key than two do.
constexpr double kSeenOnceCostFactor = 1.5;
constexpr double kMaxZoneAffinityFraction =
    0.9;  // the part of foreign segments a popular key passes over
constexpr std::size_t kMaxTrackedKeys = 4096;  // keys counted per generation, also under a scan
constexpr Micros kKeyCountGeneration = 10 * kSecond;
// Server health. A failure adds its weight; dead at the threshold, doubt halves every
// kFailureScoreHalfLife.
constexpr double kEjectionFailureScore = 2.0;
constexpr double kMinBaselineFailureFraction =
    0.05;  // failures per attempt on a quiet day, at least
constexpr double kFleetFailureRateGain =
    0.04;  // weight of one attempt in the fleet's failure rates
constexpr double kFailureScoreHalfLife = 8.0 * kSecond;
constexpr double kServerFailureRateGain =
    0.1;  // weight of one attempt in a server's own failure rates
constexpr Micros kBaseEjectionTime = kSecond;     // the first time out of service
constexpr Micros kMaxEjectionTime = 8 * kSecond;  // doubled up to this
constexpr int kZoneEjectionServers = 3;           // servers of a zone, one after another
constexpr Micros kRecoveryRampTime = 3 * kSecond;
constexpr double kRecoveryRampMinFraction = 0.2;
constexpr double kMaxTimeoutWeightFactor =
    1.3;  // of kEjectionFailureScore, the most that one failure weighs
constexpr double kPanicEjectedFraction =
    0.7;                                    // more of the reachable servers judged dead: disbelieve
constexpr double kLatencyRatioGain = 0.25;  // weight of one latency in a server's mean log ratio
constexpr double kLatencyRatioHalfLife = 8.0 * kSecond;
constexpr double kSlowLatencyRatio = 1.8;  // latency ratio from which a server counts as slow
constexpr double kMinLiveFraction =
    0.06;  // a slow server keeps this part, so that it is still seen
constexpr double kMinLoadLiveFraction = 0.4;   // a hot one more: each swing of keys costs misses
constexpr double kOverloadUtilization = 0.85;  // busy cores from which a report makes a server hot
constexpr double kOverloadUtilizationMargin = 0.05;  // above the mean of the fleet
constexpr double kRejectionPenaltyFraction = 0.2;  // of the rest, given up for one refusal as full
constexpr double kRejectionPenaltyHalfLife = 15.0 * kSecond;
constexpr double kLoadShedRatePerSecond = 1.2;  // shedding per second and unit of heat, as exponent
constexpr double kLoadRecoveryRatePerSecond = 0.12;  // return per second, as exponent
constexpr double kMaxReportIntervalSeconds = 2;      // seconds one report may stand for
// Cold servers get this multiple of their fair, cold-weighted share at most.
constexpr double kSlowStartBudgetFactor = 1.3;
// What a cold server's budget saves up, as part of overload_window: with all of it, a hot key that
// came after a quiet spell spent twice the budget at once.
constexpr double kSlowStartBurstFraction = 0.4;
// And this part of what would push one over had warm servers been at the edge of their capacity.
constexpr double kSlowStartOverloadFraction = 0.5;
constexpr double kWarmServerRateGain = 0.02;  // of one refresh in what warm servers bear, about 5 s
// Attempts. Tokens per request for further attempts and for second copies, and their caps.
constexpr double kRetryTokensPerRequest = 0.03;
constexpr double kMaxRetryTokens = 10;
constexpr double kHedgeTokensPerRequest = 0.03;
constexpr double kMaxHedgeTokens = 3;
constexpr double kTimeoutLatencyQuantile = 0.95;  // latency quantile that patience is built on
constexpr double kAttemptTimeoutFactor = 2.0;
constexpr double kErrorAttributionScore =
    0.9;  // doubt from which errors are laid at the server's door
constexpr double kMinOutlierFailureFraction =
    0.25;  // failures per attempt from which they may be the server's own
constexpr double kFailureScoreReliefPerSuccess =
    0.5;  // of doubt, by one success of a server that stands out
constexpr double kMaxBenignDisconnectFraction =
    0.3;  // broken connections per attempt that are no sign of load
constexpr double kMaxRetriableErrorFraction =
    0.1;  // per attempt at the better half; past it no retries
// Admission: the shed level moves once per step by the part of answers that came late or never.
constexpr Micros kAdmissionInterval = kSecond / 4;
constexpr double kAdmissionCountDecayFactor = 0.75;  // of the counts, per step
// Answers presumed good. A door nearly shut sees few ends: by the one in ten that is late on a good
// day it stayed shut for a quarter of a minute with the servers idle.
constexpr double kPriorGoodResults = 6;
constexpr double kMaxBadResultFraction = 0.2;
// Per step, were all bad. Misses are cut fast, or the origin's queue, longer than clients wait,
// never drains; hits slowly, as swings leave servers idle.
constexpr double kAdmissionDecreaseFraction = 0.3;
constexpr double kCachedAdmissionDecreaseFraction = 0.1;
constexpr int kLikelyCachedRequests = 3;  // a key seen this often lately is likely held
constexpr double kAdmissionIncreaseFraction =
    0.25;  // of what is admitted, per step, when nothing ends badly
constexpr double kAdmissionIncreaseStep =
    0.05;  // and this much: by parts alone a door nearly shut stays so
constexpr double kMinAdmittedFraction = 0.03;
constexpr double kMinShedFactor = 0.4;  // the most and least worthy are refused at these multiples
constexpr double kMaxShedFactor = 1.4;
// List: how long after the start the first call may come, as part of list_refresh_interval, so that
// routers started together do not call together; and the mean pause after failed calls. It does not
// double: 6 s after discovery is back all that it has counts as told, and a second try may have to
// fit in.
constexpr double kListRequestJitterFraction = 0.4;
constexpr double kListRetryBackoff = kSecond;

constexpr double kRateWindowSeconds = 5;           // seconds over which rates fade
constexpr Micros kRefreshInterval = kSecond / 10;  // fleet-wide sums are renewed this often

std::uint64_t mix(std::uint64_t x) {  // splitmix64 finalizer
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t hash_string(std::string_view name) {  // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : name) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

std::uint64_t next_draw(std::uint64_t seed) {  // Knuth's MMIX generator
  return seed * 6364136223846793005ULL + 1442695040888963407ULL;
}

int slot_of(std::uint64_t draw) { return static_cast<int>(draw >> (64 - kSlotBits)); }
/// Where within its slot a draw lands, 0 to 1.
double position_in_slot(std::uint64_t draw) {
  return static_cast<double>((draw >> 17) & 0xffffffffULL) / 4294967296.0;
}

/// One attempt more in a rate of failures.
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
    int unreachable_in_row = 0,
        last_server = -1;      // servers in a row that could not be reached; the last one
    Micros ejected_until = 0;  // taken for cut off
  };
  struct ServerState {
    Server listed;
    bool present = false;                      // on the current list and ready or draining
    int in_flight = 0;                         // own attempts out
    int references = 0;                        // attempts of open requests that name it, out or not
    std::array<double, 3> failure_rates = {};  // per attempt, lately: see Failing
    double failure_score = 0;                  // weight of recent failures
    Micros failure_score_at = 0;
    int consecutive_ejections = 0;  // times judged dead without a success between
    Micros ejected_until = 0;
    Micros recovery_start = 0;     // start of the ramp after a dead spell; 0 = none
    double log_latency_ratio = 0;  // mean log of latency over the class's usual
    double latency_samples = 0;    // evidence behind it
    Micros latency_at = 0;
    double load_live_fraction = 1;  // live fraction by reported load
    double rejection_penalty = 0;   // part given up for refusals as full
    Micros rejection_penalty_at = 0;
    Micros report_at = 0;
    double slow_start_tokens = 0;
    Micros slow_start_refilled_at = 0;
    Zone* zone = nullptr;
  };
  enum FailureKind { kErrors, kResets, kTimeouts };
  enum class Execution { Pending, MayHaveRun, NeverRan };
  struct Attempt {
    int server;
    Micros sent;
    Execution execution = Execution::Pending;
  };
  struct ClassState {
    ClassSettings settings;
    double mean_log_latency = 0;  // usual log latency
    double latency_quantile = 0;  // latency at kTimeoutLatencyQuantile
    double samples = 0;
  };
  struct OpenRequest {
    Request request;
    std::shared_ptr<ClassState>
        class_state;             // as it was when the request came: settings may change
    int recent_requests = 0;     // times its key came lately
    bool cached = false;         // its key is likely held by a server
    std::uint64_t key_hash = 0;  // hash of its key
    std::uint64_t seed = 0;
    Micros arrived_at = 0;
    Micros deadline = 0;
    bool closed = false;
    bool reached_server = false;  // an attempt has come to a server
    bool cache_missed = false;    // aside mode: a cache held nothing
    std::vector<Attempt> attempts;
  };

  Settings config;
  std::uint64_t rng_state;
  Micros now = 0;
  std::vector<ServerState> servers;
  std::map<std::string, Zone> zones;       // by name; all that the settings don't name share one
  std::map<std::string, int> index_by_id;  // by id, so that walks over it are in id order
  std::vector<int> free_indices;           // places in `servers` of those that have left
  std::vector<int> slots = std::vector<int>(kSlotCount, -1);
  RecycledMap<OpenRequest> open_requests;
  struct SavedSeed {
    std::uint64_t seed = 0;  // of the last landing
    int landings = 0;        // landings since the walk began at the name
    int first_server = -1;   // server of the first of them
    double count = 0;        // own requests lately, fading with own traffic
    double counted_at = 0;   // value of `sent` then
  };
  RecycledMap<SavedSeed> saved_seeds;        // by name hash
  double requests_sent = 0, last_sweep = 0;  // own requests; and when stale seeds were dropped
  struct KeyCount {
    int count = 0;
    bool cached = false;  // its last read was answered, so some server holds it
  };
  std::array<std::unordered_map<std::uint64_t, KeyCount>, 2> key_counts;  // this generation, last
  Micros generation_start = 0;
  std::vector<std::shared_ptr<ClassState>> classes;
  std::map<std::string, double> tenant_rates;  // by name: new settings may list them otherwise
  double attempt_rate_sum = 0;                 // decayed count of attempts sent, in mean requests
  Micros rates_decayed_at = 0;
  Micros started_at = 0;
  double mean_work = 0;
  double mean_log_latency = 0;  // usual log latency over all classes
  double mean_queue = 0, mean_utilization = 0;
  int total_in_flight = 0;
  // Failures per attempt over the whole fleet, lately.
  double error_rate = 0, unreachable_rate = 0, overloaded_rate = 0, disconnect_rate = 0;
  std::array<double, 3> baseline_failure_rates = {};  // see renew_usual()
  std::array<double, 3> fleet_failure_rates = {};     // failures per attempt at any server
  double retry_tokens = kMaxRetryTokens / 2, hedge_tokens = kMaxHedgeTokens / 2;
  struct AdmissionState {
    double shed_fraction = 0;
    double good_results = 0, bad_results = 0;  // ends of what it let in
  };
  std::array<AdmissionState, 2> admission;  // for keys likely to be fetched, and for those held
  double mean_worth = 0;  // usual worth of a request, or per work where worth goes by request
  Micros admission_updated_at = 0;
  // renewed by refresh()
  Micros refreshed_at = -1;
  double live_fraction_sum = 1, live_weight_sum = 1, warm_weight_sum = 1, zone_affinity = 0;
  double warm_server_rate =
      0;  // requests per second and weight that this router's warm servers bear
  bool panic_mode = false;
  // list
  bool watching = false, watch_pending = false;
  std::uint64_t list_timer_token = 0;
  std::uint64_t draws = 0;
  std::vector<double> rate_scratch;  // of renew_usual(), for its memory alone
  Actions actions;

  /// What is left of 1 that halves every `half`.
  double decay(Micros since, double half) const {
    return std::exp2(-static_cast<double>(now - since) / half);
  }

  double random() {
    rng_state = mix(rng_state + 1);
    return static_cast<double>(rng_state >> 11) / 9007199254740992.0;
  }

  // ---- segments ----
  bool is_origin(const ServerState& server) const {
    return config.cache_aside && !config.origin_kind.empty() &&
           server.listed.kind == config.origin_kind;
  }

  void assign_slots() {
    std::fill(slots.begin(), slots.end(), -1);
    double unit = kSlotsPerWeightUnit, total = 0;
    for (const ServerState& server : servers)
      if (server.present && !is_origin(server))
        total += std::max(server.listed.weight, 0.0) * kSlotsPerWeightUnit;
    while (total > kMaxCoverageFraction * kSlotCount) unit /= 2, total /= 2;
    for (const auto& [id, i] : index_by_id) {  // lower ids first: ties go to them
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

  /// The part of its slots that a server is live over. Death, slow start, a slow machine and
  /// overload all act here, so each remaps only the keys of the part that is given up.
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
    // A cut between zones looks like many deaths and is believed as long as the own zone answers;
    // when the servers next door look dead as well, the fault is likely here or in the judgement.
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
    // Servers of the own zone that shed load loosen the pull to it; those out of service only as
    // far as fewer are elsewhere: where a few of each zone are out, crossing moves the load about.
    double local_live_fraction = local_servers > 0 ? local_live / local_servers : 0;
    // Where servers are few and met often, those next door feel each one that is out.
    if (ready > ejected && low_traffic())
      local_live_fraction = std::min(1.0, local_live_fraction * ready / (ready - ejected));
    zone_affinity = kMaxZoneAffinityFraction * local_live_fraction * local_live_fraction;
  }

  // ---- saved seeds ----
  /// Own requests over which a key is counted: kRequestsPerReplica times what makes
  /// kKeySpreadShareFactor of a fair share.
  double key_count_window() const {
    return kRequestsPerReplica * std::max(1.0, live_fraction_sum / kKeySpreadShareFactor);
  }

  /// The seed the request's walk starts from. Repeats draw onward from the saved seed until the key
  /// has been to as many servers as its share of the traffic needs; then its window ends and the
  /// walk begins at the name again. A key that one server can bear stays at its first landing, and
  /// a hot key's known spread outlives each wipe.
  SavedSeed& seed_for(std::uint64_t key_hash) {
    requests_sent += 1;
    double window = key_count_window();
    auto fade = [&](const SavedSeed& saved) {
      return saved.count * std::exp(-(requests_sent - saved.counted_at) / window);
    };
    if (requests_sent - last_sweep > window) {
      for (auto it = saved_seeds.begin(); it != saved_seeds.end();)
        it = fade(it->second) < 0.5 ? saved_seeds.drop(it) : std::next(it);
      last_sweep = requests_sent;
    }
    auto [saved, inserted] = saved_seeds.enter(key_hash);
    if (inserted) saved = SavedSeed();
    saved.count = fade(saved) + 1;
    saved.counted_at = requests_sent;
    // Some servers are hot by several middling keys, none of which would be spread for itself. Not
    // while the origin fails: each copy asks it.
    bool no_extra_replicas = saved.first_server < 0 || saved.count < kRequestsPerReplica ||
                             error_rate > kMaxSpreadErrorFraction;
    double per_server = kRequestsPerReplica *
                        (no_extra_replicas ? 1 : servers[saved.first_server].load_live_fraction);
    if (saved.landings == 0 || saved.landings >= saved.count / per_server)
      saved.seed = key_hash, saved.landings = 0;
    return saved;
  }

  /// Counts the key over the last one to two generations.
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

  /// How an admitted request ended. One that no server has begun tells nothing of who holds its
  /// key: the keys of a burst were refused by the door of fetches, time and again, and never came
  /// to be held again while servers stood idle.
  void record_result(const OpenRequest& open, bool answered, bool in_time) {
    AdmissionState& state = admission[open.cached];
    // One in ten comes late on a good day, and by the chance of the few ends at its doors a router
    // that meets servers seldom refused some of what comes all day. Nor does one that never came to
    // a server tell it of load: a zone that was cut off shut its doors to all others.
    bool load = !answered && (open.reached_server || any_pending(open));
    double bad = in_time ? 0 : load ? 1 : std::min(1.0, kSecond / request_interval());
    state.good_results += 1 - bad, state.bad_results += bad;
    auto it = key_counts[0].find(open.key_hash);
    if (it != key_counts[0].end() && (answered || may_have_run(open)))
      it->second.cached = answered && !open.request.write;
  }

  /// Whether a copy of the key in the own zone would pay. Where it would by one request of each
  /// router, no second one is waited for: each sees a key so seldom that some held it for popular
  /// and others did not, it had a home far off and one in each zone, and most requests crossed.
  bool zone_replica_pays(int seen) const {
    double peers = std::max(1.0, config.routers / std::max<double>(1, config.zones.size()));
    return config.cross_zone_charge * seen * peers >
           (seen >= 2 ? 1 : kSeenOnceCostFactor) * kMissCostInRequests;
  }

  bool at_in_flight_limit(const ServerState& server) const {
    double mean = total_in_flight / std::max(1.0, live_weight_sum);
    return server.in_flight >=
           kInFlightLimitBase + kInFlightLimitFactor * mean * server.listed.weight;
  }

  double slow_start_rate(
      const ServerState& server) const {  // requests per second this router may send
    // Over the nominal sizes: were it over the live ones, servers that shed load would push it to
    // the cold. And never more than warm servers were seen to bear: after a mass replacement the
    // fair share of the few that are left is more than they can do.
    double fair_rate = attempts_per_second() / std::max(1.0, warm_weight_sum);
    double max_rate =
        warm_server_rate > 0
            ? std::min(kSlowStartBudgetFactor * fair_rate,
                       kSlowStartOverloadFraction * config.overload_factor * warm_server_rate)
            : kSlowStartBudgetFactor * fair_rate;
    return slow_start_fraction(server) * server.listed.weight * max_rate;
  }

  /// A cold server's budget: tokens in units of a mean request. Every router keeps its own part, so
  /// that all together stay within the rule without agreeing. Tokens start at random under one, or
  /// many routers that each may send one request at once would tip a server together.
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
    int server = -1;
    std::uint64_t seed = 0;
  };

  /// Draws onward from `seed`, `left` times at most, to the next live segment; -1 without one.
  int next_live_server(std::uint64_t& seed, int& left) const {
    while (left-- > 0) {
      seed = next_draw(seed);
      int i = slots[slot_of(seed)];
      if (i >= 0 && position_in_slot(seed) < live_fraction(servers[i])) return i;
    }
    return -1;
  }

  /// Draws from `seed` to the next live segment whose server may take the request.
  Selection walk(std::uint64_t seed, const OpenRequest& open, bool prefer_local) {
    Selection fallback;
    int skipped = 0;
    double cost = cost_of(open);
    for (int left = kMaxDrawsPerWalk, before = left;; before = left) {
      int i = next_live_server(seed, left);
      draws += static_cast<std::uint64_t>(before - std::max(left, 0));
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

  /// Where the draws have run out: of the servers that may take the request, the one that ranks
  /// first for the key. Few servers, or slow ones, cover so little of the interval that walks miss
  /// them: one alone that answered 30 times slower than before had most of its keys refused.
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
  double latency_live_fraction(const ServerState& server) const {
    if (server.latency_samples < 2) return 1;
    double remaining = decay(server.latency_at, kLatencyRatioHalfLife);
    double ratio = std::exp(server.log_latency_ratio * remaining);
    return ratio > kSlowLatencyRatio ? kSlowLatencyRatio / ratio : 1;
  }

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

  void record_success(ServerState& server) {
    bool outlier = false;
    for (FailureKind kind : {kErrors, kResets, kTimeouts}) {
      outlier |= is_outlier(server, kind);
      update_rate(server.failure_rates[kind], false, kServerFailureRateGain);
      update_rate(fleet_failure_rates[kind], false);
    }
    if (server.recovery_start > 0 && now - server.recovery_start > kRecoveryRampTime)
      server.recovery_start = 0, server.consecutive_ejections = 0;
    // One that answers some requests and lets the others hang would never be left out otherwise.
    server.failure_score =
        outlier ? std::max(0.0, server.failure_score - kFailureScoreReliefPerSuccess) : 0;
  }

  /// A failure is evidence against the server only as far as it is unusual: when a stopped origin
  /// makes every server err, or overload makes all late, one more tells next to nothing (the
  /// log-likelihood ratio of dead against alive, in units of a failure on a quiet day).
  void record_failure(ServerState& server, double weight, double baseline) {
    weight *= std::log(std::max(baseline, kMinBaselineFailureFraction)) /
              std::log(kMinBaselineFailureFraction);
    server.failure_score *= decay(server.failure_score_at, kFailureScoreHalfLife);
    server.failure_score += weight;
    server.failure_score_at = now;
    if (server.failure_score < kEjectionFailureScore || now < server.ejected_until) return;
    // In times of meeting, or the spell would be over before the next request came.
    auto interval = static_cast<Micros>(std::min(request_interval(), 8.0 * kSecond));
    Micros ejection_time = std::min(std::max(kMaxEjectionTime, 4 * interval),
                                    std::max(kBaseEjectionTime, 2 * interval)
                                        << std::min(server.consecutive_ejections, 5));
    server.ejected_until =
        now + static_cast<Micros>(static_cast<double>(ejection_time) * (0.75 + 0.5 * random()));
    server.recovery_start = server.ejected_until;  // gradual from there
    server.consecutive_ejections = std::min(server.consecutive_ejections + 1, 8);
    server.failure_score = kEjectionFailureScore - 1;  // a trial's first failure is enough
    refreshed_at = -1;
  }

  /// A failure that tells of the server. What is usual is told by the better half of the servers:
  /// an origin that fails, a path that spoils answers and overload show there too, and then one
  /// server's failures tell next to nothing. By the mean of all, servers that failed every request
  /// within milliseconds passed for usual as soon as they were many, kept their keys and drew those
  /// of the others.
  void record_server_failure(ServerState& server, FailureKind kind, double weight) {
    update_rate(server.failure_rates[kind], true, kServerFailureRateGain);
    update_rate(fleet_failure_rates[kind], true);
    // Of servers that are met seldom most have not failed yet, whatever the fleet's state is: there
    // the better half always looks well.
    record_failure(
        server, weight,
        std::max(baseline_failure_rates[kind], low_traffic() ? fleet_failure_rates[kind] / 2 : 0));
  }

  /// What one stall weighs where own requests come to a server so far apart that the second one
  /// comes too late to be surer: a hundred routers never found out servers that hang. It may hurt
  /// where much stalls by chance.
  double timeout_weight() const {
    return std::clamp(request_interval() / kSecond, 1.0,
                      kEjectionFailureScore * kMaxTimeoutWeightFactor);
  }
  /// Time between two own requests to one server.
  double request_interval() const {
    return kSecond * live_fraction_sum / std::max(0.1, attempts_per_second());
  }
  bool low_traffic() const { return request_interval() > kSecond; }

  /// Whether a zone can be reached at all is told by its servers together: each of them is met too
  /// seldom to be found out while the zone is cut off, and requests waited for dials in vain. The
  /// first attempt after the spell ends or renews it.
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

  /// The server fails in this way far more often than the better half.
  bool is_outlier(const ServerState& server, FailureKind kind) const {
    return server.failure_rates[kind] >
           std::max(kMinOutlierFailureFraction, 3 * baseline_failure_rates[kind]);
  }

  /// The mean rate of the better half of the servers, for each way to fail.
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

  /// The part of its keys a server gives up for having been full. It returns with time alone: a
  /// fleet that tells no load never said that a server was calm again.
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
        // Against the fleet: were all hot servers to shed, nearly every key would move and miss.
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
    // A server that gave up most of its keys is seen rarely: its return goes by the time passed.
    double seconds = static_cast<double>(now - server.report_at) / kSecond;
    server.report_at = now;
    server.load_live_fraction *= std::exp(
        overload > 0 ? -kLoadShedRatePerSecond * overload * std::min(1.0, seconds)
                     : kLoadRecoveryRatePerSecond * std::min(kMaxReportIntervalSeconds, seconds));
    server.load_live_fraction = std::clamp(server.load_live_fraction, kMinLoadLiveFraction, 1.0);
  }

  // ---- admission ----
  double rate_decay() const {
    return std::exp(-static_cast<double>(now - rates_decayed_at) / (kRateWindowSeconds * kSecond));
  }

  double attempts_per_second()
      const {  // per second; not of arrivals: what is refused loads no server
    double window_seconds = std::max(
        0.2, std::min(kRateWindowSeconds, static_cast<double>(now - started_at) / kSecond));
    return attempt_rate_sum * rate_decay() / window_seconds;
  }

  double cost_of(const OpenRequest& open) const {
    if (!open.request.work || mean_work <= 0) {  // no hints: by the latency usual for the class
      const ClassState& class_state = *open.class_state;
      return class_state.samples < 5
                 ? 1
                 : std::clamp(std::exp(class_state.mean_log_latency - mean_log_latency), 0.2, 5.0);
    }
    return std::clamp(static_cast<double>(*open.request.work) / mean_work, 0.2, 5.0);
  }

  /// The admitted part shrinks a little while many admitted requests end unserved or late, and
  /// grows back otherwise, also without evidence: a level that waited for answers stayed up when
  /// few were left, and one that moved in large steps swung between refusing nearly all and a jam.
  /// Keys that were answered lately have a door of their own: a jammed origin makes the others end
  /// badly and leaves these alone, overloaded servers make both.
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

  /// Whether the request is turned away at the door.
  bool should_shed(const OpenRequest& open) {
    update_admission();
    const ClassSettings& class_settings = open.class_state->settings;
    double shed_fraction = admission[open.cached].shed_fraction;
    double probability = shed_fraction;
    // Around the mean worth of what comes, so that all together lose the shed part and no more:
    // taken from the best class, the bulk of the traffic was refused whole and servers stood idle.
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
    // By key, alike at every router: what is let in stays cached and is answered by hits, so a
    // fleet whose copies went void and whose origin is jammed fills again key by key, the wanted
    // ones first. Refusing at random, every key's misses went on and the origin never caught up.
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
  bool may_have_run(const OpenRequest& open) const {
    return std::any_of(open.attempts.begin(), open.attempts.end(),
                       [](const Attempt& a) { return a.execution != Execution::NeverRan; });
  }

  /// When the servers' memory of what a keyed request may have done begins to end.
  Micros repeat_deadline(const OpenRequest& open) const {
    Micros deadline = Send::kAnyTime;
    for (const Attempt& attempt : open.attempts)
      if (open.class_state->settings.effect == Effect::Keyed &&
          attempt.execution != Execution::NeverRan)
        deadline = std::min(deadline, attempt.sent + open.class_state->settings.key_ttl -
                                          2 * config.timer_granularity);
    return deadline;
  }

  /// Rules 2 and 3 for one more attempt at `server`.
  bool may_send(const OpenRequest& open, int index) const {
    const ServerState& to = servers[index];
    if (!usable(to) || static_cast<int>(open.attempts.size()) >= config.max_attempts) return false;
    if (!config.may_hedge && any_pending(open)) return false;
    const ClassSettings& class_settings = open.class_state->settings;
    if (class_settings.effect == Effect::Repeatable) return true;
    if (now >= repeat_deadline(open)) return false;
    for (const Attempt& attempt : open.attempts) {
      if (attempt.execution == Execution::NeverRan) continue;
      if (class_settings.effect == Effect::Once) return false;
      const Server& from = servers[attempt.server].listed;
      if (class_settings.group == Group::Zone && from.zone != to.listed.zone) return false;
      if (class_settings.group == Group::Cell && (from.cell < 0 || from.cell != to.listed.cell))
        return false;
    }
    return true;
  }

  bool may_refuse(const OpenRequest& open) const {
    const ClassSettings& class_settings = open.class_state->settings;
    if (class_settings.effect == Effect::Repeatable || !may_have_run(open)) return true;
    return class_settings.effect == Effect::Keyed && class_settings.group == Group::All;
  }

  void add_timer(Micros after, RequestId id, TimerKind kind) {
    actions.push_back(
        Timer{std::max<Micros>(after, 1), id << 2 | kind, kind == kListTimer ? 0 : id});
  }

  /// With `fault` it ends for a reason that tells nothing of load, so the doors don't count it.
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
    open_requests.drop(it);
  }

  Micros attempt_timeout(const OpenRequest& open) const {
    const ClassState& class_state = *open.class_state;
    double usual_latency = class_state.samples > 0
                               ? class_state.latency_quantile
                               : static_cast<double>(class_state.settings.latency_objective) / 2;
    return static_cast<Micros>(std::max(kAttemptTimeoutFactor * usual_latency,
                                        4.0 * static_cast<double>(config.timer_granularity)));
  }

  /// Whether an attempt that is out when the client's time ends is a stall: out for longer than
  /// nearly all take, as clients give a try up before patience() ends where misses take long. Not
  /// where servers are met often: there an overload looks like many stalls.
  bool is_timeout(const OpenRequest& open, const Attempt& attempt) const {
    auto timeout = static_cast<double>(attempt_timeout(open));
    double usual_latency = std::max(open.class_state->latency_quantile,
                                    4.0 * static_cast<double>(config.timer_granularity));
    return static_cast<double>(now - attempt.sent) >
           (low_traffic() ? std::min(timeout, usual_latency) : timeout);
  }

  /// Aside mode: writes, and reads that a cache answered with a miss, go to the origin.
  bool needs_origin(const OpenRequest& open) const {
    return config.cache_aside && !config.origin_kind.empty() &&
           (open.request.write || open.cache_missed);
  }

  /// The origin is never carved: its usable member with the fewest own attempts out.
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

  /// Sends the request onward along its walk; false when no server may take it.
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
    // Admitted ones only: clients repeat what is refused, which is no use of the quota.
    auto tenant = tenant_rates.find(open.request.tenant);
    if (first && tenant != tenant_rates.end()) tenant->second += 1;
    if (saved) {
      if (saved->landings++ == 0) saved->first_server = selection.server;
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
    if (may_repeat && timeout * 3 / 2 < remaining &&
        !is_origin(server)) {  // never a second copy at the origin
      if (config.may_hedge)
        add_timer(timeout, open.request.id, kHedgeTimer);
      else
        attempt_limit = timeout;
    }
    actions.push_back(Send{open.request.id, server.listed.id, attempt_limit, send_before});
  }

  /// A broken connection, or a failure of a server that stands out by it: the fault of one server
  /// or one connection. It is no sign of overload, so it closes no door, and another server is
  /// worth a try also while requests are refused. It should cover spoilt answers, crashes and
  /// servers that fail whatever they get; it hurts where servers that are overloaded break
  /// connections instead of refusing.
  bool is_isolated_failure(Status status, const ServerState& server) const {
    if (status == Status::Error) return is_outlier(server, kErrors);
    if (status == Status::Timeout) return is_outlier(server, kTimeouts);
    return status == Status::Reset || status == Status::StaleConnection;
  }

  void retry_or_finish(OpenRequest& open, Status status) {
    if (open.closed || any_pending(open)) return;
    const ServerState& server = servers[open.attempts.back().server];
    bool isolated = is_isolated_failure(status, server);
    bool never_sent = status == Status::ConnectFailed || status == Status::NotSent;
    bool never_ran = status == Status::Overloaded || never_sent;
    // The first break of a kept connection is tried again whatever the budget holds, as it tells
    // nothing of the load. This should cover time-outs of idle connections on the way and restarts
    // behind a balancer; it hurts where servers that are overloaded break connections, so not once
    // more than a few do.
    bool stale_connection = status == Status::StaleConnection && open.attempts.size() == 1 &&
                            disconnect_rate < kMaxBenignDisconnectFraction;
    double cost = stale_connection ? 0 : never_ran ? 0.25 : isolated ? 0.5 : 1;
    bool time_left = open.deadline - now > 2 * config.timer_granularity;
    if (status == Status::Miss && time_left && send(open)) return;  // no failure: no tokens
    // A fetch that failed ends in an error, and another server would only ask the origin once more:
    // what jams it. Errors are worth a retry where they come from one server and not from others.
    bool no_retry = status == Status::Error && !isolated &&
                    (baseline_failure_rates[kErrors] > kMaxRetriableErrorFraction ||
                     server.failure_score < kErrorAttributionScore);
    // Nor anything while requests are refused: a retry would take the place of a first try. A
    // refused connection cost nobody.
    no_retry |= !never_sent && !isolated && shedding();
    if (!no_retry && time_left && retry_tokens >= cost) {
      retry_tokens -= cost;
      if (send(open)) return;
    }
    finish(open, isolated);
  }

  // ---- list ----
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
    if (restarted && server.present) {  // a new process: what was held against the old one is void
      server.failure_score = 0, server.consecutive_ejections = 0, server.ejected_until = 0,
      server.recovery_start = 0;
      server.log_latency_ratio = 0, server.latency_samples = 0, server.load_live_fraction = 1,
      server.rejection_penalty = 0, server.failure_rates = {};
      server.slow_start_tokens = random(), server.slow_start_refilled_at = now;
    }
  }

  /// Forgets servers that have left once no open request names them: where each machine that is
  /// replaced comes back under a new id, all that is kept of old ones would grow for ever.
  void erase_removed_servers() {
    for (auto it = index_by_id.begin(); it != index_by_id.end();) {
      int i = it->second;
      if (servers[i].present || servers[i].references > 0) {
        ++it;
        continue;
      }
      for (auto& [name, seed] : saved_seeds)
        if (seed.first_server == i) seed.first_server = -1;
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

  /// What was seen of a class or tenant is kept under its name.
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

  /// An unknown one is treated as the first.
  std::shared_ptr<ClassState> class_of(const std::string& name) const {
    for (const auto& class_state : classes)
      if (class_state->settings.name == name) return class_state;
    return classes.empty() ? nullptr : classes.front();
  }

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
    std::map<std::string, bool> references;
    for (const Server& entry : entries) references[entry.id] = true;
    for (auto& [id, i] : impl.index_by_id)
      if (!references.count(id))
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
  auto [open, inserted] = impl.open_requests.enter(request.id);
  if (!inserted) return impl.actions;
  open.request = request;  // by assignment: an entry that was used before keeps its memory
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
  // The last moment for an answer of our own, a little ahead of the client's.
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
  // The stream belongs to the client from here: no deadline, no further attempts.
  if (!open.closed)
    impl.record_result(open, true,
                       impl.now - open.arrived_at <= open.class_state->settings.latency_objective);
  open.closed = true;
  impl.cancel_pending(open, attempt);
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
  bool unreachable_rate = outcome.status == Status::ConnectFailed;
  open.reached_server |= !unreachable_rate && outcome.status != Status::NotSent;
  if (outcome.status <= Status::Overloaded || unreachable_rate)
    impl.record_reachability(attempt.server, !unreachable_rate);
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
    case Status::Overloaded:  // overloaded, not dead
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
    case Status::StaleConnection:  // tells of the connection: a server that is dead refuses the
                                   // next one
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
    impl.retry_or_finish(open, outcome.status);
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
    impl.schedule_list_request(
        impl.config.list_refresh_interval);  // asks again should no answer come at all
    return impl.actions;
  }
  auto it = impl.open_requests.find(id);
  if (it == impl.open_requests.end() || it->second.closed) return impl.actions;
  Impl::OpenRequest& open = it->second;
  if (kind == kDeadlineTimer) {
    // Nor does the end of one that came with less time than its aim tell of load: a client's last
    // retries. They ended unserved on idle servers, shut the doors, and brought on more retries.
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
    impl.record_server_failure(server, Impl::kTimeouts, 0.5);
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
  int left = kMaxDrawsPerWalk;
  int i = impl_->next_live_server(seed, left);
  return i < 0 ? std::string() : impl_->servers[i].listed.id;
}

double Balancer::live_fraction(const std::string& server) const {
  auto at = impl_->index_by_id.find(server);
  return at == impl_->index_by_id.end() ? 0 : impl_->live_fraction(impl_->servers[at->second]);
}

}  // namespace violetusher
