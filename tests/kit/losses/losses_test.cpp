// Attribution of lost worth to causes: hand-made histories for each cause, and a property test that
// the causes add up to the total loss.
#include "kit/rehearse/losses.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "kit/losses/show.hpp"
#include "kit/rehearse/oracle.hpp"

namespace violetusher::rehearse {
namespace {

using kit::Answered;
using kit::TryEnd;

constexpr Micros kOrigin = 1'000'000'000;

/// One read of 1,000 units of work, intended at 1 s; it is late after 150 ms and worth nothing
/// after 600 ms.
struct Fixture {
  Day day = parse_day(R"(name = "d"
length = "10s"
[[fleet.servers]]
kind = "std-4c"
count = 1
hall = "bole"
[[fleet.servers]]
kind = "std-4c"
count = 1
hall = "kality"
[routers]
count = 1
)",
                      "d");
  Plan plan;
  kit::History h;
  Micros at = kOrigin + 1'000'000;

  Fixture() {
    PlannedRequest r;
    r.at = 1'000'000;
    r.hint = 1000;
    plan.requests.push_back(r);
    h.origin = kOrigin;
    h.ended = kOrigin + day.length;
    h.servers = {"pc-1", "pc-2", "pc-3", "pc-4"};  // the last two are replacements
  }
  kit::TryRecord& add_try(int number, Micros sent, Micros ended, TryEnd end) {
    kit::TryRecord t;
    t.number = number, t.router = 0, t.intended = at, t.sent = at + sent, t.ended = at + ended;
    t.end = end, t.value = 7;
    h.tries.push_back(t);
    return h.tries.back();
  }
  kit::AttemptRecord& add_attempt(int of, Micros from, Micros made, Micros ended, Answered how) {
    kit::AttemptRecord a;
    a.attempt_try = of, a.server = 0, a.router = 0, a.first_byte = at + from, a.made = at + made;
    a.ended = at + ended, a.answered = how, a.value = how == Answered::kServed ? 7 : 0;
    h.attempts.push_back(a);
    return h.attempts.back();
  }
  Losses losses() const { return losses_of(day, plan, h); }
  double lost_to(Cause cause) const {
    return losses().by_cause[static_cast<std::size_t>(cause)].worth;
  }
  double worth() const { return day.tills.classes[0].worth * 1000; }
};

TEST(Losses, RequestServedInTimeLosesNothing) {
  Fixture f;
  f.add_try(0, 0, 100'000, TryEnd::kServed);
  Losses l = f.losses();
  EXPECT_EQ(l.earned, f.worth());
  EXPECT_EQ(l.asked, f.worth());
}

TEST(Losses, UnservedRequestLosesAllToTheOutcomeOfItsLastTry) {
  struct Case {
    TryEnd end;
    int attempt;  // -1: none, else an Answered
    Cause cause;
  };
  for (const Case& c :
       {Case{TryEnd::kRefused, -1, Cause::kNoAttempt},
        Case{TryEnd::kRefused, static_cast<int>(Answered::kBusy), Cause::kBusy},
        Case{TryEnd::kRefused, static_cast<int>(Answered::kReset), Cause::kAttemptFailed},
        Case{TryEnd::kFailed, -1, Cause::kFailed}, Case{TryEnd::kLeft, -1, Cause::kClientLeft},
        Case{TryEnd::kClosed, -1, Cause::kNoAnswer}, Case{TryEnd::kSilent, -1, Cause::kNoAnswer},
        Case{TryEnd::kNoRouter, -1, Cause::kNoAnswer}}) {
    Fixture f;
    f.add_try(0, 0, 10'000, TryEnd::kFailed);
    f.add_attempt(0, 1'000, 5'000, 5'000, Answered::kBusy);  // of an earlier try: has no influence
    f.add_try(1, 40'000, 60'000, c.end);
    if (c.attempt >= 0) f.add_attempt(1, 41'000, 50'000, 50'000, static_cast<Answered>(c.attempt));
    EXPECT_EQ(f.lost_to(c.cause), f.worth()) << name_of(c.cause);
  }
}

TEST(Losses, LateRequestSplitsItsLossOverThePhasesOfItsLatency) {
  Fixture f;
  f.add_try(0, 0, 20'000, TryEnd::kRefused);
  f.add_try(1, 100'000, 400'000, TryEnd::kServed);
  f.add_attempt(1, 110'000, 0, 150'000, Answered::kReset);
  f.add_attempt(1, 160'000, 300'000, 380'000, Answered::kServed);
  double lost = f.worth() * (1 - f.day.tills.classes[0].late_worth);
  EXPECT_NEAR(f.lost_to(Cause::kEarlierTries), lost * 100 / 400, 1e-9);
  EXPECT_NEAR(f.lost_to(Cause::kRouter), lost * (10 + 20) / 400, 1e-9);
  EXPECT_NEAR(f.lost_to(Cause::kEarlierAttempts), lost * 50 / 400, 1e-9);
  EXPECT_NEAR(f.lost_to(Cause::kServer), lost * 140 / 400, 1e-9);
  EXPECT_NEAR(f.lost_to(Cause::kHeadOfLine), lost * 80 / 400, 1e-9);
  f.h.attempts.back().missed = true;
  f.h.attempts.back().server = 1;  // in the other zone
  EXPECT_EQ(f.lost_to(Cause::kServer), 0);
  EXPECT_NEAR(f.lost_to(Cause::kMiss), lost * 140 / 400, 1e-9);
  EXPECT_EQ(f.lost_to(Cause::kRouter), 0);
  EXPECT_NEAR(f.lost_to(Cause::kRouterCrossZone), lost * 30 / 400, 1e-9);
}

/// For any history the causes add up to the total loss, and the service equals the verdict's.
RC_GTEST_PROP(Losses, CausesAddUpAndServiceEqualsTheVerdict, ()) {
  Fixture f;
  f.plan.requests.clear();
  auto span = [] { return static_cast<Micros>(*rc::gen::inRange(-5'000, 700'000)); };
  auto requests = *rc::gen::inRange(1, 30);
  for (int k = 0; k < requests; ++k) {
    PlannedRequest r;
    r.at = 100'000 * k;
    r.type = *rc::gen::inRange(0, static_cast<int>(f.day.tills.classes.size()));
    r.hint = *rc::gen::inRange(1, 100'000);
    r.direct = *rc::gen::inRange(0, 10) == 0;
    f.plan.requests.push_back(r);
    f.at = kOrigin + r.at;
    int tries = *rc::gen::inRange(0, 4);
    for (int t = 0; t < tries; ++t) {
      f.add_try(t, span(), span(), static_cast<TryEnd>(*rc::gen::inRange(0, 9))).request =
          static_cast<std::uint64_t>(k);
      for (int a = *rc::gen::inRange(0, 4); a > 0; --a) {
        auto& one = f.add_attempt(t, span(), span(), span(),
                                  static_cast<Answered>(*rc::gen::inRange(0, 6)));
        one.request = static_cast<std::uint64_t>(k);
        one.server = *rc::gen::inRange(0, 4);  // also a replaced one
        one.missed = *rc::gen::arbitrary<bool>();
      }
    }
  }
  Losses l = f.losses();
  double sum = 0;
  for (const auto& part : l.by_cause) {
    RC_ASSERT(part.worth >= 0);
    sum += part.worth;
  }
  RC_ASSERT(std::abs(sum - (l.asked - l.earned)) <= 1e-9 * std::max(l.asked, 1.0));
  if (l.asked > 0)
    RC_ASSERT(std::abs(judge(f.day, f.plan, f.h).service - l.earned / l.asked) < 1e-9);
}

}  // namespace
}  // namespace violetusher::rehearse

namespace violetusher::kit {
namespace {

std::string result(double busy, double miss, double earned) {
  return R"({"day":"wide","verdict":"pass","seed":3,"losses":{"asked":1000,"earned":)" +
         std::to_string(earned) + R"(,"causes":[{"cause":"refused, price cache busy","worth":)" +
         std::to_string(busy) + R"(,"requests":4},{"cause":"late: miss","worth":)" +
         std::to_string(miss) + R"(,"requests":9}]}})";
}

TEST(LossTable, ShowsTheLossByCauseAndTheChange) {
  LossTable before = read_losses(result(50, 100, 850)), after = read_losses(result(60, 20, 920));
  std::string text = loss_text(before);
  EXPECT_NE(text.find("earned 85.0"), std::string::npos) << text;
  EXPECT_NE(text.find("late: miss"), std::string::npos) << text;
  EXPECT_NE(text.find("10.00%"), std::string::npos) << text;
  std::string difference = loss_difference_text(before, after);
  EXPECT_NE(difference.find("lost -7.00"), std::string::npos) << difference;
  EXPECT_LT(difference.find("-8.00"), difference.find("+1.00")) << difference;  // largest first
  EXPECT_NE(loss_waterfall(before).find("-10.0"), std::string::npos);
}

TEST(LossTable, RejectsInvalidResults) {
  for (const std::string& text :
       {std::string("{"), std::string("[]"), std::string(R"({"day":"d"})"),
        std::string(R"({"day":"d","verdict":"pass","seed":1,"losses":{"asked":"x"}})"),
        result(50, 100, 900)})  // the causes add up to 150, the loss is 100
    EXPECT_THROW(read_losses(text), std::runtime_error) << text;
}

}  // namespace
}  // namespace violetusher::kit
