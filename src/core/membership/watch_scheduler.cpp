#include "watch_scheduler.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/mutants.hpp"

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000;
// How long a watch without an end after its wait is kept beside the call that fetches what it
// missed.
constexpr Micros kOverdueGrace = 3 * kSecond;
// After this many consecutive full lists that are older than the one in use, each requested
// separately, the version count of discovery is taken to have restarted, as after a restore.
constexpr int kOlderListsToAccept = 3;
// An unconfirmed list is requested again after this and then trusted: changes reach discovery
// within seconds.
constexpr Micros kConfirmationDelay = 30 * kSecond;
constexpr int kMaxDoublings = 8;
// So many watches of a new process are renewed early: two of its first three may be silent.
constexpr int kTakeoverRenewals = 2;
// An immediate call that takes longer than this has waited behind others.
constexpr Micros kCrowdedResponseTime = 300'000;
// Single fetches: the response timeout, whatever the timing of watches, and the number of tries.
constexpr Micros kFetchTimeout = 3 * kSecond + kSecond / 2;
// The list of a discovery at a new address counts as notified after 4 s, and the first call may be
// lost: a second one is made beside it after this, as the first may still be queued.
constexpr Micros kSecondCallDelay = 2 * kSecond;
constexpr int kMaxFetchTries = 5;
// A router that always retries also fetches with kFetchTimeout at each multiple of this many
// consecutive failures; a slow agent would otherwise never be able to respond in time.
constexpr int kFailuresPerFetch = 4;
// Delay of the next call to a discovery that does not hold watches. A watch counts as continued if
// its next call comes within 200 ms of the last response.
constexpr Micros kUnheldWatchInterval = kSecond / 10;

std::optional<std::uint64_t> number(const std::string& text) {
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Whether a call is made because another one failed or may be silent.
bool follows_trouble(CallReason reason) {
  switch (reason) {
    case CallReason::kUnanswered:
    case CallReason::kRetry:
    case CallReason::kOverdue:
    case CallReason::kOtherFailed:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::optional<int> compare_versions(const std::string& a, const std::string& b) {
  auto x = number(a), y = number(b);
  if (!x || !y) return std::nullopt;
  return *x < *y ? -1 : *x > *y;
}

const char* name_of(CallReason reason) {
  switch (reason) {
    case CallReason::kStart:
      return "start";
    case CallReason::kContinuation:
      return "continuation";
    case CallReason::kRenewal:
      return "renewal";
    case CallReason::kUnanswered:
      return "unanswered";
    case CallReason::kRetry:
      return "retry";
    case CallReason::kOverdue:
      return "overdue";
    case CallReason::kOtherFailed:
      return "other-failed";
    case CallReason::kWholeList:
      return "whole-list";
    case CallReason::kAddressChange:
      return "address-change";
  }
  return "unknown";
}

WatchScheduler::WatchScheduler(Port& port, const WatchTiming& timing, const std::string& version,
                               std::uint64_t seed)
    : port_(port), timing_(timing), version_(version), watch_version_(version), rng_(seed) {}

void WatchScheduler::start(Micros now) {
  if (timing_.first_call_spread == 0) return watch(now);
  next_call_at_ = now + random_between(0, timing_.first_call_spread);
  next_call_reason_ = CallReason::kStart;
}

int WatchScheduler::calls_in_flight() const {
  return static_cast<int>(
      std::count_if(calls_.begin(), calls_.end(), [](const Call& call) { return call.in_flight; }));
}

bool WatchScheduler::has_call() const {
  return std::any_of(calls_.begin(), calls_.begin() + kWatchPlaces,
                     [](const Call& call) { return call.in_flight; });
}

/// Whether a watch is in flight whose wait is not over.
bool WatchScheduler::has_waiting_watch() const {
  return std::any_of(calls_.begin(), calls_.begin() + kWatchPlaces, [](const Call& call) {
    return call.in_flight && call.is_watch() && !call.overdue;
  });
}

bool WatchScheduler::has_free_place() const {
  return std::any_of(calls_.begin(), calls_.begin() + kWatchPlaces,
                     [](const Call& call) { return !call.in_flight; });
}

/// When the first of the calls in flight times out.
Micros WatchScheduler::next_timeout() const {
  Micros first = calls_[kWatch0].deadline;
  for (int place = kWatch1; place < kWatchPlaces; ++place)
    first = std::min(first, calls_[place].deadline);
  return first;
}

Micros WatchScheduler::random_between(Micros from, Micros to) {
  rng_ = rng_ * 6364136223846793005ULL + 1442695040888963407ULL;  // Knuth's MMIX generator
  double fraction = static_cast<double>(rng_ >> 40) / static_cast<double>(1 << 24);
  return from + static_cast<Micros>(fraction * static_cast<double>(to - from));
}

void WatchScheduler::start_call(Place place, Micros now, Micros wait, CallReason reason) {
  Call& call = calls_[place];
  if (watch_version_.empty() || place == kFetch) wait = 0;
  // Jitter the wait as well, so that the calls after silent watches do not coincide either.
  if (wait > kImmediateWait)
    wait = random_between(wait - (timing_.max_renewal_age - timing_.min_renewal_age), wait);
  call.in_flight = true;
  call.overdue = false;
  call.after_trouble = follows_trouble(reason);
  call.continues = false;
  call.started = now;
  call.wait = wait;
  call.deadline = now + wait +
                  (place == kFetch   ? kFetchTimeout
                   : call.is_watch() ? timing_.response_timeout
                                     : timing_.immediate_response_timeout);
  call.follow_up_at = 0;
  if (call.is_watch() && timing_.max_renewal_age > 0)
    call.follow_up_at = now + random_between(timing_.min_renewal_age, timing_.max_renewal_age);
  if (!call.is_watch() && place != kFetch && timing_.unanswered_delay > 0 &&
      !mutant(Mutant::kNothingBesideSilentCall)) {
    Micros delay = timing_.unanswered_delay;
    if (watch_version_.empty()) delay = std::min(delay, kSecondCallDelay);
    call.follow_up_at = now + delay;
  }
  call.lists_applied = lists_applied_;
  port_.start(place, place == kFetch ? std::string() : watch_version_, wait, reason);
}

void WatchScheduler::cancel(Place place) {
  if (!calls_[place].in_flight) return;
  calls_[place].in_flight = false;
  port_.cancel(place);
}

/// Starts another call of the watch beside those in flight.
void WatchScheduler::start_watch_call(Micros now, Micros wait, CallReason reason) {
  next_call_at_ = 0;
  auto is_better = [&](int a, int b) {
    return calls_[a].in_flight != calls_[b].in_flight
               ? !calls_[a].in_flight
               : calls_[a].in_flight && calls_[a].started < calls_[b].started;
  };
  newest_ = kWatch0;
  for (int place = kWatch1; place < kWatchPlaces; ++place)
    if (is_better(place, newest_)) newest_ = static_cast<Place>(place);
  cancel(newest_);
  start_call(newest_, now, wait, reason);
}

void WatchScheduler::fetch(Micros now) {
  fetch_failures_ = 0;
  request_full_list(now);
}

void WatchScheduler::request_full_list(Micros now) {
  fetch_at_ = 0;
  cancel(kFetch);
  start_call(kFetch, now, 0, CallReason::kWholeList);
}

void WatchScheduler::change_address(Micros now) {
  stop();
  watch_version_.clear();
  address_changed_ = true;
  older_lists_ = failures_ = 0;
  watch(now, CallReason::kAddressChange);
}

void WatchScheduler::stop() {
  for (int place = 0; place < kPlaces; ++place) cancel(static_cast<Place>(place));
  next_call_at_ = fetch_at_ = 0;
}

Micros WatchScheduler::retry_delay(int failures) {
  Micros mean =
      std::min(timing_.retry_delay << std::min(failures, kMaxDoublings), timing_.max_retry_delay);
  return random_between(mean / 2, mean + mean / 2);
}

void WatchScheduler::schedule_retry(Micros now) {
  next_call_at_ = now + retry_delay(failures_++);
  next_call_reason_ = CallReason::kRetry;
  if (timing_.pushed && failures_ % kFailuresPerFetch == 0 && !calls_[kFetch].in_flight) fetch(now);
}

/// Handles a call that failed or brought nothing usable.
void WatchScheduler::on_call_failed(Place place, Micros now) {
  calls_[place].in_flight = false;
  if (place == kFetch) {
    if (++fetch_failures_ < kMaxFetchTries) fetch_at_ = now + retry_delay(fetch_failures_);
    return;
  }
  if (place == newest_ || !has_call()) {
    if (next_call_at_ == 0) schedule_retry(now);
  } else if (calls_[newest_].in_flight && calls_[newest_].is_watch()) {
    // Whatever ended an older call may have silenced the newest one too, and what that one misses
    // counts as notified long before it is renewed.
    watch(now, CallReason::kOtherFailed);
  }
}

/// Decides whether a list is applied. Responses arrive out of order, and an old one must not bring
/// removed servers back. Versions that are not numbers are ordered by when their calls were made.
ListDecision WatchScheduler::evaluate(const Call& call, Micros now, const ListResponse& answer) {
  auto order = compare_versions(answer.version, version_);
  bool older = order ? *order < 0 : answer.whole && call.lists_applied != lists_applied_;
  if (!older) {
    older_lists_ = 0;
    address_changed_ = false;
    return ListDecision::kApply;
  }
  // Either a newer response overtook this one, or discovery itself is behind.
  if (!address_changed_ && (!order || call.lists_applied != lists_applied_))
    return ListDecision::kIgnore;
  if (!answer.whole) {
    watch_version_.clear();  // the next call shows everything that discovery has
    return ListDecision::kIgnore;
  }
  if (!address_changed_ && ++older_lists_ < kOlderListsToAccept) return ListDecision::kIgnore;
  older_lists_ = 0;
  address_changed_ = false;
  fetch_failures_ = 0;
  fetch_at_ = now + kConfirmationDelay;
  return ListDecision::kApplyUnconfirmed;
}

void WatchScheduler::adopt_list(const std::string& version, Micros confirmed_at) {
  version_ = watch_version_ = version;
  ++lists_applied_;
  older_lists_ = 0;
  last_response_at_ = std::max(last_response_at_, confirmed_at);
}

/// Cancels the watches that were started before `call`, which has been answered: they may be
/// silent, and have missed nothing that its response did not bring. Other calls run to their own
/// end, as a cancelled call may still be queued and starts the notification deadline.
void WatchScheduler::cancel_watches_before(const Call& call) {
  for (int place = 0; place < kWatchPlaces; ++place) {
    const Call& other = calls_[place];
    if (other.in_flight && other.is_watch() && other.started < call.started)
      cancel(static_cast<Place>(place));
  }
}

ListDecision WatchScheduler::on_response(Place place, Micros now, const ListResponse& answer) {
  Call& call = calls_[place];
  if (!std::exchange(call.in_flight, false)) return ListDecision::kIgnore;
  if (place == newest_) continues_refused_ = answer.refused && call.continues && !timing_.pushed;
  crowded_ = answer.refused || (!call.is_watch() && now - call.started > kCrowdedResponseTime);
  bool usable = answer.list && (place != kFetch || answer.whole);
  ListDecision decision = usable ? evaluate(call, now, answer) : ListDecision::kIgnore;
  // A discovery that responds at once without news does not hold watches; calling it again at once
  // would be a busy loop.
  bool idle = answer.version == version_ && call.lists_applied == lists_applied_ &&
              call.is_watch() && now - call.started < call.wait / 2;
  bool brought_news = decision != ListDecision::kIgnore && answer.version != version_;
  if (decision != ListDecision::kIgnore) ++lists_applied_;
  // A list with unusable entries does not set the version: it is requested again.
  if (decision != ListDecision::kIgnore && answer.sound) version_ = watch_version_ = answer.version;
  bool behind = usable && decision == ListDecision::kIgnore &&
                compare_versions(answer.version, version_).has_value() &&
                call.lists_applied == lists_applied_;
  if (!usable || !answer.sound || behind) {
    on_call_failed(place, now);
    return decision;
  }
  last_response_at_ = now;
  confirmed_ = true;
  if (place == kFetch) return decision;
  failures_ = 0;
  bool immediate = !call.is_watch();
  bool after_trouble = immediate && call.after_trouble;
  if (immediate) cancel_watches_before(call);
  Call& newest = calls_[newest_];
  bool later = place != newest_ && newest.in_flight;
  // A newer watch that waits for the same change is answered with it, or has fallen silent.
  if (later && brought_news && newest.is_watch() && !timing_.pushed)
    newest.deadline = std::min(newest.deadline, now + timing_.response_timeout);
  if (later && !(immediate && !newest.is_watch()))
    return decision;  // the newest call continues the watch
  // The next call follows at once: discovery treats a watch with gaps as a new one.
  newest_ = place;
  next_call_at_ = idle ? now + kUnheldWatchInterval : 0;
  next_call_reason_ = CallReason::kContinuation;
  if (!idle) start_call(place, now, timing_.wait, CallReason::kContinuation);
  call.continues = true;
  if (after_trouble) renew_within(timing_.early_renewal_age, calls_[place], now);
  renew_for_takeover(calls_[place], now);
  return decision;
}

void WatchScheduler::begin_takeover(Micros now) {
  takeover_renewals_ = kTakeoverRenewals;
  renew_for_takeover(calls_[newest_], now);
}

void WatchScheduler::renew_for_takeover(Call& watch, Micros now) {
  if (takeover_renewals_ == 0) return;
  // More calls would only lengthen the queue that they wait in.
  if (crowded_) takeover_renewals_ = 1;
  renew_within(crowded_ ? timing_.early_renewal_age : timing_.takeover_renewal_age, watch, now);
}

void WatchScheduler::renew_within(Micros age, Call& watch, Micros now) {
  if (age == 0 || !watch.in_flight || !watch.is_watch()) return;
  watch.follow_up_at = now + random_between(age * 3 / 4, age);
}

/// Makes another call beside the newest one, which is due for renewal or may be silent.
void WatchScheduler::follow_up(Micros now) {
  Call& newest = calls_[newest_];
  if (!newest.in_flight || newest.follow_up_at == 0 || now < newest.follow_up_at) return;
  if (!has_free_place()) {
    newest.follow_up_at = next_timeout();
    return;
  }
  newest.follow_up_at = 0;
  if (!newest.is_watch()) return start_watch_call(now, kImmediateWait, CallReason::kUnanswered);
  start_watch_call(now, timing_.wait, CallReason::kRenewal);
  if (takeover_renewals_ > 0) --takeover_renewals_;
  renew_for_takeover(calls_[newest_], now);
}

/// Ends a call whose time is over, or looks whether the watch has missed something.
void WatchScheduler::handle_timeout(Place place, Micros now) {
  Call& call = calls_[place];
  if (!call.is_watch() || call.overdue || timing_.pushed) {
    cancel(place);
    on_call_failed(place, now);
    return;
  }
  call.overdue = true;
  call.deadline = now + kOverdueGrace;
  if (!calls_[newest_].in_flight || calls_[newest_].is_watch()) watch(now, CallReason::kOverdue);
}

void WatchScheduler::run_due(Micros now) {
  for (int place = 0; place < kPlaces; ++place)
    if (calls_[place].in_flight && now >= calls_[place].deadline)
      handle_timeout(static_cast<Place>(place), now);
  follow_up(now);
  if (next_call_at_ > 0 && now >= next_call_at_) {
    next_call_at_ = 0;
    // Only an answer is followed by a watch where none waits. An agent may be slower than an
    // immediate call is waited for.
    // One that was refused right after a response brings what has changed since: an immediate call
    // before it would take a place of its own in a full queue.
    bool continues = next_call_reason_ == CallReason::kContinuation || continues_refused_;
    bool immediate = !continues && !has_waiting_watch() && (!timing_.pushed || failures_ == 1);
    start_call(newest_, now, immediate ? kImmediateWait : timing_.wait, next_call_reason_);
    calls_[newest_].continues = continues;
    if (std::exchange(continues_refused_, false))
      renew_within(timing_.early_renewal_age, calls_[newest_], now);
  }
  if (fetch_at_ > 0 && now >= fetch_at_) request_full_list(now);
}

std::optional<Micros> WatchScheduler::next_due() const {
  std::optional<Micros> first;
  auto at = [&](Micros time) {
    if (time > 0) first = first ? std::min(*first, time) : time;
  };
  for (const Call& call : calls_)
    if (call.in_flight) at(call.deadline);
  if (calls_[newest_].in_flight) at(calls_[newest_].follow_up_at);
  at(next_call_at_);
  at(fetch_at_);
  return first;
}

}  // namespace violetusher::core::membership
