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
                       std::int64_t value, std::string_view text, Reason why) {
  if (p_.recorder.on())
    p_.recorder.record(p_.io.now(), kind, id, attempt, number, value, text, why);
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
    return turn_away(id, std::move(owed), command, kBadReply, Reason::kBadCommand);
  if (table_.full() ||
      p_.timers.size() > kTimersEach * table_.most())  // the module sees none of it
    return turn_away(id, std::move(owed), command, kBusyReply, Reason::kRequestLimit);
  if (table_.heavy())
    return turn_away(id, std::move(owed), command, kBusyReply, Reason::kMemoryLimit);

  // Nobody waits longer than the class lets him, so no request is held for longer.
  Micros now = p_.io.now();
  Micros wait = std::min(static_cast<Micros>(command.wait_ms * 1000), type->deadline);
  if (command.work && *command.work > type->deadline) command.work.reset();  // no guess at all

  core::TrafficPolicy::Ticket ticket;
  std::uint32_t module = PoolSet::kWhole;
  if (traffic_) {
    std::string_view listener =
        command.listener.empty() ? "main" : std::string_view(command.listener);
    core::RouteRequest request{listener, command.tenant, command.type, command.key};
    auto decision = traffic_->admit(now, request, keyed, p_.pools);
    if (!decision.admitted) {
      Reply reply = kBusyReply;
      if (settings.retry_after && decision.retry_after > 0)
        reply.retry_after = std::min(decision.retry_after, settings.max_retry_after);
      return turn_away(id, std::move(owed), command, reply,
                       decision.ticket.route ? Reason::kLimit : Reason::kNoRoute);
    }
    ticket = std::move(decision.ticket);
    auto entered = p_.pools.enter(*ticket.pool, now);
    if (!entered) {
      traffic_->end(now, ticket, true);
      return turn_away(id, std::move(owed), command, kBusyReply, Reason::kRequestLimit);
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
  note(Kind::kReceived, id, -1, 0, wait, open.command.id);
  if (open.traffic) note(Kind::kRouted, id, -1, module, 0, *open.ticket.pool);
  p_.feed.push(RequestEvent{module, id});
  return id;
}

void RequestCore::count(const std::string& type, Reply::Kind kind) {
  if (account_ && kind == Reply::Kind::Busy) account_->refused(type);
  using End = core::ops::Metrics::Outcome;
  bool served = kind == Reply::Kind::Value || kind == Reply::Kind::Stored;
  p_.figures.count(type, served                      ? End::kSuccess
                         : kind == Reply::Kind::Busy ? End::kOverload
                                                     : End::kError);
}

/// The final answer to a request that never comes to the table.
RequestId RequestCore::turn_away(RequestId id, Owed&& owed, const Command& command,
                                 const Reply& reply, Reason why) {
  note(Kind::kReceived, id, -1, 0, static_cast<std::int64_t>(command.wait_ms * 1000), command.id);
  note(Kind::kRefused, id, -1, 0, reply.retry_after, {}, why);
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
  give(*open, kFailedReply, Reason::kClientLeft);
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
         Reason::kClientLeft);
    tell_outcome(*open, open->streaming, status, nullptr);
  }
  note(Kind::kClientGone, id);
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
void RequestCore::give(OpenRequest& open, const Reply& reply, Reason why) {
  p_.guard.on_final_response(open.id, !open.answered());
  if (open.answered()) {
    note(Kind::kSecondAnswer, open.id, -1, 0, 0, {}, why);
    alert("second-answer");
    return;
  }
  Micros now = p_.io.now();
  bool refused = reply.kind == Reply::Kind::Busy;
  if (reply.kind == Reply::Kind::Value || reply.kind == Reply::Kind::Stored)
    note(Kind::kAnswered, open.id, -1, static_cast<std::uint32_t>(reply.value.size()));
  else
    note(refused ? Kind::kRefused : Kind::kFailed, open.id, -1, 0, reply.retry_after, {}, why);
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
    give(open, kFailedReply, Reason::kShutdown);
    tell_gone(open);
  });
}

// ---- cache servers ----

void RequestCore::on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  if (open->streaming == attempt) end_stream(*open, status == Status::Ok);
  if (status == Status::Miss && !p_.config.settings.cache_aside) status = Status::Error;
  if (status == Status::Ok && !open->answered()) {
    Reply reply;
    reply.kind = answer.kind == Answer::Kind::Value ? Reply::Kind::Value : Reply::Kind::Stored;
    reply.value = answer.value;
    reply.receipt = answer.receipt;
    give(*open, reply, Reason::kNone);
  }
  if (open->attempt(attempt).out) tell_outcome(*open, attempt, status, &answer);
  forget_if_done(*open);
}

void RequestCore::on_attempt_written(RequestId id, int attempt, bool wanted, Micros sent_deadline) {
  OpenRequest* open = table_.find(id);
  core::InvariantChecker::AttemptStart begin;
  begin.request = id;
  begin.server_available = wanted;
  begin.request_open = open && !open->answered();
  begin.sent_deadline = sent_deadline;
  if (open) {
    begin.server = open->attempt(attempt).server;
    begin.deadline = open->deadline;
    begin.hedges_allowed = p_.config.settings.may_hedge;
    for (std::size_t k = 0; k < open->attempts.size(); ++k)
      begin.hedge |= static_cast<int>(k) != attempt && open->attempts[k].out;
  }
  p_.guard.on_attempt_start(begin);
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
void RequestCore::expire(const Timers::Task& due) {
  OpenRequest* open = table_.find(due.token);
  if (!open) return;
  if (due.kind == Timers::Task::Kind::kLast) {
    open->expiry = 0;
    if (!open->answered()) {
      give(*open, kFailedReply, Reason::kDeadline);
      tell_gone(*open);  // or the module would hold on to it
    }
    return;
  }
  bool all = due.kind == Timers::Task::Kind::kExpiry;
  if (all) open->expiry = 0;
  for (std::size_t k = 0; k < open->attempts.size(); ++k) {
    Attempt& a = open->attempts[k];
    int attempt = static_cast<int>(k);
    if (!a.out || attempt == open->streaming || (!all && attempt != due.attempt)) continue;
    // Where there may be no second copy the next attempt waits until this one is over, and one
    // whose connection stays open for others is not.
    bool alone = all || p_.config.settings.may_hedge;
    if (!alone && !p_.servers.may_give_up(a.server, open->id, attempt)) continue;
    Status status = p_.servers.cancel(a.server, open->id, attempt);
    note(Kind::kCancelled, open->id, attempt, 0, static_cast<std::int64_t>(status), {},
         Reason::kDeadline);
    tell_outcome(*open, attempt,
                 status == Status::NotSent ? Status::ConnectFailed : Status::Timeout, nullptr);
  }
  if (all && !open->answered())
    open->expiry = p_.timers.set(p_.io.now() + kLastAnswer,
                                 {.kind = Timers::Task::Kind::kLast, .token = open->id});
}

void RequestCore::tell_outcome(OpenRequest& open, int attempt, Status status, Answer* answer) {
  Attempt& a = open.attempt(attempt);
  a.out = false;
  a.may_have_run =
      status != Status::Overloaded && status != Status::ConnectFailed && status != Status::NotSent;
  p_.timers.cancel(a.patience);
  // Cancelled and moot ones tell nothing, a miss is an answer.
  if (open.traffic && status != Status::Cancelled && status != Status::NotSent)
    open.traffic->on_attempt_end(p_.io.now(), open.ticket,
                                 status != Status::Ok && status != Status::Miss);
  note(Kind::kEnd, open.id, attempt, 0, static_cast<std::int64_t>(status), a.server);
  OutcomeEvent e;
  e.module = open.module;
  e.outcome.id = open.id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  e.outcome.latency = (a.begun ? a.begun : p_.io.now()) - a.sent;
  e.outcome.attempt = attempt;
  if (answer) {
    e.outcome.cache_result = answer->note;
    e.outcome.report = answer->report;
  }
  ++open.untold;
  p_.feed.push(std::move(e));
}

/// Nothing more goes out for a request that has its answer, or whose client has gone: what waits
/// for a connection or its turn is taken back here, whether or not attempts may be cancelled.
void RequestCore::withdraw_unsent(OpenRequest& open) {
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    int attempt = static_cast<int>(k);
    if (open.attempts[k].out && p_.servers.withdraw(open.attempts[k].server, open.id, attempt))
      tell_outcome(open, attempt, Status::NotSent, nullptr);
  }
}

void RequestCore::forget_if_done(OpenRequest& open) {
  if (!open.done()) return;
  p_.timers.cancel(open.expiry);
  for (Timers::Handle& timer : open.asked) p_.timers.cancel(timer);
  note(Kind::kReleased, open.id);
  p_.pools.leave(open.module, p_.io.now());
  table_.erase(open);
}

}  // namespace violetusher::net
