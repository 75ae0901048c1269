#include "command.hpp"

#include <cstdio>
#include <map>
#include <memory>

#include "core/audit/versions.hpp"
#include "last_known.hpp"

namespace violetusher::kit {
namespace {

using core::audit::Audit;
using core::audit::RouterReport;
using core::audit::Version;
using core::ledger::Json;

constexpr int kPass = 0, kFail = 1, kWrongInput = 2;
constexpr core::audit::Micros kMayBeOld = 4'000'000;

struct Options {
  std::string file;
  bool json = false;
};

/// What a router's status says, as the audit takes it.
RouterReport sighting_of(const std::string& name, const Json& status) {
  RouterReport s;
  s.router = name;
  s.zone = status.value("hall", "");
  s.disk_failed = status.value("stage", "") == "disk-failed";
  s.age = status.value("age_us", std::int64_t{-1});
  s.versions["ledger"] = {status.value("epoch", std::uint64_t{0}), "epoch", {}, "", false};
  const Json acts = status.value("acts", Json::object());
  const Json rollouts = status.value("rollouts", Json::object());
  for (const auto& [kind, content] : acts.items())
    if (content.is_string()) s.versions[kind] = {0, content.get<std::string>(), {}, "", false};
  for (const auto& [rolled, r] : rollouts.items())
    s.versions["file/" + rolled] = {r.value("version", std::uint64_t{0}), r.value("has", ""),
                                    r.value("wants", ""), r.value("why", ""),
                                    r.contains("refused")};
  return s;
}

std::string text_of(const LastKnown& known) {
  char age[64];
  std::snprintf(age, sizeof age, "%.1f", static_cast<double>(known.age) / 1e6);
  std::string text = std::string("last heard ") + age + " s ago by " + known.by + ":";
  const Json acts = known.said.value("acts", Json::object());
  for (const auto& [kind, content] : acts.items())
    if (content.is_string()) text += " " + kind + " " + content.get<std::string>() + ",";
  std::string trail = known.said.value("trail", "");
  return text + (trail.empty() ? " no trail" : " trail up to " + trail);
}

Json json_of(const Audit& a, const AllKnown& known) {
  Json spreads = Json::object(), late = Json::array();
  for (const auto& spread : a.distributions)
    for (const auto& [version, routers] : spread.versions) spreads[spread.kind][version] = routers;
  for (const auto& s : a.stragglers)
    late.push_back({{"router", s.router},
                    {"kind", s.kind},
                    {"has", s.actual},
                    {"should", s.expected},
                    {"cause", core::audit::name_of(s.cause)},
                    {"why", s.why}});
  Json heard = Json::array();
  for (const auto& [whose, k] : known)
    heard.push_back({{"router", whose.first},
                     {"former", whose.second},
                     {"by", k.by},
                     {"age_us", k.age},
                     {"said", k.said}});
  return {{"routers", a.routers},
          {"current", a.current},
          {"versions", spreads},
          {"late", late},
          {"heard", heard}};
}

void say(const Audit& a) {
  std::printf("%zu of %zu routers act on what they should\n", a.current, a.routers);
  for (const auto& s : a.stragglers) {
    std::string line = s.router + ": " + std::string(core::audit::name_of(s.cause));
    if (!s.kind.empty()) line += ", " + s.kind + " " + s.actual + " instead of " + s.expected;
    if (!s.why.empty()) line += ": " + s.why;
    std::printf("  %s\n", line.c_str());
  }
  for (const auto& spread : a.distributions) {
    std::printf("%s:", spread.kind.c_str());
    for (const auto& [version, routers] : spread.versions)
      std::printf(" %s at %zu;", version.c_str(), routers);
    std::printf("\n");
  }
}

int run(const Options& o) {
  std::string error;
  auto fleet = fleet_of(o.file, "", error);
  if (!fleet) {
    std::fprintf(stderr, "violetusher-kit: %s\n", error.c_str());
    return kWrongInput;
  }
  std::vector<RouterReport> sightings;
  std::vector<Said> all = ask_each(*fleet);
  AllKnown known = last_known(all);
  for (const Said& said : all) {
    RouterReport silent;
    silent.router = said.router;
    silent.error = said.error;
    auto at = known.find({said.router, false});
    if (!said.status && at != known.end()) silent.error += "; " + text_of(at->second);
    sightings.push_back(said.status ? sighting_of(said.router, *said.status) : silent);
  }
  Audit a = core::audit::audit(sightings, kMayBeOld);
  if (o.json)
    std::printf("%s\n", json_of(a, known).dump(1).c_str());
  else
    say(a);
  return a.stragglers.empty() ? kPass : kFail;
}

}  // namespace

void add_audit(CLI::App& app, int& code) {
  auto o = std::make_shared<Options>();
  CLI::App* sub = app.add_subcommand(
      "audit", "Which router acts on which version of what, who is behind, and why");
  sub->add_option("file", o->file, "an operator file that has the fleet's ledger and all peers")
      ->required();
  sub->add_flag("--json", o->json, "for machines");
  sub->callback([o, &code] { code = run(*o); });
}

}  // namespace violetusher::kit
