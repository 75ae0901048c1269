#include "machine.hpp"

#include <algorithm>

namespace violetusher::standin {

bool Station::offer(Micros now, Job job, Micros work) {
  if (working() >= cores_ && waiting() >= limit_) return false;
  push(now, job, work);
  return true;
}

void Station::push(Micros now, Job job, Micros work) {
  queue_.push_back({job, std::max<Micros>(work, 1)});
  start(now);
}

void Station::start(Micros now) {
  while (!queue_.empty() && working() < cores_) {
    Waiting next = queue_.front();
    queue_.pop_front();
    auto takes = static_cast<Micros>(static_cast<double>(next.work) / std::max(pace_, 1e-6));
    busy_.push_back({next.job, now, now + std::max<Micros>(takes, 1)});
  }
}

bool Station::drop(Job job) {
  auto it = std::find_if(queue_.begin(), queue_.end(), [&](auto& w) { return w.job == job; });
  if (it == queue_.end()) return false;
  queue_.erase(it);
  return true;
}

std::vector<Station::Job> Station::take_done(Micros now) {
  std::vector<Job> done;
  while (true) {
    auto first = std::min_element(busy_.begin(), busy_.end(),
                                  [](auto& a, auto& b) { return a.until < b.until; });
    if (first == busy_.end() || first->until > now) break;
    Working ended = *first;
    busy_.erase(first);
    spent_ += static_cast<double>(ended.until - ended.from);
    if (ended.job != kNoJob) done.push_back(ended.job);
    start(ended.until);  // the core took its next job then, even if this call comes later
  }
  return done;
}

std::optional<Micros> Station::next() const {
  std::optional<Micros> at;
  for (const Working& w : busy_)
    if (!at || w.until < *at) at = w.until;
  return at;
}

double Station::spent(Micros now) const {
  double sum = spent_;
  for (const Working& w : busy_)
    sum += static_cast<double>(std::clamp(now, w.from, w.until) - w.from);
  return sum;
}

bool Store::find(const std::string& key, std::uint64_t size) {
  if (auto it = by_key_.find(key); it != by_key_.end()) {
    entries_.splice(entries_.begin(), entries_, it->second);
    return true;
  }
  if (held_ <= 0 || changed_.count(key)) return false;
  if (draws_.uniform(kit::Stream::kHeld, kit::hash_of(key), server_) >= held_) return false;
  keep(key, size);
  return true;
}

void Store::keep(const std::string& key, std::uint64_t size) {
  drop(key);
  std::uint64_t bytes = size + key.size() + 64;
  entries_.push_front({key, bytes});
  by_key_[key] = entries_.begin();
  used_ += bytes;
  while (used_ > limit_ && !entries_.empty()) {
    Entry& oldest = entries_.back();
    used_ -= oldest.size;
    by_key_.erase(oldest.key);
    entries_.pop_back();
  }
}

void Store::drop(const std::string& key) {
  if (held_ > 0) changed_.insert(key);
  auto it = by_key_.find(key);
  if (it == by_key_.end()) return;
  used_ -= it->second->size;
  entries_.erase(it->second);
  by_key_.erase(it);
}

bool OverloadDetector::record(Micros now, Micros work, double capacity) {
  Micros step = now / kStep;
  if (step != step_) {
    // Compares the work sent in the previous step with the capacity; a step without work ends the
    // period of overload.
    bool over = sum_ > multiple_ * capacity * static_cast<double>(kStep);
    if (!over || step > step_ + 1)
      over_since_ = -1;
    else if (over_since_ < 0)
      over_since_ = step_ * kStep;
    step_ = step;
    sum_ = 0;
  }
  sum_ += static_cast<double>(work);
  return over_since_ >= 0 && now - over_since_ >= after_;
}

std::optional<std::string> IdempotencyCache::find_or_store(Micros now, const std::string& key,
                                                           const std::string& receipt) {
  while (!order_.empty() && order_.front().first + window_ < now) {
    auto it = by_key_.find(order_.front().second);
    if (it != by_key_.end() && it->second.at == order_.front().first) by_key_.erase(it);
    order_.pop_front();
  }
  if (auto it = by_key_.find(key); it != by_key_.end()) return it->second.receipt;
  by_key_[key] = {now, receipt};
  order_.emplace_back(now, key);
  return std::nullopt;
}

double capacity_fraction(const FleetSpec& spec, Micros age) {
  if (age >= spec.warm_up || spec.warm_up <= 0) return 1;
  double part = static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(spec.warm_up);
  return spec.cold_share + (1 - spec.cold_share) * part;
}

}  // namespace violetusher::standin
