// Metrics of the router: counters since the start, and gauges.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/guard/invariants.hpp"
#include "core/guard/server_closes.hpp"
#include "core/membership/call_counts.hpp"

namespace violetusher::core::ops {

/// Counts the ends of requests by class and formats the report.
class Metrics {
 public:
  /// How a request ended.
  enum class Outcome { kSuccess, kOverload, kError };
  /// Values at the moment of a report.
  struct Gauges {
    std::size_t concurrent = 0;        ///< requests in progress
    std::size_t targets = 0;           ///< cache servers on the list
    std::size_t targets_disabled = 0;  ///< of them, those that the router does not use
    std::uint64_t dispatches = 0;      ///< attempts written in full
    std::int64_t list_age_ms = 0;      ///< since discovery last confirmed the list
    std::string list_version;          ///< as discovery named it
    const membership::CallCounts* discovery_calls = nullptr;  ///< left out if null
    std::size_t client_buffer_bytes = 0;                      ///< buffered for all clients now
    std::size_t client_buffer_peak_bytes = 0;                 ///< the most so far
    std::size_t server_buffer_bytes = 0;                      ///< buffered for all servers now
    std::size_t server_buffer_peak_bytes = 0;                 ///< the most so far
    std::size_t request_bytes = 0;                            ///< commands of open requests
    std::size_t heap_used_bytes = 0;                          ///< allocated by the process now
    std::size_t heap_free_bytes = 0;          ///< freed, but not given back to the system
    const InvariantChecker* guard = nullptr;  ///< counts of invariants and closes; left out if null
    const ServerCloseCounts* server_closes = nullptr;  ///< left out if null
  };

  /// Reports a class from now on, with zeros before its first request. Classes that settings drop
  /// are still reported, so that their counters never decrease.
  void add_class(const std::string& name);
  /// Counts the end of a request; ignored for a class that add_class() has not named.
  void count(const std::string& name, Outcome end);
  void count_reload(bool accepted) { ++(accepted ? reload_success_ : reload_failure_); }

  /// One line of JSON, without its end.
  std::string json(const Gauges& now) const;

 private:
  struct Counts {
    std::uint64_t success = 0, overload = 0, error = 0;
  };
  // Bounds memory where files keep adding classes: further ones are not reported.
  static constexpr std::size_t kMaxClasses = 1024;
  std::map<std::string, Counts> classes_;
  std::uint64_t reload_success_ = 0, reload_failure_ = 0;
};

}  // namespace violetusher::core::ops
