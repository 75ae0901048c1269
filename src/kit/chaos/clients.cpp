#include "clients.hpp"

#include "daemon/ledger/client.hpp"

namespace violetusher::chaos {
namespace {

constexpr Micros kMs = 1000;

Operation::Roll roll_of(const core::ledger::Plan& plan) {
  return {plan.share, plan.next.value_or(kOwn), plan.previous.value_or(kOwn)};
}

std::string name_of(std::uint64_t n) { return "value/" + std::to_string(n); }

}  // namespace

Clients::Clients(Outside& outside, const Schedule& schedule, History& history)
    : outside_(outside), schedule_(schedule), history_(history) {}

void Clients::start() {
  for (int c = 0; c < schedule_.clients + schedule_.operators; ++c) {
    clients_.push_back({});
    clients_.back().caller = outside_.random() | 1;
    clients_.back().operates = c >= schedule_.clients;
    outside_.after(c * 13 * kMs, [this, c] { ask(c); });
  }
}

void Clients::read_all() {
  reading_ = true;
  for (int n = 0; n < schedule_.names; ++n)
    to_read_.push_back(name_of(static_cast<std::uint64_t>(n)));
  if (schedule_.operators > 0) to_read_.push_back(kRolled);
  ask(0);
}

void Clients::ask(int number) {
  Client& c = at(number);
  Operation op;
  op.client = number;
  if (stopped_) {
    if (!reading_ || number != 0 || c.waiting || to_read_.empty()) return;
    op.name = to_read_.back();
    return issue(number, op);
  }
  if (c.operates) return operate(number);
  op.name = name_of(outside_.random() % static_cast<unsigned>(schedule_.names));
  std::uint64_t what = outside_.random() % 10;
  op.kind = what < 4   ? Operation::Kind::kGet
            : what < 9 ? Operation::Kind::kPut
                       : Operation::Kind::kErase;
  if (op.kind == Operation::Kind::kPut)
    op.text = "c" + std::to_string(number) + "." + std::to_string(++c.writes);
  if (op.kind != Operation::Kind::kGet && outside_.random() % 3 == 0)
    op.expect = static_cast<std::int64_t>(c.versions[op.name]);
  issue(number, op);
}

/// Reads where a roll-out stands, and moves it on from there.
void Clients::operate(int number) {
  Client& c = at(number);
  Operation op;
  op.client = number;
  op.name = kRolled;
  if (!c.read_version) return issue(number, op);
  auto stands = static_cast<std::int64_t>(*c.read_version);
  c.read_version.reset();
  std::uint64_t what = outside_.random() % 10;
  auto share = [&](unsigned from) {
    return from + 1 + static_cast<unsigned>(outside_.random() % (100 - from));
  };
  core::ledger::Proposal p;
  if (c.plan && c.plan->in_progress() && what < 6) {
    p = core::ledger::widen(c.plan, what < 3 ? 100 : share(c.plan->share));
  } else if (c.plan && what < 8) {
    p = core::ledger::roll_back(c.plan);
  } else {
    std::string text = "limit t" + std::to_string(number) + "-" + std::to_string(++c.writes) +
                       " { in_flight = 100000; }";
    if (outside_.random() % 6 == 0) text = kBad + text;
    p = core::ledger::start_rollout(c.plan, text, share(0));
  }
  if (!p.plan) return issue(number, op);
  p.plan->nonce = outside_.random();
  op.kind = Operation::Kind::kPut;
  op.text = p.plan->bytes();
  op.roll = roll_of(*p.plan);
  op.expect = stands;
  issue(number, op);
}

void Clients::issue(int number, Operation op) {
  Client& c = at(number);
  op.asked = outside_.now();
  c.op = op;
  c.call = {static_cast<core::ledger::Call::Kind>(op.kind),
            op.name,
            op.text,
            op.expect,
            "client",
            c.caller,
            ++c.number,
            0};
  c.tries = 0;
  try_once(number);
}

void Clients::try_once(int number) {
  Client& c = at(number);
  std::uint64_t wait = c.waiting = ++waits_;
  ++c.tries;
  auto router = outside_.random() % static_cast<unsigned>(schedule_.routers);
  outside_.send(number, static_cast<int>(router), "call", {{"id", wait}, {"call", c.call.json()}});
  outside_.after(kGivesUp, [this, number, wait] { gone_by(number, wait); });
}

void Clients::gone_by(int number, std::uint64_t wait) {
  Client& c = at(number);
  if (c.waiting != wait) return;
  // The same call again, at another router: once is enough.
  if (c.tries < kTries) return try_once(number);
  end(number, Operation::End::kUnknown);
}

void Clients::answered(int number, const std::string& frame) {
  if (number < 0 || number >= static_cast<int>(clients_.size())) return;
  Client& c = at(number);
  auto answer = ledger::read_answer(frame);
  if (!answer || !answer->body.contains("id") || answer->body["id"] != c.waiting) return;
  if (answer->kind == "failure") {
    std::uint64_t wait = c.waiting;
    outside_.after(50 * kMs, [this, number, wait] { gone_by(number, wait); });
    return;
  }
  if (!answer->body.contains("outcome")) return;
  auto outcome = core::ledger::Outcome::parse(answer->body["outcome"]);
  if (!outcome) return;
  using Status = core::ledger::Outcome::Status;
  c.op.version = outcome->version;
  if (c.op.kind == Operation::Kind::kGet) c.op.text = outcome->text;
  if (c.op.kind == Operation::Kind::kGet && c.op.name == kRolled) {
    c.plan = core::ledger::Plan::parse(outcome->text);
    if (c.plan) c.op.roll = roll_of(*c.plan);
    c.read_version = outcome->version;
  }
  if (outcome->status == Status::kDone || outcome->status == Status::kConflict)
    c.versions[c.op.name] = outcome->version;
  end(number, outcome->status == Status::kDone        ? Operation::End::kDone
              : outcome->status == Status::kConflict  ? Operation::End::kConflict
              : outcome->status == Status::kForgotten ? Operation::End::kUnknown
                                                      : Operation::End::kRefused);
}

void Clients::end(int number, Operation::End how) {
  Client& c = at(number);
  c.waiting = 0;
  c.op.answered = outside_.now();
  c.op.end = how;
  history_.operations.push_back(c.op);
  if (reading_ && number == 0 && how == Operation::End::kDone && !to_read_.empty() &&
      c.op.name == to_read_.back())
    to_read_.pop_back();
  auto pause = static_cast<Micros>(outside_.random() % static_cast<unsigned>(120 * kMs));
  if (c.operates) pause += 300 * kMs;
  outside_.after(pause, [this, number] { ask(number); });
}

}  // namespace violetusher::chaos
