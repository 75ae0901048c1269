#include "voter.hpp"

#include <algorithm>
#include <cstring>

#include "core/ledger/mutants.hpp"

namespace violetusher::ledger {
namespace {

using core::ledger::mutant;
using core::ledger::Mutant;

constexpr Micros kMaxTickGap = 100'000;  // a longer gap between ticks counts as this

LogPosition end_of_log(const Image& image) {
  LogPosition m{image.term, 0, 0};
  if (image.snapshot) m = {image.term, image.snapshot->term, image.snapshot->index};
  if (!image.log.empty()) m.raise({0, image.log.back().term, image.log.back().index});
  return m;
}

core::ledger::RejoinCheck::Voters voters_in(const Members& members) {
  core::ledger::RejoinCheck::Voters out{members.index, {}};
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
  Voter* voter = nullptr;
  Done done;
};

struct Voter::Change {
  raft_change change{};
  Voter* voter = nullptr;
};

Voter::Voter(Storage& storage, Image&& image, const std::string& name, const Timing& timing,
             std::size_t target_voters, std::size_t routers, RaftPort::Environment env)
    : storage_(storage),
      image_(std::move(image)),
      name_(name),
      address_(raft_address(name, image_.meta.identity)),
      timing_(timing),
      env_(std::move(env)),
      identity_(image_.meta.identity),
      initial_position_(end_of_log(image_)),
      initial_members_(members_of(image_)),
      rejoin_check_(identity_, initial_position_, voters_in(initial_members_), target_voters,
                    routers),
      last_tick_(env_.now()) {
  view_.raise_epoch(image_.meta.epoch);
  check_verdict();
}

Voter::~Voter() {
  if (port_) raft_close(&raft_, nullptr);
}

void Voter::add_answer(std::uint64_t from, const core::ledger::RejoinCheck::Answer& answer) {
  if (stage_ != Stage::kRejoinCheck) return;
  rejoin_check_.add_answer(from, answer);
  check_verdict();
}

void Voter::vouch() {
  rejoin_check_.vouch();
  check_verdict();
}

void Voter::check_verdict() {
  if (stage_ != Stage::kRejoinCheck) return;
  switch (rejoin_check_.verdict()) {
    case core::ledger::RejoinCheck::Verdict::kWait:
      return;
    case core::ledger::RejoinCheck::Verdict::kStaleDisk:
      stage_ = Stage::kStaleDisk;
      return;
    case core::ledger::RejoinCheck::Verdict::kCleared:
      stage_ = start_raft() ? Stage::kRunning : Stage::kFailed;
      return;
  }
}

bool Voter::start_raft() {
  const LogPosition& floor = rejoin_check_.floor();
  // It may have voted in any term up to the highest one known, so it must not vote in that term
  // again.
  std::vector<Op> ops;
  if (floor.term > image_.term) ops.push_back(Op::with_number(Op::Kind::kTerm, floor.term));
  if (floor.term > 0 && (floor.term > image_.term || image_.vote == 0) &&
      rejoin_check_.answered() > 0 && !mutant(Mutant::kVoteForgotten))
    ops.push_back(Op::with_number(Op::Kind::kVote, identity_));
  if (!ops.empty() && !storage_.commit(ops)) return false;
  apply_ops(image_, ops);
  std::uint64_t epoch = image_.meta.epoch;
  env_.members_index = [this] { return voters().index; };
  port_ = std::make_unique<RaftPort>(storage_, std::move(image_), floor, env_);
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
  raft_set_election_timeout(&raft_, static_cast<unsigned>(timing_.election / 1000));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(timing_.heartbeat / 1000));
  raft_set_install_snapshot_timeout(&raft_, static_cast<unsigned>(4 * timing_.election / 1000));
  raft_set_snapshot_threshold(&raft_, timing_.snapshot_entries);
  raft_set_snapshot_trailing(&raft_, timing_.snapshot_trailing);
  raft_set_pre_vote(&raft_, true);
  if (raft_start(&raft_) != 0) return false;
  view_.raise_epoch(epoch);
  flush();
  return stage_ != Stage::kFailed && stage_ != Stage::kReopen;
}

void Voter::flush() {
  if (port_ && !port_->flush()) stage_ = port_->reopen_needed() ? Stage::kReopen : Stage::kFailed;
  // Raft has stopped on an internal error; the disk is unchanged.
  if (stage_ == Stage::kRunning && raft_.state == RAFT_UNAVAILABLE) stage_ = Stage::kFailed;
}

void Voter::tick() {
  // After a clock jump or a stall of the process no answers had time to arrive.
  running_time_ += std::clamp<Micros>(env_.now() - last_tick_, 0, kMaxTickGap);
  last_tick_ = env_.now();
  bool disk_trusted = running_time_ > timing_.trust_after;
  if (stage_ == Stage::kRejoinCheck && disk_trusted) vouch();
  if (stage_ != Stage::kRunning) return;
  // The floor may come from uncommitted entries of a member that has since been lost with its disk;
  // then no member could ever reach it.
  if (disk_trusted) port_->clear_floor();
  port_->tick();
  flush();
  if (is_leader()) last_leader_contact_ = env_.now();
}

void Voter::receive(std::uint64_t from, const std::string& address, const Json& message) {
  if (stage_ != Stage::kRunning) return;
  port_->receive(from, address, message);
  flush();
  if (raft_.state == RAFT_FOLLOWER && raft_.follower_state.current_leader.id == from)
    last_leader_contact_ = env_.now();
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
  flush();
}

std::string Voter::leader() {
  if (stage_ != Stage::kRunning) return {};
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&raft_, &id, &address);
  return id && address ? name_in(address) : std::string();
}

std::vector<RaftMember> Voter::members() const {
  if (!port_) return initial_members_.list;
  std::vector<RaftMember> members;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const raft_server& s = raft_.configuration.servers[i];
    members.push_back({s.id, s.address, s.role});
  }
  return members;
}

core::ledger::RejoinCheck::Voters Voter::voters() const {
  if (!port_) return voters_in(initial_members_);
  std::uint64_t index = raft_.configuration_uncommitted_index;
  return voters_in({index ? index : raft_.configuration_index, members()});
}

bool Voter::votes() const {
  auto all = members();
  return std::any_of(all.begin(), all.end(), [this](const RaftMember& m) {
    return m.identity == identity_ && m.role == RAFT_VOTER;
  });
}

void Voter::apply_change(const core::ledger::MembershipChange& membership_change) {
  if (!is_leader() || changing()) return;
  auto* change = new Change{{}, this};
  change->change.data = change;
  auto finish = [](raft_change* c, int) {
    std::unique_ptr<Change> done(static_cast<Change*>(c->data));
    done->voter->changing_ = false;
  };
  changing_ = true;
  int status = 0;
  using Kind = core::ledger::MembershipChange::Kind;
  if (membership_change.kind == Kind::kAdd)
    status =
        raft_add(&raft_, &change->change, membership_change.identity,
                 raft_address(membership_change.name, membership_change.identity).c_str(), finish);
  else if (membership_change.kind == Kind::kPromote)
    status = raft_assign(&raft_, &change->change, membership_change.identity, RAFT_VOTER, finish);
  else
    status = raft_remove(&raft_, &change->change, membership_change.identity, finish);
  if (status != 0) {
    delete change;
    changing_ = false;
  }
  flush();
}

void Voter::transfer_leadership(std::uint64_t to) {
  if (!is_leader() || transferring_) return;
  transfer_.data = this;
  transferring_ = raft_transfer(&raft_, &transfer_, to, [](struct raft_transfer* t) {
                    static_cast<Voter*>(t->data)->transferring_ = false;
                  }) == 0;
  flush();
}

}  // namespace violetusher::ledger
