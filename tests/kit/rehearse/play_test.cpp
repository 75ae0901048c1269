// Tests of the oracle with faulty routers (saboteur.cpp): each violates one rule in a played day,
// and the verdict must name that rule. The honest test router and the real one pass on the same
// day.
#include "play_support.hpp"

namespace violetusher::rehearse::test {
namespace {

/// One price cache drains and a cold one joins, so that every rule can be violated.
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

TEST_P(Saboteurs, ViolatesExactlyTheRuleNamed) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR, GetParam().mode);
  EXPECT_EQ(r.code, 1) << r.text;
  ASSERT_TRUE(r.json.contains("broken")) << r.text;
  EXPECT_TRUE(r.json["broken"].contains(GetParam().rule)) << r.text;
  EXPECT_EQ(r.json["broken"].size(), 1u) << r.text;  // and no other rule
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
  // The repeat was also sent after the final answer, which is a second violation.
  EXPECT_TRUE(r.json["broken"].contains("nothing-after-the-answer")) << r.text;
}

/// A zone is cut off while its price caches have open connections. Bytes sent to them stay unread
/// in the socket buffers until the cut ends, and must count as sent when they arrived.
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

TEST(CutOff, BytesUnreadDuringTheCutDoNotCountAsSentLate) {
  PlayResult r = play_day(cut_day(), VIOLETUSHER_PROGRAM);
  EXPECT_FALSE(r.json["broken"].contains("nothing-after-the-answer")) << r.text;
}

TEST(CutOff, AttemptsSentAfterTheAnswerAreFoundDuringTheCut) {
  PlayResult r = play_day(cut_day(), VIOLETUSHER_SABOTEUR, "after-answer");
  int within = 0;
  for (const Json& f : r.json["findings"])
    within +=
        f["rule"] == "nothing-after-the-answer" && f["at_us"] > 2'000'000 && f["at_us"] < 4'950'000;
  EXPECT_GT(within, 0) << r.text;
}

TEST(Saboteur, CrashFailsTheDay) {
  PlayResult r = play_day(rule_day(), VIOLETUSHER_SABOTEUR, "crash");
  EXPECT_EQ(r.code, 1) << r.text;
  EXPECT_TRUE(r.json["broken"].contains("routers-live")) << r.text;
}

TEST(Saboteur, FailedStartIsReportedWithItsExitCode) {
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

/// The open watches stop sending while a price cache that stays up begins to drain. After a time
/// the router counts as notified of it whether or not the notification arrived.
TEST(SilentWatch, RouterThatWaitsTooLongOnAWatchViolatesDrainsKept) {
  PlayResult r = play_day(shipped_day("watch-silent.toml"), VIOLETUSHER_SABOTEUR, "deaf-watch");
  EXPECT_EQ(r.code, 1) << r.text;
  ASSERT_TRUE(r.json.contains("broken")) << r.text;
  EXPECT_TRUE(r.json["broken"].contains("drains-kept")) << r.text;
}

TEST(SilentWatch, RealRouterKeepsTheDrain) {
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

TEST(Rehearsal, PlayedLogEqualsThePlan) {
  Folder folder;
  std::string day = short_day("");
  KitRun plan(folder, {"rehearse", folder.file("day.toml", day), "--plan", "--seed", "5"});
  ASSERT_EQ(plan.wait(), 0) << plan.err();
  PlayResult r = play_day(day, VIOLETUSHER_PROGRAM, "honest", "5");
  EXPECT_EQ(r.code, 0) << r.text;
  EXPECT_EQ(r.log, plan.out());
  EXPECT_GT(std::count(r.log.begin(), r.log.end(), '\n'), 200);
}

TEST(Rehearsal, RigThatRunsLateIsInconclusive) {
  std::string day = short_day("");
  day.replace(day.find("late_worst = \"2s\""), 17, "late_worst = \"0s\"");
  PlayResult r = play_day(day, VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 3) << r.text;
  EXPECT_EQ(r.json["verdict"], "inconclusive");
}

TEST(Rehearsal, UnmetExpectationFails) {
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

/// A restart that ends before the load balancer of the tills detects it must not exclude the router
/// for the rest of the day.
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

/// The number of processes that run `program`, to find router processes left behind by the rig.
int routers_running(const std::string& program) {
  int count = 0;
  for (const auto& entry : fs::directory_iterator("/proc")) {
    std::error_code error;
    fs::path exe = fs::read_symlink(entry.path() / "exe", error);
    if (!error && exe == program) ++count;
  }
  return count;
}

/// A copy of the router under its own path, so that routers of other tests are not counted.
std::string own_router(const Folder& folder) {
  std::string copy = folder.path("router");
  fs::copy_file(VIOLETUSHER_PROGRAM, copy);
  return fs::canonical(copy);
}

void wait_for(const std::function<bool()>& holds) {
  for (int k = 0; k < 1500 && !holds(); ++k) ::usleep(20'000);
}

TEST(Rehearsal, InterruptIsInconclusiveAndLeavesNoRouter) {
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

TEST(Rehearsal, KilledRigLeavesNoRouter) {
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

TEST(Rehearsal, WrongUsageExitsWithCode2) {
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
