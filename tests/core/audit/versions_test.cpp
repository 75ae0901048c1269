#include "core/audit/versions.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::audit {
namespace {

constexpr Micros kOld = 4'000'000;

RouterReport router(int n, std::map<std::string, Version> versions, Micros age = 0) {
  return {"r" + std::to_string(n), "h", "", false, age, std::move(versions)};
}

Version rolled(std::uint64_t number, const char* has, const char* wants, bool refused = false) {
  return {number, has, std::string(wants), refused ? "line 3" : "", refused};
}

std::string summary_of(const Audit& a) {
  std::string out;
  for (const Straggler& s : a.stragglers)
    out += s.router + " " + std::string(name_of(s.cause)) + " " + s.kind + ";";
  return out;
}

TEST(Audit, RolloutInProgressDoesNotCountAsLate) {
  std::vector<RouterReport> fleet;
  for (int n = 1; n <= 3; ++n)
    fleet.push_back(
        router(n, {{"program", {0, "1.0", {}, "", false}},
                   {"ledger", {1, "epoch", {}, "", false}},
                   {"file/operator", rolled(7, n == 1 ? "new" : "old", n == 1 ? "new" : "old")}}));
  Audit a = audit(fleet, kOld);
  EXPECT_EQ(a.current, 3u) << summary_of(a);
  EXPECT_EQ(summary_of(a), "") << "a roll-out to a third of the routers is not a delay";
  ASSERT_EQ(a.distributions.size(), 3u);
  EXPECT_EQ(a.distributions[0].versions[0], (std::pair<std::string, std::size_t>{"7 of old", 2}));
}

TEST(Audit, StragglersAreListedWithTheirCauseMostSevereFirst) {
  std::vector<RouterReport> fleet{
      router(1, {{"file/a", rolled(9, "new", "new")}, {"settings", {0, "s", {}, "", false}}}),
      router(2, {{"file/a", rolled(9, "new", "new")}, {"settings", {0, "s", {}, "", false}}}),
      router(3, {{"file/a", rolled(9, "old", "new", true)}}),
      router(4, {{"file/a", rolled(9, "old", "new")}}),
      router(5, {{"file/a", rolled(7, "old", "old")}}, 9'000'000),
      router(6, {{"file/a", rolled(7, "old", "old")}}),
      router(7, {{"settings", {0, "other", {}, "", false}}}),
      router(8, {{"file/a", rolled(9, "old", "new")}}, -1)};
  fleet[3].disk_failed = true;
  RouterReport silent;
  silent.router = "r9";
  silent.error = "connection refused";
  fleet.push_back(silent);
  Audit a = audit(fleet, kOld);
  EXPECT_EQ(summary_of(a),
            "r9 silent ;r5 cut-off file/a;r8 cut-off file/a;r4 disk file/a;r3 refused file/a;"
            "r6 behind file/a;r7 differs settings;");
  EXPECT_EQ(a.current, 2u);
  EXPECT_EQ(a.stragglers[1].expected, "9");
  EXPECT_EQ(a.stragglers[3].expected, "new");
  EXPECT_EQ(a.stragglers[4].why, "line 3");
  fleet[3].disk_failed = false;
  EXPECT_NE(summary_of(audit(fleet, kOld)).find("r4 on-its-way file/a"), std::string::npos);
}

TEST(Audit, TwoContentsUnderOneNumberAreAConflict) {
  std::vector<RouterReport> fleet;
  for (int n = 1; n <= 3; ++n)
    fleet.push_back(router(n, {{"list", {5, n == 2 ? "x" : "y", {}, "", false}}}));
  Audit a = audit(fleet, kOld);
  EXPECT_EQ(summary_of(a), "r2 clash list;");
  EXPECT_EQ(a.stragglers[0].actual, "5 of x");
  EXPECT_EQ(a.stragglers[0].expected, "5 of y");
}

}  // namespace
}  // namespace violetusher::core::audit
