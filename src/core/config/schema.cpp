#include "schema.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <initializer_list>
#include <utility>
#include <vector>

namespace violetusher::core::config {
namespace {

constexpr KeyRule kPool[] = {{.key = "halls", .type = Type::kName, .list = true},
                             {.key = "kinds", .type = Type::kName, .list = true},
                             {.key = "blocks", .type = Type::kInteger, .list = true},
                             {.key = "hosts", .type = Type::kPattern, .list = true},
                             {.key = "servers", .type = Type::kAddress, .list = true},
                             {.key = "limit", .type = Type::kName, .refers = "limit"},
                             {.key = "budget", .type = Type::kName, .refers = "budget"}};
constexpr KeyRule kShares[] = {{.key = "*", .type = Type::kPercent, .refers = "tenant"}};
constexpr KeyRule kClass[] = {
    {.key = "attempts", .type = Type::kInteger, .required = true, .low = 1, .high = 100},
    {.key = "worth", .type = Type::kInteger, .low = 0, .high = 1000},
    {.key = "keyed", .type = Type::kFlag},
    {.key = "limit", .type = Type::kName, .refers = "limit"}};
constexpr KeyRule kTenant[] = {{.key = "limit", .type = Type::kName, .refers = "limit"}};
constexpr KeyRule kLimit[] = {
    {.key = "rate", .type = Type::kRate, .high = 1e9},
    {.key = "burst", .type = Type::kInteger, .low = 1, .high = 1e9},
    {.key = "in_flight", .type = Type::kInteger, .low = 1, .high = 1e9},
    {.key = "come_back", .type = Type::kDuration, .low = 1000, .high = 60e6}};
constexpr KeyRule kBudget[] = {
    {.key = "retries", .type = Type::kShare, .required = true, .high = 100},
    {.key = "hedges", .type = Type::kShare, .high = 100},
    {.key = "floor", .type = Type::kRate, .high = 1e6}};
constexpr KeyRule kRoute[] = {
    {.key = "listener", .type = Type::kName, .refers = "listener"},
    {.key = "tenant", .type = Type::kName, .refers = "tenant"},
    {.key = "class", .type = Type::kName, .refers = "class"},
    {.key = "prefix", .type = Type::kText},
    {.key = "pool", .type = Type::kName, .required = true, .refers = "pool"},
    {.key = "fallbacks", .type = Type::kName, .list = true, .refers = "pool"},
    {.key = "fall_over_at", .type = Type::kPercent},
    {.key = "fall_back_at", .type = Type::kPercent},
    {.key = "spill", .type = Type::kPercent},
    {.key = "limit", .type = Type::kName, .refers = "limit"},
    {.key = "budget", .type = Type::kName, .refers = "budget"}};
constexpr KeyRule kListener[] = {{.key = "address", .type = Type::kAddress, .required = true}};

constexpr KeyRule kRecorder[] = {
    {.key = "file", .type = Type::kText, .required = true},
    {.key = "size", .type = Type::kSize, .required = true, .low = 65536, .high = 1073741824}};

constexpr KeyRule kLog[] = {{.key = "format", .type = Type::kName, .required = true},
                            {.key = "level", .type = Type::kName}};

constexpr KeyRule kLedger[] = {
    {.key = "folder", .type = Type::kText, .required = true},
    {.key = "listen", .type = Type::kAddress},
    {.key = "keep", .type = Type::kFlag},
    {.key = "keepers", .type = Type::kInteger, .low = 1, .high = 7},
    {.key = "followers", .type = Type::kInteger, .low = 1, .high = 256},
    {.key = "replace_after", .type = Type::kDuration, .low = 1e6, .high = 86400e6},
    {.key = "trust_after", .type = Type::kDuration, .low = 1e6, .high = 86400e6}};
constexpr KeyRule kRollout[] = {
    {.key = "file", .type = Type::kText, .required = true},
    {.key = "spread", .type = Type::kDuration, .low = 0, .high = 600e6}};
constexpr KeyRule kPeer[] = {{.key = "address", .type = Type::kAddress, .required = true},
                             {.key = "hall", .type = Type::kName}};

constexpr KeyRule kAudit[] = {
    {.key = "folder", .type = Type::kText, .required = true},
    {.key = "size", .type = Type::kSize, .low = 1048576, .high = 1099511627776},
    {.key = "keep", .type = Type::kDuration, .low = 60e6, .high = 366 * 86400e6},
    {.key = "every", .type = Type::kDuration, .low = 100e3, .high = 60e6}};

constexpr SectionRule kSections[] = {
    {.kind = "listener", .keys = kListener},
    {.kind = "class", .keys = kClass},
    {.kind = "tenant", .keys = kTenant},
    {.kind = "limit", .keys = kLimit},
    {.kind = "budget", .keys = kBudget},
    {.kind = "pool", .keys = kPool},
    {.kind = "shares", .keys = kShares, .named = false, .parent_kind = "pool", .free_keys = true},
    {.kind = "route", .keys = kRoute},
    {.kind = "recorder", .keys = kRecorder},
    {.kind = "log", .keys = kLog},
    {.kind = "ledger", .keys = kLedger},
    {.kind = "rollout", .keys = kRollout},
    {.kind = "peer", .keys = kPeer},
    {.kind = "audit", .keys = kAudit}};

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kDurations[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 6e7}};
constexpr Unit kSizes[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}};
constexpr Unit kRates[] = {{"/s", 1}, {"/ms", 1e3}};
constexpr Unit kPercents[] = {{"%", 0.01}};
constexpr Unit kPlain[] = {{"", 1}};

std::span<const Unit> units_of(Type type) {
  switch (type) {
    case Type::kDuration:
      return kDurations;
    case Type::kSize:
      return kSizes;
    case Type::kRate:
      return kRates;
    case Type::kPercent:
    case Type::kShare:
      return kPercents;
    default:
      return kPlain;
  }
}

}  // namespace

std::span<const SectionRule> sections() { return kSections; }

const SectionRule* find_section(std::string_view kind, std::string_view parent_kind) {
  for (const SectionRule& rule : kSections)
    if (rule.kind == kind && rule.parent_kind == parent_kind) return &rule;
  return nullptr;
}

std::string_view describe(Type type) {
  switch (type) {
    case Type::kName:
      return "a name";
    case Type::kText:
      return "a quoted string";
    case Type::kInteger:
      return "a whole number";
    case Type::kDuration:
      return "a duration with a unit";
    case Type::kSize:
      return "a size with a unit";
    case Type::kRate:
      return "a rate with a unit";
    case Type::kPercent:
    case Type::kShare:
      return "a percentage";
    case Type::kFlag:
      return "on or off";
    case Type::kAddress:
      return "a quoted loopback address";
    case Type::kPattern:
      return "a quoted string with '*' wildcards";
  }
  return "";
}

std::string_view example(Type type) {
  switch (type) {
    case Type::kName:
      return "main";
    case Type::kText:
      return "\"barcode:\"";
    case Type::kInteger:
      return "5";
    case Type::kDuration:
      return "150ms";
    case Type::kSize:
      return "64KiB";
    case Type::kRate:
      return "1800/s";
    case Type::kPercent:
      return "56%";
    case Type::kShare:
      return "10%";
    case Type::kFlag:
      return "on";
    case Type::kAddress:
      return "\"127.0.0.1:11211\"";
    case Type::kPattern:
      return "\"pc-*\"";
  }
  return "";
}

bool parse_quantity(Type type, std::string_view text, double& quantity) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || !std::isfinite(value)) return false;
  std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const Unit& u : units_of(type)) {
    if (u.name != unit) continue;
    if (type == Type::kInteger && (value != std::floor(value) || std::abs(value) > 9e15))
      return false;
    // Durations and sizes are rounded to whole microseconds and bytes.
    quantity = type == Type::kDuration || type == Type::kSize ? std::round(value * u.factor)
                                                              : value * u.factor;
    return true;
  }
  return false;
}

std::string format_quantity(Type type, double quantity) {
  auto units = units_of(type);
  const Unit* best = &units[0];
  // The largest unit that gives a whole number; rates stay per second, which makes them easy to
  // compare.
  if (type == Type::kDuration || type == Type::kSize)
    for (const Unit& u : units)
      if (quantity != 0 && std::fmod(quantity, u.factor) == 0) best = &u;
  double scaled = quantity / best->factor;
  if (type == Type::kPercent || type == Type::kShare) scaled = quantity * 100;
  // The fewest digits that parse back to the same quantity: scaling by a unit must not lose bits.
  char text[64];
  for (int digits = 6; digits <= 17; ++digits) {
    std::snprintf(text, sizeof text, "%.*g", digits, scaled);
    double back = 0;
    // Written without an exponent, which not every reader accepts in a number with a unit.
    if (std::string_view(text).find('e') != std::string_view::npos)
      std::snprintf(text, sizeof text, "%.0f", scaled);
    if (parse_quantity(type, text + std::string(best->name), back) && back == quantity) break;
  }
  return text + std::string(best->name);
}

std::string_view closest_match(std::string_view word, std::span<const std::string_view> known) {
  std::string_view best;
  std::size_t limit = word.size() <= 3 ? 2 : 3;  // edit distance of unrelated words
  for (std::string_view k : known) {
    std::vector<std::size_t> row(k.size() + 1);
    for (std::size_t j = 0; j <= k.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= std::min<std::size_t>(word.size(), 64); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= k.size(); ++j) {
        std::size_t change = diagonal + (word[i - 1] != k[j - 1]);
        diagonal = row[j];
        row[j] = std::min({change, row[j] + 1, row[j - 1] + 1});
      }
    }
    if (row[k.size()] < limit) {
      limit = row[k.size()];
      best = k;
    }
  }
  return best;
}

}  // namespace violetusher::core::config
