#include "loop.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace violetusher::kit {
namespace {

constexpr Micros kStopCheckInterval = 50'000;  // between checks for a stop request

}  // namespace

void Lateness::add(Micros late) {
  late = std::max<Micros>(late, 0);
  auto bucket = static_cast<std::size_t>(std::log(static_cast<double>(late) + 1) / std::log(1.125));
  ++buckets_[std::min(bucket, kBuckets - 1)];
  ++count_;
  worst_ = std::max(worst_, late);
}

Micros Lateness::quantile(double q) const {
  if (count_ == 0) return 0;
  auto wanted = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t k = 0; k < kBuckets; ++k) {
    seen += buckets_[k];
    if (seen >= std::max<std::uint64_t>(wanted, 1))
      return std::min(worst_, static_cast<Micros>(std::pow(1.125, static_cast<double>(k) + 1)));
  }
  return worst_;
}

void Lateness::merge(const Lateness& other) {
  for (std::size_t k = 0; k < kBuckets; ++k) buckets_[k] += other.buckets_[k];
  count_ += other.count_;
  worst_ = std::max(worst_, other.worst_);
}

Loop::Loop(const net::Clock& clock) : clock_(clock) {
  std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                 event_config_free);
  event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  base_.reset(event_base_new_with_config(options.get()));
  if (!base_) throw std::runtime_error("no event base");
  timer_.reset(event_new(base_.get(), -1, 0, on_timer, this));
}

void Loop::at(Micros at, std::function<void()> task) {
  at = std::max(at, now());  // a time in the past must not count as lateness of the loop
  timers_.push({at, order_++, std::move(task)});
  if (!running_timers_ && (armed_ == 0 || at < armed_)) arm();
}

void Loop::arm() {
  Micros now = clock_.now();
  Micros due = timers_.empty() ? now + kStopCheckInterval
                               : std::min(timers_.top().at, now + kStopCheckInterval);
  armed_ = due;
  timeval wait = net::timeval_of(std::max<Micros>(due - now, 0));
  event_add(timer_.get(), &wait);
}

void Loop::on_timer(evutil_socket_t, short, void* self) {
  auto* loop = static_cast<Loop*>(self);
  loop->run_due_timers();
}

void Loop::run_due_timers() {
  running_timers_ = true;
  if (stop_requested_) stop();
  // Tasks that are added for now or earlier run in the next iteration, after the socket events.
  Micros now = clock_.now();
  while (!stopped_ && !timers_.empty() && timers_.top().at <= now) {
    Timer timer = std::move(const_cast<Timer&>(timers_.top()));
    timers_.pop();
    lateness_.add(clock_.now() - timer.at);
    timer.task();
  }
  running_timers_ = false;
  armed_ = 0;
  if (!stopped_) arm();
}

void Loop::run() {
  stopped_ = false;
  arm();
  while (!stopped_) event_base_loop(base_.get(), EVLOOP_ONCE);
}

}  // namespace violetusher::kit
