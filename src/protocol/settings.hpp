// Parses the settings from path=value pairs. Only this module knows their names. The simulator's
// adapter gets them from an `enlist` line, the router from its configuration.
#pragma once

#include <map>

#include "text.hpp"
#include "violetusher/balancer.hpp"

namespace violetusher::protocol {

using SettingPairs = std::map<std::string, std::string_view, std::less<>>;

/// The settings of the decision module. Throws WireError that names the invalid setting.
Settings settings_of(const SettingPairs& by_path);

/// Settings that only a router with real connections needs.
struct ConnectionSettings {
  int streams = 1;                  ///< concurrent attempts per connection
  Micros keepalive = 15'000'000;    ///< after this idle time a server closes a connection
  Micros dial_timeout = 75'000;     ///< a connect that takes longer has failed
  std::int64_t max_open = 100'000;  ///< open requests
};
ConnectionSettings connection_settings_of(const SettingPairs& by_path);

/// The load report field with this name.
std::optional<ReportField> report_field_of(std::string_view name);

}  // namespace violetusher::protocol
