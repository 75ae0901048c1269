// What the router is told at its start: environment and configuration file.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "../protocol/settings.hpp"

namespace violetusher::net {

/// A configuration that can't be used; what() names the setting.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A file could not be read, or made. That says nothing of what stands in it: it is to be tried
/// again.
struct UnreadableError : ConfigError {
  UnreadableError(const std::string& what, bool is_transient)
      : ConfigError(what), is_transient(is_transient) {}
  bool is_transient;  ///< trying again may help without anybody's doing
};

/// One cache server as discovery lists it.
struct Host {
  violetusher::Server server;
  std::string dial;
};

struct HostList {
  std::string version;
  bool whole = false;
  std::vector<Host> hosts;
  /// Of entries that can't be used: the ids that can be read, and what is wrong with the last one,
  /// empty where all is well. An id that is listed twice counts, and stands in `hosts` once, as it
  /// leaves if either says so.
  std::vector<std::string> unusable;
  std::string fault;
  Micros date = 0;  ///< discovery's Unix time as it answered; 0 where it told none
};

/// Reads discovery's JSON. Throws ConfigError on anything that is not a list.
HostList parse_host_list(const std::string& json);

struct Config {
  std::string name, listen, discovery;
  std::string operator_listen;  ///< where operators call; empty where the platform names none
  int accept_fd = -1;           ///< the clients' listening socket, where the platform holds it
  std::string state_directory;  ///< a folder that outlives the process; may be empty
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;
  HostList initial_hosts;
  violetusher::Settings settings;
  std::vector<std::string> paths;  ///< of all that the file had; see core::ops::missing_path
  violetusher::protocol::ConnectionSettings connection_settings;
};

/// Reads the file that NODE_CONFIG names; the other NODE_ variables, where set, come before it.
/// Throws ConfigError, or UnreadableError.
Config load_config();
/// Reads that file again. The environment is as old as the process, so now the file comes first.
/// Throws UnreadableError, and ConfigError also where the file lacks what `now`'s had, or its
/// settings can't be used. `file`: to be read instead of the one that is named.
Config reload_config(const Config& current, const std::string& file = {});
/// The same from the file's text alone.
Config parse_config(const std::string& json);

}  // namespace violetusher::net
