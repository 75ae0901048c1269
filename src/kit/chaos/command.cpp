#include "command.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "figures.hpp"
#include "kit/common/files.hpp"
#include "kit/common/units.hpp"
#include "kit/rehearse/day.hpp"
#include "play.hpp"

namespace violetusher::chaos {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kPass = 0, kFail = 1, kWrongInput = 2, kInconclusive = 3;

struct Options {
  std::string schedule, day, router, folder, json, least, report;
  std::uint64_t seed = 1;
  int schedules = 1, losses = 0;
  bool quiet = false, print = false, without = false, seeded = false;
};

int wrong(const std::string& what) {
  std::fprintf(stderr, "violetusher-kit: %s\n", what.c_str());
  return kWrongInput;
}

/// The schedules that the options name. Nothing, with what is wrong said, where they name none.
std::optional<std::vector<Schedule>> schedules(const Options& o) {
  std::vector<Schedule> list;
  if (o.losses > 0) {
    for (int i = 0; i < o.schedules; ++i)
      list.push_back(draw_losses(o.seed + static_cast<unsigned>(i), o.losses));
    return list;
  }
  if (o.schedule.empty()) {
    for (int i = 0; i < o.schedules; ++i)
      list.push_back(draw_more(o.seed + static_cast<unsigned>(i)));
    return list;
  }
  std::ifstream file(o.schedule);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    wrong(o.schedule + ": can't be read");
    return {};
  }
  try {
    list.push_back(parse_schedule(text.str()));
  } catch (const std::runtime_error& e) {
    wrong(o.schedule + ": " + e.what());
    return {};
  }
  return list;
}

json report(const Schedule& s, const Result& r) {
  json findings = json::array();
  for (const Finding& f : r.findings) findings.push_back({{"rule", f.rule}, {"what", f.what}});
  return {{"seed", s.seed},
          {"schedule", text_of(s)},
          {"findings", findings},
          {"judged", r.judged},
          {"done", r.done},
          {"unknown", r.unknown},
          {"faults", r.played.size()},
          {"sights", r.history.sights.size()},
          {"texts_taken", r.history.takes.size()},
          {"frames", r.frames},
          {"busiest_frames", r.busiest},
          {"bytes", r.bytes},
          {"busiest_bytes", r.busiest_bytes},
          {"peak_frames_in_100ms", r.peak},
          {"answered_again_p50_us", quantile(answered_again(r), 0.5)},
          {"answered_again_max_us", quantile(answered_again(r), 1)},
          {"caught_up_p50_us", quantile(caught_up(r), 0.5)},
          {"caught_up_max_us", quantile(caught_up(r), 1)},
          {"spread_p50_us", quantile(spread(r.history, s.routers), 0.5)},
          {"spread_p99_us", quantile(spread(r.history, s.routers), 0.99)},
          {"call_p50_us", quantile(r.waits, 0.5)},
          {"call_p99_us", quantile(r.waits, 0.99)}};
}

void say(const Schedule& s, const Result& r) {
  std::printf(
      "seed %llu: %s, %zu calls answered (median %s, p99 %s), %zu unknown, %zu of %zu faults\n",
      static_cast<unsigned long long>(s.seed),
      !r.findings.empty() ? "FAIL"
      : r.judged          ? "pass"
                          : "not judged",
      r.done, kit::duration_text(quantile(r.waits, 0.5)).c_str(),
      kit::duration_text(quantile(r.waits, 0.99)).c_str(), r.unknown, r.played.size(),
      s.faults.size());
  std::size_t shown = 0;
  for (const Finding& f : r.findings)
    if (++shown <= 5) std::printf("  %s: %s\n", f.rule.c_str(), f.what.c_str());
  if (shown > 5) std::printf("  and %zu more\n", shown - 5);
}

int ended(const json& all, const Options& o, bool failed, bool judged) {
  if (!o.json.empty() && !kit::write_whole(o.json, all.dump(1) + "\n"))
    return wrong(o.json + ": can't be written");
  return failed ? kFail : judged ? kPass : kInconclusive;
}

int run_simulate(const Options& o) {
  auto list = schedules(o);
  if (!list) return kWrongInput;
  bool failed = false, judged = true;
  json all = json::array();
  for (const Schedule& s : *list) {
    if (o.print) {
      std::printf("%s", text_of(s).c_str());
      continue;
    }
    Result r = simulate(s);
    if (!o.quiet || !r.findings.empty() || !r.judged) say(s, r);
    std::fflush(stdout);
    judged &= r.judged;
    all.push_back(report(s, r));
    all.back()["trace"] = std::to_string(r.trace);
    if (r.findings.empty()) continue;
    failed = true;
    if (o.least.empty()) continue;
    Schedule least = shrink(s);
    std::fprintf(stderr, "seed %llu: %zu of %zu faults still fail\n",
                 static_cast<unsigned long long>(s.seed), least.faults.size(), s.faults.size());
    if (!kit::write_whole(
            o.least, fs::path(o.least).extension() == ".toml" ? day_of(least) : text_of(least)))
      return wrong(o.least + ": can't be written");
  }
  return ended(all, o, failed, judged);
}

int run_play(const Options& o) {
  rehearse::Day day;
  try {
    day = rehearse::load_day(o.day);
  } catch (const rehearse::DayError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kWrongInput;
  }
  // What the day says about its ledger, unless something else was asked for.
  std::optional<std::vector<Schedule>> list;
  if (day.ledger.on && o.schedule.empty() && o.losses == 0 && !o.seeded) {
    list = std::vector<Schedule>(static_cast<std::size_t>(o.schedules), schedule_of(day));
    for (std::size_t i = 0; i < list->size(); ++i) (*list)[i].seed = day.seed + i;
  } else {
    list = schedules(o);
  }
  if (!list) return kWrongInput;
  if (::access(o.router.c_str(), X_OK) != 0 || fs::is_directory(o.router))
    return wrong("--router: '" + o.router + "' is no program that can be run");
  PlayOptions options;
  options.router = fs::absolute(o.router);
  options.progress = !o.quiet;
  options.ledger = !o.without;
  fs::path library = fs::path(options.router).parent_path() / "libvioletusher_faulty_disk.so";
  if (fs::exists(library)) options.faulty_disk = library;
  bool own = o.folder.empty();
  std::string made = (fs::temp_directory_path() / "violetusher-chaos-XXXXXX").string();
  if (own && !::mkdtemp(made.data())) return wrong("no folder for the routers' disks");
  options.folder = own ? made : fs::absolute(o.folder).string();
  // It goes into operator files as a text, and all that is in it goes.
  if (options.folder.find_first_of("\"\\\n") != std::string::npos)
    return wrong("--folder: '" + o.folder + "' can't be used");
  if (!own && fs::exists(options.folder) && !fs::is_empty(options.folder))
    return wrong("--folder: '" + o.folder + "' is not empty");
  bool failed = false, judged = true;
  json all = json::array();
  for (const Schedule& s : *list) {
    options.folder = (fs::path(options.folder) / "disks").string();
    PlayResult r = play(day, s, options);
    if (!o.without) say(s, r.ledger);
    std::printf(
        "  day: %s, %.4f of %llu requests served, p99 %s; most memory %llu KiB, "
        "%d descriptors; %llu bytes a second between routers\n",
        r.day.broken.empty() ? "no rule broken" : "RULES BROKEN", r.day.service,
        static_cast<unsigned long long>(r.day.requests), kit::duration_text(r.day.p99).c_str(),
        static_cast<unsigned long long>(r.memory >> 10), r.descriptors,
        static_cast<unsigned long long>(r.carried /
                                        (static_cast<std::uint64_t>(s.length) / 1'000'000 + 1)));
    for (const auto& [rule, times] : r.day.broken)
      std::printf("  %s: %llu times\n", rule.c_str(), static_cast<unsigned long long>(times));
    for (std::size_t i = 0; i < std::min<std::size_t>(r.day.findings.size(), 5); ++i)
      std::printf("    %s\n", r.day.findings[i].what.c_str());
    if (!r.inconclusive.empty()) std::printf("  not judged: %s\n", r.inconclusive.c_str());
    if (!r.logs.empty()) std::printf("%s\n", r.logs.c_str());
    std::fflush(stdout);
    rehearse::Result page{r.played_day, r.plan, r.played, r.day, {}};
    for (const auto& c : r.day.checks)
      if (!c.held)
        std::printf("  %s: %s (wanted %s)\n", c.name.c_str(), c.got.c_str(), c.wanted.c_str());
    if (!o.report.empty() && !kit::write_whole(o.report, rehearse::html_report(page)))
      return wrong(o.report + ": can't be written");
    failed |=
        !r.ledger.findings.empty() || !r.day.broken.empty() || (day.ledger.on && !r.day.pass());
    judged &= r.inconclusive.empty() && (o.without || r.ledger.judged);
    all.push_back(report(s, r.ledger));
    all.back()["day"] = {{"service", r.day.service}, {"requests", r.day.requests},
                         {"p99_us", r.day.p99},      {"broken", r.day.broken},
                         {"memory", r.memory},       {"descriptors", r.descriptors}};
    options.folder = fs::path(options.folder).parent_path().string();
  }
  std::error_code error;
  if (own && !failed) fs::remove_all(made, error);
  if (own && failed) std::printf("the routers' disks are in %s\n", made.c_str());
  return ended(all, o, failed, judged);
}

}  // namespace

void add_chaos(CLI::App& app, const std::string& program, int& code) {
  CLI::App* chaos = app.add_subcommand(
      "chaos", "Attacks a fleet's ledger by a schedule of faults, and judges what was seen");
  chaos->require_subcommand(1);
  auto o = std::make_shared<Options>();
  std::error_code error;
  fs::path self = fs::read_symlink("/proc/self/exe", error);
  o->router = (error ? fs::path(program) : self).parent_path() / "violetusher";
  auto common = [&](CLI::App* sub) {
    sub->add_option("--seed", o->seed, "the first schedule that is drawn")->capture_default_str();
    sub->add_option("--schedules", o->schedules, "how many, from that seed on")
        ->check(CLI::Range(1, 1'000'000))
        ->capture_default_str();
    sub->add_option("--losses", o->losses,
                    "instead: routers lost with their disks, one after the other, so many")
        ->check(CLI::Range(1, kMostLosses));
    sub->add_option("--schedule", o->schedule, "a written schedule instead of drawn ones");
    sub->add_option("--json", o->json, "write the result for machines");
    sub->add_flag("--quiet", o->quiet, "say only what failed; no progress");
  };
  CLI::App* simulated =
      chaos->add_subcommand("simulate", "On virtual time, in this process: the same every time");
  common(simulated);
  simulated->add_flag("--print", o->print, "print the schedules and play nothing");
  simulated->add_option(
      "--least", o->least,
      "write the least part of a failing schedule that still fails; as a day where the\n"
      "file ends in .toml");
  simulated->callback([o, &code] { code = run_simulate(*o); });
  CLI::App* played = chaos->add_subcommand(
      "play", "With real daemons, relays between them, tills and price caches");
  played->add_option("day", o->day, "a day: its traffic, and its ledger where it has one")
      ->required();
  common(played);
  played->add_option("--router", o->router, "the router's program")->capture_default_str();
  played->add_option("--folder", o->folder, "for the routers' disks; otherwise a temporary one");
  played->add_flag("--without-ledger", o->without, "the same day without it, to compare");
  played->add_option("--report", o->report, "write the last day played as one HTML page");
  played->callback([o, played, &code] {
    o->seeded = played->count("--seed") > 0;
    code = run_play(*o);
  });
}

}  // namespace violetusher::chaos
