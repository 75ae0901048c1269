// Tests random draws, units, the event loop, plots and the history.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <set>

#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "kit/common/random.hpp"
#include "kit/common/svg.hpp"
#include "kit/common/units.hpp"

namespace violetusher::kit {
namespace {

TEST(Draws, DependOnSeedStreamAndIndexAlone) {
  Draws a(7), b(7), other(8);
  std::set<std::uint64_t> seen;
  for (std::uint64_t k = 0; k < 1000; ++k) {
    EXPECT_EQ(a.bits(Stream::kKey, k), b.bits(Stream::kKey, k));
    seen.insert(a.bits(Stream::kKey, k));
    seen.insert(a.bits(Stream::kHall, k));
    seen.insert(other.bits(Stream::kKey, k));
    seen.insert(a.bits(Stream::kKey, k, 1));
  }
  EXPECT_EQ(seen.size(), 4000u);
}

TEST(Draws, HaveTheirMeans) {
  Draws draws(3);
  double uniform = 0, exponential = 0, lognormal = 0;
  const int n = 200'000;
  for (int k = 0; k < n; ++k) {
    double u = draws.uniform(Stream::kKey, static_cast<std::uint64_t>(k));
    ASSERT_GE(u, 0);
    ASSERT_LT(u, 1);
    uniform += u;
    exponential += draws.exponential(Stream::kArrival, static_cast<std::uint64_t>(k));
    lognormal += draws.lognormal(0.35, Stream::kWork, static_cast<std::uint64_t>(k));
  }
  // Five standard errors of each mean; the seed is fixed, so every run gives the same result.
  EXPECT_NEAR(uniform / n, 0.5, 5 * 0.2887 / std::sqrt(n));
  EXPECT_NEAR(exponential / n, 1, 5 / std::sqrt(n));
  EXPECT_NEAR(lognormal / n, 1, 5 * 0.37 / std::sqrt(n));
}

TEST(Zipf, GivesEachRankItsProbability) {
  const std::size_t keys = 50;
  Zipf zipf(keys, 1.1);
  double sum = 0;
  for (std::size_t k = 0; k < keys; ++k) sum += std::pow(k + 1.0, -1.1);
  std::vector<int> counts(keys);
  const int n = 100'000;
  for (int k = 0; k < n; ++k) ++counts[zipf.rank((k + 0.5) / n)];
  for (std::size_t k = 0; k < keys; ++k)
    EXPECT_NEAR(counts[k], n * std::pow(k + 1.0, -1.1) / sum, 2) << k;
  EXPECT_EQ(zipf.rank(0), 0u);
  EXPECT_EQ(zipf.rank(std::nextafter(1.0, 0.0)), keys - 1);
}

TEST(Units, AreRequired) {
  EXPECT_EQ(parse_duration("1.5ms"), 1500);
  EXPECT_EQ(parse_duration("2min"), 120'000'000);
  EXPECT_EQ(parse_rate("0.5/ms"), 500);
  EXPECT_EQ(parse_size("64KiB"), 65536u);
  EXPECT_EQ(parse_percent("5%"), 0.05);
  for (const char* bad :
       {"", "5", "5 s", "s", "-1s", "1e400s", "nan s", "nans", "infs", "5S", "5ss", "25h"})
    EXPECT_FALSE(parse_duration(bad)) << bad;
  for (const char* bad : {"300", "300s", "/s", "-1/s"}) EXPECT_FALSE(parse_rate(bad)) << bad;
  for (const char* bad : {"64", "64KB", "-1B", "1e300GiB"}) EXPECT_FALSE(parse_size(bad)) << bad;
}

RC_GTEST_PROP(Units, AnyTextIsParsedOrRejected, (const std::string& text)) {
  auto span = parse_duration(text);
  if (span) RC_ASSERT(*span >= 0 && *span <= 86'400'000'000);
  parse_rate(text), parse_size(text), parse_percent(text);
}

RC_GTEST_PROP(Lateness, QuantilesAreWithinABucket, ()) {
  auto values =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000'000)));
  Lateness late;
  for (int v : values) late.add(v);
  std::sort(values.begin(), values.end());
  for (double q : {0.01, 0.5, 0.99, 1.0}) {
    auto at = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size()))) - 1;
    auto exact = static_cast<double>(values[std::min(at, values.size() - 1)]);
    auto got = static_cast<double>(late.quantile(q));
    RC_ASSERT(got >= exact * 0.999 - 1);
    RC_ASSERT(got <= exact * 1.13 + 2);
  }
  RC_ASSERT(late.worst() == values.back());
}

TEST(Loop, RunsTasksInOrderOfTimeAndCountsHowLate) {
  net::Clock clock;
  Loop loop(clock);
  std::string order;
  Micros now = loop.now();
  loop.at(now + 20'000, [&] { order += 'b'; });
  loop.at(now + 10'000, [&] {
    order += 'a';
    loop.at(now + 15'000, [&] { order += 'x'; });
  });
  loop.at(now + 30'000, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(order, "axb");
  EXPECT_GE(clock.now(), now + 30'000);
  EXPECT_EQ(loop.lateness().count(), 4u);
}

TEST(Svg, TextCannotBreakOut) {
  EXPECT_EQ(escaped("<a href=\"x\">&\x01"), "&lt;a href=&quot;x&quot;&gt;&amp; ");
  Plot plot{"<t>", "u", 10, {{"<s>", "red", {{1, 2}, {2, 0}}}}, {{1, 2, "<m>"}}, false, true};
  std::string svg = line_plot(plot);
  EXPECT_EQ(svg.find("<t>"), svg.npos);
  EXPECT_EQ(svg.find("<m>"), svg.npos);
  EXPECT_EQ(svg.find("nan"), svg.npos);
}

TEST(History, AnAttemptIsNotRecordedBeforeItsRequestWasSent) {
  History history;
  history.tries.push_back({.request = 7, .number = 1, .sent = 100});
  history.attempts.push_back({.request = 7, .attempt_try = 1, .first_byte = 40});
  history.attempts.push_back({.request = 7, .attempt_try = 1, .first_byte = 140});
  history.attempts.push_back({.request = 8, .attempt_try = 1, .first_byte = 40});
  begin_after_requests(history);
  EXPECT_EQ(history.attempts[0].first_byte, 100);
  EXPECT_EQ(history.attempts[1].first_byte, 140);
  EXPECT_EQ(history.attempts[2].first_byte, 40);
}

}  // namespace
}  // namespace violetusher::kit
