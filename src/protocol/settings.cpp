#include "settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace violetusher::protocol {
namespace {

constexpr Words<Effect, 3> kEffect{
    {{"repeatable", Effect::Repeatable}, {"by_key", Effect::Keyed}, {"once", Effect::Once}}};
constexpr Words<Group, 3> kGroup{
    {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}}};
constexpr Words<ReportField, 8> kField{{{"concurrent", ReportField::InFlight},
                                        {"depth", ReportField::Queue},
                                        {"load_share", ReportField::Utilization},
                                        {"mean_ms", ReportField::LatencyMs},
                                        {"tps", ReportField::PerSecond},
                                        {"err_ps", ReportField::ErrorsPerSecond},
                                        {"x0", ReportField::HitShare},
                                        {"x1", ReportField::FetchesOut}}};

}  // namespace

std::int64_t to_integer(std::string_view text, std::string_view what) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) throw bad(what, text);
  return value;
}

double to_number(std::string_view text, std::string_view what) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    throw bad(what, text);
  return value;
}

std::optional<ReportField> report_field_of(std::string_view name) { return look_up(kField, name); }

namespace {

// 35 years.
constexpr Micros kMaxSpan = Micros{1} << 50;

/// Typed lookups by path; an absent or empty value yields the default.
struct Reader {
  const SettingPairs& by_path;

  std::string_view text(const std::string& path) const {
    auto it = by_path.find(path);
    return it == by_path.end() ? std::string_view() : it->second;
  }
  double number(const std::string& path, double fallback) const {
    return text(path).empty() ? fallback : to_number(text(path), path);
  }
  std::int64_t integer(const std::string& path, std::int64_t fallback) const {
    return text(path).empty() ? fallback : to_integer(text(path), path);
  }
  /// A length of time, cut to what can be added to any time. What it may be is for those who use
  /// it.
  Micros span(const std::string& path, Micros fallback) const {
    return std::clamp<Micros>(integer(path, fallback), -kMaxSpan, kMaxSpan);
  }
};

}  // namespace

Settings settings_of(const SettingPairs& by_path) {
  Reader read{by_path};
  auto text = [&](const std::string& path) { return read.text(path); };
  auto number = [&](const std::string& path, double fallback) {
    return read.number(path, fallback);
  };
  auto integer = [&](const std::string& path, std::int64_t fallback) {
    return read.integer(path, fallback);
  };
  auto span = [&](const std::string& path, Micros fallback) { return read.span(path, fallback); };
  auto flag = [&](const std::string& path) {
    return !text(path).empty() && to_flag(text(path), path);
  };
  auto count = [&](const std::string& path) {
    return in_range(integer(path, 0), 0, 100'000, path);
  };

  Settings s;
  for (std::int64_t k = 0; k < count("Classes.count"); ++k) {
    std::string at = "Classes." + std::to_string(k) + ".";
    ClassSettings c;
    c.name = text(at + "Name");
    c.latency_objective = span(at + "ObjectiveUs", 0);
    c.deadline = span(at + "DeadlineUs", 0);
    c.worth = number(at + "Worth", 1);
    c.late_worth = number(at + "LateWorth", 0);
    // Required: a default would treat the class as safe to repeat.
    c.effect = word(kEffect, text(at + "Effect"), at + "Effect");
    if (!text(at + "Group").empty()) c.group = word(kGroup, text(at + "Group"), at + "Group");
    c.key_ttl = span(at + "KeyTtlUs", 0);
    c.streamed = flag(at + "Streamed");
    s.classes.push_back(std::move(c));
  }
  for (std::int64_t k = 0; k < count("Tenants.count"); ++k) {
    std::string at = "Tenants." + std::to_string(k) + ".";
    s.tenants.push_back(
        {std::string(text(at + "Name")), number(at + "Portion", 0), number(at + "QuotaPerS", 0)});
  }
  for (std::string_view name : split(text("Report.Fields"), ','))
    s.report_fields.push_back(look_up(kField, name).value_or(ReportField::Unknown));
  s.zone = text("Az");
  for (std::string_view zone : split(text("FailureDomains"), ',')) s.zones.emplace_back(zone);
  s.cache_aside = text("Domain.Mode") == "aside";
  auto kinds = split(text("MachineTypes"), ',');
  std::int64_t origin = integer("Domain.OriginKind", -1);
  if (origin >= 0 && origin < static_cast<std::int64_t>(kinds.size()))
    s.origin_kind = kinds[origin];
  s.routers = static_cast<int>(in_range(integer("Balancers", 1), 1, 10'000'000, "Balancers"));
  s.list_on_demand = text("MembershipMode") == "subscribe";
  s.may_cancel = flag("Limits.MayCancel");
  s.may_probe = flag("Limits.MayProbe");
  s.may_hedge = flag("Limits.SecondCopies");
  s.retry_after = flag("Limits.RetryAfter");
  s.worth_by_work = text("ValueBy") == "work";
  s.weights_listed = text("Weights") != "off" && !text("Weights").empty();
  s.max_attempts =
      static_cast<int>(in_range(integer("Limits.MaxAttempts", 1), 1, 1'000, "Limits.MaxAttempts"));
  s.max_retry_after = span("Limits.MaxRetryAfterUs", 0);
  s.timer_granularity = span("TickUs", 1000);
  s.cross_zone_charge = number("Charges.CrossZone", 0);
  s.waste_charge = number("Charges.Waste", 0);
  s.late_fail_charge = number("Charges.LateFail", 0);
  s.over_share_worth = number("OverShareWorth", 1);
  s.answer_slack = span("Rules.AnswerSlackUs", 0);
  s.list_refresh_interval = span("Rules.AskWithinUs", 10'000'000);
  s.drain_grace = span("Rules.DrainGraceUs", 0);
  s.slow_start_min_fraction = number("Rules.ColdShare", 0.3);
  s.slow_start_window = span("Rules.ColdUs", 0);
  s.overload_factor = number("Rules.OverloadFactor", 3);
  s.overload_window = span("Rules.TipAfterUs", 1'500'000);
  return s;
}

ConnectionSettings connection_settings_of(const SettingPairs& by_path) {
  Reader read{by_path};
  ConnectionSettings l;
  auto positive = [&](const char* path, std::int64_t fallback) {
    return in_range(read.integer(path, fallback), 1, kMaxSpan, path);
  };
  l.streams = static_cast<int>(
      std::min<std::int64_t>(positive("Limits.StreamsPerConn", l.streams), 1'000'000));
  l.keepalive = positive("Limits.KeepaliveUs", l.keepalive);
  l.dial_timeout = positive("Limits.DialTimeoutUs", l.dial_timeout);
  l.max_open = positive("Limits.MaxOpen", l.max_open);
  return l;
}

}  // namespace violetusher::protocol
