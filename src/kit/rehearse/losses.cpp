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
struct Life {
  std::vector<const TryRecord*> tries;
  std::vector<const AttemptRecord*> attempts;
};

/// The cause of a loss when the last try was not served.
Cause cause_of_end(const TryRecord& last, const Life& life) {
  switch (last.end) {
    case TryEnd::kLeft:
      return Cause::kLeft;
    case TryEnd::kFailed:
      return Cause::kFailed;
    case TryEnd::kRefused:
      break;
    default:
      return Cause::kUnanswered;
  }
  const AttemptRecord* latest = nullptr;
  for (const auto* a : life.attempts)
    if (a->attempt_try == last.number && (!latest || a->first_byte > latest->first_byte))
      latest = a;
  if (!latest) return Cause::kUntried;
  return latest->answered == Answered::kBusy ? Cause::kBusy : Cause::kAttempt;
}

/// Adds the losses of single requests up by cause.
class Account {
 public:
  Account(const Day& day, Losses& losses) : day_(day), losses_(losses) {}

  void not_served(const Life& life, double lost) {
    add(cause_of_end(*life.tries.back(), life), lost);
  }

  /// Splits `lost` over the phases from `intended` until the answer, in proportion to their length.
  void late(const Life& life, const TryRecord& served, Micros intended, double lost) {
    spans_.fill(0);
    Micros sent = served.sent ? served.sent : served.intended;
    span(Cause::kTries, sent - intended);
    const AttemptRecord* by = nullptr;
    Micros first = served.ended;
    for (const auto* a : life.attempts) {
      if (a->attempt_try != served.number) continue;
      first = std::min(first, a->first_byte);
      bool made_it = a->answered == Answered::kServed && a->value == served.value;
      if (made_it && (!by || a->first_byte < by->first_byte)) by = a;
    }
    if (!by || by->ended == 0) {
      span(Cause::kRouter, served.ended - sent);
    } else {
      Cause way = crosses(*by) ? Cause::kCrossing : Cause::kRouter;
      Micros made = by->made ? by->made : by->ended;
      span(way, first - sent);
      span(Cause::kWasted, by->first_byte - first);
      span(by->missed ? Cause::kMiss : Cause::kServer, made - by->first_byte);
      span(Cause::kBehind, by->ended - made);
      span(way, served.ended - by->ended);
    }
    double whole = 0;
    for (Micros s : spans_) whole += static_cast<double>(s);
    if (whole <= 0) return add(Cause::kRouter, lost);
    for (std::size_t k = 0; k < kCauses; ++k)
      add(static_cast<Cause>(k), lost * static_cast<double>(spans_[k]) / whole);
  }

 private:
  void add(Cause cause, double worth) {
    if (worth <= 0) return;
    Losses::Part& part = losses_.parts[static_cast<std::size_t>(cause)];
    part.worth += worth;
    ++part.requests;
  }
  /// Adds a phase. Clock readings of two threads may be out of order by microseconds, so a negative
  /// length counts as 0.
  void span(Cause cause, Micros length) {
    spans_[static_cast<std::size_t>(cause)] += std::max<Micros>(length, 0);
  }
  bool crosses(const AttemptRecord& a) const {
    const auto& servers = day_.fleet.servers;
    auto s = static_cast<std::size_t>(a.server), r = static_cast<std::size_t>(a.router);
    return s < servers.size() && r < day_.routers.halls.size() &&
           servers[s].hall != day_.routers.halls[r];
  }

  const Day& day_;
  Losses& losses_;
  std::array<Micros, kCauses> spans_ = {};
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
  std::vector<Life> lives(plan.requests.size());
  for (const auto& t : history.tries)
    if (t.request < lives.size()) lives[t.request].tries.push_back(&t);
  for (const auto& a : history.attempts)
    if (a.request < lives.size()) lives[a.request].attempts.push_back(&a);
  Losses losses;
  Account account(day, losses);
  for (std::size_t k = 0; k < lives.size(); ++k) {
    const PlannedRequest& r = plan.requests[k];
    const Life& life = lives[k];
    if (life.tries.empty() || r.direct) continue;
    const TillClass& type = day.tills.classes[static_cast<std::size_t>(r.type)];
    double asked = type.worth * static_cast<double>(r.hint);
    losses.asked += asked;
    Micros intended = history.origin + r.at;
    auto served = std::find_if(life.tries.begin(), life.tries.end(),
                               [](const auto* t) { return t->end == TryEnd::kServed; });
    if (served == life.tries.end()) {
      account.not_served(life, asked);
      continue;
    }
    Micros took = (*served)->ended - intended;
    double earned = took <= type.wanted     ? asked
                    : took <= type.gives_up ? asked * type.late_worth
                                            : 0;
    losses.earned += earned;
    if (earned < asked) account.late(life, **served, intended, asked - earned);
  }
  return losses;
}

}  // namespace violetusher::rehearse
