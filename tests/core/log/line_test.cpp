// Log lines: no external byte ends a line, reaches a terminal or makes it too long.
#include "core/log/line.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

namespace violetusher::core::log {
namespace {

constexpr Micros kWhen = 1'764'590'400'000'123;  // 2025-12-01 12:00:00.000123 UTC

TEST(Line, TextFormatIsTheMessageAlone) {
  EXPECT_EQ(format_line(Format::kText, kWhen, Level::kInfo, "e", "r1 listens on 127.0.0.1:1",
                        {{"x", std::int64_t{1}}}),
            "violetusher: r1 listens on 127.0.0.1:1\n");
}

TEST(Line, LogfmtAndJsonHaveTheFields) {
  EXPECT_EQ(format_line(Format::kLogfmt, kWhen, Level::kWarn, "e", "say \"hi\"",
                        {{"count", std::int64_t{7}}, {"who", std::string_view("a=b c")}}),
            "time=2025-12-01T12:00:00.000123Z level=warn event=e msg=\"say \\\"hi\\\"\" count=7 "
            "who=\"a=b c\"\n");
  auto json = nlohmann::json::parse(
      format_line(Format::kJson, kWhen, Level::kError, "e", "m", {{"count", std::int64_t{7}}}));
  EXPECT_EQ(json["time"], "2025-12-01T12:00:00.000123Z");
  EXPECT_EQ(json["level"], "error");
  EXPECT_EQ(json["count"], 7);
}

TEST(Line, ControlBytesAndInvalidUtf8AreEscaped) {
  std::string bad = "a\x1b[31m\x7f\r\n\xc2\x9b\xff\xc3\xa9";
  EXPECT_EQ(format_line(Format::kText, kWhen, Level::kInfo, "e", "a\x1b[31m\xff", {}),
            "violetusher: a\\u001b[31m\\u00ff\n");
  auto json = nlohmann::json::parse(
      format_line(Format::kJson, kWhen, Level::kInfo, "e", bad, {{"f", std::string_view(bad)}}));
  EXPECT_EQ(json["msg"], json["f"]);
}

TEST(Line, AnyInputIsOneValidLineOfBoundedSize) {
  rc::check("any bytes", [] {
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto times = *rc::gen::inRange<std::size_t>(1, 400);
    std::string text;
    for (std::size_t k = 0; k < times && text.size() < 20'000; ++k) text += bytes;
    for (Format format : {Format::kLogfmt, Format::kJson}) {
      std::string line = format_line(format, kWhen, Level::kInfo, "event", text,
                                     {{"a", std::string_view(text)},
                                      {"b", std::string_view(text)},
                                      {"c", std::string_view(text)}});
      RC_ASSERT(line.size() <= kMaxLineBytes);
      RC_ASSERT(line.back() == '\n');
      for (std::size_t k = 0; k + 1 < line.size(); ++k) {
        auto c = static_cast<unsigned char>(line[k]);
        RC_ASSERT(c >= 0x20 && c != 0x7f);
      }
      if (format == Format::kJson) RC_ASSERT(nlohmann::json::accept(line));
    }
    RC_ASSERT(format_line(Format::kText, kWhen, Level::kInfo, "e", text, {}).size() <=
              kMaxLineBytes);
  });
}

TEST(EventRateLimiter, AdmitsAFewAndReportsTheNumberSuppressed) {
  EventRateLimiter bound;
  std::uint64_t suppressed = 0;
  int written = 0;
  for (int k = 0; k < 500; ++k) written += bound.admit(1'000, "e", suppressed);
  EXPECT_EQ(written, static_cast<int>(EventRateLimiter::kMaxLines));
  EXPECT_TRUE(bound.admit(1'000, "other", suppressed));
  EXPECT_EQ(suppressed, 0u);
  EXPECT_TRUE(bound.admit(1'000 + EventRateLimiter::kInterval, "e", suppressed));
  EXPECT_EQ(suppressed, 500 - EventRateLimiter::kMaxLines);
  EXPECT_TRUE(bound.admit(1'001 + EventRateLimiter::kInterval, "e", suppressed));
  EXPECT_EQ(suppressed, 0u);
}

TEST(EventRateLimiter, ManyEventNamesTakeBoundedMemory) {
  EventRateLimiter bound;
  std::uint64_t suppressed = 0, written = 0;
  for (int k = 0; k < 100'000; ++k)
    written += bound.admit(1'000, "e" + std::to_string(k), suppressed);
  EXPECT_LE(written, EventRateLimiter::kMaxEvents * EventRateLimiter::kMaxLines);
}

}  // namespace
}  // namespace violetusher::core::log
