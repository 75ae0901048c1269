#include "world.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "clients.hpp"
#include "daemon/ledger/client.hpp"
#include "daemon/ledger/node.hpp"
#include "figures.hpp"
#include "kit/common/random.hpp"

namespace violetusher::chaos {
namespace {

using core::ledger::Json;
using ledger::Image;
using ledger::Node;
using ledger::Op;

constexpr Micros kMs = 1000;
constexpr Micros kOrigin = 1'000'000 * kMs;  // no time is 0 to a router
constexpr Micros kTick = 20 * kMs, kKeepImage = 200 * kMs;
constexpr Micros kWindow = 100 * kMs;
constexpr Micros kSettle = 25'000 * kMs, kQuiet = 5'000 * kMs;
constexpr std::size_t kImages = 64, kMostQueued = 512;

/// A disk whose faults are the schedule's.
class Disk final : public ledger::Storage {
 public:
  explicit Disk(std::size_t& commits) : commits_(commits) {}
  ledger::LoadResult load(Image& image, std::string& error) override {
    if (unreadable_ || spoilt_) {
      error = unreadable_ ? "input/output error" : "a bit is turned";
      return unreadable_ ? ledger::LoadResult::kUnreadable : ledger::LoadResult::kCorrupt;
    }
    image = image_;
    error = ledger::image_error(image_);
    return error.empty() ? ledger::LoadResult::kOk : ledger::LoadResult::kCorrupt;
  }
  std::int64_t last_commit_us() const override { return slow_; }
  bool commit(const std::vector<Op>& ops) override {
    ++commits_;
    if (full_) {
      // Now and then it says no and has done it all the same.
      if (++refused_ % 5 == 0) ledger::apply_ops(image_, ops);
      return false;
    }
    ledger::apply_ops(image_, ops);
    return true;
  }
  std::string fingerprint() override { return "made " + std::to_string(made_); }
  bool quarantine() override {
    if (full_) return false;
    lose();
    return true;
  }

  void lose() {
    image_ = Image();
    spoilt_ = false;
    ++made_;
    ++losses_;
    images_.clear();
  }
  void keep(Micros now) {
    images_.emplace_back(now, image_);
    if (images_.size() > kImages) images_.pop_front();
  }
  /// As it was at `when`. `copy`: by hand, so that the files are other ones.
  bool put_back(Micros when, bool copy) {
    for (auto it = images_.rbegin(); it != images_.rend(); ++it) {
      if (it->first > when || it->second.meta.identity == 0) continue;
      image_ = it->second;
      made_ += copy;
      ++losses_;
      images_.clear();
      return true;
    }
    return false;
  }
  void spoil() { spoilt_ = true; }
  void fill(bool full) { full_ = full; }
  void unreadable(bool now) { unreadable_ = now; }
  /// Commits are said to take so long. They hold up nothing here; real disks do (chaos play).
  void slow(Micros commit) { slow_ = commit; }
  bool full() const { return full_; }
  int losses() const { return losses_; }
  /// The file that is rolled out; nothing: the router's own text.
  core::ledger::Text& file() { return file_; }
  std::uint64_t identity() const { return image_.meta.identity; }

 private:
  std::size_t& commits_;
  Image image_;
  core::ledger::Text file_;
  std::deque<std::pair<Micros, Image>> images_;
  bool full_ = false, spoilt_ = false, unreadable_ = false;
  Micros slow_ = 0;
  int made_ = 1, losses_ = 0, refused_ = 0;
};

class World final : Clients::Outside {
 public:
  explicit World(const Schedule& schedule)
      : schedule_(schedule),
        random_(schedule.seed * 0x9e3779b97f4a7c15ull + 1),
        clients_(*this, schedule, result_.history) {
    for (int i = 0; i < schedule.routers; ++i)
      machines_.push_back(std::make_unique<Machine>(*this, i));
  }

  Result run() {
    for (auto& m : machines_) start(*m);
    at(kOrigin + 100 * kMs, [this] { to(*machines_[0], "found", Json::object(), 0); });
    at(kOrigin + 800 * kMs, [this] { clients_.start(); });
    for (const Fault& f : schedule_.faults) at(kOrigin + f.at, [this, &f] { begin(f); });
    keep_images();
    run_until(kOrigin + schedule_.length);
    last_look();
    result_.findings = check_order(result_.history, result_.judged);
    for (Finding& f : check_sights(result_.history)) result_.findings.push_back(std::move(f));
    for (Finding& f : check_rollouts(result_.history, machines_.size(), settled_))
      result_.findings.push_back(std::move(f));
    if (!trouble_.empty()) result_.findings.push_back({"late", trouble_});
    count(result_);
    return std::move(result_);
  }

 private:
  struct Machine final : Node::Environment {
    Machine(World& w, int n) : world(w), number(n), disk(w.result_.commits) {
      name = "r" + std::to_string(n + 1);
    }
    Micros now() override { return world.now_ + ahead; }
    std::uint64_t random() override { return world.random_(); }
    void send(const std::string& to, std::string frame) override {
      world.carry(number, std::stoi(to.substr(1)) - 1, std::move(frame));
    }
    void reply(std::uint64_t link, std::string frame) override {
      world.at(world.now_ + kMs, [this, link, frame = std::move(frame)] {
        world.clients_.answered(static_cast<int>(link) - 1, frame);
      });
    }
    void on_view(const ledger::View& view) override {
      const auto& p = view.position();
      world.saw(*this, p);
      world.wants(*this, view);
    }
    void log_event(const std::string& event, const std::string&) override {
      world.trace(name + event);
    }
    World& world;
    int number;
    std::string name;
    Disk disk;
    core::ledger::Adopter adopter;
    std::unique_ptr<Node> node;
    std::uint64_t life = 0;
    std::size_t sent = 0, sent_in_window = 0, bytes = 0;  // frames
    Micros window = 0;
    std::optional<Fault::Kind> lost;  // its disk's promises, and not made good yet
    Micros ahead = 0;                 // of its clock
    int down = 0;                     // reasons for which it is not to run
    bool frozen = false;
    std::deque<std::function<void()>> queued;  // while frozen
  };

  // ---- time ----
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> task;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void at(Micros when, std::function<void()> task) {
    events_.push({std::max(when, now_), ++order_, std::move(task)});
  }
  void run_until(Micros end) {
    while (!events_.empty() && events_.top().at <= end) {
      auto task = events_.top().task;
      now_ = events_.top().at;
      events_.pop();
      task();
    }
    now_ = end;
  }
  void trace(std::string_view what) {
    result_.trace = kit::hash_of(what, result_.trace ^ static_cast<std::uint64_t>(now_));
  }

  // ---- Clients::Outside ----
  Micros now() override { return now_ - kOrigin; }
  std::uint64_t random() override { return random_(); }
  void after(Micros wait, std::function<void()> task) override { at(now_ + wait, std::move(task)); }
  void send(int client, int router, const std::string& kind, const Json& body) override {
    to(*machines_[static_cast<std::size_t>(router)], kind, body,
       static_cast<std::uint64_t>(client) + 1);
  }

  // ---- machines ----
  void start(Machine& m) {
    if (m.down || m.node) return;
    ledger::NodeSettings s;
    s.fleet = kFleet;
    s.name = m.name;
    s.zone = hall_of(m.number);
    for (auto& other : machines_)
      if (other.get() != &m) s.peers[other->name] = hall_of(other->number);
    s.may_vote = m.number < schedule_.routers - 1;  // the last one only ever follows
    s.voters = static_cast<std::size_t>(schedule_.keepers);
    s.replace_after = 4'000 * kMs;
    if (m.number >= schedule_.routers - schedule_.newer) s.version = ledger::kFrameVersion + 1;
    s.timing.snapshot_entries = 48;
    s.timing.snapshot_trailing = 16;
    s.followers = static_cast<std::size_t>(schedule_.followers);
    ++m.life;
    m.adopter = {};
    m.adopter.set_current(core::ledger::label(m.disk.file()));
    m.node = std::make_unique<Node>(m.disk, s, m);
    tick(m, m.life);
  }
  void end(Machine& m) {
    m.node.reset();
    m.queued.clear();
    m.frozen = false;
    ++m.life;
  }
  void tick(Machine& m, std::uint64_t life) {
    at(now_ + kTick + static_cast<Micros>(random_() % 2000), [this, &m, life] {
      if (m.life != life) return;
      if (!m.frozen) {
        m.node->tick();
        if (auto job = m.node->recent() ? m.adopter.next(now_) : std::nullopt) adopt(m, *job);
      }
      tick(m, life);
    });
  }
  void keep_images() {
    for (auto& m : machines_) {
      if (!m->node) continue;
      m->disk.keep(now_);
      if (m->node->voter() && m->node->voter()->is_leader()) result_.led[m->name] += kKeepImage;
    }
    at(now_ + kKeepImage, [this] { keep_images(); });
  }
  void saw(Machine& m, const core::ledger::Position& p) {
    result_.history.sights.push_back(
        {m.name, now_ - kOrigin, p.epoch, p.at, p.digest, m.disk.losses()});
    trace(m.name + std::to_string(p.at) + std::to_string(p.digest));
  }

  // ---- roll-outs ----
  void wants(Machine& m, const ledger::View& view) {
    auto value = view.state().values().find(Clients::kRolled);
    if (value == view.state().values().end()) return;
    auto plan = core::ledger::Plan::parse(value->second.text);
    if (!plan) return;
    std::vector<std::string> names;
    for (const auto& other : machines_) names.push_back(other->name);
    m.adopter.set_target(value->second.version, core::ledger::target_text(*plan, m.name, names),
                         now_ + static_cast<Micros>(random_() % (500 * kMs)));
  }
  void took(Machine& m) {
    result_.history.takes.push_back(
        {m.name, now_ - kOrigin, m.disk.file() ? *m.disk.file() : std::string(kOwn)});
  }
  /// Writing takes a while, and so does taking over; whoever is killed between the two comes back
  /// with the new text and has told nobody.
  void adopt(Machine& m, const core::ledger::Adopter::Job& job) {
    using End = core::ledger::Adopter::End;
    auto later = [this, &m, life = m.life](Micros wait, std::function<void()> task) {
      at(now_ + wait, [this, &m, life, task = std::move(task)] {
        if (m.life == life) arrive(m, task);
      });
    };
    Micros most = (random_() % 4 == 0 ? 900 : 80) * kMs;  // a disk is slow now and then
    later(5 * kMs + static_cast<Micros>(random_() % static_cast<std::uint64_t>(most)),
          [this, &m, later, job] {
            End how = job.text && job.text->rfind(kBad, 0) == 0 ? End::kRefused
                      : m.disk.full()                           ? End::kFailed
                                                                : End::kAdopted;
            if (how == End::kAdopted) {
              m.disk.file() = job.text;
              took(m);
            }
            later(static_cast<Micros>(random_() % (20 * kMs)),
                  [this, &m, how] { m.adopter.finish(how, "", now_, random_()); });
          });
  }
  bool all_adopted() const {
    return std::all_of(machines_.begin(), machines_.end(), [](const auto& m) {
      return m->adopter.at_target() || m->adopter.report().contains("refused");
    });
  }

  // ---- links ----
  void carry(int from, int to, std::string frame) {
    ++result_.frames;
    result_.bytes += frame.size();
    Machine& sender = *machines_[static_cast<std::size_t>(from)];
    result_.busiest = std::max(result_.busiest, ++sender.sent);
    result_.busiest_bytes = std::max(result_.busiest_bytes, sender.bytes += frame.size());
    if (Micros window = now_ / kWindow; window != sender.window) {
      sender.window = window;
      sender.sent_in_window = 0;
    }
    result_.peak = std::max(result_.peak, ++sender.sent_in_window);
    if (to < 0 || to >= schedule_.routers) return;
    LinkFaults faults = link_faults(active_, from, to);
    if (faults.cut || faults.reset) return;
    Micros wait = 300 + static_cast<Micros>(random_() % 1500) + faults.delay;
    if (faults.spoil && random_() % 3 == 0) return;  // its digest tells
    Micros& last = links_[{from, to}];
    Micros when = now_ + wait;
    if (!faults.shuffle) when = std::max(when, last);
    if (faults.rate > 0)
      when += static_cast<Micros>(static_cast<double>(frame.size()) * 1e6 / faults.rate);
    if (!faults.shuffle) last = when;
    auto deliver = [this, from, to, frame] {
      Machine& m = *machines_[static_cast<std::size_t>(to)];
      LinkFaults now = link_faults(active_, from, to);
      if (now.cut || now.reset) return;
      arrive(m, [this, &m, frame] {
        if (m.node) m.node->on_frame(frame, 0);
      });
    };
    at(when, deliver);
    if (faults.shuffle) at(now_ + static_cast<Micros>(random_() % (400 * kMs)), deliver);
  }
  void arrive(Machine& m, std::function<void()> task) {
    if (!m.node) return;
    if (!m.frozen) return task();
    if (m.queued.size() < kMostQueued) m.queued.push_back(std::move(task));
  }
  void to(Machine& m, const std::string& kind, const Json& body, std::uint64_t link) {
    std::string frame = ledger::client_frame(kFleet, kind, body);
    arrive(m, [&m, frame, link] {
      if (m.node) m.node->on_frame(frame, link ? link : 1'000'000);
    });
  }

  // ---- faults ----
  /// Whether the promise allows one more disk to go: of those that went before, each is a keeper
  /// again that has caught up, or the group has another in its place. A minority may go at once
  /// where the disks tell that they are gone; of those that don't, one. Whoever is only cut off,
  /// frozen or down counts as there.
  bool may_lose(Fault::Kind kind) {
    const ledger::Voter* leads = nullptr;
    for (const auto& m : machines_) {
      const ledger::Voter* k = m->node ? m->node->voter() : nullptr;
      if (k && k->is_leader() && (!leads || leads->log_position().term < k->log_position().term))
        leads = k;
    }
    if (!leads) return false;
    std::set<std::uint64_t> voters = leads->voters().identities;
    if (voters.size() != static_cast<std::size_t>(schedule_.keepers) || leads->changing())
      return false;
    for (const auto& m : machines_) voters.erase(m->disk.identity());
    for (auto& m : machines_) {
      if (!m->lost) continue;
      const ledger::Voter* k = m->node ? m->node->voter() : nullptr;
      bool in = leads->voters().identities.count(m->disk.identity()) > 0;
      bool back = in ? k && k->stage() == ledger::Voter::Stage::kRunning &&
                           k->log_position().last_index + 2 >= leads->log_position().last_index
                     : m->node != nullptr;
      if (back && voters.empty()) m->lost.reset();
    }
    int lost = 0;
    bool silent = kind == Fault::Kind::kRolledBack;
    for (const auto& m : machines_)
      if (m->lost) ++lost, silent |= *m->lost == Fault::Kind::kRolledBack;
    if (lost > 0 && silent) return false;
    return lost < (schedule_.keepers - 1) / 2;
  }

  void begin(const Fault& f) {
    Machine& m = *machines_[static_cast<std::size_t>(f.a)];
    using Kind = Fault::Kind;
    if (loses_disk(f.kind) && (!m.node || !may_lose(f.kind))) return;
    if (f.kind == Kind::kFullDisk) m.disk.fill(true);
    switch (f.kind) {
      case Kind::kKill:
      case Kind::kStop:
      case Kind::kLoseDisk:
      case Kind::kOldDisk:
      case Kind::kRolledBack:
      case Kind::kSpoilDisk:
      case Kind::kReadError:
      case Kind::kPowerLoss:  // a commit here is synced
        if (!m.node) return;
        if (f.kind == Kind::kStop) m.node->transfer_leadership();
        if (f.kind == Kind::kOldDisk || f.kind == Kind::kRolledBack) {
          bool copy = f.kind == Kind::kOldDisk;
          if (!m.disk.put_back(now_ - static_cast<Micros>(f.figure) * kMs, copy)) return;
        }
        end(m);
        ++m.down;
        if (f.kind == Kind::kLoseDisk) {
          m.disk.lose();
          m.disk.file().reset();
          took(m);
        }
        if (f.kind == Kind::kSpoilDisk) m.disk.spoil();
        if (loses_disk(f.kind)) m.lost = f.kind;
        if (f.kind == Kind::kReadError) m.disk.unreadable(true);
        break;
      case Kind::kFreeze:
        if (!m.node || m.frozen) return;
        m.frozen = true;
        break;
      case Kind::kSlowDisk:
        m.disk.slow(static_cast<Micros>(f.figure) * kMs);
        break;
      case Kind::kClock:
        m.ahead += static_cast<Micros>(f.figure) * kMs;
        break;
      default:
        break;
    }
    result_.played.push_back(f);
    trace(name_of(f.kind));
    active_.push_back(&f);
    at(kOrigin + f.until, [this, &f, life = m.life] { finish(f, life); });
  }

  void finish(const Fault& f, std::uint64_t life) {
    Machine& m = *machines_[static_cast<std::size_t>(f.a)];
    active_.erase(std::find(active_.begin(), active_.end(), &f));
    using Kind = Fault::Kind;
    switch (f.kind) {
      case Kind::kFreeze: {
        if (m.life != life || !m.frozen) return;
        m.frozen = false;
        auto queued = std::move(m.queued);
        m.queued.clear();
        // What waited comes before the first tick.
        for (auto& task : queued) task();
        return;
      }
      case Kind::kFullDisk:
        if (std::none_of(active_.begin(), active_.end(),
                         [&](const Fault* o) { return o->kind == f.kind && o->a == f.a; }))
          m.disk.fill(false);
        return;
      case Kind::kCut:
      case Kind::kIsolate:
      case Kind::kSplit:
      case Kind::kSlow:
      case Kind::kShuffle:
      case Kind::kSpoil:
      case Kind::kReset:
      case Kind::kRate:
      case Kind::kClock:
        return;
      case Kind::kSlowDisk:
        m.disk.slow(0);
        return;
      case Kind::kReadError:
        at(now_ + static_cast<Micros>(f.figure) * kMs, [&m] { m.disk.unreadable(false); });
        [[fallthrough]];
      default:
        --m.down;
        start(m);
    }
  }

  // ---- the last look ----
  /// All faults are over: the ledger must be there for everybody, and everybody come to one state.
  void last_look() {
    run_until(now_ + kQuiet);
    clients_.stop();
    run_until(now_ + 4 * Clients::kGivesUp);
    Micros limit = now_ + kSettle;
    clients_.read_all();
    while (!clients_.all_read() && now_ < limit) run_until(now_ + 10 * kMs);
    if (!clients_.all_read()) {
      trouble_ = "the ledger answered nobody within " + std::to_string(kSettle / 1'000'000) +
                 " s of quiet: " + standing();
      return;
    }
    limit = now_ + kSettle;
    while (now_ < limit && !(at_one() && all_adopted())) run_until(now_ + 100 * kMs);
    settled_ = at_one() && all_adopted();
    if (!at_one()) trouble_ = "not all routers came to one state: " + standing();
    if (at_one() && !settled_) trouble_ = "not all routers took the text that was rolled out";
  }
  std::string standing() const {
    std::string text;
    for (auto& m : machines_)
      text += (m->node ? m->node->status().dump() : m->name + " down") + "; ";
    return text;
  }
  bool at_one() const {
    for (const auto& m : machines_)
      if (!m->node || !(m->node->view().position() == machines_[0]->node->view().position()))
        return false;
    return true;
  }

  const Schedule& schedule_;
  std::mt19937_64 random_;
  Result result_;
  Micros now_ = kOrigin;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
  std::vector<std::unique_ptr<Machine>> machines_;
  Clients clients_;
  std::map<std::pair<int, int>, Micros> links_;
  std::vector<const Fault*> active_;
  std::string trouble_;
  bool settled_ = false;
};

}  // namespace

Result simulate(const Schedule& schedule) { return World(schedule).run(); }

Schedule shrink(const Schedule& schedule, std::size_t tries) {
  Schedule least = schedule;
  auto fails = [&](const Schedule& s) { return tries-- > 0 && !simulate(s).findings.empty(); };
  // Halves first, then ever smaller pieces.
  for (std::size_t piece = std::max<std::size_t>(least.faults.size() / 2, 1); piece > 0;) {
    bool less = false;
    for (std::size_t from = 0; from < least.faults.size() && tries > 0;) {
      Schedule without = least;
      auto begin = without.faults.begin() + static_cast<long>(from);
      without.faults.erase(
          begin, begin + static_cast<long>(std::min(piece, without.faults.size() - from)));
      if (fails(without)) {
        least = std::move(without);
        less = true;
      } else {
        from += piece;
      }
    }
    if (!less || tries == 0) piece = piece == 1 ? 0 : piece / 2;
    if (tries == 0) break;
  }
  return least;
}

}  // namespace violetusher::chaos
