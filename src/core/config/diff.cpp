#include "diff.hpp"

#include <algorithm>
#include <set>

#include "schema.hpp"

namespace violetusher::core::config {
namespace {

std::string list_of(const std::vector<std::string>& items) {
  std::string text;
  for (const auto& item : items) text += (text.empty() ? "" : ", ") + item;
  return text;
}

std::string text_of(const Limit& l) {
  std::string text;
  auto add = [&](const std::string& part) { text += (text.empty() ? "" : ", ") + part; };
  if (l.rate > 0)
    add(format_quantity(Type::kRate, l.rate) + " with bursts of " + std::to_string(l.burst));
  if (l.in_flight > 0) add(std::to_string(l.in_flight) + " in flight");
  if (l.retry_after > 0)
    add("retry after " + format_quantity(Type::kDuration, static_cast<double>(l.retry_after)));
  return text.empty() ? "none" : text;
}

std::string limit_text(const Model& m, const std::string& name) {
  auto it = m.limits.find(name);
  return it == m.limits.end() ? "none" : text_of(it->second);
}

std::string budget_text(const Model& m, const std::string& name) {
  auto it = m.budgets.find(name);
  if (it == m.budgets.end()) return "none";
  const Budget& b = it->second;
  return "retries " + format_quantity(Type::kShare, b.retries) + ", hedges " +
         format_quantity(Type::kShare, b.hedges) + ", floor " +
         format_quantity(Type::kRate, b.floor);
}

std::string pool_text(const Model& m, const std::string& name) {
  auto it = m.pools.find(name);
  if (it == m.pools.end()) return "nothing";
  const Pool& p = it->second;
  std::string text;
  auto add = [&](const char* what, const std::vector<std::string>& items) {
    if (!items.empty())
      text += (text.empty() ? "" : "; ") + std::string(what) + " " + list_of(items);
  };
  add("servers", p.servers), add("halls", p.zones), add("kinds", p.kinds), add("hosts", p.hosts);
  std::vector<std::string> blocks;
  for (auto b : p.blocks) blocks.push_back(std::to_string(b));
  add("blocks", blocks);
  if (text.empty()) text = "the full host list";
  for (const auto& [tenant, share] : p.shares)
    text += "; " + tenant + " " + format_quantity(Type::kPercent, share);
  return text + "; limit " + limit_text(m, p.limit) + "; budget " + budget_text(m, p.budget);
}

template <typename Map, typename Text>
void compare(const char* kind, const Map& before, const Map& after, Text text,
             std::vector<Change>& out) {
  for (const auto& [name, item] : before) {
    auto it = after.find(name);
    if (it == after.end())
      out.push_back({kind, name, "is removed (was: " + text(item, true) + ")", {}});
    else if (text(item, true) != text(it->second, false))
      out.push_back({kind, name, text(it->second, false) + " instead of " + text(item, true), {}});
  }
  for (const auto& [name, item] : after)
    if (!before.count(name)) out.push_back({kind, name, "is added: " + text(item, false), {}});
}

}  // namespace

std::string subject_of(const RouteMatch& r) {
  std::string text;
  auto add = [&](const std::string& part) { text += (text.empty() ? "" : ", ") + part; };
  if (!r.listener.empty()) add("listener " + r.listener);
  if (!r.tenant.empty()) add("tenant " + r.tenant);
  if (!r.type.empty()) add("class " + r.type);
  if (!r.prefix.empty()) add("prefix \"" + r.prefix + "\"");
  return text.empty() ? "all requests" : text;
}

Routing::Routing(const Model& model)
    : names([&] {
        std::vector<std::string> list;
        for (const auto& [name, route] : model.routes) list.push_back(name);
        return list;
      }()),
      matches([&] {
        std::vector<RouteMatch> list;
        for (const auto& [name, r] : model.routes)
          list.push_back({r.listener, r.tenant, r.type, r.prefix});
        return list;
      }()),
      table(matches) {}

const std::string* Routing::find(const RouteRequest& request) const {
  std::uint32_t found = table.find(request);
  return found == RouteTable::kNone ? nullptr : &names[found];
}

std::string effect_of(const Model& model, const std::string* route) {
  if (!route) return "no route: refused";
  const Route& r = model.routes.at(*route);
  std::string text = "pool {" + pool_text(model, r.pool) + "}";
  for (const std::string& f : r.fallbacks) text += ", then {" + pool_text(model, f) + "}";
  if (!r.fallbacks.empty())
    text += " failover at " + format_quantity(Type::kPercent, r.failover_at) + ", failback at " +
            format_quantity(Type::kPercent, r.failback_at) + ", spill " +
            format_quantity(Type::kPercent, r.spill);
  return text + ", limit " + limit_text(model, r.limit) + ", budget " +
         budget_text(model, r.budget);
}

std::vector<Change> diff(const Model& before, const Model& after) {
  std::vector<Change> out;
  // Routing can change only for values that some route of either model names. For each combination
  // of them, a request with exactly these values is looked up in both models.
  Routing old_routing(before), new_routing(after);
  std::set<std::string> listeners{""}, tenants{""}, types{""}, prefixes{""};
  for (const auto* routing : {&old_routing, &new_routing})
    for (const RouteMatch& r : routing->matches) {
      listeners.insert(r.listener);
      tenants.insert(r.tenant);
      types.insert(r.type);
      prefixes.insert(r.prefix);
    }
  for (const auto* m : {&before, &after}) {
    for (const auto& [name, item] : m->listeners) listeners.insert(name);
    for (const auto& [name, item] : m->tenants) tenants.insert(name);
    for (const auto& [name, item] : m->classes) types.insert(name);
  }
  // A combination is reported only if its difference isn't covered by a less specific one, so that
  // one change gives one line. Beyond this number, only the routes' own matches are compared.
  constexpr std::size_t kMaxCombinations = 200'000;
  std::vector<RouteMatch> matches;
  if (listeners.size() * tenants.size() * types.size() * prefixes.size() <= kMaxCombinations) {
    for (const auto& l : listeners)
      for (const auto& t : tenants)
        for (const auto& c : types)
          for (const auto& p : prefixes) matches.push_back({l, t, c, p});
  } else {
    matches = old_routing.matches;
    matches.insert(matches.end(), new_routing.matches.begin(), new_routing.matches.end());
  }
  auto named = [](const RouteMatch& r) {
    return !r.listener.empty() + !r.tenant.empty() + !r.type.empty() + !r.prefix.empty();
  };
  std::stable_sort(matches.begin(), matches.end(),
                   [&](const RouteMatch& a, const RouteMatch& b) { return named(a) < named(b); });
  std::vector<std::pair<RouteMatch, std::string>> lines;
  auto covers = [](const RouteMatch& wide, const RouteMatch& r) {
    return (wide.listener.empty() || wide.listener == r.listener) &&
           (wide.tenant.empty() || wide.tenant == r.tenant) &&
           (wide.type.empty() || wide.type == r.type) && r.prefix.starts_with(wide.prefix);
  };
  for (const RouteMatch& match : matches) {
    RouteRequest request{match.listener, match.tenant, match.type, match.prefix};
    std::string was = effect_of(before, old_routing.find(request)),
                is = effect_of(after, new_routing.find(request));
    if (was == is) continue;
    std::string what = is + " instead of " + was;
    bool known = std::any_of(lines.begin(), lines.end(), [&](auto& line) {
      return line.second == what && covers(line.first, match);
    });
    if (known) continue;
    lines.emplace_back(match, what);
    out.push_back({"route", subject_of(match), what, match});
  }
  compare(
      "class", before.classes, after.classes,
      [&](const Class& c, bool old) {
        return std::to_string(c.attempts) + " attempts, worth " + std::to_string(c.worth) +
               (c.keyed ? ", keyed" : "") + ", limit " + limit_text(old ? before : after, c.limit);
      },
      out);
  compare(
      "tenant", before.tenants, after.tenants,
      [&](const Tenant& t, bool old) {
        return "limit " + limit_text(old ? before : after, t.limit);
      },
      out);
  compare(
      "listener", before.listeners, after.listeners,
      [&](const Listener& l, bool) { return l.address; }, out);
  if (before.logs != after.logs) {
    auto text = [](const Model& m) {
      Log l = m.logs.empty() ? Log() : m.logs.begin()->second;
      return l.format + ", from " + l.level;
    };
    if (text(before) != text(after))
      out.push_back({"log", "log", text(before) + " -> " + text(after), {}});
  }
  if (before.ledgers != after.ledgers || before.peers != after.peers ||
      before.rollouts != after.rollouts) {
    auto text = [](const Model& m) {
      if (m.ledgers.empty()) return std::string("off");
      const Ledger& l = m.ledgers.begin()->second;
      return l.fleet + " in " + l.folder + ", " + (l.may_vote ? "may vote" : "follows") + ", " +
             std::to_string(l.voters) + " voters, " + std::to_string(m.peers.size()) + " peers, " +
             std::to_string(m.rollouts.size()) + " rolled-out files";
    };
    out.push_back(
        {"ledger", "ledger", text(before) + " -> " + text(after) + " (at the next start)", {}});
  }
  if (before.audits != after.audits) {
    auto text = [](const Model& m) {
      if (m.audits.empty()) return std::string("off");
      const Audit& a = m.audits.begin()->second;
      return a.folder + ", " + format_quantity(Type::kSize, static_cast<double>(a.size)) + ", " +
             format_quantity(Type::kDuration, static_cast<double>(a.keep)) + ", every " +
             format_quantity(Type::kDuration, static_cast<double>(a.every));
    };
    out.push_back(
        {"audit", "audit trail", text(before) + " -> " + text(after) + " (at the next start)", {}});
  }
  if (before.recorders != after.recorders) {
    auto text = [](const Model& m) {
      if (m.recorders.empty()) return std::string("off");
      const Recorder& r = m.recorders.begin()->second;
      return r.file + ", " + format_quantity(Type::kSize, static_cast<double>(r.size));
    };
    out.push_back({"recorder",
                   "flight recorder",
                   text(before) + " -> " + text(after) + " (at the next start)",
                   {}});
  }
  return out;
}

std::string explain(const Model& model, const RouteRequest& request) {
  Routing routing(model);
  std::string text;
  std::uint32_t found = routing.table.explain(
      request, [&](bool listener, bool tenant, bool type, std::uint32_t route) {
        std::string by;
        auto add = [&](bool yes, const char* what, std::string_view value) {
          if (yes) by += (by.empty() ? "" : ", ") + std::string(what) + " " + std::string(value);
        };
        add(listener, "listener", request.listener), add(tenant, "tenant", request.tenant),
            add(type, "class", request.type);
        text += "routes of " + (by.empty() ? std::string("anybody") : by) + ": " +
                (route == RouteTable::kNone
                     ? "none with a matching prefix"
                     : "'" + routing.names[route] + "'" +
                           (routing.matches[route].prefix.empty()
                                ? ""
                                : " by prefix \"" + routing.matches[route].prefix + "\"")) +
                "\n";
      });
  if (found == RouteTable::kNone) return text + "no route: refused\n";
  const Route& r = model.routes.at(routing.names[found]);
  text += "pool '" + r.pool + "': " + pool_text(model, r.pool) + "\n";
  for (const std::string& f : r.fallbacks)
    text += "fallback pool '" + f + "': " + pool_text(model, f) + "\n";
  auto limit = [&](const std::string& of, const std::string& name) {
    if (!name.empty())
      text += "limit of the " + of + " '" + name + "': " + limit_text(model, name) + "\n";
  };
  if (auto t = model.tenants.find(std::string(request.tenant)); t != model.tenants.end())
    limit("tenant", t->second.limit);
  if (auto c = model.classes.find(std::string(request.type)); c != model.classes.end())
    limit("class", c->second.limit);
  limit("route", r.limit);
  limit("pool", model.pools.at(r.pool).limit);
  const std::string& budget = r.budget.empty() ? model.pools.at(r.pool).budget : r.budget;
  if (!budget.empty())
    text += "retry budget '" + budget + "': " + budget_text(model, budget) + "\n";
  return text;
}

}  // namespace violetusher::core::config
