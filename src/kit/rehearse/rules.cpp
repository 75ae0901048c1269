// The rules that bind on every day.
#include <algorithm>
#include <unordered_map>

#include "judging.hpp"
#include "kit/common/units.hpp"

namespace violetusher::rehearse {
namespace {

using kit::Answered;
using kit::TryEnd;

// A request may still go out for this long after its client has left, and be written to its end for
// this long after its answer.
constexpr Micros kGivenUpGrace = 100'000;
// What either process of a replacement was told binds both this long after the new one is ready.
constexpr Micros kBindsAfterTakeover = 2'000'000;
// A process that takes over has to be ready within this.
constexpr Micros kMaxTakeoverTime = 6'000'000;
// The pages cap the deadlines that a shutdown waits for.
constexpr Micros kMaxDeadline = 3'000'000;

class RuleChecker {
 public:
  RuleChecker(const Day& day, const kit::History& history, const AttemptIndex& attempts,
              Verdict& verdict)
      : day_(day),
        history_(history),
        attempts_(attempts),
        verdict_(verdict),
        router_count_(static_cast<int>(day.routers.halls.size())) {}

  void run() {
    check_tries();
    check_effects();
    check_drains();
    check_cold_servers();
    check_processes();
  }

 private:
  void add_violation(const char* rule, const std::string& request, Micros at,
                     const std::string& what) {
    if (verdict_.broken[rule]++ < kMostFindings)
      verdict_.findings.push_back({rule, request, at - history_.origin, what});
  }

  /// True if the script killed or froze the router while the try was in progress. The client has to
  /// retry such a request, so it does not count as lost.
  bool client_must_retry(const kit::TryRecord& t) const {
    for (const auto& life : history_.lives) {
      if (life.router != t.router) continue;
      if (life.killed && life.ended >= t.intended && life.started <= t.ended) return true;
      for (auto [from, until] : life.frozen)
        if (from <= t.ended && until >= t.intended) return true;
    }
    return no_process_served(t);
  }

  /// True if the try was sent between the end of a killed process and the time at which the next
  /// one was ready: where the platform holds the listening socket, it waits there.
  bool no_process_served(const kit::TryRecord& t) const {
    if (!replaces_processes(day_.router_faults)) return false;
    for (const auto& killed : history_.lives) {
      if (killed.router != t.router || !killed.killed || t.intended < killed.ended) continue;
      auto next = std::find_if(history_.lives.begin(), history_.lives.end(), [&](const auto& l) {
        return l.router == t.router && l.started >= killed.ended;
      });
      bool served_again = next != history_.lives.end() && next->ready;
      if (!served_again || t.intended <= next->ready) return true;
    }
    return false;
  }

  /// True if a fault in the interval prevents connections from being established, so that the
  /// stand-ins do not see attempts that the router makes.
  bool connections_blocked(Micros from, Micros until) const {
    for (const auto& f : day_.faults)
      if ((f.kind == standin::FaultKind::kVanishes || f.kind == standin::FaultKind::kHallCut ||
           f.kind == standin::FaultKind::kMute) &&
          history_.origin + f.from <= until && history_.origin + f.until + kOrderSlack >= from)
        return true;
    return false;
  }

  /// True if a price cache reads slowly in the interval: it records an attempt only once all of the
  /// command has been read.
  bool requests_partly_read(Micros from, Micros until) const {
    return std::any_of(day_.faults.begin(), day_.faults.end(), [&](const standin::Fault& f) {
      return f.kind == standin::FaultKind::kReadsSlowly && history_.origin + f.from <= until &&
             history_.origin + f.until + kOrderSlack >= from;
    });
  }

  static std::string id_of(const kit::TryRecord& t) {
    return standin::request_id(t.request, t.number);
  }

  void check_tries() {
    for (const auto& t : history_.tries) {
      ++verdict_.tries;
      if (t.router >= router_count_ || t.end == TryEnd::kOpen) continue;  // direct, or cut short
      const auto& attempts = attempts_.of(t);
      check_not_lost(t, attempts);
      check_not_cut_off(t, attempts);
      if (t.extra)
        add_violation(kOneAnswer, id_of(t), t.ended, "more bytes came after the final answer");
      check_nothing_sent_after(t, attempts);
      check_answered_at_once(t, attempts);
    }
  }

  /// No attempt may be begun once the client has its answer or has left, and none be completed.
  void check_nothing_sent_after(const kit::TryRecord& t, const AttemptIndex::Attempts& attempts) {
    bool answered =
        t.end == TryEnd::kServed || t.end == TryEnd::kRefused || t.end == TryEnd::kFailed;
    bool left = t.end == TryEnd::kLeft;
    if (!answered && !left) return;
    const char* what = left ? " after the client left" : " after the final answer";
    Micros begin_grace = kOrderSlack + (left ? kGivenUpGrace : 0);
    for (const auto* a : attempts) {
      if (a->router >= router_count_) continue;
      Micros begun = a->first_byte - t.answered(), completed = a->last_byte - t.answered();
      if (begun > begin_grace)
        add_violation(kNoAttemptAfterAnswer, id_of(t), a->first_byte,
                      at_router(t) + "attempt sent to " + name(a->server) + " " +
                          kit::duration_text(begun) + what);
      else if (completed > kOrderSlack + kGivenUpGrace)
        add_violation(kNoAttemptAfterAnswer, id_of(t), a->last_byte,
                      at_router(t) + "attempt at " + name(a->server) + ", begun " +
                          kit::duration_text(-begun) + " before, completed " +
                          kit::duration_text(completed) + what);
    }
  }

  static std::string at_router(const kit::TryRecord& t) {
    return "r" + std::to_string(t.router + 1) + ": ";
  }

  /// Describes the outcome of each attempt for a message.
  std::string describe_attempts(const AttemptIndex::Attempts& attempts) const {
    std::string text;
    for (const auto* a : attempts) {
      text += (text.empty() ? "" : ", ") + name(a->server) + ": " + kit::name_of(a->answered) +
              " after " + kit::duration_text(a->ended - a->first_byte);
      if (a->made && a->ended - a->made > kHeadOfLineThreshold)
        text += ", of which " + kit::duration_text(a->ended - a->made) +
                " waiting behind other answers";
    }
    return text.empty() ? "no attempt reached a price cache" : text;
  }

  std::string name(int server) const { return history_.servers[static_cast<std::size_t>(server)]; }

  void check_not_lost(const kit::TryRecord& t, const AttemptIndex::Attempts& attempts) {
    std::string r = "r" + std::to_string(t.router + 1);
    switch (t.end) {
      case TryEnd::kServed: {
        bool made = std::any_of(attempts.begin(), attempts.end(), [&](auto* a) {
          return (a->answered == Answered::kServed || a->answered == Answered::kSpoilt) &&
                 a->value == t.value;
        });
        if (!made)
          add_violation(kNoRequestLost, id_of(t), t.ended,
                        r + " returned a value that no price cache produced for this request");
        break;
      }
      case TryEnd::kGarbled:
        add_violation(kNoRequestLost, id_of(t), t.ended,
                      r + " sent a malformed answer or the answer to another request");
        break;
      case TryEnd::kSilent:
        if (t.sent && !client_must_retry(t))
          add_violation(
              kNoRequestLost, id_of(t), t.ended,
              r + " sent no answer within " + kit::duration_text(t.wait) + " plus answer_slack");
        break;
      case TryEnd::kClosed:
        // A request that is sent while the router closes the idle connection was not received; the
        // client retries it.
        if (!client_must_retry(t) && !(t.kept_connection && attempts.empty()) && t.sent)
          add_violation(kNoRequestLost, id_of(t), t.ended,
                        r + " closed the connection without an answer");
        break;
      default:
        break;
    }
  }

  /// An answer that was written slowly, and would have been whole in the client's time (a long
  /// value: begun), must not be ended by the router unless the client is served otherwise.
  void check_not_cut_off(const kit::TryRecord& t, const AttemptIndex::Attempts& attempts) {
    if (t.end == TryEnd::kServed || t.end == TryEnd::kLeft || client_must_retry(t)) return;
    if (t.end == TryEnd::kCutOff) return check_long_value_whole(t, attempts);
    for (const auto* a : attempts) {
      Micros spare = t.sent + t.wait - a->would_suffice;
      if (!a->left || a->would_suffice == 0 || spare < kOrderSlack) continue;
      add_violation(kSoundAnswerCut, id_of(t), a->ended,
                    "r" + std::to_string(t.router + 1) + " closed on the answer of " +
                        name(a->server) + " that would have sufficed " + kit::duration_text(spare) +
                        " before the client's time was over");
      return;
    }
  }

  /// A long value that has begun may break off only because a price cache broke it off, could not
  /// be reached, or because the router has to end.
  void check_long_value_whole(const kit::TryRecord& t, const AttemptIndex::Attempts& attempts) {
    bool server_ended = std::any_of(attempts.begin(), attempts.end(), [](const auto* a) {
      return a->answered == Answered::kReset || a->answered == Answered::kSpoilt;
    });
    if (server_ended || connections_blocked(t.sent, t.ended) || router_had_to_end(t)) return;
    add_violation(kSoundAnswerCut, id_of(t), t.ended,
                  "r" + std::to_string(t.router + 1) + " closed the connection within a value, " +
                      kit::duration_text(t.ended - t.begun) + " after its beginning (" +
                      describe_attempts(attempts) + ")");
  }

  /// True if a shutdown of the router had lasted for as long as it waits for open requests.
  bool router_had_to_end(const kit::TryRecord& t) const {
    Micros longest = 0;
    for (const auto& type : day_.tills.classes) longest = std::max(longest, type.deadline);
    return std::any_of(history_.lives.begin(), history_.lives.end(), [&](const auto& life) {
      return life.router == t.router && life.signalled != 0 && life.started <= t.ended &&
             t.ended >= life.signalled + std::min(longest, kMaxDeadline);
    });
  }

  /// A refusal or failure must be sent as soon as no attempt is in progress for the request.
  void check_answered_at_once(const kit::TryRecord& t, const AttemptIndex::Attempts& attempts) {
    if (t.end != TryEnd::kRefused && t.end != TryEnd::kFailed) return;
    Micros last = t.sent;
    for (const auto* a : attempts) {
      if (a->ended == 0) return;  // may still be in progress
      last = std::max(last, a->ended);
    }
    Micros idle = t.ended - last;
    if (idle <= day_.expect.max_answer_delay || connections_blocked(last, t.ended) ||
        requests_partly_read(last, t.ended) || client_must_retry(t))
      return;
    add_violation(kAnsweredAtOnce, id_of(t), t.ended,
                  at_router(t) + (t.end == TryEnd::kRefused ? "refused" : "failed") + " " +
                      kit::duration_text(idle) + " after its last activity (" +
                      describe_attempts(attempts) + ")");
  }

  void check_effects() {
    std::unordered_map<std::uint64_t, std::vector<const kit::EffectRecord*>> by_request;
    for (const auto& e : history_.effects)
      if (e.request != kit::kNoRequest) by_request[e.request].push_back(&e);
    for (auto& [request, list] : by_request) {
      if (list.size() < 2) continue;
      // Only keyed writes have effects, and retries of a till use the same key.
      const auto* second = list[1];
      add_violation(kNoEffectTwice, standin::request_id(request, 0), second->at,
                    std::to_string(list.size()) + " effects of one keyed write, the second at " +
                        name(second->server) + " " + kit::duration_text(second->at - list[0]->at) +
                        " after the first");
    }
  }

  void check_drains() {
    // The notifications of discovery, by router and price cache.
    std::map<std::pair<int, int>, std::vector<const kit::ToldRecord*>> notifications;
    for (const auto& t : history_.told) notifications[{t.router, t.server}].push_back(&t);
    // Notifications that count without having arrived are recorded late.
    for (auto& [router_and_server, list] : notifications)
      std::stable_sort(list.begin(), list.end(),
                       [](const auto* a, const auto* b) { return a->at < b->at; });
    Micros grace = day_.expect.drain_grace + kOrderSlack;
    for (const auto& a : history_.attempts) {
      if (a.router < 0 || a.router >= router_count_) continue;
      auto it = notifications.find({a.router, a.server});
      if (it == notifications.end()) continue;
      Micros life = 0;  // a restarted process knows nothing of earlier notifications
      for (const auto& l : history_.lives)
        if (l.router == a.router && !l.replaces && l.started <= a.first_byte)
          life = std::max(life, l.started);
      const kit::ToldRecord* latest = nullptr;
      const kit::ToldRecord* since = nullptr;  // the first notification of the current state
      for (const auto* t : it->second) {
        if (t->at > a.first_byte || t->at < life) continue;
        bool ready = t->health == Health::Ready;
        if (!latest || ready != (latest->health == Health::Ready)) since = t;
        latest = t;
      }
      if (!latest || latest->health == Health::Ready) continue;
      Micros read = since->at;  // a frozen process reads it when it continues
      for (const auto& l : history_.lives)
        for (auto [from, until] : l.frozen)
          if (l.router == a.router && from <= read && until > read) read = until;
      if (a.first_byte <= binding_time(a.router, a.first_byte, read) + grace) continue;
      add_violation(
          kDrainsRespected,
          a.request == kit::kNoRequest ? "" : standin::request_id(a.request, a.attempt_try),
          a.first_byte,
          "r" + std::to_string(a.router + 1) + " sent to " + name(a.server) + " " +
              kit::duration_text(a.first_byte - since->at) + " after discovery reported it as " +
              (latest->health == Health::Removed ? "removed" : "draining"));
    }
  }

  /// When something that the router was told at `told` binds an attempt at `at`. While it is
  /// replaced, either of its processes may have sent it, and may not have been told.
  Micros binding_time(int router, Micros at, Micros told) const {
    Micros binds = told;
    for (const auto& life : history_.lives) {
      if (life.router != router || !life.replaces || life.started > at) continue;
      Micros shared = life.ready ? life.ready + kBindsAfterTakeover : history_.ended;
      if (told < shared) binds = std::max(binds, shared);
    }
    return binds;
  }

  void check_cold_servers() {
    for (auto [server, at] : history_.fallen)
      add_violation(kNoColdServerOverloaded, "", at,
                    name(server) + " was overloaded and failed during its slow start");
  }

  void check_processes() {
    for (const auto& life : history_.lives) {
      std::string r = "r" + std::to_string(life.router + 1);
      if (life.crashed)
        add_violation(kRoutersLive, "", life.ended, r + " ended unexpectedly: " + life.how);
      Micros taken_over = life.ready ? life.ready : history_.ended;
      if (life.replaces && !life.crashed && taken_over - life.started > kMaxTakeoverTime)
        add_violation(kRoutersLive, "", life.started,
                      r + ": the process that takes over was not ready within " +
                          kit::duration_text(kMaxTakeoverTime));
      if (life.ready == 0 && !life.ended && history_.ended - life.started > day_.rig.ready_within)
        add_violation(kRoutersLive, "", life.started, r + " did not become ready");
    }
  }

  const Day& day_;
  const kit::History& history_;
  const AttemptIndex& attempts_;
  Verdict& verdict_;
  int router_count_;
};

}  // namespace

void check_rules(const Day& day, const kit::History& history, const AttemptIndex& attempts,
                 Verdict& verdict) {
  RuleChecker(day, history, attempts, verdict).run();
}

}  // namespace violetusher::rehearse
