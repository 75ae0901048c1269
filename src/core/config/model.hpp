// The compiled form of an operator file, independent of how it is written: files with the same
// meaning have equal models.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "source.hpp"
#include "syntax.hpp"

namespace violetusher::core::config {

/// A limit on requests.
struct Limit {
  double rate = 0;               ///< per second; 0 = none
  std::int64_t burst = 0;        ///< of the rate; 0 without a rate
  std::int64_t in_flight = 0;    ///< 0 = none
  std::int64_t retry_after = 0;  ///< microseconds, sent with a refusal; 0 = none
  bool operator==(const Limit&) const = default;
};

/// A budget for attempts beyond the first.
struct Budget {
  double retries = 0, hedges = 0;  ///< fractions of the first attempts
  double floor = 0;                ///< per second, always allowed
  bool operator==(const Budget&) const = default;
};

/// A request class.
struct Class {
  std::int64_t attempts = 1, worth = 1;
  bool keyed = false;
  std::string limit;
  bool operator==(const Class&) const = default;
};

/// A tenant.
struct Tenant {
  std::string limit;
  bool operator==(const Tenant&) const = default;
};

/// The servers of a pool. A reload with an equal selection keeps the pool and the state of its
/// decision module.
struct Selection {
  std::vector<std::string> zones, kinds, hosts;  ///< sorted; empty = any
  std::vector<std::int64_t> blocks;
  std::vector<std::string> servers;  ///< a static list instead of a selection
  bool operator==(const Selection&) const = default;
};

/// A pool of servers.
struct Pool : Selection {
  std::map<std::string, double> shares;  ///< by tenant; empty = none are reserved
  std::string limit, budget;
  bool operator==(const Pool&) const = default;
};

/// A route from matching requests to a pool.
struct Route {
  std::string listener, tenant, type, prefix;  ///< empty = any
  std::string pool;
  std::vector<std::string> fallbacks;
  double failover_at = 0.5, failback_at = 0.2, spill = 1;
  std::string limit, budget;
  bool operator==(const Route&) const = default;
};

/// A further address for clients.
struct Listener {
  std::string address;
  bool operator==(const Listener&) const = default;
};

/// The flight recorder.
struct Recorder {
  std::string file;
  std::int64_t size = 0;  ///< bytes
  bool operator==(const Recorder&) const = default;
};

/// Format and level of the log.
struct Log {
  std::string format = "text";  ///< text, logfmt or json
  std::string level = "info";   ///< info, warn or error
  bool operator==(const Log&) const = default;
};

/// This router's part in the fleet's replicated ledger; see docs/operators/ledger.md.
struct Ledger {
  std::string fleet;   ///< the section's name
  std::string folder;  ///< outlives the process; used by this router only
  std::string listen;  ///< empty: the address in this router's peer section
  bool may_vote = false;
  std::int64_t voters = 3, followers = 64;
  std::int64_t replace_after = 60'000'000, trust_after = 15'000'000;  ///< microseconds
  bool operator==(const Ledger&) const = default;
};

/// A file of this router that the fleet's rollouts update; see docs/operators/rollouts.md.
struct Rollout {
  std::string file;
  std::int64_t spread = 2'000'000;  ///< microseconds over which routers apply a version
  bool operator==(const Rollout&) const = default;
};

/// A router of the fleet. A router may list all of them, including itself.
struct Peer {
  std::string address, zone;
  bool operator==(const Peer&) const = default;
};

/// The audit trail on disk: what this router did, and on which data; see docs/operators/trail.md.
struct Audit {
  std::string folder;                   ///< outlives the process; used by this router only
  std::int64_t size = 64 << 20;         ///< bytes of all files
  std::int64_t keep = 604'800'000'000;  ///< microseconds
  std::int64_t every = 1'000'000;       ///< microseconds that one block covers at most
  bool operator==(const Audit&) const = default;
};

/// All sections of an operator file, by name.
struct Model {
  std::int64_t version = 1;
  std::map<std::string, Listener> listeners;
  std::map<std::string, Class> classes;
  std::map<std::string, Tenant> tenants;
  std::map<std::string, Limit> limits;
  std::map<std::string, Budget> budgets;
  std::map<std::string, Pool> pools;
  std::map<std::string, Route> routes;  ///< empty: requests are routed as without an operator file
  std::map<std::string, Recorder> recorders;  ///< one at most
  std::map<std::string, Log> logs;            ///< one at most
  std::map<std::string, Ledger> ledgers;      ///< one at most
  std::map<std::string, Rollout> rollouts;    ///< by their name in the ledger, without "file/"
  std::map<std::string, Peer> peers;
  std::map<std::string, Audit> audits;  ///< one at most
  bool operator==(const Model&) const = default;
};

/// Limits on all files of one configuration together.
inline constexpr std::size_t kMaxTotalBytes = 16u << 20;
inline constexpr std::size_t kMaxFiles = 256;
inline constexpr std::size_t kMaxRollouts = 4;

/// A loaded include: the text of a file, and its name in messages (a normalized path), or the
/// error.
struct Loaded {
  std::string name, text, error;
};
/// Loads the file that `from` includes as `name`.
using Loader = std::function<Loaded(const std::string& from, const std::string& name)>;

/// The result of compile().
struct Compiled {
  Sources sources;
  Diagnostics diagnostics;
  Model model;              ///< valid only without diagnostics
  std::vector<Tree> trees;  ///< by file
};

/// Compiles `text` as the file `name`, with its includes, and checks all of it.
Compiled compile(const std::string& name, const std::string& text, const Loader& load);

/// The canonical form of a text that was parsed without errors, including its comments.
std::string format(const Tree& tree);

}  // namespace violetusher::core::config
