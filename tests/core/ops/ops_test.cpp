// Operator commands, metrics, and settings updates at run time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/ops/metrics.hpp"
#include "core/ops/operator_command.hpp"
#include "core/ops/settings_update.hpp"

namespace violetusher::core::ops {
namespace {

TEST(OperatorCommand, ParsesValidCommandsOnly) {
  std::string error;
  EXPECT_EQ(parse_command("HEALTH", error)->kind, OperatorCommand::Kind::kHealth);
  EXPECT_EQ(parse_command(" dump ", error)->kind, OperatorCommand::Kind::kDump);
  auto out = parse_command("OFFLINE  s-1", error);
  ASSERT_TRUE(out);
  EXPECT_EQ(out->kind, OperatorCommand::Kind::kOffline);
  EXPECT_EQ(out->id, "s-1");
  EXPECT_EQ(parse_command("ONLINE s-1", error)->kind, OperatorCommand::Kind::kOnline);
  for (const std::string& line :
       {std::string(), std::string("HEALTHY"), std::string("HEALTH now"), std::string("OFFLINE"),
        std::string("OFFLINE a b"), std::string("ONLINE \x01"), "OFFLINE " + std::string(251, 'x'),
        std::string("GET / HTTP/1.1")}) {
    error.clear();
    EXPECT_FALSE(parse_command(line, error)) << line;
    EXPECT_FALSE(error.empty()) << line;
  }
}

TEST(Metrics, CountersByClassNeverDecrease) {
  Metrics figures;
  figures.add_class("read");
  figures.count("read", Metrics::Outcome::kSuccess);
  figures.count("read", Metrics::Outcome::kOverload);
  figures.count("read", Metrics::Outcome::kSuccess);
  figures.count("unheard of", Metrics::Outcome::kError);
  figures.add_class("read");  // added again by new settings
  figures.add_class("put");
  figures.count_reload(true);
  figures.count_reload(false);
  figures.count_reload(false);
  auto json = nlohmann::json::parse(figures.json({3, 9, 2, 77}));
  EXPECT_EQ(json["success"], (nlohmann::json{{"put", 0}, {"read", 2}}));
  EXPECT_EQ(json["overload"], (nlohmann::json{{"put", 0}, {"read", 1}}));
  EXPECT_EQ(json["error"], (nlohmann::json{{"put", 0}, {"read", 0}}));
  EXPECT_EQ(json["dispatches"], 77);
  EXPECT_EQ(json["concurrent"], 3);
  EXPECT_EQ(json["targets"], 9);
  EXPECT_EQ(json["targets_disabled"], 2);
  EXPECT_EQ(json["reload_success"], 1);
  EXPECT_EQ(json["reload_failure"], 2);
}

const std::vector<std::string> kShape = {"listen",
                                         "settings.Az",
                                         "settings.Limits.MaxAttempts",
                                         "settings.Classes.count",
                                         "settings.Classes.0.Name",
                                         "settings.Classes.0.DeadlineUs",
                                         "settings.Classes.1.Name",
                                         "settings.Classes.1.DeadlineUs"};

RC_GTEST_PROP(SettingsUpdate, EveryMissingPathIsNamed, ()) {
  auto paths = kShape;
  for (int k = *rc::gen::inRange(0, 3); k > 0; --k) {  // additional classes are allowed
    paths.push_back("settings.Classes." + std::to_string(k + 1) + ".Name");
    paths.push_back("settings.Classes." + std::to_string(k + 1) + ".DeadlineUs");
  }
  RC_ASSERT(missing_path(kShape, paths).empty());
  auto at = *rc::gen::inRange<std::size_t>(0, paths.size());
  std::string removed = paths[at];
  paths.erase(paths.begin() + static_cast<std::ptrdiff_t>(at));
  RC_ASSERT(missing_path(kShape, paths) == removed);
}

/// Guards against turning away settings for a key that only some of the present entries have.
TEST(SettingsUpdate, ANameThatSomeEntriesLackMayBeAbsent) {
  auto shape = kShape;
  shape.push_back("settings.Classes.1.AimStretch");
  EXPECT_EQ(missing_path(shape, kShape), "");
  EXPECT_EQ(missing_path(shape, shape), "");
}

TEST(SettingsUpdate, ARemovedClassIsNoMissingPath) {
  auto paths = kShape;
  paths.resize(paths.size() - 2);
  EXPECT_EQ(missing_path(kShape, paths), "");
}

rc::Gen<ClassSettings> any_class(const std::string& name) {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::element(Effect::Repeatable, Effect::Keyed, Effect::Once),
                     rc::gen::element(Group::All, Group::Zone, Group::Cell),
                     rc::gen::inRange<Micros>(1, 9)),
      [name](const auto& drawn) {
        ClassSettings c;
        c.name = name;
        c.effect = std::get<0>(drawn);
        c.group = std::get<1>(drawn);
        c.key_ttl = c.deadline = std::get<2>(drawn);
        return c;
      });
}

/// Returns whether a second attempt is allowed under these rules, `age` after one at a server of
/// another zone, of another cell of the same zone, or of the same cell.
bool may_repeat(const ClassSettings& c, Group distance, Micros age) {
  if (c.effect == Effect::Repeatable) return true;
  if (c.effect == Effect::Once || age >= c.key_ttl) return false;
  return static_cast<int>(c.group) <= static_cast<int>(distance);
}

RC_GTEST_PROP(SettingsUpdate, ATransitionAllowsNothingThatEitherForbids, ()) {
  Settings from, to;
  from.classes = {*any_class("a"), *any_class("gone")};
  to.classes = {*any_class("new"), *any_class("a")};
  from.max_attempts = *rc::gen::inRange(1, 6);
  to.max_attempts = *rc::gen::inRange(1, 6);
  from.may_hedge = *rc::gen::arbitrary<bool>();
  to.may_hedge = *rc::gen::arbitrary<bool>();
  Settings both = strictest_of(from, to);
  RC_ASSERT(both.max_attempts == std::min(from.max_attempts, to.max_attempts));
  RC_ASSERT(both.may_hedge == (from.may_hedge && to.may_hedge));
  RC_ASSERT(both.classes.size() == 3u);
  auto a = std::find_if(both.classes.begin(), both.classes.end(),
                        [](const auto& c) { return c.name == "a"; });
  RC_ASSERT(a->deadline == std::max(from.classes[0].deadline, to.classes[1].deadline));
  for (Group distance : {Group::All, Group::Zone, Group::Cell})
    for (Micros age = 0; age < 10; ++age)
      if (may_repeat(*a, distance, age))
        RC_ASSERT(may_repeat(from.classes[0], distance, age) &&
                  may_repeat(to.classes[1], distance, age));
}

TEST(SettingsUpdate, UnusableSettingsHaveAnError) {
  Settings good;
  good.classes.resize(1);
  good.classes[0].name = "read";
  good.classes[0].deadline = 1;
  EXPECT_EQ(settings_error(good), "");
  Settings bad = good;
  bad.classes[0].deadline = 0;
  EXPECT_NE(settings_error(bad), "");
  bad = good;
  bad.max_attempts = 0;
  EXPECT_NE(settings_error(bad), "");
  bad = good;
  bad.classes.push_back(good.classes[0]);
  EXPECT_NE(settings_error(bad), "");
  EXPECT_NE(settings_error(Settings()), "");
}

}  // namespace
}  // namespace violetusher::core::ops
