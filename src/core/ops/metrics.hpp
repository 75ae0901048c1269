// What the router reports of itself: counts since the start, and how it stands now.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/guard/invariants.hpp"

namespace violetusher::core::ops {

class Metrics {
 public:
  enum class Outcome { kSuccess, kOverload, kError };
  /// How things stand at the moment of a report.
  struct Gauges {
    std::size_t concurrent = 0;               ///< requests taken and not ended
    std::size_t targets = 0;                  ///< cache servers on the list
    std::size_t targets_disabled = 0;         ///< of them, those that the router avoids
    std::uint64_t dispatches = 0;             ///< attempts written whole
    std::int64_t list_age_ms = 0;             ///< since discovery last showed what the list is
    const InvariantChecker* guard = nullptr;  ///< of invariants and closes; none where null
  };

  /// A class is reported from here on, with zeros before its first request. Classes that settings
  /// drop go on being reported: their counts never fall.
  void add_class(const std::string& name);
  /// A request of the class, which add_class() has named, has ended; of another one it is nothing.
  void count(const std::string& name, Outcome end);
  void count_reload(bool accepted) { ++(accepted ? reload_success_ : reload_failure_); }

  /// One line of JSON, without its end.
  std::string json(const Gauges& now) const;

 private:
  struct Counts {
    std::uint64_t success = 0, overload = 0, error = 0;
  };
  // Files with ever new classes don't grow it for ever: beyond, new ones go unreported.
  static constexpr std::size_t kMaxClasses = 1024;
  std::map<std::string, Counts> classes_;
  std::uint64_t reload_success_ = 0, reload_failure_ = 0;
};

}  // namespace violetusher::core::ops
