#include "run.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>

#include "actors.hpp"
#include "kit/faults/preload.hpp"
#include "kit/faults/script.hpp"
#include "kit/rehearse/oracle.hpp"
#include "kit/rehearse/rig.hpp"

namespace violetusher::soak {
namespace {

namespace fs = std::filesystem;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kPidEvery = 5'000;
constexpr const char* kBansKept = "bans-kept";

/// A folder that goes with the run.
class Scratch {
 public:
  Scratch() {
    std::string pattern = (fs::temp_directory_path() / "violetusher-soak-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("no folder for a run");
    path_ = pattern;
  }
  Scratch(const Scratch&) = delete;
  Scratch& operator=(const Scratch&) = delete;
  ~Scratch() {
    std::error_code error;
    fs::remove_all(path_, error);
  }
  std::string file(const std::string& name) const { return path_ / name; }

 private:
  fs::path path_;
};

/// A port that stays taken for whoever binds it with SO_REUSEADDR.
struct HeldPort {
  net::Fd holder;
  int number = 0;
};

HeldPort hold_port() {
  HeldPort port{net::Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), 0};
  int yes = 1;
  ::setsockopt(port.holder.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(port.holder.get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(port.holder.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("no port for operators");
  port.number = ntohs(address.sin_port);
  return port;
}

/// What one router of the run is given besides its configuration.
struct RouterSetup {
  HeldPort operators;
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

/// The end of the ban that `calls[from]` said yes to: the call back, or the end of the run.
Micros end_of_ban(const std::vector<BanCall>& calls, std::size_t from, Micros ended) {
  for (std::size_t k = from + 1; k < calls.size(); ++k)
    if (calls[k].router == calls[from].router && calls[k].server == calls[from].server &&
        !calls[k].out)
      return calls[k].called;
  return ended;
}

/// From the router's yes until the call back nothing may be sent to the server, whatever processes
/// come and go.
void judge_bans(const std::vector<BanCall>& calls, const kit::History& history, Micros grace,
                RunResult& result) {
  for (std::size_t k = 0; k < calls.size(); ++k) {
    const BanCall& ban = calls[k];
    if (!ban.out || !ban.yes) continue;
    ++result.bans;
    Micros until = end_of_ban(calls, k, history.ended);
    for (const auto& a : history.attempts) {
      if (a.router != ban.router || a.first_byte <= ban.answered + grace || a.first_byte >= until)
        continue;
      if (history.servers[static_cast<std::size_t>(a.server)] != ban.server) continue;
      std::string id = a.request == kit::kNoRequest ? "no request of ours"
                                                    : standin::request_id(a.request, a.attempt_try);
      result.findings.push_back(
          {kBansKept, "at " + ms_of(a.first_byte - history.origin) + ", " + id + ": r" +
                          std::to_string(a.router + 1) + " sent to " + ban.server + " " +
                          ms_of(a.first_byte - ban.answered) + " after its yes to take it out"});
    }
  }
}

std::vector<std::string> environment_of(const RouterSetup& setup, const Programs& programs,
                                        Micros origin) {
  return {faults::kSanitizerOptions,
          "NODE_OPERATOR=127.0.0.1:" + std::to_string(setup.operators.number),
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

std::vector<std::unique_ptr<RouterSetup>> set_up(const Schedule& schedule, const Scratch& scratch) {
  std::vector<std::unique_ptr<RouterSetup>> setups;
  for (int r = 0; r < schedule.routers; ++r) {
    auto setup = std::make_unique<RouterSetup>();
    std::string name = "r" + std::to_string(r + 1);
    setup->operators = hold_port();
    setup->folder = scratch.file(name);
    setup->script = scratch.file(name + ".faults");
    setup->log = scratch.file(name + ".log");
    fs::create_directory(setup->folder);
    std::string text = schedule.faults(r);
    faults::parse_script(text, setup->script);  // throws where the drawing is wrong
    std::ofstream(setup->script) << text;
    setups.push_back(std::move(setup));
  }
  return setups;
}

}  // namespace

RunResult run(const Schedule& schedule, const Programs& programs) {
  rehearse::Day day = rehearse::parse_day(schedule.day(), "soak");
  rehearse::Plan plan = rehearse::make_plan(day, day.seed);
  Scratch scratch;
  auto setups = set_up(schedule, scratch);
  Micros origin = monotonic_now();
  net::Clock clock;
  std::unique_ptr<Actors> actors;

  rehearse::RigOptions options;
  options.router = programs.router;
  options.progress = false;
  options.kill_at_earliest = true;
  options.environment = [&](int router) {
    return environment_of(*setups[static_cast<std::size_t>(router)], programs, origin);
  };
  std::function<void()> watch_pids;
  options.beside = [&](kit::Loop& loop, rehearse::RouterProcesses& routers, Micros begins) {
    std::vector<Actors::Router> targets;
    for (int r = 0; r < schedule.routers; ++r) {
      RouterSetup& setup = *setups[static_cast<std::size_t>(r)];
      targets.push_back({routers.address(r), "127.0.0.1:" + std::to_string(setup.operators.number),
                         [&setup] { return setup.pid.load(); }});
    }
    watch_pids = [&] {
      for (std::size_t r = 0; r < setups.size(); ++r)
        setups[r]->pid = routers.pid(static_cast<int>(r));
      loop.at(loop.now() + kPidEvery, watch_pids);
    };
    watch_pids();
    actors = std::make_unique<Actors>(schedule, std::move(targets));
    actors->start(clock, begins);
  };
  options.after = [&] {
    if (actors) actors->join();
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
  if (actors) judge_bans(actors->calls(), played.history, day.expect.drain_grace + 50'000, result);
  for (const auto& setup : setups) result.faults += lines_of(setup->log);
  bool judgeable = result.outcome != rehearse::Outcome::kInconclusive;
  if (judgeable && !result.findings.empty()) result.outcome = rehearse::Outcome::kFail;
  return result;
}

}  // namespace violetusher::soak
