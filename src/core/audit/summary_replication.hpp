// Who keeps what a router last said of itself, so that of a machine that is lost with its disk it
// is known what it acted on, up to a stated age. Each router sends a summary to a few others, of
// other halls first, each of which holds the last one in memory; whoever looks asks all that are
// left. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace violetusher::core::audit {

using Json = nlohmann::json;
using Micros = std::int64_t;

class SummaryReplication {
 public:
  static constexpr Micros kInterval = 2'000'000;        ///< between two summaries to the same one
  static constexpr int kMaxUnanswered = 3;              ///< then the next one takes its place
  static constexpr Micros kExclusionTime = 30'000'000;  ///< before it is tried again
  static constexpr std::size_t kMaxSummaryBytes = 16 << 10;  ///< of a summary
  /// Of summaries held; by the order of names each router holds few more than it sends.
  static constexpr std::size_t kMaxStored = 64;
  /// The last that a life of a router said that has ended: another disk under its name.
  static constexpr std::size_t kMaxFormer = 64;

  /// `peers`: the other routers and their halls. `count`: how many are to hold its summary.
  SummaryReplication(const std::string& name, const std::string& zone,
                     const std::map<std::string, std::string>& peers, std::size_t count);

  /// Whom to send a summary now, none most of the time.
  std::vector<std::string> next_targets(Micros now);
  /// One that it was sent to has it.
  void acknowledge(const std::string& holder);

  /// Another router's summary: `identity` of its disk, and `number`, which grows while it has that
  /// disk. False where it is not held: too large, older than the one that is, or none can be.
  bool store(const std::string& router, std::uint64_t identity, std::uint64_t number, Json summary,
             Micros now);
  /// By router {"age_us", "said"}: in "now" what is held, in "former" of lives that have ended.
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
  std::vector<Target> ranked_;  // by this router's rank of them
  Micros phase_ = 0, next_ = -1;
  std::map<std::string, StoredSummary> current_, former_;
};

}  // namespace violetusher::core::audit
