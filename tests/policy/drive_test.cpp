// Seeded random sequences of valid but adverse events, checked by the independent RuleChecker.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "checker.hpp"
#include "support.hpp"

namespace violetusher::test {
namespace {

struct RandomEventRun {
  Settings settings = basic_settings();
  std::vector<std::string> violations;
  int sends = 0, answers = 0;
  std::string trace;

  /// `tamper` may change actions before they are executed, to show that the checker notices.
  template <typename Tamper>
  void run(std::uint64_t seed, Tamper tamper) {
    // The standard fixes the engine's output, but not that of its distributions.
    std::mt19937_64 rng(seed);
    auto pick = [&](std::uint64_t n) { return rng() % n; };
    auto list = fleet(9);
    const char* zones[] = {"a", "b", "c"};
    for (std::size_t k = 0; k < list.size(); ++k) list[k].zone = zones[k % 3], list[k].cell = k / 3;
    settings.zones = {"a", "b", "c"};
    settings.may_hedge = pick(2);
    settings.cross_zone_charge = 0.1 * pick(2);
    settings.report_fields = {ReportField::Utilization, ReportField::Queue};
    settings.list_on_demand = pick(2);
    settings.classes.resize(1);
    for (auto [name, effect, group] : {std::tuple{"keyed", Effect::Keyed, Group::All},
                                       {"zoned", Effect::Keyed, Group::Zone},
                                       {"celled", Effect::Keyed, Group::Cell},
                                       {"once", Effect::Once, Group::All}}) {
      ClassSettings c = settings.classes[0];
      c.name = name, c.effect = effect, c.group = group, c.key_ttl = 200 * kMs;
      settings.classes.push_back(c);
    }

    Balancer b(settings, seed, 1);
    // 200 requests per second over 9 servers: 0.55 of their capacity.
    RuleChecker checker(settings, 40);
    struct Event {
      int kind;  // 0 outcome, 1 timer
      Outcome outcome;
      std::uint64_t token;
    };
    std::multimap<Micros, Event> scheduled;
    std::map<RequestId, int> attempts;
    std::map<RequestId, bool> finished;
    Micros now = 1;

    auto execute = [&](Actions actions) {
      tamper(actions);
      checker.actions(now, actions);
      for (const Action& a : actions) {
        trace += static_cast<char>('0' + a.index());
        if (const Send* s = std::get_if<Send>(&a)) {
          ++sends;
          trace += s->server;
          Event e{0, random_outcome(*s, attempts[s->id]++, pick(100)), 0};
          Micros after = pick(20) == 0 ? 400 * kMs + pick(400) * kMs : 1 + pick(60 * kMs);
          e.outcome.latency = after;
          scheduled.emplace(now + after, e);
        } else if (const Timer* t = std::get_if<Timer>(&a)) {
          scheduled.emplace(now + t->after, Event{1, {}, t->token});
        } else if (const Refuse* r = std::get_if<Refuse>(&a)) {
          finished[r->id] = true, ++answers;
        } else if (const Fail* f = std::get_if<Fail>(&a)) {
          finished[f->id] = true, ++answers;
        }
      }
    };
    auto notify = [&](ListScope scope, std::vector<Server> entries) {
      checker.host_list(now, scope, entries);
      execute(b.on_list(now, scope, entries));
    };

    execute(b.start(now));
    notify(ListScope::Cached, list);
    for (RequestId id = 1; id < 4000; ++id) {
      Micros next = now + 5 * kMs;
      while (!scheduled.empty() && scheduled.begin()->first <= next) {
        auto [at, e] = *scheduled.begin();
        scheduled.erase(scheduled.begin());
        now = std::max(now, at);
        if (e.kind == 1) {
          execute(b.on_timer(now, e.token));
          continue;
        }
        e.outcome.finished = finished[e.outcome.id] || e.outcome.status == Status::Ok;
        if (e.outcome.finished) finished[e.outcome.id] = true;
        checker.outcome(e.outcome);
        execute(b.on_outcome(now, e.outcome));
      }
      now = next;
      checker.advance(now);
      Server& s = list[pick(list.size())];
      switch (pick(900)) {
        case 0:
          s.health = Health::Draining;
          notify(ListScope::Delta, {s});
          break;
        case 1:
          s.health = Health::Removed;
          notify(ListScope::Delta, {s});
          break;
        case 2:
        case 3:
        case 7:
        case 8:
        case 9:
          s.health = Health::Ready;
          s.up_since = now;
          notify(ListScope::Delta, {s});
          break;
        case 4: {  // a complete list without the removed servers
          std::vector<Server> full;
          for (const Server& k : list)
            if (k.health != Health::Removed) full.push_back(k);
          notify(ListScope::Full, full);
          break;
        }
        case 5:
          notify(ListScope::Failed, {});
          break;
        case 6:
          if (id > 1 && !finished[id - 1]) {
            finished[id - 1] = true;
            checker.disconnect(id - 1);
            execute(b.on_client_disconnect(now, id - 1));
          }
          break;
        default:
          break;
      }
      Request r =
          make_read(id, "k" + std::to_string(pick(1 + pick(300))), 50 * kMs + pick(500) * kMs);
      r.type = settings.classes[pick(settings.classes.size())].name;
      checker.request(now, r);
      execute(b.on_request(now, r));
    }
    violations = checker.violations();
  }

  static Outcome random_outcome(const Send& s, int attempt, std::uint64_t percent) {
    Status status = percent < 84   ? Status::Ok
                    : percent < 87 ? Status::Error
                    : percent < 90 ? Status::Overloaded
                    : percent < 93 ? Status::Timeout
                    : percent < 95 ? Status::ConnectFailed
                    : percent < 98 ? Status::Reset
                                   : Status::NotSent;
    Outcome o = make_outcome(s.id, s.server, status, attempt);
    o.report = {static_cast<double>(percent) / 100, static_cast<double>(percent % 7)};
    return o;
  }
};

auto untouched = [](Actions&) {};

TEST(RandomEvents, KeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    RandomEventRun d;
    d.run(seed, untouched);
    EXPECT_TRUE(d.violations.empty()) << "seed " << seed << ": " << d.violations.front();
    EXPECT_GT(d.sends, 1000);
    EXPECT_GT(d.answers, 50);
  }
}

TEST(RandomEvents, IsRepeatable) {
  RandomEventRun a, b;
  a.run(5, untouched);
  b.run(5, untouched);
  EXPECT_EQ(a.trace, b.trace);
}

bool noticed(const RandomEventRun& d, const std::string& rule) {
  return std::any_of(d.violations.begin(), d.violations.end(),
                     [&](const std::string& b) { return b.rfind("rule " + rule, 0) == 0; });
}

TEST(RandomEvents, CheckerNoticesALostAnswer) {
  RandomEventRun d;
  d.run(1, [](Actions& actions) {
    std::erase_if(actions, [](const Action& a) { return std::holds_alternative<Refuse>(a); });
  });
  EXPECT_TRUE(noticed(d, "1"));
}

TEST(RandomEvents, CheckerNoticesAFalseRefusal) {
  RandomEventRun d;
  d.run(1, [](Actions& actions) {
    for (Action& a : actions)
      if (const Fail* f = std::get_if<Fail>(&a)) a = Refuse{f->id, 0};
  });
  EXPECT_TRUE(noticed(d, "2"));
}

TEST(RandomEvents, CheckerNoticesSendsToDrainingAndSlowStartServers) {
  // Several seeds, as not every run has a request for the server while it drains.
  bool drain = false, slow_start = false;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    RandomEventRun d;
    d.run(seed, [](Actions& actions) {
      for (Action& a : actions)
        if (Send* s = std::get_if<Send>(&a)) s->server = "10.0.0.1:80";
    });
    drain |= noticed(d, "3");
    slow_start |= noticed(d, "4");
  }
  EXPECT_TRUE(drain);
  EXPECT_TRUE(slow_start);
}

}  // namespace
}  // namespace violetusher::test
