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

Probation::Probation(std::uint64_t self, const LogPosition& own, const Voters& own_voters,
                     std::size_t wanted, std::size_t routers)
    : self_(self), own_(own), floor_(own) {
  count(own_voters);
  if (own_voters.identities.size() < wanted) routers_ = (routers + 1) / 2;
  if (mutant(Mutant::kOldDiskTrusted)) needed_ = routers_ = 0;
}

void Probation::count(const Voters& voters) {
  voters_ = voters;
  std::size_t n = voters.identities.size(), majority = n / 2 + 1;
  std::size_t others = n - voters.identities.count(self_);
  needed_ = n == 0 ? 0 : std::min(n - majority + 1, others);
}

void Probation::heard(std::uint64_t from, const Answer& answer) {
  if (own_.behind(answer.of_this_one)) old_ = true;
  floor_.raise(answer.theirs);
  answered_.insert(from);
  if (answer.voters.index > voters_.index) count(answer.voters);
}

Probation::Verdict Probation::verdict() const {
  if (old_ && !mutant(Mutant::kOldDiskTrusted)) return Verdict::kOldDisk;
  auto voters = static_cast<std::size_t>(
      std::count_if(answered_.begin(), answered_.end(),
                    [this](std::uint64_t id) { return voters_.identities.count(id) > 0; }));
  bool enough = voters >= needed_ && answered_.size() >= routers_;
  return vouched_ || enough ? Verdict::kCleared : Verdict::kWait;
}

}  // namespace violetusher::core::ledger
