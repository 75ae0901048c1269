#include "versions.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace violetusher::core::audit {
namespace {

std::string text_of(const Version& v) {
  return v.number ? std::to_string(v.number) + " of " + v.content : v.content;
}

/// What all should have: the greatest number where there are numbers, and of that, or without any,
/// the content that most have.
Version best(const std::vector<const Version*>& all) {
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

/// What a straggler should have. Which of two texts a roll-out has for it, it alone could say.
std::string should_of(const Version& has, const Version& best) {
  if (!has.wanted) return text_of(best);
  return has.number >= best.number ? *has.wanted : std::to_string(best.number);
}

/// Why a router that answers has something else than it should; nothing where it has not.
std::optional<Cause> cause_of(const RouterReport& s, const Version& v, const Version& should,
                              Micros may_be_old) {
  bool cut_off = s.age < 0 || s.age > may_be_old;
  if (v.wanted) {
    // It knows what it is to have, unless what it knows is old.
    if (*v.wanted == v.content && v.number >= should.number) return {};
    if (cut_off) return Cause::kCutOff;
    if (v.number < should.number) return Cause::kBehind;
    if (v.refused) return Cause::kRefused;
    return s.disk_failed ? Cause::kDisk : Cause::kOnItsWay;
  }
  if (v.number == should.number && v.content == should.content) return {};
  if (v.number == should.number) return v.number ? Cause::kClash : Cause::kDiffers;
  return cut_off ? Cause::kCutOff : s.disk_failed ? Cause::kDisk : Cause::kBehind;
}

}  // namespace

std::string_view name_of(Cause cause) {
  constexpr std::string_view kNames[] = {"silent",     "cut-off", "disk",    "refused",
                                         "on-its-way", "behind",  "differs", "clash"};
  return kNames[static_cast<int>(cause)];
}

Audit audit(const std::vector<RouterReport>& fleet, Micros may_be_old) {
  Audit out;
  out.routers = fleet.size();
  std::map<std::string, std::vector<const Version*>> by_kind;
  for (const RouterReport& s : fleet)
    for (const auto& [kind, v] : s.versions) by_kind[kind].push_back(&v);
  std::map<std::string, Version> should;
  for (const auto& [kind, all] : by_kind) {
    should[kind] = best(all);
    std::map<std::string, std::size_t> counts;
    for (const Version* v : all) ++counts[text_of(*v)];
    Spread spread{kind, {counts.begin(), counts.end()}};
    std::stable_sort(spread.versions.begin(), spread.versions.end(),
                     [](const auto& a, const auto& b) { return a.second > b.second; });
    out.distributions.push_back(std::move(spread));
  }
  std::set<std::string> late;
  for (const RouterReport& s : fleet) {
    if (!s.error.empty()) {
      out.stragglers.push_back({s.router, "", "", "", Cause::kSilent, s.error});
      late.insert(s.router);
      continue;
    }
    for (const auto& [kind, best] : should) {
      auto has = s.versions.find(kind);
      if (has == s.versions.end()) continue;  // it has none of that kind, by its operator file
      auto cause = cause_of(s, has->second, best, may_be_old);
      if (!cause) continue;
      const Version& v = has->second;
      out.stragglers.push_back({s.router, kind, text_of(v), should_of(v, best), *cause, v.why});
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
