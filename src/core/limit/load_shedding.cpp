#include "load_shedding.hpp"

#include <algorithm>

namespace violetusher::core {
namespace {

constexpr Micros kStep = 1'000'000;

}  // namespace

WorthOrder::WorthOrder(std::map<std::string, std::int64_t> worth) {
  for (const auto& [name, value] : worth) classes_[name].worth = value;
  classes_.try_emplace("");  // all that are not named: their number has no bound
}

WorthOrder::Class& WorthOrder::class_of(std::string_view type) {
  auto it = classes_.find(type);
  return it != classes_.end() ? it->second : classes_.at("");
}

void WorthOrder::move(Micros now) {
  Micros step = now / kStep;
  if (step <= step_) return;
  for (auto& [name, c] : classes_) {
    c.admitted[1] = step == step_ + 1 ? c.admitted[0] : 0;
    c.admitted[0] = 0;
  }
  step_ = step;
}

bool WorthOrder::may_ask(Micros now, std::string_view type) {
  move(now);
  const Class& mine = class_of(type);
  bool gives_way = false;
  double all = 0;
  for (const auto& [name, c] : classes_) {
    all += c.admitted[0] + c.admitted[1];
    gives_way |= c.worth > mine.worth && c.ever && now - c.turned_away < kHold;
  }
  return !gives_way || mine.admitted[0] + mine.admitted[1] < kFloor * all;
}

void WorthOrder::on_answer(Micros now, std::string_view type, bool admitted) {
  move(now);
  Class& mine = class_of(type);
  if (admitted) {
    ++mine.admitted[0];
  } else {
    mine.turned_away = now;
    mine.ever = true;
  }
}

void PoolTrouble::move(Micros now) {
  Micros step = now / kStep;
  if (step <= step_) return;
  bool next = step == step_ + 1;
  for (auto* list : {ends_, failed_}) {
    list[1] = next ? list[0] : 0;
    list[0] = 0;
  }
  step_ = step;
}

void PoolTrouble::on_end(Micros now, bool failed) {
  move(now);
  ++ends_[0];
  failed_[0] += failed;
}

double PoolTrouble::factor(Micros now) {
  move(now);
  double ends = ends_[0] + ends_[1];
  if (ends < kEnough) return 1;
  double part = (failed_[0] + failed_[1]) / ends;
  return std::clamp(1 - (part - kGood) / (kBad - kGood) * (1 - kLeast), kLeast, 1.0);
}

}  // namespace violetusher::core
