// What the trails of many routers say together: who acted on which version from when to when, how
// long a change took, and what broke a rule. What no trail tells is called unknown. No I/O.
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

/// A time in which a router acted on the same versions.
struct Period {
  std::string router;
  std::uint64_t view = 0;  ///< of that process; another process counts anew
  Micros from = 0, to = 0;
  bool open = false;   ///< `to` is only the last that is known of it
  bool first = false;  ///< of its process
  ActivityRecorder::Versions versions;
  std::map<std::string, std::map<std::string, std::uint64_t>> sent;  ///< attempts, server and class
  std::map<std::string, std::uint64_t> refused;                      ///< by class

  std::uint64_t attempts() const;
};

struct Violation {
  enum class Kind {
    kSentToExcludedServer,  ///< an attempt went to a server that was to get nothing new
    kConflictingContent,    ///< one router, process and view, and two contents
  };
  Kind kind = Kind::kSentToExcludedServer;
  std::string router, server;
  std::uint64_t view = 0, count = 0;
  Micros from = 0, to = 0;
};

/// A time of which a router's trail tells nothing, or nothing that can be judged.
struct UnknownInterval {
  std::string router, why;
  Micros from = 0, to = 0;
  std::uint64_t attempts = 0;  ///< known of, under a view that is not
};

/// How a version came to a router.
struct Arrival {
  enum class Why {
    kFirst,           ///< nobody had it before
    kActedOnAnother,  ///< ran all the time, and acted on another one until then
    kDown,            ///< its process began only then, or no process of it ran at the end
    kUnknown,         ///< its trail lacks some of the time
  };
  std::string router;
  Micros after = 0;       ///< since the first router had it
  bool never = false;     ///< as far as its trail goes
  Micros last_known = 0;  ///< of the router at all
  Why why = Why::kFirst;
  std::string previous;  ///< what it acted on last before it
};
std::string_view name_of(Arrival::Why why);

class History {
 public:
  /// Each router's trail once.
  void add(const Trail& trail);

  const std::vector<Period>& periods() const { return periods_; }
  const std::vector<Violation>& violations() const { return violations_; }
  const std::vector<UnknownInterval>& unknown() const { return unknown_; }
  const std::set<std::string>& routers() const { return routers_; }

  /// Spans under that version, in the order of their beginnings.
  std::vector<const Period*> periods_with(const std::string& kind,
                                          const std::string& content) const;
  /// All of one router.
  std::vector<const Period*> periods_of(const std::string& router) const;
  /// The span of each router that holds the moment; none for those of which it is not known.
  std::vector<const Period*> periods_at(Micros time) const;
  /// When each router first had it, the last ones first; those that never had it before them. Of
  /// those that are late, why, as far as trails tell: what stopped a change on its way they don't.
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
