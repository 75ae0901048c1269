// The settings, read from path=value pairs: the one place that knows their names. The simulator's
// adapter has them from an `enlist` line, the router from its configuration.
#pragma once

#include <map>

#include "text.hpp"
#include "violetusher/balancer.hpp"

namespace violetusher::protocol {

using SettingPairs = std::map<std::string, std::string_view, std::less<>>;

/// What the module needs. Throws WireError naming the setting that cannot be used.
Settings settings_of(const SettingPairs& by_path);

/// What only a router on sockets needs.
struct ConnectionSettings {
  int streams = 1;                  ///< attempts that one connection carries at once
  Micros keepalive = 15'000'000;    ///< a server closes a connection idle for this long
  Micros dial_timeout = 75'000;     ///< a connection not up by then never comes up
  std::int64_t max_open = 100'000;  ///< open requests
};
ConnectionSettings connection_settings_of(const SettingPairs& by_path);

/// The meaning of a load report's value by its name.
std::optional<ReportField> report_field_of(std::string_view name);

}  // namespace violetusher::protocol
