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
constexpr int kSlots = 1 << kSlotBits;
constexpr int kSlotsPerUnit = 32;
constexpr double kMaxCoverage = 0.5;  // beyond, every server's slots are halved until they fit
constexpr int kMaxDraws = 20'000;     // of one walk
// Saved seeds. One key may load a server with this multiple of a fair share before it is spread.
constexpr double kKeyShare = 0.7;
// Requests of one key, in windows' worth of own traffic, behind each server it is spread over. With
// one, a chance pair of a rare key made a second copy, and the fetches of them all jammed origins.
constexpr double kWindows = 2;
constexpr double kCopyErrors = 0.02;  // errors over the fleet past which no hot server adds copies
constexpr int kMaxOverflow = 4;       // landings passed over because the server is at its limit
constexpr double kInFlightFactor = 2.0;  // own attempts out, at most, over the mean server's
constexpr double kInFlightFloor = 3.0;   // and never under this many
// Nearness: a key is kept in the own zone once a copy there saves more worth than it costs.
// Worth lost by one more copy, in requests: its miss, and what it adds to a jammed origin.
constexpr double kMissCost = 2.0;
// One request tells less of a key than two do.
constexpr double kOnce = 1.5;
constexpr double kMaxNearPull = 0.9;       // the part of foreign segments a popular key passes over
constexpr std::size_t kMaxTracked = 4096;  // keys counted per generation, also under a scan
constexpr Micros kGeneration = 10 * kSecond;
// Server health. A failure adds its weight; dead at the threshold, doubt halves every kDoubtHalf.
constexpr double kDeadAt = 2.0;
constexpr double kUsualFailure = 0.05;  // failures per attempt on a quiet day, at least
constexpr double kFailureGain = 0.04;   // weight of one attempt in the fleet's failure rates
constexpr double kDoubtHalf = 8.0 * kSecond;
constexpr double kOwnGain = 0.1;          // weight of one attempt in a server's own failure rates
constexpr Micros kDeadFirst = kSecond;    // the first time out of service
constexpr Micros kDeadMax = 8 * kSecond;  // doubled up to this
constexpr int kCutAfter = 3;              // servers of a zone, one after another
constexpr Micros kReturnRamp = 3 * kSecond;
constexpr double kReturnFrom = 0.2;
constexpr double kSureOf = 1.3;      // of kDeadAt, the most that one failure weighs
constexpr double kDoubtAll = 0.7;    // more of the reachable servers judged dead: disbelieve
constexpr double kSlowAlpha = 0.25;  // weight of one latency in a server's mean log ratio
constexpr double kSlowHalf = 8.0 * kSecond;
constexpr double kSlowFrom = 1.8;    // latency ratio from which a server counts as slow
constexpr double kLiveFloor = 0.06;  // a slow server keeps this part, so that it is still seen
constexpr double kHotFloor = 0.4;    // a hot one more: each swing of keys costs misses
constexpr double kHotUtil = 0.85;    // busy cores from which a report makes a server hot
constexpr double kHotMargin = 0.05;  // above the mean of the fleet
constexpr double kFullGives = 0.2;   // of the rest, given up for one refusal as full
constexpr double kFullHalf = 15.0 * kSecond;
constexpr double kHotRate = 1.2;    // shedding per second and unit of heat, as exponent
constexpr double kCoolRate = 0.12;  // return per second, as exponent
constexpr double kCoolSpan = 2;     // seconds one report may stand for
// Cold servers get this multiple of their fair, cold-weighted share at most.
constexpr double kColdBudget = 1.3;
// What a cold server's budget saves up, as part of overload_window: with all of it, a hot key that
// came after a quiet spell spent twice the budget at once.
constexpr double kColdBurst = 0.4;
// And this part of what would push one over had warm servers been at the edge of their capacity.
constexpr double kColdBorne = 0.5;
constexpr double kBorneGain = 0.02;  // of one refresh in what warm servers bear, about 5 s
// Attempts. Tokens per request for further attempts and for second copies, and their caps.
constexpr double kRetryPerRequest = 0.03;
constexpr double kRetryCap = 10;
constexpr double kCopyPerRequest = 0.03;
constexpr double kCopyCap = 3;
constexpr double kQuantile = 0.95;  // latency quantile that patience is built on
constexpr double kPatienceFactor = 2.0;
constexpr double kServerErrs = 0.9;  // doubt from which errors are laid at the server's door
constexpr double kOwnFault = 0.25;   // failures per attempt from which they may be the server's own
constexpr double kRelief = 0.5;      // of doubt, by one success of a server that stands out
constexpr double kUsualBreaks = 0.3;   // broken connections per attempt that are no sign of load
constexpr double kFutileErrors = 0.1;  // per attempt at the better half; past it no retries
// Admission: the shed level moves once per step by the part of answers that came late or never.
constexpr Micros kShedStep = kSecond / 4;
constexpr double kShedFade = 0.75;  // of the counts, per step
// Answers presumed good. A door nearly shut sees few ends: by the one in ten that is late on a good
// day it stayed shut for a quarter of a minute with the servers idle.
constexpr double kShedPrior = 6;
constexpr double kShedBad = 0.2;
// Per step, were all bad. Misses are cut fast, or the origin's queue, longer than clients wait,
// never drains; hits slowly, as swings leave servers idle.
constexpr double kAdmitCut = 0.3;
constexpr double kAdmitCutHeld = 0.1;
constexpr int kWantedSeen = 3;       // a key seen this often lately is likely held
constexpr double kAdmitGrow = 0.25;  // of what is admitted, per step, when nothing ends badly
constexpr double kAdmitStep = 0.05;  // and this much: by parts alone a door nearly shut stays so
constexpr double kAdmitMin = 0.03;
constexpr double kShedLeast = 0.4;  // the most and least worthy are refused at these multiples
constexpr double kShedMost = 1.4;
// List: how long after the start the first call may come, as part of list_refresh_interval, so that
// routers started together do not call together; and the mean pause after failed calls. It does not
// double: 6 s after discovery is back all that it has counts as told, and a second try may have to
// fit in.
constexpr double kAskSpread = 0.4;
constexpr double kAskPause = kSecond;

constexpr double kRateSpan = 5;            // seconds over which rates fade
constexpr Micros kRefresh = kSecond / 10;  // fleet-wide sums are renewed this often

std::uint64_t mix(std::uint64_t x) {  // splitmix64 finalizer
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t hash_name(std::string_view name) {  // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : name) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

std::uint64_t next_draw(std::uint64_t seed) {  // Knuth's MMIX generator
  return seed * 6364136223846793005ULL + 1442695040888963407ULL;
}

int slot_of(std::uint64_t draw) { return static_cast<int>(draw >> (64 - kSlotBits)); }
/// Where within its slot a draw lands, 0 to 1.
double depth_of(std::uint64_t draw) {
  return static_cast<double>((draw >> 17) & 0xffffffffULL) / 4294967296.0;
}

/// One attempt more in a rate of failures.
void follow(double& rate, bool failed, double gain = kFailureGain) {
  rate += gain * (failed - rate);
}

enum TimerKind : std::uint64_t { kDeadlineTimer, kCopyTimer, kAskTimer };

void require(bool ok, const std::string& name) {
  if (!ok) throw std::invalid_argument("setting " + name + " cannot be used");
}

}  // namespace

struct Balancer::Impl {
  // ---- state ----
  struct Zone {
    int lost = 0, last = -1;  // servers in a row that could not be reached; the last one
    Micros until = 0;         // taken for cut off
  };
  struct ServerState {
    Server listed;
    bool present = false;                // on the current list and ready or draining
    int in_flight = 0;                   // own attempts out
    int named = 0;                       // attempts of open requests that name it, out or not
    std::array<double, 3> failing = {};  // per attempt, lately: see Failing
    double doubt = 0;                    // weight of recent failures
    Micros doubt_at = 0;
    int strikes = 0;  // times judged dead without a success between
    Micros dead_until = 0;
    Micros returned_at = 0;  // start of the ramp after a dead spell; 0 = none
    double slow_log = 0;     // mean log of latency over the class's usual
    double slow_seen = 0;    // evidence behind it
    Micros slow_at = 0;
    double load_live = 1;  // live fraction by reported load
    double crowded = 0;    // part given up for refusals as full
    Micros crowded_at = 0;
    Micros report_at = 0;
    double cold_tokens = 0;
    Micros cold_at = 0;
    Zone* zone = nullptr;
  };
  enum Failing { kErrors, kResets, kStalls };
  enum class Ran { Out, Maybe, Never };
  struct Attempt {
    int server;
    Micros sent;
    Ran ran = Ran::Out;
  };
  struct ClassState {
    ClassSettings rules;
    double mean_log = 0;  // usual log latency
    double quantile = 0;  // latency at kQuantile
    double seen = 0;
  };
  struct Open {
    Request request;
    std::shared_ptr<ClassState> cls;  // as it was when the request came: settings may change
    int seen = 0;                     // times its key came lately
    bool held = false;                // its key is likely held by a server
    std::uint64_t name = 0;           // hash of its key
    std::uint64_t seed = 0;
    Micros came = 0;
    Micros deadline = 0;
    bool closed = false;
    bool reached = false;  // an attempt has come to a server
    bool missed = false;   // aside mode: a cache held nothing
    std::vector<Attempt> attempts;
  };

  Settings set;
  std::uint64_t rng;
  Micros now = 0;
  std::vector<ServerState> servers;
  std::map<std::string, Zone> zones;  // by name; all that the settings don't name share one
  std::map<std::string, int> index;   // by id, so that walks over it are in id order
  std::vector<int> spare;             // places in `servers` of those that have left
  std::vector<int> slots = std::vector<int>(kSlots, -1);
  RecycledMap<Open> open;
  struct Saved {
    std::uint64_t seed = 0;  // of the last landing
    int drawn = 0;           // landings since the walk began at the name
    int home = -1;           // server of the first of them
    double count = 0;        // own requests lately, fading with own traffic
    double at = 0;           // value of `sent` then
  };
  RecycledMap<Saved> saved;    // by name hash
  double sent = 0, swept = 0;  // own requests; and when stale seeds were dropped
  struct Seen {
    int times = 0;
    bool held = false;  // its last read was answered, so some server holds it
  };
  std::array<std::unordered_map<std::uint64_t, Seen>, 2> counts;  // this generation, last
  Micros generation_at = 0;
  std::vector<std::shared_ptr<ClassState>> classes;
  std::map<std::string, double> tenant_rate;  // by name: new settings may list them otherwise
  double rate_sum = 0;                        // decayed count of attempts sent, in mean requests
  Micros rate_at = 0;
  Micros born = 0;
  double mean_work = 0;
  double mean_log = 0;  // usual log latency over all classes
  double queue_mean = 0, util_mean = 0;
  int total_in_flight = 0;
  // Failures per attempt over the whole fleet, lately.
  double errors = 0, unreachable = 0, full = 0, broken = 0;
  std::array<double, 3> usual_failing = {};  // see renew_usual()
  std::array<double, 3> pooled = {};         // failures per attempt at any server
  double retry_tokens = kRetryCap / 2, copy_tokens = kCopyCap / 2;
  struct Door {
    double shed = 0;
    double good = 0, bad = 0;  // ends of what it let in
  };
  std::array<Door, 2> doors;  // for keys likely to be fetched, and for those held
  double mean_value = 0;      // usual worth of a request, or per work where worth goes by request
  Micros shed_at = 0;
  // renewed by refresh()
  Micros refreshed = -1;
  double live_sum = 1, weight_sum = 1, warm_sum = 1, near_pull = 0;
  double borne = 0;  // requests per second and weight that this router's warm servers bear
  bool disbelieve = false;
  // list
  bool watching = false, asking = false;
  std::uint64_t ask_token = 0;
  std::uint64_t draws = 0;
  std::vector<double> rates;  // of renew_usual(), for its memory alone
  Actions out;

  /// What is left of 1 that halves every `half`.
  double halved(Micros since, double half) const {
    return std::exp2(-static_cast<double>(now - since) / half);
  }

  double random() {
    rng = mix(rng + 1);
    return static_cast<double>(rng >> 11) / 9007199254740992.0;
  }

  // ---- segments ----
  bool is_origin(const ServerState& s) const {
    return set.cache_aside && !set.origin_kind.empty() && s.listed.kind == set.origin_kind;
  }

  void carve() {
    std::fill(slots.begin(), slots.end(), -1);
    double unit = kSlotsPerUnit, total = 0;
    for (const ServerState& s : servers)
      if (s.present && !is_origin(s)) total += std::max(s.listed.weight, 0.0) * kSlotsPerUnit;
    while (total > kMaxCoverage * kSlots) unit /= 2, total /= 2;
    for (const auto& [id, i] : index) {  // lower ids first: ties go to them
      const ServerState& s = servers[i];
      if (!s.present || is_origin(s)) continue;
      int want = std::max(1, static_cast<int>(std::lround(s.listed.weight * unit)));
      std::uint64_t seed = hash_name(id);
      for (int tries = 0; want > 0 && tries < kSlots; ++tries) {
        seed = next_draw(seed);
        int& slot = slots[slot_of(seed)];
        if (slot < 0) slot = i, --want;
      }
    }
    refreshed = -1;
  }

  bool usable(const ServerState& s) const { return s.present && s.listed.health == Health::Ready; }

  bool cold(const ServerState& s) const {
    return s.listed.up_since > 0 && now - s.listed.up_since < set.slow_start_window;
  }

  double warmth(const ServerState& s) const {
    if (!cold(s)) return 1;
    double age = static_cast<double>(std::max<Micros>(0, now - s.listed.up_since)) /
                 static_cast<double>(set.slow_start_window);
    return set.slow_start_min_fraction + (1 - set.slow_start_min_fraction) * age;
  }

  /// The part of its slots that a server is live over. Death, slow start, a slow machine and
  /// overload all act here, so each remaps only the keys of the part that is given up.
  double live(const ServerState& s) const {
    if (!usable(s)) return 0;
    double part = warmth(s) * std::max(kLiveFloor, s.load_live * (1 - crowding(s)) * slow_part(s));
    if (!disbelieve) {
      if (out_of_service(s)) return 0;
      if (s.returned_at > 0) {
        double back = static_cast<double>(now - s.returned_at) / kReturnRamp;
        part *= std::min(1.0, kReturnFrom + (1 - kReturnFrom) * back);
      }
    }
    return part;
  }

  bool out_of_service(const ServerState& s) const {
    return now < std::max(s.dead_until, s.zone->until);
  }

  void refresh() {
    if (refreshed >= 0 && now - refreshed < kRefresh) return;
    refreshed = now;
    renew_usual();
    double ready = 0, dead = 0, near_ready = 0, near_dead = 0;
    for (const ServerState& s : servers) {
      if (!usable(s) || is_origin(s)) continue;
      bool near = s.listed.zone == set.zone;
      ready += 1, near_ready += near;
      if (out_of_service(s)) dead += 1, near_dead += near;
    }
    // A cut between zones looks like many deaths and is believed as long as the own zone answers;
    // when the servers next door look dead as well, the fault is likely here or in the judgement.
    disbelieve = near_ready > 0 ? near_dead > kDoubtAll * near_ready && dead > kDoubtAll * ready
                                : dead > kDoubtAll * ready;
    double near_live = 0, near_weight = 0, nominal = 0;
    live_sum = weight_sum = warm_sum = 0;
    for (const ServerState& s : servers) {
      if (!usable(s) || is_origin(s)) continue;
      double part = live(s);
      live_sum += part, weight_sum += part * s.listed.weight;
      warm_sum += warmth(s) * s.listed.weight;
      nominal += s.listed.weight;
      if (s.listed.zone == set.zone) near_live += part, near_weight += 1;
    }
    if (warm_sum > 0.8 * nominal && warm_sum > 0) {
      double fair = sent_rate() / warm_sum;
      borne += (borne <= 0 ? 1 : kBorneGain) * (fair - borne);
    }
    // Servers of the own zone that shed load loosen the pull to it; those out of service only as
    // far as fewer are elsewhere: where a few of each zone are out, crossing moves the load about.
    double rest = near_weight > 0 ? near_live / near_weight : 0;
    // Where servers are few and met often, those next door feel each one that is out.
    if (ready > dead && seldom()) rest = std::min(1.0, rest * ready / (ready - dead));
    near_pull = kMaxNearPull * rest * rest;
  }

  // ---- saved seeds ----
  /// Own requests over which a key is counted: kWindows times what makes kKeyShare of a fair share.
  double horizon() const { return kWindows * std::max(1.0, live_sum / kKeyShare); }

  /// The seed the request's walk starts from. Repeats draw onward from the saved seed until the key
  /// has been to as many servers as its share of the traffic needs; then its window ends and the
  /// walk begins at the name again. A key that one server can bear stays at its first landing, and
  /// a hot key's known spread outlives each wipe.
  Saved& seed_of(std::uint64_t name) {
    sent += 1;
    double span = horizon();
    auto fade = [&](const Saved& s) { return s.count * std::exp(-(sent - s.at) / span); };
    if (sent - swept > span) {
      for (auto it = saved.begin(); it != saved.end();)
        it = fade(it->second) < 0.5 ? saved.drop(it) : std::next(it);
      swept = sent;
    }
    auto [s, fresh] = saved.enter(name);
    if (fresh) s = Saved();
    s.count = fade(s) + 1;
    s.at = sent;
    // Some servers are hot by several middling keys, none of which would be spread for itself. Not
    // while the origin fails: each copy asks it.
    bool calm = s.home < 0 || s.count < kWindows || errors > kCopyErrors;
    double per_server = kWindows * (calm ? 1 : servers[s.home].load_live);
    if (s.drawn == 0 || s.drawn >= s.count / per_server) s.seed = name, s.drawn = 0;
    return s;
  }

  /// Counts the key over the last one to two generations.
  void count_key(Open& o) {
    if (now - generation_at > kGeneration || counts[0].size() >= kMaxTracked) {
      counts[1] = std::move(counts[0]);
      counts[0].clear();
      generation_at = now;
    }
    auto [it, fresh] = counts[0].try_emplace(o.name);
    auto old = counts[1].find(o.name);
    if (fresh && old != counts[1].end()) it->second.held = old->second.held;
    o.seen = ++it->second.times + (old != counts[1].end() ? old->second.times : 0);
    o.held = it->second.held && !o.request.write;
  }

  /// How an admitted request ended. One that no server has begun tells nothing of who holds its
  /// key: the keys of a burst were refused by the door of fetches, time and again, and never came
  /// to be held again while servers stood idle.
  void note_end(const Open& o, bool answered, bool in_time) {
    Door& d = doors[o.held];
    // One in ten comes late on a good day, and by the chance of the few ends at its doors a router
    // that meets servers seldom refused some of what comes all day. Nor does one that never came to
    // a server tell it of load: a zone that was cut off shut its doors to all others.
    bool load = !answered && (o.reached || any_out(o));
    double bad = in_time ? 0 : load ? 1 : std::min(1.0, kSecond / meeting());
    d.good += 1 - bad, d.bad += bad;
    auto it = counts[0].find(o.name);
    if (it != counts[0].end() && (answered || may_have_run(o)))
      it->second.held = answered && !o.request.write;
  }

  /// Whether a copy of the key in the own zone would pay. Where it would by one request of each
  /// router, no second one is waited for: each sees a key so seldom that some held it for popular
  /// and others did not, it had a home far off and one in each zone, and most requests crossed.
  bool popular(int seen) const {
    double peers = std::max(1.0, set.routers / std::max<double>(1, set.zones.size()));
    return set.cross_zone_charge * seen * peers > (seen >= 2 ? 1 : kOnce) * kMissCost;
  }

  bool at_limit(const ServerState& s) const {
    double mean = total_in_flight / std::max(1.0, weight_sum);
    return s.in_flight >= kInFlightFloor + kInFlightFactor * mean * s.listed.weight;
  }

  double cold_rate(const ServerState& s) const {  // requests per second this router may send
    // Over the nominal sizes: were it over the live ones, servers that shed load would push it to
    // the cold. And never more than warm servers were seen to bear: after a mass replacement the
    // fair share of the few that are left is more than they can do.
    double fair = sent_rate() / std::max(1.0, warm_sum);
    double most = borne > 0 ? std::min(kColdBudget * fair, kColdBorne * set.overload_factor * borne)
                            : kColdBudget * fair;
    return warmth(s) * s.listed.weight * most;
  }

  /// A cold server's budget: tokens in units of a mean request. Every router keeps its own part, so
  /// that all together stay within the rule without agreeing. Tokens start at random under one, or
  /// many routers that each may send one request at once would tip a server together.
  bool cold_has_room(ServerState& s, double cost) {
    if (!cold(s)) return true;
    double rate = cold_rate(s);
    double cap =
        std::max(1.0, kColdBurst * rate * static_cast<double>(set.overload_window) / kSecond);
    s.cold_tokens += rate * static_cast<double>(now - s.cold_at) / kSecond;
    s.cold_tokens = std::min(s.cold_tokens, cap);
    s.cold_at = now;
    return s.cold_tokens >= std::min(cost, cap);
  }

  struct Landing {
    int server = -1;
    std::uint64_t seed = 0;
  };

  /// Draws onward from `seed`, `left` times at most, to the next live segment; -1 without one.
  int next_live(std::uint64_t& seed, int& left) const {
    while (left-- > 0) {
      seed = next_draw(seed);
      int i = slots[slot_of(seed)];
      if (i >= 0 && depth_of(seed) < live(servers[i])) return i;
    }
    return -1;
  }

  /// Draws from `seed` to the next live segment whose server may take the request.
  Landing walk(std::uint64_t seed, const Open& o, bool keep_near) {
    Landing fallback;
    int passed = 0;
    double cost = cost_of(o);
    for (int left = kMaxDraws, before = left;; before = left) {
      int i = next_live(seed, left);
      draws += static_cast<std::uint64_t>(before - std::max(left, 0));
      if (i < 0) return fallback;
      ServerState& s = servers[i];
      if (!may_send(o, i) || tried(o, i)) continue;
      if (keep_near && s.listed.zone != set.zone && depth_of(mix(seed)) < near_pull) continue;
      if (!cold_has_room(s, cost)) continue;
      if (at_limit(s) && passed < kMaxOverflow) {
        if (fallback.server < 0) fallback = {i, seed};
        ++passed;
        continue;
      }
      return {i, seed};
    }
  }

  /// Where the draws have run out: of the servers that may take the request, the one that ranks
  /// first for the key. Few servers, or slow ones, cover so little of the interval that walks miss
  /// them: one alone that answered 30 times slower than before had most of its keys refused.
  Landing last_resort(const Open& o) {
    Landing best;
    std::uint64_t most = 0;
    for (const auto& [id, i] : index) {
      std::uint64_t rank = mix(o.seed ^ hash_name(id));
      if (rank < most || live(servers[i]) <= 0 || is_origin(servers[i])) continue;
      if (!may_send(o, i) || tried(o, i) || !cold_has_room(servers[i], cost_of(o))) continue;
      best = {i, o.seed}, most = rank;
    }
    return best;
  }

  // ---- server health ----
  double slow_part(const ServerState& s) const {
    if (s.slow_seen < 2) return 1;
    double age = halved(s.slow_at, kSlowHalf);
    double ratio = std::exp(s.slow_log * age);
    return ratio > kSlowFrom ? kSlowFrom / ratio : 1;
  }

  void note_latency(ServerState& s, ClassState& c, Micros latency, bool ok) {
    double value = std::max<double>(1, static_cast<double>(latency));
    double log_value = std::log(value);
    if (c.seen == 0) c.mean_log = log_value, c.quantile = value * 2;
    c.seen = std::min(c.seen + 1, 200.0);
    double gain = std::max(1 / c.seen, 0.02);
    if (ok) {
      mean_log += (mean_log == 0 ? 1 : 0.03) * (log_value - mean_log);
      c.mean_log += gain * (log_value - c.mean_log);
      c.quantile *=
          std::exp((value > c.quantile ? kQuantile : kQuantile - 1) * std::max(gain, 0.05));
    }
    double age = halved(s.slow_at, kSlowHalf);
    s.slow_log *= age, s.slow_seen *= age;
    s.slow_log += kSlowAlpha * (log_value - c.mean_log - s.slow_log);
    s.slow_seen += 1;
    s.slow_at = now;
  }

  void note_success(ServerState& s) {
    bool sick = false;
    for (Failing kind : {kErrors, kResets, kStalls}) {
      sick |= stands_out(s, kind);
      follow(s.failing[kind], false, kOwnGain);
      follow(pooled[kind], false);
    }
    if (s.returned_at > 0 && now - s.returned_at > kReturnRamp) s.returned_at = 0, s.strikes = 0;
    // One that answers some requests and lets the others hang would never be left out otherwise.
    s.doubt = sick ? std::max(0.0, s.doubt - kRelief) : 0;
  }

  /// A failure is evidence against the server only as far as it is unusual: when a stopped origin
  /// makes every server err, or overload makes all late, one more tells next to nothing (the
  /// log-likelihood ratio of dead against alive, in units of a failure on a quiet day).
  void note_failure(ServerState& s, double weight, double usual) {
    weight *= std::log(std::max(usual, kUsualFailure)) / std::log(kUsualFailure);
    s.doubt *= halved(s.doubt_at, kDoubtHalf);
    s.doubt += weight;
    s.doubt_at = now;
    if (s.doubt < kDeadAt || now < s.dead_until) return;
    // In times of meeting, or the spell would be over before the next request came.
    auto met = static_cast<Micros>(std::min(meeting(), 8.0 * kSecond));
    Micros span = std::min(std::max(kDeadMax, 4 * met), std::max(kDeadFirst, 2 * met)
                                                            << std::min(s.strikes, 5));
    s.dead_until = now + static_cast<Micros>(static_cast<double>(span) * (0.75 + 0.5 * random()));
    s.returned_at = s.dead_until;  // gradual from there
    s.strikes = std::min(s.strikes + 1, 8);
    s.doubt = kDeadAt - 1;  // a trial's first failure is enough
    refreshed = -1;
  }

  /// A failure that tells of the server. What is usual is told by the better half of the servers:
  /// an origin that fails, a path that spoils answers and overload show there too, and then one
  /// server's failures tell next to nothing. By the mean of all, servers that failed every request
  /// within milliseconds passed for usual as soon as they were many, kept their keys and drew those
  /// of the others.
  void note_broken(ServerState& s, Failing kind, double weight) {
    follow(s.failing[kind], true, kOwnGain);
    follow(pooled[kind], true);
    // Of servers that are met seldom most have not failed yet, whatever the fleet's state is: there
    // the better half always looks well.
    note_failure(s, weight, std::max(usual_failing[kind], seldom() ? pooled[kind] / 2 : 0));
  }

  /// What one stall weighs where own requests come to a server so far apart that the second one
  /// comes too late to be surer: a hundred routers never found out servers that hang. It may hurt
  /// where much stalls by chance.
  double weight_of_first() const { return std::clamp(meeting() / kSecond, 1.0, kDeadAt * kSureOf); }
  /// Time between two own requests to one server.
  double meeting() const { return kSecond * live_sum / std::max(0.1, sent_rate()); }
  bool seldom() const { return meeting() > kSecond; }

  /// Whether a zone can be reached at all is told by its servers together: each of them is met too
  /// seldom to be found out while the zone is cut off, and requests waited for dials in vain. The
  /// first attempt after the spell ends or renews it.
  void note_reach(int server, bool reached) {
    Zone& zone = *servers[server].zone;
    if (reached) zone = Zone();
    if (reached || !seldom()) return;
    zone.lost += zone.last != server;
    zone.last = server;
    if (zone.lost < kCutAfter) return;
    zone.until = now + static_cast<Micros>(kDeadFirst * (0.75 + 0.5 * random()));
    refreshed = -1;
  }

  /// The server fails in this way far more often than the better half.
  bool stands_out(const ServerState& s, Failing kind) const {
    return s.failing[kind] > std::max(kOwnFault, 3 * usual_failing[kind]);
  }

  /// The mean rate of the better half of the servers, for each way to fail.
  void renew_usual() {
    for (std::size_t kind = 0; kind < usual_failing.size(); ++kind) {
      rates.clear();
      for (const ServerState& s : servers)
        if (usable(s) && !is_origin(s)) rates.push_back(s.failing[kind]);
      std::size_t half = (rates.size() + 1) / 2;
      std::nth_element(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(half),
                       rates.end());
      double sum = 0;
      for (std::size_t k = 0; k < half; ++k) sum += rates[k];
      usual_failing[kind] = half > 0 ? sum / static_cast<double>(half) : 0;
    }
  }

  /// The part of its keys a server gives up for having been full. It returns with time alone: a
  /// fleet that tells no load never said that a server was calm again.
  double crowding(const ServerState& s) const {
    return s.crowded * halved(s.crowded_at, kFullHalf);
  }

  void note_full(ServerState& s) {
    double given = crowding(s);
    s.crowded = given + (1 - given) * kFullGives * std::max(0.0, 1 - 4 * full);
    s.crowded_at = now;
  }

  void note_report(ServerState& s, const Report& report) {
    if (report.empty()) return;
    double heat = 0;
    for (std::size_t k = 0; k < report.size() && k < set.report_fields.size(); ++k) {
      double v = report[k];
      if (!std::isfinite(v)) continue;
      if (set.report_fields[k] == ReportField::Utilization) {
        util_mean += 0.03 * (v - util_mean);
        // Against the fleet: were all hot servers to shed, nearly every key would move and miss.
        heat = std::max(heat, (v - std::max(kHotUtil, util_mean + kHotMargin)) / (1 - kHotUtil));
      } else if (set.report_fields[k] == ReportField::Queue) {
        queue_mean += 0.03 * (v - queue_mean);
        heat = std::max(heat, std::min(2.0, (v - 2 - 2 * queue_mean) / (2 + queue_mean)));
      }
    }
    // A server that gave up most of its keys is seen rarely: its return goes by the time passed.
    double dt = static_cast<double>(now - s.report_at) / kSecond;
    s.report_at = now;
    s.load_live *= std::exp(heat > 0 ? -kHotRate * heat * std::min(1.0, dt)
                                     : kCoolRate * std::min(kCoolSpan, dt));
    s.load_live = std::clamp(s.load_live, kHotFloor, 1.0);
  }

  // ---- admission ----
  double rate_fade() const {
    return std::exp(-static_cast<double>(now - rate_at) / (kRateSpan * kSecond));
  }

  double sent_rate() const {  // per second; not of arrivals: what is refused loads no server
    double span = std::max(0.2, std::min(kRateSpan, static_cast<double>(now - born) / kSecond));
    return rate_sum * rate_fade() / span;
  }

  double cost_of(const Open& o) const {
    if (!o.request.work || mean_work <= 0) {  // no hints: by the latency usual for the class
      const ClassState& c = *o.cls;
      return c.seen < 5 ? 1 : std::clamp(std::exp(c.mean_log - mean_log), 0.2, 5.0);
    }
    return std::clamp(static_cast<double>(*o.request.work) / mean_work, 0.2, 5.0);
  }

  /// The admitted part shrinks a little while many admitted requests end unserved or late, and
  /// grows back otherwise, also without evidence: a level that waited for answers stayed up when
  /// few were left, and one that moved in large steps swung between refusing nearly all and a jam.
  /// Keys that were answered lately have a door of their own: a jammed origin makes the others end
  /// badly and leaves these alone, overloaded servers make both.
  void step_shed() {
    if (now - shed_at < kShedStep) return;
    for (bool held : {false, true}) {
      Door& d = doors[held];
      double cut = held ? kAdmitCutHeld : kAdmitCut;
      double bad = d.bad / (d.good + d.bad + kShedPrior);
      double grow = bad > kShedBad ? 0 : std::min(1.0, 2 * (1 - bad / kShedBad));
      double admitted =
          (1 - d.shed) * (1 + (grow > 0 ? kAdmitGrow * grow : -cut * bad)) + kAdmitStep * grow;
      d.shed = 1 - std::clamp(admitted, kAdmitMin, 1.0);
      d.good *= kShedFade, d.bad *= kShedFade;
    }
    shed_at = now;
  }

  bool shedding() const { return doors[0].shed > 0 || doors[1].shed > 0; }

  /// Whether the request is turned away at the door.
  bool turn_away(const Open& o) {
    step_shed();
    const ClassSettings& c = o.cls->rules;
    double shed = doors[o.held].shed;
    double chance = shed;
    // Around the mean worth of what comes, so that all together lose the shed part and no more:
    // taken from the best class, the bulk of the traffic was refused whole and servers stood idle.
    double value = c.worth / (set.worth_by_work ? 1 : cost_of(o));
    mean_value += (mean_value <= 0 ? 1 : 0.02) * (value - mean_value);
    if (value > 0) chance *= std::clamp(mean_value / value, kShedLeast, kShedMost);
    chance = std::min(chance, 1 - kAdmitMin / 2);
    for (const TenantSettings& t : set.tenants) {
      if (t.name != o.request.tenant || t.quota_per_s <= 0) continue;
      double quota = t.quota_per_s / std::max(1, set.routers);
      double own = tenant_rate[o.request.tenant] / kRateSpan;
      if (own > quota) chance += std::min(1.0, 4 * shed) * (1 - quota / own);
    }
    if (shed <= 0) return false;
    if (o.request.key.empty()) return random() < chance;
    // By key, alike at every router: what is let in stays cached and is answered by hits, so a
    // fleet whose copies went void and whose origin is jammed fills again key by key, the wanted
    // ones first. Refusing at random, every key's misses went on and the origin never caught up.
    if (o.seen >= kWantedSeen) chance *= chance;
    return depth_of(mix(~o.name)) < chance;
  }

  void fade_rates() {
    if (rate_at == now) return;
    double fade = rate_fade();
    rate_sum *= fade;
    for (auto& [name, rate] : tenant_rate) rate *= fade;
    rate_at = now;
  }

  void count_arrival(const Open& o) {
    fade_rates();
    if (o.request.work) {
      double work = static_cast<double>(*o.request.work);
      mean_work += (mean_work <= 0 ? 1 : 0.02) * (work - mean_work);
    }
    retry_tokens = std::min(kRetryCap, retry_tokens + kRetryPerRequest);
    copy_tokens = std::min(kCopyCap, copy_tokens + kCopyPerRequest);
  }

  // ---- attempts ----
  bool tried(const Open& o, int server) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [&](const Attempt& a) { return a.server == server; });
  }
  bool any_out(const Open& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [](const Attempt& a) { return a.ran == Ran::Out; });
  }
  bool may_have_run(const Open& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [](const Attempt& a) { return a.ran != Ran::Never; });
  }

  /// When the servers' memory of what a keyed request may have done begins to end.
  Micros repeatable_until(const Open& o) const {
    Micros until = Send::kAnyTime;
    for (const Attempt& a : o.attempts)
      if (o.cls->rules.effect == Effect::Keyed && a.ran != Ran::Never)
        until = std::min(until, a.sent + o.cls->rules.key_ttl - 2 * set.timer_granularity);
    return until;
  }

  /// Rules 2 and 3 for one more attempt at `server`.
  bool may_send(const Open& o, int server) const {
    const ServerState& to = servers[server];
    if (!usable(to) || static_cast<int>(o.attempts.size()) >= set.max_attempts) return false;
    if (!set.may_hedge && any_out(o)) return false;
    const ClassSettings& c = o.cls->rules;
    if (c.effect == Effect::Repeatable) return true;
    if (now >= repeatable_until(o)) return false;
    for (const Attempt& a : o.attempts) {
      if (a.ran == Ran::Never) continue;
      if (c.effect == Effect::Once) return false;
      const Server& from = servers[a.server].listed;
      if (c.group == Group::Zone && from.zone != to.listed.zone) return false;
      if (c.group == Group::Cell && (from.cell < 0 || from.cell != to.listed.cell)) return false;
    }
    return true;
  }

  bool may_refuse(const Open& o) const {
    const ClassSettings& c = o.cls->rules;
    if (c.effect == Effect::Repeatable || !may_have_run(o)) return true;
    return c.effect == Effect::Keyed && c.group == Group::All;
  }

  void timer(Micros after, RequestId id, TimerKind kind) {
    out.push_back(Timer{std::max<Micros>(after, 1), id << 2 | kind, kind == kAskTimer ? 0 : id});
  }

  /// With `fault` it ends for a reason that tells nothing of load, so the doors don't count it.
  void finish(Open& o, bool fault = false) {
    if (o.closed) return;
    o.closed = true;
    if (!o.attempts.empty() && !fault) note_end(o, false, false);
    if (may_refuse(o))
      out.push_back(Refuse{o.request.id, set.retry_after ? set.max_retry_after / 4 : 0});
    else
      out.push_back(Fail{o.request.id});
    cancel_rest(o);
  }

  void cancel_rest(const Open& o, int except = -1) {
    if (!set.may_cancel) return;
    for (std::size_t k = 0; k < o.attempts.size(); ++k)
      if (o.attempts[k].ran == Ran::Out && static_cast<int>(k) != except)
        out.push_back(Cancel{o.request.id, static_cast<int>(k)});
  }

  void forget_if_done(RequestId id) {
    auto it = open.find(id);
    if (it == open.end() || !it->second.closed || any_out(it->second)) return;
    for (const Attempt& a : it->second.attempts) --servers[a.server].named;
    open.drop(it);
  }

  Micros patience(const Open& o) const {
    const ClassState& c = *o.cls;
    double usual = c.seen > 0 ? c.quantile : static_cast<double>(c.rules.latency_objective) / 2;
    return static_cast<Micros>(
        std::max(kPatienceFactor * usual, 4.0 * static_cast<double>(set.timer_granularity)));
  }

  /// Whether an attempt that is out when the client's time ends is a stall: out for longer than
  /// nearly all take, as clients give a try up before patience() ends where misses take long. Not
  /// where servers are met often: there an overload looks like many stalls.
  bool stalled(const Open& o, const Attempt& a) const {
    auto wait = static_cast<double>(patience(o));
    double usual = std::max(o.cls->quantile, 4.0 * static_cast<double>(set.timer_granularity));
    return static_cast<double>(now - a.sent) > (seldom() ? std::min(wait, usual) : wait);
  }

  /// Aside mode: writes, and reads that a cache answered with a miss, go to the origin.
  bool wants_origin(const Open& o) const {
    return set.cache_aside && !set.origin_kind.empty() && (o.request.write || o.missed);
  }

  /// The origin is never carved: its usable member with the fewest own attempts out.
  bool send_to_origin(Open& o) {
    int best = -1;
    for (const auto& [id, i] : index)
      if (is_origin(servers[i]) && may_send(o, i) &&
          (best < 0 || servers[i].in_flight < servers[best].in_flight))
        best = i;
    if (best < 0) return false;
    dispatch(o, best);
    return true;
  }

  /// Sends the request onward along its walk; false when no server may take it.
  bool send(Open& o) {
    refresh();
    if (wants_origin(o)) return send_to_origin(o);
    bool first = o.attempts.empty();
    bool keep_near = false;
    Saved* key = first && !o.request.key.empty() ? &seed_of(o.name) : nullptr;
    if (first) o.seed = key ? key->seed : mix(rng = mix(rng + 1));
    if (set.cross_zone_charge > 0 && near_pull > 0) keep_near = first ? popular(o.seen) : true;
    Landing at = walk(o.seed, o, keep_near);
    if (at.server < 0 && keep_near) at = walk(o.seed, o, false);
    if (at.server < 0) at = last_resort(o);
    if (at.server < 0) return false;
    o.seed = at.seed;
    // Admitted ones only: clients repeat what is refused, which is no use of the quota.
    auto tenant = tenant_rate.find(o.request.tenant);
    if (first && tenant != tenant_rate.end()) tenant->second += 1;
    if (key) {
      if (key->drawn++ == 0) key->home = at.server;
      key->seed = at.seed;
    }
    dispatch(o, at.server);
    return true;
  }

  void dispatch(Open& o, int server) {
    ServerState& s = servers[server];
    Micros until = repeatable_until(o);
    o.attempts.push_back({server, now});
    ++s.in_flight, ++total_in_flight, ++s.named;
    fade_rates();
    rate_sum += cost_of(o);
    if (cold(s)) s.cold_tokens -= cost_of(o);
    Micros left = o.deadline - now;
    Micros wait = patience(o);
    bool again = static_cast<int>(o.attempts.size()) < set.max_attempts &&
                 o.cls->rules.effect != Effect::Once && !o.cls->rules.streamed;
    Micros limit = 0;
    if (again && wait * 3 / 2 < left && !is_origin(s)) {  // never a second copy at the origin
      if (set.may_hedge)
        timer(wait, o.request.id, kCopyTimer);
      else
        limit = wait;
    }
    out.push_back(Send{o.request.id, s.listed.id, limit, until});
  }

  /// A broken connection, or a failure of a server that stands out by it: the fault of one server
  /// or one connection. It is no sign of overload, so it closes no door, and another server is
  /// worth a try also while requests are refused. It should cover spoilt answers, crashes and
  /// servers that fail whatever they get; it hurts where servers that are overloaded break
  /// connections instead of refusing.
  bool is_fault(Status why, const ServerState& s) const {
    if (why == Status::Error) return stands_out(s, kErrors);
    if (why == Status::Timeout) return stands_out(s, kStalls);
    return why == Status::Reset || why == Status::StaleConnection;
  }

  void go_on(Open& o, Status why) {
    if (o.closed || any_out(o)) return;
    const ServerState& last = servers[o.attempts.back().server];
    bool fault = is_fault(why, last);
    bool never_left = why == Status::ConnectFailed || why == Status::NotSent;
    bool cheap = why == Status::Overloaded || never_left;
    // The first break of a kept connection is tried again whatever the budget holds, as it tells
    // nothing of the load. This should cover time-outs of idle connections on the way and restarts
    // behind a balancer; it hurts where servers that are overloaded break connections, so not once
    // more than a few do.
    bool stale = why == Status::StaleConnection && o.attempts.size() == 1 && broken < kUsualBreaks;
    double price = stale ? 0 : cheap ? 0.25 : fault ? 0.5 : 1;
    bool time_left = o.deadline - now > 2 * set.timer_granularity;
    if (why == Status::Miss && time_left && send(o)) return;  // no failure: no tokens
    // A fetch that failed ends in an error, and another server would only ask the origin once more:
    // what jams it. Errors are worth a retry where they come from one server and not from others.
    bool futile = why == Status::Error && !fault &&
                  (usual_failing[kErrors] > kFutileErrors || last.doubt < kServerErrs);
    // Nor anything while requests are refused: a retry would take the place of a first try. A
    // refused connection cost nobody.
    futile |= !never_left && !fault && shedding();
    if (!futile && time_left && retry_tokens >= price) {
      retry_tokens -= price;
      if (send(o)) return;
    }
    finish(o, fault);
  }

  // ---- list ----
  void ask(Micros after) { timer(after, ++ask_token, kAskTimer); }

  void list_failed() {
    watching = asking = false;
    double pause = kAskPause * (0.5 + random());
    ask(static_cast<Micros>(std::min(pause, 0.8 * static_cast<double>(set.list_refresh_interval))));
  }

  void take_entry(const Server& e) {
    int place = spare.empty() ? static_cast<int>(servers.size()) : spare.back();
    auto [it, fresh] = index.try_emplace(e.id, place);
    if (fresh && !spare.empty())
      spare.pop_back();
    else if (fresh)
      servers.emplace_back();
    ServerState& s = servers[it->second];
    bool restarted = e.up_since != s.listed.up_since || !s.present;
    Server was = std::move(s.listed);
    s.listed = e;
    if (!std::isfinite(e.weight) || e.weight < 0) s.listed.weight = 1;
    if (e.health == Health::Removed && e.zone.empty())
      s.listed.zone = was.zone, s.listed.cell = was.cell;
    s.present = e.health != Health::Removed;
    s.zone = &zones[zones.count(s.listed.zone) ? s.listed.zone : ""];
    if (restarted && s.present) {  // a new process: what was held against the old one is void
      s.doubt = 0, s.strikes = 0, s.dead_until = 0, s.returned_at = 0;
      s.slow_log = 0, s.slow_seen = 0, s.load_live = 1, s.crowded = 0, s.failing = {};
      s.cold_tokens = random(), s.cold_at = now;
    }
  }

  /// Forgets servers that have left once no open request names them: where each machine that is
  /// replaced comes back under a new id, all that is kept of old ones would grow for ever.
  void forget_gone() {
    for (auto it = index.begin(); it != index.end();) {
      int i = it->second;
      if (servers[i].present || servers[i].named > 0) {
        ++it;
        continue;
      }
      for (auto& [name, key] : saved)
        if (key.home == i) key.home = -1;
      servers[i] = ServerState();
      spare.push_back(i);
      it = index.erase(it);
    }
  }

  void check_settings() const {
    auto part = [](double v) { return std::isfinite(v) && v >= 0 && v <= 1; };
    auto amount = [](double v) { return std::isfinite(v) && v >= 0; };
    require(!set.classes.empty(), "classes");
    for (const ClassSettings& c : set.classes) {
      require(c.latency_objective >= 0, "classes.aim");
      require(c.deadline >= 0, "classes.deadline");
      require(c.key_ttl >= 0, "classes.key_ttl");
      require(amount(c.worth), "classes.worth");
      require(amount(c.late_worth), "classes.late_worth");
    }
    for (const TenantSettings& t : set.tenants) {
      require(part(t.portion), "tenants.portion");
      require(amount(t.quota_per_s), "tenants.quota_per_s");
    }
    require(set.routers >= 1, "routers");
    require(set.max_attempts >= 1, "max_attempts");
    require(set.timer_granularity >= 0, "tick");
    require(set.answer_slack >= 0, "answer_slack");
    require(set.list_refresh_interval >= 0, "ask_within");
    require(set.drain_grace >= 0, "drain_grace");
    require(set.max_retry_after >= 0, "max_retry_after");
    require(set.slow_start_window >= 0, "cold_time");
    require(set.overload_window >= 0, "tip_after");
    require(part(set.slow_start_min_fraction), "cold_share");
    require(amount(set.overload_factor), "overload_factor");
    require(amount(set.cross_zone_charge), "cross_zone_charge");
  }

  /// What was seen of a class or tenant is kept under its name.
  void use(const Settings& settings) {
    set = settings;
    check_settings();
    for (const std::string& zone : set.zones) zones[zone];
    std::vector<std::shared_ptr<ClassState>> fresh;
    for (const ClassSettings& c : set.classes) {
      auto seen = class_of(c.name);
      fresh.push_back(
          std::make_shared<ClassState>(seen && seen->rules.name == c.name ? *seen : ClassState()));
      fresh.back()->rules = c;
    }
    classes = std::move(fresh);
    std::map<std::string, double> kept;
    for (const TenantSettings& t : set.tenants) kept[t.name] = tenant_rate[t.name];
    tenant_rate.swap(kept);
  }

  /// An unknown one is treated as the first.
  std::shared_ptr<ClassState> class_of(const std::string& name) const {
    for (const auto& c : classes)
      if (c->rules.name == name) return c;
    return classes.empty() ? nullptr : classes.front();
  }

  void tick(Micros t) {
    now = std::max(now, t);
    out.clear();
  }
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>()) {
  Impl& m = *impl_;
  m.use(settings);
  m.rng = mix(seed);
  m.now = m.born = m.rate_at = m.shed_at = m.generation_at = now;
}
void Balancer::update_settings(const Settings& settings) {
  Settings old = impl_->set;
  try {
    impl_->use(settings);
  } catch (...) {
    impl_->set = std::move(old);
    throw;
  }
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

const Actions& Balancer::start(Micros now) {
  Impl& m = *impl_;
  m.tick(now);
  if (m.set.list_on_demand)
    m.ask(static_cast<Micros>(m.random() * kAskSpread *
                              static_cast<double>(m.set.list_refresh_interval)));
  return m.out;
}

const Actions& Balancer::on_list(Micros now, ListScope scope, const std::vector<Server>& entries) {
  Impl& m = *impl_;
  m.tick(now);
  if (scope == ListScope::Failed) {
    m.list_failed();
    return m.out;
  }
  if (scope != ListScope::Cached && m.asking) m.asking = false, m.watching = true;
  if (scope != ListScope::Delta) {
    std::map<std::string, bool> named;
    for (const Server& e : entries) named[e.id] = true;
    for (auto& [id, i] : m.index)
      if (!named.count(id))
        m.servers[i].present = false, m.servers[i].listed.health = Health::Removed;
  }
  for (const Server& e : entries) m.take_entry(e);
  m.forget_gone();
  m.carve();
  return m.out;
}

const Actions& Balancer::on_request(Micros now, const Request& request) {
  Impl& m = *impl_;
  m.tick(now);
  auto [o, fresh] = m.open.enter(request.id);
  if (!fresh) return m.out;
  o.request = request;  // by assignment: an entry that was used before keeps its memory
  o.attempts.clear();
  o.closed = o.missed = o.held = o.reached = false;
  o.seen = 0, o.seed = 0;
  o.cls = m.class_of(request.type);
  o.came = m.now;
  o.deadline = m.now + std::max<Micros>(0, request.remaining);
  m.count_arrival(o);
  o.name = hash_name(request.key);
  if (!request.key.empty()) m.count_key(o);
  if (m.turn_away(o) || !m.send(o)) {
    m.finish(o);
    m.forget_if_done(request.id);
    return m.out;
  }
  // The last moment for an answer of our own, a little ahead of the client's.
  m.timer(request.remaining - 2 * m.set.timer_granularity, request.id, kDeadlineTimer);
  return m.out;
}

const Actions& Balancer::on_response_start(Micros now, RequestId id, const std::string& server,
                                           int attempt, Micros) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(id);
  auto at = m.index.find(server);
  if (it == m.open.end() || at == m.index.end() || attempt < 0) return m.out;
  Impl::Open& o = it->second;
  m.note_success(m.servers[at->second]);
  // The stream belongs to the client from here: no deadline, no further attempts.
  if (!o.closed) m.note_end(o, true, m.now - o.came <= o.cls->rules.latency_objective);
  o.closed = true;
  m.cancel_rest(o, attempt);
  return m.out;
}

const Actions& Balancer::on_outcome(Micros now, const Outcome& r) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(r.id);
  if (it == m.open.end()) return m.out;
  Impl::Open& o = it->second;
  if (r.attempt < 0 || r.attempt >= static_cast<int>(o.attempts.size())) return m.out;
  Impl::Attempt& a = o.attempts[r.attempt];
  if (a.ran != Impl::Ran::Out) return m.out;
  Impl::ServerState& s = m.servers[a.server];
  --s.in_flight, --m.total_in_flight;
  bool never = r.status == Status::Overloaded || r.status == Status::ConnectFailed ||
               r.status == Status::NotSent || r.status == Status::Miss;
  a.ran = never ? Impl::Ran::Never : Impl::Ran::Maybe;
  bool unreachable = r.status == Status::ConnectFailed;
  o.reached |= !unreachable && r.status != Status::NotSent;
  if (r.status <= Status::Overloaded || unreachable) m.note_reach(a.server, !unreachable);
  m.note_report(s, r.report);
  follow(m.errors, r.status == Status::Error);
  follow(m.full, r.status == Status::Overloaded);
  follow(m.broken, r.status == Status::StaleConnection || r.status == Status::Reset);
  follow(m.unreachable, r.status == Status::ConnectFailed || r.status == Status::Reset);
  switch (r.status) {
    case Status::Ok:
      m.note_success(s);
      if (!m.is_origin(s)) m.note_latency(s, *o.cls, r.latency, true);
      break;
    case Status::Miss:
      m.note_success(s);
      o.missed = true;
      break;
    case Status::Overloaded:  // overloaded, not dead
      m.note_full(s);
      break;
    case Status::Timeout:
      m.note_broken(s, Impl::kStalls, 1);
      m.note_latency(s, *o.cls, r.latency, false);
      break;
    case Status::Error:
      m.note_broken(s, Impl::kErrors, 0.5);
      break;
    case Status::Reset:
      m.note_broken(s, Impl::kResets, 1);
      break;
    case Status::ConnectFailed:
      m.note_failure(s, 1, m.unreachable);
      break;
    case Status::StaleConnection:  // tells of the connection: a server that is dead refuses the
                                   // next one
    case Status::Cancelled:
    case Status::NotSent:
      break;
  }
  if (!o.closed && r.status == Status::Ok)
    m.note_end(o, true, m.now - o.came <= o.cls->rules.latency_objective);
  if (r.finished) {
    if (!o.closed) m.cancel_rest(o);
    o.closed = true;
  } else {
    m.go_on(o, r.status);
  }
  m.forget_if_done(r.id);
  return m.out;
}

const Actions& Balancer::on_client_disconnect(Micros now, RequestId id) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(id);
  if (it == m.open.end()) return m.out;
  if (!it->second.closed) m.cancel_rest(it->second);
  it->second.closed = true;
  m.forget_if_done(id);
  return m.out;
}

const Actions& Balancer::on_timer(Micros now, std::uint64_t token) {
  Impl& m = *impl_;
  m.tick(now);
  std::uint64_t kind = token & 3, id = token >> 2;
  if (kind == kAskTimer) {
    if (id != m.ask_token || m.watching) return m.out;
    m.asking = true;
    m.out.push_back(Watch{});
    m.ask(m.set.list_refresh_interval);  // asks again should no answer come at all
    return m.out;
  }
  auto it = m.open.find(id);
  if (it == m.open.end() || it->second.closed) return m.out;
  Impl::Open& o = it->second;
  if (kind == kDeadlineTimer) {
    // Nor does the end of one that came with less time than its aim tell of load: a client's last
    // retries. They ended unserved on idle servers, shut the doors, and brought on more retries.
    bool fault = o.deadline - o.came < o.cls->rules.latency_objective;
    for (const Impl::Attempt& a : o.attempts) {
      if (a.ran != Impl::Ran::Out || !m.stalled(o, a)) continue;
      fault |= m.stands_out(m.servers[a.server], Impl::kStalls);
      m.note_broken(m.servers[a.server], Impl::kStalls, m.weight_of_first());
    }
    m.finish(o, fault);
  } else if (kind == kCopyTimer && !o.attempts.empty() && o.attempts.back().ran == Impl::Ran::Out &&
             m.now - o.attempts.back().sent >= m.patience(o) / 2) {
    Impl::ServerState& s = m.servers[o.attempts.back().server];
    m.note_broken(s, Impl::kStalls, 0.5);
    if (m.copy_tokens >= 1 && (!m.shedding() || m.stands_out(s, Impl::kStalls))) {
      m.copy_tokens -= 1;
      m.send(o);
    }
  }
  m.forget_if_done(id);
  return m.out;
}

const Actions& Balancer::on_probe(Micros now, const std::string& server, Status status, Micros,
                                  const Report& report) {
  Impl& m = *impl_;
  m.tick(now);
  auto at = m.index.find(server);
  if (at == m.index.end()) return m.out;
  if (status == Status::Ok) m.note_report(m.servers[at->second], report);
  return m.out;
}

Balancer::Stats Balancer::stats() const {
  return {impl_->open.size(), impl_->saved.size(),
          impl_->counts[0].size() + impl_->counts[1].size(), impl_->index.size(), impl_->draws};
}

std::string Balancer::preferred_server(const std::string& key) const {
  std::uint64_t seed = hash_name(key);
  int left = kMaxDraws;
  int i = impl_->next_live(seed, left);
  return i < 0 ? std::string() : impl_->servers[i].listed.id;
}

double Balancer::live_fraction(const std::string& server) const {
  auto at = impl_->index.find(server);
  return at == impl_->index.end() ? 0 : impl_->live(impl_->servers[at->second]);
}

}  // namespace violetusher
