// What an operator file makes of each request: its route, its pool, whether it is admitted, and
// whether a pool's budget has a retry left. No I/O and no clock; times come in.
//
// One Traffic is one version of the file. The next one takes over the counters of what has not
// changed; requests keep the version that they began with.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/config/diff.hpp"
#include "core/config/model.hpp"
#include "core/limit/limits.hpp"
#include "core/limit/worth.hpp"

namespace violetusher::core {

class Traffic {
 public:
  /// `before` may be null. The model must have passed its checks.
  Traffic(config::Model model, const Traffic* before);

  /// What an admitted request holds until end().
  struct Ticket {
    const std::string* route = nullptr;  ///< lives as long as the Traffic
    const std::string* pool = nullptr;
    bool crossed = false;  ///< it went to a fallback
    bool holds = false;
    std::string tenant, type;
  };
  struct Decision {
    bool admitted = false;
    Micros come_back = 0;  ///< where it is refused; 0 = not known
    Ticket ticket;
  };
  /// Asked of a pool by its name: whether it has a live server, and whether a keyed request may go
  /// there that another pool's servers may have run (they drop one another's repeats).
  struct PoolState {
    virtual ~PoolState() = default;
    virtual bool has_live(const std::string& pool) const = 0;
    virtual bool shares_repeats(const std::string& pool) const = 0;
  };
  Decision admit(Micros now, const RouteRequest& request, bool keyed, const PoolState& pools);
  /// The request has ended, `refused` by its pool or not. Call once for each admitted one.
  void end(Micros now, Ticket& ticket, bool refused);
  /// A first try of a pool was sent.
  void on_first(Micros now, const Ticket& ticket);
  /// An attempt has ended, `failed` in a way that tells of its server or of load. Budgets of a pool
  /// that fails are tightened.
  void on_attempt_end(Micros now, const Ticket& ticket, bool failed);
  /// Whether the budgets of the route and its pool have another retry, or hedge, left. The decision
  /// module has decided on it already: this can only say no.
  bool may_retry(Micros now, const Ticket& ticket, bool hedge);

  const config::Model& model() const { return model_; }

 private:
  struct Budgets {
    config::Budget set;
    std::shared_ptr<RetryBudget> retries, hedges;
    std::shared_ptr<PoolTrouble> trouble;
  };
  std::vector<Limiter*> limiters_of(const Ticket& ticket) const;
  Limiter::Answer admit_by_worth(Micros now, const Ticket& ticket,
                                 const std::vector<Limiter*>& limiters);
  FairShares* shares_of(const Ticket& ticket) const;
  Budgets* budgets_of(const Ticket& ticket);
  template <typename T>
  const std::string* name_in(const std::map<std::string, T>& map, const std::string& name) const;

  config::Model model_;
  config::Routing routing_;
  std::map<std::string, std::shared_ptr<Limiter>> limiters_;  // by "tenant t", "class c", ...
  std::map<std::string, std::pair<config::Limit, std::shared_ptr<FairShares>>> shares_;  // by pool
  std::map<std::string, std::shared_ptr<WorthOrder>> worth_;    // by pool with a limit
  std::map<std::string, Budgets> budgets_;                      // by "route r" or "pool p"
  std::map<std::string, std::shared_ptr<Fallback>> fallbacks_;  // by route
};

/// Whether a server of the discovery list is one of a pool's selection.
bool selected(const config::Selection& pool, const Server& server);
/// `*` stands for any run of bytes.
bool matches(std::string_view pattern, std::string_view text);

}  // namespace violetusher::core
