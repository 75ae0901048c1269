#include "command.hpp"

#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include "kit/common/files.hpp"
#include "kit/common/units.hpp"
#include "kit/flight/show.hpp"
#include "kit/standin/fleet.hpp"
#include "oracle.hpp"
#include "report.hpp"
#include "rig.hpp"

namespace violetusher::rehearse {
namespace {

namespace fs = std::filesystem;

constexpr int kWrongInput = 2;

int input_error(const std::string& what) {
  std::fprintf(stderr, "violetusher-kit: %s\n", what.c_str());
  return kWrongInput;
}

struct RehearseOptions {
  std::string day, router, json, report, log, flight;
  std::int64_t seed = -1;
  bool plan = false, quiet = false;
};

/// The timelines of the requests with findings, from the flight recordings of the routers. A
/// restarted router also has a recording of its previous process.
std::map<std::string, Result::RequestTimeline> timelines_of(const std::string& folder,
                                                            const Day& day, const Verdict& verdict,
                                                            const kit::History& history) {
  std::set<std::string> request_ids;
  for (const Finding& f : verdict.findings) request_ids.insert(f.request);
  std::map<std::string, std::vector<kit::FarSide>> attempts;
  for (const auto& a : history.attempts) {
    std::string id = standin::request_id(a.request, a.attempt_try);
    if (a.request != kit::kNoRequest && request_ids.count(id))
      attempts[id].push_back({history.servers[static_cast<std::size_t>(a.server)],
                              a.left ? "left" : kit::name_of(a.answered), a.router + 1,
                              a.first_byte, a.begun, a.made, a.ended});
  }
  std::map<std::string, Result::RequestTimeline> timelines;
  for (std::size_t r = 1; r <= day.routers.halls.size(); ++r)
    for (const char* end : {".flight.before", ".flight"}) {
      std::string path = folder + "/r" + std::to_string(r) + end, error;
      kit::Flight flight;
      if (!fs::exists(path)) continue;
      if (!kit::load_flight(path, flight, error)) {
        std::fprintf(stderr, "%s\n", error.c_str());
        continue;
      }
      for (const auto& line : flight.lines)
        if (request_ids.count(line.id)) {
          Result::RequestTimeline& timeline = timelines[line.id];
          timeline.text += kit::show_request(flight.recording.name, line, &attempts[line.id]) +
                           kit::why_text(line);
          timeline.svg += kit::waterfall(line);
        }
    }
  return timelines;
}

int rehearse(const RehearseOptions& o) {
  Day day;
  try {
    day = load_day(o.day);
  } catch (const DayError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kWrongInput;
  }
  if (day.ledger.on && !o.plan)
    return input_error(
        o.day + ": the day has a replicated ledger; play it with violetusher-kit chaos play");
  Plan plan = make_plan(day, o.seed >= 0 ? static_cast<std::uint64_t>(o.seed) : day.seed);
  if (o.plan) {
    for (std::size_t k = 0; k < plan.requests.size(); ++k)
      std::printf("%s\n", plan_line(day, plan, k).c_str());
    return 0;
  }
  if (::access(o.router.c_str(), X_OK) != 0 || fs::is_directory(o.router))
    return input_error("--router: '" + o.router + "' is not an executable program");
  for (const std::string& path : {o.json, o.report, o.log}) {
    fs::path folder = fs::path(path).parent_path();
    if (!path.empty() && !folder.empty() && !fs::is_directory(folder))
      return input_error("'" + path + "': no such folder");
  }
  RigOptions options;
  options.router = fs::absolute(o.router);
  options.progress = !o.quiet;
  if (!o.flight.empty()) {
    std::error_code error;
    fs::create_directories(o.flight, error);
    options.flight = fs::absolute(o.flight).lexically_normal();
    // The path is written into an operator file as a quoted string.
    if (error || options.flight.find_first_of("\"\\\n") != std::string::npos)
      return input_error(o.flight + ": cannot be used as a folder for recordings");
    // Recordings of an earlier rehearsal must not be mistaken for those of this one.
    for (const auto& entry : fs::directory_iterator(options.flight, error))
      if (entry.path().filename().string().find(".flight") != std::string::npos)
        fs::remove(entry.path(), error);
  }
  Played played = play(day, plan, options);
  Verdict verdict = judge(day, plan, played.history);
  Result result{day, plan, played, verdict, {}};
  if (!o.flight.empty()) {
    result.timelines = timelines_of(options.flight, day, verdict, played.history);
    if (!kit::write_whole(options.flight + "/history.jsonl", history_lines(played.history)))
      return input_error(options.flight + ": cannot be written");
  }
  std::printf("%s", text_report(result).c_str());
  bool written = (o.json.empty() || kit::write_whole(o.json, json_report(result))) &&
                 (o.report.empty() || kit::write_whole(o.report, html_report(result))) &&
                 (o.log.empty() || kit::write_whole(o.log, request_log(result)));
  if (!written) return input_error("a result could not be written");
  if (!o.report.empty()) std::printf("report: %s\n", fs::absolute(o.report).c_str());
  return static_cast<int>(result.outcome());
}

int standin(const std::string& path, double for_s) {
  Day day;
  try {
    day = load_day(path);
  } catch (const DayError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kWrongInput;
  }
  net::Clock clock;
  kit::Loop loop(clock);
  kit::History history;
  standin::Fleet fleet(loop, day.fleet, day.faults, day.seed, day.routers.halls, history);
  for (std::size_t r = 0; r < day.routers.halls.size(); ++r)
    std::printf("r%zu discovery %s\n", r + 1, fleet.discovery_address(static_cast<int>(r)).c_str());
  for (std::size_t s = 0; s < day.fleet.servers.size(); ++s)
    std::printf(
        "%s %s\n", day.fleet.servers[s].id.c_str(),
        fleet.address(static_cast<int>(s), static_cast<int>(day.routers.halls.size())).c_str());
  std::fflush(stdout);
  auto on_signal = [](evutil_socket_t, short, void* l) { static_cast<kit::Loop*>(l)->stop(); };
  net::EventPtr interrupt(evsignal_new(loop.base(), SIGINT, on_signal, &loop));
  net::EventPtr term(evsignal_new(loop.base(), SIGTERM, on_signal, &loop));
  event_add(interrupt.get(), nullptr);
  event_add(term.get(), nullptr);
  Micros origin = loop.now();
  fleet.start(origin);
  if (for_s > 0) loop.at(origin + static_cast<Micros>(for_s * 1e6), [&] { loop.stop(); });
  // Nothing is judged here, so the unused parts of the history are dropped to bound its size.
  std::function<void()> drop_unused = [&] {
    history.server_samples.clear();
    history.told.clear();
    history.effects.clear();
    loop.at(loop.now() + 1'000'000, drop_unused);
  };
  drop_unused();
  loop.run();
  std::fprintf(stderr, "%zu attempts received\n", history.attempts.size());
  return 0;
}

}  // namespace

void add_rehearse(CLI::App& app, const std::string& program, int& code) {
  auto o = std::make_shared<RehearseOptions>();
  std::error_code error;
  fs::path self = fs::read_symlink("/proc/self/exe", error);
  o->router = (error ? fs::path(program) : self).parent_path() / "violetusher";
  CLI::App* sub =
      app.add_subcommand("rehearse", "Plays a scripted day against real routers and judges it");
  sub->add_option("day", o->day, "the day, a TOML file")->required();
  sub->add_option("--seed", o->seed, "overrides the seed of the day")
      ->check(CLI::NonNegativeNumber);
  sub->add_option("--router", o->router, "the router's program")->capture_default_str();
  sub->add_option("--json", o->json, "write the result as JSON");
  sub->add_option("--report", o->report, "write the result as one HTML page");
  sub->add_option("--log", o->log, "write the first tries as JSON lines, as --plan prints them");
  sub->add_option("--flight", o->flight, "write a flight recording of each router to this folder");
  sub->add_flag("--plan", o->plan, "print the request schedule as JSON lines and exit");
  sub->add_flag("--quiet", o->quiet, "print no progress");
  sub->callback([o, &code] { code = rehearse(*o); });
}

void add_standin(CLI::App& app, int& code) {
  auto day = std::make_shared<std::string>();
  auto for_s = std::make_shared<double>(0);
  CLI::App* sub = app.add_subcommand(
      "standin", "Starts only the price caches and the discovery of a day, with its faults");
  sub->add_option("day", *day, "the day, a TOML file")->required();
  sub->add_option("--for", *for_s, "seconds to run; by default until SIGTERM")
      ->check(CLI::NonNegativeNumber);
  sub->callback([day, for_s, &code] { code = standin(*day, *for_s); });
}

}  // namespace violetusher::rehearse
