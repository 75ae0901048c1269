#include "load_shedding.hpp"

#include <algorithm>

namespace violetusher::core {
namespace {

constexpr Micros kStep = 1'000'000;

}  // namespace

LoadShedder::LoadShedder(std::map<std::string, std::int64_t> worth) {
  for (const auto& [name, value] : worth) classes_[name].worth = value;
  classes_.try_emplace("");  // all unnamed classes, as their number is unbounded
}

LoadShedder::Class& LoadShedder::class_of(std::string_view type) {
  auto it = classes_.find(type);
  return it != classes_.end() ? it->second : classes_.at("");
}

void LoadShedder::advance(Micros now) {
  Micros step = now / kStep;
  if (step <= step_) return;
  for (auto& [name, c] : classes_) {
    c.admitted[1] = step == step_ + 1 ? c.admitted[0] : 0;
    c.admitted[0] = 0;
  }
  step_ = step;
}

bool LoadShedder::may_request(Micros now, std::string_view type) {
  advance(now);
  const Class& mine = class_of(type);
  bool outranked = false;
  double all = 0;
  for (const auto& [name, c] : classes_) {
    all += c.admitted[0] + c.admitted[1];
    outranked |= c.worth > mine.worth && c.ever_rejected && now - c.last_rejection < kShedDuration;
  }
  return !outranked || mine.admitted[0] + mine.admitted[1] < kMinAdmittedFraction * all;
}

void LoadShedder::on_answer(Micros now, std::string_view type, bool admitted) {
  advance(now);
  Class& mine = class_of(type);
  if (admitted) {
    ++mine.admitted[0];
  } else {
    mine.last_rejection = now;
    mine.ever_rejected = true;
  }
}

void PoolFailureRate::advance(Micros now) {
  Micros step = now / kStep;
  if (step <= step_) return;
  bool next = step == step_ + 1;
  for (auto* list : {completed_, failed_}) {
    list[1] = next ? list[0] : 0;
    list[0] = 0;
  }
  step_ = step;
}

void PoolFailureRate::on_end(Micros now, bool failed) {
  advance(now);
  ++completed_[0];
  failed_[0] += failed;
}

double PoolFailureRate::factor(Micros now) {
  advance(now);
  double completed = completed_[0] + completed_[1];
  if (completed < kMinSamples) return 1;
  double fraction = (failed_[0] + failed_[1]) / completed;
  return std::clamp(1 - (fraction - kToleratedFraction) / (kSevereFraction - kToleratedFraction) *
                            (1 - kMinFactor),
                    kMinFactor, 1.0);
}

}  // namespace violetusher::core
