// The days in deploy/rehearsals: all of them parse; the quickstart day and three short days with
// one fault each are played.
#include "kit/rehearse/day.hpp"
#include "kit/rehearse/plan.hpp"
#include "play_support.hpp"

namespace violetusher::rehearse::test {
namespace {

TEST(Days, AllShippedDaysParseAndHaveAPlan) {
  int days = 0;
  for (const auto& entry : fs::directory_iterator(VIOLETUSHER_DAYS)) {
    if (entry.path().extension() != ".toml") continue;
    Day day = load_day(entry.path());
    EXPECT_EQ(day.name, entry.path().stem()) << "the name of a day must be that of its file";
    EXPECT_FALSE(day.about.empty());
    EXPECT_GT(day.expect.service, 0) << day.name << " expects no service";
    EXPECT_GT(make_plan(day, day.seed).requests.size(), 1000u);
    ++days;
  }
  EXPECT_GE(days, 10);
}

std::string shipped(const std::string& name) {
  return contents(std::string(VIOLETUSHER_DAYS) + "/" + name + ".toml") + "\n" + kWideRig;
}

TEST(Days, QuickstartPasses) {
  PlayResult r = play_day(shipped("quickstart"), VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 0) << r.text;
  EXPECT_EQ(r.json["plan_hash"], "f8d874c95eda6402");  // the same on every machine
}

struct Fault {
  const char* name;
  const char* event;
};

class ShortFault : public ::testing::TestWithParam<Fault> {};

TEST_P(ShortFault, RealRouterKeepsTheRules) {
  std::string day = std::string(R"(
name = "fault"
length = "7s"
seed = 3
[[fleet.servers]]
kind = "std-4c"
count = 5
[routers]
count = 2
[tills]
rate = "150/s"
keys = 2000
[expect]
service = 0.7
served = 0.9
[[event]]
)") + GetParam().event +
                    kWideRig;
  PlayResult r = play_day(day, VIOLETUSHER_PROGRAM);
  EXPECT_EQ(r.code, 0) << r.text;
}

INSTANTIATE_TEST_SUITE_P(
    Three, ShortFault,
    ::testing::Values(
        Fault{"dies", "what = \"dies\"\nat = \"2s\"\nfor = \"3s\"\nservers = \"pc-1\"\n"},
        Fault{"mute",
              "what = \"accepts-never-answers\"\nat = \"2s\"\nfor = \"3s\"\nservers = \"pc-2\"\n"},
        Fault{"spoilt",
              "what = \"spoilt-other-id\"\nat = \"2s\"\nfor = \"3s\"\nservers = \"pc-3\"\nrate = "
              "0.3\n"}),
    [](auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace violetusher::rehearse::test
