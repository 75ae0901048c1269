#include "spec.hpp"

#include <charconv>
#include <cstdio>

namespace violetusher::standin {

const std::vector<FaultKind>& all_faults() {
  static const std::vector<FaultKind> all = [] {
    std::vector<FaultKind> kinds;
    for (int k = 0; k <= static_cast<int>(FaultKind::kCallsHalf); ++k)
      kinds.push_back(static_cast<FaultKind>(k));
    return kinds;
  }();
  return all;
}

const char* name_of(FaultKind kind) {
  switch (kind) {
    case FaultKind::kDies:
      return "dies";
    case FaultKind::kVanishes:
      return "vanishes";
    case FaultKind::kMute:
      return "accepts-never-answers";
    case FaultKind::kLate:
      return "answers-too-late";
    case FaultKind::kSlow:
      return "slow";
    case FaultKind::kErrors:
      return "errors";
    case FaultKind::kBusy:
      return "busy";
    case FaultKind::kResets:
      return "resets";
    case FaultKind::kNoise:
      return "spoilt-noise";
    case FaultKind::kEndless:
      return "spoilt-endless-line";
    case FaultKind::kLength:
      return "spoilt-length";
    case FaultKind::kOtherId:
      return "spoilt-other-id";
    case FaultKind::kSecondCopy:
      return "spoilt-second-copy";
    case FaultKind::kConnectCost:
      return "connections-dearer";
    case FaultKind::kHallCut:
      return "hall-cut-off";
    case FaultKind::kHallSlow:
      return "hall-slow";
    case FaultKind::kDrain:
      return "drains";
    case FaultKind::kReplaced:
      return "replaced";
    case FaultKind::kReportsLate:
      return "reports-late";
    case FaultKind::kDiscoveryDown:
      return "discovery-down";
    case FaultKind::kDiscoveryLate:
      return "discovery-late";
    case FaultKind::kDiscoverySilent:
      return "watches-silent";
    case FaultKind::kDiscoveryReset:
      return "watches-reset";
    case FaultKind::kDiscoverySlow:
      return "discovery-slow";
    case FaultKind::kPieces:
      return "answers-in-pieces";
    case FaultKind::kLateBody:
      return "answers-with-late-body";
    case FaultKind::kReadsSlowly:
      return "reads-slowly";
    case FaultKind::kCallsReset:
      return "calls-reset";
    case FaultKind::kCallsRefused:
      return "calls-refused";
    case FaultKind::kCallsSilent:
      return "calls-silent";
    case FaultKind::kCallsHalf:
      return "calls-half";
  }
  return "?";
}

std::string request_id(std::uint64_t request, int number) {
  char text[40];
  std::snprintf(text, sizeof text, "q%llu-%d", static_cast<unsigned long long>(request), number);
  return text;
}

bool read_request_id(const std::string& id, RequestName& name) {
  if (id.size() < 4 || id[0] != 'q') return false;
  const char *at = id.data() + 1, *end = id.data() + id.size();
  auto first = std::from_chars(at, end, name.request);
  if (first.ec != std::errc() || first.ptr == end || *first.ptr != '-') return false;
  auto second = std::from_chars(first.ptr + 1, end, name.number);
  return second.ec == std::errc() && second.ptr == end;
}

}  // namespace violetusher::standin
