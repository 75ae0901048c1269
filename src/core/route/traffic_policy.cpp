#include "traffic_policy.hpp"

#include <algorithm>

namespace violetusher::core {
namespace {

Limiter::Settings settings_of(const config::Limit& l) {
  return {l.rate, static_cast<double>(std::max<std::int64_t>(l.burst, 1)), l.in_flight,
          l.retry_after};
}

}  // namespace

TrafficPolicy::TrafficPolicy(config::Model model, const TrafficPolicy* previous)
    : model_(std::move(model)), routing_(model_) {
  // Each owner of a limit has its own counters.
  auto limiter = [&](Owner kind, const std::string& owner, const std::string& limit) {
    if (limit.empty()) return;
    const config::Limit& set = model_.limits.at(limit);
    std::shared_ptr<Limiter> kept;
    if (previous)
      if (auto it = previous->limiters_[kind].find(owner); it != previous->limiters_[kind].end())
        kept = it->second;
    if (kept)
      kept->change(settings_of(set));
    else
      kept = std::make_shared<Limiter>(settings_of(set));
    limiters_[kind][owner] = kept;
  };
  auto budgets = [&](Owner kind, const std::string& owner, const std::string& budget) {
    if (budget.empty()) return;
    const config::Budget& set = model_.budgets.at(budget);
    if (previous)
      if (auto it = previous->budgets_[kind].find(owner);
          it != previous->budgets_[kind].end() && it->second.settings == set) {
        budgets_[kind][owner] = it->second;
        return;
      }
    budgets_[kind][owner] = {set, std::make_shared<RetryBudget>(set.retries, set.floor),
                             std::make_shared<RetryBudget>(set.hedges, 0),
                             std::make_shared<PoolFailureRate>()};
  };
  // With equal worth for all classes there is nothing to shed by.
  std::map<std::string, std::int64_t> worth;
  bool differ = false;
  for (const auto& [name, c] : model_.classes) worth[name] = c.worth, differ |= c.worth != 1;
  bool same_worth = previous && previous->model_.classes == model_.classes;
  for (const auto& [name, t] : model_.tenants) limiter(kTenant, name, t.limit);
  for (const auto& [name, c] : model_.classes) limiter(kClass, name, c.limit);
  for (const auto& [name, r] : model_.routes) {
    limiter(kRoute, name, r.limit);
    budgets(kRoute, name, r.budget);
    if (r.fallbacks.empty()) continue;
    if (previous) {
      auto it = previous->model_.routes.find(name);
      auto kept = previous->fallbacks_.find(name);
      if (it != previous->model_.routes.end() && it->second == r &&
          kept != previous->fallbacks_.end()) {
        fallbacks_[name] = kept->second;
        continue;
      }
    }
    fallbacks_[name] =
        std::make_shared<Fallback>(Fallback::Settings{r.failover_at, r.failback_at, r.spill});
  }
  for (const auto& [name, p] : model_.pools) {
    limiter(kPool, name, p.limit);
    if (differ && !p.limit.empty()) {
      auto kept = same_worth ? previous->load_shedders_.find(name)
                             : decltype(load_shedders_)::const_iterator{};
      load_shedders_[name] = same_worth && kept != previous->load_shedders_.end()
                                 ? kept->second
                                 : std::make_shared<LoadShedder>(worth);
    }
    budgets(kPool, name, p.budget);
    if (p.shares.empty() || p.limit.empty()) continue;
    const config::Limit& set = model_.limits.at(p.limit);
    if (set.in_flight == 0) continue;
    if (previous) {
      auto it = previous->shares_.find(name);
      auto old = previous->model_.pools.find(name);
      if (it != previous->shares_.end() && it->second.first == set &&
          old->second.shares == p.shares) {
        shares_[name] = it->second;
        continue;
      }
    }
    shares_[name] = {set, std::make_shared<FairShares>(set.in_flight, p.shares)};
  }
}

template <typename T>
const std::string* TrafficPolicy::name_in(const std::map<std::string, T>& map,
                                          const std::string& name) const {
  auto it = map.find(name);
  return it == map.end() ? nullptr : &it->first;
}

/// Looks up everything that the request will use during its life; allocates only for a long tenant
/// name.
void TrafficPolicy::resolve_limits(const RouteRequest& request, Ticket& t) {
  const std::string_view owners[] = {request.tenant, request.type, *t.route, *t.pool};
  for (std::size_t kind = 0; kind < kOwnerKinds; ++kind)
    if (auto it = limiters_[kind].find(owners[kind]); it != limiters_[kind].end())
      t.limiters[t.limits++] = it->second.get();
  if (auto it = shares_.find(*t.pool); it != shares_.end()) {
    t.shares = it->second.second.get();
    t.tenant = request.tenant;
  }
  for (Owner kind : {kPool, kRoute})  // the route's budget overrides its pool's
    if (auto it = budgets_[kind].find(owners[kind]); it != budgets_[kind].end())
      t.budgets = &it->second;
}

TrafficPolicy::Decision TrafficPolicy::admit(Micros now, const RouteRequest& request, bool keyed,
                                             const PoolState& pools) {
  Decision d;
  d.ticket.route = routing_.find(request);
  if (!d.ticket.route) return d;
  const config::Route& route = model_.routes.at(*d.ticket.route);
  d.ticket.pool = name_in(model_.pools, route.pool);
  if (auto it = fallbacks_.find(*d.ticket.route); it != fallbacks_.end()) {
    d.ticket.fallback = it->second.get();
    // The first fallback with a live server. A keyed write may be a client's retry of one that has
    // run in the primary pool: it goes only where duplicates are dropped.
    const std::string* to = nullptr;
    for (const std::string& f : route.fallbacks)
      if (!to && pools.has_live(f) &&
          (!keyed || (pools.shares_deduplication(f) && pools.shares_deduplication(route.pool))))
        to = name_in(model_.pools, f);
    if (it->second->use_fallback(now, pools.has_live(route.pool), to != nullptr)) {
      d.ticket.pool = to;
      d.ticket.on_fallback = true;
    }
  }
  resolve_limits(request, d.ticket);
  Limiter::Decision decision = admit_with_shedding(now, request, d.ticket);
  d.admitted = d.ticket.admitted = decision.admitted;
  d.retry_after = decision.retry_after;
  return d;
}

/// Applies the limits and the shares, unless the request is shed in favour of classes of higher
/// worth.
Limiter::Decision TrafficPolicy::admit_with_shedding(Micros now, const RouteRequest& request,
                                                     const Ticket& ticket) {
  auto it = load_shedders_.find(*ticket.pool);
  LoadShedder* shedder = it == load_shedders_.end() ? nullptr : it->second.get();
  if (shedder && !shedder->may_request(now, request.type))
    return {false, model_.limits.at(model_.pools.at(*ticket.pool).limit).retry_after};
  Limiter::Decision decision = admit_all(now, ticket.active_limiters());
  // A refusal by the limit of a tenant, class or route is no sign of load on the pool.
  bool by_pool = false;
  if (auto pool = limiters_[kPool].find(*ticket.pool); pool != limiters_[kPool].end())
    by_pool = !decision.admitted && decision.refused_by == pool->second.get();
  if (decision.admitted && ticket.shares && !ticket.shares->admit(now, ticket.tenant)) {
    for (Limiter* l : ticket.active_limiters()) l->undo();
    decision = {false, shares_.find(*ticket.pool)->second.first.retry_after};
    by_pool = true;
  }
  if (shedder && (decision.admitted || by_pool))
    shedder->on_answer(now, request.type, decision.admitted);
  return decision;
}

void TrafficPolicy::on_attempt_end(Micros now, const Ticket& ticket, bool failed) {
  Budgets* b = ticket.budgets;
  if (!b) return;
  b->failure_rate->on_end(now, failed);
  double factor = b->failure_rate->factor(now);
  b->retries->tighten(factor);
  b->hedges->tighten(factor);
}

void TrafficPolicy::end(Micros now, Ticket& ticket, bool refused) {
  if (!ticket.admitted) return;
  ticket.admitted = false;
  for (Limiter* l : ticket.active_limiters()) l->release();
  if (ticket.shares) ticket.shares->release(ticket.tenant);
  if (ticket.fallback && !ticket.on_fallback) ticket.fallback->on_end(now, refused);
}

void TrafficPolicy::on_first_attempt(Micros now, const Ticket& ticket) {
  if (!ticket.budgets) return;
  ticket.budgets->retries->on_first_attempt(now);
  ticket.budgets->hedges->on_first_attempt(now);
}

bool TrafficPolicy::may_retry(Micros now, const Ticket& ticket, bool hedge) {
  const Budgets* b = ticket.budgets;
  return !b || (hedge ? b->hedges : b->retries)->try_consume(now);
}

bool matches(std::string_view pattern, std::string_view text) {
  // Only the last star is ever retried: linear in practice, and always bounded.
  std::size_t p = 0, t = 0, star = pattern.npos, mark = 0;
  while (t < text.size()) {
    if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      mark = t;
    } else if (p < pattern.size() && pattern[p] == text[t]) {
      ++p, ++t;
    } else if (star != pattern.npos) {
      p = star + 1;
      t = ++mark;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

bool selected(const config::Selection& pool, const Server& server) {
  auto among = [](const auto& list, const auto& value) {
    return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
  };
  return pool.servers.empty() && among(pool.zones, server.zone) && among(pool.kinds, server.kind) &&
         among(pool.blocks, server.cell) &&
         (pool.hosts.empty() ||
          std::any_of(pool.hosts.begin(), pool.hosts.end(),
                      [&](const std::string& p) { return matches(p, server.id); }));
}

}  // namespace violetusher::core
