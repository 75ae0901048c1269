// The configuration of the router process, from the environment and the configuration file, and
// host lists as discovery sends them.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "../protocol/settings.hpp"
#include "io.hpp"

namespace violetusher::net {

/// An invalid configuration; what() names the setting.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A file could not be read or created. That says nothing about its content, so the caller should
/// retry.
struct UnreadableError : ConfigError {
  UnreadableError(const std::string& what, bool is_transient)
      : ConfigError(what), is_transient(is_transient) {}
  bool is_transient;  ///< a retry may succeed without any change by an operator
};

/// One cache server as listed by discovery.
struct Host {
  violetusher::Server server;
  std::string dial;
  /// Start time as discovery listed it: Unix time by its clock; 0 for long ago.
  Micros listed_start = 0;
};

/// A host list, or a change to one, as sent by discovery.
struct HostList {
  std::string version;
  bool whole = false;
  std::vector<Host> hosts;
  /// Invalid entries: `unusable` holds the ids that can be read, `fault` describes the last one and
  /// is empty if all are valid. An id that is listed twice is a fault too; `hosts` has it once, as
  /// draining or removed if either entry says so.
  std::vector<std::string> unusable;
  std::string fault;
  Micros date = 0;  ///< Unix time of discovery's answer; 0 if it gave none
};

/// The name of a server's state in discovery's lists.
const char* health_name(violetusher::Health health);

/// Parses the JSON of discovery. Throws ConfigError if it is not a host list.
HostList parse_host_list(const std::string& json);
HostList parse_host_list(const nlohmann::json& json);

/// The configuration of one router process.
struct Config {
  std::string name, listen, discovery;
  std::string operator_listen;  ///< address for operators; empty: none
  int accept_fd = -1;           ///< listening socket for clients inherited from the platform, or -1
  std::string state_directory;  ///< outlives the process; may be empty
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;
  HostList initial_hosts;
  violetusher::Settings settings;
  std::vector<std::string> paths;  ///< of all settings in the file; see core::ops::missing_path
  violetusher::protocol::ConnectionSettings connection_settings;

  /// The path of one of the router's own files in the state directory. It depends on the router's
  /// name alone, which stays the same after a restart. Empty without a state directory.
  std::string state_file(const std::string& kind) const;
};

/// Reads the file named by NODE_CONFIG; other NODE_ variables that are set override it. Throws
/// ConfigError or UnreadableError.
Config load_config();
/// Rereads that file. The environment dates from the start of the process, so the file takes
/// precedence now. Throws UnreadableError, and ConfigError also if the file lacks a setting that
/// `current` has or its settings are invalid. `file`: read instead of the one in NODE_CONFIG.
Config reload_config(const Config& current, const std::string& file = {});
/// Parses the text of a configuration file, without the environment.
Config parse_config(const std::string& json);

}  // namespace violetusher::net
