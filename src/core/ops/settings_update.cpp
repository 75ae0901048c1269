#include "settings_update.hpp"

#include <algorithm>
#include <map>

namespace violetusher::core::ops {
namespace {

bool is_number(std::string_view word) {
  return !word.empty() &&
         std::all_of(word.begin(), word.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// A path split at its last list index: the entry ("Classes.2") and the rest ("Name").
struct PathParts {
  std::string entry, list, name;  // "Classes.2", "Classes", "Name"; all but name empty without one
};

PathParts split_path(const std::string& path) {
  std::size_t end = path.size();
  while (true) {
    std::size_t dot = end == 0 ? path.npos : path.rfind('.', end - 1);
    if (dot == path.npos) return {{}, {}, path};
    std::string_view word(path.data() + dot + 1, end - dot - 1);
    if (is_number(word) && end < path.size())
      return {path.substr(0, end), path.substr(0, dot), path.substr(end + 1)};
    end = dot;
  }
}

/// An entry of a list ("Classes.2" of "Classes"); both empty for the top level.
struct Entry {
  std::string entry, list;
  bool operator<(const Entry& other) const { return entry < other.entry; }
};

using EntryNames = std::map<Entry, std::set<std::string>>;
using NamesByList = std::map<std::string, std::set<std::string>>;

EntryNames entries_of(const std::vector<std::string>& paths) {
  EntryNames entries;
  for (const std::string& path : paths) {
    PathParts at = split_path(path);
    entries[{at.entry, at.list}].insert(at.name);
  }
  return entries;
}

/// By list, the names that each of its entries has.
NamesByList names_of_all_entries(const EntryNames& entries) {
  NamesByList common;
  for (const auto& [at, names] : entries) {
    auto [it, is_first] = common.try_emplace(at.list, names);
    if (is_first) continue;
    std::erase_if(it->second, [&](const std::string& name) { return !names.count(name); });
  }
  return common;
}

int strictness(Effect effect) {
  return effect == Effect::Once ? 2 : effect == Effect::Keyed ? 1 : 0;
}

int strictness(Group group) { return group == Group::Cell ? 2 : group == Group::Zone ? 1 : 0; }

}  // namespace

std::string missing_path(const std::vector<std::string>& shape,
                         const std::vector<std::string>& paths) {
  NamesByList required = names_of_all_entries(entries_of(shape));
  EntryNames entries = entries_of(paths);
  entries[{}];
  for (const auto& [at, names] : entries) {
    auto it = required.find(at.list);
    if (it == required.end()) continue;
    for (const std::string& name : it->second)
      if (!names.count(name)) return at.entry.empty() ? name : at.entry + "." + name;
  }
  return {};
}

std::string settings_error(const Settings& settings) {
  if (settings.classes.empty()) return "at least one class is required";
  std::set<std::string> names;
  for (const ClassSettings& c : settings.classes) {
    if (c.name.empty()) return "a class has no name";
    if (!names.insert(c.name).second) return "class '" + c.name + "' is defined twice";
    if (c.deadline <= 0) return "class '" + c.name + "': deadline must be above 0";
  }
  if (settings.max_attempts <= 0) return "the number of attempts must be above 0";
  names.clear();
  for (const TenantSettings& t : settings.tenants) {
    if (t.name.empty()) return "a tenant has no name";
    if (!names.insert(t.name).second) return "tenant '" + t.name + "' is defined twice";
    if (!(t.portion >= 0 && t.portion <= 1))
      return "tenant '" + t.name + "': portion must be between 0 and 1";
    if (!(t.quota_per_s >= 0)) return "tenant '" + t.name + "': quota must not be below 0";
  }
  return {};
}

Settings strictest_of(const Settings& from, const Settings& to) {
  Settings both = to;
  both.max_attempts = std::min(from.max_attempts, to.max_attempts);
  both.may_hedge = from.may_hedge && to.may_hedge;
  for (const ClassSettings& old : from.classes) {
    auto it = std::find_if(both.classes.begin(), both.classes.end(),
                           [&](const ClassSettings& c) { return c.name == old.name; });
    if (it == both.classes.end()) {
      both.classes.push_back(old);
      continue;
    }
    it->deadline = std::max(it->deadline, old.deadline);
    if (strictness(old.effect) > strictness(it->effect)) {
      it->effect = old.effect;
      it->group = old.group;
      it->key_ttl = old.key_ttl;
    } else if (old.effect == it->effect && it->effect == Effect::Keyed) {
      if (strictness(old.group) > strictness(it->group)) it->group = old.group;
      it->key_ttl = std::min(it->key_ttl, old.key_ttl);
    }
  }
  for (const TenantSettings& old : from.tenants)
    if (std::none_of(both.tenants.begin(), both.tenants.end(),
                     [&](const TenantSettings& t) { return t.name == old.name; }))
      both.tenants.push_back(old);
  return both;
}

}  // namespace violetusher::core::ops
