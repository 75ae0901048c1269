#include "limits.hpp"

#include <algorithm>
#include <cmath>

namespace violetusher::core {
namespace {

constexpr double kRoundingTolerance = 1e-9;  // of a token: rounding errors of sums
constexpr Micros kIdleTenantTimeout =
    1'000'000;  // a tenant without requests for this long lends its share

}  // namespace

void TokenBucket::refill(Micros now) {
  if (started_ && now > refilled_at_)
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(now - refilled_at_) / 1e6);
  refilled_at_ = started_ ? std::max(refilled_at_, now) : now;
  started_ = true;
}

bool TokenBucket::try_consume(Micros now, double tokens) {
  refill(now);
  if (tokens_ + kRoundingTolerance < tokens) return false;
  tokens_ -= tokens;
  return true;
}

Micros TokenBucket::wait(Micros now, double tokens) {
  refill(now);
  double lacking = tokens - tokens_;
  return lacking <= kRoundingTolerance ? 0 : static_cast<Micros>(std::ceil(lacking / rate_ * 1e6));
}

void TokenBucket::refund(double tokens) { tokens_ = std::min(burst_, tokens_ + tokens); }

void TokenBucket::change(double rate, double burst) {
  double used = burst_ - tokens_;
  rate_ = rate;
  burst_ = burst;
  tokens_ = burst - used;
}

Limiter::Limiter(const Settings& settings)
    : settings_(settings), bucket_(std::max(settings.rate, 1e-9), std::max(settings.burst, 1.0)) {}

Limiter::Decision Limiter::admit(Micros now) {
  if (settings_.in_flight > 0 && in_flight_ >= settings_.in_flight)
    return {false, settings_.retry_after, this};
  if (settings_.rate > 0 && !bucket_.try_consume(now))
    return {false, std::max(settings_.retry_after, bucket_.wait(now)), this};
  ++in_flight_;
  return {true};
}

void Limiter::undo() {
  release();
  if (settings_.rate > 0) bucket_.refund();
}

void Limiter::change(const Settings& settings) {
  bucket_.change(std::max(settings.rate, 1e-9), std::max(settings.burst, 1.0));
  settings_ = settings;
}

Limiter::Decision admit_all(Micros now, std::span<Limiter* const> limits) {
  for (std::size_t k = 0; k < limits.size(); ++k) {
    Limiter::Decision decision = limits[k]->admit(now);
    if (decision.admitted) continue;
    while (k-- > 0) limits[k]->undo();
    return decision;
  }
  return {true};
}

void RetryBudget::advance(Micros now) {
  Micros step = now / kStep;
  if (step_ < 0) step_ = step;
  for (int k = 0; k < kSteps && step_ < step; ++k) {
    ++step_;
    first_attempts_[step_ % kSteps] = retries_[step_ % kSteps] = 0;
  }
  step_ = std::max(step_, step);
}

void RetryBudget::on_first_attempt(Micros now) {
  advance(now);
  ++first_attempts_[step_ % kSteps];
}

bool RetryBudget::try_consume(Micros now) {
  advance(now);
  double first = 0, retries = 0;
  for (int k = 0; k < kSteps; ++k) first += first_attempts_[k], retries += retries_[k];
  double allowed = factor_ * (fraction_ * first + min_per_s_ * kSteps * kStep / 1e6);
  if (retries + 1 > allowed + kRoundingTolerance) return false;
  ++retries_[step_ % kSteps];
  return true;
}

void RetryBudget::tighten(double factor) { factor_ = std::clamp(factor, 0.0, 1.0); }

FairShares::FairShares(std::int64_t capacity, std::map<std::string, double> shares)
    : capacity_(std::max<std::int64_t>(capacity, 1)) {
  for (auto& [name, share] : shares) tenants_[name].share = share;
}

bool FairShares::admit(Micros now, const std::string& tenant) {
  // Tenants that no file names share one entry, as their number is unbounded.
  auto it = tenants_.find(tenant);
  Tenant& mine = it != tenants_.end() ? it->second : tenants_[""];
  mine.last_request = now;
  mine.seen = true;
  if (used_ >= capacity_) return false;
  auto own = [&](const Tenant& t) { return t.share * static_cast<double>(capacity_); };
  if (static_cast<double>(mine.in_flight) + 1 > own(mine) + kRoundingTolerance) {
    // Borrowing leaves the unused shares of the other active tenants free.
    double reserved = 0;
    for (auto& [name, t] : tenants_)
      if (&t != &mine && t.seen && now - t.last_request <= kIdleTenantTimeout)
        reserved += std::max(0.0, own(t) - static_cast<double>(t.in_flight));
    if (static_cast<double>(used_) + 1 >
        static_cast<double>(capacity_) - reserved + kRoundingTolerance)
      return false;
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

void Fallback::advance(Micros now) {
  Micros step = now / kStep;
  if (step <= step_) return;
  if (step_ >= 0) {
    double completed = completed_[0] + completed_[1], refused = refused_[0] + refused_[1];
    // Evaluated once a step, so that single requests do not toggle it.
    if (completed >= kMinSamples) {
      double fraction = refused / completed;
      if (!active_ && fraction >= settings_.activate_at)
        active_ = true;
      else if (active_ && fraction <= settings_.deactivate_at)
        active_ = false;
    }
  }
  bool next = step == step_ + 1;
  for (auto* list : {completed_, refused_, requests_, fallback_requests_}) {
    list[1] = next ? list[0] : 0;
    list[0] = 0;
  }
  step_ = step;
}

bool Fallback::use_fallback(Micros now, bool primary_available, bool fallback_allowed) {
  advance(now);
  ++requests_[0];
  if (!fallback_allowed || (primary_available && !active_)) return false;
  double requests = requests_[0] + requests_[1],
         fallback_requests = fallback_requests_[0] + fallback_requests_[1];
  if (fallback_requests + 1 > settings_.max_fraction * requests + kRoundingTolerance) return false;
  ++fallback_requests_[0];
  return true;
}

void Fallback::on_end(Micros now, bool refused) {
  advance(now);
  ++completed_[0];
  refused_[0] += refused;
}

}  // namespace violetusher::core
