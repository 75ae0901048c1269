#include "invariants.hpp"

#include <numeric>

namespace violetusher::core {
namespace {

// What a server may be told beyond the client's time: a hold-up between clock and write.
constexpr Micros kTimeSlack = 150'000;

/// A client that takes nothing has given its answers up, and a value that is cut off is told by the
/// close.
bool may_owe(CloseReason reason) {
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
  check(a.server_available, Invariant::kSentToWanted, a.request, a.server,
        "the server was told to leave");
  check(a.request_open, Invariant::kSentForOpen, a.request, a.server,
        "nobody waits for the answer");
  check(!a.hedge || a.hedges_allowed, Invariant::kOneCopy, a.request, a.server,
        "another attempt is out");
  check(!a.request_open || a.sent_deadline <= a.deadline + kTimeSlack, Invariant::kTimeTold,
        a.request, a.server, "more than the client's time was told");
}

void InvariantChecker::on_final_response(RequestId request, bool first) {
  check(first, Invariant::kOneAnswer, request, "client", "a second final answer was stopped");
}

void InvariantChecker::on_close(CloseReason reason, std::size_t owed, RequestId request) {
  ++closes_[static_cast<std::size_t>(reason)];
  check(owed == 0 || may_owe(reason), Invariant::kAnsweredBeforeClose, request, "client",
        name_of(reason));
}

void InvariantChecker::on_start(bool bans_known) {
  check(bans_known, Invariant::kBansBeforeStart, 0, "clients", "bans are not read");
}

std::uint64_t InvariantChecker::total() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

}  // namespace violetusher::core
