#include "rejoin_check.hpp"

#include <algorithm>

#include "mutants.hpp"

namespace violetusher::core::ledger {

void LogPosition::raise(const LogPosition& o) {
  term = std::max(term, o.term);
  if (log_before(o)) std::tie(last_term, last_index) = std::tie(o.last_term, o.last_index);
}

LogPosition LogPosition::parse(const Json& v) {
  if (!v.is_array() || v.size() != 3) return {};
  for (const Json& part : v)
    if (!part.is_number_unsigned()) return {};
  return {v[0], v[1], v[2]};
}

RejoinCheck::RejoinCheck(std::uint64_t self, const LogPosition& own, const Voters& own_voters,
                         std::size_t target_voters, std::size_t routers)
    : self_(self), own_(own), floor_(own) {
  set_voters(own_voters);
  if (own_voters.identities.size() < target_voters) needed_routers_ = (routers + 1) / 2;
  if (mutant(Mutant::kOldDiskTrusted)) needed_voters_ = needed_routers_ = 0;
}

void RejoinCheck::set_voters(const Voters& voters) {
  voters_ = voters;
  std::size_t n = voters.identities.size(), majority = n / 2 + 1;
  std::size_t others = n - voters.identities.count(self_);
  needed_voters_ = n == 0 ? 0 : std::min(n - majority + 1, others);
}

void RejoinCheck::add_answer(std::uint64_t from, const Answer& answer) {
  if (own_.behind(answer.asker)) stale_ = true;
  floor_.raise(answer.position);
  answered_.insert(from);
  if (answer.voters.index > voters_.index) set_voters(answer.voters);
}

RejoinCheck::Verdict RejoinCheck::verdict() const {
  if (stale_ && !mutant(Mutant::kOldDiskTrusted)) return Verdict::kStaleDisk;
  auto voters = static_cast<std::size_t>(
      std::count_if(answered_.begin(), answered_.end(),
                    [this](std::uint64_t id) { return voters_.identities.count(id) > 0; }));
  bool enough = voters >= needed_voters_ && answered_.size() >= needed_routers_;
  return vouched_ || enough ? Verdict::kCleared : Verdict::kWait;
}

}  // namespace violetusher::core::ledger
