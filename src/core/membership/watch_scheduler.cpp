#include "watch_scheduler.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace violetusher::core::membership {
namespace {

constexpr Micros kSecond = 1'000'000;
// A watch that has not ended with its wait is kept for so long beside the call that brings what it
// missed.
constexpr Micros kKeepOverdue = 3 * kSecond;
// Whole lists in a row, each asked for anew, that are older than what is held, after which
// discovery is taken to count from anew, as one that was restored does.
constexpr int kOlderBelieved = 3;
// After this a doubted list is asked for again, and believed: changes reach discovery in seconds.
constexpr Micros kConfirm = 30 * kSecond;
constexpr int kMostDoublings = 8;
// Single fetches: an answer has this long, whatever watches are given, and so many are tried.
constexpr Micros kFetchLimit = 3 * kSecond + kSecond / 2;
// The list of a discovery that has just been moved to counts as told in 4 s, and the first call may
// be lost: after this a second one is made beside it, which may wait for its turn meanwhile.
constexpr Micros kDoubleWhole = 2 * kSecond;
constexpr int kFetchTries = 5;
// After so many failures in a row a router that insists also asks with kFetchLimit, as an agent
// that is slow would else never be heard.
constexpr int kSlowAfter = 4;
// A watch goes on where its next call comes within 200 ms of the last answer.
constexpr Micros kIdlePause = kSecond / 10;

std::optional<std::uint64_t> number(const std::string& text) {
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::optional<int> compare_versions(const std::string& a, const std::string& b) {
  auto x = number(a), y = number(b);
  if (!x || !y) return std::nullopt;
  return *x < *y ? -1 : *x > *y;
}

WatchScheduler::WatchScheduler(Port& port, const WatchTiming& terms, const std::string& held,
                               std::uint64_t seed)
    : port_(port), terms_(terms), held_(held), index_(held), rng_(seed) {}

Micros WatchScheduler::drawn(Micros from, Micros to) {
  rng_ = rng_ * 6364136223846793005ULL + 1442695040888963407ULL;  // Knuth's MMIX generator
  double part = static_cast<double>(rng_ >> 40) / static_cast<double>(1 << 24);
  return from + static_cast<Micros>(part * static_cast<double>(to - from));
}

void WatchScheduler::open(Place place, Micros now, Micros wait) {
  Call& call = calls_[place];
  if (index_.empty() || place == kFetch) wait = 0;
  // Nor are those that end in silence to be made up for together.
  if (wait > kAtOnce) wait = drawn(wait - (terms_.renew_to - terms_.renew_from), wait);
  call.out = true;
  call.overdue = false;
  call.began = now;
  call.wait = wait;
  call.ends = now + wait +
              (place == kFetch  ? kFetchLimit
               : wait > kAtOnce ? terms_.limit
                                : terms_.limit_at_once);
  call.renew = 0;
  if (wait > kAtOnce && terms_.renew_to > 0)
    call.renew = now + drawn(terms_.renew_from, terms_.renew_to);
  if (index_.empty() && place != kFetch && !terms_.always_retries) call.renew = now + kDoubleWhole;
  call.lists = lists_;
  ++made_;
  port_.start(place, place == kFetch ? std::string() : index_, wait);
}

void WatchScheduler::cancel(Place place) {
  if (!calls_[place].out) return;
  calls_[place].out = false;
  port_.cancel(place);
}

/// Another call of the watch, beside those that are out.
void WatchScheduler::begin(Micros now, Micros wait) {
  retry_at_ = 0;
  auto freer = [&](int a, int b) {
    return calls_[a].out != calls_[b].out ? !calls_[a].out
                                          : calls_[a].out && calls_[a].began < calls_[b].began;
  };
  newest_ = kWatch0;
  for (Place place : {kWatch1, kWatch2})
    if (freer(place, newest_)) newest_ = place;
  cancel(newest_);
  open(newest_, now, wait);
}

void WatchScheduler::fetch(Micros now) {
  fetch_failures_ = 0;
  ask_whole(now);
}

void WatchScheduler::ask_whole(Micros now) {
  fetch_at_ = 0;
  cancel(kFetch);
  open(kFetch, now, 0);
}

void WatchScheduler::change_address(Micros now) {
  stop();
  index_.clear();
  moved_ = true;
  older_ = failures_ = 0;
  watch(now);
}

void WatchScheduler::stop() {
  for (int place = 0; place < kPlaces; ++place) cancel(static_cast<Place>(place));
  retry_at_ = fetch_at_ = 0;
}

Micros WatchScheduler::pause(int failures) {
  Micros mean = std::min(terms_.pause << std::min(failures, kMostDoublings), terms_.pause_most);
  return drawn(mean / 2, mean + mean / 2);
}

void WatchScheduler::retry(Micros now) {
  retry_at_ = now + pause(failures_++);
  if (terms_.always_retries && failures_ % kSlowAfter == 0 && !calls_[kFetch].out) fetch(now);
}

/// The call has failed, or nothing came of it.
void WatchScheduler::lost(Place place, Micros now) {
  calls_[place].out = false;
  if (place == kFetch) {
    if (++fetch_failures_ < kFetchTries) fetch_at_ = now + pause(fetch_failures_);
    return;
  }
  if (place == newest_ && (terms_.always_retries || any_watch())) {
    retry(now);
  } else if (calls_[newest_].out) {
    // What ended an older one may have silenced the newest as well, and from here what that misses
    // counts as told long before it is renewed.
    if (calls_[newest_].wait > kAtOnce) watch(now);
  } else if (!any_watch()) {
    retry_at_ = 0;
    port_.on_watch_lost();
  }
}

/// Answers come out of order, and an old one must bring nobody back. Versions that are no numbers
/// are compared by when their calls were made.
ListDecision WatchScheduler::judge(const Call& call, Micros now, const ListResponse& answer) {
  auto order = compare_versions(answer.version, held_);
  bool older = order ? *order < 0 : answer.whole && call.lists != lists_;
  if (!older) {
    older_ = 0;
    moved_ = false;
    return ListDecision::kApply;
  }
  // An answer that was overtaken by another; or discovery itself is behind.
  if (!moved_ && (!order || call.lists != lists_)) return ListDecision::kIgnore;
  if (!answer.whole) {
    index_.clear();  // the next call shows all of what it has
    return ListDecision::kIgnore;
  }
  if (!moved_ && ++older_ < kOlderBelieved) return ListDecision::kIgnore;
  older_ = 0;
  moved_ = false;
  fetch_failures_ = 0;
  fetch_at_ = now + kConfirm;
  return ListDecision::kApplyUnconfirmed;
}

ListDecision WatchScheduler::on_response(Place place, Micros now, const ListResponse& answer) {
  Call& call = calls_[place];
  if (!std::exchange(call.out, false)) return ListDecision::kIgnore;
  bool wanted = answer.list && (place != kFetch || answer.whole);
  ListDecision take = wanted ? judge(call, now, answer) : ListDecision::kIgnore;
  // One that answers at once though nothing is new does not hold watches, and would be asked in a
  // busy loop.
  Micros wait = call.wait;
  bool idle = answer.version == held_ && call.lists == lists_ && wait > kAtOnce &&
              now - call.began < wait / 2;
  if (take != ListDecision::kIgnore) ++lists_;
  // A list of which a part can't be used is not held as that version: it is asked for again.
  if (take != ListDecision::kIgnore && answer.sound) held_ = index_ = answer.version;
  bool behind = wanted && take == ListDecision::kIgnore &&
                compare_versions(answer.version, held_).has_value() && call.lists == lists_;
  if (!wanted || !answer.sound || behind) {
    lost(place, now);
    return take;
  }
  heard_at_ = now;
  if (place == kFetch) return take;
  failures_ = 0;
  bool at_once = call.wait <= kAtOnce;
  // What was out before may be silent, and has missed nothing that this one did not bring.
  if (at_once)
    for (Place other : {kWatch0, kWatch1, kWatch2})
      if (calls_[other].out && calls_[other].began < call.began) cancel(other);
  bool later = place != newest_ && calls_[newest_].out;
  if (later && !(at_once && calls_[newest_].wait <= kAtOnce)) return take;  // the newest goes on
  // The next call at once: a watch with gaps is a new one.
  newest_ = place;
  retry_at_ = idle ? now + kIdlePause : 0;
  if (!idle) open(place, now, terms_.wait);
  return take;
}

void WatchScheduler::run_due(Micros now) {
  for (Place place : {kWatch0, kWatch1, kWatch2, kFetch}) {
    Call& call = calls_[place];
    if (!call.out || now < call.ends) continue;
    if (call.wait > kAtOnce && !call.overdue && !terms_.always_retries) {
      call.overdue = true;
      call.ends = now + kKeepOverdue;
      if (!calls_[newest_].out || calls_[newest_].wait > kAtOnce) watch(now);
      continue;
    }
    cancel(place);
    lost(place, now);
  }
  if (calls_[newest_].out && calls_[newest_].renew > 0 && now >= calls_[newest_].renew) {
    calls_[newest_].renew = 0;
    begin(now, terms_.wait);
  }
  if (retry_at_ > 0 && now >= retry_at_) {
    retry_at_ = 0;
    bool silence = std::any_of(calls_.begin(), calls_.end(),
                               [](const Call& call) { return call.out && call.overdue; });
    open(newest_, now, silence ? kAtOnce : terms_.wait);
  }
  if (fetch_at_ > 0 && now >= fetch_at_) ask_whole(now);
}

std::optional<Micros> WatchScheduler::next_due() const {
  std::optional<Micros> first;
  auto at = [&](Micros time) {
    if (time > 0) first = first ? std::min(*first, time) : time;
  };
  for (const Call& call : calls_)
    if (call.out) at(call.ends);
  if (calls_[newest_].out) at(calls_[newest_].renew);
  at(retry_at_);
  at(fetch_at_);
  return first;
}

}  // namespace violetusher::core::membership
