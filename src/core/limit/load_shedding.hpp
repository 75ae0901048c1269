// Load shedding by class: which classes are shed while a pool's limit refuses requests. It decides
// and does no I/O; times come in as in limits.hpp.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "limits.hpp"

namespace violetusher::core {

/// After the limit has refused a request of a class, every class of lower worth is refused for
/// kShedDuration, so that free capacity goes to the classes of higher worth. A class with less than
/// kMinAdmittedFraction of the requests admitted over the last one to two seconds is exempt: the
/// lowest class is reduced, never shut out. Classes of equal worth do not shed each other, and none
/// is shed while the limit refuses nobody.
class LoadShedder {
 public:
  static constexpr Micros kShedDuration = 250'000;
  static constexpr double kMinAdmittedFraction = 0.05;

  /// Worth by class; unnamed classes have a worth of 1.
  explicit LoadShedder(std::map<std::string, std::int64_t> worth);
  /// Returns whether a request of the class may try the limit at all.
  bool may_request(Micros now, std::string_view type);
  /// Records the limit's decision on a request.
  void on_answer(Micros now, std::string_view type, bool admitted);

 private:
  struct Class {
    std::int64_t worth = 1;
    Micros last_rejection = 0;
    bool ever_rejected = false;           // the limit has refused a request of it
    std::array<double, 2> admitted = {};  // in the current second and the previous one
  };
  Class& class_of(std::string_view type);
  void advance(Micros now);

  std::map<std::string, Class, std::less<>> classes_;
  Micros step_ = -1;
};

/// The failure rate of a pool's attempts over one to two seconds, as a factor for retry budgets: 1
/// up to a failure fraction of kToleratedFraction, kMinFactor from kSevereFraction on, linear in
/// between.
class PoolFailureRate {
 public:
  static constexpr double kToleratedFraction = 0.1, kSevereFraction = 0.5, kMinFactor = 0.1;
  void on_end(Micros now, bool failed);
  /// The factor for RetryBudget::tighten(), kLeast to 1.
  double factor(Micros now);

 private:
  static constexpr double kMinSamples = 20;  // attempts that make the fraction significant
  void advance(Micros now);
  Micros step_ = -1;
  double completed_[2] = {}, failed_[2] = {};
};

}  // namespace violetusher::core
