#include "limits.hpp"

#include <algorithm>
#include <cmath>

namespace violetusher::core {
namespace {

constexpr double kRound = 1e-9;  // of a token, that sums of parts may be off by
constexpr Micros kGone =
    1'000'000;  // a tenant that has asked for nothing for so long lends its share

}  // namespace

void TokenBucket::fill(Micros now) {
  if (begun_ && now > at_)
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(now - at_) / 1e6);
  at_ = begun_ ? std::max(at_, now) : now;
  begun_ = true;
}

bool TokenBucket::take(Micros now, double tokens) {
  fill(now);
  if (tokens_ + kRound < tokens) return false;
  tokens_ -= tokens;
  return true;
}

Micros TokenBucket::wait(Micros now, double tokens) {
  fill(now);
  double lacking = tokens - tokens_;
  return lacking <= kRound ? 0 : static_cast<Micros>(std::ceil(lacking / rate_ * 1e6));
}

void TokenBucket::give_back(double tokens) { tokens_ = std::min(burst_, tokens_ + tokens); }

void TokenBucket::change(double rate, double burst) {
  double used = burst_ - tokens_;
  rate_ = rate;
  burst_ = burst;
  tokens_ = burst - used;
}

Limiter::Limiter(const Settings& settings)
    : set_(settings), bucket_(std::max(settings.rate, 1e-9), std::max(settings.burst, 1.0)) {}

Limiter::Answer Limiter::admit(Micros now) {
  if (set_.in_flight > 0 && in_flight_ >= set_.in_flight) return {false, set_.retry_after, this};
  if (set_.rate > 0 && !bucket_.take(now))
    return {false, std::max(set_.retry_after, bucket_.wait(now)), this};
  ++in_flight_;
  return {true};
}

void Limiter::undo() {
  release();
  if (set_.rate > 0) bucket_.give_back();
}

void Limiter::change(const Settings& settings) {
  bucket_.change(std::max(settings.rate, 1e-9), std::max(settings.burst, 1.0));
  set_ = settings;
}

Limiter::Answer admit_all(Micros now, std::span<Limiter* const> limits) {
  for (std::size_t k = 0; k < limits.size(); ++k) {
    Limiter::Answer answer = limits[k]->admit(now);
    if (answer.admitted) continue;
    while (k-- > 0) limits[k]->undo();
    return answer;
  }
  return {true};
}

void RetryBudget::move(Micros now) {
  Micros step = now / kStep;
  if (step_ < 0) step_ = step;
  for (int k = 0; k < kSteps && step_ < step; ++k) {
    ++step_;
    first_[step_ % kSteps] = retries_[step_ % kSteps] = 0;
  }
  step_ = std::max(step_, step);
}

void RetryBudget::on_first_attempt(Micros now) {
  move(now);
  ++first_[step_ % kSteps];
}

bool RetryBudget::take(Micros now) {
  move(now);
  double first = 0, retries = 0;
  for (int k = 0; k < kSteps; ++k) first += first_[k], retries += retries_[k];
  double allowed = factor_ * (part_ * first + floor_ * kSteps * kStep / 1e6);
  if (retries + 1 > allowed + kRound) return false;
  ++retries_[step_ % kSteps];
  return true;
}

void RetryBudget::tighten(double factor) { factor_ = std::clamp(factor, 0.0, 1.0); }

FairShares::FairShares(std::int64_t places, std::map<std::string, double> shares)
    : places_(std::max<std::int64_t>(places, 1)) {
  for (auto& [name, share] : shares) tenants_[name].share = share;
}

bool FairShares::admit(Micros now, const std::string& tenant) {
  // Tenants that no file names share one entry: their number has no bound.
  auto it = tenants_.find(tenant);
  Tenant& mine = it != tenants_.end() ? it->second : tenants_[""];
  mine.wanted_at = now;
  mine.seen = true;
  if (used_ >= places_) return false;
  auto own = [&](const Tenant& t) { return t.share * static_cast<double>(places_); };
  if (static_cast<double>(mine.in_flight) + 1 > own(mine) + kRound) {
    // Borrowing: what the others who are there have still to come stays free for them.
    double kept = 0;
    for (auto& [name, t] : tenants_)
      if (&t != &mine && t.seen && now - t.wanted_at <= kGone)
        kept += std::max(0.0, own(t) - static_cast<double>(t.in_flight));
    if (static_cast<double>(used_) + 1 > static_cast<double>(places_) - kept + kRound) return false;
  }
  ++mine.in_flight;
  ++used_;
  return true;
}

void FairShares::release(const std::string& tenant) {
  auto it = tenants_.find(tenant);
  if (it == tenants_.end()) it = tenants_.find("");
  if (it == tenants_.end() || it->second.in_flight == 0) return;
  --it->second.in_flight;
  --used_;
}

std::int64_t FairShares::in_flight(const std::string& tenant) const {
  auto it = tenants_.find(tenant);
  return it == tenants_.end() ? 0 : it->second.in_flight;
}

void Fallback::move(Micros now) {
  Micros step = now / kStep;
  if (step <= step_) return;
  if (step_ >= 0) {
    double ends = ends_[0] + ends_[1], refused = refused_[0] + refused_[1];
    // Judged once a step: an answer more or less must not turn it to and fro.
    if (ends >= kEnough) {
      double part = refused / ends;
      if (!over_ && part >= set_.over_at)
        over_ = true;
      else if (over_ && part <= set_.back_at)
        over_ = false;
    }
  }
  bool next = step == step_ + 1;
  for (auto* list : {ends_, refused_, asked_, crossed_}) {
    list[1] = next ? list[0] : 0;
    list[0] = 0;
  }
  step_ = step;
}

bool Fallback::cross(Micros now, bool first_pool_has_live, bool may_cross) {
  move(now);
  ++asked_[0];
  if (!may_cross || (first_pool_has_live && !over_)) return false;
  double asked = asked_[0] + asked_[1], crossed = crossed_[0] + crossed_[1];
  if (crossed + 1 > set_.spill * asked + kRound) return false;
  ++crossed_[0];
  return true;
}

void Fallback::on_end(Micros now, bool refused) {
  move(now);
  ++ends_[0];
  refused_[0] += refused;
}

}  // namespace violetusher::core
