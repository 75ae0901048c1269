#include "invariants.hpp"

#include <numeric>

namespace violetusher::core {
namespace {

// Slack over the client's deadline, for a delay between reading the clock and writing.
constexpr Micros kDeadlineSlack = 150'000;

/// Closes that may leave a response pending: a client that stops reading has given its answers up,
/// and a truncated value can only be signalled by the close.
bool may_leave_pending(CloseReason reason) {
  return reason == CloseReason::kClientClosed || reason == CloseReason::kStalled ||
         reason == CloseReason::kValueTruncated;
}

}  // namespace

const char* name_of(Invariant invariant) {
  static constexpr const char* kNames[] = {
      "sent-to-wanted", "sent-for-open",         "one-copy",         "time-told",
      "one-answer",     "answered-before-close", "bans-before-start"};
  return kNames[static_cast<std::size_t>(invariant)];
}

const char* name_of(CloseReason reason) {
  static constexpr const char* kNames[] = {"client-gone",  "answered",  "idle",
                                           "command-time", "stalled",   "room",
                                           "buffers",      "value-cut", "stopping"};
  return kNames[static_cast<std::size_t>(reason)];
}

void InvariantChecker::check(bool holds, Invariant invariant, RequestId request,
                             std::string_view connection, const char* what) {
  if (holds) return;
  ++violations_[static_cast<std::size_t>(invariant)];
  if (report_) report_({invariant, request, std::string(connection), what});
}

void InvariantChecker::on_attempt_start(const AttemptStart& a) {
  check(a.server_available, Invariant::kSentToAvailableServer, a.request, a.server,
        "the server is draining or removed");
  check(a.request_open, Invariant::kSentForOpenRequest, a.request, a.server,
        "the request is already answered or its client is gone");
  check(!a.hedge || a.hedges_allowed, Invariant::kHedgeAllowed, a.request, a.server,
        "another attempt is in flight and hedging is not allowed");
  check(!a.request_open || a.sent_deadline <= a.deadline + kDeadlineSlack,
        Invariant::kDeadlineNotExtended, a.request, a.server,
        "the server was sent a later deadline than the client's");
}

void InvariantChecker::on_final_response(RequestId request, bool first) {
  check(first, Invariant::kSingleFinalAnswer, request, "client",
        "a second final answer was suppressed");
}

void InvariantChecker::on_close(CloseReason reason, std::size_t pending, RequestId request) {
  ++closes_[static_cast<std::size_t>(reason)];
  check(pending == 0 || may_leave_pending(reason), Invariant::kAnsweredBeforeClose, request,
        "client", name_of(reason));
}

void InvariantChecker::on_start(bool bans_known) {
  check(bans_known, Invariant::kBansLoadedBeforeStart, 0, "clients",
        "the banned servers are not known yet");
}

std::uint64_t InvariantChecker::total() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

}  // namespace violetusher::core
