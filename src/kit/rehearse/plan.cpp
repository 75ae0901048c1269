#include "plan.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "kit/common/random.hpp"

namespace violetusher::rehearse {
namespace {

using kit::Stream;

constexpr Micros kStep = 1'000;  // the rate is constant within a step
constexpr double kHintSigma =
    0.25;  // log-normal spread of the work estimate around the class's mean

/// The entry that `u`, uniform in [0, 1), selects from entries with shares.
template <typename List>
int choose(const List& list, double u) {
  double sum = 0;
  for (std::size_t k = 0; k < list.size(); ++k) {
    sum += list[k].share;
    if (u < sum) return static_cast<int>(k);
  }
  return static_cast<int>(list.size()) - 1;
}

}  // namespace

double rate_factor(const Tills& tills, Micros at, int tenant) {
  double factor = 1;
  for (const RateRamp& s : tills.rate_ramps) {
    if (s.tenant != tenant || at < s.from || at >= s.until) continue;
    double part = static_cast<double>(at - s.from) / static_cast<double>(s.until - s.from);
    factor *= s.from_factor + (s.to_factor - s.from_factor) * part;
  }
  return factor;
}

Plan make_plan(const Day& day, std::uint64_t seed) {
  const Tills& tills = day.tills;
  kit::Draws draws(seed);
  kit::Zipf zipf(tills.keys, tills.zipf);
  std::vector<double> halls = tills.zone_shares;
  if (halls.empty())
    halls.assign(day.fleet.halls.size(), 1.0 / static_cast<double>(day.fleet.halls.size()));
  Plan plan;
  plan.seed = seed;
  // An inhomogeneous Poisson process: arrivals are at exponential distances on the integral of the
  // rate.
  bool uneven = std::any_of(tills.rate_ramps.begin(), tills.rate_ramps.end(),
                            [](const RateRamp& s) { return s.tenant >= 0; });
  double integral = 0, next = draws.exponential(Stream::kArrival, 0);
  for (Micros step = 0; step < day.length; step += kStep) {
    double rate = tills.rate * rate_factor(tills, step) / 1e6;  // per microsecond
    std::vector<Tenant> tenants = tills.tenants;
    if (uneven) {
      // A factor on one tenant changes the total rate, and the other tenants keep theirs.
      double sum = 0;
      for (std::size_t b = 0; b < tenants.size(); ++b)
        sum += tenants[b].share *= rate_factor(tills, step, static_cast<int>(b));
      for (Tenant& b : tenants) b.share /= std::max(sum, 1e-12);
      rate *= sum;
    }
    double after = integral + rate * static_cast<double>(kStep);
    while (rate > 0 && next < after) {
      std::uint64_t index = plan.requests.size();
      PlannedRequest r;
      r.at = step + static_cast<Micros>((next - integral) / rate);
      if (r.at >= day.length) break;
      r.type = choose(tills.classes, draws.uniform(Stream::kClass, index));
      r.tenant = choose(tenants, draws.uniform(Stream::kBanner, index));
      double u = draws.uniform(Stream::kHall, index), sum = 0;
      r.hall = static_cast<int>(halls.size()) - 1;
      for (std::size_t h = halls.size(); h-- > 0;) sum += halls[h];
      double below = 0;
      for (std::size_t h = 0; h < halls.size(); ++h) {
        below += halls[h];
        if (u * sum < below) {
          r.hall = static_cast<int>(h);
          break;
        }
      }
      const TillClass& type = tills.classes[static_cast<std::size_t>(r.type)];
      if (type.keyed) {
        r.key = "receipt:" + std::to_string(index);
        r.idempotency = "s" + std::to_string(draws.bits(Stream::kSize, index) >> 16) + "-" +
                        std::to_string(index);
      } else {
        r.key = "barcode:" + std::to_string(zipf.rank(draws.uniform(Stream::kKey, index)));
        for (std::size_t s = 0; s < tills.scans.size(); ++s) {
          const Scan& scan = tills.scans[s];
          if (r.at >= scan.from && r.at < scan.until &&
              draws.uniform(Stream::kScan, index, s) < scan.share)
            r.key = "scan:" + std::to_string(index);
        }
        r.direct = draws.uniform(Stream::kDirect, index) < tills.direct_fraction;
      }
      r.hint = std::max<Micros>(
          1, static_cast<Micros>(static_cast<double>(type.work) *
                                 draws.lognormal(kHintSigma, Stream::kHint, index)));
      plan.requests.push_back(std::move(r));
      next += draws.exponential(Stream::kArrival, plan.requests.size());
    }
    integral = after;
  }
  return plan;
}

std::string plan_line(const Day& day, const Plan& plan, std::size_t request) {
  const PlannedRequest& r = plan.requests[request];
  return nlohmann::ordered_json{
      {"id", standin::request_id(request, 0)},
      {"at_us", r.at},
      {"class", day.tills.classes[static_cast<std::size_t>(r.type)].name},
      {"banner", day.tills.tenants[static_cast<std::size_t>(r.tenant)].name},
      {"hall", day.fleet.halls[static_cast<std::size_t>(r.hall)]},
      {"key", r.key},
      {"k", r.idempotency},
      {"hint_us", r.hint},
      {"direct", r.direct}}
      .dump();
}

std::uint64_t plan_hash(const Day& day, const Plan& plan) {
  std::uint64_t hash = plan.seed;
  for (std::size_t k = 0; k < plan.requests.size(); ++k)
    hash = kit::hash_of(plan_line(day, plan, k), hash);
  return hash;
}

}  // namespace violetusher::rehearse
