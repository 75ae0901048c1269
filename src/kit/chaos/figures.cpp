#include "figures.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace violetusher::chaos {

void count(Result& result) {
  result.done = result.unknown = 0;
  result.waits.clear();
  for (const Operation& op : result.history.operations) {
    (op.end == Operation::End::kUnknown ? result.unknown : result.done) += 1;
    if (op.end == Operation::End::kDone) result.waits.push_back(op.answered - op.asked);
  }
  std::sort(result.waits.begin(), result.waits.end());
}

std::vector<Micros> spread(const History& history, int routers) {
  std::map<std::string, std::vector<const Sight*>> by_router;
  std::set<std::uint64_t> positions;
  for (const Sight& s : history.sights) {
    by_router[s.router].push_back(&s);
    positions.insert(s.position);
  }
  std::vector<Micros> out;
  if (by_router.size() < static_cast<std::size_t>(routers)) return out;
  std::map<std::string, std::size_t> at;
  for (std::uint64_t p : positions) {
    Micros first = 0, last = 0;
    bool all = true;
    for (const auto& [name, sights] : by_router) {
      std::size_t& i = at[name];
      while (i < sights.size() && sights[i]->position < p) ++i;
      if (i == sights.size()) {
        all = false;
        break;
      }
      first = first == 0 ? sights[i]->at : std::min(first, sights[i]->at);
      last = std::max(last, sights[i]->at);
    }
    if (all) out.push_back(last - first);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<Micros> answered_again(const Result& result) {
  std::vector<Micros> out;
  for (const Fault& f : result.played) {
    Micros first = -1;
    for (const Operation& op : result.history.operations)
      if (op.end == Operation::End::kDone && op.asked >= f.at && (first < 0 || op.answered < first))
        first = op.answered;
    if (first >= 0) out.push_back(first - f.at);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<Micros> caught_up(const Result& result) {
  std::vector<Micros> out;
  using Kind = Fault::Kind;
  for (const Fault& f : result.played) {
    if (!kills(f.kind) && f.kind != Kind::kStop && f.kind != Kind::kFreeze) continue;
    std::string name = "r" + std::to_string(f.a + 1);
    std::pair<std::uint64_t, std::uint64_t> newest{0, 0};
    for (const Sight& s : result.history.sights)
      if (s.at <= f.until) newest = std::max(newest, {s.epoch, s.position});
    for (const Sight& s : result.history.sights) {
      if (s.router != name || s.at < f.until || std::pair(s.epoch, s.position) < newest) continue;
      out.push_back(s.at - f.until);
      break;
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

Micros quantile(const std::vector<Micros>& sorted, double q) {
  if (sorted.empty()) return 0;
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(sorted.size())))];
}

}  // namespace violetusher::chaos
