// A fleet of stand-in price caches with their product master and discovery, on loopback and one
// event loop, with the injected faults of a day. Every event is recorded in a History.
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

/// State shared by the stand-ins of a fleet. Owned by Fleet; price caches hold a reference.
struct FleetState {
  kit::Loop& loop;
  const FleetSpec& spec;
  kit::Draws draws;
  kit::History& history;
  std::vector<int> router_zones;
  std::vector<Fault> faults;
  Micros origin_time = 0;  ///< start of the day on the loop's clock; 0 before it
  IdempotencyCache repeats;
  Station origin;
  std::unordered_map<std::uint64_t, Exchange*>
      exchanges;  // by token, while their connection is open
  std::unordered_map<std::uint64_t, Exchange*> at_origin;
  std::uint64_t next_token = 1;
  std::function<void()> pump_origin;  ///< call after offering work to the product master
  std::vector<std::unique_ptr<PriceCache>> caches;

  /// Time since the start of the day.
  Micros day() const { return origin_time ? loop.now() - origin_time : 0; }
  /// The zone of the router that connects to listener `router`; -1 for a till that connects
  /// directly.
  int zone_of(int router) const;
  /// Current one-way network delay from a router's zone to zone `hall`, and whether a partition
  /// separates the two.
  Micros network_delay(int router, int hall) const;
  bool partitioned(int router, int hall) const;
  PriceCache& owner_of(const Exchange& exchange) const;
  /// Whether `fault` is active now.
  bool active(const Fault& fault) const;
};

class Fleet {
 public:
  /// `router_zones`: the zone of each router. Each price cache has one listener more than there are
  /// routers, for tills that ask it directly. Throws std::runtime_error when a socket call fails.
  Fleet(kit::Loop& loop, const FleetSpec& spec, std::vector<Fault> faults, std::uint64_t seed,
        std::vector<int> router_zones, kit::History& history);
  ~Fleet();

  /// Address of price cache `server` for router `router`; for tills that ask directly, `router` is
  /// the number of routers.
  std::string address(int server, int router) const;
  /// A process of the router has started, with the list of the start of the day.
  void on_router_start(int router, Micros started) { discovery_->on_router_start(router, started); }
  std::string discovery_address(int router) const;
  /// The current host list in discovery's JSON, for a router's `known` setting.
  std::string list_json(int router) const;
  /// Starts the day at `origin`: schedules the faults and the load samples from there.
  void start(Micros origin);
  /// Open connections of all price caches.
  std::size_t connections() const;

 private:
  DiscoveryStandin::Entry entry(const PriceCache& cache, Health health) const;
  void publish_later(DiscoveryStandin::Entry entry, Micros after);
  void pump_origin();
  void sample();
  void begin(const Fault& fault);
  void end(const Fault& fault);

  FleetState shared_;
  std::unique_ptr<DiscoveryStandin> discovery_;
  Micros next_origin_pump_ = 0;
};

}  // namespace violetusher::standin
