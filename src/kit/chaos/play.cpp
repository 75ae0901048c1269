#include "play.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>

#include "clients.hpp"
#include "daemon/ledger/client.hpp"
#include "faulty_disk.hpp"
#include "figures.hpp"
#include "kit/common/units.hpp"
#include "kit/rehearse/plan.hpp"
#include "kit/rehearse/rig.hpp"
#include "net/operator_file.hpp"
#include "net/peer_transport.hpp"
#include "relay.hpp"

namespace violetusher::chaos {
namespace {

namespace fs = std::filesystem;
using core::ledger::Json;

constexpr Micros kMs = 1000, kSecond = 1'000'000;
constexpr Micros kLook = 100 * kMs;  // between two looks at where each router stands
constexpr Micros kDead = 30 * kMs;   // after SIGKILL a folder is nobody's
constexpr Micros kQuiet = 4 * kSecond, kLastLook = 10 * kSecond;

/// A connection of a tool's to one router, for one question.
struct Question {
  Question(kit::Loop& loop, const std::string& address, const std::string& frame,
           std::function<void(const std::string&)> answered)
      : done(std::move(answered)) {
    sockaddr_in to = *net::parse_address(address);
    buffer = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(buffer, on_read, nullptr, nullptr, this);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
    std::string bytes = net::PeerTransport::encode_frame(frame);
    bufferevent_write(buffer, bytes.data(), bytes.size());
    bufferevent_socket_connect(buffer, reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
  ~Question() { bufferevent_free(buffer); }
  Question(const Question&) = delete;
  static void on_read(bufferevent* b, void* at) {
    auto* self = static_cast<Question*>(at);
    char bytes[16384];
    std::size_t got = 0;
    while ((got = bufferevent_read(b, bytes, sizeof bytes)) > 0) self->in.append(bytes, got);
    std::string frame;
    if (net::PeerTransport::decode_frame(self->in, frame) == 1) self->done(frame);
  }
  bufferevent* buffer;
  std::string in;
  std::function<void(const std::string&)> done;
};

/// Everything beside the day: on the loop of the routers' processes.
class Chaos final : Clients::Outside {
 public:
  Chaos(const Schedule& schedule, const PlayOptions& options, Result& result)
      : schedule_(schedule),
        options_(options),
        result_(result),
        random_(schedule.seed * 0x9e3779b97f4a7c15ull + 1),
        clients_(*this, schedule, result.history),
        disks_(static_cast<std::size_t>(schedule.routers), 0),
        seen_(disks_.size()),
        rolled_(disks_.size(), kOwn) {
    for (int r = 0; r < schedule.routers; ++r) {
      fs::create_directories(folder(r));
      std::ofstream(rolled(r)).flush();
      net::Fd shared(::open(control_file(r).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
      void* at = MAP_FAILED;
      if (shared && ::ftruncate(shared.get(), sizeof(DiskControl)) == 0)
        at = ::mmap(nullptr, sizeof(DiskControl), PROT_READ | PROT_WRITE, MAP_SHARED, shared.get(),
                    0);
      if (at == MAP_FAILED) throw std::runtime_error("no control of a router's disk");
      controls_.push_back(new (at) DiskControl());
      holders_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      int yes = 1;
      ::setsockopt(holders_.back().get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
      sockaddr_in address = *net::parse_address("127.0.0.1:0", true);
      socklen_t size = sizeof address;
      if (::bind(holders_.back().get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
          ::getsockname(holders_.back().get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("no port for a ledger");
      ports_.push_back("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    }
  }

  ~Chaos() override {
    for (DiskControl* c : controls_) ::munmap(c, sizeof *c);
  }
  /// The library that makes a router's disk fail, where it was built.
  std::vector<std::string> environment(int router) const {
    if (options_.faulty_disk.empty()) return {};
    return {"LD_PRELOAD=" + options_.faulty_disk,
            std::string(kFaultyDiskVariable) + "=" + control_file(router)};
  }

  /// Relays run on the routers' loop, which is there only once the day is set up.
  void wire(kit::Loop& loop) {
    loop_ = &loop;
    std::size_t n = disks_.size();
    states_.resize(n * n);
    for (std::size_t a = 0; a < n; ++a)
      for (std::size_t b = 0; b < n; ++b)
        relays_.push_back(a == b ? nullptr
                                 : std::make_unique<Relay>(loop, ports_[b], states_[a * n + b],
                                                           [this] { return random_(); }));
  }

  std::string operator_text(int router) const {
    auto n = static_cast<std::size_t>(schedule_.routers), self = static_cast<std::size_t>(router);
    std::string text =
        std::string("ledger ") + kFleet + " { folder = \"" + folder(router) + "\"; listen = \"" +
        ports_[self] + "\"; keep = " + (router + 1 < schedule_.routers ? "on" : "off") +
        "; keepers = " + std::to_string(schedule_.keepers) +
        "; followers = 4; replace_after = 4s; }\nrollout operator { file = \"" + rolled(router) +
        "\"; spread = 500ms; }\ninclude \"" + rolled(router) + "\";\n";
    for (std::size_t other = 0; other < n; ++other)
      text += "peer r" + std::to_string(other + 1) + " { address = \"" +
              (other == self ? ports_[self] : relays_[self * n + other]->address()) +
              "\"; hall = " + hall_of(static_cast<int>(other)) + "; }\n";
    return text;
  }

  void begin(rehearse::RouterProcesses& routers, Micros origin) {
    routers_ = &routers;
    origin_ = origin;
    tell(0, "found", Json::object(), [](const std::string&) {});
    after(1'000 * kMs, [this] { clients_.start(); });
    for (const Fault& f : schedule_.faults) {
      at(f.at, [this, &f] { start(f); });
      if (f.kind == Fault::Kind::kOldDisk || f.kind == Fault::Kind::kRolledBack)
        at(std::max<Micros>(f.at - static_cast<Micros>(f.figure) * kMs, 0),
           [this, &f] { copy(f); });
    }
    look();
    at(schedule_.length + kQuiet, [this] { clients_.stop(); });
    at(schedule_.length + kQuiet + 2 * kSecond, [this] { clients_.read_all(); });
  }

  /// After the day: what the last look has found.
  void end() {
    questions_.clear();
    for (const auto& r : relays_)
      if (r) carried_ += r->carried();
    relays_.clear();
    auto late = [&](const std::string& what) { result_.findings.push_back({"late", what}); };
    if (!clients_.all_read()) late("not every name was answered in the quiet at the end");
    std::string where;
    bool one = true;
    for (std::size_t r = 0; r < seen_.size(); ++r) {
      one &= seen_[r].position == seen_[0].position && seen_[r].epoch == seen_[0].epoch;
      where += " " + std::to_string(seen_[r].position);
    }
    if (!one) late("not all routers came to one state:" + where);
  }
  std::uint64_t carried() const { return carried_; }

 private:
  std::string folder(int router) const {
    return options_.folder + "/r" + std::to_string(router + 1);
  }

  std::string control_file(int router) const { return folder(router) + ".disk"; }
  /// What a router has besides: outside its folder, and gone with the same disk.
  std::string rolled(int router) const { return folder(router) + ".rolled.conf"; }
  void see_rolled(int router) {
    std::string text;
    if (!net::read_regular_file(rolled(router), text).empty()) return;
    if (text.empty()) text = kOwn;
    std::string& before = rolled_[static_cast<std::size_t>(router)];
    if (text == before) return;
    before = text;
    result_.history.takes.push_back({"r" + std::to_string(router + 1), now(), text});
  }

  // ---- Clients::Outside ----
  Micros now() override { return loop_->now() - origin_; }
  std::uint64_t random() override { return random_(); }
  void after(Micros wait, std::function<void()> task) override {
    loop_->at(loop_->now() + wait, std::move(task));
  }
  void at(Micros when, std::function<void()> task) { loop_->at(origin_ + when, std::move(task)); }
  void send(int client, int router, const std::string& kind, const Json& body) override {
    tell(router, kind, body,
         [this, client](const std::string& frame) { clients_.answered(client, frame); });
  }

  /// One question on a connection of its own, which goes after a while.
  void tell(int router, const std::string& kind, const Json& body,
            std::function<void(const std::string&)> answered) {
    auto question =
        std::make_shared<Question>(*loop_, ports_[static_cast<std::size_t>(router)],
                                   ledger::client_frame(kFleet, kind, body), std::move(answered));
    questions_.insert(question);
    after(Clients::kGivesUp + 300 * kMs, [this, question] { questions_.erase(question); });
  }

  void look() {
    for (int r = 0; r < schedule_.routers; ++r) {
      see_rolled(r);
      if (routers_->pid(r) == 0) continue;
      int disk = disks_[static_cast<std::size_t>(r)];
      tell(r, "status", Json::object(), [this, r, disk](const std::string& frame) {
        auto answer = ledger::read_answer(frame);
        // Asked on one disk and answered on another: of which one it speaks nobody knows.
        if (!answer || answer->kind != "status" || disk != disks_[static_cast<std::size_t>(r)])
          return;
        const Json& b = answer->body;
        Sight s{"r" + std::to_string(r + 1),
                now(),
                b.value("epoch", std::uint64_t{0}),
                b.value("at", std::uint64_t{0}),
                std::stoull(b.value("digest", std::string("0"))),
                disk};
        if (s.position == 0) return;
        seen_[static_cast<std::size_t>(r)] = s;
        result_.history.sights.push_back(s);
      });
    }
    after(kLook, [this] { look(); });
  }

  // ---- faults ----
  void links() {
    std::size_t n = disks_.size();
    for (std::size_t a = 0; a < n; ++a)
      for (std::size_t b = 0; b < n; ++b) {
        LinkFaults f = link_faults(active_, static_cast<int>(a), static_cast<int>(b));
        LinkState s;
        s.cut = f.cut;
        s.shuffle = f.shuffle;
        s.spoil = f.spoil;
        s.delay = f.delay;
        s.reset = f.reset;
        s.rate = f.rate;
        states_[a * n + b] = s;
      }
  }

  void start(const Fault& f) {
    using Kind = Fault::Kind;
    bool process = f.kind == Kind::kStop || f.kind == Kind::kFreeze || kills(f.kind);
    bool disk =
        f.kind == Kind::kSlowDisk || f.kind == Kind::kReadError || f.kind == Kind::kPowerLoss;
    if (disk && options_.faulty_disk.empty()) return;
    if (f.kind == Kind::kClock) return;  // no clock of a real process's is ours
    if (process && (routers_->pid(f.a) == 0 || busy(f.a))) return;
    if (loses_disk(f.kind) && !may_lose(f)) return;
    result_.played.push_back(f);
    rehearse::RouterFault fault;
    fault.at = f.at;
    fault.until = std::max(f.until, f.at + 2 * kDead);
    fault.routers = {f.a};
    if (f.kind == Kind::kStop) {
      fault.kind = rehearse::RouterFaultKind::kRestart;
    } else if (f.kind == Kind::kFreeze) {
      fault.kind = rehearse::RouterFaultKind::kFreeze;
    } else {
      fault.kind = rehearse::RouterFaultKind::kKill;
    }
    if (process) routers_->act(fault);
    if (loses_disk(f.kind)) {
      lost_at_ = f.until;
      after(kDead, [this, &f] { take_disk(f); });
    }
    DiskControl& control = *controls_[static_cast<std::size_t>(f.a)];
    if (f.kind == Kind::kFullDisk) fill(f.a, 0);
    if (f.kind == Kind::kSlowDisk) control.sync_delay_ms = static_cast<std::uint32_t>(f.figure);
    if (f.kind == Kind::kReadError) control.fail_reads = 1;
    // Any of what was not synced may be there all the same, from the first write on.
    if (f.kind == Kind::kPowerLoss)
      after(kDead, [this, &f] { undo_unsynced(folder(f.a), random_() % 3 ? 0 : random_() % 8); });
    active_.push_back(&f);
    links();
    at(fault.until, [this, &f] {
      active_.erase(std::find(active_.begin(), active_.end(), &f));
      if (f.kind == Kind::kFullDisk) fill(f.a, RLIM_INFINITY);
      DiskControl& control = *controls_[static_cast<std::size_t>(f.a)];
      if (f.kind == Kind::kSlowDisk) control.sync_delay_ms = 0;
      if (f.kind == Kind::kReadError)
        after(static_cast<Micros>(f.figure) * kMs, [&control] { control.fail_reads = 0; });
      links();
    });
  }

  bool busy(int router) const {
    return std::any_of(active_.begin(), active_.end(), [&](const Fault* f) {
      return f->a == router &&
             (f->kind == Fault::Kind::kStop || f->kind == Fault::Kind::kFreeze || kills(f->kind));
    });
  }

  /// Disks go one after the other, with time for the group to make itself whole again in between;
  /// nobody here can see whether it has, so the time is the one that is promised to operators.
  bool may_lose(const Fault& f) const {
    constexpr Micros kMended = 8 * kSecond;
    bool cut = std::any_of(active_.begin(), active_.end(), [](const Fault* o) {
      return o->kind != Fault::Kind::kSlow && o->kind != Fault::Kind::kShuffle;
    });
    if (f.kind == Fault::Kind::kSpoilDisk || f.kind == Fault::Kind::kLoseDisk || copied(f))
      return !cut && f.at > 3 * kSecond && (lost_at_ == 0 || f.at > lost_at_ + kMended);
    return false;
  }
  bool copied(const Fault& f) const { return fs::exists(copy_folder(f)); }
  std::string copy_folder(const Fault& f) const {
    return folder(f.a) + ".copy" + std::to_string(f.at / kMs);
  }

  void copy(const Fault& f) {
    // Of files in use: what a careless backup takes.
    std::error_code error;
    if (fs::exists(folder(f.a) + "/ledger.db"))
      fs::copy(folder(f.a), copy_folder(f), fs::copy_options::recursive, error);
  }

  void take_disk(const Fault& f) {
    using Kind = Fault::Kind;
    std::error_code error;
    ++disks_[static_cast<std::size_t>(f.a)];
    seen_[static_cast<std::size_t>(f.a)] = Sight();
    if (f.kind == Kind::kLoseDisk) {
      fs::remove_all(folder(f.a), error);
      for (const char* more : {".own", ".next", ".before"}) fs::remove(rolled(f.a) + more, error);
      std::ofstream(rolled(f.a), std::ios::trunc).flush();
    }
    if (f.kind == Kind::kOldDisk) {
      fs::remove_all(folder(f.a), error);
      fs::rename(copy_folder(f), folder(f.a), error);
    }
    if (f.kind == Kind::kRolledBack) {
      // The same files, with what was in them: nothing of the file system tells.
      for (const char* name : {"/ledger.db", "/ledger.db-wal"}) {
        std::ifstream in(copy_folder(f) + name, std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(in)), {});
        std::ofstream(folder(f.a) + name, std::ios::binary | std::ios::trunc) << bytes;
      }
      fs::remove(folder(f.a) + "/ledger.db-shm", error);
    }
    if (f.kind == Kind::kSpoilDisk) {
      std::fstream file(folder(f.a) + "/ledger.db",
                        std::ios::binary | std::ios::in | std::ios::out);
      file.seekg(0, std::ios::end);
      auto size = static_cast<std::uint64_t>(std::max<std::streamoff>(file.tellg(), 1));
      auto where = static_cast<std::streamoff>(random_() % size);
      char byte = 0;
      file.seekg(where);
      file.get(byte);
      file.seekp(where);
      file.put(static_cast<char>(byte ^ (1 << random_() % 8)));
    }
  }

  /// No file of this process grows any more: all that it writes to its disk fails.
  void fill(int router, rlim_t most) {
    rlimit limit{most, RLIM_INFINITY};
    if (int pid = routers_->pid(router)) ::prlimit(pid, RLIMIT_FSIZE, &limit, nullptr);
  }

  const Schedule& schedule_;
  const PlayOptions& options_;
  Result& result_;
  std::mt19937_64 random_;
  Clients clients_;
  std::vector<DiskControl*> controls_;
  std::vector<net::Fd> holders_;
  std::vector<std::string> ports_;
  std::deque<LinkState> states_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<int> disks_;
  std::vector<Sight> seen_;
  std::vector<std::string> rolled_;
  std::set<std::shared_ptr<Question>> questions_;
  std::vector<const Fault*> active_;
  kit::Loop* loop_ = nullptr;
  rehearse::RouterProcesses* routers_ = nullptr;
  Micros origin_ = 0, lost_at_ = 0;
  std::uint64_t carried_ = 0;
};

/// Puts what the ledger's side has to say into the day's verdict and page.
void tell(PlayResult& out) {
  rehearse::Day& day = out.played_day;
  const Result& r = out.ledger;
  for (const Finding& f : r.findings) {
    if (++out.day.broken["ledger-" + f.rule] <= rehearse::kMostFindings)
      out.day.findings.push_back({"ledger-" + f.rule, "", 0, f.what});
  }
  day.events.erase(std::remove_if(day.events.begin(), day.events.end(),
                                  [](const auto& e) { return e.what.rfind("ledger-", 0) == 0; }),
                   day.events.end());
  for (const Fault& f : r.played)
    day.events.push_back(
        {f.at, f.until, "ledger-" + std::string(name_of(f.kind)) + " r" + std::to_string(f.a + 1)});
  for (const Operation& op : r.history.operations)
    if (op.roll && op.kind == Operation::Kind::kPut && op.end == Operation::End::kDone)
      day.events.push_back(
          {op.answered, op.answered,
           "roll-out at " + std::to_string(op.roll->share) + " %: " + op.roll->next});
  std::sort(day.events.begin(), day.events.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  double all = static_cast<double>(r.done + r.unknown);
  double answered = all > 0 ? static_cast<double>(r.done) / all : 0;
  Micros p99 = quantile(r.waits, 0.99);
  const auto& x = day.expect;
  char share[16];
  std::snprintf(share, sizeof share, "%.4f", answered);
  if (x.ledger_answered >= 0)
    out.day.checks.push_back({"ledger calls answered", std::to_string(x.ledger_answered), share,
                              answered >= x.ledger_answered});
  if (x.ledger_p99 >= 0)
    out.day.checks.push_back({"ledger call p99", "at most " + kit::duration_text(x.ledger_p99),
                              kit::duration_text(p99), p99 <= x.ledger_p99});
}

}  // namespace

Schedule schedule_of(const rehearse::Day& day) {
  Schedule s;
  s.seed = day.seed;
  s.length = day.length;
  s.routers = static_cast<int>(day.routers.halls.size());
  s.keepers = day.ledger.keepers;
  s.clients = day.ledger.clients;
  s.names = day.ledger.names;
  s.followers = day.ledger.followers;
  s.operators = day.ledger.operators;
  for (const auto& e : day.ledger.events)
    s.faults.push_back(
        {*kind_named(e.what), e.at, e.until, e.router, e.to,
         e.kib_per_s > 0 ? e.kib_per_s : static_cast<double>(e.by) / static_cast<double>(kMs)});
  std::stable_sort(s.faults.begin(), s.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return s;
}

PlayResult play(const rehearse::Day& given, const Schedule& schedule, const PlayOptions& options) {
  PlayResult out;
  std::error_code error;
  fs::remove_all(options.folder, error);
  rehearse::Day& day = out.played_day = given;
  day.length = schedule.length + kQuiet + kLastLook;
  day.routers.halls.clear();
  for (int r = 0; r < schedule.routers; ++r)
    day.routers.halls.push_back(r % static_cast<int>(day.fleet.halls.size()));
  out.plan = rehearse::make_plan(day, schedule.seed);
  Chaos chaos(schedule, options, out.ledger);
  rehearse::RigOptions rig;
  rig.router = options.router;
  rig.progress = options.progress;
  if (options.ledger) {
    rig.before = [&](kit::Loop& loop) { chaos.wire(loop); };
    rig.environment = [&](int router) { return chaos.environment(router); };
    rig.operator_more = [&](int router) { return chaos.operator_text(router); };
    rig.beside = [&](kit::Loop&, rehearse::RouterProcesses& routers, Micros origin) {
      chaos.begin(routers, origin);
    };
    rig.after = [&] { chaos.end(); };
  }
  out.played = rehearse::play(day, out.plan, rig);
  out.day = rehearse::judge(day, out.plan, out.played.history);
  out.inconclusive = out.played.rig.trouble;
  if (!out.played.not_started.empty()) out.inconclusive = out.played.not_started;
  out.logs = out.played.router_logs;
  for (const auto& s : out.played.history.router_samples) {
    out.memory = std::max(out.memory, s.memory);
    out.descriptors = std::max(out.descriptors, s.descriptors);
  }
  if (!options.ledger) return out;
  count(out.ledger);
  for (Finding& f : check_order(out.ledger.history, out.ledger.judged))
    out.ledger.findings.push_back(std::move(f));
  for (Finding& f : check_sights(out.ledger.history)) out.ledger.findings.push_back(std::move(f));
  for (Finding& f :
       check_rollouts(out.ledger.history, static_cast<std::size_t>(schedule.routers), true))
    out.ledger.findings.push_back(std::move(f));
  out.carried = chaos.carried();
  tell(out);
  return out;
}

}  // namespace violetusher::chaos
