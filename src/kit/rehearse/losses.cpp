#include "losses.hpp"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace violetusher::rehearse {
namespace {

using kit::Answered;
using kit::AttemptRecord;
using kit::TryEnd;
using kit::TryRecord;

/// The recorded tries and attempts of one request, in the order of the history.
struct RequestRecords {
  std::vector<const TryRecord*> tries;
  std::vector<const AttemptRecord*> attempts;
};

/// The cause of a loss when the last try was not served.
Cause cause_of_end(const TryRecord& last, const RequestRecords& records) {
  switch (last.end) {
    case TryEnd::kLeft:
      return Cause::kClientLeft;
    case TryEnd::kFailed:
      return Cause::kFailed;
    case TryEnd::kRefused:
      break;
    default:
      return Cause::kNoAnswer;
  }
  const AttemptRecord* latest = nullptr;
  for (const auto* a : records.attempts)
    if (a->attempt_try == last.number && (!latest || a->first_byte > latest->first_byte))
      latest = a;
  if (!latest) return Cause::kNoAttempt;
  return latest->answered == Answered::kBusy ? Cause::kBusy : Cause::kAttemptFailed;
}

/// Adds the losses of single requests up by cause.
class LossAttribution {
 public:
  LossAttribution(const Day& day, Losses& losses) : day_(day), losses_(losses) {}

  void add_unserved(const RequestRecords& records, double lost) {
    add(cause_of_end(*records.tries.back(), records), lost);
  }

  /// Splits `lost` over the phases from `intended` until the answer, in proportion to their length.
  void add_late(const RequestRecords& records, const TryRecord& served, Micros intended,
                double lost) {
    phases_.fill(0);
    Micros sent = served.sent ? served.sent : served.intended;
    add_phase(Cause::kEarlierTries, sent - intended);
    const AttemptRecord* serving = nullptr;
    Micros first = served.ended;
    for (const auto* a : records.attempts) {
      if (a->attempt_try != served.number) continue;
      first = std::min(first, a->first_byte);
      bool made_it = a->answered == Answered::kServed && a->value == served.value;
      if (made_it && (!serving || a->first_byte < serving->first_byte)) serving = a;
    }
    if (!serving || serving->ended == 0) {
      add_phase(Cause::kRouter, served.ended - sent);
    } else {
      Cause transit = crosses(*serving) ? Cause::kRouterCrossZone : Cause::kRouter;
      Micros made = serving->made ? serving->made : serving->ended;
      add_phase(transit, first - sent);
      add_phase(Cause::kEarlierAttempts, serving->first_byte - first);
      add_phase(serving->missed ? Cause::kMiss : Cause::kServer, made - serving->first_byte);
      add_phase(Cause::kHeadOfLine, serving->ended - made);
      add_phase(transit, served.ended - serving->ended);
    }
    double whole = 0;
    for (Micros s : phases_) whole += static_cast<double>(s);
    if (whole <= 0) return add(Cause::kRouter, lost);
    for (std::size_t k = 0; k < kCauses; ++k)
      add(static_cast<Cause>(k), lost * static_cast<double>(phases_[k]) / whole);
  }

 private:
  void add(Cause cause, double worth) {
    if (worth <= 0) return;
    Losses::CauseLoss& part = losses_.by_cause[static_cast<std::size_t>(cause)];
    part.worth += worth;
    ++part.requests;
  }
  /// Adds a phase. Clock readings of two threads may be out of order by microseconds, so a negative
  /// length counts as 0.
  void add_phase(Cause cause, Micros length) {
    phases_[static_cast<std::size_t>(cause)] += std::max<Micros>(length, 0);
  }
  bool crosses(const AttemptRecord& a) const {
    const auto& servers = day_.fleet.servers;
    auto s = static_cast<std::size_t>(a.server), r = static_cast<std::size_t>(a.router);
    return s < servers.size() && r < day_.routers.halls.size() &&
           servers[s].hall != day_.routers.halls[r];
  }

  const Day& day_;
  Losses& losses_;
  std::array<Micros, kCauses> phases_ = {};
};

}  // namespace

const char* name_of(Cause cause) {
  static const char* const kNames[kCauses] = {"refused, nothing tried",
                                              "refused, price cache busy",
                                              "refused, attempt failed",
                                              "failed by the router",
                                              "till left",
                                              "no answer",
                                              "late: earlier tries",
                                              "late: router and way",
                                              "late: way to another hall",
                                              "late: wasted attempts",
                                              "late: behind others",
                                              "late: at the price cache",
                                              "late: miss"};
  return kNames[static_cast<std::size_t>(cause)];
}

Losses losses_of(const Day& day, const Plan& plan, const kit::History& history) {
  std::vector<RequestRecords> all_records(plan.requests.size());
  for (const auto& t : history.tries)
    if (t.request < all_records.size()) all_records[t.request].tries.push_back(&t);
  for (const auto& a : history.attempts)
    if (a.request < all_records.size()) all_records[a.request].attempts.push_back(&a);
  Losses losses;
  LossAttribution attribution(day, losses);
  for (std::size_t k = 0; k < all_records.size(); ++k) {
    const PlannedRequest& r = plan.requests[k];
    const RequestRecords& records = all_records[k];
    if (records.tries.empty() || r.direct) continue;
    const TillClass& type = day.tills.classes[static_cast<std::size_t>(r.type)];
    double asked = type.worth * static_cast<double>(r.hint);
    losses.asked += asked;
    Micros intended = history.origin + r.at;
    auto served = std::find_if(records.tries.begin(), records.tries.end(),
                               [](const auto* t) { return t->end == TryEnd::kServed; });
    if (served == records.tries.end()) {
      attribution.add_unserved(records, asked);
      continue;
    }
    Micros took = (*served)->ended - intended;
    double earned = took <= type.latency_objective ? asked
                    : took <= type.deadline        ? asked * type.late_worth
                                                   : 0;
    losses.earned += earned;
    if (earned < asked) attribution.add_late(records, **served, intended, asked - earned);
  }
  return losses;
}

}  // namespace violetusher::rehearse
