// Limits and budgets: how much of something may pass. They decide and do nothing; times come in as
// microseconds on a clock that does not run backwards (an earlier time counts as the latest seen).
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "violetusher/balancer.hpp"

namespace violetusher::core {

/// A token bucket. Over any window of W seconds no more than rate * W + burst pass.
class TokenBucket {
 public:
  /// `rate` a second, above 0; `burst` at least 1. It begins full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  bool take(Micros now, double tokens = 1);
  /// How long until `tokens` will be there, if nobody else takes any. 0 = now.
  Micros wait(Micros now, double tokens = 1);
  /// Gives back what was taken for something that did not happen.
  void give_back(double tokens = 1);
  /// New figures; what has been used up stays used up.
  void change(double rate, double burst);

 private:
  void fill(Micros now);
  double rate_, burst_, tokens_;
  Micros at_ = 0;
  bool begun_ = false;
};

/// A limit of an operator file: rate and requests in flight together.
class Limiter {
 public:
  struct Settings {
    double rate = 0;  ///< 0 = none
    double burst = 1;
    std::int64_t in_flight = 0;  ///< 0 = none
    Micros retry_after = 0;  ///< at least this is told with a refusal; 0 = only what the rate says
  };
  explicit Limiter(const Settings& settings);
  struct Answer {
    bool admitted = false;
    Micros retry_after = 0;
    const Limiter* by = nullptr;  ///< who refused
  };
  /// Admits one request, which release() must end.
  Answer admit(Micros now);
  void release() {
    if (in_flight_ > 0) --in_flight_;
  }
  /// Takes back an admit() of the same moment whose request was refused elsewhere.
  void undo();
  /// A lower limit than what is in flight admits nothing until enough have ended.
  void change(const Settings& settings);
  std::int64_t in_flight() const { return in_flight_; }

 private:
  Settings set_;
  TokenBucket bucket_;
  std::int64_t in_flight_ = 0;
};

/// Admission by several limits: all or none.
Limiter::Answer admit_all(Micros now, std::span<Limiter* const> limits);

/// Retries as a part of first tries over the last ten seconds, with a floor a second. It can only
/// say no: whether a retry makes sense is the decision module's to say.
class RetryBudget {
 public:
  RetryBudget(double part, double floor_per_s) : part_(part), floor_(floor_per_s) {}
  void on_first_attempt(Micros now);
  /// True and counted where another retry is within the budget.
  bool take(Micros now);
  /// While the pool fails the budget is held to `factor` (0 to 1) of itself.
  void tighten(double factor);

 private:
  static constexpr Micros kStep = 1'000'000;
  static constexpr int kSteps = 10;
  void move(Micros now);
  double part_, floor_, factor_ = 1;
  Micros step_ = -1;
  double first_[kSteps] = {}, retries_[kSteps] = {};
};

/// Shares of a pool's places in flight by tenant. What one does not use is lent to the others, and
/// taken back as places come free: a tenant below its share is admitted before all who are above.
class FairShares {
 public:
  /// `places`: in flight together, above 0. Shares add up to 1; tenants without one share nothing
  /// of their own and only borrow.
  FairShares(std::int64_t places, std::map<std::string, double> shares);
  bool admit(Micros now, const std::string& tenant);
  void release(const std::string& tenant);
  std::int64_t in_flight(const std::string& tenant) const;

 private:
  struct Tenant {
    double share = 0;
    std::int64_t in_flight = 0;
    Micros wanted_at = 0;  // when it was last turned away or admitted: it is there
    bool seen = false;
  };
  std::int64_t places_, used_ = 0;
  std::map<std::string, Tenant> tenants_;
};

/// Whether a route's traffic falls over to its fallback pool, with hysteresis and a cap.
class Fallback {
 public:
  struct Settings {
    double over_at = 0.5;  ///< part refused by the first pool
    double back_at = 0.2;
    double spill = 1;  ///< most of the route's requests that may cross
  };
  explicit Fallback(const Settings& settings) : set_(settings) {}
  /// Where the next request goes. `may_cross`: false for a keyed request that may have run in the
  /// first pool, which must stay in the group that drops its repeats.
  bool cross(Micros now, bool first_pool_has_live, bool may_cross);
  /// How a request of the first pool ended.
  void on_end(Micros now, bool refused);
  bool over() const { return over_; }

 private:
  void move(Micros now);
  static constexpr Micros kStep = 1'000'000;
  static constexpr double kEnough = 20;  // ends in two steps before a part means anything
  Settings set_;
  bool over_ = false;
  Micros step_ = -1;
  double ends_[2] = {}, refused_[2] = {}, asked_[2] = {}, crossed_[2] = {};
};

}  // namespace violetusher::core
