// Implements the subcommand `soak`: runs schedules, reports their results and shrinks failing ones.
#include "command.hpp"

#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "kit/common/files.hpp"
#include "run.hpp"

namespace violetusher::soak {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::ordered_json;
using rehearse::Outcome;

constexpr int kWrongInput = 2;
constexpr std::size_t kMaxPrintedFindings = 8;  // per run
constexpr std::size_t kMaxShrinkRuns = 60;

struct Options {
  Programs programs;
  Bounds bounds;
  std::string seeds = "1", json, report;
  bool shrink = false, plan = false;
};

struct Seeds {
  std::uint64_t from = 1, to = 1;
};

std::optional<Seeds> seeds_of(const std::string& text) {
  Seeds seeds;
  const char* end = text.data() + text.size();
  auto first = std::from_chars(text.data(), end, seeds.from);
  if (first.ec != std::errc()) return std::nullopt;
  seeds.to = seeds.from;
  if (first.ptr == end) return seeds;
  auto second = std::from_chars(first.ptr + 1, end, seeds.to);
  if (*first.ptr != '-' || second.ec != std::errc() || second.ptr != end || seeds.to < seeds.from)
    return std::nullopt;
  return seeds;
}

const char* outcome_text(Outcome outcome) {
  switch (outcome) {
    case Outcome::kPass:
      return "pass";
    case Outcome::kFail:
      return "FAIL";
    default:
      return "inconclusive";
  }
}

/// Removes items of a failing schedule one at a time, keeping each removal after which it still
/// fails.
Schedule shrink_schedule(Schedule schedule, const Programs& programs) {
  std::size_t runs = 0;
  for (std::size_t item = 0; item < schedule.size() && runs < kMaxShrinkRuns;) {
    Schedule reduced = schedule.without(item);
    ++runs;
    if (run(reduced, programs).outcome == Outcome::kFail)
      schedule = reduced;
    else
      ++item;
    std::fprintf(stderr, "shrink: run %zu, %zu items left\n", runs, schedule.size());
  }
  return schedule;
}

Json json_of(std::uint64_t seed, const RunResult& result) {
  Json findings = Json::array();
  for (const Finding& f : result.findings) findings.push_back({{"rule", f.rule}, {"what", f.what}});
  return {{"seed", seed},
          {"outcome", outcome_text(result.outcome)},
          {"headline", result.headline},
          {"requests", result.requests},
          {"served", result.served},
          {"failing_calls", result.faults},
          {"bans", result.bans},
          {"slow_sessions", result.slow_sessions},
          {"findings", findings}};
}

void print_result(std::uint64_t seed, const RunResult& result) {
  std::printf(
      "seed %llu: %s, %llu requests, %llu served, %llu calls failed, %llu bans, "
      "%llu slow sessions\n",
      static_cast<unsigned long long>(seed), outcome_text(result.outcome),
      static_cast<unsigned long long>(result.requests),
      static_cast<unsigned long long>(result.served),
      static_cast<unsigned long long>(result.faults), static_cast<unsigned long long>(result.bans),
      static_cast<unsigned long long>(result.slow_sessions));
  if (result.outcome == Outcome::kInconclusive) std::printf("  %s\n", result.headline.c_str());
  for (std::size_t k = 0; k < result.findings.size() && k < kMaxPrintedFindings; ++k)
    std::printf("  %s: %s\n", result.findings[k].rule.c_str(), result.findings[k].what.c_str());
  if (!result.router_logs.empty()) std::printf("%s\n", result.router_logs.c_str());
  std::fflush(stdout);
}

std::string html_report(const Json& all) {
  std::string rows;
  for (const Json& run : all["runs"]) {
    std::string found;
    for (const Json& f : run["findings"])
      found += f["rule"].get<std::string>() + ": " + f["what"].get<std::string>() + "<br>";
    rows += "<tr><td>" + run["seed"].dump() + "<td>" + run["outcome"].get<std::string>() + "<td>" +
            run["requests"].dump() + "<td>" + run["served"].dump() + "<td>" +
            run["failing_calls"].dump() + "<td>" + found + "\n";
  }
  return "<!doctype html><meta charset=utf-8><title>soak</title><table border=1><tr><th>seed"
         "<th>outcome<th>requests<th>served<th>failing calls<th>findings\n" +
         rows + "</table>\n";
}

int soak(const Options& o) {
  auto seeds = seeds_of(o.seeds);
  if (!seeds) {
    std::fprintf(stderr, "violetusher-kit: --seeds: '%s' is not a seed A or a range A-B\n",
                 o.seeds.c_str());
    return kWrongInput;
  }
  if (o.plan) {
    for (std::uint64_t seed = seeds->from; seed <= seeds->to; ++seed)
      std::printf("%s", generate(seed, o.bounds).text().c_str());
    return 0;
  }
  for (const std::string& path : {o.programs.router, o.programs.fault_library})
    if (::access(path.c_str(), R_OK) != 0 || fs::is_directory(path)) {
      std::fprintf(stderr, "violetusher-kit: '%s' can't be read\n", path.c_str());
      return kWrongInput;
    }
  std::uint64_t failed = 0, inconclusive = 0;
  Json all{{"seconds", o.bounds.seconds}, {"routers", o.bounds.routers}, {"runs", Json::array()}};
  for (std::uint64_t seed = seeds->from; seed <= seeds->to; ++seed) {
    Schedule schedule = generate(seed, o.bounds);
    RunResult result = run(schedule, o.programs);
    print_result(seed, result);
    all["runs"].push_back(json_of(seed, result));
    failed += result.outcome == Outcome::kFail;
    inconclusive += result.outcome == Outcome::kInconclusive;
    if (result.outcome == Outcome::kFail && o.shrink)
      std::printf("minimal failing schedule:\n%s",
                  shrink_schedule(schedule, o.programs).text().c_str());
  }
  std::uint64_t count = seeds->to - seeds->from + 1;
  std::printf("%llu runs, %llu failed, %llu inconclusive\n", static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(failed),
              static_cast<unsigned long long>(inconclusive));
  all["failed"] = failed;
  all["inconclusive"] = inconclusive;
  bool written = (o.json.empty() || kit::write_whole(o.json, all.dump(1) + "\n")) &&
                 (o.report.empty() || kit::write_whole(o.report, html_report(all)));
  if (!written) {
    std::fprintf(stderr, "violetusher-kit: a result could not be written\n");
    return kWrongInput;
  }
  return static_cast<int>(failed > 0         ? Outcome::kFail
                          : inconclusive > 0 ? Outcome::kInconclusive
                                             : Outcome::kPass);
}

}  // namespace

void add_soak(CLI::App& app, const std::string& program, int& code) {
  auto o = std::make_shared<Options>();
  std::error_code error;
  fs::path self = fs::read_symlink("/proc/self/exe", error);
  fs::path folder = (error ? fs::path(program) : self).parent_path();
  o->programs.router = folder / "violetusher";
  o->programs.fault_library = folder / "libvioletusher_faults.so";
  CLI::App* sub = app.add_subcommand(
      "soak", "Runs random overlapping faults against real routers and checks their behaviour");
  sub->add_option("--seeds", o->seeds, "a seed A or a range A-B")->capture_default_str();
  const std::map<std::string, Profile> profiles{{"mixed", Profile::kMixed},
                                                {"restarts", Profile::kRestarts},
                                                {"replacements", Profile::kReplacements},
                                                {"slow-peers", Profile::kSlowPeers}};
  sub->add_option("--profile", o->bounds.profile, "what the runs are about (default: mixed)")
      ->transform(CLI::CheckedTransformer(profiles));
  sub->add_option("--seconds", o->bounds.seconds, "duration of each run")
      ->check(CLI::Range(6.0, 3600.0))
      ->capture_default_str();
  sub->add_option("--routers", o->bounds.routers, "number of routers in each run")
      ->check(CLI::Range(1, 32))
      ->capture_default_str();
  sub->add_option("--router", o->programs.router, "path of the router's executable")
      ->capture_default_str();
  sub->add_option("--faults", o->programs.fault_library, "path of the fault library")
      ->capture_default_str();
  sub->add_option("--logs", o->programs.log_folder, "write the routers' logs to this folder")
      ->check(CLI::ExistingDirectory);
  sub->add_option("--json", o->json, "write the result as JSON");
  sub->add_option("--report", o->report, "write the result as one HTML page");
  sub->add_flag("--shrink", o->shrink, "print a minimal failing schedule for each run that fails");
  sub->add_flag("--plan", o->plan, "print the schedules without running them");
  sub->callback([o, &code] { code = soak(*o); });
}

}  // namespace violetusher::soak
