// The verdict on hand-made histories: each rule is violated by the smallest change that violates
// it, and the exceptions of the rules are checked.
#include "kit/rehearse/oracle.hpp"

#include <gtest/gtest.h>

namespace violetusher::rehearse {
namespace {

constexpr Micros kOrigin = 1'000'000'000;

/// Two reads and a sale, all served in time by r1.
struct Fixture {
  Day day = parse_day(R"(name = "d"
length = "10s"
[[fleet.servers]]
kind = "std-4c"
count = 2
[routers]
count = 1
)",
                      "d");
  Plan plan;
  kit::History h;

  Fixture() {
    for (int k = 0; k < 3; ++k) {
      PlannedRequest r;
      r.at = (k + 1) * 1'000'000;
      r.type = k == 2;
      r.hint = 1000;
      r.key = "k" + std::to_string(k);
      plan.requests.push_back(r);
    }
    h.origin = kOrigin;
    h.ended = kOrigin + day.length;
    h.servers = {"pc-1", "pc-2"};
    kit::RouterLife life;
    life.router = 0, life.started = kOrigin - 1'000'000, life.ready = kOrigin - 500'000;
    h.lives.push_back(life);
    for (std::uint64_t k = 0; k < 3; ++k) {
      Micros at = kOrigin + static_cast<Micros>(k + 1) * 1'000'000;
      kit::TryRecord t;
      t.request = k, t.router = 0, t.intended = t.sent = at, t.wait = 270'000;
      t.ended = at + 40'000, t.end = kit::TryEnd::kServed, t.value = 100 + k;
      h.tries.push_back(t);
      kit::AttemptRecord a;
      a.request = k, a.server = 0, a.router = 0, a.first_byte = a.begun = at + 1'000;
      a.ended = at + 39'000, a.answered = kit::Answered::kServed, a.value = 100 + k;
      h.attempts.push_back(a);
    }
    h.effects.push_back({2, kOrigin + 3'020'000, 0});
  }
  Verdict judged() const { return judge(day, plan, h); }
  std::string broken() const {
    std::string names;
    for (auto& [rule, count] : judged().broken) names += rule + " ";
    return names;
  }
};

TEST(Oracle, AGoodDayPasses) {
  Fixture f;
  Verdict v = f.judged();
  EXPECT_TRUE(v.pass()) << f.broken();
  EXPECT_EQ(v.served, 3u);
  EXPECT_DOUBLE_EQ(v.service, 1);
  EXPECT_EQ(v.routed_p50, 2'000);
}

TEST(Oracle, NoAnswerIsALostRequestUnlessTheRouterWasKilledOrFrozen) {
  Fixture f;
  f.h.tries[1].end = kit::TryEnd::kSilent;
  f.h.tries[1].ended = f.h.tries[1].sent + 320'000;
  EXPECT_EQ(f.broken(), "no-request-lost ");
  Verdict v = f.judged();
  EXPECT_EQ(v.findings.at(0).request, "q1-0");
  EXPECT_EQ(v.findings.at(0).at, 2'320'000);
  // The client has to retry what a router held when the script killed or froze it.
  Fixture killed = f;
  killed.h.lives[0].killed = true;
  killed.h.lives[0].ended = f.h.tries[1].sent + 10'000;
  EXPECT_EQ(killed.broken(), "");
  Fixture frozen = f;
  frozen.h.lives[0].frozen = {{f.h.tries[1].sent + 10'000, f.h.tries[1].sent + 400'000}};
  EXPECT_EQ(frozen.broken(), "");
  Fixture earlier = f;
  earlier.h.lives[0].frozen = {{kOrigin, kOrigin + 500'000}};
  EXPECT_EQ(earlier.broken(), "no-request-lost ");
}

TEST(Oracle, CloseWithoutAnswerIsLostUnlessAnIdleConnectionWasClosed) {
  Fixture f;
  f.h.tries[0].end = kit::TryEnd::kClosed;
  EXPECT_EQ(f.broken(), "no-request-lost ");
  f.h.tries[0].kept_connection = true;
  EXPECT_EQ(f.broken(), "no-request-lost ");  // the router had already sent an attempt
  f.h.attempts.erase(f.h.attempts.begin());
  EXPECT_EQ(f.broken(), "");
}

TEST(Oracle, ServedMustHaveBeenMadeForTheRequest) {
  Fixture f;
  f.h.tries[0].value = 101;  // another request's
  EXPECT_EQ(f.broken(), "no-request-lost ");
  f.h.tries[0].end = kit::TryEnd::kGarbled;
  EXPECT_EQ(f.broken(), "no-request-lost ");
}

TEST(Oracle, AFailureIsNotLost) {
  Fixture f;
  f.h.tries[0].end = kit::TryEnd::kFailed;
  f.h.tries[1].end = kit::TryEnd::kRefused;
  f.h.tries[2].end = kit::TryEnd::kNoRouter;
  EXPECT_EQ(f.broken(), "");
}

TEST(Oracle, ASoundAnswerThatTheRouterClosedOnIsCutOffUnlessTheClientIsServed) {
  Fixture f;
  f.h.attempts[0].would_suffice = f.h.tries[0].sent + 200'000;
  f.h.attempts[0].left = true;
  EXPECT_EQ(f.broken(), "");  // served, by another attempt
  f.h.tries[0].end = kit::TryEnd::kRefused;
  EXPECT_EQ(f.broken(), "sound-answer-cut-off ");
  Fixture late = f;
  late.h.attempts[0].would_suffice = f.h.tries[0].sent + f.h.tries[0].wait + 1'000;
  EXPECT_EQ(late.broken(), "");
  Fixture server = f;
  server.h.attempts[0].left = false;  // the server closed
  EXPECT_EQ(server.broken(), "");
  Fixture client = f;
  client.h.tries[0].end = kit::TryEnd::kLeft;
  EXPECT_EQ(client.broken(), "");
}

/// Guards against long values that are cut off unnoticed: one that has begun may break off only for
/// its server's sake, or at the end of its router.
TEST(Oracle, ALongValueMayBreakOffOnlyWithItsServerOrItsRouter) {
  Fixture f;
  kit::TryRecord& t = f.h.tries[0];
  t.begun = t.sent + 40'000;
  t.ended = t.sent + 2'000'000;
  EXPECT_EQ(f.broken(), "");
  EXPECT_EQ(f.judged().p50, 40'000);  // timed by its beginning
  t.end = kit::TryEnd::kCutOff;
  f.h.attempts[0].answered = kit::Answered::kNothing;
  f.h.attempts[0].left = true;
  EXPECT_EQ(f.broken(), "sound-answer-cut-off ");
  Fixture server = f;
  server.h.attempts[0].answered = kit::Answered::kReset;
  EXPECT_EQ(server.broken(), "");
  Fixture shutdown = f;
  shutdown.h.lives[0].signalled = t.ended - 900'000;  // the longest deadline is 1 s
  EXPECT_EQ(shutdown.broken(), "sound-answer-cut-off ");
  shutdown.h.lives[0].signalled = t.ended - 1'000'000;
  EXPECT_EQ(shutdown.broken(), "");
}

TEST(Oracle, ARequestOfAClientThatLeftIsNeitherBegunNorCompleted) {
  Fixture f;
  kit::TryRecord& t = f.h.tries[0];
  t.end = kit::TryEnd::kLeft;
  kit::AttemptRecord a = f.h.attempts[0];
  a.first_byte = a.last_byte = t.ended + 145'000;
  f.h.attempts.push_back(a);
  EXPECT_EQ(f.broken(), "");
  f.h.attempts.back().first_byte += 10'000;
  EXPECT_EQ(f.broken(), "nothing-after-the-answer ");
  f.h.attempts.back().first_byte = t.sent;
  EXPECT_EQ(f.broken(), "");
  f.h.attempts.back().last_byte = t.ended + 155'000;  // the rest of it was sent on
  EXPECT_EQ(f.broken(), "nothing-after-the-answer ");
}

TEST(Oracle, BytesAfterTheAnswerAreASecondAnswer) {
  Fixture f;
  f.h.tries[0].extra = true;
  EXPECT_EQ(f.broken(), "one-answer ");
}

TEST(Oracle, AttemptAfterTheFinalAnswerIsFound) {
  Fixture f;
  kit::AttemptRecord a = f.h.attempts[0];
  a.first_byte = a.begun =
      f.h.tries[0].ended + 45'000;  // within the tolerance for the rig's threads
  f.h.attempts.push_back(a);
  EXPECT_EQ(f.broken(), "");
  f.h.attempts.back().first_byte += 10'000;
  EXPECT_EQ(f.broken(), "nothing-after-the-answer ");
}

TEST(Oracle, DelayedRefusalIsFound) {
  Fixture f;
  f.h.tries[0].end = kit::TryEnd::kRefused;
  f.h.attempts[0].answered = kit::Answered::kBusy;
  f.h.tries[0].ended = f.h.attempts[0].ended + 140'000;
  EXPECT_EQ(f.broken(), "");
  f.h.tries[0].ended += 20'000;
  EXPECT_EQ(f.broken(), "answered-at-once ");
  // The router may still have waited for an attempt that never ended.
  Fixture waited = f;
  waited.h.attempts[0].ended = 0;
  EXPECT_EQ(waited.broken(), "");
  // It may also have waited for a connection that was never established; no stand-in sees those.
  Fixture unseen = f;
  standin::Fault vanish;
  vanish.kind = standin::FaultKind::kVanishes;
  vanish.until = 2'000'000;
  unseen.day.faults.push_back(vanish);
  EXPECT_EQ(unseen.broken(), "");
}

TEST(Oracle, HeadOfLineWaitsAreReported) {
  Fixture f;
  for (auto& a : f.h.attempts) a.made = a.ended - 200;
  f.h.attempts[1].made = f.h.attempts[1].ended - 30'000;
  f.h.attempts[2].server = 1;
  f.h.attempts.push_back(f.h.attempts[2]);
  f.h.attempts.back().router = 1;  // sent directly by a till
  Verdict v = f.judged();
  EXPECT_EQ(v.head_of_line.answers, 3u);
  EXPECT_EQ(v.head_of_line.waited, 1u);
  EXPECT_EQ(v.head_of_line.worst, 30'000);
  EXPECT_EQ(v.head_of_line.total, 30'400);
  ASSERT_EQ(v.head_of_line_by_server.size(), 2u);
  EXPECT_EQ(v.head_of_line_by_server[0].total, 30'200);
  EXPECT_EQ(v.head_of_line_by_server[1].total, 200);
  EXPECT_EQ(v.head_of_line_by_router[0].answers, 3u);
}

TEST(Oracle, TwoEffectsOfOneKeyedWriteAreFound) {
  Fixture f;
  f.h.effects.push_back({2, kOrigin + 8'100'000, 1});
  EXPECT_EQ(f.broken(), "no-effect-twice ");
  f.h.effects.back().request = 1;
  EXPECT_EQ(f.broken(), "");
}

TEST(Oracle, DrainGraceCountsFromTheFirstNotificationOfThisProcess) {
  Fixture f;
  Micros sent = f.h.attempts[1].first_byte;
  f.h.attempts[2].server = 1;
  f.h.told = {{0, 0, Health::Ready, kOrigin - 1}, {0, 0, Health::Draining, sent - 540'000}};
  EXPECT_EQ(f.broken(), "");
  f.h.told[1].at = sent - 560'000;
  EXPECT_EQ(f.broken(), "drains-kept ");
  Fixture again = f;  // notified again later: the first time counts
  again.h.told.push_back({0, 0, Health::Removed, sent - 100'000});
  EXPECT_EQ(again.broken(), "drains-kept ");
  Fixture back = f;
  back.h.told.push_back({0, 0, Health::Ready, sent - 1});
  EXPECT_EQ(back.broken(), "");
  Fixture other = f;
  other.h.told[1].server = 1;  // the sale goes there, more than a second later
  EXPECT_EQ(other.judged().findings.at(0).request, "q2-0");
  Fixture restarted = f;  // the notified process has ended, the new one was not notified
  kit::RouterLife life = f.h.lives[0];
  life.started = sent - 200'000;
  restarted.h.lives.push_back(life);
  EXPECT_EQ(restarted.broken(), "");
}

TEST(Oracle, OverloadedColdServerAndRouterCrashAreFound) {
  Fixture f;
  f.h.fallen.emplace_back(1, kOrigin + 5'000'000);
  f.h.lives[0].crashed = true;
  f.h.lives[0].ended = kOrigin + 6'000'000;
  EXPECT_EQ(f.broken(), "no-cold-server-pushed-over routers-live ");
}

TEST(Oracle, LateAnswersEarnLessAndRetriesCountFromTheFirstTry) {
  Fixture f;
  f.h.tries[0].end = kit::TryEnd::kRefused;
  f.h.tries[0].ended = f.h.tries[0].sent + 38'500;
  kit::TryRecord again = f.h.tries[0];
  again.number = 1, again.end = kit::TryEnd::kServed, again.value = 100;
  again.intended = again.sent = f.h.tries[0].sent + 100'000;
  again.ended = f.h.tries[0].sent + 200'000;
  f.h.tries.push_back(again);
  kit::AttemptRecord a = f.h.attempts[0];
  a.attempt_try = 1, a.first_byte = a.begun = again.sent;
  f.h.attempts.push_back(a);
  Verdict v = f.judged();
  EXPECT_TRUE(v.broken.empty()) << f.broken();
  EXPECT_EQ(v.served, 3u);
  // A read is worth 3 and a sale 2, for equal work; the late read earns 0.27 of its worth.
  EXPECT_NEAR(v.service, (3 * 0.27 + 3 + 2) / 8, 1e-9);
  EXPECT_NEAR(v.classes[0].service, (0.27 + 1) / 2, 1e-9);
}

TEST(Oracle, ExpectationsAreComparedWithFigures) {
  Fixture f;
  f.day.expect.service = 0.99;
  f.day.expect.p99 = {{"price-lookup", 39'999}};
  f.h.router_samples = {{0, kOrigin + 4'000'000, 10u << 20, 40},
                        {0, kOrigin + 9'000'000, 20u << 20, 600}};
  f.day.expect.memory_growth_below = 0.5;
  Verdict v = f.judged();
  EXPECT_FALSE(v.pass());
  std::string missed;
  for (const Check& c : v.checks)
    if (!c.held) missed += c.name + ";";
  EXPECT_EQ(missed, "p99 of price-lookup;descriptors of r1;memory growth of r1;");
}

TEST(Oracle, DayWithoutRequestsDoesNotPass) {
  Fixture f;
  f.plan.requests.clear();
  f.h.tries.clear();
  f.h.attempts.clear();
  f.h.effects.clear();
  EXPECT_FALSE(f.judged().pass());
}

}  // namespace
}  // namespace violetusher::rehearse
