// A seeded drive of legal but unkind events, watched by the independent checker.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "checker.hpp"
#include "support.hpp"

namespace violetusher::test {
namespace {

struct Drive {
  Settings set = basic_settings();
  std::vector<std::string> breaks;
  int sends = 0, answers = 0;
  std::string trace;

  /// `tamper` may change actions before they are carried out, to show that the checker notices.
  template <typename Tamper>
  void run(std::uint64_t seed, Tamper tamper) {
    std::mt19937_64 rng(
        seed);  // the engine's output is fixed by the standard; no std distributions
    auto pick = [&](std::uint64_t n) { return rng() % n; };
    auto list = fleet(9);
    const char* zones[] = {"a", "b", "c"};
    for (std::size_t k = 0; k < list.size(); ++k) list[k].zone = zones[k % 3], list[k].cell = k / 3;
    set.zones = {"a", "b", "c"};
    set.may_hedge = pick(2);
    set.cross_zone_charge = 0.1 * pick(2);
    set.report_fields = {ReportField::Utilization, ReportField::Queue};
    set.list_on_demand = pick(2);
    set.classes.resize(1);
    for (auto [name, effect, group] : {std::tuple{"keyed", Effect::Keyed, Group::All},
                                       {"zoned", Effect::Keyed, Group::Zone},
                                       {"celled", Effect::Keyed, Group::Cell},
                                       {"once", Effect::Once, Group::All}}) {
      ClassSettings c = set.classes[0];
      c.name = name, c.effect = effect, c.group = group, c.key_ttl = 200 * kMs;
      set.classes.push_back(c);
    }

    Balancer b(set, seed, 1);
    RuleChecker checker(set, 40);  // 200 requests a second over 9 servers, at 0.55 of capacity
    struct Event {
      int kind;  // 0 outcome, 1 timer
      Outcome outcome;
      std::uint64_t token;
    };
    std::multimap<Micros, Event> due;
    std::map<RequestId, int> tries;
    std::map<RequestId, bool> ended;
    Micros now = 1;

    auto carry_out = [&](Actions actions) {
      tamper(actions);
      checker.actions(now, actions);
      for (const Action& a : actions) {
        trace += static_cast<char>('0' + a.index());
        if (const Send* s = std::get_if<Send>(&a)) {
          ++sends;
          trace += s->server;
          Event e{0, ended_outcome(*s, tries[s->id]++, pick(100)), 0};
          Micros after = pick(20) == 0 ? 400 * kMs + pick(400) * kMs : 1 + pick(60 * kMs);
          e.outcome.latency = after;
          due.emplace(now + after, e);
        } else if (const Timer* t = std::get_if<Timer>(&a)) {
          due.emplace(now + t->after, Event{1, {}, t->token});
        } else if (const Refuse* r = std::get_if<Refuse>(&a)) {
          ended[r->id] = true, ++answers;
        } else if (const Fail* f = std::get_if<Fail>(&a)) {
          ended[f->id] = true, ++answers;
        }
      }
    };
    auto tell = [&](ListScope scope, std::vector<Server> entries) {
      checker.list(now, scope, entries);
      carry_out(b.on_list(now, scope, entries));
    };

    carry_out(b.start(now));
    tell(ListScope::Cached, list);
    for (RequestId id = 1; id < 4000; ++id) {
      Micros next = now + 5 * kMs;
      while (!due.empty() && due.begin()->first <= next) {
        auto [at, e] = *due.begin();
        due.erase(due.begin());
        now = std::max(now, at);
        if (e.kind == 1) {
          carry_out(b.on_timer(now, e.token));
          continue;
        }
        e.outcome.finished = ended[e.outcome.id] || e.outcome.status == Status::Ok;
        if (e.outcome.finished) ended[e.outcome.id] = true;
        checker.outcome(e.outcome);
        carry_out(b.on_outcome(now, e.outcome));
      }
      now = next;
      checker.clock(now);
      Server& s = list[pick(list.size())];
      switch (pick(900)) {
        case 0:
          s.health = Health::Draining;
          tell(ListScope::Delta, {s});
          break;
        case 1:
          s.health = Health::Removed;
          tell(ListScope::Delta, {s});
          break;
        case 2:
        case 3:
        case 7:
        case 8:
        case 9:
          s.health = Health::Ready;
          s.up_since = now;
          tell(ListScope::Delta, {s});
          break;
        case 4: {  // a complete list without those gone
          std::vector<Server> full;
          for (const Server& k : list)
            if (k.health != Health::Removed) full.push_back(k);
          tell(ListScope::Full, full);
          break;
        }
        case 5:
          tell(ListScope::Failed, {});
          break;
        case 6:
          if (id > 1 && !ended[id - 1]) {
            ended[id - 1] = true;
            checker.gone(id - 1);
            carry_out(b.on_client_disconnect(now, id - 1));
          }
          break;
        default:
          break;
      }
      Request r =
          read_of(id, "k" + std::to_string(pick(1 + pick(300))), 50 * kMs + pick(500) * kMs);
      r.type = set.classes[pick(set.classes.size())].name;
      checker.request(now, r);
      carry_out(b.on_request(now, r));
    }
    breaks = checker.breaks();
  }

  static Outcome ended_outcome(const Send& s, int attempt, std::uint64_t dice) {
    Status status = dice < 84   ? Status::Ok
                    : dice < 87 ? Status::Error
                    : dice < 90 ? Status::Overloaded
                    : dice < 93 ? Status::Timeout
                    : dice < 95 ? Status::ConnectFailed
                    : dice < 98 ? Status::Reset
                                : Status::NotSent;
    Outcome o = ended(s.id, s.server, status, attempt);
    o.report = {static_cast<double>(dice) / 100, static_cast<double>(dice % 7)};
    return o;
  }
};

auto untouched = [](Actions&) {};

TEST(RandomDrive, KeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Drive d;
    d.run(seed, untouched);
    EXPECT_TRUE(d.breaks.empty()) << "seed " << seed << ": " << d.breaks.front();
    EXPECT_GT(d.sends, 1000);
    EXPECT_GT(d.answers, 50);
  }
}

TEST(RandomDrive, IsRepeatable) {
  Drive a, b;
  a.run(5, untouched);
  b.run(5, untouched);
  EXPECT_EQ(a.trace, b.trace);
}

bool noticed(const Drive& d, const std::string& rule) {
  return std::any_of(d.breaks.begin(), d.breaks.end(),
                     [&](const std::string& b) { return b.rfind("rule " + rule, 0) == 0; });
}

TEST(RandomDrive, CheckerNoticesALostAnswer) {
  Drive d;
  d.run(1, [](Actions& actions) {
    std::erase_if(actions, [](const Action& a) { return std::holds_alternative<Refuse>(a); });
  });
  EXPECT_TRUE(noticed(d, "1"));
}

TEST(RandomDrive, CheckerNoticesAFalseRefusal) {
  Drive d;
  d.run(1, [](Actions& actions) {
    for (Action& a : actions)
      if (const Fail* f = std::get_if<Fail>(&a)) a = Refuse{f->id, 0};
  });
  EXPECT_TRUE(noticed(d, "2"));
}

TEST(RandomDrive, CheckerNoticesSendsToOneServerWhateverItsState) {
  // Over some drives: whether a drain finds anything to send depends on what else happens in one.
  bool drain = false, cold = false;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Drive d;
    d.run(seed, [](Actions& actions) {
      for (Action& a : actions)
        if (Send* s = std::get_if<Send>(&a)) s->server = "10.0.0.1:80";
    });
    drain |= noticed(d, "3");
    cold |= noticed(d, "4");
  }
  EXPECT_TRUE(drain);
  EXPECT_TRUE(cold);
}

}  // namespace
}  // namespace violetusher::test
