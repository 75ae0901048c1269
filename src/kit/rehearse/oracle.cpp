#include "oracle.hpp"

#include <algorithm>
#include <cstdio>
#include <unordered_map>

#include "kit/common/units.hpp"

namespace violetusher::rehearse {
namespace {

using kit::Answered;
using kit::TryEnd;

// Tolerance for the order of events that two threads of the rig record, with kernel buffers between
// them.
constexpr Micros kOrderSlack = 50'000;

/// Reorders `values`.
Micros quantile(std::vector<Micros>& values, double q) {
  if (values.empty()) return 0;
  auto at =
      std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

/// Checks the rules and computes the figures of a verdict.
class Judge {
 public:
  Judge(const Day& day, const Plan& plan, const kit::History& history)
      : day_(day),
        plan_(plan),
        history_(history),
        router_count_(static_cast<int>(day.routers.halls.size())) {
    for (const auto& a : history.attempts)
      if (a.request != kit::kNoRequest) attempts_[key(a.request, a.attempt_try)].push_back(&a);
  }

  Verdict run() {
    check_tries();
    check_effects();
    check_drains();
    check_cold_servers();
    check_processes();
    compute_service();
    compute_head_of_line();
    compute_resources();
    check_expectations();
    verdict_.attempts = history_.attempts.size();
    return std::move(verdict_);
  }

 private:
  static std::uint64_t key(std::uint64_t request, int number) {
    return request * 64 + static_cast<std::uint64_t>(number);
  }

  void add_violation(const char* rule, const std::string& request, Micros at,
                     const std::string& what) {
    if (verdict_.broken[rule]++ < kMostFindings)
      verdict_.findings.push_back({rule, request, at - history_.origin, what});
  }

  const std::vector<const kit::AttemptRecord*>& attempts_of(const kit::TryRecord& t) const {
    static const std::vector<const kit::AttemptRecord*> kNone;
    auto it = attempts_.find(key(t.request, t.number));
    return it == attempts_.end() ? kNone : it->second;
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

  static std::string id_of(const kit::TryRecord& t) {
    return standin::request_id(t.request, t.number);
  }

  void check_tries() {
    for (const auto& t : history_.tries) {
      ++verdict_.tries;
      if (t.router >= router_count_ || t.end == TryEnd::kOpen) continue;  // direct, or cut short
      const auto& attempts = attempts_of(t);
      check_not_lost(t, attempts);
      check_not_cut_off(t, attempts);
      if (t.extra)
        add_violation(kOneAnswer, id_of(t), t.ended, "more bytes came after the final answer");
      bool final =
          t.end == TryEnd::kServed || t.end == TryEnd::kRefused || t.end == TryEnd::kFailed;
      if (!final) continue;
      for (const auto* a : attempts)
        if (a->router < router_count_ && a->first_byte > t.ended + kOrderSlack)
          add_violation(kNoAttemptAfterAnswer, id_of(t), a->first_byte,
                        "attempt sent to " + name(a->server) + " " +
                            kit::duration_text(a->first_byte - t.ended) +
                            " after the final answer");
      check_answered_at_once(t, attempts);
    }
  }

  /// Describes the outcome of each attempt for a message.
  std::string describe_attempts(const std::vector<const kit::AttemptRecord*>& attempts) const {
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

  void check_not_lost(const kit::TryRecord& t,
                      const std::vector<const kit::AttemptRecord*>& attempts) {
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

  /// An answer that was written slowly, and would have been whole in the client's time, must not be
  /// ended by the router unless the client is served otherwise.
  void check_not_cut_off(const kit::TryRecord& t,
                         const std::vector<const kit::AttemptRecord*>& attempts) {
    if (t.end == TryEnd::kServed || t.end == TryEnd::kLeft || client_must_retry(t)) return;
    for (const auto* a : attempts) {
      if (!a->left || a->would_end == 0 || a->would_end + kOrderSlack > t.sent + t.wait) continue;
      add_violation(kSoundAnswerCut, id_of(t), a->ended,
                    "r" + std::to_string(t.router + 1) + " closed on the answer of " +
                        name(a->server) + " " + kit::duration_text(a->would_end - a->ended) +
                        " before its end, " + kit::duration_text(t.sent + t.wait - a->would_end) +
                        " before the client's time was over");
      return;
    }
  }

  /// A refusal or failure must be sent as soon as no attempt is in progress for the request.
  void check_answered_at_once(const kit::TryRecord& t,
                              const std::vector<const kit::AttemptRecord*>& attempts) {
    if (t.end != TryEnd::kRefused && t.end != TryEnd::kFailed) return;
    Micros last = t.sent;
    for (const auto* a : attempts) {
      if (a->ended == 0) return;  // may still be in progress
      last = std::max(last, a->ended);
    }
    Micros idle = t.ended - last;
    if (idle <= day_.expect.max_answer_delay || connections_blocked(last, t.ended) ||
        client_must_retry(t))
      return;
    add_violation(kAnsweredAtOnce, id_of(t), t.ended,
                  std::string(t.end == TryEnd::kRefused ? "refused" : "failed") + " " +
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
        if (l.router == a.router && l.started <= a.first_byte) life = std::max(life, l.started);
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
      if (a.first_byte <= read + grace) continue;
      add_violation(
          kDrainsRespected,
          a.request == kit::kNoRequest ? "" : standin::request_id(a.request, a.attempt_try),
          a.first_byte,
          "r" + std::to_string(a.router + 1) + " sent to " + name(a.server) + " " +
              kit::duration_text(a.first_byte - since->at) + " after discovery reported it as " +
              (latest->health == Health::Removed ? "removed" : "draining"));
    }
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
      if (life.ready == 0 && !life.ended && history_.ended - life.started > day_.rig.ready_within)
        add_violation(kRoutersLive, "", life.started, r + " did not become ready");
    }
  }

  struct WorthSum {
    double worth = 0, asked = 0;
    double fraction() const { return asked > 0 ? worth / asked : 1; }
  };

  void compute_service() {
    std::vector<const kit::TryRecord*> end(plan_.requests.size(), nullptr);
    std::vector<Micros> served_at(plan_.requests.size(), 0);
    for (const auto& t : history_.tries) {
      if (t.end == TryEnd::kServed && !served_at[t.request]) served_at[t.request] = t.ended;
      end[t.request] = &t;  // the last try decides how the request ended
    }
    const Tills& tills = day_.tills;
    auto windows = static_cast<std::size_t>((day_.length + kWindow - 1) / kWindow);
    std::vector<WorthSum> by_class(tills.classes.size()), by_tenant(tills.tenants.size()),
        by_window(windows);
    std::vector<std::vector<Micros>> class_times(tills.classes.size()),
        tenant_times(tills.tenants.size()), window_times(windows);
    std::vector<Micros> all, direct;
    verdict_.classes.resize(tills.classes.size());
    verdict_.tenants.resize(tills.tenants.size());
    verdict_.windows.resize(windows);
    WorthSum whole;
    for (std::size_t k = 0; k < plan_.requests.size(); ++k) {
      const PlannedRequest& r = plan_.requests[k];
      if (!end[k]) continue;  // cut short
      Micros took = served_at[k] ? served_at[k] - (history_.origin + r.at) : 0;
      if (r.direct) {
        ++verdict_.direct;
        if (served_at[k]) direct.push_back(took);
        continue;
      }
      auto c = static_cast<std::size_t>(r.type), b = static_cast<std::size_t>(r.tenant);
      auto w = std::min(static_cast<std::size_t>(r.at / kWindow), windows - 1);
      const TillClass& type = tills.classes[c];
      double asked = type.worth * static_cast<double>(r.hint);
      bool served = served_at[k] != 0, in_objective = served && took <= type.latency_objective;
      double worth = in_objective                      ? asked
                     : served && took <= type.deadline ? asked * type.late_worth
                                                       : 0;
      for (WorthSum* sum : {&whole, &by_class[c], &by_tenant[b], &by_window[w]}) {
        sum->asked += asked;
        sum->worth += worth;
      }
      ++verdict_.requests;
      for (ClassFigures* f : {&verdict_.classes[c], &verdict_.tenants[b]}) {
        ++f->asked;
        f->served += served;
        f->in_objective += in_objective;
      }
      Window& window = verdict_.windows[w];
      ++window.asked;
      if (served) {
        ++verdict_.served, ++window.served;
        all.push_back(took);
        class_times[c].push_back(took);
        tenant_times[b].push_back(took);
        window_times[w].push_back(took);
      } else if (end[k]->end == TryEnd::kRefused) {
        ++verdict_.refused, ++window.refused;
      } else if (end[k]->end == TryEnd::kLeft) {
        ++verdict_.left, ++window.failed;
      } else {
        ++verdict_.failed, ++window.failed;
      }
    }
    verdict_.service = whole.fraction();
    verdict_.p50 = quantile(all, 0.5), verdict_.p99 = quantile(all, 0.99);
    verdict_.direct_p50 = quantile(direct, 0.5), verdict_.direct_p99 = quantile(direct, 0.99);
    auto complete = [&](ClassFigures& f, const std::string& name, const WorthSum& sum,
                        std::vector<Micros>& times) {
      f.name = name;
      f.service = sum.fraction();
      f.p50 = quantile(times, 0.5), f.p99 = quantile(times, 0.99);
    };
    for (std::size_t k = 0; k < verdict_.classes.size(); ++k)
      complete(verdict_.classes[k], tills.classes[k].name, by_class[k], class_times[k]);
    for (std::size_t k = 0; k < verdict_.tenants.size(); ++k)
      complete(verdict_.tenants[k], tills.tenants[k].name, by_tenant[k], tenant_times[k]);
    for (std::size_t k = 0; k < windows; ++k) {
      verdict_.windows[k].from = static_cast<Micros>(k) * kWindow;
      verdict_.windows[k].service = by_window[k].fraction();
      verdict_.windows[k].p50 = quantile(window_times[k], 0.5);
      verdict_.windows[k].p99 = quantile(window_times[k], 0.99);
    }
    compute_added_time();
  }

  /// The latency that the router adds to requests with one attempt: the time seen by the till minus
  /// the time at the price cache.
  void compute_added_time() {
    std::vector<Micros> added;
    for (const auto& t : history_.tries) {
      if (t.router >= router_count_ || t.end != TryEnd::kServed || t.sent == 0) continue;
      const auto& attempts = attempts_of(t);
      if (attempts.size() != 1 || attempts[0]->ended == 0) continue;
      added.push_back((t.ended - t.sent) - (attempts[0]->ended - attempts[0]->first_byte));
    }
    verdict_.routed_p50 = quantile(added, 0.5), verdict_.routed_p99 = quantile(added, 0.99);
  }

  /// Computes how long complete answers waited behind other answers on their connection.
  void compute_head_of_line() {
    struct WaitSamples {
      std::vector<Micros> waits;
      void add(Micros wait) { waits.push_back(wait); }
      HeadOfLineFigures figures(const std::string& name) {
        HeadOfLineFigures f;
        f.name = name;
        f.answers = waits.size();
        for (Micros wait : waits) f.total += wait, f.waited += wait > kHeadOfLineThreshold;
        if (!waits.empty()) f.worst = *std::max_element(waits.begin(), waits.end());
        f.p50 = quantile(waits, 0.5), f.p99 = quantile(waits, 0.99);
        return f;
      }
    };
    WaitSamples all;
    std::vector<WaitSamples> servers(history_.servers.size()),
        routers(static_cast<std::size_t>(router_count_));
    for (const auto& a : history_.attempts) {
      if (!a.made || !a.ended || a.left || a.router < 0 || a.router >= router_count_) continue;
      Micros wait = std::max<Micros>(a.ended - a.made, 0);
      all.add(wait);
      servers[static_cast<std::size_t>(a.server)].add(wait);
      routers[static_cast<std::size_t>(a.router)].add(wait);
    }
    verdict_.head_of_line = all.figures("all");
    for (std::size_t k = 0; k < servers.size(); ++k)
      verdict_.head_of_line_by_server.push_back(servers[k].figures(history_.servers[k]));
    for (std::size_t k = 0; k < routers.size(); ++k)
      verdict_.head_of_line_by_router.push_back(routers[k].figures("r" + std::to_string(k + 1)));
  }

  void compute_resources() {
    verdict_.routers.resize(static_cast<std::size_t>(router_count_));
    std::vector<std::uint64_t> counts(static_cast<std::size_t>(router_count_) * 4, 0);
    for (const auto& s : history_.router_samples) {
      auto r = static_cast<std::size_t>(s.router);
      auto quarter = static_cast<std::size_t>(
          std::clamp<Micros>((s.at - history_.origin) * 4 / day_.length, 0, 3));
      RouterFigures& f = verdict_.routers[r];
      f.memory_quarters[quarter] += s.memory;
      ++counts[r * 4 + quarter];
      f.peak_memory = std::max(f.peak_memory, s.memory);
      f.descriptor_quarters[quarter] = std::max(f.descriptor_quarters[quarter], s.descriptors);
    }
    for (std::size_t r = 0; r < verdict_.routers.size(); ++r)
      for (std::size_t q = 0; q < 4; ++q)
        if (counts[r * 4 + q]) verdict_.routers[r].memory_quarters[q] /= counts[r * 4 + q];
    for (const auto& t : history_.tries)
      if (t.router >= 0 && t.router < router_count_)
        ++verdict_.routers[static_cast<std::size_t>(t.router)].tries;
  }

  void check(const std::string& name, bool held, const std::string& expected,
             const std::string& actual) {
    verdict_.checks.push_back({name, expected, actual, held});
  }
  void check_at_least(const std::string& name, double expected, double actual) {
    if (expected >= 0)
      check(name, actual >= expected, "at least " + kit::percent(expected), kit::percent(actual));
  }

  void check_expectations() {
    const Expectations& x = day_.expect;
    check_at_least("service", x.service, verdict_.service);
    double worst = 1;
    for (const Window& w : verdict_.windows)
      if (w.asked) worst = std::min(worst, w.service);
    check_at_least("worst_window", x.worst_window, worst);
    auto lowest = [](const std::vector<ClassFigures>& list) {
      double low = 1;
      for (const auto& f : list)
        if (f.asked) low = std::min(low, f.service);
      return low;
    };
    check_at_least("worst_class", x.worst_class, lowest(verdict_.classes));
    check_at_least("worst_banner", x.worst_tenant, lowest(verdict_.tenants));
    double requests = static_cast<double>(std::max<std::uint64_t>(verdict_.requests, 1));
    check_at_least("served", x.served, static_cast<double>(verdict_.served) / requests);
    if (x.refused_below >= 0) {
      double part = static_cast<double>(verdict_.refused) / requests;
      check("refused_below", part < x.refused_below, "below " + kit::percent(x.refused_below),
            kit::percent(part));
    }
    for (const auto& [name, limit] : x.p99)
      for (const auto& f : verdict_.classes)
        if (f.name == name)
          check("p99 of " + name, f.served > 0 && f.p99 <= limit,
                "at most " + kit::duration_text(limit),
                f.served ? kit::duration_text(f.p99) : "none served");
    for (const auto& [name, expected] : x.tenants)
      for (const auto& f : verdict_.tenants)
        if (f.name == name) check_at_least("service of " + name, expected, f.service);
    for (std::size_t r = 0; r < verdict_.routers.size(); ++r) {
      const RouterFigures& f = verdict_.routers[r];
      std::string router = " of r" + std::to_string(r + 1);
      auto mib = [](std::uint64_t bytes) {
        char text[32];
        std::snprintf(text, sizeof text, "%.1f MiB", static_cast<double>(bytes) / 1048576);
        return std::string(text);
      };
      check("memory" + router, f.peak_memory < x.memory_below, "below " + mib(x.memory_below),
            mib(f.peak_memory));
      int most =
          *std::max_element(std::begin(f.descriptor_quarters), std::end(f.descriptor_quarters));
      check("descriptors" + router, most < x.descriptors_below,
            "below " + std::to_string(x.descriptors_below), std::to_string(most));
      if (x.memory_growth_below >= 0 && f.memory_quarters[1] && f.memory_quarters[3]) {
        double growth =
            static_cast<double>(f.memory_quarters[3]) / static_cast<double>(f.memory_quarters[1]) -
            1;
        check("memory growth" + router, growth < x.memory_growth_below,
              "below " + kit::percent(x.memory_growth_below), kit::percent(growth));
      }
    }
    if (verdict_.requests == 0) check("requests", false, "some", "none was played");
  }

  const Day& day_;
  const Plan& plan_;
  const kit::History& history_;
  int router_count_;
  std::unordered_map<std::uint64_t, std::vector<const kit::AttemptRecord*>> attempts_;
  Verdict verdict_;
};

}  // namespace

bool Verdict::pass() const {
  return broken.empty() &&
         std::all_of(checks.begin(), checks.end(), [](auto& c) { return c.held; });
}

Verdict judge(const Day& day, const Plan& plan, const kit::History& history) {
  return Judge(day, plan, history).run();
}

}  // namespace violetusher::rehearse
