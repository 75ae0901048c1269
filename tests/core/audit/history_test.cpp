// Attempts are attributed to the view that they were sent under, and intervals that a trail does
// not cover are reported as unknown.
#include "core/audit/history.hpp"

#include <gtest/gtest.h>

#include <random>

namespace violetusher::core::audit {
namespace {

/// A recorder whose bodies become blocks, except while `losing`.
struct Router {
  explicit Router(const std::string& name)
      : account([this] { return versions; }, [this](std::string body) { write(body); }) {
    trail.router = name;
    write(header_body(name, {}, "start"));
  }
  void write(const std::string& body) {
    if (!losing) trail.blocks.push_back({next, 0, Json::parse(body)});
    if (!losing) ++next;
  }
  Trail trail;
  ActivityRecorder::Versions versions{{"list", "1"}};
  bool losing = false;
  std::uint64_t next = 1;
  ActivityRecorder account;
};

TEST(History, AttemptsAreCountedUnderTheirView) {
  std::mt19937 random(7);
  Router r("r1");
  std::map<std::string, std::uint64_t> sent;  // by the list's version
  std::uint32_t read = r.account.type_of("read");
  r.account.set_serving("a", true);
  r.account.set_serving("b", true);
  Micros now = 1000;
  r.account.changed(now);
  for (int k = 0; k < 2000; ++k, now += 10) {
    if (random() % 50 == 0) {
      r.versions["list"] = std::to_string(k);
      r.account.set_serving("b", random() % 2);
      r.account.changed(now);
    }
    if (random() % 30 == 0) r.account.tick(now);
    r.account.sent("a", read);
    ++sent[r.versions["list"]];
  }
  r.account.tick(now);
  History h;
  h.add(r.trail);
  for (const auto& [version, count] : sent) {
    std::uint64_t attempts = 0;
    for (const Period* s : h.periods_with("list", version)) attempts += s->attempts();
    EXPECT_EQ(attempts, count) << version;
  }
  EXPECT_TRUE(h.violations().empty());
  EXPECT_TRUE(h.unknown().empty());
  for (Micros at = 1000; at < now; at += 77) EXPECT_EQ(h.periods_at(at).size(), 1u) << at;
  EXPECT_TRUE(h.periods_at(999).empty());
}

TEST(History, AttemptToAnExcludedServerIsAViolation) {
  Router r("r1");
  r.account.set_serving("a", true);
  r.account.set_serving("b", true);
  r.account.changed(1000);
  r.account.sent("a", r.account.type_of("read"));
  r.account.set_serving("a", false);
  r.account.changed(2000);  // the attempt before is no violation: its period ends here
  r.account.sent("b", 0);
  r.account.sent("a", 0);
  r.account.refused("put");
  r.account.tick(3000);
  History h;
  h.add(r.trail);
  ASSERT_EQ(h.violations().size(), 1u);
  EXPECT_EQ(h.violations()[0].server, "a");
  EXPECT_EQ(h.violations()[0].count, 1u);
  EXPECT_EQ(h.violations()[0].from, 2000);
  EXPECT_EQ(h.periods().back().refused.at("put"), 1u);
}

/// After lost view changes, later attempts must count as neither valid nor violations.
TEST(History, AfterAGapNothingIsCheckedUntilAFullView) {
  Router r("r1");
  r.account.set_serving("a", true);
  r.account.changed(1000);
  r.losing = true;
  r.account.set_serving("a", false);
  r.account.set_serving("b", true);
  r.account.changed(2000);
  r.account.set_serving("c", true);
  r.account.changed(2500);
  r.losing = false;
  r.account.sent("b", r.account.type_of("read"));
  r.account.tick(3000);
  r.write(R"({"k":"gap","from":2000,"to":2600,"blocks":2,"why":"full"})");
  r.account.set_serving("b", false);
  r.account.changed(3500);
  r.account.sent("b", 0);
  r.account.tick(4000);
  r.account.write_full_view();
  r.account.tick(5000);
  r.account.sent("b", 0);
  r.account.tick(6000);
  History h;
  h.add(r.trail);
  ASSERT_EQ(h.violations().size(), 1u);
  EXPECT_EQ(h.violations()[0].from, 5000);
  std::uint64_t unknown = 0;
  for (const UnknownInterval& u : h.unknown()) unknown += u.attempts;
  EXPECT_EQ(unknown, 1u);
  EXPECT_EQ(h.unknown().front().why.empty(), false);
}

TEST(History, ConflictingContentAndLateRoutersAreFound) {
  Router first("r1"), second("r2"), third("r3");
  first.account.changed(1000);
  first.versions["list"] = "2";
  first.account.changed(2000);
  second.versions["list"] = "2";
  second.account.changed(2600);
  third.account.changed(1500);
  third.write(R"({"k":"view","at":1700,"view":1,"versions":{"list":"9"},"all":true,"in":[]})");
  History h;
  for (const Router* r : {&first, &second, &third}) h.add(r->trail);
  ASSERT_EQ(h.violations().size(), 1u);
  EXPECT_EQ(h.violations()[0].kind, Violation::Kind::kConflictingContent);
  EXPECT_EQ(h.violations()[0].router, "r3");
  auto arrivals = h.arrivals("list", "2");
  ASSERT_EQ(arrivals.size(), 3u);
  EXPECT_TRUE(arrivals[0].never);
  EXPECT_EQ(arrivals[0].router, "r3");
  EXPECT_EQ(arrivals[1].after, 600);
  EXPECT_EQ(arrivals[2].router, "r1");
}

/// Each reason for a delay that trails can show is reported as such.
TEST(History, ReasonsForALateArrival) {
  Router fast("r1"), acted("r2"), restarted("r3"), spoilt("r4"), gone("r5"), never("r6");
  Router* all[] = {&fast, &acted, &restarted, &spoilt, &gone, &never};
  for (Router* r : all) r->account.changed(1000);
  fast.versions["list"] = "2";
  fast.account.changed(2000);
  acted.versions["list"] = "2";
  acted.account.changed(3000);
  restarted.write(header_body("r3", {}, "start"));
  ActivityRecorder fresh(
      [] {
        return ActivityRecorder::Versions{{"list", "2"}};
      },
      [&](const std::string& body) { restarted.write(body); });
  fresh.changed(4000);
  spoilt.write(R"({"k":"gap","from":1500,"to":4500,"blocks":3,"why":"full"})");
  spoilt.account.write_full_view();
  spoilt.versions["list"] = "2";
  spoilt.account.changed(5000);
  never.account.refused("read");
  never.account.tick(6000);
  History h;
  for (const Router* r : all) h.add(r->trail);
  std::map<std::string, Arrival> by;
  for (const Arrival& a : h.arrivals("list", "2")) by[a.router] = a;
  EXPECT_EQ(by["r1"].why, Arrival::Why::kFirst);
  EXPECT_EQ(by["r2"].why, Arrival::Why::kActedOnAnother);
  EXPECT_EQ(by["r2"].previous, "1");
  EXPECT_EQ(by["r3"].why, Arrival::Why::kDown);
  EXPECT_EQ(by["r3"].after, 2000);
  EXPECT_EQ(by["r4"].why, Arrival::Why::kUnknown);
  EXPECT_EQ(by["r5"].why, Arrival::Why::kDown);
  EXPECT_TRUE(by["r5"].never);
  EXPECT_EQ(by["r6"].why, Arrival::Why::kActedOnAnother);
  EXPECT_TRUE(by["r6"].never);
  EXPECT_EQ(h.periods_of("r3").size(), 2u);
}

/// Blocks come from a disk and may have any shape; at worst an interval is unknown.
TEST(History, BlocksOfAnyShapeAreReadWithoutViolations) {
  const char* bodies[] = {"{}",
                          "[]",
                          "3",
                          R"({"k":7})",
                          R"({"k":"view"})",
                          R"({"k":"did","view":"x"})",
                          R"({"k":"view","at":1,"view":1,"versions":{"a":1}})",
                          R"({"k":"did","view":1,"from":1,"to":2,"sent":{"a":3},"refused":[]})",
                          R"({"k":"gap","from":"x","to":[]})",
                          R"({"k":"view","at":1,"view":2,"versions":{},"all":true,"in":{"a":1}})"};
  for (const char* body : bodies) {
    Router r("r1");
    r.account.changed(1000);
    r.write(body);
    History h;
    h.add(r.trail);
    EXPECT_TRUE(h.violations().empty()) << body;
  }
}

}  // namespace
}  // namespace violetusher::core::audit
