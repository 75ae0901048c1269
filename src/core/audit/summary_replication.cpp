#include "summary_replication.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "core/ledger/bytes.hpp"

namespace violetusher::core::audit {
namespace {

/// The one that was heard of longest ago.
template <typename Map>
auto oldest(Map& all) {
  return std::min_element(all.begin(), all.end(),
                          [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
}

}  // namespace

Witnesses::Witnesses(const std::string& name, const std::string& zone,
                     const std::map<std::string, std::string>& peers, std::size_t count)
    : hall_(zone), count_(count) {
  std::vector<std::pair<std::uint64_t, Place>> ranked;
  for (const auto& [peer, where] : peers)
    if (peer != name) ranked.push_back({ledger::digest(peer, ledger::digest(name)), {peer, where}});
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second.name) < std::tie(b.first, b.second.name);
  });
  for (auto& [rank, place] : ranked) order_.push_back(std::move(place));
  // Routers that start together don't send together.
  phase_ = static_cast<Micros>(ledger::digest(name) % kEvery);
}

std::vector<std::string> Witnesses::due(Micros now) {
  if (next_ < 0) next_ = now + phase_;
  if (count_ == 0 || now < next_) return {};
  // One that was frozen does not make up for what it did not send.
  next_ = std::max(next_ + kEvery, now + kEvery / 2);
  std::vector<Place*> chosen;
  std::set<std::string> halls{hall_};
  // First each from a hall that has none, then whoever ranks first; of those that do not answer
  // only where there are too few others.
  for (int round = 0; round < 4; ++round)
    for (Place& p : order_) {
      if (chosen.size() >= count_) break;
      bool passed = now < p.passed_until, other = !halls.count(p.zone);
      if (passed != (round >= 2) || (round % 2 == 0 && !other) ||
          std::find(chosen.begin(), chosen.end(), &p) != chosen.end())
        continue;
      chosen.push_back(&p);
      halls.insert(p.zone);
    }
  std::vector<std::string> names;
  for (Place* p : chosen) {
    names.push_back(p->name);
    if (++p->unanswered <= kUnanswered) continue;
    p->passed_until = now + kPassedOver;
    p->unanswered = 0;
  }
  return names;
}

void Witnesses::held_by(const std::string& witness) {
  for (Place& p : order_)
    if (p.name == witness) p.unanswered = 0, p.passed_until = 0;
}

bool Witnesses::hold(const std::string& router, std::uint64_t identity, std::uint64_t number,
                     Json summary, Micros now) {
  if (summary.dump(-1, ' ', false, Json::error_handler_t::replace).size() > kMostBytes)
    return false;
  auto at = held_.find(router);
  if (at == held_.end()) {
    if (held_.size() >= kMostHeld) held_.erase(oldest(held_));
    at = held_.emplace(router, Held{identity, 0, {}, now}).first;
  } else if (at->second.identity != identity) {
    if (former_.size() >= kMostFormer && !former_.count(router)) former_.erase(oldest(former_));
    former_[router] = std::move(at->second);
    at->second = Held{identity, 0, {}, now};
  } else if (number <= at->second.number) {
    return false;
  }
  at->second.number = number;
  at->second.said = std::move(summary);
  at->second.at = now;
  return true;
}

Json Witnesses::json(const Held& held, Micros now) {
  return {{"age_us", now - held.at}, {"said", held.said}};
}

Json Witnesses::held(Micros now) const {
  Json now_held = Json::object(), former = Json::object();
  for (const auto& [name, held] : held_) now_held[name] = json(held, now);
  for (const auto& [name, held] : former_) former[name] = json(held, now);
  return {{"now", now_held}, {"former", former}};
}

}  // namespace violetusher::core::audit
