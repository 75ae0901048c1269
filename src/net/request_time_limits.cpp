// The part of RequestCore that deals with time limits: of a request, of its attempts, and of a long
// value whose first bytes are due. docs/design/attempt-lifetime.md has all of them.
#include <algorithm>

#include "core/attempt/answer_progress.hpp"
#include "core/mutants.hpp"
#include "request_core.hpp"

namespace violetusher::net {
namespace {

using core::flight::Kind;

// A request that its module leaves open this long after the deadline is failed by the router.
constexpr Micros kFinalAnswerGrace = 15 * kMillisecond;
// A long value that has begun by this time before the deadline is passed on: its first bytes are
// timed, the rest is not. Besides, the module answers two timer steps before the deadline.
constexpr Micros kStreamBeginMargin = 20 * kMillisecond;

const Reply kFailedReply(Reply::Kind::Failed);

}  // namespace

void RequestCore::on_long_value(RequestId id, int) {
  OpenRequest* open = table_.find(id);
  if (!open || open->answered() || open->stream_timer) return;
  Micros margin = kStreamBeginMargin + 2 * deps_.config.settings.timer_granularity;
  open->stream_timer = deps_.timers.set(std::max(open->deadline - margin, deps_.io.now()),
                                        {.kind = Timers::Task::Kind::kStreamBegin, .token = id});
}

/// Passes on the long value of which most has come: by the deadline its length can't be confirmed
/// any more, and a sound server may still be writing it.
void RequestCore::begin_stream(OpenRequest& open) {
  open.stream_timer = 0;
  if (open.answered() || core::mutant(core::Mutant::kDeadlineEndsLongValue)) return;
  int best = -1;
  std::size_t most = 0;
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    const Attempt& a = open.attempts[k];
    if (!a.in_flight) continue;
    auto progress = deps_.servers.progress_of(a.server, open.id, static_cast<int>(k));
    if (!progress.long_value || progress.answer_bytes <= most) continue;
    best = static_cast<int>(k);
    most = progress.answer_bytes;
  }
  if (best >= 0) deps_.servers.begin_stream(open.attempt(best).server, open.id, best);
}

/// Handles the timeout of an attempt or the deadline of the request.
void RequestCore::on_timer(const Timers::Task& task) {
  OpenRequest* open = table_.find(task.token);
  if (!open) return;
  if (task.kind == Timers::Task::Kind::kFinalAnswer) {
    open->deadline_timer = 0;
    if (!open->answered()) {
      respond(*open, kFailedReply, Reason::kDeadline);
      report_disconnect(*open);  // the module would keep the request otherwise
    }
    return;
  }
  if (task.kind == Timers::Task::Kind::kStreamBegin) {
    begin_stream(*open);
    return;
  }
  if (task.kind == Timers::Task::Kind::kKeyExpiry) {
    end_at_key_expiry(*open);
    return;
  }
  if (task.kind == Timers::Task::Kind::kAttemptTimeout) {
    end_timed_out(*open, task.attempt);
    return;
  }
  open->deadline_timer = 0;
  for (std::size_t k = 0; k < open->attempts.size(); ++k)
    end_at_time_limit(*open, static_cast<int>(k));
  if (!open->answered())
    open->deadline_timer =
        deps_.timers.set(deps_.io.now() + kFinalAnswerGrace,
                         {.kind = Timers::Task::Kind::kFinalAnswer, .token = open->id});
}

/// The timeout of one attempt, after which another server is tried. Where two attempts may be out
/// the module starts it beside this one. Otherwise this one has to end first, unless it progresses:
/// then it is waited for until the deadline, as one at another server would be no quicker.
void RequestCore::end_timed_out(OpenRequest& open, int attempt) {
  Attempt& a = open.attempt(attempt);
  if (!a.in_flight || attempt == open.streaming_attempt) return;
  bool begun = deps_.servers.progress_of(a.server, open.id, attempt).answer_begun;
  if (begun && !core::mutant(core::Mutant::kTimeoutEndsAnswer)) return;
  if (deps_.servers.request_progresses(a.server, open.id, attempt)) {
    a.timeout = deps_.timers.set(
        deps_.io.now() + core::kRequestPause,
        {.kind = Timers::Task::Kind::kAttemptTimeout, .attempt = attempt, .token = open.id});
    return;
  }
  // Where hedging is not allowed the next attempt waits until this one is over, and it is not over
  // while its connection stays open for others.
  if (!deps_.config.settings.may_hedge && !deps_.servers.may_abandon(a.server, open.id, attempt))
    return;
  end_at_time_limit(open, attempt);
}

/// `at`: when the servers begin to forget the key of the first attempt that may have run.
void RequestCore::set_key_expiry(OpenRequest& open, Micros at) {
  deps_.timers.cancel(open.key_expiry_timer);
  open.key_expiry_timer =
      deps_.timers.set(at, {.kind = Timers::Task::Kind::kKeyExpiry, .token = open.id});
}

/// From now on no two attempts of the request may come to run, in whichever order they were sent.
/// Those that their servers have yet to take are ended while another may run, the last one first:
/// the first may be further, and goes on alone once all others are known never to run.
void RequestCore::end_at_key_expiry(OpenRequest& open) {
  open.key_expiry_timer = 0;
  for (std::size_t k = open.attempts.size(); k-- > 0;) {
    int attempt = static_cast<int>(k);
    const Attempt& a = open.attempts[k];
    if (!a.in_flight || !another_may_run(open, attempt)) continue;
    if (deps_.servers.request_taken(a.server, open.id, attempt)) continue;
    report_outcome(open, attempt, end_at_server(open, attempt, Reason::kKeyExpired), nullptr);
  }
}

bool RequestCore::another_may_run(const OpenRequest& open, int attempt) const {
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    const Attempt& a = open.attempts[k];
    if (static_cast<int>(k) != attempt && (a.in_flight || a.may_have_run)) return true;
  }
  return false;
}

void RequestCore::end_at_time_limit(OpenRequest& open, int attempt) {
  if (!open.attempt(attempt).in_flight || attempt == open.streaming_attempt) return;
  Status status = end_at_server(open, attempt, Reason::kDeadline);
  report_outcome(open, attempt, status == Status::NotSent ? Status::ConnectFailed : Status::Timeout,
                 nullptr);
}

}  // namespace violetusher::net
