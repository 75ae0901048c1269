#include "settings_update.hpp"

#include <algorithm>
#include <map>

namespace violetusher::core::ops {
namespace {

bool number(std::string_view word) {
  return !word.empty() &&
         std::all_of(word.begin(), word.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// The path up to its last place in a list ("Classes.2"), and what comes behind ("Name").
struct Split {
  std::string entry, list, name;  // "Classes.2", "Classes", "Name"; all but name empty without one
};

Split split(const std::string& path) {
  std::size_t end = path.size();
  while (true) {
    std::size_t dot = end == 0 ? path.npos : path.rfind('.', end - 1);
    if (dot == path.npos) return {{}, {}, path};
    std::string_view word(path.data() + dot + 1, end - dot - 1);
    if (number(word) && end < path.size())
      return {path.substr(0, end), path.substr(0, dot), path.substr(end + 1)};
    end = dot;
  }
}

int strictness(Effect effect) {
  return effect == Effect::Once ? 2 : effect == Effect::Keyed ? 1 : 0;
}

int strictness(Group group) { return group == Group::Cell ? 2 : group == Group::Zone ? 1 : 0; }

}  // namespace

std::string missing_path(const std::vector<std::string>& shape,
                         const std::vector<std::string>& paths) {
  std::map<std::string, std::set<std::string>> wanted;  // by list; without one, of the whole
  for (const std::string& path : shape) {
    Split at = split(path);
    wanted[at.list].insert(at.name);
  }
  std::map<std::string, std::set<std::string>> entries;  // names by entry
  std::map<std::string, std::string> lists;              // of each entry
  for (const std::string& path : paths) {
    Split at = split(path);
    entries[at.entry].insert(at.name);
    lists[at.entry] = at.list;
  }
  entries[std::string()];
  for (const auto& [entry, names] : entries) {
    auto it = wanted.find(lists[entry]);
    if (it == wanted.end()) continue;
    for (const std::string& name : it->second)
      if (!names.count(name)) return entry.empty() ? name : entry + "." + name;
  }
  return {};
}

std::string settings_error(const Settings& settings) {
  if (settings.classes.empty()) return "no classes";
  std::set<std::string> names;
  for (const ClassSettings& c : settings.classes) {
    if (c.name.empty()) return "a class without a name";
    if (!names.insert(c.name).second) return "class '" + c.name + "' comes twice";
    if (c.deadline <= 0) return "class '" + c.name + "': deadline not over 0";
  }
  if (settings.max_attempts <= 0) return "attempts not over 0";
  names.clear();
  for (const TenantSettings& t : settings.tenants) {
    if (t.name.empty()) return "a tenant without a name";
    if (!names.insert(t.name).second) return "tenant '" + t.name + "' comes twice";
    if (!(t.portion >= 0 && t.portion <= 1)) return "tenant '" + t.name + "': portion not 0 to 1";
    if (!(t.quota_per_s >= 0)) return "tenant '" + t.name + "': quota under 0";
  }
  return {};
}

Settings strictest_of(const Settings& from, const Settings& to) {
  Settings both = to;
  both.max_attempts = std::min(from.max_attempts, to.max_attempts);
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
