// Combines the trails of many routers: which router acted on which version during which period, how
// long a change took to reach each router, and which rules were violated. Intervals that no trail
// covers are reported as unknown. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "activity_recorder.hpp"
#include "trail.hpp"

namespace violetusher::core::audit {

/// A period in which a router acted on the same versions.
struct Period {
  std::string router;
  std::uint64_t view = 0;  ///< its number; each process counts from 1
  Micros from = 0, to = 0;
  bool open = false;   ///< the end is unknown; `to` is the last time seen in it
  bool first = false;  ///< the first period of its process
  ActivityRecorder::Versions versions;
  std::map<std::string, std::map<std::string, std::uint64_t>>
      sent;                                      ///< attempts by server and type
  std::map<std::string, std::uint64_t> refused;  ///< requests by type

  /// The number of attempts to all servers.
  std::uint64_t attempts() const;
};

/// A rule that a router broke according to its own trail.
struct Violation {
  enum class Kind {
    kSentToExcludedServer,  ///< an attempt went to a server that should get no new requests
    kConflictingContent,    ///< one view number of one process stands for two sets of versions
  };
  Kind kind = Kind::kSentToExcludedServer;
  std::string router, server;
  std::uint64_t view = 0, count = 0;
  Micros from = 0, to = 0;
};

/// An interval that a router's trail does not cover, or for which it can't be checked.
struct UnknownInterval {
  std::string router, why;
  Micros from = 0, to = 0;
  std::uint64_t attempts = 0;  ///< recorded attempts whose view is unknown
};

/// When a version reached a router, and the reason for a delay.
struct Arrival {
  enum class Why {
    kFirst,           ///< no router had it earlier
    kActedOnAnother,  ///< the router was running and acted on another version until then
    kDown,            ///< its process started only then, or none was running at the end
    kUnknown,         ///< its trail does not cover the whole interval
  };
  std::string router;
  Micros after = 0;       ///< delay after the first router had it
  bool never = false;     ///< it did not have it up to the end of its trail
  Micros last_known = 0;  ///< end of what the trail tells of the router
  Why why = Why::kFirst;
  std::string previous;  ///< the version that it acted on before
};
/// The reason as it is shown to operators.
std::string_view name_of(Arrival::Why why);

/// The merged history of a fleet.
class History {
 public:
  /// Adds one router's trail; to be called once per router.
  void add(const Trail& trail);

  const std::vector<Period>& periods() const { return periods_; }
  const std::vector<Violation>& violations() const { return violations_; }
  const std::vector<UnknownInterval>& unknown() const { return unknown_; }
  const std::set<std::string>& routers() const { return routers_; }

  /// Periods with that version, ordered by start time.
  std::vector<const Period*> periods_with(const std::string& kind,
                                          const std::string& content) const;
  /// All periods of one router.
  std::vector<const Period*> periods_of(const std::string& router) const;
  /// The period of each router that contains `time`; routers for which it is unknown are left out.
  std::vector<const Period*> periods_at(Micros time) const;
  /// When each router first had the version: routers that never had it first, then the latest. The
  /// reason for a delay is given as far as trails show it; they don't show what held up a change on
  /// its way to the router.
  std::vector<Arrival> arrivals(const std::string& kind, const std::string& content) const;

 private:
  class TrailWalker;
  void set_reason(Arrival& a, const std::string& kind, const std::string& content,
                  Micros begin) const;

  std::vector<Period> periods_;
  std::vector<Violation> violations_;
  std::vector<UnknownInterval> unknown_;
  std::set<std::string> routers_;
  std::map<std::string, Micros> last_known_;
};

}  // namespace violetusher::core::audit
