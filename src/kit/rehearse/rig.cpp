#include "rig.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "kit/common/units.hpp"
#include "kit/standin/fleet.hpp"
#include "routers.hpp"
#include "tills.hpp"

namespace violetusher::rehearse {
namespace {

constexpr Micros kStartDelay = 300'000;  // from "all routers ready" to the start of the day
constexpr Micros kSettleTime = 100'000;  // to record attempts sent after the last answer
constexpr Micros kProgressInterval = 1'000'000, kPollInterval = 20'000;

/// The tills and the stand-ins need more file descriptors than the usual soft limit.
void raise_descriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Runs tasks that other threads post on the loop's thread.
class LoopTaskQueue {
 public:
  explicit LoopTaskQueue(kit::Loop& loop) : loop_(loop) { poll(); }
  void post(std::function<void()> task) {
    std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }

 private:
  void poll() {
    std::vector<std::function<void()>> tasks;
    {
      std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (auto& task : tasks) task();
    loop_.at(loop_.now() + kPollInterval, [this] { poll(); });
  }
  kit::Loop& loop_;
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
};

/// A thread that runs a loop. The destructor stops the loop and joins the thread.
class LoopThread {
 public:
  explicit LoopThread(kit::Loop& loop) : loop_(loop) {}
  ~LoopThread() { join(); }
  void start(std::function<void()> first) {
    thread_ = std::thread([this, first = std::move(first)] {
      // Signals are handled on the main thread.
      sigset_t all;
      sigfillset(&all);
      pthread_sigmask(SIG_BLOCK, &all, nullptr);
      try {
        first();
        loop_.run();
      } catch (const std::exception& e) {
        error_ = e.what();
      }
      done_ = true;
    });
  }
  bool done() const { return done_; }
  void join() {
    if (!thread_.joinable()) return;
    loop_.stop_from_outside();
    thread_.join();
  }
  const std::string& error() const { return error_; }

 private:
  kit::Loop& loop_;
  std::thread thread_;
  std::atomic<bool> done_{false};
  std::string error_;
};

void merge(kit::History& into, kit::History&& fleet, kit::History&& tills) {
  into.servers = std::move(fleet.servers);
  into.attempts = std::move(fleet.attempts);
  into.effects = std::move(fleet.effects);
  into.told = std::move(fleet.told);
  into.fallen = std::move(fleet.fallen);
  into.server_samples = std::move(fleet.server_samples);
  into.tries = std::move(tills.tries);
  kit::begin_after_requests(into);
}

}  // namespace

Played play(const Day& day, const Plan& plan, const RigOptions& options) {
  raise_descriptors();
  net::Clock clock;
  Played played;
  kit::History fleet_history, till_history;
  kit::Loop fleet_loop(clock), till_loop(clock), control(clock);
  standin::Fleet fleet(fleet_loop, day.fleet, day.faults, plan.seed, day.routers.halls,
                       fleet_history);
  int routers = static_cast<int>(day.routers.halls.size());

  std::vector<RouterProcesses::DiscoveryInfo> discovery;
  for (int r = 0; r < routers; ++r)
    discovery.push_back({fleet.discovery_address(r), fleet.list_json(r)});
  std::unique_ptr<LoopTaskQueue> till_tasks;
  TillLoadGenerator* tills_pointer = nullptr;
  std::vector<std::uint64_t> changes(static_cast<std::size_t>(routers), 0);
  RouterProcesses processes(
      control, day, plan.seed, options.router, discovery, played.history,
      [&](int router, bool alive) {
        // The load balancer detects that a router is down only after some
        // time, and never if the router is up again by then. It sees a
        // start at once.
        auto change = ++changes[static_cast<std::size_t>(router)];
        control.at(
            control.now() + (alive ? 0 : day.tills.failure_detection_delay),
            [&, router, alive, change] {
              if (changes[static_cast<std::size_t>(router)] != change) return;
              till_tasks->post([&, router, alive] { tills_pointer->set_alive(router, alive); });
            });
      });
  processes.record_flights(options.flight);
  processes.kill_at_earliest(options.kill_at_earliest);
  processes.set_operator_text(options.operator_more);
  processes.set_environment(options.environment);
  std::vector<std::string> addresses;
  for (int r = 0; r < routers; ++r) addresses.push_back(processes.address(r));
  for (std::size_t s = 0; s < day.fleet.servers.size(); ++s)
    if (day.fleet.servers[s].joins == 0)
      addresses.push_back(fleet.address(static_cast<int>(s), routers));
  TillLoadGenerator tills(till_loop, day, plan, addresses, till_history);
  tills_pointer = &tills;
  till_tasks = std::make_unique<LoopTaskQueue>(till_loop);

  // From here on SIGINT and SIGTERM end the day in an orderly way.
  auto on_signal = [](evutil_socket_t, short, void* at) {
    static_cast<RigFigures*>(at)->interrupted = true;
  };
  net::EventPtr interrupt(evsignal_new(control.base(), SIGINT, on_signal, &played.rig));
  net::EventPtr term(evsignal_new(control.base(), SIGTERM, on_signal, &played.rig));
  event_add(interrupt.get(), nullptr);
  event_add(term.get(), nullptr);

  if (options.before) options.before(control);
  LoopTaskQueue fleet_tasks(fleet_loop);
  LoopThread fleet_thread(fleet_loop), till_thread(till_loop);
  fleet_thread.start([] {});
  processes.on_start([&](int router, Micros started) {
    fleet_tasks.post([&, router, started] { fleet.on_router_start(router, started); });
  });
  if (processes.start_all(played.not_started)) {
    Micros origin = clock.now() + kStartDelay;
    played.history.origin = origin;
    fleet_tasks.post([&, origin] { fleet.start(origin); });
    till_thread.start([&] { tills.start(origin); });
    processes.start_day(origin);
    if (options.beside) options.beside(control, processes, origin);
    std::function<void()> poll = [&] {
      if (till_thread.done() || fleet_thread.done() || played.rig.interrupted)
        return control.stop();
      control.at(control.now() + kPollInterval, poll);
    };
    poll();
    bool terminal = ::isatty(2);
    std::function<void()> print_progress = [&] {
      const TillCounts& c = tills.counts();
      Micros at = control.now() - origin;
      if (at >= 0)
        std::fprintf(
            stderr,
            "%s%6s of %s  sent %llu  served %llu  refused %llu  failed %llu  retries %llu%s",
            terminal ? "\r" : "", kit::duration_text(at).c_str(),
            kit::duration_text(day.length).c_str(), static_cast<unsigned long long>(c.sent),
            static_cast<unsigned long long>(c.served), static_cast<unsigned long long>(c.refused),
            static_cast<unsigned long long>(c.failed), static_cast<unsigned long long>(c.retries),
            terminal ? "  " : "\n");
      control.at(control.now() + kProgressInterval, print_progress);
    };
    if (options.progress) print_progress();
    control.run();
    if (options.progress && terminal) std::fprintf(stderr, "\n");
    std::this_thread::sleep_for(std::chrono::microseconds(kSettleTime));
  }
  if (options.after) options.after();
  played.history.ended = clock.now();
  till_thread.join();
  processes.stop_all();
  fleet_thread.join();
  for (const std::string& error : {till_thread.error(), fleet_thread.error()})
    if (!error.empty()) played.rig.trouble = error;
  played.violations = processes.violations();
  if (processes.crashed() || !played.not_started.empty())
    for (int r = 0; r < routers; ++r)
      if (std::string log = processes.log(r); !log.empty())
        played.router_logs += "r" + std::to_string(r + 1) + ":\n" + log;

  merge(played.history, std::move(fleet_history), std::move(till_history));
  played.rig.tills = tills.lateness();
  played.rig.standins = fleet_loop.lateness();
  played.rig.out_of_sockets = tills.out_of_sockets();
  auto late = [&](const char* who, const kit::Lateness& l) {
    if (l.quantile(0.99) <= day.rig.late_p99 && l.worst() <= day.rig.late_worst) return;
    if (!played.rig.trouble.empty()) played.rig.trouble += "; ";
    played.rig.trouble +=
        std::string(who) + " ran late: p99 " + kit::duration_text(l.quantile(0.99)) + " (bound " +
        kit::duration_text(day.rig.late_p99) + "), worst " + kit::duration_text(l.worst()) +
        " (bound " + kit::duration_text(day.rig.late_worst) + ")";
  };
  late("the tills", played.rig.tills);
  late("the stand-ins", played.rig.standins);
  if (played.rig.out_of_sockets) played.rig.trouble = "the rig ran out of sockets";
  if (played.rig.interrupted) played.rig.trouble = "interrupted";
  return played;
}

}  // namespace violetusher::rehearse
