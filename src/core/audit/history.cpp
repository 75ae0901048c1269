#include "history.hpp"

#include <algorithm>

namespace violetusher::core::audit {

/// Reads one trail block by block and adds its periods, violations and unknown intervals.
class History::TrailWalker {
 public:
  TrailWalker(History& h, const std::string& router) : h_(h), router_(router) {}

  void consume(const Block& b) {
    // Blocks come from a disk and may have any content: one of an unexpected shape is skipped and
    // makes the interval unknown.
    if (!b.body.is_object())
      return mark_unknown("block " + std::to_string(b.number) + " can't be read");
    try {
      const std::string kind = b.body.value("k", "");
      if (b.number != next_ && next_ > 0) mark_unknown("blocks are missing");
      next_ = b.number + 1;
      if (kind == "file" && b.body.value("why", "") == "start") on_process_start();
      if (kind == "gap") on_gap(b.body);
      if (kind == "view") on_view(b.body);
      if (kind == "did") on_activity(b.body);
    } catch (const Json::exception&) {
      mark_unknown("block " + std::to_string(b.number) + " can't be read");
    }
  }

  void end() {
    if (period_) h_.periods_.push_back(std::move(*period_));
    period_.reset();
    h_.last_known_[router_] = std::max(h_.last_known_[router_], last_);
  }

 private:
  /// Activity up to the next full view can't be checked.
  void mark_unknown(const std::string& why) {
    close_period(last_, true);
    if (serving_known_) h_.unknown_.push_back({router_, why, last_, last_, 0});
    serving_known_ = false;
  }

  void close_period(Micros at, bool open) {
    if (!period_) return;
    period_->to = std::max(period_->to, at);
    period_->open = open;
    h_.periods_.push_back(std::move(*period_));
    period_.reset();
  }

  void on_process_start() {
    close_period(last_, true);
    serving_known_ = false, view_ = 0, first_view_of_process_ = true;
    serving_.clear();
    views_seen_.clear();
  }

  void on_gap(const Json& b) {
    mark_unknown(b.value("why", ""));
    if (!h_.unknown_.empty()) h_.unknown_.back().to = b.value("to", last_);
    last_ = std::max(last_, b.value("to", last_));
  }

  void on_view(const Json& b) {
    Micros at = b.at("at");
    std::uint64_t number = b.at("view");
    auto versions = b.at("versions").get<ActivityRecorder::Versions>();
    bool all = b.value("all", false);
    if (!all && serving_known_ && number != view_ + 1) mark_unknown("views are missing");
    auto [seen, fresh] = views_seen_.emplace(number, versions);
    if (!fresh && seen->second != versions)
      h_.violations_.push_back(
          {Violation::Kind::kConflictingContent, router_, "", number, 1, at, at});
    close_period(at, false);
    if (!serving_known_ && all && !h_.unknown_.empty() && h_.unknown_.back().router == router_)
      h_.unknown_.back().to = at;
    if (all) serving_.clear();
    serving_known_ |= all;
    for (const std::string& id : b.value("in", std::vector<std::string>())) serving_.insert(id);
    for (const std::string& id : b.value("out", std::vector<std::string>())) serving_.erase(id);
    view_ = number;
    last_ = std::max(last_, at);
    period_ =
        Period{router_, number, at, at, true, first_view_of_process_, std::move(versions), {}, {}};
    first_view_of_process_ = false;
  }

  void on_activity(const Json& b) {
    std::uint64_t number = b.at("view");
    Micros from = b.at("from"), to = b.at("to");
    auto sent = b.at("sent").get<decltype(Period::sent)>();
    auto refused = b.at("refused").get<decltype(Period::refused)>();
    last_ = std::max(last_, to);
    if (!period_ || period_->view != number) {
      UnknownInterval u{router_, "done under a view that is not known", from, to, 0};
      for (const auto& [server, types] : sent)
        for (const auto& [type, count] : types) u.attempts += count;
      h_.unknown_.push_back(u);
      return;
    }
    for (const auto& [server, types] : sent) {
      std::uint64_t all = 0;
      for (const auto& [type, count] : types) period_->sent[server][type] += count, all += count;
      if (serving_known_ && !serving_.count(server))
        h_.violations_.push_back(
            {Violation::Kind::kSentToExcludedServer, router_, server, number, all, from, to});
    }
    for (const auto& [type, count] : refused) period_->refused[type] += count;
    period_->to = std::max(period_->to, to);
  }

  History& h_;
  std::string router_;
  std::optional<Period> period_;
  std::set<std::string> serving_;
  std::map<std::uint64_t, ActivityRecorder::Versions> views_seen_;  // of this process
  std::uint64_t view_ = 0, next_ = 0;
  Micros last_ = 0;
  bool first_view_of_process_ = false;  // the next view is the first one of its process
  bool serving_known_ = false;          // `serving_` is complete
};

std::string_view name_of(Arrival::Why why) {
  constexpr std::string_view kNames[] = {"first", "acted-on-another", "down", "unknown"};
  return kNames[static_cast<int>(why)];
}

std::uint64_t Period::attempts() const {
  std::uint64_t sum = 0;
  for (const auto& [server, types] : sent)
    for (const auto& [type, count] : types) sum += count;
  return sum;
}

void History::add(const Trail& trail) {
  routers_.insert(trail.router);
  TrailWalker walker(*this, trail.router);
  for (const Block& b : trail.blocks) walker.consume(b);
  walker.end();
}

std::vector<const Period*> History::periods_with(const std::string& kind,
                                                 const std::string& content) const {
  std::vector<const Period*> found;
  for (const Period& s : periods_) {
    auto v = s.versions.find(kind);
    if (v != s.versions.end() && v->second == content) found.push_back(&s);
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const Period* a, const Period* b) { return a->from < b->from; });
  return found;
}

std::vector<const Period*> History::periods_of(const std::string& router) const {
  std::vector<const Period*> found;
  for (const Period& s : periods_)
    if (s.router == router) found.push_back(&s);
  return found;
}

void History::set_reason(Arrival& a, const std::string& kind, const std::string& content,
                         Micros begin) const {
  if (!a.never && a.after == 0) return;
  Micros end = a.never ? a.last_known : begin + a.after;
  bool before = false, began = false;  // acted on another version; a process started with this one
  for (const Period* s : periods_of(a.router)) {
    auto v = s->versions.find(kind);
    if (v == s->versions.end()) continue;
    if (v->second == content) {
      began = s->first;
      break;
    }
    before = true;
    a.previous = v->second;
  }
  bool unknown = std::any_of(unknown_.begin(), unknown_.end(), [&](const UnknownInterval& u) {
    return u.router == a.router && u.from <= end && u.to >= begin;
  });
  // A router whose trail ends before any router had the version was down when it was published.
  bool gone = a.never && a.last_known < begin;
  a.why = began || gone || !before ? Arrival::Why::kDown
          : unknown                ? Arrival::Why::kUnknown
                                   : Arrival::Why::kActedOnAnother;
}

std::vector<const Period*> History::periods_at(Micros time) const {
  std::map<std::string, const Period*> found;
  for (const Period& s : periods_)
    if (s.from <= time && (time < s.to || (s.open && time == s.to))) found[s.router] = &s;
  std::vector<const Period*> out;
  for (const auto& [router, period] : found) out.push_back(period);
  return out;
}

std::vector<Arrival> History::arrivals(const std::string& kind, const std::string& content) const {
  std::map<std::string, Micros> first;
  for (const Period* s : periods_with(kind, content)) first.emplace(s->router, s->from);
  std::vector<Arrival> out;
  if (first.empty()) return out;
  Micros begin = std::min_element(first.begin(), first.end(), [](auto& a, auto& b) {
                   return a.second < b.second;
                 })->second;
  for (const std::string& router : routers_) {
    auto at = first.find(router);
    auto known = last_known_.find(router);
    Arrival a{router,
              at == first.end() ? 0 : at->second - begin,
              at == first.end(),
              known == last_known_.end() ? 0 : known->second,
              Arrival::Why::kFirst,
              {}};
    set_reason(a, kind, content, begin);
    out.push_back(std::move(a));
  }
  std::stable_sort(out.begin(), out.end(), [](const Arrival& a, const Arrival& b) {
    return std::make_pair(a.never, a.after) > std::make_pair(b.never, b.after);
  });
  return out;
}

}  // namespace violetusher::core::audit
