#include "routers.hpp"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "kit/common/random.hpp"

extern char** environ;

namespace violetusher::rehearse {
namespace {

constexpr Micros kReapInterval = 5'000, kSampleInterval = 500'000, kReadyPollInterval = 10'000;
constexpr Micros kTerminationTimeout = 5'000'000;  // after SIGTERM
// With kill_at_earliest, SIGKILL is sent kKillSlack after the longest deadline of a class, which
// counts at most kMaxDeadline.
constexpr Micros kKillSlack = 700'000, kMaxDeadline = 3'000'000;
constexpr int kReadyTimeoutMs = 200;
constexpr int kConfigFd = 3, kOperatorFd = 4, kFirstFreeFd = 5, kAcceptFd = 7;
constexpr int kFirstCopyFd = 10;  // above the numbers that descriptors get in a child
constexpr off_t kMaxLogBytes = 4096, kMaxSearchedBytes = 16 << 20;
// Part of the log line about a violated invariant, in every log format.
constexpr const char* kInvariantMarker = "invariant ";

std::string how_ended(int status) {
  if (WIFSIGNALED(status)) return std::string("signal ") + strsignal(WTERMSIG(status));
  return "exit code " + std::to_string(WEXITSTATUS(status));
}

void write_all(int fd, const std::string& text) {
  if (::ftruncate(fd, 0) != 0 ||
      ::pwrite(fd, text.data(), text.size(), 0) != static_cast<ssize_t>(text.size()))
    throw std::runtime_error(std::string("memory file: ") + std::strerror(errno));
}

std::uint64_t resident_bytes(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t total = 0, resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

/// Sends `line` to a port of 127.0.0.1; returns the beginning of the answer, or nothing.
std::string ask(int port, std::string_view line) {
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return {};
  if (::send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
    return {};
  pollfd poll{fd.get(), POLLIN, 0};
  char bytes[64];
  if (::poll(&poll, 1, kReadyTimeoutMs) != 1) return {};
  ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
  return std::string(bytes, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
}

/// The last `most` bytes of a file.
std::string tail_of(int fd, off_t max_bytes) {
  struct stat info {};
  if (::fstat(fd, &info) != 0) return {};
  off_t size = info.st_size, from = std::max<off_t>(0, size - max_bytes);
  std::string text(static_cast<std::size_t>(size - from), '\0');
  ssize_t got = ::pread(fd, text.data(), text.size(), from);
  text.resize(static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  return text;
}

int descriptors(int pid) {
  DIR* folder = ::opendir(("/proc/" + std::to_string(pid) + "/fd").c_str());
  if (!folder) return 0;
  int count = 0;
  while (const dirent* entry = ::readdir(folder))
    if (entry->d_name[0] != '.') ++count;
  ::closedir(folder);
  return count;
}

}  // namespace

RouterProcesses::RouterProcesses(kit::Loop& loop, const Day& day, std::uint64_t seed,
                                 std::string program, std::vector<DiscoveryInfo> discovery,
                                 kit::History& history,
                                 std::function<void(int, bool)> on_availability_change)
    : loop_(loop),
      day_(day),
      seed_(seed),
      program_(std::move(program)),
      discovery_(std::move(discovery)),
      history_(history),
      on_availability_change_(std::move(on_availability_change)),
      processes_(day.routers.halls.size()) {
  bool replaces = replaces_processes(day.router_faults);
  if (replaces) state_folder_.emplace();
  for (Process& p : processes_) {
    p.port = kit::reserve_port();
    if (replaces) open_replacement_sockets(p);
    p.config = net::Fd(::memfd_create("router-config", MFD_CLOEXEC));
    p.log = net::Fd(::memfd_create("router-log", MFD_CLOEXEC));
    p.operator_file = net::Fd(::memfd_create("router-operator", MFD_CLOEXEC));
    p.operator_text = day.routers.operator_text;
    if (!p.config || !p.log || !p.operator_file)
      throw std::runtime_error("no memory file for a router");
  }
}

RouterProcesses::~RouterProcesses() {
  for (Process& p : processes_) {
    for (Process* one : {p.replaced.get(), &p}) {
      if (!one || one->pid <= 0) continue;
      ::kill(one->pid, SIGKILL);
      ::waitpid(one->pid, nullptr, 0);
    }
  }
}

/// The listening socket that the platform holds, and two addresses for operators: the processes
/// of a replacement have one each.
void RouterProcesses::open_replacement_sockets(Process& p) {
  if (::listen(p.port.holder.get(), SOMAXCONN) != 0)
    throw std::runtime_error(std::string("listen: ") + std::strerror(errno));
  for (kit::ReservedPort& port : p.operators) port = kit::reserve_port();
}

std::vector<std::string> RouterProcesses::replacement_variables(int router) const {
  const Process& p = processes_[static_cast<std::size_t>(router)];
  if (!state_folder_) return {};
  return {"NODE_ACCEPT_FD=" + std::to_string(kAcceptFd),
          "NODE_OPERATOR=" + p.operators[p.operator_in_use].address(),
          "TMPDIR=" + state_folder_->path()};
}

std::string RouterProcesses::address(int router) const {
  return processes_[static_cast<std::size_t>(router)].port.address();
}

std::string RouterProcesses::config_text(int router) const {
  using Json = nlohmann::json;
  const auto& fleet = day_.fleet;
  auto at = static_cast<std::size_t>(router);
  Json classes = Json::array(), tenants = Json::array();
  for (const TillClass& c : day_.tills.classes)
    classes.push_back({{"Name", c.name},
                       {"Effect", c.keyed ? "by_key" : "repeatable"},
                       {"Group", "all"},
                       {"KeyTtlUs", c.keyed ? fleet.repeat_window : 0},
                       {"ObjectiveUs", c.latency_objective},
                       {"DeadlineUs", c.deadline},
                       {"Worth", c.worth},
                       {"LateWorth", c.late_worth}});
  double work = 0;
  for (const TillClass& c : day_.tills.classes) work += c.share * static_cast<double>(c.work);
  double cores = 0;
  for (const auto& s : fleet.servers) {
    const auto& kind = fleet.kinds[static_cast<std::size_t>(s.kind)];
    cores += kind.cores * kind.speed;
  }
  for (const Tenant& b : day_.tills.tenants)
    tenants.push_back({{"Name", b.name},
                       {"Portion", b.share},
                       {"QuotaPerS", 0.85 * b.share * cores / (work / 1e6)}});
  Json settings{{"Balancers", day_.routers.halls.size()},
                {"Az", fleet.halls[static_cast<std::size_t>(day_.routers.halls[at])]},
                {"FailureDomains", fleet.halls},
                {"TickUs", 1000},
                {"MembershipMode", fleet.pushed ? "automatic" : "subscribe"},
                {"ValueBy", "work"},
                {"OverShareWorth", 0.05},
                {"Classes", classes},
                {"Tenants", tenants},
                {"Report", {{"How", "inline"}, {"Fields", {"load_share", "mean_ms", "x0"}}}},
                {"Charges", {{"CrossZone", 0.12}, {"Waste", 0.06}, {"LateFail", 0.045}}},
                {"Limits",
                 {{"MaxAttempts", day_.routers.max_attempts},
                  {"MayCancel", true},
                  {"SecondCopies", true},
                  {"RetryAfter", day_.routers.retry_after},
                  {"MaxRetryAfterUs", 1'000'000},
                  {"StreamsPerConn", fleet.streams},
                  {"KeepaliveUs", fleet.idle_close},
                  {"DialTimeoutUs", 75'000}}},
                {"Rules",
                 {{"AnswerSlackUs", day_.expect.answer_slack},
                  {"AskWithinUs", fleet.ask_within},
                  {"DrainGraceUs", day_.expect.drain_grace},
                  {"ColdShare", fleet.cold_share},
                  {"ColdUs", fleet.warm_up},
                  {"OverloadFactor", fleet.fall_multiple},
                  {"TipAfterUs", fleet.fall_after}}}};
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(kit::Draws(seed_).bits(
                    kit::Stream::kRouterSeed, static_cast<std::uint64_t>(router), start_count_)));
  Json config{{"name", "r" + std::to_string(router + 1)},
              {"listen", address(router)},
              {"discovery", discovery_[at].address},
              {"seed", seed},
              {"limits",
               {{"cores", 1.0},
                {"memory_mb", day_.routers.memory >> 20},
                {"sockets", day_.routers.sockets}}},
              {"known", Json::parse(discovery_[at].initial_hosts)},
              {"settings", settings}};
  return config.dump();
}

/// The operator file: the text of the day, additional text, and a flight recorder if requested.
std::string RouterProcesses::operator_text(int router) const {
  std::string text = processes_[static_cast<std::size_t>(router)].operator_text;
  if (text.empty()) text = "version 1;\n";
  if (extra_operator_text_) text += "\n" + extra_operator_text_(router);
  if (flight_.empty()) return text;
  std::string file = flight_ + "/r" + std::to_string(router + 1) + ".flight";
  return text + "\nrecorder rehearsal { file = \"" + file + "\"; size = 16MiB; }\n";
}

void RouterProcesses::spawn(int router) {
  Process& p = processes_[static_cast<std::size_t>(router)];
  ++start_count_;
  write_all(p.config.get(), config_text(router));
  write_all(p.operator_file.get(), operator_text(router));
  // Everything that the child needs is created before the fork: other threads are running, so that
  // only async-signal-safe calls are allowed between fork and exec.
  // Of several with one name the first is in force.
  std::vector<std::string> variables = replacement_variables(router);
  variables.push_back("NODE_CONFIG=/proc/self/fd/" + std::to_string(kConfigFd));
  for (char** e = environ; *e; ++e)
    if (std::strncmp(*e, "NODE_", 5) != 0) variables.emplace_back(*e);
  if (environment_)
    for (std::string& v : environment_(router)) variables.push_back(std::move(v));
  std::vector<char*> env;
  for (std::string& v : variables) env.push_back(v.data());
  env.push_back(nullptr);
  std::string option = "--operator", path = "/proc/self/fd/" + std::to_string(kOperatorFd);
  bool has_operator_file = this->has_operator_file();
  char* arguments[] = {program_.data(), has_operator_file ? option.data() : nullptr, path.data(),
                       nullptr};
  net::Fd config_copy(::fcntl(p.config.get(), F_DUPFD_CLOEXEC, kFirstCopyFd));
  net::Fd operator_copy(::fcntl(p.operator_file.get(), F_DUPFD_CLOEXEC, kFirstCopyFd));
  net::Fd listener_copy;
  if (state_folder_)
    listener_copy = net::Fd(::fcntl(p.port.holder.get(), F_DUPFD_CLOEXEC, kFirstCopyFd));
  int listener = listener_copy ? listener_copy.get() : -1;
  int config = config_copy.get(), operator_fd = operator_copy.get(), log = p.log.get(),
      parent = ::getpid();
  int nothing = ::open("/dev/null", O_RDWR | O_CLOEXEC);
  auto limit = static_cast<rlim_t>(day_.routers.sockets);
  int pid = ::fork();
  if (pid < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the routers end with the rig, however it ends
    if (::getppid() != parent) ::_exit(127);
    ::setpgid(0, 0);  // Ctrl-C goes to the rig alone, which ends its routers in an orderly way
    ::dup2(nothing, 0);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::dup2(config, kConfigFd);
    if (has_operator_file) ::dup2(operator_fd, kOperatorFd);
    if (listener >= 0) ::dup2(listener, kAcceptFd);
    ::close_range(has_operator_file ? kFirstFreeFd : kOperatorFd, kAcceptFd - 1, 0);
    ::close_range(listener >= 0 ? kAcceptFd + 1 : kAcceptFd, ~0u, 0);
    rlimit descriptors{limit, limit};
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    ::signal(SIGPIPE, SIG_DFL);
    ::execve(arguments[0], arguments, env.data());
    ::_exit(127);
  }
  ::close(nothing);
  p.pid = pid;
  p.exit_expected = p.restart = p.killed_at_deadline = false;
  p.kill_at = 0;
  p.life = history_.lives.size();
  kit::RouterLife life;
  life.router = router;
  life.started = loop_.now();
  life.replaces = p.replaced != nullptr;
  history_.lives.push_back(life);
  if (on_start_ && !life.replaces) on_start_(router, life.started);
}

bool RouterProcesses::is_ready(int router) const {
  return ask(processes_[static_cast<std::size_t>(router)].port.number, "mn\r\n").rfind("MN", 0) ==
         0;
}

bool RouterProcesses::is_healthy(int operator_port) const {
  return ask(operator_port, "HEALTH\r\n").rfind("SUCCESS", 0) == 0;
}

int RouterProcesses::serving_pid(int router) const {
  const Process& p = processes_[static_cast<std::size_t>(router)];
  if (p.pid > 0 && history_.lives[p.life].ready) return p.pid;
  return p.replaced ? std::max(p.replaced->pid, 0) : 0;
}

/// Starts a process beside the one that serves, unless that one is being replaced already.
void RouterProcesses::replace(int router) {
  Process& p = processes_[static_cast<std::size_t>(router)];
  if (p.replaced || p.exit_expected) return;
  p.replaced = std::make_unique<Process>();
  p.replaced->pid = p.pid;
  p.replaced->life = p.life;
  p.operator_in_use = 1 - p.operator_in_use;
  spawn(router);
  poll_until_taken_over(router, history_.lives.back().started);
}

/// The process before gets SIGTERM when the new one says that it takes clients.
void RouterProcesses::poll_until_taken_over(int router, Micros since) {
  Process& p = processes_[static_cast<std::size_t>(router)];
  if (ending_ || p.pid <= 0 || !p.replaced || history_.lives[p.life].started != since) return;
  if (!is_healthy(p.operators[p.operator_in_use].number)) {
    loop_.at(loop_.now() + kReadyPollInterval,
             [this, router, since] { poll_until_taken_over(router, since); });
    return;
  }
  Micros now = loop_.now();
  history_.lives[p.life].ready = now;
  history_.lives[p.replaced->life].signalled = now;
  p.replaced->exit_expected = true;
  p.replaced->kill_at = now + termination_timeout();
  ::kill(p.replaced->pid, SIGTERM);
}

bool RouterProcesses::start_all(std::string& error) {
  for (std::size_t r = 0; r < processes_.size(); ++r) spawn(static_cast<int>(r));
  Micros limit = loop_.now() + day_.rig.ready_within;
  for (std::size_t r = 0; r < processes_.size(); ++r) {
    while (!is_ready(static_cast<int>(r))) {
      int status = 0;
      if (::waitpid(processes_[r].pid, &status, WNOHANG) == processes_[r].pid) {
        processes_[r].pid = -1;
        error = "r" + std::to_string(r + 1) + " ended before it was ready (" + how_ended(status) +
                "): " + log(static_cast<int>(r));
        return false;
      }
      if (loop_.now() > limit) {
        error = "r" + std::to_string(r + 1) + " was not ready in time: " + log(static_cast<int>(r));
        return false;
      }
      std::this_thread::sleep_for(std::chrono::microseconds(kReadyPollInterval));
    }
    history_.lives[processes_[r].life].ready = loop_.now();
  }
  return true;
}

void RouterProcesses::poll_until_ready(int router, Micros since) {
  Process& p = processes_[static_cast<std::size_t>(router)];
  if (ending_ || p.pid <= 0 || history_.lives[p.life].started != since) return;
  if (is_ready(router)) {
    history_.lives[p.life].ready = loop_.now();
    on_availability_change_(router, true);
    return;
  }
  loop_.at(loop_.now() + kReadyPollInterval,
           [this, router, since] { poll_until_ready(router, since); });
}

void RouterProcesses::start_day(Micros origin) {
  for (const RouterFault& fault : day_.router_faults)
    loop_.at(origin + fault.at, [this, &fault] { act(fault); });
  reap_periodically();
  sample_periodically();
}

void RouterProcesses::act(const RouterFault& fault) {
  for (int router : fault.routers) {
    Process& p = processes_[static_cast<std::size_t>(router)];
    if (p.pid <= 0) continue;
    kit::RouterLife& life = history_.lives[p.life];
    if (p.replaced && fault.kind != RouterFaultKind::kReload) continue;
    switch (fault.kind) {
      case RouterFaultKind::kReplace:
        replace(router);
        break;
      case RouterFaultKind::kRestart:
        p.exit_expected = p.restart = true;
        p.kill_at = loop_.now() + termination_timeout();
        life.signalled = loop_.now();
        on_availability_change_(router, false);
        ::kill(p.pid, SIGTERM);
        break;
      case RouterFaultKind::kKill:
        p.exit_expected = true;
        p.restart = false;  // where it was told to end before: it is started once
        life.killed = true;
        ::kill(p.pid, SIGKILL);
        on_availability_change_(router, false);
        loop_.at(loop_.now() + (fault.until - fault.at), [this, router] {
          reap();
          spawn(router);
          poll_until_ready(router, history_.lives.back().started);
        });
        break;
      case RouterFaultKind::kReload:
        if (!fault.operator_text.empty()) {
          p.operator_text = fault.operator_text;
          write_all(p.operator_file.get(), operator_text(router));
        }
        ::kill(p.pid, SIGHUP);
        break;
      case RouterFaultKind::kFreeze:
        life.frozen.emplace_back(loop_.now(), loop_.now() + (fault.until - fault.at));
        ::kill(p.pid, SIGSTOP);
        on_availability_change_(router, false);
        loop_.at(life.frozen.back().second, [this, router, pid = p.pid] {
          Process& now = processes_[static_cast<std::size_t>(router)];
          if (now.pid != pid) return;
          ::kill(pid, SIGCONT);
          history_.lives[now.life].frozen.back().second = loop_.now();
          on_availability_change_(router, true);
        });
        break;
    }
  }
}

/// The time that a router has from SIGTERM until it ends.
Micros RouterProcesses::termination_timeout() const {
  if (!kill_at_earliest_) return kTerminationTimeout;
  Micros longest = 0;
  for (const TillClass& c : day_.tills.classes) longest = std::max(longest, c.deadline);
  return std::min(longest, kMaxDeadline) + kKillSlack;
}

/// Kills a process that was told to end and has not done so in time.
void RouterProcesses::kill_overdue(Process& p) {
  if (p.kill_at == 0 || loop_.now() <= p.kill_at) return;
  p.killed_at_deadline = kill_at_earliest_;
  if (!p.killed_at_deadline) {
    history_.lives[p.life].crashed = true;
    crashed_ = true;
  }
  p.kill_at = 0;
  ::kill(p.pid, SIGKILL);
}

void RouterProcesses::reap(int router, Process& p) {
  if (p.pid <= 0) return;
  kill_overdue(p);
  int status = 0;
  if (::waitpid(p.pid, &status, WNOHANG) != p.pid) return;
  kit::RouterLife& life = history_.lives[p.life];
  life.ended = loop_.now();
  life.how = how_ended(status);
  bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!p.exit_expected || (!clean && !life.killed && !p.killed_at_deadline)) {
    life.crashed = true;
    crashed_ = true;
    on_availability_change_(router, false);
  }
  p.pid = -1;
}

void RouterProcesses::reap() {
  for (std::size_t r = 0; r < processes_.size(); ++r) {
    Process& p = processes_[r];
    int router = static_cast<int>(r);
    if (p.replaced) {
      reap(router, *p.replaced);
      if (p.replaced->pid <= 0) p.replaced.reset();
    }
    if (p.pid <= 0) continue;
    reap(router, p);
    if (p.pid > 0 || !p.restart || ending_) continue;
    spawn(router);
    poll_until_ready(router, history_.lives.back().started);
  }
}

void RouterProcesses::reap_periodically() {
  reap();
  loop_.at(loop_.now() + kReapInterval, [this] { reap_periodically(); });
}

void RouterProcesses::sample_periodically() {
  for (std::size_t r = 0; r < processes_.size(); ++r) {
    const Process& p = processes_[r];
    if (p.pid <= 0 || history_.lives[p.life].ready == 0) continue;
    history_.router_samples.push_back(
        {static_cast<int>(r), loop_.now(), resident_bytes(p.pid), descriptors(p.pid)});
  }
  loop_.at(loop_.now() + kSampleInterval, [this] { sample_periodically(); });
}

void RouterProcesses::stop_all() {
  ending_ = true;
  auto for_each_running = [this](auto&& act) {
    for (Process& p : processes_)
      for (Process* one : {p.replaced.get(), &p})
        if (one && one->pid > 0) act(*one);
  };
  for_each_running([](Process& p) {
    p.exit_expected = true;
    ::kill(p.pid, SIGCONT);
    ::kill(p.pid, SIGTERM);
  });
  Micros limit = loop_.now() + kTerminationTimeout;
  auto running = [&] {
    reap();
    bool any = false;
    for_each_running([&](Process&) { any = true; });
    return any;
  };
  while (running()) {
    if (loop_.now() > limit) for_each_running([](Process& p) { p.kill_at = 1; });
    std::this_thread::sleep_for(std::chrono::microseconds(kReapInterval));
  }
}

std::string RouterProcesses::log(int router) const {
  return tail_of(processes_[static_cast<std::size_t>(router)].log.get(), kMaxLogBytes);
}

std::string RouterProcesses::whole_log(int router) const {
  return tail_of(processes_[static_cast<std::size_t>(router)].log.get(), kMaxSearchedBytes);
}

std::vector<std::string> RouterProcesses::violations() const {
  std::vector<std::string> found;
  for (std::size_t r = 0; r < processes_.size(); ++r) {
    std::istringstream text(tail_of(processes_[r].log.get(), kMaxSearchedBytes));
    for (std::string line; std::getline(text, line);)
      if (line.find(kInvariantMarker) != line.npos)
        found.push_back("r" + std::to_string(r + 1) + ": " + line);
  }
  return found;
}

}  // namespace violetusher::rehearse
