#include "summary_replication.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "core/ledger/bytes.hpp"

namespace violetusher::core::audit {
namespace {

/// The entry with the oldest update.
template <typename Map>
auto oldest(Map& all) {
  return std::min_element(all.begin(), all.end(),
                          [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
}

}  // namespace

SummaryReplication::SummaryReplication(const std::string& name, const std::string& zone,
                                       const std::map<std::string, std::string>& peers,
                                       std::size_t count)
    : zone_(zone), count_(count) {
  std::vector<std::pair<std::uint64_t, Target>> ranked;
  for (const auto& [peer, where] : peers)
    if (peer != name) ranked.push_back({ledger::digest(peer, ledger::digest(name)), {peer, where}});
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second.name) < std::tie(b.first, b.second.name);
  });
  for (auto& [rank, target] : ranked) ranked_.push_back(std::move(target));
  // Spreads the sending times of routers that start at the same moment.
  phase_ = static_cast<Micros>(ledger::digest(name) % kInterval);
}

std::vector<std::string> SummaryReplication::next_targets(Micros now) {
  if (next_ < 0) next_ = now + phase_;
  if (count_ == 0 || now < next_) return {};
  // After a stall the missed summaries are not sent in a burst.
  next_ = std::max(next_ + kInterval, now + kInterval / 2);
  std::vector<Target*> chosen;
  std::set<std::string> zones{zone_};
  // Prefer targets in zones without one, then the highest ranked; targets that do not answer are
  // used only if there are too few others.
  for (int round = 0; round < 4; ++round)
    for (Target& p : ranked_) {
      if (chosen.size() >= count_) break;
      bool excluded = now < p.excluded_until, other = !zones.count(p.zone);
      if (excluded != (round >= 2) || (round % 2 == 0 && !other) ||
          std::find(chosen.begin(), chosen.end(), &p) != chosen.end())
        continue;
      chosen.push_back(&p);
      zones.insert(p.zone);
    }
  std::vector<std::string> names;
  for (Target* p : chosen) {
    names.push_back(p->name);
    if (++p->unanswered <= kMaxUnanswered) continue;
    p->excluded_until = now + kExclusionTime;
    p->unanswered = 0;
  }
  return names;
}

void SummaryReplication::acknowledge(const std::string& holder) {
  for (Target& p : ranked_)
    if (p.name == holder) p.unanswered = 0, p.excluded_until = 0;
}

bool SummaryReplication::store(const std::string& router, std::uint64_t identity,
                               std::uint64_t number, Json summary, Micros now) {
  if (summary.dump(-1, ' ', false, Json::error_handler_t::replace).size() > kMaxSummaryBytes)
    return false;
  auto at = current_.find(router);
  if (at == current_.end()) {
    if (current_.size() >= kMaxStored) current_.erase(oldest(current_));
    at = current_.emplace(router, StoredSummary{identity, 0, {}, now}).first;
  } else if (at->second.identity != identity) {
    if (former_.size() >= kMaxFormer && !former_.count(router)) former_.erase(oldest(former_));
    former_[router] = std::move(at->second);
    at->second = StoredSummary{identity, 0, {}, now};
  } else if (number <= at->second.number) {
    return false;
  }
  at->second.number = number;
  at->second.summary = std::move(summary);
  at->second.at = now;
  return true;
}

Json SummaryReplication::json(const StoredSummary& stored, Micros now) {
  return {{"age_us", now - stored.at}, {"said", stored.summary}};
}

Json SummaryReplication::stored(Micros now) const {
  Json now_held = Json::object(), former = Json::object();
  for (const auto& [name, held] : current_) now_held[name] = json(held, now);
  for (const auto& [name, held] : former_) former[name] = json(held, now);
  return {{"now", now_held}, {"former", former}};
}

}  // namespace violetusher::core::audit
