// The part of RequestCore that deals with decision modules: describes requests to them and carries
// out their actions.
#include <algorithm>

#include "request_core.hpp"

namespace violetusher::net {
namespace {

using core::flight::Kind;

const Reply kFailedReply(Reply::Kind::Failed);
const Reply kBusyReply(Reply::Kind::Busy);

/// A request that may take effect twice goes to other servers once it is known not to have run: its
/// refusal must be its own.
ServerSide::OwnAnswer own_answer(const OpenRequest& open) {
  using OwnAnswer = ServerSide::OwnAnswer;
  if (!open.may_take_effect_twice()) return OwnAnswer::kNotRequired;
  return open.command.set ? OwnAnswer::kOfWrite : OwnAnswer::kOfRead;
}

}  // namespace

bool RequestCore::describe(RequestId id, violetusher::Request& request) {
  OpenRequest* open = table_.find(id);
  if (!open) return false;
  --open->undelivered_events;
  if (open->answered()) {  // answered before the module was notified of it
    release_if_done(*open);
    return false;
  }
  const Command& c = open->command;
  request.id = id;
  request.type = c.type;
  request.tenant = c.tenant;
  request.key = c.key;
  request.remaining = std::max<Micros>(0, open->deadline - deps_.io.now());
  request.work = c.work;
  request.repeat = c.repeat;
  request.write = c.set;
  open->deadline_timer =
      deps_.timers.set(open->deadline, {.kind = Timers::Task::Kind::kDeadline, .token = open->id});
  return true;
}

void RequestCore::on_event_delivered(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  --open->undelivered_events;
  if (open->answered()) withdraw_unsent(*open);
  release_if_done(*open);
}

bool RequestCore::finished(RequestId id) {
  OpenRequest* open = table_.find(id);
  return !open || open->answered();
}

void RequestCore::send(const violetusher::Send& action) {
  OpenRequest* open = table_.find(action.id);
  if (!open) return;  // the request is released already: see release_if_done
  int attempt = static_cast<int>(open->attempts.size());
  Micros now = deps_.io.now();
  bool not_allowed =
      !open->answered() && (!claim_id(*open) || (open->traffic && !within_retry_budget(*open)));
  open->attempts.push_back({.server = action.server, .started_at = now});
  // The request may have been answered before the module was notified of that.
  if (not_allowed || open->answered() || now >= open->deadline) {
    if (!not_allowed && open->answered())
      record_event(Kind::kAttemptAfterAnswer, action.id, attempt, 0, 0, action.server);
    report_outcome(*open, attempt, Status::NotSent, nullptr);
    return;
  }
  Micros wait = open->deadline - now;
  if (action.attempt_timeout > 0 && action.attempt_timeout < wait) {
    wait = action.attempt_timeout;
    open->attempts.back().timeout = deps_.timers.set(
        now + wait,
        {.kind = Timers::Task::Kind::kAttemptTimeout, .attempt = attempt, .token = open->id});
  }
  if (action.send_before != violetusher::Send::kAnyTime) set_key_expiry(*open, action.send_before);
  deps_.servers.send(action.server, action.id, attempt, open->command,
                     {now + wait, action.send_before, own_answer(*open)});
}

/// Claims the id of a request that no server keeps from running twice, before its first attempt. If
/// another request with this id may have run, lately or at the other process of a replacement, the
/// request gets its final response now: failed, as a retry would not be harmless.
bool RequestCore::claim_id(OpenRequest& open) {
  if (!open.attempts.empty()) return true;
  if (!open.may_take_effect_twice()) return true;
  open.claims_id = deps_.claims.claim(deps_.io.uptime(), open.command.id);
  if (open.claims_id) return true;
  respond(open, kFailedReply, Reason::kDuplicateId);
  report_disconnect(open);
  return false;
}

/// Asks the retry budget for another attempt. If it denies one and no attempt is in flight, the
/// request gets its final response now; it is rejected as busy only where trying again is harmless.
bool RequestCore::within_retry_budget(OpenRequest& open) {
  Micros now = deps_.io.now();
  if (open.attempts.empty()) {
    open.traffic->on_first_attempt(now, open.ticket);
    return true;
  }
  bool hedge = open.any_in_flight();
  if (open.traffic->may_retry(now, open.ticket, hedge)) return true;
  if (hedge) return false;
  bool ran = std::any_of(open.attempts.begin(), open.attempts.end(),
                         [](const Attempt& a) { return a.may_have_run; });
  respond(open, ran && !open.command.idempotency.empty() ? kFailedReply : kBusyReply,
          Reason::kBudget);
  report_disconnect(open);
  return false;
}

void RequestCore::refuse(const violetusher::Refuse& action) {
  OpenRequest* open = table_.find(action.id);
  if (!open || open->answered()) return;
  respond(*open, Reply(Reply::Kind::Busy, action.retry_after), Reason::kModule);
  withdraw_unsent(*open);
  release_if_done(*open);
}

void RequestCore::fail(const violetusher::Fail& action) {
  OpenRequest* open = table_.find(action.id);
  if (!open || open->answered()) return;
  respond(*open, kFailedReply, Reason::kModule);
  withdraw_unsent(*open);
  release_if_done(*open);
}

void RequestCore::cancel(const violetusher::Cancel& action) {
  OpenRequest* open = table_.find(action.id);
  if (!open || action.attempt < 0 || action.attempt >= static_cast<int>(open->attempts.size()))
    return;
  Attempt& attempt = open->attempt(action.attempt);
  if (!attempt.in_flight || action.attempt == open->streaming_attempt) return;
  Status status = end_at_server(*open, action.attempt, Reason::kModule);
  report_outcome(*open, action.attempt, status, nullptr);
}

/// A timer of a request is cancelled with the request. Otherwise the module would be called in
/// vain, and at a high rate most of the timers would wait for deadlines of requests long answered.
void RequestCore::set_module_timer(std::uint32_t module, const violetusher::Timer& action) {
  OpenRequest* open = action.request ? table_.find(action.request) : nullptr;
  if (action.request && !open) return;
  Timers::Handle timer = deps_.timers.set(
      deps_.io.now() + action.after,
      {.kind = Timers::Task::Kind::kModule, .module = module, .token = action.token});
  if (open) open->module_timers.push_back(timer);
}

}  // namespace violetusher::net
