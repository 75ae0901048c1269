// Load shedding by worth: which classes give way while a pool's limit turns requests away. It
// decides and does nothing; times come in as in limits.hpp.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "limits.hpp"

namespace violetusher::core {

/// Once the limit has turned a class away, every class of lower worth is refused for kHold, so that
/// what comes free goes to the worthier. A class that has had less than kFloor of what was admitted
/// over the last one to two seconds is not held back: the least worthy is thinned out, never shut
/// out. Classes of equal worth do not give way to each other, and nobody gives way while the limit
/// turns nobody away.
class WorthOrder {
 public:
  static constexpr Micros kHold = 250'000;
  static constexpr double kFloor = 0.05;

  /// Worth by class; classes that are not named have a worth of 1.
  explicit WorthOrder(std::map<std::string, std::int64_t> worth);
  /// Whether a request of the class may ask the limit at all.
  bool may_ask(Micros now, std::string_view type);
  /// What the limit said of one that asked.
  void on_answer(Micros now, std::string_view type, bool admitted);

 private:
  struct Class {
    std::int64_t worth = 1;
    Micros turned_away = 0;
    bool ever = false;                    // turned away
    std::array<double, 2> admitted = {};  // in this step of a second, and the one before
  };
  Class& class_of(std::string_view type);
  void move(Micros now);

  std::map<std::string, Class, std::less<>> classes_;
  Micros step_ = -1;
};

/// How far a retry budget is held back: all of it is left while at most kGood of the attempts fail,
/// kLeast of it from kBad on, in between in proportion; judged over one to two seconds.
class PoolTrouble {
 public:
  static constexpr double kGood = 0.1, kBad = 0.5, kLeast = 0.1;
  void on_end(Micros now, bool failed);
  /// The factor for RetryBudget::tighten(), kLeast to 1.
  double factor(Micros now);

 private:
  static constexpr double kEnough = 20;  // ends before a part means anything
  void move(Micros now);
  Micros step_ = -1;
  double ends_[2] = {}, failed_[2] = {};
};

}  // namespace violetusher::core
