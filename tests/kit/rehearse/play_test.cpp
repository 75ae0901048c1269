// The oracle proved by saboteurs: each breaks one rule on a real day and is found out by name, and
// the honest router passes on the same day.
#include "play_support.hpp"

namespace violetusher::rehearse::test {
namespace {

/// One price cache drains, one joins cold: there is something of every rule to break.
std::string rule_day() {
  return std::string(R"(
name = "rules"
length = "8s"
seed = 11
[[fleet.servers]]
kind = "std-4c"
count = 4
[fleet]
warm_up = "8s"
[discovery]
notice = "300ms"
[routers]
count = 1
[tills]
rate = "160/s"
keys = 500
impatient = 0
retries = 1
[[event]]
what = "drains"
at = "2s"
until = "6s"
servers = "pc-2"
[[event]]
what = "grows"
at = "2500ms"
kind = "small-3c"
[expect]
served = 0.5
)") + kWideRig;
}

struct Sabotage {
  const char* mode;
  const char* rule;
};

class Saboteurs : public ::testing::TestWithParam<Sabotage> {};

TEST_P(Saboteurs, IsFoundOutByName) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR, GetParam().mode);
  EXPECT_EQ(r.code, 1) << r.text;
  ASSERT_TRUE(r.json.contains("broken")) << r.text;
  EXPECT_TRUE(r.json["broken"].contains(GetParam().rule)) << r.text;
  EXPECT_EQ(r.json["broken"].size(), 1u) << r.text;  // and of nothing else
  bool named = false;
  for (const Json& f : r.json["findings"])
    named |= f["rule"] == GetParam().rule && f["at_us"].get<std::int64_t>() >= 0 &&
             !f["what"].get<std::string>().empty();
  EXPECT_TRUE(named) << r.text;
}

INSTANTIATE_TEST_SUITE_P(EachRule, Saboteurs,
                         ::testing::Values(Sabotage{"lose", "no-request-lost"},
                                           Sabotage{"twice", "one-answer"},
                                           Sabotage{"wrong-value", "no-request-lost"},
                                           Sabotage{"ignore-drain", "drains-kept"},
                                           Sabotage{"push-cold", "no-cold-server-pushed-over"},
                                           Sabotage{"hold-back", "answered-at-once"},
                                           Sabotage{"hold-after", "answered-at-once"}),
                         [](auto& info) {
                           std::string name = info.param.mode;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(Saboteur, HonestOnePasses) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR);
  EXPECT_EQ(r.code, 0) << r.text;
  EXPECT_EQ(r.json["verdict"], "pass");
  EXPECT_GT(r.json["requests"]["served"], 1000) << r.text;
}

TEST(Saboteur, RepeatingASaleAfterTheWindowHasTwoEffects) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR, "repeat-sale");
  EXPECT_EQ(r.code, 1) << r.text;
  EXPECT_TRUE(r.json["broken"].contains("no-effect-twice")) << r.text;
  // It was sent after its final answer as well, and that is told too.
  EXPECT_TRUE(r.json["broken"].contains("nothing-after-the-answer")) << r.text;
}

/// A hall is cut off while its price caches hold open connections: what is sent to them lies unread
/// until the cut ends.
std::string cut_day() {
  return std::string(R"(
name = "cut"
length = "8s"
seed = 5
[[fleet.servers]]
kind = "std-4c"
count = 6
[routers]
halls = ["bole", "kality"]
[tills]
rate = "200/s"
keys = 500
impatient = 0
[[event]]
what = "hall-cut-off"
at = "2s"
until = "5s"
hall = "piassa"
[expect]
served = 0.3
)") + kWideRig;
}

TEST(CutOff, WhatLayUnreadIsNotTakenForSentLate) {
  PlayResult r = play_day(cut_day(), VIOLETUSHER_PROGRAM);
  EXPECT_FALSE(r.json["broken"].contains("nothing-after-the-answer")) << r.text;
}

TEST(CutOff, WhatIsReallySentAfterTheAnswerIsFoundWithinTheCut) {
  PlayResult r = play_day(cut_day(), VIOLETUSHER_SABOTEUR, "after-answer");
  int within = 0;
  for (const Json& f : r.json["findings"])
    within +=
        f["rule"] == "nothing-after-the-answer" && f["at_us"] > 2'000'000 && f["at_us"] < 4'950'000;
  EXPECT_GT(within, 0) << r.text;
}

TEST(Saboteur, OneThatEndsByItselfFails) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR, "crash");
  EXPECT_EQ(r.code, 1) << r.text;
  EXPECT_TRUE(r.json["broken"].contains("routers-live")) << r.text;
}

TEST(Saboteur, OneThatDoesNotStartFailsAndSaysSo) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR, "exit-at-once");
  EXPECT_EQ(r.code, 1) << r.text;
  EXPECT_NE(r.text.find("exit code 7"), std::string::npos) << r.text;
}

TEST(RealRouter, KeepsTheRulesOnTheSameDay) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 0) << r.text;
  EXPECT_GT(r.json["requests"]["served"], 1000) << r.text;
}

std::string shipped_day(const std::string& name) {
  std::ifstream file(std::string(VIOLETUSHER_DAYS) + "/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str() + kWideRig;
}

/// A watch falls silent while a price cache begins to drain and stays up. What it missed counts as
/// told whether or not it arrived.
TEST(SilentWatch, GivenTooMuchTimeIsFoundOutByName) {
  PlayResult r = play_day(shipped_day("watch-silent.toml"), VIOLETUSHER_SABOTEUR, "deaf-watch");
  EXPECT_EQ(r.code, 1) << r.text;
  ASSERT_TRUE(r.json.contains("broken")) << r.text;
  EXPECT_TRUE(r.json["broken"].contains("drains-kept")) << r.text;
}

TEST(SilentWatch, IsMadeUpForByTheRealRouter) {
  PlayResult r = play_day(shipped_day("watch-silent.toml"), VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 0) << r.text;
}

std::string short_day(const std::string& more) {
  return std::string(R"(
name = "short"
length = "3s"
[[fleet.servers]]
kind = "std-4c"
count = 4
[routers]
count = 2
[tills]
rate = "100/s"
keys = 500
)") + more +
         kWideRig;
}

TEST(Rehearsal, ThePlayedLogIsThePlan) {
  Folder folder;
  std::string day = short_day("");
  KitRun plan(folder, {"rehearse", folder.file("day.toml", day), "--plan", "--seed", "5"});
  ASSERT_EQ(plan.wait(), 0) << plan.err();
  PlayResult r = play_day(day, VIOLETUSHER_PROGRAM, "honest", "5");
  EXPECT_EQ(r.code, 0) << r.text;
  EXPECT_EQ(r.log, plan.out());
  EXPECT_GT(std::count(r.log.begin(), r.log.end(), '\n'), 200);
}

TEST(Rehearsal, RigThatRunsLateJudgesNothing) {
  std::string day = short_day("");
  day.replace(day.find("late_worst = \"2s\""), 17, "late_worst = \"0s\"");
  PlayResult r = play_day(day, VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 3) << r.text;
  EXPECT_EQ(r.json["verdict"], "inconclusive");
}

TEST(Rehearsal, ExpectationThatIsNotMetFails) {
  PlayResult r =
      play_day(short_day("[expect]\n[expect.p99]\nprice-lookup = \"1ms\"\n"), VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 1) << r.text;
  EXPECT_NE(r.text.find("p99 of price-lookup"), std::string::npos) << r.text;
}

TEST(Rehearsal, RoutersAreRestartedKilledReloadedAndFrozen) {
  PlayResult r = play_day(short_day(R"(
[[event]]
what = "router-restarts"
at = "500ms"
routers = "r1"
[[event]]
what = "router-killed"
at = "1500ms"
until = "1800ms"
routers = "r1"
[[event]]
what = "router-reloads"
at = "1s"
routers = "r2"
[[event]]
what = "router-frozen"
at = "2s"
until = "2300ms"
routers = "r2"
)"),
                          VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 0) << r.text;
  EXPECT_GT(r.json["requests"]["served"], 200) << r.text;
}

/// A restart that is over before the front sees it must not leave the router out for good.
TEST(Rehearsal, RestartedRoutersAreUsedAgain) {
  std::string day = short_day(R"([expect]
served = 0.95
[[event]]
what = "router-restarts"
at = "300ms"
routers = ["r1", "r2"]
)");
  day.replace(day.find("length = \"3s\""), 13, "length = \"6s\"");
  PlayResult r = play_day(day, VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 0) << r.text;
}

/// The processes whose parent's parent was the rig would show here as leftovers.
int routers_running(const std::string& program) {
  int count = 0;
  for (const auto& entry : fs::directory_iterator("/proc")) {
    std::error_code error;
    fs::path exe = fs::read_symlink(entry.path() / "exe", error);
    if (!error && exe == program) ++count;
  }
  return count;
}

/// A copy of the router of its own name, so that other tests' routers are not counted.
std::string own_router(const Folder& folder) {
  std::string copy = folder.path("router");
  fs::copy_file(VIOLETUSHER_PROGRAM, copy);
  return fs::canonical(copy);
}

void wait_for(const std::function<bool()>& holds) {
  for (int k = 0; k < 1500 && !holds(); ++k) ::usleep(20'000);
}

TEST(Rehearsal, InterruptedItJudgesNothingAndLeavesNothing) {
  Folder folder;
  std::string router = own_router(folder);
  KitRun run(folder,
             {"rehearse", folder.file("day.toml", short_day("")), "--quiet", "--router", router});
  wait_for([&] { return routers_running(router) == 2; });
  ASSERT_EQ(routers_running(router), 2);
  ::usleep(500'000);
  ::kill(run.pid(), SIGINT);
  EXPECT_EQ(run.wait(), 3) << run.err();
  EXPECT_NE(run.out().find("interrupted"), std::string::npos);
  EXPECT_EQ(routers_running(router), 0);
}

TEST(Rehearsal, KilledOutrightItLeavesNoRouterEither) {
  Folder folder;
  std::string router = own_router(folder);
  KitRun run(folder,
             {"rehearse", folder.file("day.toml", short_day("")), "--quiet", "--router", router});
  wait_for([&] { return routers_running(router) == 2; });
  ASSERT_EQ(routers_running(router), 2);
  ::kill(run.pid(), SIGKILL);
  EXPECT_EQ(run.wait(), -1);
  wait_for([&] { return routers_running(router) == 0; });
  EXPECT_EQ(routers_running(router), 0);
}

TEST(Rehearsal, WrongUsageEndsWithTwoAndStartsNothing) {
  Folder folder;
  std::string day = folder.file("day.toml", short_day(""));
  for (std::vector<std::string> arguments :
       {std::vector<std::string>{},
        {"nonsense"},
        {"rehearse"},
        {"rehearse", folder.path("none.toml")},
        {"rehearse", day, "--router", folder.path("none")},
        {"rehearse", day, "--router", folder.path("")},
        {"rehearse", day, "--seed", "-4"},
        {"rehearse", day, "--report", "/no/such/folder/r.html"}}) {
    KitRun run(folder, arguments);
    EXPECT_EQ(run.wait(), 2) << run.err();
    EXPECT_FALSE(run.err().empty() && run.out().empty());
  }
}

}  // namespace
}  // namespace violetusher::rehearse::test
