// Applies an operator file to requests: route, pool, admission, and whether a pool's budget has a
// retry left. No I/O and no clock; times come in.
//
// One TrafficPolicy is one version of the file. The next version takes over the counters of
// everything unchanged; requests in flight keep the version that they started with.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <span>
#include <string>

#include "core/config/diff.hpp"
#include "core/config/model.hpp"
#include "core/limit/limits.hpp"
#include "core/limit/load_shedding.hpp"

namespace violetusher::core {

/// Routes and admits requests by one version of an operator file.
class TrafficPolicy {
 public:
  /// `previous` may be null. The model must have passed its checks.
  TrafficPolicy(config::Model model, const TrafficPolicy* previous);

  /// The retry and hedge budgets of a route or pool.
  struct Budgets {
    config::Budget settings;
    std::shared_ptr<RetryBudget> retries, hedges;
    std::shared_ptr<PoolFailureRate> failure_rate;
  };
  /// The resources that an admitted request holds until end(). Everything pointed to lives as long
  /// as the TrafficPolicy.
  struct Ticket {
    const std::string* route = nullptr;
    const std::string* pool = nullptr;
    bool on_fallback = false;  ///< sent to a fallback pool
    bool admitted = false;
    std::string tenant;  ///< set if the pool has shares by tenant
    std::array<Limiter*, 4> limiters = {};
    std::size_t limits = 0;  ///< number of limiters in use
    FairShares* shares = nullptr;
    Budgets* budgets = nullptr;
    Fallback* fallback = nullptr;
    std::span<Limiter* const> active_limiters() const { return {limiters.data(), limits}; }
  };
  /// The result of admit().
  struct Decision {
    bool admitted = false;
    Micros retry_after = 0;  ///< for a refusal; 0 = unknown
    Ticket ticket;
  };
  /// State of a pool by its name: whether it has a live server, and whether it may take a keyed
  /// request that another pool's servers may have run (they share their deduplication of keys).
  struct PoolState {
    virtual ~PoolState() = default;
    virtual bool has_live(const std::string& pool) const = 0;
    virtual bool shares_deduplication(const std::string& pool) const = 0;
  };
  /// Routes a request and applies the limits; `keyed`: it has an idempotency key.
  Decision admit(Micros now, const RouteRequest& request, bool keyed, const PoolState& pools);
  /// Ends a request, `refused` by its pool or not. Call once for each admitted one.
  void end(Micros now, Ticket& ticket, bool refused);
  /// Records that the first attempt of a request was sent.
  void on_first_attempt(Micros now, const Ticket& ticket);
  /// Records the end of an attempt; `failed` means in a way that indicates a server fault or load.
  /// Tightens the budgets of a failing pool.
  void on_attempt_end(Micros now, const Ticket& ticket, bool failed);
  /// Returns whether the budgets of the route and its pool allow another retry or hedge, and counts
  /// it. The decision module has decided on it already: this can only deny it.
  bool may_retry(Micros now, const Ticket& ticket, bool hedge);

  const config::Model& model() const { return model_; }

 private:
  enum Owner { kTenant, kClass, kRoute, kPool, kOwnerKinds };
  template <typename T>
  using ByName = std::map<std::string, T, std::less<>>;
  void resolve_limits(const RouteRequest& request, Ticket& ticket);
  Limiter::Decision admit_with_shedding(Micros now, const RouteRequest& request,
                                        const Ticket& ticket);
  template <typename T>
  const std::string* name_in(const std::map<std::string, T>& map, const std::string& name) const;

  config::Model model_;
  config::Routing routing_;
  std::array<ByName<std::shared_ptr<Limiter>>, kOwnerKinds> limiters_;
  ByName<std::pair<config::Limit, std::shared_ptr<FairShares>>> shares_;  // by pool
  ByName<std::shared_ptr<LoadShedder>> load_shedders_;                    // by pool with a limit
  std::array<ByName<Budgets>, kOwnerKinds> budgets_;                      // of routes and pools
  ByName<std::shared_ptr<Fallback>> fallbacks_;                           // by route
};

/// Returns whether a server of the discovery list belongs to a pool's selection.
bool selected(const config::Selection& pool, const Server& server);
/// Glob match: `*` stands for any run of bytes.
bool matches(std::string_view pattern, std::string_view text);

}  // namespace violetusher::core
