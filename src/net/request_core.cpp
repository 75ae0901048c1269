#include "request_core.hpp"

#include <algorithm>

namespace violetusher::net {
namespace {

using core::flight::Kind;

// A request that the module has left open this long after its time gets its answer all the same.
constexpr Micros kLastAnswer = 15 * kMillisecond;
// An answer later than this after the client's time is told as close to a broken rule.
constexpr Micros kLateSlack = 2 * kLastAnswer;
// Timers for each open request that may be: its own, and one for each attempt.
constexpr std::size_t kTimersEach = 8;

const Reply kFailedReply(Reply::Kind::Failed);
const Reply kBusyReply(Reply::Kind::Busy);
const Reply kBadReply(Reply::Kind::Bad);

}  // namespace

RequestCore::RequestCore(const Parts& parts, RequestTable::Bounds bounds)
    : p_(parts), table_(bounds) {}

void RequestCore::note(Kind kind, RequestId id, int attempt, std::uint32_t number,
                       std::int64_t value, std::string_view text, Why why) {
  if (p_.recorder.on()) p_.recorder.note(p_.io.now(), kind, id, attempt, number, value, text, why);
}

void RequestCore::alert(const char* what) {
  if (alert_) alert_(what);
}

// ---- clients ----

/// Takes what the settings know. A class or tenant that they don't, or a keyed write without its
/// key, means something else to a cache server or nothing, and an id that is open already would
/// make two requests' answers look alike.
RequestId RequestCore::on_command(Owed owed, Command&& command) {
  const violetusher::Settings& settings = p_.config.settings;
  const auto& classes = settings.classes;
  auto type = std::find_if(classes.begin(), classes.end(),
                           [&](const auto& c) { return c.name == command.type; });
  const auto& tenants = settings.tenants;
  bool tenant = tenants.empty() || std::any_of(tenants.begin(), tenants.end(), [&](const auto& t) {
                  return t.name == command.tenant;
                });
  RequestId id = table_.next_id();
  bool keyed = type != classes.end() && type->effect == violetusher::Effect::Keyed;
  if (type == classes.end() || !tenant || table_.knows(command.id) ||
      (keyed && command.idempotency.empty()))
    return turn_away(id, std::move(owed), command, kBadReply, Why::kBad);
  if (table_.full() ||
      p_.timers.size() > kTimersEach * table_.most())  // the module sees none of it
    return turn_away(id, std::move(owed), command, kBusyReply, Why::kTable);
  if (table_.heavy()) return turn_away(id, std::move(owed), command, kBusyReply, Why::kBytes);

  // Nobody waits longer than the class lets him, so no request is held for longer.
  Micros now = p_.io.now();
  Micros wait = std::min(static_cast<Micros>(command.wait_ms * 1000), type->deadline);
  if (command.work && *command.work > type->deadline) command.work.reset();  // no guess at all

  core::Traffic::Ticket ticket;
  std::uint32_t module = PoolSet::kWhole;
  if (traffic_) {
    core::RouteRequest request{"main", command.tenant, command.type, command.key};
    auto decision = traffic_->admit(now, request, keyed, p_.pools);
    if (!decision.admitted) {
      Reply reply = kBusyReply;
      if (settings.retry_after && decision.come_back > 0)
        reply.come_back = std::min(decision.come_back, settings.max_retry_after);
      return turn_away(id, std::move(owed), command, reply,
                       decision.ticket.route ? Why::kLimit : Why::kNoRoute);
    }
    ticket = std::move(decision.ticket);
    auto entered = p_.pools.enter(*ticket.pool, now);
    if (!entered) {
      traffic_->end(now, ticket, true);
      return turn_away(id, std::move(owed), command, kBusyReply, Why::kTable);
    }
    module = *entered;
  } else {
    p_.pools.enter_whole();
  }

  OpenRequest& open = table_.enter(id, std::move(command));
  open.owed = std::move(owed);
  ++unanswered_;
  open.deadline = now + wait;
  open.module = module;
  open.traffic = ticket.pool ? traffic_ : nullptr;
  open.ticket = std::move(ticket);
  open.untold = 1;
  note(Kind::kTaken, id, -1, 0, wait, open.command.id);
  if (open.traffic) note(Kind::kRouted, id, -1, module, 0, *open.ticket.pool);
  p_.feed.push(RequestEvent{module, id});
  return id;
}

void RequestCore::count(const std::string& type, Reply::Kind kind) {
  using End = core::ops::Figures::End;
  bool served = kind == Reply::Kind::Value || kind == Reply::Kind::Stored;
  p_.figures.count(type, served                      ? End::kSuccess
                         : kind == Reply::Kind::Busy ? End::kOverload
                                                     : End::kError);
}

/// The final answer to a request that never comes to the table.
RequestId RequestCore::turn_away(RequestId id, Owed&& owed, const Command& command,
                                 const Reply& reply, Why why) {
  note(Kind::kTaken, id, -1, 0, static_cast<std::int64_t>(command.wait_ms * 1000), command.id);
  note(Kind::kRefused, id, -1, 0, reply.come_back, {}, why);
  count(command.type, reply.kind);
  p_.clients.answer(std::move(owed), command.id, reply);
  return 0;
}

/// A client that closes has gone away (PROTOCOL), and from here its close looks like one of its
/// sending side alone. Its attempts are given up at once: where clients leave early and ask again,
/// what they left behind ran on unseen by the module and filled the servers. One that still reads
/// gets its final answer now; it hurts clients that end their sending before they have read.
void RequestCore::on_left(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (!open || open->answered()) return;
  give(*open, kFailedReply, Why::kLeft);
  tell_gone(*open);
}

void RequestCore::on_gone(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  if (!open->answered()) --unanswered_;
  open->owed.lapse();
  if (open->rest) {
    open->rest.lapse();
    Attempt& a = open->attempt(open->streaming);
    Status status = p_.servers.cancel(a.server, id, open->streaming);
    note(Kind::kCancelled, id, open->streaming, 0, static_cast<std::int64_t>(status), {},
         Why::kLeft);
    tell_outcome(*open, open->streaming, status, nullptr);
  }
  note(Kind::kGone, id);
  if (open->traffic) open->traffic->end(p_.io.now(), open->ticket, false);
  tell_gone(*open);
}

void RequestCore::tell_gone(OpenRequest& open) {
  ++open.untold;
  p_.feed.push(GoneEvent{open.module, open.id});
}

/// What every final answer does to the books, however it is given.
void RequestCore::book(OpenRequest& open, Reply::Kind kind) {
  if (open.traffic) open.traffic->end(p_.io.now(), open.ticket, kind == Reply::Kind::Busy);
  count(open.command.type, kind);
  --unanswered_;
}

/// The one final answer. Whoever comes second is stopped here.
void RequestCore::give(OpenRequest& open, const Reply& reply, Why why) {
  if (open.answered()) {
    note(Kind::kSecond, open.id, -1, 0, 0, {}, why);
    alert("second-answer");
    return;
  }
  Micros now = p_.io.now();
  bool refused = reply.kind == Reply::Kind::Busy;
  if (reply.kind == Reply::Kind::Value || reply.kind == Reply::Kind::Stored)
    note(Kind::kAnswered, open.id, -1, static_cast<std::uint32_t>(reply.value.size()));
  else
    note(refused ? Kind::kRefused : Kind::kFailed, open.id, -1, 0, reply.come_back, {}, why);
  book(open, reply.kind);
  p_.clients.answer(std::move(open.owed), open.command.id, reply);
  if (now > open.deadline + kLateSlack) {
    note(Kind::kLate, open.id, -1, 0, now - open.deadline);
    alert("late-answer");
  }
}

void RequestCore::fail_all() {
  table_.each([this](OpenRequest& open) {
    if (open.answered()) return;
    give(open, kFailedReply, Why::kShutdown);
    tell_gone(open);
  });
}

// ---- cache servers ----

void RequestCore::on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  if (open->streaming == attempt) end_stream(*open, status == Status::Ok);
  if (status == Status::Miss && !p_.config.settings.aside) status = Status::Error;
  if (status == Status::Ok && !open->answered()) {
    Reply reply;
    reply.kind = answer.kind == Answer::Kind::Value ? Reply::Kind::Value : Reply::Kind::Stored;
    reply.value = answer.value;
    reply.receipt = answer.receipt;
    give(*open, reply, Why::kNone);
  }
  if (open->attempt(attempt).out) tell_outcome(*open, attempt, status, &answer);
  forget_if_done(*open);
}

/// The final answer to a request, but for the rest of its value: from here it has no deadline and
/// no other attempt, and what can go wrong shows as a value that is not whole.
bool RequestCore::on_attempt_begin(RequestId id, int attempt, const Answer& head) {
  OpenRequest* open = table_.find(id);
  if (!open || open->answered()) return false;
  Micros now = p_.io.now();
  note(Kind::kAnswered, id, attempt, static_cast<std::uint32_t>(head.length));
  book(*open, Reply::Kind::Value);
  open->rest = std::move(open->owed);
  open->streaming = attempt;
  p_.clients.begin(open->rest, open->command.id, head.length);
  Attempt& a = open->attempt(attempt);
  a.begun = now;
  p_.timers.cancel(a.patience);
  ++open->untold;
  p_.feed.push(FirstEvent{open->module, id, a.server, attempt, now - a.sent});
  return true;
}

bool RequestCore::on_attempt_piece(RequestId id, int, std::string_view piece) {
  OpenRequest* open = table_.find(id);
  return !open || !open->rest || p_.clients.pass(open->rest, piece);
}

void RequestCore::end_stream(OpenRequest& open, bool whole) {
  if (whole)
    p_.clients.end(std::move(open.rest));
  else
    p_.clients.abort(std::move(open.rest));
}

void RequestCore::on_drained(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (open && open->rest)
    p_.servers.resume(open->attempt(open->streaming).server, id, open->streaming);
}

/// The attempt's patience, or the client's, is over.
void RequestCore::expire(const Timers::Due& due) {
  OpenRequest* open = table_.find(due.token);
  if (!open) return;
  if (due.kind == Timers::Due::Kind::kLast) {
    open->expiry = 0;
    if (!open->answered()) {
      give(*open, kFailedReply, Why::kDeadline);
      tell_gone(*open);  // or the module would hold on to it
    }
    return;
  }
  bool all = due.kind == Timers::Due::Kind::kExpiry;
  if (all) open->expiry = 0;
  for (std::size_t k = 0; k < open->attempts.size(); ++k) {
    Attempt& a = open->attempts[k];
    int attempt = static_cast<int>(k);
    if (!a.out || attempt == open->streaming || (!all && attempt != due.attempt)) continue;
    Status status = p_.servers.cancel(a.server, open->id, attempt);
    note(Kind::kCancelled, open->id, attempt, 0, static_cast<std::int64_t>(status), {},
         Why::kDeadline);
    tell_outcome(*open, attempt, status == Status::Moot ? Status::ConnectFailed : Status::Timeout,
                 nullptr);
  }
  if (all && !open->answered())
    open->expiry = p_.timers.set(p_.io.now() + kLastAnswer,
                                 {.kind = Timers::Due::Kind::kLast, .token = open->id});
}

// ---- the module ----

bool RequestCore::describe(RequestId id, violetusher::Request& r) {
  OpenRequest* open = table_.find(id);
  if (!open) return false;
  --open->untold;
  if (open->answered()) {  // gone before the module heard of it
    forget_if_done(*open);
    return false;
  }
  const Command& c = open->command;
  r.id = id;
  r.type = c.type;
  r.tenant = c.tenant;
  r.key = c.key;
  r.remaining = std::max<Micros>(0, open->deadline - p_.io.now());
  r.work = c.work;
  r.repeat = c.repeat;
  r.write = c.set;
  open->expiry =
      p_.timers.set(open->deadline, {.kind = Timers::Due::Kind::kExpiry, .token = open->id});
  return true;
}

void RequestCore::told(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  --open->untold;
  forget_if_done(*open);
}

bool RequestCore::finished(RequestId id) {
  OpenRequest* open = table_.find(id);
  return !open || open->answered();
}

void RequestCore::tell_outcome(OpenRequest& open, int attempt, Status status, Answer* answer) {
  Attempt& a = open.attempt(attempt);
  a.out = false;
  a.may_have_run =
      status != Status::Full && status != Status::ConnectFailed && status != Status::Moot;
  p_.timers.cancel(a.patience);
  note(Kind::kEnd, open.id, attempt, 0, static_cast<std::int64_t>(status), a.server);
  OutcomeEvent e;
  e.module = open.module;
  e.outcome.id = open.id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  e.outcome.latency = (a.begun ? a.begun : p_.io.now()) - a.sent;
  e.outcome.attempt = attempt;
  if (answer) {
    e.outcome.note = answer->note;
    e.outcome.report = answer->report;
  }
  ++open.untold;
  p_.feed.push(std::move(e));
}

void RequestCore::send(const violetusher::Send& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open) return;  // the module outlives no request: see forget_if_done
  int attempt = static_cast<int>(open->attempts.size());
  Micros now = p_.io.now();
  bool spent = open->traffic && !open->answered() && !within_budget(*open);
  open->attempts.push_back({.server = a.server, .sent = now});
  // An answer may have come while the module did not know of it yet.
  if (spent || open->answered() || now >= open->deadline) {
    if (!spent && open->answered()) note(Kind::kAfter, a.id, attempt, 0, 0, a.server);
    tell_outcome(*open, attempt, Status::Moot, nullptr);
    return;
  }
  Micros wait = open->deadline - now;
  if (a.patience > 0 && a.patience < wait) {
    wait = a.patience;
    open->attempts.back().patience = p_.timers.set(
        now + wait, {.kind = Timers::Due::Kind::kAttempt, .attempt = attempt, .token = open->id});
  }
  p_.servers.send(a.server, a.id, attempt, open->command, (wait + kMillisecond - 1) / kMillisecond);
}

/// The budget's word on another attempt. Where it says no and nothing else is under way, the
/// request gets its final answer now: a refusal only where trying again is harmless.
bool RequestCore::within_budget(OpenRequest& open) {
  Micros now = p_.io.now();
  if (open.attempts.empty()) {
    open.traffic->on_first(now, open.ticket);
    return true;
  }
  bool hedge = open.any_out();
  if (open.traffic->may_retry(now, open.ticket, hedge)) return true;
  if (hedge) return false;
  bool ran = std::any_of(open.attempts.begin(), open.attempts.end(),
                         [](const Attempt& a) { return a.may_have_run; });
  give(open, ran && !open.command.idempotency.empty() ? kFailedReply : kBusyReply, Why::kBudget);
  tell_gone(open);
  return false;
}

void RequestCore::refuse(const violetusher::Refuse& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open || open->answered()) return;
  give(*open, Reply(Reply::Kind::Busy, a.wait), Why::kModule);
  forget_if_done(*open);
}

void RequestCore::fail(const violetusher::Fail& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open || open->answered()) return;
  give(*open, kFailedReply, Why::kModule);
  forget_if_done(*open);
}

void RequestCore::cancel(const violetusher::Cancel& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open || a.attempt < 0 || a.attempt >= static_cast<int>(open->attempts.size())) return;
  Attempt& one = open->attempt(a.attempt);
  if (!one.out || a.attempt == open->streaming) return;
  Status status = p_.servers.cancel(one.server, a.id, a.attempt);
  note(Kind::kCancelled, a.id, a.attempt, 0, static_cast<std::int64_t>(status), {}, Why::kModule);
  tell_outcome(*open, a.attempt, status, nullptr);
}

/// A timer of a request goes with it: the module would be called for nothing, and at a high rate
/// what waits for deadlines long past is most of what there is.
void RequestCore::remind(std::uint32_t module, const violetusher::Timer& a) {
  OpenRequest* open = a.request ? table_.find(a.request) : nullptr;
  if (a.request && !open) return;
  Timers::Handle timer =
      p_.timers.set(p_.io.now() + a.after,
                    {.kind = Timers::Due::Kind::kModule, .module = module, .token = a.token});
  if (open) open->asked.push_back(timer);
}

void RequestCore::forget_if_done(OpenRequest& open) {
  if (!open.done()) return;
  p_.timers.cancel(open.expiry);
  for (Timers::Handle& timer : open.asked) p_.timers.cancel(timer);
  note(Kind::kForgotten, open.id);
  p_.pools.leave(open.module, p_.io.now());
  table_.erase(open);
}

}  // namespace violetusher::net
