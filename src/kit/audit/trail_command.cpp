// violetusher-kit trail: questions to the trails that routers have kept.
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <memory>

#include "command.hpp"
#include "core/audit/history.hpp"
#include "daemon/audit/trail_files.hpp"
#include "last_known.hpp"

namespace violetusher::kit {
namespace {

namespace fs = std::filesystem;
using core::audit::Arrival;
using core::audit::Fault;
using core::audit::History;
using core::audit::Json;
using core::audit::Micros;
using core::audit::name_of;
using core::audit::Period;
using core::audit::Trail;
using core::audit::UnknownInterval;
using core::audit::Violation;

constexpr int kPass = 0, kFail = 1, kWrongInput = 2;
constexpr double kSecond = 1e6;

struct Options {
  std::vector<std::string> folders;
  std::string kind, version, time;
  std::string fleet;  // an operator file: what the routers hold of each other
  bool json = false;
};

struct Trails {
  std::vector<Trail> all;
  History history;
};

/// Each folder that holds files of a trail, among those named and right below them.
std::vector<fs::path> folders_of(const std::vector<std::string>& named) {
  std::vector<fs::path> out;
  auto holds = [](const fs::path& folder) { return !audit::trail_files(folder.string()).empty(); };
  for (const std::string& name : named) {
    if (holds(name)) out.push_back(name);
    for (const auto& entry : fs::directory_iterator(name))
      if (entry.is_directory() && holds(entry.path())) out.push_back(entry.path());
  }
  return out;
}

std::string time_text(Micros time) {
  std::time_t seconds = static_cast<std::time_t>(time / 1'000'000);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[64];
  std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + size, sizeof text - size, ".%03dZ", static_cast<int>(time / 1000 % 1000));
  return text;
}

/// Seconds since 1970, or as time_text() writes it, the part of a second and the Z left out or not.
std::optional<Micros> time_of(const std::string& text) {
  std::tm parts{};
  double rest = 0;
  if (const char* end = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts)) {
    if (*end == '.') rest = std::strtod(end, nullptr);
    return static_cast<Micros>(::timegm(&parts)) * 1'000'000 + static_cast<Micros>(rest * kSecond);
  }
  char* end = nullptr;
  double seconds = std::strtod(text.c_str(), &end);
  if (text.empty() || *end || !(seconds >= 0 && seconds < 1e11)) return {};
  return static_cast<Micros>(seconds * kSecond);
}

Json json_of(const Period& s) {
  return {{"router", s.router}, {"view", s.view},       {"from", s.from},
          {"to", s.to},         {"open", s.open},       {"versions", s.versions},
          {"sent", s.sent},     {"refused", s.refused}, {"attempts", s.attempts()}};
}

void say(const Period& s, bool versions) {
  std::printf("%s: %s to %s%s, view %llu, %llu attempts", s.router.c_str(),
              time_text(s.from).c_str(), time_text(s.to).c_str(), s.open ? " at least" : "",
              static_cast<unsigned long long>(s.view),
              static_cast<unsigned long long>(s.attempts()));
  if (versions)
    for (const auto& [kind, content] : s.versions)
      std::printf(", %s %s", kind.c_str(), content.c_str());
  std::printf("\n");
}

int say_all(const std::vector<const Period*>& spans, const Options& o, bool versions) {
  Json all = Json::array();
  for (const Period* s : spans) {
    if (o.json)
      all.push_back(json_of(*s));
    else
      say(*s, versions);
  }
  if (o.json) std::printf("%s\n", all.dump(1).c_str());
  if (spans.empty()) std::fprintf(stderr, "violetusher-kit: no trail tells of that\n");
  return spans.empty() ? kFail : kPass;
}

/// Holds each trail against the mark that others have of it. Where there is none, nothing is said.
bool ask_others(Trails& t, const Options& o) {
  if (o.fleet.empty()) return true;
  std::string error;
  auto fleet = fleet_of(o.fleet, "", error);
  if (!fleet) {
    std::fprintf(stderr, "violetusher-kit: %s\n", error.c_str());
    return false;
  }
  AllKnown known = last_known(ask_each(*fleet));
  for (Trail& trail : t.all) {
    auto at = known.find({trail.router, false});
    if (at == known.end()) continue;
    auto mark = core::audit::parse_position(at->second.said.value("trail", ""));
    auto fault = mark ? core::audit::compare_with_position(trail, *mark) : std::nullopt;
    if (!fault) continue;
    fault->file = "as " + at->second.by + " holds";
    trail.faults.push_back(*fault);
  }
  return true;
}

int check(const Trails& t, const Options& o) {
  Json all = Json::array();
  std::size_t faults = 0;
  for (const Trail& trail : t.all) {
    Json found = Json::array();
    std::uint64_t first = trail.blocks.empty() ? 0 : trail.blocks.front().number;
    if (!o.json)
      std::printf("%s: blocks %llu to %llu, %zu whole, %zu faults\n", trail.router.c_str(),
                  static_cast<unsigned long long>(first),
                  static_cast<unsigned long long>(trail.last.number), trail.blocks.size(),
                  trail.faults.size());
    for (const Fault& f : trail.faults) {
      found.push_back(
          {{"kind", name_of(f.kind)}, {"from", f.from}, {"to", f.to}, {"file", f.file}});
      if (!o.json)
        std::printf("  %s: blocks %llu to %llu, %s\n", std::string(name_of(f.kind)).c_str(),
                    static_cast<unsigned long long>(f.from), static_cast<unsigned long long>(f.to),
                    f.file.c_str());
    }
    faults += trail.faults.size();
    all.push_back({{"router", trail.router},
                   {"first", first},
                   {"last", trail.last.number},
                   {"whole", trail.blocks.size()},
                   {"faults", found}});
  }
  if (o.json) std::printf("%s\n", all.dump(1).c_str());
  return faults ? kFail : kPass;
}

int late(const History& h, const Options& o) {
  auto arrivals = h.arrivals(o.kind, o.version);
  if (arrivals.empty()) {
    std::fprintf(stderr, "violetusher-kit: no trail tells of %s %s\n", o.kind.c_str(),
                 o.version.c_str());
    return kFail;
  }
  std::vector<Micros> times;
  for (const Arrival& a : arrivals)
    if (!a.never) times.push_back(a.after);
  std::sort(times.begin(), times.end());
  Json parts = Json::object(), all = Json::array();
  for (int percent : {50, 90, 99, 100}) {
    std::size_t place = (arrivals.size() * static_cast<std::size_t>(percent) + 99) / 100;
    bool reached = place <= times.size();
    if (reached) parts[std::to_string(percent)] = times[place - 1];
    if (o.json) continue;
    if (reached)
      std::printf("%d%% of %zu routers within %.3f s\n", percent, arrivals.size(),
                  static_cast<double>(times[place - 1]) / kSecond);
    else
      std::printf("%d%% of %zu routers: not reached\n", percent, arrivals.size());
  }
  for (const Arrival& a : arrivals) {
    all.push_back({{"router", a.router},
                   {"never", a.never},
                   {"after", a.after},
                   {"last_known", a.last_known},
                   {"why", name_of(a.why)},
                   {"had", a.previous}});
    if (o.json) continue;
    std::string when = "never, known until " + time_text(a.last_known);
    if (!a.never) {
      char text[64];
      std::snprintf(text, sizeof text, "after %.3f s", static_cast<double>(a.after) / kSecond);
      when = text;
    }
    std::printf("  %s: %s, %s%s%s\n", a.router.c_str(), when.c_str(),
                std::string(name_of(a.why)).c_str(), a.previous.empty() ? "" : ", had ",
                a.previous.c_str());
  }
  if (o.json) std::printf("%s\n", Json({{"within", parts}, {"routers", all}}).dump(1).c_str());
  return times.size() == arrivals.size() ? kPass : kFail;
}

int violations(const History& h, const Options& o) {
  Json all = Json::array(), unknown = Json::array();
  for (const Violation& v : h.violations()) {
    bool sent = v.kind == Violation::Kind::kSentToExcludedServer;
    all.push_back({{"kind", sent ? "sent-to-one-out" : "two-contents"},
                   {"router", v.router},
                   {"server", v.server},
                   {"view", v.view},
                   {"count", v.count},
                   {"from", v.from},
                   {"to", v.to}});
    if (o.json) continue;
    if (sent)
      std::printf("%s: %llu attempts to %s, which was out, %s to %s, view %llu\n", v.router.c_str(),
                  static_cast<unsigned long long>(v.count), v.server.c_str(),
                  time_text(v.from).c_str(), time_text(v.to).c_str(),
                  static_cast<unsigned long long>(v.view));
    else
      std::printf("%s: two contents under view %llu, %s\n", v.router.c_str(),
                  static_cast<unsigned long long>(v.view), time_text(v.from).c_str());
  }
  for (const UnknownInterval& u : h.unknown()) {
    unknown.push_back({{"router", u.router},
                       {"why", u.why},
                       {"from", u.from},
                       {"to", u.to},
                       {"attempts", u.attempts}});
    if (!o.json)
      std::printf("unknown: %s, %s to %s: %s\n", u.router.c_str(), time_text(u.from).c_str(),
                  time_text(u.to).c_str(), u.why.c_str());
  }
  if (o.json)
    std::printf("%s\n", Json({{"violations", all}, {"unknown", unknown}}).dump(1).c_str());
  else
    std::printf("%zu violations, %zu times unknown\n", h.violations().size(), h.unknown().size());
  return h.violations().empty() ? kPass : kFail;
}

template <typename F>
int ask(const Options& o, F&& question) {
  Trails t;
  try {
    for (const fs::path& folder : folders_of(o.folders)) {
      t.all.push_back(audit::read_trail(folder.string()));
      t.history.add(t.all.back());
    }
  } catch (const fs::filesystem_error& e) {
    std::fprintf(stderr, "violetusher-kit: %s\n", e.what());
    return kWrongInput;
  }
  if (t.all.empty()) {
    std::fprintf(stderr, "violetusher-kit: no trail there\n");
    return kWrongInput;
  }
  return question(t);
}

}  // namespace

void add_trail(CLI::App& app, int& code) {
  CLI::App* trail = app.add_subcommand(
      "trail", "What routers did and on which version they acted, from the trails they kept");
  trail->require_subcommand(1);
  auto add = [&](const char* name, const char* what) {
    auto o = std::make_shared<Options>();
    CLI::App* sub = trail->add_subcommand(name, what);
    sub->add_flag("--json", o->json, "for machines; times in microseconds since 1970");
    return std::make_pair(sub, o);
  };
  auto folders = [](CLI::App* sub, const std::shared_ptr<Options>& o) {
    sub->add_option("folders", o->folders, "trails, or folders of trails")->required();
  };
  auto version = [](CLI::App* sub, const std::shared_ptr<Options>& o) {
    sub->add_option("kind", o->kind, "program, settings, operator, list or out")->required();
    sub->add_option("version", o->version, "as the trail names it")->required();
  };
  {
    auto [sub, o] = add("check", "Whether the trails are whole");
    folders(sub, o);
    sub->add_option(
        "--fleet", o->fleet,
        "an operator file: the routers are asked what they hold of each other's trails");
    sub->callback([o = o, &code] {
      code = ask(*o, [&](Trails& t) { return ask_others(t, *o) ? check(t, *o) : kWrongInput; });
    });
  }
  {
    auto [sub, o] = add("who", "Who acted on a version, from when to when, and how much");
    version(sub, o);
    folders(sub, o);
    sub->callback([o = o, &code] {
      code = ask(*o, [&](Trails& t) {
        return say_all(t.history.periods_with(o->kind, o->version), *o, false);
      });
    });
  }
  {
    auto [sub, o] = add("at", "What each router acted on at a time");
    sub->add_option("time", o->time, "2026-12-02T10:00:00.5Z, or seconds since 1970")->required();
    folders(sub, o);
    sub->callback([o = o, &code] {
      auto time = time_of(o->time);
      if (!time) {
        std::fprintf(stderr, "violetusher-kit: '%s' is no time\n", o->time.c_str());
        code = kWrongInput;
        return;
      }
      code = ask(*o, [&](Trails& t) { return say_all(t.history.periods_at(*time), *o, true); });
    });
  }
  {
    auto [sub, o] = add("router", "What one router acted on from when to when, and how much");
    sub->add_option("name", o->version, "its name")->required();
    folders(sub, o);
    sub->callback([o = o, &code] {
      code =
          ask(*o, [&](Trails& t) { return say_all(t.history.periods_of(o->version), *o, true); });
    });
  }
  {
    auto [sub, o] =
        add("late", "How long a version took to reach the routers, the last ones first");
    version(sub, o);
    folders(sub, o);
    sub->callback(
        [o = o, &code] { code = ask(*o, [&](Trails& t) { return late(t.history, *o); }); });
  }
  {
    auto [sub, o] = add("violations", "What was done against what the router itself knew");
    folders(sub, o);
    sub->callback(
        [o = o, &code] { code = ask(*o, [&](Trails& t) { return violations(t.history, *o); }); });
  }
}

}  // namespace violetusher::kit
