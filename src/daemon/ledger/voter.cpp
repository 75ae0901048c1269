#include "voter.hpp"

#include <algorithm>
#include <cstring>

#include "core/ledger/mutants.hpp"

namespace violetusher::ledger {
namespace {

using core::ledger::mutant;
using core::ledger::Mutant;

constexpr Micros kMostTick = 100'000;  // from one tick to the next, of time that it was awake

LogPosition mark_of(const Image& image) {
  LogPosition m{image.term, 0, 0};
  if (image.snapshot) m = {image.term, image.snapshot->term, image.snapshot->index};
  if (!image.log.empty()) m.raise({0, image.log.back().term, image.log.back().index});
  return m;
}

core::ledger::Probation::Voters voters_in(const Members& members) {
  core::ledger::Probation::Voters out{members.index, {}};
  for (const RaftMember& m : members.list)
    if (m.role == RAFT_VOTER) out.identities.insert(m.identity);
  return out;
}

}  // namespace

std::string raft_address(const std::string& name, std::uint64_t identity) {
  return name + "#" + std::to_string(identity);
}

std::string name_in(const std::string& address) { return address.substr(0, address.rfind('#')); }

struct Voter::Request {
  struct raft_apply apply {};
  Voter* keeper = nullptr;
  Done done;
};

struct Voter::Change {
  raft_change change{};
  Voter* keeper = nullptr;
};

Voter::Voter(Storage& storage, Image&& image, const std::string& name, const Timing& timing,
             std::size_t wanted, std::size_t routers, RaftPort::Environment outside)
    : storage_(storage),
      image_(std::move(image)),
      name_(name),
      address_(raft_address(name, image_.meta.identity)),
      pace_(timing),
      outside_(std::move(outside)),
      identity_(image_.meta.identity),
      own_(mark_of(image_)),
      first_members_(members_of(image_)),
      probation_(identity_, own_, voters_in(first_members_), wanted, routers),
      last_tick_(outside_.now()) {
  view_.raise(image_.meta.epoch);
  look();
}

Voter::~Voter() {
  if (port_) raft_close(&raft_, nullptr);
}

void Voter::heard(std::uint64_t from, const core::ledger::Probation::Answer& answer) {
  if (stage_ != Stage::kAsking) return;
  probation_.heard(from, answer);
  look();
}

void Voter::vouch() {
  probation_.vouch();
  look();
}

void Voter::look() {
  if (stage_ != Stage::kAsking) return;
  switch (probation_.verdict()) {
    case core::ledger::Probation::Verdict::kWait:
      return;
    case core::ledger::Probation::Verdict::kOldDisk:
      stage_ = Stage::kOldDisk;
      return;
    case core::ledger::Probation::Verdict::kCleared:
      stage_ = run() ? Stage::kRunning : Stage::kFailed;
      return;
  }
}

bool Voter::run() {
  const LogPosition& floor = probation_.floor();
  // It may have voted in any term up to the highest there is: in that one it does so no more.
  std::vector<Op> ops;
  if (floor.term > image_.term) ops.push_back(Op::count(Op::Kind::kTerm, floor.term));
  if (floor.term > 0 && (floor.term > image_.term || image_.vote == 0) &&
      probation_.answered() > 0 && !mutant(Mutant::kVoteForgotten))
    ops.push_back(Op::count(Op::Kind::kVote, identity_));
  if (!ops.empty() && !storage_.commit(ops)) return false;
  apply_ops(image_, ops);
  std::uint64_t epoch = image_.meta.epoch;
  outside_.members_index = [this] { return voters().index; };
  port_ = std::make_unique<RaftPort>(storage_, std::move(image_), floor, outside_);
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* buf, void** result) {
    auto& self = *static_cast<Voter*>(fsm->data);
    self.applied_ = self.view_.apply({static_cast<const char*>(buf->base), buf->len});
    *result = &self.applied_;
    return 0;
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer** bufs, unsigned* count) {
    std::string bytes = static_cast<Voter*>(fsm->data)->view_.state().snapshot();
    *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*bufs)[0] = {raft_malloc(bytes.size()), bytes.size()};
    std::memcpy((*bufs)[0].base, bytes.data(), bytes.size());
    *count = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* buf) {
    auto& view = static_cast<Voter*>(fsm->data)->view_;
    if (!view.reset({static_cast<const char*>(buf->base), buf->len})) return int{RAFT_CORRUPT};
    raft_free(buf->base);
    return 0;
  };
  if (raft_init(&raft_, port_->io(), &fsm_, identity_, address_.c_str()) != 0) {
    port_.reset();
    return false;
  }
  raft_.data = this;
  raft_set_election_timeout(&raft_, static_cast<unsigned>(pace_.election / 1000));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(pace_.heartbeat / 1000));
  raft_set_install_snapshot_timeout(&raft_, static_cast<unsigned>(4 * pace_.election / 1000));
  raft_set_snapshot_threshold(&raft_, pace_.snapshot_entries);
  raft_set_snapshot_trailing(&raft_, pace_.snapshot_trailing);
  raft_set_pre_vote(&raft_, true);
  if (raft_start(&raft_) != 0) return false;
  view_.raise(epoch);
  settle();
  return stage_ != Stage::kFailed && stage_ != Stage::kAgain;
}

void Voter::settle() {
  if (port_ && !port_->pump()) stage_ = port_->again() ? Stage::kAgain : Stage::kFailed;
  // Raft has given up on something that it can't explain; its disk is as it was.
  if (stage_ == Stage::kRunning && raft_.state == RAFT_UNAVAILABLE) stage_ = Stage::kFailed;
}

void Voter::tick() {
  // Where the clock jumps, or the process was frozen, nobody had the time to tell it anything.
  awake_ += std::clamp<Micros>(outside_.now() - last_tick_, 0, kMostTick);
  last_tick_ = outside_.now();
  bool trusted = awake_ > pace_.trust_after;
  if (stage_ == Stage::kAsking && trusted) vouch();
  if (stage_ != Stage::kRunning) return;
  // The floor may have been set by entries that were never agreed on, of one that is gone with its
  // disk since: then nobody could ever come up to it.
  if (trusted) port_->release_floor();
  port_->tick();
  settle();
  if (is_leader()) heard_leader_ = outside_.now();
}

void Voter::receive(std::uint64_t from, const std::string& address, const Json& message) {
  if (stage_ != Stage::kRunning) return;
  port_->receive(from, address, message);
  settle();
  if (raft_.state == RAFT_FOLLOWER && raft_.follower_state.current_leader.id == from)
    heard_leader_ = outside_.now();
}

void Voter::submit(const Call& call, Done done) {
  if (stage_ == Stage::kRunning && call.kind == Call::Kind::kGet &&
      mutant(Mutant::kReadsOwnState)) {
    core::ledger::State own = view_.state();
    return done(own.apply(core::ledger::to_bytes(call.json())));
  }
  if (!is_leader()) return done(std::nullopt);
  std::string bytes = core::ledger::to_bytes(call.json());
  raft_buffer buffer{raft_malloc(bytes.size()), bytes.size()};
  std::memcpy(buffer.base, bytes.data(), bytes.size());
  if (mutant(Mutant::kAnswersBeforeCommit)) {
    core::ledger::State ahead = view_.state();
    done(ahead.apply(bytes));
    done = [](auto) {};
  }
  auto* request = new Request{{}, this, std::move(done)};
  request->apply.data = request;
  auto finish = [](struct raft_apply* apply, int status, void* result) {
    std::unique_ptr<Request> r(static_cast<Request*>(apply->data));
    r->done(status == 0 ? std::optional(*static_cast<Outcome*>(result)) : std::nullopt);
  };
  if (raft_apply(&raft_, &request->apply, &buffer, 1, finish) != 0) {
    raft_free(buffer.base);
    std::unique_ptr<Request> r(request);
    r->done(std::nullopt);
  }
  settle();
}

std::string Voter::leader() {
  if (stage_ != Stage::kRunning) return {};
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&raft_, &id, &address);
  return id && address ? name_in(address) : std::string();
}

std::vector<RaftMember> Voter::members() const {
  if (!port_) return first_members_.list;
  std::vector<RaftMember> members;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const raft_server& s = raft_.configuration.servers[i];
    members.push_back({s.id, s.address, s.role});
  }
  return members;
}

core::ledger::Probation::Voters Voter::voters() const {
  if (!port_) return voters_in(first_members_);
  std::uint64_t index = raft_.configuration_uncommitted_index;
  return voters_in({index ? index : raft_.configuration_index, members()});
}

bool Voter::votes() const {
  auto all = members();
  return std::any_of(all.begin(), all.end(), [this](const RaftMember& m) {
    return m.identity == identity_ && m.role == RAFT_VOTER;
  });
}

void Voter::take_step(const core::ledger::Step& step) {
  if (!is_leader() || changing()) return;
  auto* change = new Change{{}, this};
  change->change.data = change;
  auto finish = [](raft_change* c, int) {
    std::unique_ptr<Change> done(static_cast<Change*>(c->data));
    done->keeper->changing_ = false;
  };
  changing_ = true;
  int status = 0;
  using Kind = core::ledger::Step::Kind;
  if (step.kind == Kind::kAdd)
    status = raft_add(&raft_, &change->change, step.identity,
                      raft_address(step.name, step.identity).c_str(), finish);
  else if (step.kind == Kind::kPromote)
    status = raft_assign(&raft_, &change->change, step.identity, RAFT_VOTER, finish);
  else
    status = raft_remove(&raft_, &change->change, step.identity, finish);
  if (status != 0) {
    delete change;
    changing_ = false;
  }
  settle();
}

void Voter::hand_over(std::uint64_t to) {
  if (!is_leader() || transferring_) return;
  transfer_.data = this;
  transferring_ = raft_transfer(&raft_, &transfer_, to, [](struct raft_transfer* t) {
                    static_cast<Voter*>(t->data)->transferring_ = false;
                  }) == 0;
  settle();
}

}  // namespace violetusher::ledger
