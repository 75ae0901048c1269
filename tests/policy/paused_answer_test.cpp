// Answers that have begun and pause: another server is tried beside them where a request may have
// two attempts out, and no attempt is ended for it.
#include <gtest/gtest.h>

#include <map>

#include "support.hpp"

namespace violetusher::test {
namespace {

struct PausedAnswers : ::testing::Test {
  void start(Effect effect = Effect::Repeatable) {
    settings.classes[0].effect = effect;
    settings.classes[0].key_ttl = 5 * kS;
    module = std::make_unique<Balancer>(settings, 1, 0);
    module->start(0);
    module->on_list(0, ListScope::Full, fleet(6));
    first = sent_to(module->on_request(0, make_read(1, "k")));
    ASSERT_FALSE(first.empty());
  }

  Settings settings = basic_settings();
  std::unique_ptr<Balancer> module;
  std::string first;
};

TEST_F(PausedAnswers, AnotherServerIsTriedBesideAndNothingIsCancelled) {
  start();
  const Actions& actions = module->on_answer_pause(60 * kMs, 1, 0);
  std::string second = sent_to(actions);
  EXPECT_FALSE(second.empty());
  EXPECT_NE(second, first);
  EXPECT_TRUE(actions_of<Cancel>(actions).empty());
  EXPECT_TRUE(sent_to(module->on_answer_pause(80 * kMs, 1, 0)).empty());  // told twice
}

TEST_F(PausedAnswers, TheFirstWholeAnswerWins) {
  start();
  module->on_answer_pause(60 * kMs, 1, 0);
  Outcome whole = make_outcome(1, first, Status::Ok, 0, 100 * kMs);
  whole.finished = true;
  auto cancelled = actions_of<Cancel>(module->on_outcome(100 * kMs, whole));
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, 1);
}

/// A spoilt answer that never ends must not keep a failed second attempt from being retried.
TEST_F(PausedAnswers, AFailureBesideOneIsRetriedElsewhere) {
  start();
  std::string second = sent_to(module->on_answer_pause(60 * kMs, 1, 0));
  std::string third =
      sent_to(module->on_outcome(70 * kMs, make_outcome(1, second, Status::Reset, 1)));
  EXPECT_FALSE(third.empty());
  EXPECT_NE(third, first);
  EXPECT_NE(third, second);
}

TEST_F(PausedAnswers, WhereNothingElseCanBeTriedTheyAreWaitedFor) {
  settings.max_attempts = 2;
  start();
  std::string second = sent_to(module->on_answer_pause(60 * kMs, 1, 0));
  const Actions& actions = module->on_outcome(70 * kMs, make_outcome(1, second, Status::Reset, 1));
  EXPECT_TRUE(actions.empty());
}

TEST_F(PausedAnswers, OnceIsNotSentASecondTime) {
  start(Effect::Once);
  EXPECT_TRUE(module->on_answer_pause(60 * kMs, 1, 0).empty());
}

TEST_F(PausedAnswers, WithoutHedgingNothingIsSentBesideThem) {
  settings.may_hedge = false;
  start();
  EXPECT_TRUE(module->on_answer_pause(60 * kMs, 1, 0).empty());
}

TEST_F(PausedAnswers, AKeyedWriteIsNotRepeatedAfterItsWindow) {
  start(Effect::Keyed);
  EXPECT_TRUE(sent_to(module->on_answer_pause(5 * kS, 1, 0)).empty());
}

/// Slowness alone must not multiply the load: the retry budget bounds attempts beside paused ones.
TEST_F(PausedAnswers, StayWithinTheRetryBudget) {
  start();
  int extra = 0;
  for (RequestId id = 2; id < 400; ++id) {
    Micros now = static_cast<Micros>(id) * 10 * kMs;
    std::string server = sent_to(module->on_request(now, make_read(id, std::to_string(id))));
    if (server.empty()) continue;
    extra += !sent_to(module->on_answer_pause(now + 60 * kMs, id, 0)).empty();
    module->on_outcome(now + 90 * kMs, make_outcome(id, server, Status::Ok, 0, 90 * kMs));
  }
  EXPECT_GT(extra, 10);
  EXPECT_LE(extra, 44);  // a half token each, 0.03 tokens for a request, ten kept at most
}

/// Guards against shedding for servers that write slowly: the requests are served, and the servers
/// have no more load than before. A request every 10 ms, whose answer pauses after 70 ms and is
/// whole after 400 ms, past the objective.
TEST_F(PausedAnswers, LateAnswersAfterAPauseAreNoSignOfLoad) {
  start();
  constexpr RequestId kPauseAfter = 7, kWholeAfter = 40;  // requests later
  std::map<RequestId, std::string> sent;
  int refused = 0;
  for (RequestId id = 2; id < 1000; ++id) {
    Micros now = static_cast<Micros>(id) * 10 * kMs;
    if (sent.count(id - kPauseAfter)) module->on_answer_pause(now, id - kPauseAfter, 0);
    if (auto it = sent.find(id - kWholeAfter); it != sent.end()) {
      Outcome late = make_outcome(it->first, it->second, Status::Ok, 0, 400 * kMs);
      late.finished = true;
      module->on_outcome(now, late);
    }
    std::string server = sent_to(module->on_request(now, make_read(id, std::to_string(id))));
    refused += server.empty();
    if (!server.empty()) sent[id] = server;
  }
  EXPECT_EQ(refused, 0);
}

TEST_F(PausedAnswers, InvalidCallsAreIgnored) {
  start();
  for (int attempt : {-1, 1, 1000}) EXPECT_TRUE(module->on_answer_pause(1, 1, attempt).empty());
  EXPECT_TRUE(module->on_answer_pause(1, 99, 0).empty());
}

}  // namespace
}  // namespace violetusher::test
