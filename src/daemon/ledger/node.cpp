#include "node.hpp"

#include <algorithm>
#include <set>

#include "core/ledger/mutants.hpp"

namespace violetusher::ledger {
namespace {

using core::ledger::from_bytes;
using core::ledger::mutant;
using core::ledger::Mutant;
using core::ledger::Position;
using core::ledger::to_bytes;

constexpr Micros kMs = 1000, kSecond = 1'000'000;
constexpr Micros kFrozen = 300 * kMs;  // without a tick for so long: a tick comes before anything
constexpr Micros kAskEvery = 200 * kMs, kFollowEvery = 400 * kMs, kHelloEvery = kSecond;
constexpr Micros kHealEvery = 300 * kMs, kTryEvery = 250 * kMs, kReopen = kSecond;
constexpr Micros kParentTime = 1500 * kMs;  // without a word from it another one is followed
constexpr Micros kStale = 4 * kSecond;  // of a view in quiet: a hop costs kFollowEvery and a half
constexpr Micros kFollowerTime = 3 * kSecond, kHelloTime = 4 * kSecond;
constexpr Micros kSilent = 1500 * kMs;
constexpr Micros kQuiet = 2 * kSecond;  // without a leader for so long it is asked for
constexpr Micros kSlowDisk = 100 * kMs, kGiveWayEvery = 10 * kSecond;
constexpr Micros kMoveTime = 20 * kSecond;
constexpr std::uint64_t kNearly = 64;  // entries behind
constexpr std::size_t kAskMore = 8;
constexpr std::size_t kMostKnown = 2048, kMostHellos = 1024, kMostNames = 8;

std::uint64_t number(const Json& v, const char* key) {
  auto it = v.find(key);
  return it != v.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::string text(const Json& v, const char* key) {
  auto it = v.find(key);
  return it != v.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool flag(const Json& v, const char* key) {
  auto it = v.find(key);
  return it != v.end() && it->is_boolean() && it->get<bool>();
}

}  // namespace

Node::Node(Storage& storage, const NodeSettings& settings, Environment& outside)
    : storage_(storage),
      settings_(settings),
      outside_(outside),
      witnesses_(settings.name, settings.zone, settings.peers, settings.witnesses),
      caller_(outside.random() | 1),
      next_id_(outside.random() | 1) {
  last_tick_ = outside_.now();
  open();
}

Node::~Node() = default;

// ---- opening and giving up ----

void Node::open() {
  Image image;
  std::string error;
  LoadResult loaded = storage_.load(image, error);
  open_ = loaded == LoadResult::kOk;
  if (loaded == LoadResult::kUnreadable) {
    reopen_ = outside_.now() + kReopen;
    outside_.log_event("ledger-disk-failed",
                       "the ledger's files can't be read: " + error + "; tried again");
    return;
  }
  if (!open_) {
    outside_.log_event("ledger-disk-spoilt", "the ledger's files can't be trusted: " + error +
                                                 "; they are put aside, their identity goes");
    return begin_anew("spoilt");
  }
  std::string print = storage_.fingerprint();
  if (print.empty()) {  // it could not be asked for, which says nothing of the files
    open_ = false;
    reopen_ = outside_.now() + kReopen;
    outside_.log_event("ledger-disk-failed", "the ledger's files can't be looked at; tried again");
    return;
  }
  if (image.meta.identity != 0 && image.meta.fingerprint != print &&
      !mutant(Mutant::kOldDiskTrusted)) {
    outside_.log_event("ledger-disk-put-back",
                       "the ledger's files are a copy that was put back; their identity goes");
    return begin_anew("put back");
  }
  meta_ = image.meta;
  if (meta_.identity == 0) meta_.identity = outside_.random() | 1;
  meta_.fingerprint = print;
  ++meta_.boot;
  open_ = keep_meta();
  if (!open_) {
    reopen_ = outside_.now() + kReopen;
    outside_.log_event("ledger-disk-failed", "the ledger's files can't be written; tried again");
    return;
  }
  image.meta = meta_;
  if (!image.view.empty() && !mutant(Mutant::kViewForgotten)) {
    View kept;
    if (kept.reset(image.view) && view_.position().before(kept.position())) view_ = std::move(kept);
  }
  first_known_ = view_.position().at;
  if (view_.position().at > 0) outside_.on_view(view_);
  if (meta_.keeper) open_keeper(std::move(image));
}

void Node::begin_anew(const std::string& why) {
  drop_keeper();
  Meta before = meta_;
  if (!storage_.quarantine()) {
    // It must not go on as who it was, and can't be anyone else.
    open_ = false;
    reopen_ = outside_.now() + 5 * kSecond;
    outside_.log_event("ledger-disk-failed", "the ledger's files can't be put aside; tried again");
    return;
  }
  Image image;
  std::string error;
  open_ = storage_.load(image, error) == LoadResult::kOk;
  meta_ = Meta();
  meta_.group = before.group;
  meta_.epoch = before.epoch;
  meta_.identity = outside_.random() | 1;
  meta_.boot = 1;
  meta_.fingerprint = storage_.fingerprint();
  if (mutant(Mutant::kIdentityOutlivesDisk) && before.identity) meta_.identity = before.identity;
  std::vector<Op> more;
  // What it has shown it goes on showing, with its disk as it was a moment ago.
  if (view_.position().at > 0) more.push_back(Op::view(view_.state().snapshot()));
  open_ = open_ && !meta_.fingerprint.empty() && keep_meta(std::move(more));
  if (!open_) reopen_ = outside_.now() + kReopen;
  outside_.log_event("ledger-new-identity", "ledger: begins anew (" + why + ")");
}

bool Node::keep_meta(std::vector<Op> more) {
  more.push_back(Op::of(meta_));
  return storage_.commit(more);
}

void Node::open_keeper(Image&& image) {
  RaftPort::Environment raft;
  raft.now = [this] { return outside_.now(); };
  raft.random = [this] { return outside_.random(); };
  raft.send = [this](std::uint64_t to, const std::string& address, Json&& message) {
    send(name_in(address), "raft", message, to);
  };
  keeper_ = std::make_unique<Voter>(storage_, std::move(image), settings_.name, settings_.timing,
                                    settings_.voters, settings_.peers.size(), std::move(raft));
}

void Node::drop_keeper() {
  keeper_.reset();
  hellos_.clear();
  leading_since_ = 0;
}

// ---- frames ----

std::string Node::frame(const std::string& kind, const Json& body, std::uint64_t to) {
  return to_bytes({{"v", settings_.version},
                   {"f", settings_.fleet},
                   {"g", meta_.group},
                   {"e", meta_.epoch},
                   {"n", settings_.name},
                   {"i", meta_.identity},
                   {"b", meta_.boot},
                   {"r", to},
                   {"s", static_cast<std::uint64_t>(std::max<Micros>(storage_.mean(), 0))},
                   {"m", (keeper_ ? keeper_->log_position() : LogPosition()).json()},
                   {"k", kind},
                   {"d", body}});
}

void Node::send(const std::string& name, const std::string& kind, const Json& body,
                std::uint64_t to) {
  if (name != settings_.name && settings_.peers.count(name))
    outside_.send(name, frame(kind, body, to));
}

void Node::answer(const Frame& to, const std::string& kind, const Json& body) {
  if (to.name.empty())
    outside_.reply(to.link, frame(kind, body));
  else
    send(to.name, kind, body);
}

std::optional<Node::Frame> Node::read(const std::string& bytes, std::uint64_t link) {
  auto v = from_bytes(bytes);
  if (!v || !v->is_object()) return {};
  std::uint64_t version = number(*v, "v");
  if (version == 0 || version > kFrameVersion + 1 || text(*v, "f") != settings_.fleet) return {};
  Frame f{text(*v, "n"),
          text(*v, "k"),
          number(*v, "g"),
          number(*v, "e"),
          number(*v, "i"),
          number(*v, "b"),
          number(*v, "r"),
          number(*v, "s"),
          link,
          {},
          {}};
  if (v->contains("m")) f.mark = LogPosition::parse((*v)["m"]);
  if (v->contains("d")) f.body = std::move((*v)["d"]);
  if (!f.body.is_object() && f.kind != "raft") return {};
  return f;
}

/// Whether a router's frame is one of this group, as it is now, from who still is who it was.
bool Node::admit(const Frame& f) {
  if (!settings_.peers.count(f.name) || f.identity == 0) return false;
  if (f.group == 0 || meta_.group == 0) {
    // One of both is new here. It is told of the group by being fed, or by being asked to keep.
    if (meta_.group != 0 || f.group == 0) return true;
    return f.kind == "feed" || f.kind == "hint" || f.kind == "ask" ||
           (f.kind == "raft" && f.to == meta_.identity);
  }
  if (f.group != meta_.group) return false;
  if (f.epoch < meta_.epoch) {
    // It does not know yet that the group was rescued.
    if (f.kind != "hint") answer(f, "hint", {{"leader", leader()}});
    return false;
  }
  if (f.epoch > meta_.epoch) {
    outside_.log_event("ledger-epoch", "the ledger's epoch is now " + std::to_string(f.epoch));
    meta_.epoch = f.epoch;
    if (meta_.keeper)
      begin_anew("the group was rescued without this one");
    else
      keep_meta();
  }
  Known& known = known_[f.identity];
  if (f.boot < known.boot) return false;  // said before its last start
  known.boot = f.boot;
  known.heard = outside_.now();
  known.disk = static_cast<Micros>(f.disk);
  known.mark.raise(f.mark);
  if (known_.size() > kMostKnown)
    known_.erase(std::min_element(known_.begin(), known_.end(), [](const auto& a, const auto& b) {
      return a.second.heard < b.second.heard;
    }));
  return true;
}

void Node::on_frame(const std::string& bytes, std::uint64_t link) {
  // Whoever was frozen finds out first how long: a leader that no longer is one, a view's age.
  if (outside_.now() - last_tick_ > kFrozen) tick();
  auto f = read(bytes, link);
  if (!f || (!open_ && f->kind != "status")) return;
  if (f->name.empty()) {
    if (link) on_client(*f);
    return;
  }
  if (!admit(*f)) return;
  if (meta_.group == 0 && f->group != 0 && f->kind != "ask") {
    meta_.group = f->group;
    meta_.epoch = f->epoch;
    if (!keep_meta()) return;
  }
  if (f->kind == "raft") return on_raft(*f);
  if (f->kind == "ask") return on_ask(*f);
  if (f->kind == "mark") return on_mark(*f);
  if (f->kind == "hello") return on_hello(*f);
  if (f->kind == "call") return on_call(*f);
  if (f->kind == "answer") return on_answer(*f);
  if (f->kind == "follow") return on_follow(*f);
  if (f->kind == "feed") return on_feed(*f);
  if (f->kind == "summary") return on_summary(*f);
  if (f->kind == "summary-held") return witnesses_.held_by(f->name);
  if (f->kind == "hint") {
    leader_ = text(f->body, "leader");
    for (auto& [id, p] : pending_)
      if (p.target == f->name) p.next = std::min(p.next, outside_.now() + 20 * kMs);
  }
}

void Node::on_raft(const Frame& f) {
  if (f.to != meta_.identity) return;
  if (!keeper_) {
    if (!settings_.may_vote || meta_.keeper) return;
    meta_.keeper = true;
    if (!keep_meta()) {
      meta_.keeper = false;
      return;
    }
    Image image;
    image.meta = meta_;
    outside_.log_event("ledger-keeps", settings_.name + " is made a keeper");
    open_keeper(std::move(image));
    keeper_->vouch();  // its identity is new, and has promised nothing
  }
  keeper_->receive(f.identity, raft_address(f.name, f.identity), f.body);
  take_view();
}

/// Somebody wants to know whether its disk is an old one.
void Node::on_ask(const Frame& f) {
  Json voters = Json::array();
  std::uint64_t index = 0;
  if (keeper_) {
    auto known = keeper_->voters();
    index = known.index;
    for (std::uint64_t id : known.identities) voters.push_back(id);
  }
  answer(f, "mark",
         {{"own", (keeper_ ? keeper_->log_position() : LogPosition()).json()},
          {"yours", known_[f.identity].mark.json()},
          {"at", index},
          {"voters", voters},
          {"leader", leader()}});
}

void Node::on_mark(const Frame& f) {
  if (!keeper_ || !f.body.contains("own") || !f.body.contains("yours")) return;
  core::ledger::Probation::Answer a{LogPosition::parse(f.body["own"]),
                                    LogPosition::parse(f.body["yours"]),
                                    {number(f.body, "at"), {}}};
  if (f.body.contains("voters") && f.body["voters"].is_array())
    for (const Json& id : f.body["voters"])
      if (id.is_number_unsigned()) a.voters.identities.insert(id.get<std::uint64_t>());
  if (leader_.empty()) leader_ = text(f.body, "leader");
  keeper_->heard(f.identity, a);
}

void Node::on_hello(const Frame& f) {
  if (!keeper_ || !keeper_->is_leader()) return answer(f, "hint", {{"leader", leader()}});
  auto members = keeper_->members();
  bool member = std::any_of(members.begin(), members.end(),
                            [&](const RaftMember& m) { return m.identity == f.identity; });
  if (member) return;
  // Who kept once and was removed comes again as who it is: its disk is all there, and nobody else
  // may take an identity away, since a leader that knows less could still add it.
  if (hellos_.size() >= kMostHellos && !hellos_.count(f.name)) return;
  Hello& hello = hellos_[f.name];
  if (hello.candidate.identity != f.identity) hello = {};
  hello.candidate = {f.identity, f.name, hall_of(f.name)};
  hello.heard = outside_.now();
  if (hello.first == 0) hello.first = hello.heard;
}

void Node::on_call(const Frame& f) {
  auto call = f.body.contains("call") ? Call::parse(f.body["call"]) : std::nullopt;
  std::uint64_t id = number(f.body, "id");
  if (!call) return;
  if (!keeper_ || (!keeper_->is_leader() && !mutant(Mutant::kReadsOwnState)))
    return answer(f, "hint", {{"leader", leader()}});
  std::string name = f.name;
  keeper_->submit(*call, [this, name, id](std::optional<Outcome> outcome) {
    if (outcome)
      send(name, "answer",
           {{"id", id}, {"outcome", outcome->json()}, {"at", keeper_->view().position().at}});
  });
  take_view();
}

void Node::on_answer(const Frame& f) {
  auto outcome = f.body.contains("outcome") ? Outcome::parse(f.body["outcome"]) : std::nullopt;
  if (outcome) settle(number(f.body, "id"), *outcome, number(f.body, "at"));
}

// ---- those without a name: operators' tools ----

Json Node::found() {
  if (meta_.group != 0)
    return {{"error", "there is a group already, of epoch " + std::to_string(meta_.epoch)}};
  meta_.group = outside_.random() | 1;
  meta_.epoch = 1;
  meta_.keeper = true;
  auto alone =
      write_members({{meta_.identity, raft_address(settings_.name, meta_.identity), RAFT_VOTER}});
  if (!keep_meta({Op::count(Op::Kind::kTerm, 1), Op::append({1, 1, RAFT_CHANGE, alone})})) {
    meta_.group = meta_.epoch = 0;
    meta_.keeper = false;
    return {{"error", "the disk took nothing"}};
  }
  Image image;
  std::string error;
  if (storage_.load(image, error) != LoadResult::kOk) return {{"error", error}};
  open_keeper(std::move(image));
  keeper_->vouch();
  return {{"group", meta_.group}};
}

void Node::on_client(const Frame& f) {
  std::uint64_t link = f.link, id = number(f.body, "id");
  if (f.kind == "status") return answer(f, "status", status());
  if (f.kind == "found") return answer(f, "found", found());
  if (f.kind == "vouch") {
    if (keeper_) keeper_->vouch();
    return answer(f, "vouch", status());
  }
  if (f.kind == "may-stop") {
    std::vector<std::string> names;
    if (f.body.contains("names") && f.body["names"].is_array())
      for (const Json& n : f.body["names"])
        if (n.is_string()) names.push_back(n);
    if (!keeper_ || !keeper_->is_leader()) return answer(f, "hint", {{"leader", leader()}});
    return answer(f, "may-stop", {{"may", core::ledger::may_stop(members(), names)}});
  }
  if (f.kind == "move") return answer(f, "move", move(f.body));
  if (f.kind == "view") {
    // What this router acts on, which may be old; it says how old.
    Json values = Json::object();
    for (const auto& [name, v] : view_.state().values())
      values[name] = {{"text", v.text}, {"version", v.version}, {"by", v.by}};
    return answer(f, "view", {{"at", view_.position().json()}, {"age", age()}, {"values", values}});
  }
  if (f.kind != "call" || !f.body.contains("call")) return;
  auto call = Call::parse(f.body["call"]);
  if (!call || pending_.size() >= kMostCalls)
    return answer(f, "failure", {{"id", id}, {"why", call ? "too many calls" : "bad call"}});
  std::uint64_t own = next_id_++;
  Micros now = outside_.now();
  pending_[own] = {*call,
                   [this, link, id](std::optional<Outcome> outcome, const std::string& why) {
                     Json body{{"id", id}};
                     if (outcome)
                       body["outcome"] = outcome->json();
                     else
                       body["why"] = why;
                     outside_.reply(link, frame(outcome ? "answer" : "failure", body));
                   },
                   now + kCallTime,
                   now,
                   {},
                   {},
                   0};
  push_calls();
}

Json Node::status() {
  Json members = Json::array();
  if (keeper_)
    for (const RaftMember& m : keeper_->members())
      members.push_back({{"name", name_in(m.address)},
                         {"identity", std::to_string(m.identity)},
                         {"hall", hall_of(name_in(m.address))},
                         {"votes", m.role == RAFT_VOTER}});
  std::string stage = "follows";
  if (!open_) stage = "disk-failed";
  if (keeper_) {
    constexpr const char* kStages[] = {"asks", "keeps", "old-disk", "disk-failed", "opens-again"};
    stage = keeper_->is_leader() ? "leads" : kStages[static_cast<int>(keeper_->stage())];
  }
  Json out{{"name", settings_.name},
           {"hall", settings_.zone},
           {"stage", stage},
           {"identity", std::to_string(meta_.identity)},
           {"group", std::to_string(meta_.group)},
           {"epoch", meta_.epoch},
           {"boot", meta_.boot},
           {"leader", leader()},
           {"at", view_.position().at},
           {"digest", std::to_string(view_.position().digest)},
           {"age_us", age()},
           {"disk_us", storage_.mean()},
           {"members", members},
           {"followers", followers_.size()}};
  out.update(told_);
  if (settings_.witnesses > 0) out["witness"] = witnesses_.held(outside_.now());
  if (keeper_) {
    const LogPosition& m = keeper_->log_position();
    out["log"] = {{"term", m.term}, {"last", m.last_index}};
    if (keeper_->stage() == Voter::Stage::kAsking)
      out["asks"] = {{"answered", keeper_->probation().answered()},
                     {"needed", keeper_->probation().needed()}};
  }
  return out;
}

// ---- the view ----

bool Node::settled() const {
  return keeper_ && keeper_->stage() == Voter::Stage::kRunning && keeper_->heard_leader() != 0 &&
         outside_.now() - keeper_->heard_leader() < kQuiet;
}

Micros Node::age() const { return fresh_ < 0 ? -1 : outside_.now() - fresh_; }

bool Node::recent() const { return fresh_ >= 0 && age() < kStale; }

/// A keeper's own log comes before what others feed it.
void Node::take_view() {
  if (!keeper_ || keeper_->stage() != Voter::Stage::kRunning) return;
  const View& own = keeper_->view();
  if (view_.position().before(own.position())) show(own.since(view_.position()));
  if (settled() && !own.position().before(view_.position()))
    fresh_ = std::max(fresh_, keeper_->heard_leader());
}

/// Takes an update, first on the disk and then for others to see: a view that was seen must not be
/// gone after a restart. False where nothing newer came of it.
bool Node::show(const View::Update& update) {
  View next = view_;
  auto taken = next.take(update);
  if (taken == View::Taken::kUnfit) whole_ = true;
  if (taken != View::Taken::kNewer) return false;
  if (!storage_.commit({Op::view(next.state().snapshot())})) {
    outside_.log_event("ledger-disk-failed",
                       "the ledger's files take no more; this router stays at what it has");
    return false;
  }
  view_ = std::move(next);
  whole_ = false;
  outside_.on_view(view_);
  for (const auto& [name, follower] : followers_) feed(name, follower.at);
  push_calls();
  return true;
}

void Node::feed(const std::string& name, const Position& at) {
  auto update = view_.since(at);
  followers_[name].at = update.to;
  send(name, "feed",
       {{"update", update.json()},
        {"fresh", fresh_ >= 0},
        {"age", static_cast<std::uint64_t>(std::max<Micros>(age(), 0))},
        {"leader", leader()}});
}

void Node::on_follow(const Frame& f) {
  if (!f.body.contains("at") || meta_.group == 0) return;
  if (followers_.size() >= settings_.followers && !followers_.count(f.name)) {
    Json names = Json::array();
    for (const auto& [name, follower] : followers_)
      if (names.size() < kMostNames && outside_.random() % followers_.size() < kMostNames)
        names.push_back(name);
    return send(f.name, "feed", {{"full", names}, {"leader", leader()}});
  }
  followers_[f.name].heard = outside_.now();
  feed(f.name, Position::parse(f.body["at"]));
}

void Node::on_feed(const Frame& f) {
  std::string said = text(f.body, "leader");
  if (!said.empty() && !(keeper_ && keeper_->is_leader())) leader_ = said;
  if (f.name != parent_) return;
  if (f.body.contains("full")) {
    // One of those that it feeds has room, or knows who has.
    const Json& names = f.body["full"];
    parent_.clear();
    if (names.is_array() && !names.empty() && names[outside_.random() % names.size()].is_string()) {
      std::string next = names[outside_.random() % names.size()];
      if (settings_.peers.count(next)) parent_ = next;
    }
    parent_heard_ = outside_.now();
    next_follow_ = outside_.now() + static_cast<Micros>(outside_.random() % (200 * kMs));
    return;
  }
  if (!f.body.contains("update")) return;
  auto update = View::Update::parse(f.body["update"]);
  if (!update) return;
  bool newer = show(*update);
  if (view_.position() == update->to && flag(f.body, "fresh"))
    fresh_ = std::max(fresh_, outside_.now() - static_cast<Micros>(number(f.body, "age")));
  // Two that follow each other, cut off from the rest, agree for ever: what counts is whether the
  // parent's view is a recent one, or brings this one on.
  if (newer || recent()) parent_heard_ = outside_.now();
  // More than one answer's worth, or from another place than where this one stands.
  if ((newer && view_.position().before(update->to)) || update->calls.size() == View::kMostGiven ||
      whole_)
    next_follow_ = outside_.now();
}

void Node::follow() {
  Micros now = outside_.now();
  if (settled() || now < next_follow_) return;
  next_follow_ = now + kFollowEvery + static_cast<Micros>(outside_.random() % (kFollowEvery / 2));
  if (parent_.empty() || now - parent_heard_ > kParentTime) {
    parent_ = parent_.empty() && !leader_.empty() && leader_ != settings_.name &&
                      outside_.random() % 4 == 0
                  ? leader_
                  : any_peer();
    parent_heard_ = now;
  }
  Position at = whole_ ? Position() : view_.position();
  send(parent_, "follow", {{"at", at.json()}});
}

/// What this router tells of itself, with what it acts on, goes to others in case it is lost with
/// its disk.
void Node::say_to_witnesses() {
  if (settings_.witnesses == 0 || meta_.group == 0) return;
  auto whom = witnesses_.due(outside_.now());
  if (whom.empty()) return;
  // Past the numbers of the life before, which are not kept.
  Json body{{"number", meta_.boot << 32 | ++summaries_}, {"said", told_}};
  body["said"]["age_us"] = age();
  for (const std::string& name : whom) send(name, "summary", body);
}

void Node::on_summary(const Frame& f) {
  if (settings_.witnesses == 0 || !f.body.contains("said") || !f.body["said"].is_object() ||
      !f.body.contains("number") || !f.body["number"].is_number_unsigned())
    return;
  if (witnesses_.hold(f.name, f.identity, f.body["number"], f.body["said"], outside_.now()))
    answer(f, "summary-held", Json::object());
}

std::string Node::any_peer() const {
  if (settings_.peers.empty()) return {};
  auto it = settings_.peers.begin();
  std::advance(it, static_cast<long>(outside_.random() % settings_.peers.size()));
  return it->first;
}

std::string Node::leader() {
  if (keeper_ && keeper_->stage() == Voter::Stage::kRunning) {
    std::string own = keeper_->leader();
    if (!own.empty()) return own;
  }
  return leader_ == settings_.name ? std::string() : leader_;
}

std::string Node::hall_of(const std::string& name) const {
  if (name == settings_.name) return settings_.zone;
  auto it = settings_.peers.find(name);
  return it == settings_.peers.end() ? std::string() : it->second;
}

// ---- time ----

void Node::tick() {
  Micros now = outside_.now();
  // Nobody was silent in a time that this one has not lived through.
  if (now - last_tick_ > kFrozen && leading_since_ != 0) leading_since_ = now;
  last_tick_ = now;
  if (!open_) {
    if (now >= reopen_) {
      reopen_ = now + kReopen;
      open();
    }
    push_calls();
    return;
  }
  if (keeper_) {
    keeper_->tick();
    if (keeper_->stage() == Voter::Stage::kOldDisk) {
      begin_anew("an old disk");
    } else if (keeper_->stage() == Voter::Stage::kAgain) {
      outside_.log_event("ledger-again", "the ledger's members of a lost leader are dropped");
      drop_keeper();
      open();
    } else if (keeper_->stage() == Voter::Stage::kFailed) {
      outside_.log_event("ledger-disk-failed",
                         "the ledger's files failed; opened again in a second");
      drop_keeper();
      open_ = false;
      reopen_ = now + kReopen;
    }
  }
  if (!open_) return;
  take_view();
  ask();
  follow();
  heal();
  push_calls();
  say_to_witnesses();
  for (auto it = followers_.begin(); it != followers_.end();)
    it = now - it->second.heard > kFollowerTime ? followers_.erase(it) : std::next(it);
}

void Node::ask() {
  Micros now = outside_.now();
  if (keeper_ && keeper_->stage() == Voter::Stage::kAsking && now >= next_ask_) {
    next_ask_ = now + kAskEvery;
    std::set<std::string> whom{leader()};
    for (const RaftMember& m : keeper_->members()) whom.insert(name_in(m.address));
    // And some of the rest: the disk may name nobody who still keeps.
    for (std::size_t i = 0; i < kAskMore; ++i) whom.insert(any_peer());
    for (const std::string& name : whom) send(name, "ask", Json::object());
  }
  if (!settings_.may_vote || now < next_hello_ || meta_.group == 0) return;
  next_hello_ = now + kHelloEvery + static_cast<Micros>(outside_.random() % kHelloEvery);
  if (settled() && keeper_->votes()) return;
  std::string to = leader();
  if (to.empty() || outside_.random() % 4 == 0) to = any_peer();
  send(to, "hello", Json::object());
}

std::vector<core::ledger::Member> Node::members() {
  Micros now = outside_.now();
  std::vector<core::ledger::Member> members;
  for (const RaftMember& m : keeper_->members()) {
    auto known = known_.find(m.identity);
    Micros heard = std::max(known == known_.end() ? 0 : known->second.heard, leading_since_);
    bool gone = m.identity != meta_.identity && now - heard > settings_.replace_after;
    std::string name = name_in(m.address);
    members.push_back({m.identity, name, hall_of(name), m.role == RAFT_VOTER, gone});
  }
  return members;
}

void Node::heal() {
  Micros now = outside_.now();
  if (!keeper_ || !keeper_->is_leader()) {
    leading_since_ = 0;
    return;
  }
  if (leading_since_ == 0) {
    leading_since_ = now;
    hellos_.clear();  // what was said to an earlier leader may have been overtaken
  }
  if (now < next_heal_ || keeper_->changing()) return;
  next_heal_ = now + kHealEvery;
  if (now > move_until_) move_.reset();
  if (give_way()) return;
  std::vector<core::ledger::Candidate> candidates;
  auto all = members();
  for (auto it = hellos_.begin(); it != hellos_.end();) {
    if (now - it->second.heard > kHelloTime) {
      it = hellos_.erase(it);
      continue;
    }
    // One that says that it is another by the name of a member: believed once it has said so for a
    // while and the member has said nothing. A hello that was long under way is not enough.
    const Hello& h = it->second;
    bool doubted = std::any_of(all.begin(), all.end(), [&](const auto& m) {
      if (m.name != h.candidate.name) return false;
      auto known = known_.find(m.identity);
      bool silent = known == known_.end() || now - known->second.heard > kSilent;
      return !silent || now - h.first < kSilent;
    });
    if (!doubted) candidates.push_back(h.candidate);
    ++it;
  }
  if (auto step =
          core::ledger::next_step(meta_.identity, settings_.voters, all, candidates, move_)) {
    outside_.log_event(
        "ledger-members",
        std::string(step->kind == core::ledger::Step::Kind::kAdd      ? "adds "
                    : step->kind == core::ledger::Step::Kind::kRemove ? "removes "
                                                                      : "promotes ") +
            step->name + "#" + std::to_string(step->identity));
    keeper_->take_step(*step);
    if (step->kind == core::ledger::Step::Kind::kAdd) hellos_.erase(step->name);
  }
}

/// A leader whose disk has become slow makes every promise slow. Another leads, where one has a
/// disk that is clearly better and is as far.
bool Node::give_way() {
  Micros now = outside_.now();
  if (storage_.mean() < kSlowDisk || (gave_way_ != 0 && now - gave_way_ < kGiveWayEvery))
    return false;
  std::uint64_t to = 0;
  Micros best = storage_.mean() / 4;
  for (const RaftMember& m : keeper_->members()) {
    auto known = known_.find(m.identity);
    if (m.identity == meta_.identity || m.role != RAFT_VOTER || known == known_.end()) continue;
    const Known& k = known->second;
    if (now - k.heard > kSilent || k.disk >= best ||
        k.mark.last_index + kNearly < keeper_->log_position().last_index)
      continue;
    to = m.identity;
    best = k.disk;
  }
  if (to == 0) return false;
  gave_way_ = now;
  outside_.log_event(
      "ledger-slow-disk",
      "a commit takes " + std::to_string(storage_.mean() / 1000) + " ms; another leads the ledger");
  keeper_->hand_over(to);
  return true;
}

/// One keeper is to give its place to another router.
Json Node::move(const Json& body) {
  std::string from = text(body, "from"), to = text(body, "to");
  if (!keeper_ || !keeper_->is_leader()) return {{"leader", leader()}};
  auto all = members();
  if (move_ &&
      std::any_of(all.begin(), all.end(), [&](const auto& m) { return m.name == move_->from; }))
    return {{"error", "a move is under way: " + move_->from + " to " + move_->to}};
  auto hello = hellos_.find(to);
  auto candidate = hello == hellos_.end() ? std::nullopt : std::optional(hello->second.candidate);
  std::string why = core::ledger::why_not({from, to}, settings_.voters, all, candidate);
  if (!why.empty()) return {{"error", why}};
  if (!candidate)
    return {{"again", "'" + to + "' has not said lately that it may be made a keeper"}};
  if (from == settings_.name) {
    keeper_->hand_over();
    return {{"again", "it leads; another does now"}};
  }
  move_ = core::ledger::Move{from, to};
  move_until_ = outside_.now() + kMoveTime;
  return {{"moving", from + " to " + to}};
}

void Node::transfer_leadership() {
  if (keeper_) keeper_->hand_over();
}

// ---- calls ----

void Node::call(Call call, Done done) {
  if (queue_.size() + pending_.size() >= kMostCalls) return done(std::nullopt, "too many calls");
  queue_.emplace_back(std::move(call), std::move(done));
  push_calls();
}

void Node::push_calls() {
  Micros now = outside_.now();
  while (!own_pending_ && !queue_.empty()) {
    auto [call, done] = std::move(queue_.front());
    queue_.pop_front();
    call.caller = caller_;
    call.number = ++calls_;
    call.known = first_known_;
    own_pending_ = next_id_++;
    pending_[own_pending_] = {std::move(call), std::move(done), now + kCallTime, now, {}, {}, 0};
  }
  std::vector<std::uint64_t> late, due, there;
  for (auto& [id, p] : pending_) {
    if (p.outcome && (now >= p.until || view_.position().at >= p.seen_at))
      there.push_back(id);
    else if (now >= p.until)
      late.push_back(id);
    else if (now >= p.next && !p.outcome)
      due.push_back(id);
  }
  for (std::uint64_t id : there)
    if (auto it = pending_.find(id); it != pending_.end()) finish(id, it->second.outcome, "");
  for (std::uint64_t id : late)
    finish(id, std::nullopt,
           "no answer from a majority of the ledger's keepers; whether it holds is not known");
  for (std::uint64_t id : due)
    if (auto it = pending_.find(id); it != pending_.end()) try_call(id, it->second);
}

void Node::try_call(std::uint64_t id, Pending& p) {
  p.next = outside_.now() + kTryEvery;
  if (!open_) return;
  if (keeper_ && (keeper_->is_leader() ||
                  (mutant(Mutant::kReadsOwnState) && p.call.kind == Call::Kind::kGet))) {
    p.target = settings_.name;
    Call call = p.call;
    keeper_->submit(call, [this, id](std::optional<Outcome> outcome) {
      if (outcome) settle(id, *outcome, keeper_->view().position().at);
    });
    return take_view();
  }
  std::string to = leader();
  // A leader that did not answer may be none any more.
  if (to.empty() || (to == p.target && outside_.random() % 2 == 0)) to = any_peer();
  p.target = to;
  send(to, "call", {{"id", id}, {"call", p.call.json()}});
}

/// The outcome is known. It is told once this router acts on it too.
void Node::settle(std::uint64_t id, const Outcome& outcome, std::uint64_t at) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  it->second.outcome = outcome;
  it->second.seen_at = at;
  if (view_.position().at >= at) finish(id, outcome, "");
}

void Node::finish(std::uint64_t id, std::optional<Outcome> outcome, const std::string& why) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Done done = std::move(it->second.done);
  pending_.erase(it);
  if (own_pending_ == id) own_pending_ = 0;
  done(outcome, why);
}

}  // namespace violetusher::ledger
