// When a router calls discovery, on a stepped clock. The rows of docs/design/membership.md.
#include "core/membership/calls.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::core::membership {
namespace {

constexpr Micros kMs = 1000, kS = 1'000'000;

/// A router's calls and a discovery that does what the test says.
struct World final : Calls::Port {
  explicit World(const Terms& t, std::uint64_t seed = 1) : terms(t), calls(*this, t, "7", seed) {
    calls.born(now);
  }
  struct Made {
    Micros at;
    Calls::Place place;
    std::string version;
    Micros wait;
  };
  void start(Calls::Place place, const std::string& version, Micros wait) override {
    made.push_back({now, place, version, wait});
    out[place] = made.back();
  }
  void drop(Calls::Place place) override { out.erase(place); }
  void gave_up() override { ++gave_ups; }

  /// Lets time pass; what is due is done.
  void run(Micros until) {
    while (auto next = calls.next()) {
      if (*next > until) break;
      now = std::max(now, *next);
      calls.due(now);
    }
    now = until;
  }
  Take answer(Calls::Place place, const std::string& seq, bool whole = false, bool sound = true) {
    EXPECT_EQ(out.count(place), 1u);
    out.erase(place);
    return calls.answered(place, now,
                          {.sound = sound, .list = true, .version = seq, .whole = whole});
  }
  void fail(Calls::Place place) {
    out.erase(place);
    calls.answered(place, now, {});
  }
  /// A watch that waits, as it stands behind the first answer.
  void settle() {
    calls.watch(now);
    now += 5 * kMs;
    answer(Calls::kWatch0, "7");
  }

  Terms terms;
  Micros now = 1000 * kS;
  std::vector<Made> made;
  std::map<Calls::Place, Made> out;
  int gave_ups = 0;
  Calls calls;
};

/// How long before what a silent watch misses counts as told the call goes out that makes up for
/// it. All calls that are out at `silent` after the watch's begin never hear of anything.
Micros margin(const Terms& terms, Micros silent, std::uint64_t seed) {
  World w(terms, seed);
  w.settle();
  Micros began = w.now;
  w.run(began + silent);
  if (w.out.empty()) return 1000 * kS;  // between two calls there is none that falls silent
  Micros told = 0;
  for (const auto& [place, call] : w.out)
    told = std::max({told, w.now + Told::kAfterSilence, call.at + call.wait + Told::kAfterWait});
  std::size_t before = w.made.size();
  while (w.made.size() == before && w.gave_ups == 0 && w.calls.next()) w.run(*w.calls.next());
  // Who gave up is asked again by the module, which waits for up to 1.5 s.
  return told - (w.now + (w.gave_ups > 0 ? 3 * kS / 2 : 0));
}

Micros least_margin(const Terms& terms) {
  Micros least = 1000 * kS;
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    for (Micros silent = 0; silent < 40 * kS; silent += 250 * kMs)
      least = std::min(least, margin(terms, silent, seed));
  return least;
}

/// Asked: 3 s in the queue of discovery, a call that fails there, and its pause fit in.
TEST(Membership, ASilentWatchIsMadeUpForBeforeItsChangesCountAsTold) {
  EXPECT_GE(least_margin(terms_asked()), 5 * kS);
  EXPECT_GE(least_margin(terms_pushed(kS / 2)), kS);
  // As it was: 20 s of wait with 2 s more, and then the module's or the router's own pause.
  Terms was;
  was.wait = 20 * kS, was.limit = 2 * kS, was.pause = was.pause_most = kS;
  EXPECT_LT(least_margin(was), 0);
  was.insists = true;
  EXPECT_LT(least_margin(was), 0);
}

/// Pushed: what the agent has counts at once. Whatever becomes of calls, the next is out within the
/// grace for which a leaving price cache may be sent to, and there is no busy loop.
TEST(Membership, WhereListsArePushedNoCallIsFarAwayWhateverFails) {
  for (Micros grace : {50 * kMs, 500 * kMs, 3 * kS}) {
    World w(terms_pushed(grace));
    w.calls.watch(w.now);
    Micros last = w.now, longest = 0, began = w.now;
    std::size_t seen = w.made.size();
    for (int k = 0; w.now < began + 60 * kS; ++k) {
      if (k % 3 == 0 && w.out.count(Calls::kWatch0)) w.fail(Calls::kWatch0);
      auto next = w.calls.next();
      ASSERT_TRUE(next);
      w.run(*next);
      if (w.made.size() == seen) continue;
      seen = w.made.size();
      longest = std::max(longest, w.now - last);
      last = w.now;
    }
    EXPECT_LT(longest, std::max(grace * 4 / 5, 80 * kMs)) << grace;
    EXPECT_LT(seen, static_cast<std::size_t>(60 * kS / (5 * kMs))) << grace;
    EXPECT_EQ(w.gave_ups, 0);
  }
}

/// An agent slower than what a watch is given is heard all the same.
TEST(Membership, ASlowAgentIsHeard) {
  World w(terms_pushed(kS / 2));
  w.calls.watch(w.now);
  while (!w.out.count(Calls::kFetch)) w.run(*w.calls.next());
  w.run(w.now + 3 * kS / 2);
  EXPECT_EQ(w.answer(Calls::kFetch, "8", true), Take::kYes);
  EXPECT_EQ(w.calls.held(), "8");
  EXPECT_EQ(w.calls.heard_at(), w.now);
}

TEST(Membership, TheOlderWatchCountsUntilTheNewerMustBeKnown) {
  World w(terms_asked());
  w.settle();
  while (w.out.size() < 2) w.run(*w.calls.next());
  // A change comes on the older one: nothing is lost, and the newer one stays the only one.
  EXPECT_EQ(w.answer(Calls::kWatch0, "8"), Take::kYes);
  EXPECT_EQ(w.out.size(), 1u);
  EXPECT_EQ(w.answer(Calls::kWatch1, "8"), Take::kYes);
  EXPECT_EQ(w.out.at(Calls::kWatch1).version, "8");

  while (w.out.size() < 2) w.run(*w.calls.next());
  // The newer fails: it is tried again while the older goes on, and nobody is told.
  Calls::Place newer = Calls::kWatch0;
  w.fail(newer);
  EXPECT_EQ(w.out.size(), 1u);
  w.run(w.now + 2 * kS);
  EXPECT_EQ(w.out.size(), 2u);
  EXPECT_EQ(w.gave_ups, 0);
  w.run(w.now + 4 * kS);
  EXPECT_EQ(w.out.size(), 1u);
  EXPECT_EQ(w.out.count(newer), 1u);
  // The only one breaks: the module is told and asks when it wants to.
  w.fail(newer);
  EXPECT_EQ(w.gave_ups, 1);
  EXPECT_FALSE(w.calls.next());
}

/// Both watches fail, one after the other, with the newer one about to be tried again.
TEST(Membership, GivesUpOnceWhereBothWatchesEnd) {
  World w(terms_asked());
  w.settle();
  while (w.out.size() < 2) w.run(*w.calls.next());
  w.fail(Calls::kWatch1);
  w.fail(Calls::kWatch0);
  EXPECT_EQ(w.gave_ups, 1);
  EXPECT_FALSE(w.calls.next());
}

/// Three hundred routers whose watches were answered in the same moment: the one service is not
/// asked by all of them at once, and each makes four calls a minute at the most.
TEST(Membership, RoutersOfOneFleetDoNotRenewTogether) {
  std::map<Micros, int> a_second;
  int calls = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    World w(terms_asked(), seed);
    w.settle();
    std::size_t before = w.made.size();
    w.run(w.now + 60 * kS);
    calls += static_cast<int>(w.made.size() - before);
    for (std::size_t k = before; k < w.made.size(); ++k) ++a_second[w.made[k].at / kS];
  }
  EXPECT_LE(calls, 300 * 4);
  for (const auto& [second, count] : a_second) EXPECT_LE(count, 120) << second;
}

TEST(Membership, AnAnswerThatWasOvertakenChangesNothing) {
  World w(terms_asked());
  w.settle();
  w.calls.fetch(w.now);
  EXPECT_EQ(w.answer(Calls::kWatch0, "9"), Take::kYes);
  EXPECT_EQ(w.answer(Calls::kFetch, "8", true), Take::kNo);
  EXPECT_EQ(w.calls.held(), "9");
  EXPECT_EQ(w.out.count(Calls::kWatch0), 1u);  // the watch goes on
  EXPECT_EQ(w.out.at(Calls::kWatch0).version, "9");
  // Versions that are no numbers tell nothing: then the order of the calls does.
  w.calls.fetch(w.now);
  EXPECT_EQ(w.answer(Calls::kWatch0, "b"), Take::kYes);
  EXPECT_EQ(w.answer(Calls::kFetch, "a", true), Take::kNo);
  w.calls.fetch(w.now);
  EXPECT_EQ(w.answer(Calls::kFetch, "a", true), Take::kYes);
}

/// Discovery's count goes back. It is asked for all it has, and believed only when it says so
/// again and again; then it is doubted, and asked once more half a minute later.
TEST(Membership, AListOlderThanWhatIsHeldIsBelievedLate) {
  World w(terms_asked());
  w.settle();
  EXPECT_EQ(w.answer(Calls::kWatch0, "3"), Take::kNo);
  EXPECT_EQ(w.gave_ups, 1);
  for (int k = 0; k < 2; ++k) {
    w.calls.watch(w.now += kS);
    EXPECT_EQ(w.out.at(Calls::kWatch0).version, "");  // all of it
    EXPECT_EQ(w.answer(Calls::kWatch0, "3", true), Take::kNo);
    EXPECT_EQ(w.calls.held(), "7");
  }
  w.calls.watch(w.now += kS);
  EXPECT_EQ(w.answer(Calls::kWatch0, "3", true), Take::kDoubted);
  EXPECT_EQ(w.calls.held(), "3");
  EXPECT_EQ(w.out.at(Calls::kWatch0).version, "3");
  while (!w.out.count(Calls::kFetch)) w.run(*w.calls.next());
  EXPECT_EQ(w.answer(Calls::kFetch, "3", true), Take::kYes);
}

/// After a move the versions of the new place mean what they mean there.
TEST(Membership, AnotherDiscoveryIsAskedForAllAndDoubtedWhereItIsBehind) {
  for (const char* seq : {"2", "7", "50"}) {
    World w(terms_asked());
    w.settle();
    w.calls.move(w.now);
    EXPECT_EQ(w.out.size(), 1u);
    EXPECT_EQ(w.out.at(Calls::kWatch0).version, "");
    EXPECT_EQ(w.answer(Calls::kWatch0, seq, true),
              std::string(seq) == "2" ? Take::kDoubted : Take::kYes);
    EXPECT_EQ(w.calls.held(), seq);
  }
}

/// What of a list can be used is used, and the rest asked for again from the version before.
TEST(Membership, AListOfWhichAPartIsUnusableIsAskedForAgain) {
  World w(terms_pushed(kS / 2));
  w.settle();
  EXPECT_EQ(w.answer(Calls::kWatch0, "8", false, /*sound=*/false), Take::kYes);
  EXPECT_EQ(w.calls.held(), "7");
  EXPECT_TRUE(w.out.empty());  // not at once: it would be a busy loop
  w.run(w.now + 200 * kMs);
  EXPECT_EQ(w.out.at(Calls::kWatch0).version, "7");
  EXPECT_EQ(w.answer(Calls::kWatch0, "8"), Take::kYes);
  EXPECT_EQ(w.calls.held(), "8");
}

/// Discovery that does not hold watches is not asked in a busy loop, and its watch goes on.
TEST(Membership, AWatchThatIsNotHeldIsNoBusyLoop) {
  World w(terms_asked());
  w.settle();
  Micros began = w.now;
  std::size_t before = w.made.size();
  while (w.now < began + 10 * kS) {
    if (w.out.count(Calls::kWatch0)) w.answer(Calls::kWatch0, "7");
    Micros next = *w.calls.next();
    EXPECT_LE(next - w.now, 200 * kMs);
    w.run(next);
  }
  EXPECT_LE(w.made.size() - before, 101u);
  EXPECT_EQ(w.answer(Calls::kWatch0, "8"), Take::kYes);  // what is new is followed at once
  EXPECT_EQ(w.out.count(Calls::kWatch0), 1u);
}

TEST(Membership, ASingleFetchIsTriedAFewTimes) {
  World w(terms_asked());
  w.calls.fetch(w.now);
  w.run(w.now + 60 * kS);
  EXPECT_EQ(w.made.size(), 5u);
  EXPECT_FALSE(w.calls.next());
}

/// One router with its decision module, which says when to watch again, at a discovery that answers
/// within 50 ms or refuses at once.
struct AskingRouter final : Calls::Port {
  AskingRouter(const violetusher::Settings& settings, std::uint64_t seed, Micros now)
      : module(settings, seed, now), calls(*this, terms_asked(), "7", seed) {
    calls.born(now);
    take(now, module.start(now));
  }
  void start(Calls::Place place, const std::string&, Micros wait) override {
    ++made;
    out[place] = wait;
  }
  void drop(Calls::Place place) override { out.erase(place); }
  void gave_up() override { failed = true; }
  void take(Micros now, const violetusher::Actions& actions) {
    for (const auto& action : actions) {
      if (auto* t = std::get_if<violetusher::Timer>(&action))
        timers.emplace(now + t->after, t->token);
      if (std::holds_alternative<violetusher::Watch>(action)) calls.watch(now);
    }
  }
  void tell_module(Micros now, violetusher::ListScope scope) {
    std::vector<violetusher::Action> actions = module.on_list(now, scope, {});
    take(now, actions);
  }
  void step(Micros now, bool down) {
    while (!timers.empty() && timers.begin()->first <= now) {
      std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      std::vector<violetusher::Action> actions = module.on_timer(now, token);
      take(now, actions);
    }
    calls.due(now);
    for (auto place : {Calls::kWatch0, Calls::kWatch1}) {
      auto it = out.find(place);
      if (it == out.end() || (!down && it->second > kS)) continue;
      out.erase(it);
      calls.answered(place, now, {.sound = !down, .list = !down, .version = "7"});
      if (!down) tell_module(now, violetusher::ListScope::Delta);
    }
    if (std::exchange(failed, false)) tell_module(now, violetusher::ListScope::Failed);
  }

  violetusher::Balancer module;
  std::multimap<Micros, std::uint64_t> timers;
  std::map<Calls::Place, Micros> out;
  int made = 0;
  bool failed = false;
  Calls calls;
};

/// 300 routers and a discovery that is down for 8 s: worked out, all that were refused come back
/// within the module's longest pause (8 s), so a seventh of them in any second and, as pauses are
/// drawn, twice that at the most.
TEST(Membership, DiscoveryThatIsBackIsNotRunOver) {
  violetusher::Settings settings;
  settings.classes.push_back({});
  settings.classes[0].name = "read";
  settings.must_ask = true;
  settings.routers = 300;
  Micros began = 1000 * kS;
  std::vector<std::unique_ptr<AskingRouter>> routers;
  for (std::uint64_t k = 1; k <= 300; ++k)
    routers.push_back(std::make_unique<AskingRouter>(settings, k, began));
  auto calls_within = [&](Micros from, Micros until) {
    int before = 0, after = 0;
    for (auto& r : routers) before += r->made;
    for (Micros t = from; t < until; t += 10 * kMs)
      for (auto& r : routers) r->step(began + t, t >= 60 * kS && t < 68 * kS);
    for (auto& r : routers) after += r->made;
    return after - before;
  };
  calls_within(0, 30 * kS);
  int quiet = calls_within(30 * kS, 60 * kS), refused = calls_within(60 * kS, 68 * kS), most = 0;
  for (int second = 68; second < 80; ++second)
    most = std::max(most, calls_within(second * kS, (second + 1) * kS));
  RecordProperty("quiet_30s", quiet);
  RecordProperty("refused_8s", refused);
  RecordProperty("most_a_second_after", most);
  std::printf(
      "300 routers: %d calls in 30 s of quiet, %d in 8 s of refusal, %d in the worst second "
      "after the return\n",
      quiet, refused, most);
  EXPECT_LE(quiet, 600);
  EXPECT_LE(refused, 300 * 5);
  EXPECT_LE(most, 2 * (300 / 7 + 1) * 2);  // a call that is back makes two: at once, and the watch
}

}  // namespace
}  // namespace violetusher::core::membership
