// An operator file compiled: what it means, free of how it is written. Two files that mean the same
// have equal models.
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

struct Limit {
  double rate = 0;               ///< a second; 0 = none
  std::int64_t burst = 0;        ///< of the rate; 0 where there is no rate
  std::int64_t in_flight = 0;    ///< 0 = none
  std::int64_t retry_after = 0;  ///< microseconds, told with a refusal; 0 = none
  bool operator==(const Limit&) const = default;
};

struct Budget {
  double retries = 0, hedges = 0;  ///< parts of the first tries
  double floor = 0;                ///< a second, always allowed
  bool operator==(const Budget&) const = default;
};

struct Class {
  std::int64_t attempts = 1, worth = 1;
  bool keyed = false;
  std::string limit;
  bool operator==(const Class&) const = default;
};

struct Tenant {
  std::string limit;
  bool operator==(const Tenant&) const = default;
};

/// Which servers a pool has. While it stays equal, so does the pool, with what its module has
/// learnt.
struct Selection {
  std::vector<std::string> zones, kinds, hosts;  ///< sorted; empty = any
  std::vector<std::int64_t> blocks;
  std::vector<std::string> servers;  ///< a static list instead of a selection
  bool operator==(const Selection&) const = default;
};

struct Pool : Selection {
  std::map<std::string, double> shares;  ///< by tenant; empty = nobody's is kept
  std::string limit, budget;
  bool operator==(const Pool&) const = default;
};

struct Route {
  std::string listener, tenant, type, prefix;  ///< empty = any
  std::string pool;
  std::vector<std::string> fallbacks;
  double failover_at = 0.5, failback_at = 0.2, spill = 1;
  std::string limit, budget;
  bool operator==(const Route&) const = default;
};

struct Listener {
  std::string address;
  bool operator==(const Listener&) const = default;
};

/// The flight recorder of the process.
struct Recorder {
  std::string file;
  std::int64_t size = 0;  ///< bytes
  bool operator==(const Recorder&) const = default;
};

/// How the process writes its log.
struct Log {
  std::string format = "text";  ///< text, logfmt or json
  std::string level = "info";   ///< info, warn or error
  bool operator==(const Log&) const = default;
};

/// This router's part in what the fleet holds together; see docs/operators/ledger.md.
struct Ledger {
  std::string fleet;   ///< the section's name
  std::string folder;  ///< outlives the process, and is this router's own
  std::string listen;  ///< empty: the address that the others have of it
  bool may_vote = false;
  std::int64_t voters = 3, followers = 64;
  std::int64_t replace_after = 60'000'000, trust_after = 15'000'000;  ///< microseconds
  bool operator==(const Ledger&) const = default;
};

/// A file of this router's whose text the fleet brings up to date; see docs/operators/rollouts.md.
struct Rollout {
  std::string file;
  std::int64_t spread = 2'000'000;  ///< microseconds over which the routers take a text over
  bool operator==(const Rollout&) const = default;
};

/// A router of the fleet; each may name all, itself among them.
struct Peer {
  std::string address, zone;
  bool operator==(const Peer&) const = default;
};

/// What this router did, and what it acted on, kept on disk; see docs/operators/trail.md.
struct Audit {
  std::string folder;                   ///< outlives the process, and is this router's own
  std::int64_t size = 64 << 20;         ///< bytes of all its files
  std::int64_t keep = 604'800'000'000;  ///< microseconds
  std::int64_t every = 1'000'000;       ///< microseconds that one block tells of at most
  bool operator==(const Audit&) const = default;
};

struct Model {
  std::int64_t version = 1;
  std::map<std::string, Listener> listeners;
  std::map<std::string, Class> classes;
  std::map<std::string, Tenant> tenants;
  std::map<std::string, Limit> limits;
  std::map<std::string, Budget> budgets;
  std::map<std::string, Pool> pools;
  std::map<std::string, Route> routes;        ///< none: requests go as without an operator file
  std::map<std::string, Recorder> recorders;  ///< one at most
  std::map<std::string, Log> logs;            ///< one at most
  std::map<std::string, Ledger> ledgers;      ///< one at most
  std::map<std::string, Rollout> rollouts;    ///< by the ledger's name of it, without "file/"
  std::map<std::string, Peer> peers;
  std::map<std::string, Audit> audits;  ///< one at most
  bool operator==(const Model&) const = default;
};

/// Bounds on all files of one configuration together.
inline constexpr std::size_t kMaxTotalBytes = 16u << 20;
inline constexpr std::size_t kMaxFiles = 256;
inline constexpr std::size_t kMaxRollouts = 4;

/// Gives the text of a file that is included as `name` from `from`, and the name by which it is
/// known (a path made plain), or a reason why it can't be had.
struct Loaded {
  std::string name, text, error;
};
using Loader = std::function<Loaded(const std::string& from, const std::string& name)>;

struct Compiled {
  Sources sources;
  Diagnostics diagnostics;
  Model model;              ///< to be used only where there are no diagnostics
  std::vector<Tree> trees;  ///< by file
};

/// Reads `text` as file `name` and what it includes, and checks all of it.
Compiled compile(const std::string& name, const std::string& text, const Loader& load);

/// The text in its canonical form, comments kept. Only of a text that can be parsed.
std::string format(const Tree& tree);

}  // namespace violetusher::core::config
