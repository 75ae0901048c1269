#include "request_core.hpp"

#include <algorithm>

#include "core/mutants.hpp"

namespace violetusher::net {
namespace {

using core::flight::Kind;

// A response later than this after the deadline is reported as an alert.
constexpr Micros kLateAnswerTolerance = 30 * kMillisecond;
// Timers per open request: its own, and one for each attempt.
constexpr std::size_t kTimersPerRequest = 8;

const Reply kFailedReply(Reply::Kind::Failed);
const Reply kBusyReply(Reply::Kind::Busy);
const Reply kBadReply(Reply::Kind::Bad);

/// The request has run: the client is told to try again only where that is harmless.
const Reply& reply_without_room(const OpenRequest& open) {
  return open.effect == violetusher::Effect::Repeatable ? kBusyReply : kFailedReply;
}

}  // namespace

RequestCore::RequestCore(const Dependencies& dependencies, RequestTable::Bounds bounds)
    : deps_(dependencies), table_(bounds) {}

void RequestCore::record_event(Kind kind, RequestId id, int attempt, std::uint32_t number,
                               std::int64_t value, std::string_view text, Reason why) {
  if (deps_.recorder.on())
    deps_.recorder.record(deps_.io.now(), kind, id, attempt, number, value, text, why);
}

void RequestCore::alert(const char* what) {
  if (alert_) alert_(what);
}

// ---- clients ----

/// Accepts only what the settings know. An unknown class or tenant, or a keyed write without its
/// key, is undefined at a cache server or means something else there. An id that is already open
/// would make the responses of two requests indistinguishable.
RequestId RequestCore::on_command(PendingResponse response, Command&& command) {
  const violetusher::Settings& settings = deps_.config.settings;
  const violetusher::ClassSettings* type = class_of(command);
  const auto& tenants = settings.tenants;
  bool tenant = tenants.empty() || std::any_of(tenants.begin(), tenants.end(), [&](const auto& t) {
                  return t.name == command.tenant;
                });
  RequestId id = table_.next_id();
  bool keyed = type && type->effect == violetusher::Effect::Keyed;
  if (!type || !tenant || table_.has_client_id(command.id) ||
      (keyed && command.idempotency.empty()))
    return reject(id, std::move(response), command, kBadReply, Reason::kBadCommand);
  if (table_.full() || deps_.timers.size() >
                           kTimersPerRequest * table_.max_requests())  // the module sees none of it
    return reject(id, std::move(response), command, kBusyReply, Reason::kRequestLimit);
  if (table_.over_memory_limit())
    return reject(id, std::move(response), command, kBusyReply, Reason::kMemoryLimit);

  // No client waits longer than the deadline of the class, so no request is held longer than that.
  Micros now = deps_.io.now();
  Micros wait =
      std::min(static_cast<Micros>(command.wait_ms * 1000), type->deadline) - command.waited;
  if (command.waited > 0 && wait <= 0)  // for others of its connection
    return reject(id, std::move(response), command, kBusyReply, Reason::kDeadline);
  if (command.work && *command.work > type->deadline)
    command.work.reset();  // not a plausible estimate

  core::TrafficPolicy::Ticket ticket;
  std::uint32_t module = PoolSet::kWholeList;
  if (traffic_policy_) {
    std::string_view listener =
        command.listener.empty() ? "main" : std::string_view(command.listener);
    core::RouteRequest request{listener, command.tenant, command.type, command.key};
    auto decision = traffic_policy_->admit(now, request, keyed, deps_.pools);
    if (!decision.admitted) {
      Reply reply = kBusyReply;
      if (settings.retry_after && decision.retry_after > 0)
        reply.retry_after = std::min(decision.retry_after, settings.max_retry_after);
      return reject(id, std::move(response), command, reply,
                    decision.ticket.route ? Reason::kLimit : Reason::kNoRoute);
    }
    ticket = std::move(decision.ticket);
    auto entered = deps_.pools.begin_request(*ticket.pool, now);
    if (!entered) {
      traffic_policy_->end(now, ticket, true);
      return reject(id, std::move(response), command, kBusyReply, Reason::kRequestLimit);
    }
    module = *entered;
  } else {
    deps_.pools.begin_whole_list_request();
  }

  OpenRequest& open = table_.insert(id, std::move(command));
  open.effect = type->effect;
  open.group = type->group;
  open.response = std::move(response);
  ++unanswered_;
  open.deadline = now + wait;
  open.module = module;
  open.traffic = ticket.pool ? traffic_policy_ : nullptr;
  open.ticket = std::move(ticket);
  open.undelivered_events = 1;
  record_event(Kind::kReceived, id, -1, 0, wait, open.command.id);
  if (open.traffic) record_event(Kind::kRouted, id, -1, module, 0, *open.ticket.pool);
  deps_.feed.push(RequestEvent{module, id});
  return id;
}

void RequestCore::count_outcome(const std::string& type, Reply::Kind kind) {
  if (activity_recorder_ && kind == Reply::Kind::Busy) activity_recorder_->refused(type);
  using End = core::ops::Metrics::Outcome;
  bool served = kind == Reply::Kind::Value || kind == Reply::Kind::Stored;
  deps_.metrics.count(type, served                      ? End::kSuccess
                            : kind == Reply::Kind::Busy ? End::kOverload
                                                        : End::kError);
}

/// Sends the final response to a request that never enters the table.
RequestId RequestCore::reject(RequestId id, PendingResponse&& response, const Command& command,
                              const Reply& reply, Reason why) {
  record_event(Kind::kReceived, id, -1, 0, static_cast<std::int64_t>(command.wait_ms * 1000),
               command.id);
  record_event(Kind::kRefused, id, -1, 0, reply.retry_after, {}, why);
  count_outcome(command.type, reply.kind);
  deps_.clients.respond(std::move(response), command.id, reply);
  return 0;
}

/// By PROTOCOL a client that closes has left, and a close cannot be told apart from a half-close
/// here. Its attempts are abandoned at once: with clients that leave early and ask again, abandoned
/// attempts ran on unseen by the module and filled the servers. A client that still reads gets its
/// final response now. The cost is borne by clients that half-close before they have read their
/// responses.
void RequestCore::on_client_eof(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (!open || open->answered()) return;
  respond(*open, kFailedReply, Reason::kClientLeft);
  report_disconnect(*open);
}

void RequestCore::on_client_disconnected(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  if (!open->answered()) --unanswered_;
  open->response.abandon();
  if (open->stream) {
    open->stream.abandon();
    Status status = end_at_server(*open, open->streaming_attempt, Reason::kClientLeft);
    report_outcome(*open, open->streaming_attempt, status, nullptr);
  }
  record_event(Kind::kClientGone, id);
  if (open->traffic) open->traffic->end(deps_.io.now(), open->ticket, false);
  report_disconnect(*open);
}

void RequestCore::report_disconnect(OpenRequest& open) {
  ++open.undelivered_events;
  deps_.feed.push(DisconnectEvent{open.module, open.id});
}

/// Bookkeeping of every final response, however it is sent.
void RequestCore::record_final_response(OpenRequest& open, Reply::Kind kind) {
  if (open.traffic) open.traffic->end(deps_.io.now(), open.ticket, kind == Reply::Kind::Busy);
  count_outcome(open.command.type, kind);
  --unanswered_;
}

/// Sends the one final response. A second one is stopped here.
void RequestCore::respond(OpenRequest& open, const Reply& reply, Reason why) {
  deps_.invariants.on_final_response(open.id, !open.answered());
  if (open.answered()) {
    record_event(Kind::kSecondAnswer, open.id, -1, 0, 0, {}, why);
    alert("second-answer");
    return;
  }
  Micros now = deps_.io.now();
  bool refused = reply.kind == Reply::Kind::Busy;
  if (reply.kind == Reply::Kind::Value || reply.kind == Reply::Kind::Stored)
    record_event(Kind::kAnswered, open.id, -1, static_cast<std::uint32_t>(reply.value.size()));
  else
    record_event(refused ? Kind::kRefused : Kind::kFailed, open.id, -1, 0, reply.retry_after, {},
                 why);
  record_final_response(open, reply.kind);
  deps_.clients.respond(std::move(open.response), open.command.id, reply);
  if (now > open.deadline + kLateAnswerTolerance) {
    record_event(Kind::kLate, open.id, -1, 0, now - open.deadline);
    alert("late-answer");
  }
}

/// Passes on what a server has answered. A value that the buffers of clients have no room for is
/// dropped here: nothing that was taken before is.
void RequestCore::respond_with(OpenRequest& open, const Answer& answer) {
  bool value = answer.kind == Answer::Kind::Value;
  if (value && !deps_.clients.admits_value(open.response, answer.value.size())) {
    respond(open, reply_without_room(open), Reason::kMemoryLimit);
    return;
  }
  Reply reply;
  reply.kind = value ? Reply::Kind::Value : Reply::Kind::Stored;
  reply.value = answer.value;
  reply.receipt = answer.receipt;
  respond(open, reply, Reason::kNone);
}

const violetusher::ClassSettings* RequestCore::class_of(const Command& command) const {
  for (const auto& one : deps_.config.settings.classes)
    if (one.name == command.type) return &one;
  return nullptr;
}

bool RequestCore::may_have_effect(const Command& command) const {
  const auto* type = class_of(command);
  return type && type->effect != violetusher::Effect::Repeatable;
}

void RequestCore::fail_all() {
  table_.each([this](OpenRequest& open) {
    if (open.answered()) return;
    respond(open, kFailedReply, Reason::kShutdown);
    report_disconnect(open);
    for (std::size_t k = 0; k < open.attempts.size(); ++k)
      end_at_time_limit(open, static_cast<int>(k));
  });
}

// ---- cache servers ----

void RequestCore::on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) {
  OpenRequest* open = table_.find(id);
  if (!open) return;
  if (open->streaming_attempt == attempt) end_stream(*open, status == Status::Ok);
  if (status == Status::Miss && !deps_.config.settings.cache_aside) status = Status::Error;
  if (status == Status::Ok && !open->answered()) respond_with(*open, answer);
  if (open->attempt(attempt).in_flight) report_outcome(*open, attempt, status, &answer);
  release_if_done(*open);
}

void RequestCore::on_attempt_written(RequestId id, int attempt, bool server_available,
                                     Micros sent_deadline) {
  OpenRequest* open = table_.find(id);
  core::InvariantChecker::AttemptStart start;
  start.request = id;
  start.server_available = server_available;
  start.request_open = open && !open->answered();
  start.sent_deadline = sent_deadline;
  if (open) {
    start.server = open->attempt(attempt).server;
    start.deadline = open->deadline;
    start.hedges_allowed = deps_.config.settings.may_hedge;
    for (std::size_t k = 0; k < open->attempts.size(); ++k)
      start.hedge |= static_cast<int>(k) != attempt && open->attempts[k].in_flight;
  }
  deps_.invariants.on_attempt_start(start);
}

void RequestCore::on_answer_paused(RequestId id, int attempt) {
  OpenRequest* open = table_.find(id);
  if (!open || open->answered()) return;
  record_event(Kind::kAnswerPaused, id, attempt, 0, 0, open->attempt(attempt).server);
  ++open->undelivered_events;
  deps_.feed.push(AnswerPauseEvent{open->module, id, attempt});
}

/// The final response except for the rest of its value: from here on the request has no deadline
/// and no other attempt, and a failure shows to the client as an incomplete value.
bool RequestCore::on_stream_begin(RequestId id, int attempt, const Answer& head) {
  OpenRequest* open = table_.find(id);
  if (!open || open->answered()) return false;
  if (!deps_.clients.admits_stream()) {
    respond(*open, reply_without_room(*open), Reason::kMemoryLimit);
    report_outcome(*open, attempt, Status::Cancelled, nullptr);
    return false;
  }
  Micros now = deps_.io.now();
  record_event(Kind::kAnswered, id, attempt, static_cast<std::uint32_t>(head.length));
  record_final_response(*open, Reply::Kind::Value);
  open->stream = std::move(open->response);
  open->streaming_attempt = attempt;
  deps_.clients.begin_stream(open->stream, open->command.id, head.length);
  Attempt& a = open->attempt(attempt);
  a.first_byte_at = now;
  deps_.timers.cancel(a.timeout);
  ++open->undelivered_events;
  deps_.feed.push(StreamBeginEvent{open->module, id, a.server, attempt, now - a.started_at});
  return true;
}

bool RequestCore::on_stream_data(RequestId id, int, std::string_view piece) {
  OpenRequest* open = table_.find(id);
  return !open || !open->stream || deps_.clients.stream(open->stream, piece);
}

void RequestCore::end_stream(OpenRequest& open, bool whole) {
  if (whole)
    deps_.clients.end_stream(std::move(open.stream));
  else
    deps_.clients.abort_stream(std::move(open.stream));
}

void RequestCore::on_buffer_drained(RequestId id) {
  OpenRequest* open = table_.find(id);
  if (open && open->stream)
    deps_.servers.resume(open->attempt(open->streaming_attempt).server, id,
                         open->streaming_attempt);
}

/// Logs what was given up under a request that still waits for its answer. Told for each attempt,
/// not for each connection: attempts may share one.
void RequestCore::on_attempt_interrupted(const core::InterruptedAttempt& interrupted) {
  OpenRequest* open = table_.find(interrupted.request);
  if (!open || (open->answered() && !open->stream)) return;
  std::string_view reason = core::name_of(interrupted.reason);
  std::int64_t age_ms = interrupted.age / kMillisecond;
  auto answer_bytes = static_cast<std::int64_t>(interrupted.answer_bytes);
  auto request_bytes = static_cast<std::int64_t>(interrupted.request_bytes);
  std::string text = "attempt " + std::to_string(interrupted.attempt) + " of request " +
                     open->command.id + " at " + std::string(interrupted.server) +
                     " interrupted: " + std::string(reason) + " after " + std::to_string(age_ms) +
                     " ms, " + std::to_string(request_bytes) + " bytes written, " +
                     std::to_string(answer_bytes) + " bytes of the answer received";
  deps_.log.write(deps_.io.now(), Log::Level::kWarn, "attempt-interrupted", text,
                  {{"request", std::string_view(open->command.id)},
                   {"attempt", std::int64_t{interrupted.attempt}},
                   {"server", interrupted.server},
                   {"reason", reason},
                   {"age_ms", age_ms},
                   {"request_bytes", request_bytes},
                   {"answer_bytes", answer_bytes}});
}

/// Cancels the attempt at its server and returns what became of it; the caller reports its outcome.
Status RequestCore::end_at_server(OpenRequest& open, int attempt, Reason why) {
  Status status = deps_.servers.cancel(open.attempt(attempt).server, open.id, attempt);
  record_event(Kind::kCancelled, open.id, attempt, 0, static_cast<std::int64_t>(status), {}, why);
  return status;
}

void RequestCore::report_outcome(OpenRequest& open, int attempt, Status status, Answer* answer) {
  Attempt& a = open.attempt(attempt);
  a.in_flight = false;
  a.may_have_run =
      status != Status::Overloaded && status != Status::ConnectFailed && status != Status::NotSent;
  deps_.timers.cancel(a.timeout);
  // Cancelled and unsent attempts say nothing about the server; a miss is an answer.
  if (open.traffic && status != Status::Cancelled && status != Status::NotSent)
    open.traffic->on_attempt_end(deps_.io.now(), open.ticket,
                                 status != Status::Ok && status != Status::Miss);
  record_event(Kind::kEnd, open.id, attempt, 0, static_cast<std::int64_t>(status), a.server);
  OutcomeEvent e;
  e.module = open.module;
  e.outcome.id = open.id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  e.outcome.latency = (a.first_byte_at ? a.first_byte_at : deps_.io.now()) - a.started_at;
  e.outcome.attempt = attempt;
  if (answer) {
    e.outcome.cache_result = answer->note;
    e.outcome.report = answer->report;
  }
  ++open.undelivered_events;
  deps_.feed.push(std::move(e));
}

/// Nothing more is sent for a request that is answered or whose client has disconnected: attempts
/// that wait for a connection or for their turn are withdrawn, whether or not attempts may be
/// cancelled.
void RequestCore::withdraw_unsent(OpenRequest& open) {
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    int attempt = static_cast<int>(k);
    if (open.attempts[k].in_flight &&
        deps_.servers.withdraw(open.attempts[k].server, open.id, attempt))
      report_outcome(open, attempt, Status::NotSent, nullptr);
  }
}

void RequestCore::release_if_done(OpenRequest& open) {
  if (!open.done()) return;
  deps_.timers.cancel(open.deadline_timer);
  deps_.timers.cancel(open.stream_timer);
  deps_.timers.cancel(open.key_expiry_timer);
  for (Timers::Handle& timer : open.module_timers) deps_.timers.cancel(timer);
  bool may_have_run = std::any_of(open.attempts.begin(), open.attempts.end(),
                                  [](const Attempt& a) { return a.may_have_run; });
  bool forget = core::mutant(core::Mutant::kIdsForgotten);
  if (open.claims_id && (forget || !may_have_run)) deps_.claims.release(open.command.id);
  record_event(Kind::kReleased, open.id);
  deps_.pools.end_request(open.module, deps_.io.now());
  table_.erase(open);
}

}  // namespace violetusher::net
