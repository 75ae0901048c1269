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
constexpr Micros kMaxTickGap = 300 * kMs;  // after a longer gap, frames wait for a tick
constexpr Micros kAskInterval = 200 * kMs, kFollowInterval = 400 * kMs, kHelloInterval = kSecond;
constexpr Micros kReconfigureInterval = 300 * kMs, kCallRetryInterval = 250 * kMs,
                 kReopenDelay = kSecond;
constexpr Micros kParentTimeout = 1500 * kMs;  // then another parent is chosen
// Of an idle group's view; each hop between routers adds up to 1.5 kFollowInterval.
constexpr Micros kMaxViewAge = 4 * kSecond;
constexpr Micros kFollowerTimeout = 3 * kSecond, kHelloTimeout = 4 * kSecond;
constexpr Micros kSilenceTimeout = 1500 * kMs;
constexpr Micros kLeaderTimeout = 2 * kSecond;  // then the leader counts as lost
constexpr Micros kSlowCommit = 100 * kMs, kSlowDiskTransferInterval = 10 * kSecond;
constexpr Micros kMoveTimeout = 20 * kSecond;
constexpr std::uint64_t kMaxLagEntries = 64;  // of a successor's log
constexpr std::size_t kExtraAskTargets = 8;
constexpr std::size_t kMaxKnown = 2048, kMaxHellos = 1024, kMaxNames = 8;

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

Node::Node(Storage& storage, const NodeSettings& settings, Environment& env)
    : storage_(storage),
      settings_(settings),
      env_(env),
      summaries_(settings.name, settings.zone, settings.peers, settings.summary_holders),
      caller_(env.random() | 1),
      next_id_(env.random() | 1) {
  last_tick_ = env_.now();
  open();
}

Node::~Node() = default;

// ---- opening and closing ----

void Node::open() {
  Image image;
  std::string error;
  LoadResult loaded = storage_.load(image, error);
  open_ = loaded == LoadResult::kOk;
  if (loaded == LoadResult::kUnreadable) {
    reopen_at_ = env_.now() + kReopenDelay;
    env_.log_event("ledger-disk-failed",
                   "the ledger's files can't be read: " + error + "; retrying");
    return;
  }
  if (!open_) {
    env_.log_event("ledger-disk-spoilt", "the ledger's files are corrupt: " + error +
                                             "; moving them aside and taking a new identity");
    return start_with_new_identity("spoilt");
  }
  std::string fingerprint = storage_.fingerprint();
  if (fingerprint.empty()) {  // it could not be read; the files may be good
    open_ = false;
    reopen_at_ = env_.now() + kReopenDelay;
    env_.log_event("ledger-disk-failed", "the ledger's files can't be examined; retrying");
    return;
  }
  if (image.meta.identity != 0 && image.meta.fingerprint != fingerprint &&
      !mutant(Mutant::kOldDiskTrusted)) {
    env_.log_event("ledger-disk-put-back",
                   "the ledger's files are a restored copy; taking a new identity");
    return start_with_new_identity("the files were restored from a copy");
  }
  meta_ = image.meta;
  if (meta_.identity == 0) meta_.identity = env_.random() | 1;
  meta_.fingerprint = fingerprint;
  ++meta_.boot;
  open_ = commit_meta();
  if (!open_) {
    reopen_at_ = env_.now() + kReopenDelay;
    env_.log_event("ledger-disk-failed", "the ledger's files can't be written; retrying");
    return;
  }
  image.meta = meta_;
  if (!image.view.empty() && !mutant(Mutant::kViewForgotten)) {
    View stored;
    if (stored.reset(image.view) && view_.position().before(stored.position()))
      view_ = std::move(stored);
  }
  position_at_start_ = view_.position().at;
  if (view_.position().at > 0) env_.on_view(view_);
  if (meta_.voter) open_voter(std::move(image));
}

void Node::start_with_new_identity(const std::string& why) {
  close_voter();
  Meta before = meta_;
  if (!storage_.quarantine()) {
    // It must not continue under the old identity, and can't take a new one.
    open_ = false;
    reopen_at_ = env_.now() + 5 * kSecond;
    env_.log_event("ledger-disk-failed", "the ledger's files can't be moved aside; retrying");
    return;
  }
  Image image;
  std::string error;
  open_ = storage_.load(image, error) == LoadResult::kOk;
  meta_ = Meta();
  meta_.group = before.group;
  meta_.epoch = before.epoch;
  meta_.identity = env_.random() | 1;
  meta_.boot = 1;
  meta_.fingerprint = storage_.fingerprint();
  if (mutant(Mutant::kIdentityOutlivesDisk) && before.identity) meta_.identity = before.identity;
  std::vector<Op> extra_ops;
  // The view that others have seen is kept.
  if (view_.position().at > 0) extra_ops.push_back(Op::view(view_.state().snapshot()));
  open_ = open_ && !meta_.fingerprint.empty() && commit_meta(std::move(extra_ops));
  if (!open_) reopen_at_ = env_.now() + kReopenDelay;
  env_.log_event("ledger-new-identity", "ledger: started with a new identity (" + why + ")");
}

bool Node::commit_meta(std::vector<Op> extra_ops) {
  extra_ops.push_back(Op::of(meta_));
  return storage_.commit(extra_ops);
}

void Node::open_voter(Image&& image) {
  RaftPort::Environment raft;
  raft.now = [this] { return env_.now(); };
  raft.random = [this] { return env_.random(); };
  raft.send = [this](std::uint64_t to, const std::string& address, Json&& message) {
    send(name_in(address), "raft", message, to);
  };
  voter_ = std::make_unique<Voter>(storage_, std::move(image), settings_.name, settings_.timing,
                                   settings_.voters, settings_.peers.size(), std::move(raft));
}

void Node::close_voter() {
  voter_.reset();
  hellos_.clear();
  leading_since_ = 0;
}

// ---- frames ----

std::string Node::frame(const std::string& kind, const Json& body, std::uint64_t to) {
  return to_bytes(
      {{"v", settings_.version},
       {"f", settings_.fleet},
       {"g", meta_.group},
       {"e", meta_.epoch},
       {"n", settings_.name},
       {"i", meta_.identity},
       {"b", meta_.boot},
       {"r", to},
       {"s", static_cast<std::uint64_t>(std::max<Micros>(storage_.mean_commit_us(), 0))},
       {"m", (voter_ ? voter_->log_position() : LogPosition()).json()},
       {"k", kind},
       {"d", body}});
}

void Node::send(const std::string& name, const std::string& kind, const Json& body,
                std::uint64_t to) {
  if (name != settings_.name && settings_.peers.count(name)) env_.send(name, frame(kind, body, to));
}

void Node::reply_to(const Frame& to, const std::string& kind, const Json& body) {
  if (to.name.empty())
    env_.reply(to.link, frame(kind, body));
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
  if (v->contains("m")) f.position = LogPosition::parse((*v)["m"]);
  if (v->contains("d")) f.body = std::move((*v)["d"]);
  if (!f.body.is_object() && f.kind != "raft") return {};
  return f;
}

/// Whether to process a router's frame: it must be of the current group and epoch, and from the
/// sender's current process. Adopts a newer epoch.
bool Node::admit(const Frame& f) {
  if (!settings_.peers.count(f.name) || f.identity == 0) return false;
  if (f.group == 0 || meta_.group == 0) {
    // One of the two routers has no group yet. It learns of the group when it is fed or made a
    // voter.
    if (meta_.group != 0 || f.group == 0) return true;
    return f.kind == "feed" || f.kind == "hint" || f.kind == "ask" ||
           (f.kind == "raft" && f.to == meta_.identity);
  }
  if (f.group != meta_.group) return false;
  if (f.epoch < meta_.epoch) {
    // The sender does not know yet that the group was rescued.
    if (f.kind != "hint") reply_to(f, "hint", {{"leader", leader()}});
    return false;
  }
  if (f.epoch > meta_.epoch) {
    env_.log_event("ledger-epoch", "the ledger's epoch is now " + std::to_string(f.epoch));
    meta_.epoch = f.epoch;
    if (meta_.voter)
      start_with_new_identity("the group was rescued without this router");
    else
      commit_meta();
  }
  KnownPeer& known = known_peers_[f.identity];
  if (f.boot < known.boot) return false;  // sent before its last start
  known.boot = f.boot;
  known.last_heard = env_.now();
  known.commit_us = static_cast<Micros>(f.commit_us);
  known.position.raise(f.position);
  if (known_peers_.size() > kMaxKnown)
    known_peers_.erase(std::min_element(
        known_peers_.begin(), known_peers_.end(),
        [](const auto& a, const auto& b) { return a.second.last_heard < b.second.last_heard; }));
  return true;
}

void Node::on_frame(const std::string& bytes, std::uint64_t link) {
  // After a stall, first run a tick to notice lost leadership and the age of the view.
  if (env_.now() - last_tick_ > kMaxTickGap) tick();
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
    if (!commit_meta()) return;
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
  if (f->kind == "summary-held") return summaries_.acknowledge(f->name);
  if (f->kind == "hint") {
    leader_ = text(f->body, "leader");
    for (auto& [id, p] : pending_)
      if (p.target == f->name) p.next_attempt = std::min(p.next_attempt, env_.now() + 20 * kMs);
  }
}

void Node::on_raft(const Frame& f) {
  if (f.to != meta_.identity) return;
  if (!voter_) {
    if (!settings_.may_vote || meta_.voter) return;
    meta_.voter = true;
    if (!commit_meta()) {
      meta_.voter = false;
      return;
    }
    Image image;
    image.meta = meta_;
    env_.log_event("ledger-keeps", settings_.name + " becomes a voter");
    open_voter(std::move(image));
    voter_->vouch();  // its identity is new and has acknowledged nothing
  }
  voter_->receive(f.identity, raft_address(f.name, f.identity), f.body);
  update_view_from_log();
}

/// Another router asks for its rejoin check.
void Node::on_ask(const Frame& f) {
  Json voters = Json::array();
  std::uint64_t index = 0;
  if (voter_) {
    auto known = voter_->voters();
    index = known.index;
    for (std::uint64_t id : known.identities) voters.push_back(id);
  }
  reply_to(f, "mark",
           {{"own", (voter_ ? voter_->log_position() : LogPosition()).json()},
            {"yours", known_peers_[f.identity].position.json()},
            {"at", index},
            {"voters", voters},
            {"leader", leader()}});
}

void Node::on_mark(const Frame& f) {
  if (!voter_ || !f.body.contains("own") || !f.body.contains("yours")) return;
  core::ledger::RejoinCheck::Answer a{LogPosition::parse(f.body["own"]),
                                      LogPosition::parse(f.body["yours"]),
                                      {number(f.body, "at"), {}}};
  if (f.body.contains("voters") && f.body["voters"].is_array())
    for (const Json& id : f.body["voters"])
      if (id.is_number_unsigned()) a.voters.identities.insert(id.get<std::uint64_t>());
  if (leader_.empty()) leader_ = text(f.body, "leader");
  voter_->add_answer(f.identity, a);
}

void Node::on_hello(const Frame& f) {
  if (!voter_ || !voter_->is_leader()) return reply_to(f, "hint", {{"leader", leader()}});
  auto members = voter_->members();
  bool member = std::any_of(members.begin(), members.end(),
                            [&](const RaftMember& m) { return m.identity == f.identity; });
  if (member) return;
  // A former member that was removed returns with its old identity: its disk is intact, and an
  // identity must not be revoked by others, since a leader with an older log could still add it.
  if (hellos_.size() >= kMaxHellos && !hellos_.count(f.name)) return;
  Hello& hello = hellos_[f.name];
  if (hello.candidate.identity != f.identity) hello = {};
  hello.candidate = {f.identity, f.name, zone_of(f.name)};
  hello.last_heard = env_.now();
  if (hello.first_heard == 0) hello.first_heard = hello.last_heard;
}

void Node::on_call(const Frame& f) {
  auto call = f.body.contains("call") ? Call::parse(f.body["call"]) : std::nullopt;
  std::uint64_t id = number(f.body, "id");
  if (!call) return;
  if (!voter_ || (!voter_->is_leader() && !mutant(Mutant::kReadsOwnState)))
    return reply_to(f, "hint", {{"leader", leader()}});
  std::string name = f.name;
  voter_->submit(*call, [this, name, id](std::optional<Outcome> outcome) {
    if (outcome)
      send(name, "answer",
           {{"id", id}, {"outcome", outcome->json()}, {"at", voter_->view().position().at}});
  });
  update_view_from_log();
}

void Node::on_answer(const Frame& f) {
  auto outcome = f.body.contains("outcome") ? Outcome::parse(f.body["outcome"]) : std::nullopt;
  if (outcome) set_outcome(number(f.body, "id"), *outcome, number(f.body, "at"));
}

// ---- operators' tools, which have no name ----

Json Node::create_group() {
  if (meta_.group != 0)
    return {{"error", "there already is a group, with epoch " + std::to_string(meta_.epoch)}};
  meta_.group = env_.random() | 1;
  meta_.epoch = 1;
  meta_.voter = true;
  auto alone =
      write_members({{meta_.identity, raft_address(settings_.name, meta_.identity), RAFT_VOTER}});
  if (!commit_meta({Op::with_number(Op::Kind::kTerm, 1), Op::append({1, 1, RAFT_CHANGE, alone})})) {
    meta_.group = meta_.epoch = 0;
    meta_.voter = false;
    return {{"error", "the ledger's files can't be written"}};
  }
  Image image;
  std::string error;
  if (storage_.load(image, error) != LoadResult::kOk) return {{"error", error}};
  open_voter(std::move(image));
  voter_->vouch();
  return {{"group", meta_.group}};
}

void Node::on_client(const Frame& f) {
  std::uint64_t link = f.link, id = number(f.body, "id");
  if (f.kind == "status") return reply_to(f, "status", status());
  if (f.kind == "found") return reply_to(f, "found", create_group());
  if (f.kind == "vouch") {
    if (voter_) voter_->vouch();
    return reply_to(f, "vouch", status());
  }
  if (f.kind == "may-stop") {
    std::vector<std::string> names;
    if (f.body.contains("names") && f.body["names"].is_array())
      for (const Json& n : f.body["names"])
        if (n.is_string()) names.push_back(n);
    if (!voter_ || !voter_->is_leader()) return reply_to(f, "hint", {{"leader", leader()}});
    return reply_to(f, "may-stop", {{"may", core::ledger::may_stop(members(), names)}});
  }
  if (f.kind == "move") return reply_to(f, "move", move(f.body));
  if (f.kind == "view") {
    // The view that this router acts on, with its age.
    Json values = Json::object();
    for (const auto& [name, v] : view_.state().values())
      values[name] = {{"text", v.text}, {"version", v.version}, {"by", v.by}};
    return reply_to(f, "view",
                    {{"at", view_.position().json()}, {"age", age()}, {"values", values}});
  }
  if (f.kind != "call" || !f.body.contains("call")) return;
  auto call = Call::parse(f.body["call"]);
  if (!call || pending_.size() >= kMaxCalls)
    return reply_to(f, "failure", {{"id", id}, {"why", call ? "too many calls" : "bad call"}});
  std::uint64_t own = next_id_++;
  Micros now = env_.now();
  pending_[own] = {*call,
                   [this, link, id](std::optional<Outcome> outcome, const std::string& why) {
                     Json body{{"id", id}};
                     if (outcome)
                       body["outcome"] = outcome->json();
                     else
                       body["why"] = why;
                     env_.reply(link, frame(outcome ? "answer" : "failure", body));
                   },
                   now + kCallTimeout,
                   now,
                   {},
                   {},
                   0};
  process_calls();
}

Json Node::status() {
  Json members = Json::array();
  if (voter_)
    for (const RaftMember& m : voter_->members())
      members.push_back({{"name", name_in(m.address)},
                         {"identity", std::to_string(m.identity)},
                         {"hall", zone_of(name_in(m.address))},
                         {"votes", m.role == RAFT_VOTER}});
  std::string stage = "follows";
  if (!open_) stage = "disk-failed";
  if (voter_) {
    constexpr const char* kStages[] = {"asks", "keeps", "old-disk", "disk-failed", "opens-again"};
    stage = voter_->is_leader() ? "leads" : kStages[static_cast<int>(voter_->stage())];
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
           {"disk_us", storage_.mean_commit_us()},
           {"members", members},
           {"followers", followers_.size()}};
  out.update(extra_status_);
  if (settings_.summary_holders > 0) out["witness"] = summaries_.stored(env_.now());
  if (voter_) {
    const LogPosition& m = voter_->log_position();
    out["log"] = {{"term", m.term}, {"last", m.last_index}};
    if (voter_->stage() == Voter::Stage::kRejoinCheck)
      out["asks"] = {{"answered", voter_->rejoin_check().answered()},
                     {"needed", voter_->rejoin_check().needed()}};
  }
  return out;
}

// ---- the view ----

bool Node::hears_leader() const {
  return voter_ && voter_->stage() == Voter::Stage::kRunning &&
         voter_->last_leader_contact() != 0 &&
         env_.now() - voter_->last_leader_contact() < kLeaderTimeout;
}

Micros Node::age() const { return fresh_at_ < 0 ? -1 : env_.now() - fresh_at_; }

bool Node::recent() const { return fresh_at_ >= 0 && age() < kMaxViewAge; }

/// A voter's own log takes precedence over updates from others.
void Node::update_view_from_log() {
  if (!voter_ || voter_->stage() != Voter::Stage::kRunning) return;
  const View& own = voter_->view();
  if (view_.position().before(own.position())) apply_view_update(own.since(view_.position()));
  if (hears_leader() && !own.position().before(view_.position()))
    fresh_at_ = std::max(fresh_at_, voter_->last_leader_contact());
}

/// Applies an update, first to the disk and then to the visible view: a view that others have seen
/// must survive a restart. False if the view did not change.
bool Node::apply_view_update(const View::Update& update) {
  View next = view_;
  auto taken = next.apply_update(update);
  if (taken == View::UpdateResult::kMismatch) full_state_needed_ = true;
  if (taken != View::UpdateResult::kApplied) return false;
  if (!storage_.commit({Op::view(next.state().snapshot())})) {
    env_.log_event("ledger-disk-failed",
                   "the ledger's files can't be written; this router keeps its current view");
    return false;
  }
  view_ = std::move(next);
  full_state_needed_ = false;
  env_.on_view(view_);
  for (const auto& [name, follower] : followers_) feed(name, follower.at);
  process_calls();
  return true;
}

void Node::feed(const std::string& name, const Position& at) {
  auto update = view_.since(at);
  followers_[name].at = update.to;
  send(name, "feed",
       {{"update", update.json()},
        {"fresh", fresh_at_ >= 0},
        {"age", static_cast<std::uint64_t>(std::max<Micros>(age(), 0))},
        {"leader", leader()}});
}

void Node::on_follow(const Frame& f) {
  if (!f.body.contains("at") || meta_.group == 0) return;
  if (followers_.size() >= settings_.followers && !followers_.count(f.name)) {
    Json names = Json::array();
    for (const auto& [name, follower] : followers_)
      if (names.size() < kMaxNames && env_.random() % followers_.size() < kMaxNames)
        names.push_back(name);
    return send(f.name, "feed", {{"full", names}, {"leader", leader()}});
  }
  followers_[f.name].last_heard = env_.now();
  feed(f.name, Position::parse(f.body["at"]));
}

void Node::on_feed(const Frame& f) {
  std::string said = text(f.body, "leader");
  if (!said.empty() && !(voter_ && voter_->is_leader())) leader_ = said;
  if (f.name != parent_) return;
  if (f.body.contains("full")) {
    // One of the followers that it named has room, or names others.
    const Json& names = f.body["full"];
    parent_.clear();
    if (names.is_array() && !names.empty() && names[env_.random() % names.size()].is_string()) {
      std::string next = names[env_.random() % names.size()];
      if (settings_.peers.count(next)) parent_ = next;
    }
    parent_alive_at_ = env_.now();
    next_follow_ = env_.now() + static_cast<Micros>(env_.random() % (200 * kMs));
    return;
  }
  if (!f.body.contains("update")) return;
  auto update = View::Update::parse(f.body["update"]);
  if (!update) return;
  bool newer = apply_view_update(*update);
  if (view_.position() == update->to && flag(f.body, "fresh"))
    fresh_at_ = std::max(fresh_at_, env_.now() - static_cast<Micros>(number(f.body, "age")));
  // Two routers that follow each other while cut off from the rest would agree forever. So a parent
  // counts as alive only if its view is recent or newer than this one.
  if (newer || recent()) parent_alive_at_ = env_.now();
  // There is more than one update to fetch, or the update did not start at this position.
  if ((newer && view_.position().before(update->to)) ||
      update->calls.size() == View::kMaxCallsPerUpdate || full_state_needed_)
    next_follow_ = env_.now();
}

void Node::follow() {
  Micros now = env_.now();
  if (hears_leader() || now < next_follow_) return;
  next_follow_ = now + kFollowInterval + static_cast<Micros>(env_.random() % (kFollowInterval / 2));
  if (parent_.empty() || now - parent_alive_at_ > kParentTimeout) {
    parent_ =
        parent_.empty() && !leader_.empty() && leader_ != settings_.name && env_.random() % 4 == 0
            ? leader_
            : random_peer();
    parent_alive_at_ = now;
  }
  Position at = full_state_needed_ ? Position() : view_.position();
  send(parent_, "follow", {{"at", at.json()}});
}

/// Sends this router's summary to others, in case it is lost with its disk.
void Node::replicate_summary() {
  if (settings_.summary_holders == 0 || meta_.group == 0) return;
  auto targets = summaries_.next_targets(env_.now());
  if (targets.empty()) return;
  // The boot count keeps numbers above those from before a restart, which are not stored.
  Json body{{"number", meta_.boot << 32 | ++summary_number_}, {"said", extra_status_}};
  body["said"]["age_us"] = age();
  for (const std::string& name : targets) send(name, "summary", body);
}

void Node::on_summary(const Frame& f) {
  if (settings_.summary_holders == 0 || !f.body.contains("said") || !f.body["said"].is_object() ||
      !f.body.contains("number") || !f.body["number"].is_number_unsigned())
    return;
  if (summaries_.store(f.name, f.identity, f.body["number"], f.body["said"], env_.now()))
    reply_to(f, "summary-held", Json::object());
}

std::string Node::random_peer() const {
  if (settings_.peers.empty()) return {};
  auto it = settings_.peers.begin();
  std::advance(it, static_cast<long>(env_.random() % settings_.peers.size()));
  return it->first;
}

std::string Node::leader() {
  if (voter_ && voter_->stage() == Voter::Stage::kRunning) {
    std::string own = voter_->leader();
    if (!own.empty()) return own;
  }
  return leader_ == settings_.name ? std::string() : leader_;
}

std::string Node::zone_of(const std::string& name) const {
  if (name == settings_.name) return settings_.zone;
  auto it = settings_.peers.find(name);
  return it == settings_.peers.end() ? std::string() : it->second;
}

// ---- time ----

void Node::tick() {
  Micros now = env_.now();
  // Members can't be considered silent during a stall of this process.
  if (now - last_tick_ > kMaxTickGap && leading_since_ != 0) leading_since_ = now;
  last_tick_ = now;
  if (!open_) {
    if (now >= reopen_at_) {
      reopen_at_ = now + kReopenDelay;
      open();
    }
    process_calls();
    return;
  }
  if (voter_) {
    voter_->tick();
    if (voter_->stage() == Voter::Stage::kStaleDisk) {
      start_with_new_identity("the disk is an old copy");
    } else if (voter_->stage() == Voter::Stage::kReopen) {
      env_.log_event("ledger-again", "dropped an uncommitted membership change of a former leader");
      close_voter();
      open();
    } else if (voter_->stage() == Voter::Stage::kFailed) {
      env_.log_event("ledger-disk-failed", "the ledger's files failed; reopening in a second");
      close_voter();
      open_ = false;
      reopen_at_ = now + kReopenDelay;
    }
  }
  if (!open_) return;
  update_view_from_log();
  ask();
  follow();
  reconfigure();
  process_calls();
  replicate_summary();
  for (auto it = followers_.begin(); it != followers_.end();)
    it = now - it->second.last_heard > kFollowerTimeout ? followers_.erase(it) : std::next(it);
}

void Node::ask() {
  Micros now = env_.now();
  if (voter_ && voter_->stage() == Voter::Stage::kRejoinCheck && now >= next_ask_) {
    next_ask_ = now + kAskInterval;
    std::set<std::string> targets{leader()};
    for (const RaftMember& m : voter_->members()) targets.insert(name_in(m.address));
    // Ask some other routers too: the disk may list no current voter.
    for (std::size_t i = 0; i < kExtraAskTargets; ++i) targets.insert(random_peer());
    for (const std::string& name : targets) send(name, "ask", Json::object());
  }
  if (!settings_.may_vote || now < next_hello_ || meta_.group == 0) return;
  next_hello_ = now + kHelloInterval + static_cast<Micros>(env_.random() % kHelloInterval);
  if (hears_leader() && voter_->votes()) return;
  std::string to = leader();
  if (to.empty() || env_.random() % 4 == 0) to = random_peer();
  send(to, "hello", Json::object());
}

std::vector<core::ledger::Member> Node::members() {
  Micros now = env_.now();
  std::vector<core::ledger::Member> members;
  for (const RaftMember& m : voter_->members()) {
    auto known = known_peers_.find(m.identity);
    Micros heard =
        std::max(known == known_peers_.end() ? 0 : known->second.last_heard, leading_since_);
    bool unreachable = m.identity != meta_.identity && now - heard > settings_.replace_after;
    std::string name = name_in(m.address);
    members.push_back({m.identity, name, zone_of(name), m.role == RAFT_VOTER, unreachable});
  }
  return members;
}

void Node::reconfigure() {
  Micros now = env_.now();
  if (!voter_ || !voter_->is_leader()) {
    leading_since_ = 0;
    return;
  }
  if (leading_since_ == 0) {
    leading_since_ = now;
    hellos_.clear();  // those sent to an earlier leader may be outdated
  }
  if (now < next_reconfigure_ || voter_->changing()) return;
  next_reconfigure_ = now + kReconfigureInterval;
  if (now > move_deadline_) move_.reset();
  if (transfer_from_slow_disk()) return;
  std::vector<core::ledger::Candidate> candidates;
  auto all = members();
  for (auto it = hellos_.begin(); it != hellos_.end();) {
    if (now - it->second.last_heard > kHelloTimeout) {
      it = hellos_.erase(it);
      continue;
    }
    // A hello with a member's name and another identity counts only if it has been repeated for a
    // while and the member is silent. A single delayed hello is not enough.
    const Hello& h = it->second;
    bool unconfirmed = std::any_of(all.begin(), all.end(), [&](const auto& m) {
      if (m.name != h.candidate.name) return false;
      auto known = known_peers_.find(m.identity);
      bool silent = known == known_peers_.end() || now - known->second.last_heard > kSilenceTimeout;
      return !silent || now - h.first_heard < kSilenceTimeout;
    });
    if (!unconfirmed) candidates.push_back(h.candidate);
    ++it;
  }
  if (auto change =
          core::ledger::next_change(meta_.identity, settings_.voters, all, candidates, move_)) {
    env_.log_event(
        "ledger-members",
        std::string(change->kind == core::ledger::MembershipChange::Kind::kAdd      ? "adds "
                    : change->kind == core::ledger::MembershipChange::Kind::kRemove ? "removes "
                                                                                    : "promotes ") +
            change->name + "#" + std::to_string(change->identity));
    voter_->apply_change(*change);
    if (change->kind == core::ledger::MembershipChange::Kind::kAdd) hellos_.erase(change->name);
  }
}

/// A leader with a slow disk delays every commit. Transfers leadership to a voter with a much
/// faster disk that has nearly caught up, if there is one.
bool Node::transfer_from_slow_disk() {
  Micros now = env_.now();
  if (storage_.mean_commit_us() < kSlowCommit ||
      (slow_disk_transfer_at_ != 0 && now - slow_disk_transfer_at_ < kSlowDiskTransferInterval))
    return false;
  std::uint64_t to = 0;
  Micros best = storage_.mean_commit_us() / 4;
  for (const RaftMember& m : voter_->members()) {
    auto known = known_peers_.find(m.identity);
    if (m.identity == meta_.identity || m.role != RAFT_VOTER || known == known_peers_.end())
      continue;
    const KnownPeer& k = known->second;
    if (now - k.last_heard > kSilenceTimeout || k.commit_us >= best ||
        k.position.last_index + kMaxLagEntries < voter_->log_position().last_index)
      continue;
    to = m.identity;
    best = k.commit_us;
  }
  if (to == 0) return false;
  slow_disk_transfer_at_ = now;
  env_.log_event("ledger-slow-disk", "a commit takes " +
                                         std::to_string(storage_.mean_commit_us() / 1000) +
                                         " ms; transferring leadership");
  voter_->transfer_leadership(to);
  return true;
}

/// Handles an operator's request to replace one voter by another router.
Json Node::move(const Json& body) {
  std::string from = text(body, "from"), to = text(body, "to");
  if (!voter_ || !voter_->is_leader()) return {{"leader", leader()}};
  auto all = members();
  if (move_ &&
      std::any_of(all.begin(), all.end(), [&](const auto& m) { return m.name == move_->from; }))
    return {{"error", "a move is in progress: " + move_->from + " to " + move_->to}};
  auto hello = hellos_.find(to);
  auto candidate = hello == hellos_.end() ? std::nullopt : std::optional(hello->second.candidate);
  std::string why = core::ledger::move_error({from, to}, settings_.voters, all, candidate);
  if (!why.empty()) return {{"error", why}};
  if (!candidate) return {{"again", "'" + to + "' has not offered recently to become a voter"}};
  if (from == settings_.name) {
    voter_->transfer_leadership();
    return {{"again", "it is the leader and hands over leadership first"}};
  }
  move_ = core::ledger::Move{from, to};
  move_deadline_ = env_.now() + kMoveTimeout;
  return {{"moving", from + " to " + to}};
}

void Node::transfer_leadership() {
  if (voter_) voter_->transfer_leadership();
}

// ---- calls ----

void Node::call(Call call, Done done) {
  if (queue_.size() + pending_.size() >= kMaxCalls) return done(std::nullopt, "too many calls");
  queue_.emplace_back(std::move(call), std::move(done));
  process_calls();
}

void Node::process_calls() {
  Micros now = env_.now();
  while (!own_pending_ && !queue_.empty()) {
    auto [call, done] = std::move(queue_.front());
    queue_.pop_front();
    call.caller = caller_;
    call.number = ++last_call_number_;
    call.known = position_at_start_;
    own_pending_ = next_id_++;
    pending_[own_pending_] = {std::move(call), std::move(done), now + kCallTimeout, now, {}, {}, 0};
  }
  std::vector<std::uint64_t> expired, ready, visible;
  for (auto& [id, p] : pending_) {
    if (p.outcome && (now >= p.deadline || view_.position().at >= p.committed_at))
      visible.push_back(id);
    else if (now >= p.deadline)
      expired.push_back(id);
    else if (now >= p.next_attempt && !p.outcome)
      ready.push_back(id);
  }
  for (std::uint64_t id : visible)
    if (auto it = pending_.find(id); it != pending_.end()) finish(id, it->second.outcome, "");
  for (std::uint64_t id : expired)
    finish(id, std::nullopt,
           "no answer from a majority of the ledger's voters; whether it took effect is unknown");
  for (std::uint64_t id : ready)
    if (auto it = pending_.find(id); it != pending_.end()) send_call(id, it->second);
}

void Node::send_call(std::uint64_t id, Pending& p) {
  p.next_attempt = env_.now() + kCallRetryInterval;
  if (!open_) return;
  if (voter_ && (voter_->is_leader() ||
                 (mutant(Mutant::kReadsOwnState) && p.call.kind == Call::Kind::kGet))) {
    p.target = settings_.name;
    Call call = p.call;
    voter_->submit(call, [this, id](std::optional<Outcome> outcome) {
      if (outcome) set_outcome(id, *outcome, voter_->view().position().at);
    });
    return update_view_from_log();
  }
  std::string to = leader();
  // A leader that did not answer may have lost leadership.
  if (to.empty() || (to == p.target && env_.random() % 2 == 0)) to = random_peer();
  p.target = to;
  send(to, "call", {{"id", id}, {"call", p.call.json()}});
}

/// Stores the outcome of a call. It is reported once this router's view includes it.
void Node::set_outcome(std::uint64_t id, const Outcome& outcome, std::uint64_t at) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  it->second.outcome = outcome;
  it->second.committed_at = at;
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
