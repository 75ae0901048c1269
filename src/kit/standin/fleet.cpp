#include "fleet.hpp"

#include <algorithm>

#include "price_cache.hpp"

namespace violetusher::standin {
namespace {

constexpr Micros kSampleEvery = 250'000;  // between load samples for the report

bool is_discovery_fault(FaultKind kind) { return kind >= FaultKind::kDiscoveryDown; }
bool is_call_fault(FaultKind kind) { return kind >= FaultKind::kCallsReset; }

}  // namespace

int FleetState::zone_of(int router) const {
  return router < static_cast<int>(router_zones.size())
             ? router_zones[static_cast<std::size_t>(router)]
             : -1;
}

bool FleetState::active(const Fault& fault) const {
  if (!origin_time) return false;
  Micros now = day();
  return now >= fault.from && now < fault.until;
}

bool FleetState::partitioned(int router, int hall) const {
  int from = zone_of(router);
  if (from < 0 || from == hall) return false;
  return std::any_of(faults.begin(), faults.end(), [&](const Fault& f) {
    return f.kind == FaultKind::kHallCut && active(f) && (f.hall == from || f.hall == hall);
  });
}

Micros FleetState::network_delay(int router, int hall) const {
  int from = zone_of(router);
  if (from < 0 || from == hall) return spec.same;
  Micros way = spec.cross;
  for (const Fault& f : faults)
    if (f.kind == FaultKind::kHallSlow && active(f) && (f.hall == from || f.hall == hall))
      way += f.delay;
  return way;
}

Fleet::Fleet(kit::Loop& loop, const FleetSpec& spec, std::vector<Fault> faults, std::uint64_t seed,
             std::vector<int> router_zones, kit::History& history)
    : shared_{loop,
              spec,
              kit::Draws(seed),
              history,
              std::move(router_zones),
              std::move(faults),
              0,
              IdempotencyCache(spec.repeat_window),
              Station(spec.origin.parallel, spec.origin.waiting),
              {},
              {},
              1,
              [this] { pump_origin(); },
              {}} {
  int routers = static_cast<int>(shared_.router_zones.size());
  discovery_ = std::make_unique<DiscoveryStandin>(loop, spec, routers, history);
  for (std::size_t k = 0; k < spec.servers.size(); ++k) {
    history.servers.push_back(spec.servers[k].id);
    shared_.caches.push_back(
        std::make_unique<PriceCache>(shared_, static_cast<int>(k), routers + 1));
    if (spec.servers[k].joins > 0) continue;
    shared_.caches.back()->start(0);
    discovery_->publish(entry(*shared_.caches.back(), Health::Ready));
  }
}

Fleet::~Fleet() = default;

DiscoveryStandin::Entry Fleet::entry(const PriceCache& cache, Health health) const {
  DiscoveryStandin::Entry e;
  e.server = cache.server();
  e.id = cache.id();
  e.hall = shared_.spec.halls[static_cast<std::size_t>(cache.spec().hall)];
  e.kind = shared_.spec.kinds[static_cast<std::size_t>(cache.spec().kind)].name;
  e.block = cache.spec().block;
  e.health = health;
  e.born = cache.born();
  for (std::size_t r = 0; r < shared_.router_zones.size(); ++r)
    e.dials.push_back(cache.address(static_cast<int>(r)));
  return e;
}

std::string Fleet::address(int server, int router) const {
  return shared_.caches[static_cast<std::size_t>(server)]->address(router);
}

std::string Fleet::discovery_address(int router) const { return discovery_->address(router); }
std::string Fleet::list_json(int router) const { return discovery_->whole(router); }

std::size_t Fleet::connections() const {
  std::size_t sum = 0;
  for (const auto& cache : shared_.caches) sum += cache->connections();
  return sum;
}

void Fleet::start(Micros origin) {
  shared_.origin_time = origin;
  shared_.loop.reset_lateness();
  kit::Loop& loop = shared_.loop;
  for (const Fault& fault : shared_.faults) {
    loop.at(origin + fault.from, [this, &fault] { begin(fault); });
    loop.at(origin + fault.until, [this, &fault] { end(fault); });
  }
  for (auto& cache : shared_.caches) {
    Micros joins = cache->spec().joins;
    if (joins <= 0) continue;
    loop.at(origin + joins, [this, c = cache.get()] {
      c->start(shared_.loop.now());
      publish_later(entry(*c, Health::Ready), shared_.spec.notice);
    });
  }
  sample();
}

/// Publishes `entry` in discovery's list after `after` and the delays of active faults.
void Fleet::publish_later(DiscoveryStandin::Entry entry, Micros after) {
  for (const Fault& f : shared_.faults)
    if (f.kind == FaultKind::kDiscoveryLate && shared_.active(f)) after += f.delay;
  shared_.loop.at(shared_.loop.now() + after,
                  [this, entry = std::move(entry)] { discovery_->publish(entry); });
}

void Fleet::begin(const Fault& fault) {
  if (fault.kind == FaultKind::kDiscoveryDown) return discovery_->set_down(true);
  if (fault.kind == FaultKind::kDiscoverySilent) return discovery_->silence_watches();
  if (fault.kind == FaultKind::kDiscoveryReset) return discovery_->reset_watches();
  if (fault.kind == FaultKind::kDiscoverySlow) return discovery_->set_delay(fault.delay);
  if (is_call_fault(fault.kind)) return discovery_->set_call_fault(fault.kind, fault.rate);
  const FleetSpec& spec = shared_.spec;
  for (int server : fault.servers) {
    PriceCache& cache = *shared_.caches[static_cast<std::size_t>(server)];
    switch (fault.kind) {
      case FaultKind::kDies:
        cache.stop();
        publish_later(entry(cache, Health::Removed), spec.notice);
        break;
      case FaultKind::kVanishes:
        if (fault.until - fault.from > spec.silent_notice)
          publish_later(entry(cache, Health::Removed), spec.silent_notice);
        break;
      case FaultKind::kDrain:
        cache.drain();
        publish_later(entry(cache, Health::Draining), spec.notice);
        break;
      case FaultKind::kReplaced: {
        cache.stop();
        publish_later(entry(cache, Health::Removed), spec.notice);
        shared_.loop.at(shared_.loop.now() + fault.delay, [this, &cache] {
          shared_.history.servers.push_back(cache.id() + "+");
          cache.rename(static_cast<int>(shared_.history.servers.size()) - 1);
          cache.start(shared_.loop.now());
          publish_later(entry(cache, Health::Ready), shared_.spec.notice);
        });
        break;
      }
      default:
        break;
    }
  }
  if (!is_discovery_fault(fault.kind))
    for (auto& cache : shared_.caches) cache->refresh();
}

void Fleet::end(const Fault& fault) {
  if (fault.kind == FaultKind::kDiscoveryDown) return discovery_->set_down(false);
  if (fault.kind == FaultKind::kDiscoverySlow) return discovery_->set_delay(0);
  if (is_call_fault(fault.kind)) return discovery_->set_call_fault(fault.kind, 0);
  const FleetSpec& spec = shared_.spec;
  for (int server : fault.servers) {
    PriceCache& cache = *shared_.caches[static_cast<std::size_t>(server)];
    switch (fault.kind) {
      case FaultKind::kVanishes:
      case FaultKind::kDies:
        // The server comes back as a new process: connections to the old one are reset.
        cache.stop();
        cache.start(shared_.loop.now());
        publish_later(entry(cache, Health::Ready), spec.notice);
        break;
      case FaultKind::kDrain:
        cache.stop();
        publish_later(entry(cache, Health::Removed), spec.notice);
        break;
      default:
        break;
    }
  }
  if (!is_discovery_fault(fault.kind))
    for (auto& cache : shared_.caches) cache->refresh();
}

void Fleet::pump_origin() {
  auto next = shared_.origin.next();
  Micros now = shared_.loop.now();
  if (!next || (next_origin_pump_ > now && next_origin_pump_ <= *next)) return;
  next_origin_pump_ = *next;
  shared_.loop.at(*next, [this] {
    next_origin_pump_ = 0;
    for (std::uint64_t token : shared_.origin.take_done(shared_.loop.now())) {
      auto it = shared_.at_origin.find(token);
      if (it == shared_.at_origin.end()) continue;  // its connection was closed
      Exchange& exchange = *it->second;
      shared_.at_origin.erase(it);
      shared_.owner_of(exchange).origin_done(exchange);
    }
    pump_origin();
  });
}

void Fleet::sample() {
  for (auto& cache : shared_.caches) cache->sample();
  shared_.loop.at(shared_.loop.now() + std::min(kSampleEvery, shared_.spec.report_every),
                  [this] { sample(); });
}

}  // namespace violetusher::standin
