#include "config.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>

#include "core/ops/settings_update.hpp"
#include "file_io.hpp"
#include "io.hpp"

namespace violetusher::net {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxConfigBytes = 64u << 20;  // bytes

std::string scalar_text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Flattens a JSON tree to path=value pairs: `A.B`, lists of scalars joined by commas, lists of
/// objects as `.count`, `.0`, `.1` and so on.
void flatten(const Json& value, const std::string& path, std::map<std::string, std::string>& to) {
  auto joined_path = [&](const std::string& name) {
    return path.empty() ? name : path + '.' + name;
  };
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) flatten(item, joined_path(name), to);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    to[joined_path("count")] = std::to_string(value.size());
    for (std::size_t k = 0; k < value.size(); ++k)
      flatten(value[k], joined_path(std::to_string(k)), to);
  } else if (value.is_array()) {
    std::string joined;
    for (const Json& item : value) joined += (joined.empty() ? "" : ",") + scalar_text(item);
    to[path] = joined;
  } else if (!value.is_null()) {
    to[path] = scalar_text(value);
  }
}

violetusher::Health parse_health(const std::string& name) {
  using violetusher::Health;
  for (Health health : {Health::Ready, Health::Draining, Health::Removed})
    if (name == health_name(health)) return health;
  throw ConfigError("hosts: unknown health '" + name + "'");
}

Host parse_host(const Json& entry) {
  if (!entry.is_object()) throw ConfigError("hosts: an entry is not an object");
  auto text = [&](const char* name) {
    auto it = entry.find(name);
    return it != entry.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  auto number = [&](const char* name, double absent) {
    auto it = entry.find(name);
    return it != entry.end() && it->is_number() ? it->get<double>() : absent;
  };
  Host h;
  h.server.id = text("host");
  h.dial = text("dial");
  h.server.zone = text("site");
  h.server.kind = text("class");
  h.server.cell = static_cast<std::int64_t>(std::clamp(number("block", -1), -1.0, 1e15));
  std::string health = text("health");
  h.server.health = parse_health(health);
  h.server.weight = number("share", 1);
  // Unix time, which is also the origin of the router's clock.
  h.listed_start = static_cast<Micros>(std::clamp(number("born_ms", 0), 0.0, 1e15)) * 1000;
  h.server.up_since = h.listed_start;
  if (h.server.id.empty()) throw ConfigError("hosts: an entry lacks 'host'");
  if (h.server.health != violetusher::Health::Removed && h.dial.empty())
    throw ConfigError("hosts: " + h.server.id + " lacks 'dial'");
  return h;
}

/// Of two entries with one id, the one in the later stage of removal wins; else the later entry.
void add_host(HostList& list, std::map<std::string, std::size_t>& index_by_id, Host&& host) {
  auto [at, fresh] = index_by_id.try_emplace(host.server.id, list.hosts.size());
  if (fresh) {
    list.hosts.push_back(std::move(host));
    return;
  }
  list.fault = "hosts: " + host.server.id + " is listed twice";
  Host& first = list.hosts[at->second];
  if (host.server.health >= first.server.health) first = std::move(host);
}

void add_entry(HostList& list, std::map<std::string, std::size_t>& index_by_id, const Json& entry) {
  try {
    Host host = parse_host(entry);
    if (host.server.health != violetusher::Health::Removed && !parse_address(host.dial))
      throw ConfigError("hosts: " + host.server.id + ": invalid address '" + host.dial + "'");
    add_host(list, index_by_id, std::move(host));
  } catch (const ConfigError& e) {
    list.fault = e.what();
    if (!entry.is_object()) return;
    auto id = entry.find("host");
    if (id != entry.end() && id->is_string()) list.unusable.push_back(id->get<std::string>());
  }
}

std::uint64_t parse_seed(const Json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  std::string text = scalar_text(value);
  char* end = nullptr;
  std::uint64_t seed = std::strtoull(text.c_str(), &end, 16);
  if (text.empty() || *end) throw ConfigError("seed: '" + text + "' is not a hexadecimal number");
  return seed;
}

const Json& required_member(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end()) throw ConfigError(std::string(name) + ": missing");
  return *it;
}

std::string text_of(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end()) return {};
  if (!it->is_string()) throw ConfigError(std::string(name) + ": not a string");
  return it->get<std::string>();
}

/// Adds the paths of the settings. A key of a class that may always be absent is left out, and
/// those that keyed classes need are listed apart as well, whether or not other classes have them.
void add_setting_paths(const std::map<std::string, std::string>& pairs, Config& config) {
  const auto& classes = config.settings.classes;
  std::set<std::string> left_out;
  for (std::size_t k = 0; k < classes.size(); ++k) {
    std::string number = std::to_string(k) + ".", at = "Classes." + number;
    bool is_keyed = classes[k].effect == violetusher::Effect::Keyed;
    left_out.insert(at + "AimStretch");
    if (is_keyed) config.paths.push_back("settings.KeyedClasses." + number + "Name");
    for (const char* name : {"Group", "KeyTtlUs"}) {
      if (is_keyed && pairs.count(at + name))
        config.paths.push_back("settings.KeyedClasses." + number + name);
    }
  }
  for (const auto& [path, value] : pairs)
    if (!left_out.count(path)) config.paths.push_back("settings." + path);
}

Config config_from_json(const Json& json) {
  if (!json.is_object()) throw ConfigError("NODE_CONFIG: the file is not a JSON object");
  Config c;
  c.name = text_of(json, "name");
  c.listen = text_of(json, "listen");
  c.discovery = text_of(json, "discovery");
  c.operator_listen = text_of(json, "operator");
  if (json.contains("seed")) c.seed = parse_seed(json["seed"]);
  double memory_mb = 192, sockets = 1024;
  if (auto limits = json.find("limits"); limits != json.end()) {
    if (!limits->is_object()) throw ConfigError("limits: not an object");
    auto number = [&](const char* name, double& value) {
      auto it = limits->find(name);
      if (it == limits->end()) return;
      if (!it->is_number() || !(it->get<double>() > 0))
        throw ConfigError("limits." + std::string(name) + ": not a number above 0");
      value = it->get<double>();
    };
    number("memory_mb", memory_mb);
    number("sockets", sockets);
  }
  if (sockets < 64) throw ConfigError("limits.sockets: below 64");
  c.memory_bytes = static_cast<std::size_t>(std::min(memory_mb, 1e6) * 1048576);
  c.sockets = static_cast<std::size_t>(std::min(sockets, 1e6));
  if (auto known = json.find("known"); known != json.end() && !known->is_null()) {
    try {
      c.initial_hosts = parse_host_list(*known);
    } catch (const ConfigError& e) {
      throw ConfigError(std::string("known: ") + e.what());
    }
  }
  std::map<std::string, std::string> pairs;
  const Json& settings = required_member(json, "settings");
  if (!settings.is_object()) throw ConfigError("settings: not an object");
  flatten(settings, "", pairs);
  try {
    violetusher::protocol::SettingPairs by_path(pairs.begin(), pairs.end());
    c.settings = violetusher::protocol::settings_of(by_path);
    c.connection_settings = violetusher::protocol::connection_settings_of(by_path);
    for (const auto& [name, item] : json.items()) c.paths.push_back(name);
    add_setting_paths(pairs, c);
  } catch (const std::runtime_error& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  return c;
}

}  // namespace

const char* health_name(violetusher::Health health) {
  switch (health) {
    case violetusher::Health::Ready:
      return "active";
    case violetusher::Health::Draining:
      return "leaving";
    case violetusher::Health::Removed:
      return "left";
  }
  return "left";
}

std::string Config::state_file(const std::string& kind) const {
  if (state_directory.empty()) return {};
  std::string file = name;
  std::replace(file.begin(), file.end(), '/', '_');
  return state_directory + "/violetusher-" + file + "." + kind;
}

HostList parse_host_list(const Json& json) {
  if (!json.is_object()) throw ConfigError("host list is not an object");
  auto seq = json.find("seq"), whole = json.find("whole"), hosts = json.find("hosts");
  if (seq == json.end() || !(seq->is_number() || seq->is_string()))
    throw ConfigError("host list lacks 'seq'");
  if (whole == json.end() || !whole->is_boolean()) throw ConfigError("host list lacks 'whole'");
  if (hosts == json.end() || !hosts->is_array()) throw ConfigError("host list lacks 'hosts'");
  HostList list;
  list.version = scalar_text(*seq);
  list.whole = whole->get<bool>();
  std::map<std::string, std::size_t> index_by_id;
  for (const Json& entry : *hosts) add_entry(list, index_by_id, entry);
  return list;
}

HostList parse_host_list(const std::string& json) {
  try {
    return parse_host_list(Json::parse(json));
  } catch (const Json::exception& e) {
    throw ConfigError(e.what());
  }
}

Config parse_config(const std::string& json) {
  try {
    return config_from_json(Json::parse(json));
  } catch (const Json::exception& e) {
    throw ConfigError(std::string("NODE_CONFIG: ") + e.what());
  }
}

namespace {

Config config_from_file(const std::string& replacement = {}) {
  const char* path = std::getenv("NODE_CONFIG");
  if (!path || !*path) throw ConfigError("NODE_CONFIG: not set");
  if (!replacement.empty()) path = replacement.c_str();
  std::string text;
  CallStatus status = read_whole_file(path, kMaxConfigBytes, text);
  if (!status.done())
    throw UnreadableError(std::string("NODE_CONFIG: cannot read ") + path + ": " + status.reason(),
                          status.is_transient());
  if (text.empty()) throw ConfigError(std::string("NODE_CONFIG: ") + path + " is empty");
  return parse_config(text);
}

const char* environment_variable(const char* name) {
  const char* set = std::getenv(name);
  return set && *set ? set : nullptr;
}

void validate(const Config& c) {
  if (c.listen.empty()) throw ConfigError("listen: missing");
  if (c.discovery.empty()) throw ConfigError("discovery: missing");
  if (std::string error = core::ops::settings_error(c.settings); !error.empty())
    throw ConfigError("settings: " + error);
}

}  // namespace

Config load_config() {
  Config c = config_from_file();
  if (auto set = environment_variable("NODE_NAME")) c.name = set;
  if (auto set = environment_variable("NODE_LISTEN")) c.listen = set;
  if (auto set = environment_variable("NODE_DISCOVERY")) c.discovery = set;
  if (auto set = environment_variable("NODE_OPERATOR")) c.operator_listen = set;
  if (auto set = environment_variable("TMPDIR")) c.state_directory = set;
  if (auto set = environment_variable("NODE_ACCEPT_FD")) {
    char* end = nullptr;
    long fd = std::strtol(set, &end, 10);
    if (*end || fd < 3 || fd > 1'000'000)
      throw ConfigError(std::string("NODE_ACCEPT_FD: '") + set + "' is not a file descriptor");
    c.accept_fd = static_cast<int>(fd);
  }
  validate(c);
  return c;
}

Config reload_config(const Config& current, const std::string& file) {
  Config c = config_from_file(file);
  auto fill = [](std::string& value, const char* name) {
    if (auto set = environment_variable(name); set && value.empty()) value = set;
  };
  fill(c.name, "NODE_NAME");
  fill(c.listen, "NODE_LISTEN");
  fill(c.discovery, "NODE_DISCOVERY");
  fill(c.operator_listen, "NODE_OPERATOR");
  if (std::string missing = core::ops::missing_path(current.paths, c.paths); !missing.empty())
    throw ConfigError(missing + ": missing");
  validate(c);
  return c;
}

}  // namespace violetusher::net
