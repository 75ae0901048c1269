// Token buckets, limiters, retry budgets, fair shares and failover: they decide how much may pass
// and do no I/O. Times come in as microseconds of a clock that does not run backwards (an earlier
// time counts as the latest seen).
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

/// A token bucket: over any window of W seconds at most rate * W + burst tokens pass.
class TokenBucket {
 public:
  /// `rate` in tokens a second, above 0; `burst` at least 1. The bucket starts full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  bool try_consume(Micros now, double tokens = 1);
  /// Time until `tokens` are available if nobody else consumes any; 0 = now.
  Micros wait(Micros now, double tokens = 1);
  /// Returns tokens that were consumed for something that did not happen.
  void refund(double tokens = 1);
  /// Changes rate and burst; tokens already consumed stay consumed.
  void change(double rate, double burst);

 private:
  void refill(Micros now);
  double rate_, burst_, tokens_;
  Micros refilled_at_ = 0;
  bool started_ = false;
};

/// A limit of an operator file: request rate and requests in flight.
class Limiter {
 public:
  struct Settings {
    double rate = 0;  ///< 0 = none
    double burst = 1;
    std::int64_t in_flight = 0;  ///< 0 = none
    Micros retry_after = 0;  ///< shortest retry-after of a refusal; 0 = only what the rate gives
  };
  explicit Limiter(const Settings& settings);
  struct Decision {
    bool admitted = false;
    Micros retry_after = 0;
    const Limiter* refused_by = nullptr;  ///< the limiter that refused
  };
  /// Admits one request; release() has to be called at its end.
  Decision admit(Micros now);
  void release() {
    if (in_flight_ > 0) --in_flight_;
  }
  /// Reverts an admit() of the same moment whose request another limiter refused.
  void undo();
  /// Changes the limits. With more requests in flight than a lowered limit allows, none is admitted
  /// until enough have ended.
  void change(const Settings& settings);
  std::int64_t in_flight() const { return in_flight_; }

 private:
  Settings settings_;
  TokenBucket bucket_;
  std::int64_t in_flight_ = 0;
};

/// Admits a request by all of several limiters or by none.
Limiter::Decision admit_all(Micros now, std::span<Limiter* const> limits);

/// Bounds retries to a fraction of first attempts over the last ten seconds, plus a minimum rate.
/// The budget can only deny a retry; the decision module decides whether one makes sense.
class RetryBudget {
 public:
  RetryBudget(double fraction, double min_per_s) : fraction_(fraction), min_per_s_(min_per_s) {}
  void on_first_attempt(Micros now);
  /// Returns true and counts the retry if it is within the budget.
  bool try_consume(Micros now);
  /// Scales the budget by `factor` (0 to 1) while the pool fails.
  void tighten(double factor);

 private:
  static constexpr Micros kStep = 1'000'000;
  static constexpr int kSteps = 10;
  void advance(Micros now);
  double fraction_, min_per_s_, factor_ = 1;
  Micros step_ = -1;
  double first_attempts_[kSteps] = {}, retries_[kSteps] = {};
};

/// Divides a pool's in-flight capacity among tenants. What a tenant does not use is lent to others
/// and reclaimed as requests end: a tenant below its share is admitted before all that are above
/// theirs.
class FairShares {
 public:
  /// `capacity`: requests in flight, above 0. Shares add up to 1; tenants without a share can only
  /// borrow.
  FairShares(std::int64_t capacity, std::map<std::string, double> shares);
  bool admit(Micros now, const std::string& tenant);
  void release(const std::string& tenant);
  std::int64_t in_flight(const std::string& tenant) const;

 private:
  struct Tenant {
    double share = 0;
    std::int64_t in_flight = 0;
    Micros last_request = 0;  // last time it was admitted or refused
    bool seen = false;
  };
  std::int64_t capacity_, used_ = 0;
  std::map<std::string, Tenant> tenants_;
};

/// Decides whether a route's traffic fails over to its fallback pool, with hysteresis and a cap.
class Fallback {
 public:
  struct Settings {
    double activate_at = 0.5;    ///< refused fraction of the primary pool that starts failover
    double deactivate_at = 0.2;  ///< refused fraction that ends it
    double max_fraction = 1;     ///< largest fraction of the route's requests for the fallback
  };
  explicit Fallback(const Settings& settings) : settings_(settings) {}
  /// Returns whether the next request goes to the fallback. `fallback_allowed` is false for a keyed
  /// request that may have run in the primary pool: it has to stay with the servers that
  /// deduplicate it.
  bool use_fallback(Micros now, bool primary_available, bool fallback_allowed);
  /// Records how a request of the primary pool ended.
  void on_end(Micros now, bool refused);
  bool active() const { return active_; }

 private:
  void advance(Micros now);
  static constexpr Micros kStep = 1'000'000;
  static constexpr double kMinSamples =
      20;  // requests in two steps that make the fraction significant
  Settings settings_;
  bool active_ = false;
  Micros step_ = -1;
  double completed_[2] = {}, refused_[2] = {}, requests_[2] = {}, fallback_requests_[2] = {};
};

}  // namespace violetusher::core
