#include "world.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "daemon/ledger/client.hpp"
#include "daemon/ledger/node.hpp"
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
constexpr Micros kGivesUp = 1200 * kMs;  // a client, of one try
constexpr Micros kSettle = 25'000 * kMs, kQuiet = 5'000 * kMs;
constexpr std::size_t kImages = 64, kMostQueued = 512;
constexpr char kFleet[] = "chaos";

/// A disk whose faults are the schedule's.
class Disk final : public ledger::Storage {
 public:
  explicit Disk(std::size_t& commits) : commits_(commits) {}
  bool load(Image& image, std::string& error) override {
    if (spoilt_) {
      error = "a bit is turned";
      return false;
    }
    image = image_;
    error = ledger::flaw_of(image_);
    return error.empty();
  }
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
  bool set_aside() override {
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
  int losses() const { return losses_; }
  std::uint64_t identity() const { return image_.meta.identity; }

 private:
  std::size_t& commits_;
  Image image_;
  std::deque<std::pair<Micros, Image>> images_;
  bool full_ = false, spoilt_ = false;
  int made_ = 1, losses_ = 0, refused_ = 0;
};

class World {
 public:
  explicit World(const Schedule& schedule)
      : schedule_(schedule), random_(schedule.seed * 0x9e3779b97f4a7c15ull + 1) {
    for (int i = 0; i < schedule.routers; ++i)
      machines_.push_back(std::make_unique<Machine>(*this, i));
  }

  Result run() {
    for (auto& m : machines_) start(*m);
    at(kOrigin + 100 * kMs, [this] { to(*machines_[0], "found", Json::object(), 0); });
    for (int c = 0; c < schedule_.clients; ++c) {
      clients_.push_back({});
      clients_.back().caller = random_() | 1;
      at(kOrigin + 800 * kMs + c * 13 * kMs, [this, c] { ask(c); });
    }
    for (const Fault& f : schedule_.faults) at(kOrigin + f.at, [this, &f] { begin(f); });
    keep_images();
    run_until(kOrigin + schedule_.length);
    last_look();
    result_.findings = check_order(result_.history, result_.judged);
    for (Finding& f : check_sights(result_.history)) result_.findings.push_back(std::move(f));
    if (!trouble_.empty()) result_.findings.push_back({"late", trouble_});
    for (const Operation& op : result_.history.operations)
      (op.end == Operation::End::kUnknown ? result_.unknown : result_.done) += 1;
    return std::move(result_);
  }

 private:
  struct Machine final : Node::Outside {
    Machine(World& w, int n) : world(w), number(n), disk(w.result_.commits) {
      name = "r" + std::to_string(n + 1);
    }
    Micros now() override { return world.now_; }
    std::uint64_t random() override { return world.random_(); }
    void send(const std::string& to, std::string frame) override {
      world.carry(number, std::stoi(to.substr(1)) - 1, std::move(frame));
    }
    void reply(std::uint64_t link, std::string frame) override {
      world.at(world.now_ + kMs, [this, link, frame = std::move(frame)] {
        world.answered(static_cast<int>(link) - 1, frame);
      });
    }
    void on_view(const ledger::View& view) override {
      const auto& p = view.position();
      world.saw(*this, p);
    }
    void note(const std::string& event, const std::string&) override { world.trace(name + event); }
    World& world;
    int number;
    std::string name;
    Disk disk;
    std::unique_ptr<Node> node;
    std::uint64_t life = 0;
    std::optional<Fault::Kind> lost;  // its disk's promises, and not made good yet
    int down = 0;                     // reasons for which it is not to run
    bool frozen = false;
    std::deque<std::function<void()>> queued;  // while frozen
  };

  struct Client {
    std::uint64_t caller = 0, number = 0, known = 0, waiting = 0;
    int tries = 0, writes = 0;
    Operation op;
    core::ledger::Call call;
    std::map<std::string, std::uint64_t> versions;  // as last heard
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

  // ---- machines ----
  void start(Machine& m) {
    if (m.down || m.node) return;
    ledger::NodeSettings s;
    s.fleet = kFleet;
    s.name = m.name;
    s.hall = hall(m.number);
    for (auto& other : machines_)
      if (other.get() != &m) s.peers[other->name] = hall(other->number);
    s.keep = m.number < schedule_.routers - 1;  // the last one only ever follows
    s.keepers = static_cast<std::size_t>(schedule_.keepers);
    s.replace_after = 4'000 * kMs;
    s.pace.snapshot_entries = 48;
    s.pace.snapshot_trailing = 16;
    s.followers = 4;
    ++m.life;
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
      if (!m.frozen) m.node->tick();
      tick(m, life);
    });
  }
  static std::string hall(int number) {
    constexpr const char* kHalls[] = {"bole", "kality", "piassa"};
    return kHalls[number % 3];
  }
  void keep_images() {
    for (auto& m : machines_)
      if (m->node) m->disk.keep(now_);
    at(now_ + kKeepImage, [this] { keep_images(); });
  }
  void saw(Machine& m, const core::ledger::Position& p) {
    result_.history.sights.push_back(
        {m.name, now_ - kOrigin, p.epoch, p.at, p.digest, m.disk.losses()});
    trace(m.name + std::to_string(p.at) + std::to_string(p.digest));
  }

  // ---- links ----
  bool cut(int from, int to) const {
    for (const Fault* f : active_) {
      if (f->kind == Fault::Kind::kCut && f->a == from && f->b == to) return true;
      if (f->kind == Fault::Kind::kIsolate && (f->a == from || f->a == to)) return true;
      if (f->kind == Fault::Kind::kSplit && (hall(f->a) == hall(from)) != (hall(f->a) == hall(to)))
        return true;
    }
    return false;
  }
  void carry(int from, int to, std::string frame) {
    ++result_.frames;
    if (to < 0 || to >= schedule_.routers || cut(from, to)) return;
    Micros wait = 300 + static_cast<Micros>(random_() % 1500);
    bool shuffled = false;
    for (const Fault* f : active_) {
      if (f->a != from || f->b != to) continue;
      if (f->kind == Fault::Kind::kSlow) wait += static_cast<Micros>(f->figure) * kMs;
      if (f->kind == Fault::Kind::kSpoil && random_() % 3 == 0) return;  // its digest tells
      shuffled |= f->kind == Fault::Kind::kShuffle;
    }
    Micros& last = links_[{from, to}];
    Micros when = now_ + wait;
    if (!shuffled) when = last = std::max(when, last);
    auto deliver = [this, from, to, frame] {
      Machine& m = *machines_[static_cast<std::size_t>(to)];
      if (cut(from, to)) return;
      arrive(m, [this, &m, frame] {
        if (m.node) m.node->on_frame(frame, 0);
      });
    };
    at(when, deliver);
    if (shuffled) at(now_ + static_cast<Micros>(random_() % (400 * kMs)), deliver);
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
    const ledger::Keeper* leads = nullptr;
    for (const auto& m : machines_) {
      const ledger::Keeper* k = m->node ? m->node->keeper() : nullptr;
      if (k && k->leads() && (!leads || leads->mark().term < k->mark().term)) leads = k;
    }
    if (!leads) return false;
    std::set<std::uint64_t> voters = leads->voters().identities;
    if (voters.size() != static_cast<std::size_t>(schedule_.keepers) || leads->changing())
      return false;
    for (const auto& m : machines_) voters.erase(m->disk.identity());
    for (auto& m : machines_) {
      if (!m->lost) continue;
      const ledger::Keeper* k = m->node ? m->node->keeper() : nullptr;
      bool in = leads->voters().identities.count(m->disk.identity()) > 0;
      bool back = in ? k && k->stage() == ledger::Keeper::Stage::kRunning &&
                           k->mark().last_index + 2 >= leads->mark().last_index
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
        if (!m.node) return;
        if (f.kind == Kind::kStop) m.node->leave();
        if (f.kind == Kind::kOldDisk || f.kind == Kind::kRolledBack) {
          bool copy = f.kind == Kind::kOldDisk;
          if (!m.disk.put_back(now_ - static_cast<Micros>(f.figure) * kMs, copy)) return;
        }
        end(m);
        ++m.down;
        if (f.kind == Kind::kLoseDisk) m.disk.lose();
        if (f.kind == Kind::kSpoilDisk) m.disk.spoil();
        if (loses_disk(f.kind)) m.lost = f.kind;
        break;
      case Kind::kFreeze:
        if (!m.node || m.frozen) return;
        m.frozen = true;
        break;
      default:
        break;
    }
    ++result_.played;
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
        return;
      default:
        --m.down;
        start(m);
    }
  }

  // ---- clients ----
  void ask(int number) {
    if (quiet_) return;
    Client& c = clients_[static_cast<std::size_t>(number)];
    Operation op;
    op.client = number;
    op.name = "value/" + std::to_string(random_() % static_cast<unsigned>(schedule_.names));
    std::uint64_t what = random_() % 10;
    op.kind = what < 4   ? Operation::Kind::kGet
              : what < 9 ? Operation::Kind::kPut
                         : Operation::Kind::kErase;
    if (op.kind == Operation::Kind::kPut)
      op.text = "c" + std::to_string(number) + "." + std::to_string(++c.writes);
    if (op.kind != Operation::Kind::kGet && random_() % 3 == 0)
      op.expect = static_cast<std::int64_t>(c.versions[op.name]);
    issue(number, op);
  }

  void issue(int number, Operation op) {
    Client& c = clients_[static_cast<std::size_t>(number)];
    op.asked = now_ - kOrigin;
    c.op = op;
    c.call = {};
    c.call.kind = static_cast<core::ledger::Call::Kind>(op.kind);
    c.call.name = op.name;
    c.call.text = op.text;
    c.call.expect = op.expect;
    c.call.by = "client";
    c.call.caller = c.caller;
    c.call.number = ++c.number;
    c.call.known = c.known;
    c.tries = 0;
    try_once(number);
  }

  void try_once(int number) {
    Client& c = clients_[static_cast<std::size_t>(number)];
    std::uint64_t wait = c.waiting = ++waits_;
    ++c.tries;
    Machine& m = *machines_[random_() % machines_.size()];
    to(m, "call", {{"id", wait}, {"call", c.call.json()}}, static_cast<std::uint64_t>(number) + 1);
    at(now_ + kGivesUp, [this, number, wait] { gone_by(number, wait); });
  }

  void gone_by(int number, std::uint64_t wait) {
    Client& c = clients_[static_cast<std::size_t>(number)];
    if (c.waiting != wait) return;
    // The same call again, at another router: once is enough.
    if (c.tries < 3) return try_once(number);
    end_operation(number, Operation::End::kUnknown);
  }

  void answered(int number, const std::string& frame) {
    if (number < 0 || number >= static_cast<int>(clients_.size())) return;
    Client& c = clients_[static_cast<std::size_t>(number)];
    auto answer = ledger::read_answer(frame);
    if (!answer || !answer->body.contains("id") || answer->body["id"] != c.waiting) return;
    if (answer->kind == "failure") {
      std::uint64_t wait = c.waiting;
      at(now_ + 50 * kMs, [this, number, wait] { gone_by(number, wait); });
      return;
    }
    auto outcome = core::ledger::Outcome::parse(answer->body["outcome"]);
    if (!outcome) return;
    using Status = core::ledger::Outcome::Status;
    c.op.version = outcome->version;
    if (c.op.kind == Operation::Kind::kGet) c.op.text = outcome->text;
    if (outcome->status == Status::kDone || outcome->status == Status::kConflict)
      c.versions[c.op.name] = outcome->version;
    end_operation(number, outcome->status == Status::kDone        ? Operation::End::kDone
                          : outcome->status == Status::kConflict  ? Operation::End::kConflict
                          : outcome->status == Status::kForgotten ? Operation::End::kUnknown
                                                                  : Operation::End::kRefused);
  }

  void end_operation(int number, Operation::End end) {
    Client& c = clients_[static_cast<std::size_t>(number)];
    c.waiting = 0;
    c.op.answered = now_ - kOrigin;
    c.op.end = end;
    trace(c.op.name + c.op.text + std::to_string(c.op.version));
    if (end == Operation::End::kDone) result_.waits.push_back(c.op.answered - c.op.asked);
    result_.history.operations.push_back(c.op);
    at(now_ + static_cast<Micros>(random_() % (120 * kMs)), [this, number] { ask(number); });
  }

  // ---- the last look ----
  /// All faults are over: the ledger must be there for everybody, and everybody come to one state.
  void last_look() {
    run_until(now_ + kQuiet);
    quiet_ = true;
    run_until(now_ + 4 * kGivesUp);
    for (int n = 0; n < schedule_.names; ++n) {
      Micros limit = now_ + kSettle;
      Operation op;
      op.client = 0;
      op.name = "value/" + std::to_string(n);
      std::size_t before = result_.history.operations.size();
      bool heard = false;
      while (!heard && now_ < limit) {
        issue(0, op);
        while (clients_[0].waiting && now_ < limit) run_until(now_ + 10 * kMs);
        heard = result_.history.operations.size() > before &&
                result_.history.operations.back().end == Operation::End::kDone;
      }
      if (!heard) {
        trouble_ = "the ledger answered nobody within " + std::to_string(kSettle / 1'000'000) +
                   " s of quiet";
        return;
      }
    }
    Micros limit = now_ + kSettle;
    while (now_ < limit && !at_one()) run_until(now_ + 100 * kMs);
    if (!at_one()) {
      trouble_ = "not all routers came to one state:";
      for (auto& m : machines_)
        trouble_ += " " + m->name + " " +
                    (m->node ? m->node->status()["stage"].get<std::string>() + " " +
                                   std::to_string(m->node->view().position().at)
                             : "down");
    }
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
  std::uint64_t order_ = 0, waits_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<Client> clients_;
  std::map<std::pair<int, int>, Micros> links_;
  std::vector<const Fault*> active_;
  std::string trouble_;
  bool quiet_ = false;
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
