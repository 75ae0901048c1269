// Replicates each router's status summary to a few other routers, so that it is still known what a
// machine acted on, up to a stated age, after it is lost with its disk. Each router sends its
// summary to a few others, preferably in other zones, which hold the latest one in memory; a reader
// asks all remaining routers. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace violetusher::core::audit {

using Json = nlohmann::json;
using Micros = std::int64_t;

/// Chooses the routers that hold this router's summary, and holds the summaries of others.
class SummaryReplication {
 public:
  static constexpr Micros kInterval = 2'000'000;        ///< between two summaries
  static constexpr int kMaxUnanswered = 3;              ///< then another target takes its place
  static constexpr Micros kExclusionTime = 30'000'000;  ///< before such a target is tried again
  static constexpr std::size_t kMaxSummaryBytes = 16 << 10;  ///< size of a summary
  /// Summaries held. Targets are ranked by hash, so each router holds few more than it sends.
  static constexpr std::size_t kMaxStored = 64;
  /// Last summaries held of former identities of routers, replaced by another disk under the same
  /// name.
  static constexpr std::size_t kMaxFormer = 64;

  /// `peers`: the other routers and their zones. `count`: how many of them hold the summary.
  SummaryReplication(const std::string& name, const std::string& zone,
                     const std::map<std::string, std::string>& peers, std::size_t count);

  /// The routers to send a summary to now; empty between two intervals.
  std::vector<std::string> next_targets(Micros now);
  /// A target has confirmed that it holds the summary.
  void acknowledge(const std::string& holder);

  /// Stores another router's summary. `identity` is that of its disk; `number` increases as long as
  /// it has that disk. False if it is not stored: it is too large, or not newer than the stored
  /// one.
  bool store(const std::string& router, std::uint64_t identity, std::uint64_t number, Json summary,
             Micros now);
  /// {"age_us", "said"} by router: "now" has the current identities, "former" the replaced ones.
  Json stored(Micros now) const;

 private:
  struct Target {
    std::string name, zone;
    int unanswered = 0;
    Micros excluded_until = 0;
  };
  struct StoredSummary {
    std::uint64_t identity = 0, number = 0;
    Json summary;
    Micros at = 0;
  };
  static Json json(const StoredSummary& stored, Micros now);

  std::string zone_;
  std::size_t count_;
  std::vector<Target> ranked_;  // by this router's hash rank
  Micros phase_ = 0, next_ = -1;
  std::map<std::string, StoredSummary> current_, former_;
};

}  // namespace violetusher::core::audit
