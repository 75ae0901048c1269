#include "versions.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace violetusher::core::audit {
namespace {

std::string format_version(const Version& v) {
  return v.number ? std::to_string(v.number) + " of " + v.content : v.content;
}

/// The version that all routers should have: the highest number, and of the versions with that
/// number the most frequent content.
Version expected_version(const std::vector<const Version*>& all) {
  std::uint64_t newest = 0;
  for (const Version* v : all) newest = std::max(newest, v->number);
  std::map<std::string, std::size_t> contents;
  for (const Version* v : all)
    if (v->number == newest) ++contents[v->content];
  auto most = std::max_element(contents.begin(), contents.end(),
                               [](const auto& a, const auto& b) { return a.second < b.second; });
  Version out;
  out.number = newest;
  if (most != contents.end()) out.content = most->first;
  return out;
}

/// The version that a straggler should have, as text. Only the router itself can tell which of the
/// two texts of a roll-out is assigned to it.
std::string expected_of(const Version& has, const Version& expected_version) {
  if (!has.assigned) return format_version(expected_version);
  return has.number >= expected_version.number ? *has.assigned
                                               : std::to_string(expected_version.number);
}

/// Why a router that answers does not have the expected version; nothing if it has.
std::optional<Cause> cause_of(const RouterReport& s, const Version& v, const Version& expected,
                              Micros max_age) {
  bool partitioned = s.age < 0 || s.age > max_age;
  if (v.assigned) {
    // The router knows its assigned content, unless its view of the ledger is old.
    if (*v.assigned == v.content && v.number >= expected.number) return {};
    if (partitioned) return Cause::kPartitioned;
    if (v.number < expected.number) return Cause::kBehind;
    if (v.refused) return Cause::kRefused;
    return s.disk_failed ? Cause::kDiskFailed : Cause::kInProgress;
  }
  if (v.number == expected.number && v.content == expected.content) return {};
  if (v.number == expected.number) return v.number ? Cause::kConflict : Cause::kDiffers;
  return partitioned ? Cause::kPartitioned : s.disk_failed ? Cause::kDiskFailed : Cause::kBehind;
}

}  // namespace

std::string_view name_of(Cause cause) {
  constexpr std::string_view kNames[] = {"silent",     "cut-off", "disk",    "refused",
                                         "on-its-way", "behind",  "differs", "clash"};
  return kNames[static_cast<int>(cause)];
}

Audit audit(const std::vector<RouterReport>& fleet, Micros max_age) {
  Audit out;
  out.routers = fleet.size();
  std::map<std::string, std::vector<const Version*>> by_kind;
  for (const RouterReport& s : fleet)
    for (const auto& [kind, v] : s.versions) by_kind[kind].push_back(&v);
  std::map<std::string, Version> expected;
  for (const auto& [kind, all] : by_kind) {
    expected[kind] = expected_version(all);
    std::map<std::string, std::size_t> counts;
    for (const Version* v : all) ++counts[format_version(*v)];
    VersionDistribution distribution{kind, {counts.begin(), counts.end()}};
    std::stable_sort(distribution.versions.begin(), distribution.versions.end(),
                     [](const auto& a, const auto& b) { return a.second > b.second; });
    out.distributions.push_back(std::move(distribution));
  }
  std::set<std::string> late;
  for (const RouterReport& s : fleet) {
    if (!s.error.empty()) {
      out.stragglers.push_back({s.router, "", "", "", Cause::kUnreachable, s.error});
      late.insert(s.router);
      continue;
    }
    for (const auto& [kind, expected_version] : expected) {
      auto has = s.versions.find(kind);
      if (has == s.versions.end()) continue;  // its operator file has none of that kind
      auto cause = cause_of(s, has->second, expected_version, max_age);
      if (!cause) continue;
      const Version& v = has->second;
      out.stragglers.push_back(
          {s.router, kind, format_version(v), expected_of(v, expected_version), *cause, v.why});
      late.insert(s.router);
    }
  }
  out.current = fleet.size() - late.size();
  std::stable_sort(out.stragglers.begin(), out.stragglers.end(),
                   [](const Straggler& a, const Straggler& b) {
                     return std::tie(a.cause, a.router) < std::tie(b.cause, b.router);
                   });
  return out;
}

}  // namespace violetusher::core::audit
