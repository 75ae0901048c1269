// Runs one schedule against real routers and checks the result.
#include "run.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>

#include "actors.hpp"
#include "kit/common/reserved_port.hpp"
#include "kit/common/temporary_directory.hpp"
#include "kit/faults/preload.hpp"
#include "kit/faults/script.hpp"
#include "kit/rehearse/oracle.hpp"
#include "kit/rehearse/rig.hpp"

namespace violetusher::soak {
namespace {

namespace fs = std::filesystem;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kPidRefreshInterval = 5'000;
constexpr const char* kBansKept = "bans-kept";
constexpr const char* kSlowClientCut = "slow-client-cut-off";

/// The files and operator port of one router, besides its configuration.
struct RouterSetup {
  kit::ReservedPort operators;
  std::string folder, script, log;
  std::atomic<int> pid{0};
};

std::string ms_of(Micros span) { return std::to_string(span / 1000) + " ms"; }

std::uint64_t lines_of(const std::string& path) {
  std::ifstream in(path);
  std::uint64_t count = 0;
  for (std::string line; std::getline(in, line);) ++count;
  return count;
}

/// The end of the ban accepted in `calls[from]`: the call that lifts it, or the end of the run.
Micros end_of_ban(const std::vector<BanCall>& calls, std::size_t from, Micros ended) {
  for (std::size_t k = from + 1; k < calls.size(); ++k)
    if (calls[k].router == calls[from].router && calls[k].server == calls[from].server &&
        !calls[k].offline)
      return calls[k].called;
  return ended;
}

/// Checks that nothing is sent to a server from the router's acceptance of the ban until the call
/// that lifts it, even if the router restarts in between.
void check_bans(const std::vector<BanCall>& calls, const kit::History& history, Micros grace,
                RunResult& result) {
  for (std::size_t k = 0; k < calls.size(); ++k) {
    const BanCall& ban = calls[k];
    if (!ban.offline || !ban.accepted) continue;
    ++result.bans;
    Micros until = end_of_ban(calls, k, history.ended);
    for (const auto& a : history.attempts) {
      if (a.router != ban.router || a.first_byte <= ban.answered + grace || a.first_byte >= until)
        continue;
      if (history.servers[static_cast<std::size_t>(a.server)] != ban.server) continue;
      std::string id = a.request == kit::kNoRequest ? "unknown request"
                                                    : standin::request_id(a.request, a.attempt_try);
      result.findings.push_back(
          {kBansKept, "at " + ms_of(a.first_byte - history.origin) + ", " + id + ": r" +
                          std::to_string(a.router + 1) + " sent to " + ban.server + " " +
                          ms_of(a.first_byte - ban.answered) + " after accepting its ban"});
    }
  }
}

/// Whether one process of the router, undisturbed, was there for the whole session.
bool router_lived_through(const SlowSessionRecord& session, const kit::History& history) {
  return std::any_of(history.lives.begin(), history.lives.end(), [&](const kit::RouterLife& life) {
    if (life.router != session.router || life.ready == 0 || life.ready > session.began)
      return false;
    Micros last = life.signalled ? life.signalled : life.ended ? life.ended : history.ended;
    return session.ended + rehearse::kOrderSlack < last;
  });
}

/// Checks that a client which goes on reading or writing gets all of its answers. One that was
/// within a long value is not judged: its server may have broken it off.
void check_slow_clients(const std::vector<SlowSessionRecord>& sessions, const kit::History& history,
                        RunResult& result) {
  for (const SlowSessionRecord& session : sessions) {
    ++result.slow_sessions;
    if (!session.closed || session.within_long_value) continue;
    if (!router_lived_through(session, history)) continue;
    result.findings.push_back(
        {kSlowClientCut, "at " + ms_of(session.ended - history.origin) + ": r" +
                             std::to_string(session.router + 1) + " closed a connection after " +
                             ms_of(session.ended - session.began) + ", with " +
                             std::to_string(session.answers) + " of " +
                             std::to_string(session.commands) + " answers given"});
  }
}

std::vector<std::string> environment_of(const RouterSetup& setup, const Programs& programs,
                                        Micros origin) {
  return {faults::kSanitizerOptions,
          "NODE_OPERATOR=" + setup.operators.address(),
          "TMPDIR=" + setup.folder,
          "LD_PRELOAD=" + programs.fault_library,
          std::string(faults::kScriptVariable) + "=" + setup.script,
          std::string(faults::kLogVariable) + "=" + setup.log,
          std::string(faults::kOriginVariable) + "=" + std::to_string(origin)};
}

Micros monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kSecond + now.tv_nsec / 1000;
}

std::vector<std::unique_ptr<RouterSetup>> set_up(const Schedule& schedule,
                                                 const kit::TemporaryDirectory& scratch) {
  std::vector<std::unique_ptr<RouterSetup>> setups;
  for (int r = 0; r < schedule.routers; ++r) {
    auto setup = std::make_unique<RouterSetup>();
    std::string name = "r" + std::to_string(r + 1);
    setup->operators = kit::reserve_port();
    setup->folder = scratch.file(name);
    setup->script = scratch.file(name + ".faults");
    setup->log = scratch.file(name + ".log");
    fs::create_directory(setup->folder);
    std::string text = schedule.faults(r);
    faults::parse_script(text, setup->script);  // throws if the generated script is invalid
    std::ofstream(setup->script) << text;
    setups.push_back(std::move(setup));
  }
  return setups;
}

}  // namespace

RunResult run(const Schedule& schedule, const Programs& programs) {
  rehearse::Day day = rehearse::parse_day(schedule.day(), "soak");
  rehearse::Plan plan = rehearse::make_plan(day, day.seed);
  kit::TemporaryDirectory scratch;
  auto setups = set_up(schedule, scratch);
  Micros origin = monotonic_now();
  net::Clock clock;
  std::unique_ptr<Actors> actors;

  rehearse::RigOptions options;
  options.router = programs.router;
  options.progress = false;
  options.kill_at_earliest = true;
  int starts = 0;
  options.environment = [&](int router) {
    RouterSetup& setup = *setups[static_cast<std::size_t>(router)];
    // A start finds nothing of the process before it, but for where the folder has to last.
    if (schedule.profile == Profile::kRestarts) {
      setup.folder = scratch.file("start-" + std::to_string(++starts));
      fs::create_directory(setup.folder);
    }
    return environment_of(setup, programs, origin);
  };
  std::function<void()> watch_pids, write_logs;
  // The page sends no signal to a process that is not ready, but for those that end it.
  bool replaces = schedule.profile == Profile::kReplacements;
  options.beside = [&](kit::Loop& loop, rehearse::RouterProcesses& routers, Micros begins) {
    std::vector<Actors::Router> targets;
    for (int r = 0; r < schedule.routers; ++r) {
      RouterSetup& setup = *setups[static_cast<std::size_t>(r)];
      targets.push_back(
          {routers.address(r), setup.operators.address(), [&setup] { return setup.pid.load(); }});
    }
    watch_pids = [&] {
      for (std::size_t r = 0; r < setups.size(); ++r)
        setups[r]->pid =
            replaces ? routers.serving_pid(static_cast<int>(r)) : routers.pid(static_cast<int>(r));
      loop.at(loop.now() + kPidRefreshInterval, watch_pids);
    };
    watch_pids();
    write_logs = [&] {
      for (int r = 0; r < schedule.routers; ++r)
        std::ofstream(programs.log_folder + "/r" + std::to_string(r + 1) + ".log")
            << routers.whole_log(r);
    };
    actors = std::make_unique<Actors>(schedule, std::move(targets));
    actors->start(clock, begins);
  };
  options.after = [&] {
    if (actors) actors->join();
    if (write_logs && !programs.log_folder.empty()) write_logs();
  };

  rehearse::Played played = rehearse::play(day, plan, options);
  rehearse::Verdict verdict = rehearse::judge(day, plan, played.history);
  rehearse::Result judged{day, plan, played, verdict, {}};
  RunResult result;
  result.outcome = judged.outcome();
  result.headline = judged.headline();
  result.requests = verdict.requests;
  result.served = verdict.served;
  result.router_logs = played.router_logs;
  for (const auto& f : verdict.findings)
    result.findings.push_back({f.rule, "at " + ms_of(f.at) + ", " + f.request + ": " + f.what});
  for (const std::string& line : played.violations) result.findings.push_back({"invariant", line});
  if (actors)
    check_bans(actors->calls(), played.history, day.expect.drain_grace + rehearse::kOrderSlack,
               result);
  if (actors) check_slow_clients(actors->slow_sessions(), played.history, result);
  for (const auto& setup : setups) result.faults += lines_of(setup->log);
  bool conclusive = result.outcome != rehearse::Outcome::kInconclusive;
  if (conclusive && !result.findings.empty()) result.outcome = rehearse::Outcome::kFail;
  return result;
}

}  // namespace violetusher::soak
