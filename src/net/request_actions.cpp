// The part of RequestCore that deals with decision modules: describes requests to them and carries
// out their actions.
#include <algorithm>

#include "request_core.hpp"

namespace violetusher::net {
namespace {

using core::flight::Kind;

const Reply kFailedReply(Reply::Kind::Failed);
const Reply kBusyReply(Reply::Kind::Busy);

}  // namespace

bool RequestCore::describe(RequestId id, violetusher::Request& r) {
  OpenRequest* open = table_.find(id);
  if (!open) return false;
  --open->undelivered_events;
  if (open->answered()) {  // answered before the module was notified of it
    release_if_done(*open);
    return false;
  }
  const Command& c = open->command;
  r.id = id;
  r.type = c.type;
  r.tenant = c.tenant;
  r.key = c.key;
  r.remaining = std::max<Micros>(0, open->deadline - deps_.io.now());
  r.work = c.work;
  r.repeat = c.repeat;
  r.write = c.set;
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

void RequestCore::send(const violetusher::Send& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open) return;  // the request is released already: see release_if_done
  int attempt = static_cast<int>(open->attempts.size());
  Micros now = deps_.io.now();
  bool budget_spent = open->traffic && !open->answered() && !within_retry_budget(*open);
  open->attempts.push_back({.server = a.server, .started_at = now});
  // The request may have been answered before the module was notified of that.
  if (budget_spent || open->answered() || now >= open->deadline) {
    if (!budget_spent && open->answered())
      record_event(Kind::kAttemptAfterAnswer, a.id, attempt, 0, 0, a.server);
    report_outcome(*open, attempt, Status::NotSent, nullptr);
    return;
  }
  Micros wait = open->deadline - now;
  if (a.attempt_timeout > 0 && a.attempt_timeout < wait) {
    wait = a.attempt_timeout;
    open->attempts.back().timeout = deps_.timers.set(
        now + wait,
        {.kind = Timers::Task::Kind::kAttemptTimeout, .attempt = attempt, .token = open->id});
  }
  deps_.servers.send(a.server, a.id, attempt, open->command, now + wait, a.send_before);
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

void RequestCore::refuse(const violetusher::Refuse& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open || open->answered()) return;
  respond(*open, Reply(Reply::Kind::Busy, a.retry_after), Reason::kModule);
  withdraw_unsent(*open);
  release_if_done(*open);
}

void RequestCore::fail(const violetusher::Fail& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open || open->answered()) return;
  respond(*open, kFailedReply, Reason::kModule);
  withdraw_unsent(*open);
  release_if_done(*open);
}

void RequestCore::cancel(const violetusher::Cancel& a) {
  OpenRequest* open = table_.find(a.id);
  if (!open || a.attempt < 0 || a.attempt >= static_cast<int>(open->attempts.size())) return;
  Attempt& one = open->attempt(a.attempt);
  if (!one.in_flight || a.attempt == open->streaming_attempt) return;
  Status status = deps_.servers.cancel(one.server, a.id, a.attempt);
  record_event(Kind::kCancelled, a.id, a.attempt, 0, static_cast<std::int64_t>(status), {},
               Reason::kModule);
  report_outcome(*open, a.attempt, status, nullptr);
}

/// A timer of a request is cancelled with the request. Otherwise the module would be called in
/// vain, and at a high rate most of the timers would wait for deadlines of requests long answered.
void RequestCore::set_module_timer(std::uint32_t module, const violetusher::Timer& a) {
  OpenRequest* open = a.request ? table_.find(a.request) : nullptr;
  if (a.request && !open) return;
  Timers::Handle timer =
      deps_.timers.set(deps_.io.now() + a.after,
                       {.kind = Timers::Task::Kind::kModule, .module = module, .token = a.token});
  if (open) open->module_timers.push_back(timer);
}

}  // namespace violetusher::net
