#include "day.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "kit/common/ledger_faults.hpp"
#include "kit/common/random.hpp"
#include "kit/common/units.hpp"
#include "protocol/command.hpp"
#include "toml_reader.hpp"

namespace violetusher::rehearse {
namespace {

constexpr std::uint64_t kMaxPieceBytes = 64u << 10;  // of an answer that is written slowly

using standin::FaultKind;

constexpr std::int64_t kMaxServers = 128, kMaxRouters = 32;
constexpr Micros kMaxDayLength = 3'600'000'000;
constexpr double kMaxRequests = 5e6;
constexpr std::size_t kMaxFileBytes = 1u << 20;

int index_of(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

int hall_of(TableReader& t, const char* key, const Day& day) {
  std::string name = t.text(key);
  int hall = index_of(day.fleet.halls, name);
  if (hall < 0) t.fail(key, "no hall '" + name + "' (halls: " + joined(day.fleet.halls) + ")");
  return hall;
}

void read_halls(TableReader t, Day& day) {
  day.fleet.halls =
      t.has("names") ? t.texts("names") : std::vector<std::string>{"bole", "kality", "piassa"};
  for (std::size_t k = 0; k < day.fleet.halls.size(); ++k)
    for (std::size_t j = 0; j < k; ++j)
      if (day.fleet.halls[k] == day.fleet.halls[j])
        t.fail("names", "'" + day.fleet.halls[k] + "' is listed twice");
  day.fleet.same = t.duration("same", day.fleet.same);
  day.fleet.cross = t.duration("cross", day.fleet.cross);
  t.reject_unknown_keys();
}

int kind_of(TableReader& t, const Day& day) {
  std::string name = t.text("kind");
  std::vector<std::string> names;
  for (const auto& kind : day.fleet.kinds) names.push_back(kind.name);
  int kind = index_of(names, name);
  if (kind < 0) t.fail("kind", "no machine kind '" + name + "' (kinds: " + joined(names) + ")");
  return kind;
}

void add_servers(Day& day, int kind, int hall, std::int64_t count, Micros joins, TableReader& t) {
  for (std::int64_t k = 0; k < count; ++k) {
    standin::ServerSpec s;
    int number = static_cast<int>(day.fleet.servers.size());
    s.id = "pc-" + std::to_string(number + 1);
    s.kind = kind;
    s.hall = hall >= 0 ? hall : number % static_cast<int>(day.fleet.halls.size());
    s.block = number / 4;
    s.joins = joins;
    day.fleet.servers.push_back(s);
  }
  if (static_cast<std::int64_t>(day.fleet.servers.size()) > kMaxServers)
    t.fail("count", "more than " + std::to_string(kMaxServers) + " price caches");
}

void read_fleet(TableReader t, Day& day) {
  auto& f = day.fleet;
  f.kinds = {{"std-4c", 4, 0.95, 48, 64u << 20, 96, 2'500},
             {"small-3c", 3, 0.6, 36, 48u << 20, 72, 2'500}};
  for (TableReader k : t.tables("kind")) {
    standin::MachineKind kind;
    kind.name = k.text("name");
    kind.cores = static_cast<int>(k.integer("cores", kind.cores, 1, 256));
    kind.speed = k.number("speed", kind.speed, 0.01, 100);
    kind.waiting = static_cast<int>(k.integer("waiting", kind.waiting, 0, 100'000));
    kind.memory = k.size("memory", kind.memory);
    kind.connections = static_cast<int>(k.integer("connections", kind.connections, 1, 10'000));
    kind.connect_work = k.duration("connect_work", kind.connect_work);
    k.reject_unknown_keys();
    auto same = std::find_if(f.kinds.begin(), f.kinds.end(),
                             [&](auto& other) { return other.name == kind.name; });
    if (same == f.kinds.end())
      f.kinds.push_back(kind);
    else
      *same = kind;
  }
  auto groups = t.tables("servers");
  if (groups.empty()) t.fail_table("no [[fleet.servers]]: a day needs at least one price cache");
  for (TableReader& g : groups) {
    int kind = kind_of(g, day);
    int hall = g.has("hall") ? hall_of(g, "hall", day) : -1;
    std::int64_t count = g.integer("count", 1, 1, kMaxServers);
    Micros joins = g.duration("joins", 0);
    if (joins >= day.length) g.fail("joins", "past the end of the day");
    add_servers(day, kind, hall, count, joins, g);
    g.reject_unknown_keys();
  }
  f.streams = static_cast<int>(t.integer("streams", f.streams, 1, 1000));
  f.idle_close = t.duration("idle_close", f.idle_close);
  f.handshake = t.duration("handshake", f.handshake);
  f.report_every = std::max<Micros>(t.duration("report_every", f.report_every), 10'000);
  f.report_lag = t.duration("report_lag", f.report_lag);
  f.held = t.fraction("held", f.held);
  f.cold_share = t.number("cold_share", f.cold_share, 0.01, 1);
  f.warm_up = t.duration("warm_up", f.warm_up);
  f.fall_multiple = t.number("fall_multiple", f.fall_multiple, 1, 1000);
  f.fall_after = t.duration("fall_after", f.fall_after);
  f.repeat_window = t.duration("repeat_window", f.repeat_window);
  f.drop_gone_work = t.flag("drop_gone_work", f.drop_gone_work);
  f.value_low = static_cast<Micros>(t.size("value_low", static_cast<std::uint64_t>(f.value_low)));
  f.value_high =
      static_cast<Micros>(t.size("value_high", static_cast<std::uint64_t>(f.value_high)));
  if (f.value_low > f.value_high || f.value_high > 65'536)
    t.fail(t.has("value_high") ? "value_high" : "value_low", "must be between value_low and 64KiB");
  f.long_share = t.fraction("long_share", f.long_share);
  f.long_high = t.size("long_high", f.long_high);
  if (f.long_high <= protocol::kMaxValueBytes || f.long_high > standin::kMaxLongValueBytes)
    t.fail("long_high", "must be more than 64KiB and at most 1MiB");
  t.reject_unknown_keys();
}

void read_origin(TableReader t, Day& day) {
  auto& o = day.fleet.origin;
  o.parallel = static_cast<int>(t.integer("parallel", o.parallel, 1, 10'000));
  o.time = t.duration("time", o.time);
  o.waiting = static_cast<int>(t.integer("waiting", o.waiting, 0, 100'000));
  t.reject_unknown_keys();
}

void read_discovery(TableReader t, Day& day) {
  auto& f = day.fleet;
  f.notice = t.duration("notice", f.notice);
  f.silent_notice = t.duration("silent_notice", f.silent_notice);
  f.calls_per_s = t.rate("calls", f.calls_per_s);
  f.call_limit = t.duration("call_limit", f.call_limit);
  f.failing_calls_free = t.flag("failing_calls_free", f.failing_calls_free);
  f.call_places = static_cast<std::size_t>(
      t.integer("call_places", static_cast<std::int64_t>(f.call_places), 1, 1 << 20));
  f.pushed = t.flag("pushed", f.pushed);
  f.ask_within = t.duration("ask_within", f.ask_within);
  t.reject_unknown_keys();
}

/// The text of the operator file that `operator` names, relative to the day file. The routers get
/// it as a memory file, so it cannot include other files.
std::string operator_of(TableReader& t, const Day& day) {
  std::string name = t.text("operator", "");
  if (name.empty()) return name;
  std::size_t slash = day.file.rfind('/');
  std::string path =
      name[0] == '/' || slash == day.file.npos ? name : day.file.substr(0, slash + 1) + name;
  struct stat info {};
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (::stat(path.c_str(), &info) != 0 || !S_ISREG(info.st_mode) ||
      static_cast<std::size_t>(info.st_size) > kMaxFileBytes || !(text << file.rdbuf()))
    t.fail("operator",
           "'" + name + "' is not a regular file of at most 1 MiB, relative to the day file");
  return text.str();
}

void read_routers(TableReader t, Day& day) {
  auto& r = day.routers;
  if (t.has("halls")) {
    for (const std::string& name : t.texts("halls")) {
      int hall = index_of(day.fleet.halls, name);
      if (hall < 0)
        t.fail("halls", "no hall '" + name + "' (halls: " + joined(day.fleet.halls) + ")");
      r.halls.push_back(hall);
    }
    if (static_cast<std::int64_t>(r.halls.size()) > kMaxRouters)
      t.fail("halls", "more than " + std::to_string(kMaxRouters) + " routers");
  } else {
    std::int64_t count = t.integer("count", 2, 1, kMaxRouters);
    for (std::int64_t k = 0; k < count; ++k)
      r.halls.push_back(static_cast<int>(k) % static_cast<int>(day.fleet.halls.size()));
  }
  r.memory = t.size("memory", r.memory);
  if (r.memory < (16u << 20)) t.fail("memory", "must be at least 16MiB");
  r.sockets = static_cast<int>(t.integer("sockets", r.sockets, 64, 100'000));
  r.max_attempts = static_cast<int>(t.integer("max_attempts", r.max_attempts, 1, 100));
  r.retry_after = t.flag("retry_after", r.retry_after);
  r.operator_text = operator_of(t, day);
  t.reject_unknown_keys();
}

/// Reads an interval within the day: `at`, and `until` or `for`. Without an end it lasts until the
/// end of the day, unless `must_end`.
void read_span(TableReader& t, const Day& day, Micros& from, Micros& until, bool must_end) {
  from = t.duration("at");
  if (from >= day.length)
    t.fail("at", "past the end of the day (" + kit::duration_text(day.length) + ")");
  if (t.has("until") && t.has("for")) t.fail("for", "'until' and 'for' exclude each other");
  until = day.length;
  if (t.has("until"))
    until = t.duration("until");
  else if (t.has("for"))
    until = from + t.duration("for");
  else if (must_end)
    t.fail_table("'until' or 'for' is required");
  if (until > day.length)
    t.fail(t.has("until") ? "until" : "for",
           "past the end of the day (" + kit::duration_text(day.length) + ")");
  if (until <= from) t.fail(t.has("until") ? "until" : "for", "ends before it begins");
}

void read_tills(TableReader t, Day& day) {
  Tills& tills = day.tills;
  tills.rate = t.rate("rate", tills.rate);
  if (tills.rate * static_cast<double>(day.length) / 1e6 > kMaxRequests)
    t.fail("rate", "more than 5 million requests in the day");
  tills.keys = static_cast<std::size_t>(t.integer("keys", 20'000, 1, 5'000'000));
  tills.zipf = t.number("zipf", tills.zipf, 0, 3);
  tills.retries = static_cast<int>(t.integer("retries", tills.retries, 0, 5));
  tills.try_timeout_fraction = t.number("try_share", tills.try_timeout_fraction, 0.05, 1);
  tills.retry_backoff = t.duration("retry_pause", tills.retry_backoff);
  tills.early_leave_fraction = t.fraction("impatient", tills.early_leave_fraction);
  tills.early_leave_after = t.duration("leaves_after", tills.early_leave_after);
  tills.direct_fraction = t.fraction("direct", tills.direct_fraction);
  tills.failure_detection_delay = t.duration("notice", tills.failure_detection_delay);
  for (TableReader s : t.tables("scan")) {
    Scan scan;
    read_span(s, day, scan.from, scan.until, true);
    scan.share = s.fraction("share", 0.1);
    s.reject_unknown_keys();
    tills.scans.push_back(scan);
  }
  for (TableReader c : t.tables("class")) {
    TillClass k;
    k.name = c.text("name");
    for (const TillClass& other : tills.classes)
      if (other.name == k.name) c.fail("name", "class '" + k.name + "' is defined twice");
    k.share = c.fraction("share", 0);
    k.work = c.duration("work", k.work);
    k.latency_objective = c.duration("wanted", k.latency_objective);
    k.deadline = c.duration("gives_up", k.deadline);
    if (k.deadline < k.latency_objective) c.fail("gives_up", "must not be less than 'wanted'");
    k.worth = c.number("worth", k.worth, 0, 1000);
    k.late_worth = c.fraction("late_worth", k.late_worth);
    k.keyed = c.flag("keyed", false);
    k.value_bytes = c.size("value", k.value_bytes);
    if (k.value_bytes > protocol::kMaxValueBytes) c.fail("value", "must be at most 64KiB");
    c.reject_unknown_keys();
    tills.classes.push_back(k);
  }
  if (tills.classes.empty())
    tills.classes = {{"price-lookup", 0.945, 30'000, 150'000, 600'000, 3, 0.27, false, 0},
                     {"sale-record", 0.055, 45'000, 250'000, 1'000'000, 2, 0.27, true, 0}};
  for (TableReader b : t.tables("banner")) {
    tills.tenants.push_back({b.text("name"), b.fraction("share", 0)});
    b.reject_unknown_keys();
  }
  if (tills.tenants.empty()) tills.tenants = {{"selam-stores", 0.56}, {"koket-express", 0.44}};
  for (TableReader s : t.tables("shape")) {
    RateRamp ramp;
    read_span(s, day, ramp.from, ramp.until, true);
    ramp.from_factor = s.number("factor", 1, 0, 100);
    ramp.to_factor = s.number("to_factor", ramp.from_factor, 0, 100);
    if (s.has("banner")) {
      std::vector<std::string> names;
      for (const Tenant& b : tills.tenants) names.push_back(b.name);
      ramp.tenant = index_of(names, s.text("banner"));
      if (ramp.tenant < 0) s.fail("banner", "no such banner (banners: " + joined(names) + ")");
    }
    s.reject_unknown_keys();
    tills.rate_ramps.push_back(ramp);
  }
  auto adds_up = [&](const auto& list, const char* key) {
    double sum = 0;
    for (const auto& item : list) sum += item.share;
    if (std::abs(sum - 1) > 1e-6)
      t.fail(key, "shares add up to " + std::to_string(sum) + ", not to 1");
  };
  adds_up(tills.classes, "class");
  adds_up(tills.tenants, "banner");
  tills.zone_shares = t.numbers("hall_shares");
  if (!tills.zone_shares.empty()) {
    if (tills.zone_shares.size() != day.fleet.halls.size())
      t.fail("hall_shares", "must have one value for each hall");
    double sum = 0;
    for (double s : tills.zone_shares) {
      if (!(s >= 0)) t.fail("hall_shares", "has a negative value");
      sum += s;
    }
    if (std::abs(sum - 1) > 1e-6) t.fail("hall_shares", "do not add up to 1");
  }
  t.reject_unknown_keys();
}

/// The price caches that an event affects; appends their names to `affected`.
std::vector<int> servers_of(TableReader& e, const Day& day, Micros at, std::string& affected) {
  auto names = e.texts("servers");
  std::vector<int> chosen;
  if (!names.empty()) {
    for (const std::string& name : names) {
      auto it = std::find_if(day.fleet.servers.begin(), day.fleet.servers.end(),
                             [&](auto& s) { return s.id == name; });
      if (it == day.fleet.servers.end())
        e.fail("servers", "no price cache '" + name + "' (pc-1 to pc-" +
                              std::to_string(day.fleet.servers.size()) + ")");
      if (it->joins > at) e.fail("servers", "'" + name + "' joins after the start of the event");
      chosen.push_back(static_cast<int>(it - day.fleet.servers.begin()));
    }
    affected = joined(names);
  } else {
    int hall = e.has("hall") ? hall_of(e, "hall", day) : -1;
    int kind = e.has("kind") ? kind_of(e, day) : -1;
    double part = e.fraction("part", hall < 0 && kind < 0 ? -1 : 1);
    if (part < 0) e.fail_table("no price cache selected: set 'servers', 'hall', 'kind' or 'part'");
    for (std::size_t k = 0; k < day.fleet.servers.size(); ++k) {
      const auto& s = day.fleet.servers[k];
      if ((hall < 0 || s.hall == hall) && (kind < 0 || s.kind == kind) && s.joins <= at)
        chosen.push_back(static_cast<int>(k));
    }
    // Which price caches make up a fraction depends on the seed alone.
    kit::Draws draws(day.seed);
    std::sort(chosen.begin(), chosen.end(), [&](int a, int b) {
      return draws.bits(kit::Stream::kTill, 1'000'000'000, static_cast<std::uint64_t>(a)) <
             draws.bits(kit::Stream::kTill, 1'000'000'000, static_cast<std::uint64_t>(b));
    });
    chosen.resize(static_cast<std::size_t>(std::ceil(part * static_cast<double>(chosen.size()))));
    std::sort(chosen.begin(), chosen.end());
    for (int k : chosen)
      affected +=
          (affected.empty() ? "" : ", ") + day.fleet.servers[static_cast<std::size_t>(k)].id;
  }
  if (chosen.empty()) e.fail_table("selects no price cache");
  return chosen;
}

/// The routers that an event affects; appends their names to `affected`.
std::vector<int> routers_of(TableReader& e, const Day& day, std::string& affected) {
  std::vector<int> chosen;
  for (const std::string& name : e.texts("routers")) {
    int number = -1;
    for (std::size_t k = 0; k < day.routers.halls.size(); ++k)
      if (name == "r" + std::to_string(k + 1)) number = static_cast<int>(k);
    if (number < 0)
      e.fail("routers",
             "no router '" + name + "' (r1 to r" + std::to_string(day.routers.halls.size()) + ")");
    chosen.push_back(number);
    affected += (affected.empty() ? "" : ", ") + name;
  }
  if (e.has("hall")) {
    int hall = hall_of(e, "hall", day);
    for (std::size_t k = 0; k < day.routers.halls.size(); ++k)
      if (day.routers.halls[k] == hall) chosen.push_back(static_cast<int>(k));
    affected += "of " + day.fleet.halls[static_cast<std::size_t>(hall)];
  }
  if (chosen.empty()) e.fail_table("no router selected: set 'routers' or 'hall'");
  return chosen;
}

void read_ledger(TableReader t, Day& day) {
  auto& l = day.ledger;
  l.on = true;
  l.keepers = static_cast<int>(t.integer("keepers", l.keepers, 1, 7));
  if (l.keepers % 2 == 0) t.fail("keepers", "must be odd: 1, 3, 5 or 7");
  l.followers = static_cast<int>(t.integer("followers", l.followers, 1, 256));
  l.clients = static_cast<int>(t.integer("clients", l.clients, 1, 16));
  l.names = static_cast<int>(t.integer("names", l.names, 1, 64));
  l.operators = static_cast<int>(t.integer("operators", l.operators, 0, 4));
  t.reject_unknown_keys();
}

/// Reads an event of the replicated ledger: one fault for each router that it names.
Event read_ledger_event(TableReader& e, const std::string& what, Day& day) {
  if (!day.ledger.on) e.fail("what", "'" + what + "' requires a [ledger] table");
  std::string kind = what.substr(what.find('-') + 1), affected, known;
  for (std::string_view name : kit::kLedgerFaults) known += " ledger-" + std::string(name);
  if (std::find(std::begin(kit::kLedgerFaults), std::end(kit::kLedgerFaults), kind) ==
      std::end(kit::kLedgerFaults))
    e.fail("what", "no event '" + what + "' (known:" + known + ")");
  LedgerEvent event;
  event.what = kind;
  read_span(e, day, event.at, event.until, true);
  if (kit::has_word(kit::kTimedFaults, kind)) event.by = e.duration("by");
  if (kind == "rate") event.kib_per_s = e.number("kib_per_s", 64, 0.1, 1e6);
  auto routers = routers_of(e, day, affected);
  if (kit::has_word(kit::kLinkFaults, kind)) {
    std::string to = e.text("to");
    for (std::size_t k = 0; k < day.routers.halls.size(); ++k)
      if (to == "r" + std::to_string(k + 1)) event.to = static_cast<int>(k) + 1;
    if (event.to == 0) e.fail("to", "no router '" + to + "'");
    --event.to;
    affected += " to " + to;
  }
  for (int router : routers) {
    event.router = router;
    day.ledger.events.push_back(event);
  }
  return {event.at, event.until, what + " " + affected};
}

void read_event(TableReader e, Day& day) {
  std::string what = e.text("what");
  Event event;
  std::string affected;
  const std::vector<std::pair<std::string, RouterFaultKind>> router_events{
      {"router-restarts", RouterFaultKind::kRestart},
      {"router-killed", RouterFaultKind::kKill},
      {"router-replaced", RouterFaultKind::kReplace},
      {"router-reloads", RouterFaultKind::kReload},
      {"router-frozen", RouterFaultKind::kFreeze}};
  auto router = std::find_if(router_events.begin(), router_events.end(),
                             [&](auto& r) { return r.first == what; });
  if (router != router_events.end()) {
    RouterFault f;
    f.kind = router->second;
    bool spans = f.kind == RouterFaultKind::kKill || f.kind == RouterFaultKind::kFreeze;
    read_span(e, day, f.at, f.until, spans);
    if (!spans) f.until = f.at;
    f.routers = routers_of(e, day, affected);
    if (f.kind == RouterFaultKind::kReload) {
      f.operator_text = operator_of(e, day);
      if (!f.operator_text.empty() && day.routers.operator_text.empty())
        e.fail("operator", "the routers run without an operator file: set routers.operator");
    }
    event = {f.at, f.until, what + " " + affected};
    day.router_faults.push_back(f);
  } else if (what.rfind("ledger-", 0) == 0) {
    event = read_ledger_event(e, what, day);
  } else if (what == "grows") {
    Micros at = e.duration("at");
    if (at <= 0 || at >= day.length)
      e.fail("at", "must be after the start and before the end of the day");
    int kind = kind_of(e, day);
    int hall = e.has("hall") ? hall_of(e, "hall", day) : -1;
    std::int64_t count = e.integer("count", 1, 1, kMaxServers);
    add_servers(day, kind, hall, count, at, e);
    event = {at, at, "grows by " + std::to_string(count)};
  } else {
    standin::Fault f;
    bool found = false;
    std::string known = "grows";
    for (const auto& [name, kind] : router_events) known += ", " + name;
    for (FaultKind kind : standin::all_faults()) {
      known += std::string(", ") + name_of(kind);
      if (what == name_of(kind)) f.kind = kind, found = true;
    }
    if (!found) e.fail("what", "no event '" + what + "' (known: " + known + ")");
    read_span(e, day, f.from, f.until, f.kind == FaultKind::kDrain);
    f.rate = e.fraction("rate", 1);
    f.factor = e.number("factor", 3, 0.01, 10'000);
    f.delay = e.duration("delay", f.kind == FaultKind::kReplaced ? 500'000 : 200'000);
    if (f.kind == FaultKind::kPieces || f.kind == FaultKind::kLateBody ||
        f.kind == FaultKind::kReadsSlowly) {
      f.bytes = e.size("bytes", 64);
      if (f.bytes == 0 || f.bytes > kMaxPieceBytes) e.fail("bytes", "must be from 1 to 64KiB");
    }
    switch (f.kind) {
      case FaultKind::kHallCut:
      case FaultKind::kHallSlow:
        f.hall = hall_of(e, "hall", day);
        affected = day.fleet.halls[static_cast<std::size_t>(f.hall)];
        break;
      case FaultKind::kDiscoveryDown:
      case FaultKind::kDiscoveryLate:
      case FaultKind::kDiscoverySilent:
      case FaultKind::kDiscoveryReset:
      case FaultKind::kDiscoverySlow:
      case FaultKind::kCallsReset:
      case FaultKind::kCallsRefused:
      case FaultKind::kCallsSilent:
      case FaultKind::kCallsHalf:
        break;
      default:
        f.servers = servers_of(e, day, f.from, affected);
    }
    event = {f.from, f.until, what + (affected.empty() ? "" : " " + affected)};
    day.faults.push_back(f);
  }
  e.reject_unknown_keys();
  day.events.push_back(event);
}

void read_expect(TableReader t, Day& day) {
  Expectations& x = day.expect;
  x.service = t.fraction("service", x.service);
  x.worst_window = t.fraction("worst_window", x.worst_window);
  x.worst_class = t.fraction("worst_class", x.worst_class);
  x.worst_tenant = t.fraction("worst_banner", x.worst_tenant);
  x.refused_below = t.fraction("refused_below", x.refused_below);
  x.served = t.fraction("served", x.served);
  x.ledger_answered = t.fraction("ledger_answered", x.ledger_answered);
  if (t.has("ledger_p99")) x.ledger_p99 = t.duration("ledger_p99");
  if (!day.ledger.on && (x.ledger_answered >= 0 || x.ledger_p99 >= 0))
    t.fail(t.has("ledger_p99") ? "ledger_p99" : "ledger_answered", "requires a [ledger] table");
  x.memory_below = t.size("memory_below", day.routers.memory);
  x.memory_growth_below = t.number("memory_growth_below", x.memory_growth_below, 0, 100);
  x.descriptors_below =
      static_cast<int>(t.integer("descriptors_below", day.routers.sockets, 1, 1'000'000));
  x.answer_slack = t.duration("answer_slack", x.answer_slack);
  x.drain_grace = t.duration("drain_grace", x.drain_grace);
  x.max_answer_delay = t.duration("held_back", x.max_answer_delay);
  TableReader p99 = t.subtable("p99");
  for (const TillClass& c : day.tills.classes)
    if (p99.has(c.name.c_str())) x.p99.emplace_back(c.name, p99.duration(c.name.c_str()));
  p99.reject_unknown_keys();
  TableReader tenant = t.subtable("banner");
  for (const Tenant& b : day.tills.tenants)
    if (tenant.has(b.name.c_str()))
      x.tenants.emplace_back(b.name, tenant.fraction(b.name.c_str(), 0));
  tenant.reject_unknown_keys();
  t.reject_unknown_keys();
}

void read_rig(TableReader t, Day& day) {
  day.rig.late_p99 = t.duration("late_p99", day.rig.late_p99);
  day.rig.late_worst = t.duration("late_worst", day.rig.late_worst);
  day.rig.ready_within = t.duration("ready_within", day.rig.ready_within);
  t.reject_unknown_keys();
}

Day day_of(const toml::table& root, const std::string& file) {
  Day day;
  day.file = file;
  TableReader t(root, file, "");
  day.name = t.text("name");
  day.about = t.text("about", "");
  day.seed =
      static_cast<std::uint64_t>(t.integer("seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
  day.length = t.duration("length");
  if (day.length < 1'000'000 || day.length > kMaxDayLength)
    t.fail("length", "must be from 1s to 1h");
  read_halls(t.subtable("halls"), day);
  read_fleet(t.subtable("fleet"), day);
  read_origin(t.subtable("origin"), day);
  read_discovery(t.subtable("discovery"), day);
  read_routers(t.subtable("routers"), day);
  read_tills(t.subtable("tills"), day);
  if (t.has("ledger")) read_ledger(t.subtable("ledger"), day);
  for (TableReader event : t.tables("event")) read_event(event, day);
  read_expect(t.subtable("expect"), day);
  read_rig(t.subtable("rig"), day);
  t.reject_unknown_keys();
  return day;
}

}  // namespace

bool replaces_processes(const std::vector<RouterFault>& faults) {
  return std::any_of(faults.begin(), faults.end(),
                     [](const auto& fault) { return fault.kind == RouterFaultKind::kReplace; });
}

Day parse_day(const std::string& text, const std::string& name) {
  if (text.size() > kMaxFileBytes) throw DayError(name + ":1: larger than 1 MiB");
  try {
    toml::table root = toml::parse(text, name);
    return day_of(root, name);
  } catch (const toml::parse_error& e) {
    throw DayError(name + ":" + std::to_string(e.source().begin.line) + ": " +
                   std::string(e.description()));
  }
}

Day load_day(const std::string& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) throw DayError(path + ":1: cannot be read");
  if (!S_ISREG(info.st_mode)) throw DayError(path + ":1: not a regular file");
  if (static_cast<std::size_t>(info.st_size) > kMaxFileBytes)
    throw DayError(path + ":1: larger than 1 MiB");
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw DayError(path + ":1: cannot be read");
  return parse_day(text.str(), path);
}

}  // namespace violetusher::rehearse
