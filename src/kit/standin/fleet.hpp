// A fleet of stand-in price caches with its product master and its discovery, on loopback and on
// one event loop, with the faults of a day. Everything that happens is written into a History.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery.hpp"
#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "machine.hpp"
#include "spec.hpp"

namespace violetusher::standin {

class PriceCache;
struct Exchange;

/// What the stand-ins of a fleet share. Owned by Fleet; price caches hold a reference.
struct Shared {
  kit::Loop& loop;
  const FleetSpec& spec;
  kit::Draws draws;
  kit::History& history;
  std::vector<int> router_halls;
  std::vector<Fault> faults;
  Micros origin_time = 0;  ///< when the day began; 0 before it
  Repeats repeats;
  Station origin;
  std::unordered_map<std::uint64_t, Exchange*> exchanges;  // by token, while their connection lives
  std::unordered_map<std::uint64_t, Exchange*> at_origin;
  std::uint64_t next_token = 1;
  std::function<void()> pump_origin;  ///< call when the product master has got something to do
  std::vector<std::unique_ptr<PriceCache>> caches;

  /// Time of day.
  Micros day() const { return origin_time ? loop.now() - origin_time : 0; }
  /// The hall of whoever connects by listener `router`; -1 for a till's own connection.
  int hall_of(int router) const;
  /// Crossing time one way from a router's hall to `hall` now, and whether nothing passes at all.
  Micros crossing(int router, int hall) const;
  bool cut(int router, int hall) const;
  PriceCache& owner_of(const Exchange& exchange) const;
  /// Whether `fault` goes on now.
  bool on(const Fault& fault) const;
};

class Fleet {
 public:
  /// `router_halls`: one entry for each router; what is at its end is a listener for tills that ask
  /// a price cache directly. Throws std::runtime_error when a socket can't be had.
  Fleet(kit::Loop& loop, const FleetSpec& spec, std::vector<Fault> faults, std::uint64_t seed,
        std::vector<int> router_halls, kit::History& history);
  ~Fleet();

  /// Where router `router` finds price cache `server`; the number of routers for direct tills.
  std::string address(int server, int router) const;
  std::string discovery_address(int router) const;
  /// The list as discovery has it now, in its JSON, for a router's `known`.
  std::string list_json(int router) const;
  /// The day begins at `origin`: faults and samples count from there.
  void start(Micros origin);
  /// Open connections of all price caches.
  std::size_t connections() const;

 private:
  DiscoveryStandin::Entry entry(const PriceCache& cache, Health health) const;
  void tell(DiscoveryStandin::Entry entry, Micros after);
  void pump_origin();
  void sample();
  void begin(const Fault& fault);
  void end(const Fault& fault);

  Shared shared_;
  std::unique_ptr<DiscoveryStandin> discovery_;
  Micros origin_due_ = 0;
};

}  // namespace violetusher::standin
