// What an operator file makes of each request: its route, its pool, whether it is admitted, and
// whether a pool's budget has a retry left. No I/O and no clock; times come in.
//
// One Traffic is one version of the file. The next one takes over the counters of what has not
// changed; requests keep the version that they began with.
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

class TrafficPolicy {
 public:
  /// `before` may be null. The model must have passed its checks.
  TrafficPolicy(config::Model model, const TrafficPolicy* before);

  struct Budgets {
    config::Budget set;
    std::shared_ptr<RetryBudget> retries, hedges;
    std::shared_ptr<PoolTrouble> trouble;
  };
  /// What an admitted request holds until end(). All that it points to lives as long as the
  /// Traffic.
  struct Ticket {
    const std::string* route = nullptr;
    const std::string* pool = nullptr;
    bool crossed = false;  ///< it went to a fallback
    bool holds = false;
    std::string tenant;  ///< where shares are kept by it, else empty
    std::array<Limiter*, 4> limiters = {};
    std::size_t limits = 0;  ///< of them in use
    FairShares* shares = nullptr;
    Budgets* budgets = nullptr;
    Fallback* fallback = nullptr;
    std::span<Limiter* const> limiters_held() const { return {limiters.data(), limits}; }
  };
  struct Decision {
    bool admitted = false;
    Micros retry_after = 0;  ///< where it is refused; 0 = not known
    Ticket ticket;
  };
  /// Asked of a pool by its name: whether it has a live server, and whether a keyed request may go
  /// there that another pool's servers may have run (they drop one another's repeats).
  struct PoolState {
    virtual ~PoolState() = default;
    virtual bool has_live(const std::string& pool) const = 0;
    virtual bool shares_deduplication(const std::string& pool) const = 0;
  };
  Decision admit(Micros now, const RouteRequest& request, bool keyed, const PoolState& pools);
  /// The request has ended, `refused` by its pool or not. Call once for each admitted one.
  void end(Micros now, Ticket& ticket, bool refused);
  /// A first try of a pool was sent.
  void on_first_attempt(Micros now, const Ticket& ticket);
  /// An attempt has ended, `failed` in a way that tells of its server or of load. Budgets of a pool
  /// that fails are tightened.
  void on_attempt_end(Micros now, const Ticket& ticket, bool failed);
  /// Whether the budgets of the route and its pool have another retry, or hedge, left. The decision
  /// module has decided on it already: this can only say no.
  bool may_retry(Micros now, const Ticket& ticket, bool hedge);

  const config::Model& model() const { return model_; }

 private:
  enum User { kTenant, kClass, kRoute, kPool, kUsers };
  template <typename T>
  using ByName = std::map<std::string, T, std::less<>>;
  void find_holdings(const RouteRequest& request, Ticket& ticket);
  Limiter::Answer admit_by_worth(Micros now, const RouteRequest& request, const Ticket& ticket);
  template <typename T>
  const std::string* name_in(const std::map<std::string, T>& map, const std::string& name) const;

  config::Model model_;
  config::Routing routing_;
  std::array<ByName<std::shared_ptr<Limiter>>, kUsers> limiters_;
  ByName<std::pair<config::Limit, std::shared_ptr<FairShares>>> shares_;  // by pool
  ByName<std::shared_ptr<WorthOrder>> worth_;                             // by pool with a limit
  std::array<ByName<Budgets>, kUsers> budgets_;                           // of routes and pools
  ByName<std::shared_ptr<Fallback>> fallbacks_;                           // by route
};

/// Whether a server of the discovery list is one of a pool's selection.
bool selected(const config::Selection& pool, const Server& server);
/// `*` stands for any run of bytes.
bool matches(std::string_view pattern, std::string_view text);

}  // namespace violetusher::core
