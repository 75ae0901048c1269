// An independent check of the rules that a router must keep, from its events and actions. It shares
// no code with the library. The rules: 1. each request gets one final answer in time; 2. no request
// that must not repeat runs twice; 3. nothing is sent to draining or removed servers; 4. no server
// in slow start is overloaded.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::test {

/// Checks the events and actions of one router.
class RuleChecker {
 public:
  /// `capacity`: requests per second that a warm server of weight 1 can handle.
  RuleChecker(const Settings& settings, double capacity)
      : settings_(settings), capacity_(capacity) {}

  const std::vector<std::string>& violations() const { return violations_; }

  void host_list(Micros now, ListScope scope, const std::vector<Server>& entries) {
    if (scope == ListScope::Failed) return;
    if (scope != ListScope::Delta)
      for (auto& [id, s] : servers_) {
        bool listed = false;
        for (const Server& e : entries) listed |= e.id == id;
        if (!listed && s.entry.health == Health::Ready)
          s.entry.health = Health::Removed, s.notified_at = now;
      }
    for (const Server& e : entries) {
      KnownServer& s = servers_[e.id];
      if (e.health != Health::Ready && s.entry.health == Health::Ready) s.notified_at = now;
      s.entry = e;
    }
  }

  void request(Micros now, const Request& r) {
    PendingResponse response;
    response.deadline = now + r.remaining;
    for (const ClassSettings& c : settings_.classes)
      if (c.name == r.type) response.class_settings = c;
    pending_responses_[r.id] = response;
  }

  void outcome(const Outcome& r) {
    PendingResponse& response = pending_responses_[r.id];
    Attempt& attempt = response.attempts[r.attempt];
    attempt.out = false;
    attempt.never_ran = r.status == Status::Overloaded || r.status == Status::ConnectFailed ||
                        r.status == Status::NotSent || r.status == Status::Miss;
    if (r.finished) response.ended = true;
  }

  void disconnect(RequestId id) { pending_responses_[id].ended = true; }

  void actions(Micros now, const Actions& actions) {
    for (const Action& a : actions) {
      if (const Send* s = std::get_if<Send>(&a)) send(now, *s);
      if (const Refuse* s = std::get_if<Refuse>(&a)) final_answer(now, s->id, true);
      if (const Fail* s = std::get_if<Fail>(&a)) final_answer(now, s->id, false);
    }
  }

  /// Checks for final answers that are overdue. To be called as time passes.
  void advance(Micros now) {
    for (auto& [id, response] : pending_responses_)
      if (!response.ended && now > response.deadline + settings_.answer_slack) {
        add_violation("1: no final answer for", id);
        response.ended = true;
      }
  }

 private:
  struct Attempt {
    std::string server;
    Micros sent = 0;
    bool out = true;
    bool never_ran = false;
  };
  struct PendingResponse {
    ClassSettings class_settings;
    Micros deadline = 0;
    bool ended = false;
    std::vector<Attempt> attempts;
  };
  struct KnownServer {
    Server entry;
    Micros notified_at = 0;
    std::vector<Micros> slow_start_sends;
  };

  void add_violation(const std::string& what, RequestId id) {
    violations_.push_back("rule " + what + " " + std::to_string(id));
  }

  void final_answer(Micros now, RequestId id, bool refusal) {
    PendingResponse& response = pending_responses_[id];
    if (response.ended) add_violation("1: a second final answer for", id);
    if (now > response.deadline + settings_.answer_slack) add_violation("1: late answer for", id);
    response.ended = true;
    if (!refusal || response.class_settings.effect == Effect::Repeatable) return;
    for (const Attempt& attempt : response.attempts)
      if (!attempt.never_ran && !(response.class_settings.effect == Effect::Keyed &&
                                  response.class_settings.group == Group::All))
        add_violation("2: refused though it may have run", id);
  }

  void send(Micros now, const Send& s) {
    PendingResponse& response = pending_responses_[s.id];
    KnownServer& target = servers_[s.server];
    if (response.ended) add_violation("1: sent after the end", s.id);
    for (const Attempt& attempt : response.attempts) {
      if (attempt.out && !settings_.may_hedge) add_violation("2: two attempts out", s.id);
      if (attempt.never_ran || response.class_settings.effect == Effect::Repeatable) continue;
      const Server& previous = servers_[attempt.server].entry;
      bool same_group =
          response.class_settings.group == Group::All ||
          (response.class_settings.group == Group::Zone && previous.zone == target.entry.zone) ||
          (response.class_settings.group == Group::Cell && previous.cell >= 0 &&
           previous.cell == target.entry.cell);
      if (response.class_settings.effect == Effect::Once)
        add_violation("2: repeated", s.id);
      else if (!same_group)
        add_violation("2: repeated outside its group", s.id);
      else if (now > attempt.sent + response.class_settings.key_ttl)
        add_violation("2: repeated after its key expired", s.id);
    }
    if (target.entry.health != Health::Ready && now > target.notified_at + settings_.drain_grace)
      add_violation("3: sent to a draining server", s.id);
    Micros age = now - target.entry.up_since;
    if (target.entry.up_since > 0 && age < settings_.slow_start_window) {
      target.slow_start_sends.push_back(now);
      double count = 0;
      for (Micros at : target.slow_start_sends)
        count += at > now - settings_.overload_window && at >= target.entry.up_since;
      double part = settings_.slow_start_min_fraction + (1 - settings_.slow_start_min_fraction) *
                                                            double(age) /
                                                            double(settings_.slow_start_window);
      double window = double(settings_.overload_window) / 1e6;
      if (count > settings_.overload_factor * part * capacity_ * window + 2)
        add_violation("4: a server in slow start was overloaded by", s.id);
    }
    response.attempts.push_back({s.server, now});
  }

  Settings settings_;
  double capacity_;
  std::map<std::string, KnownServer> servers_;
  std::map<RequestId, PendingResponse> pending_responses_;
  std::vector<std::string> violations_;
};

}  // namespace violetusher::test
