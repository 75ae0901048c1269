// Counts what one router does under each view, that is, under each set of versions (host list,
// settings, ...) and serving servers. A new period begins whenever the view changes, so every
// attempt is counted under exactly the view that it was sent under. Produces the bodies of trail
// blocks (see trail.hpp). Does no I/O; callers pass the time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace violetusher::core::audit {

using Micros = std::int64_t;

/// Records the views of one router and its activity under each of them.
class ActivityRecorder {
 public:
  /// Version by kind: "list" -> "4812", "settings" -> a digest.
  using Versions = std::map<std::string, std::string>;
  using Sink = std::function<void(std::string body)>;
  /// Request types over the life of the process; further types are counted under the last one.
  static constexpr std::size_t kMaxTypes = 256;

  /// `versions` returns the current versions and is called at each change; `sink` receives the
  /// block bodies.
  ActivityRecorder(std::function<Versions()> versions, Sink sink);

  /// Sets whether the server receives new requests. Takes effect at the next call of changed().
  void set_serving(const std::string& server, bool serving);
  /// To be called when the versions or the serving servers may have changed, before the router acts
  /// on the change. Ends the period and begins a new view if they differ from the last view.
  void changed(Micros now);
  /// Ends the current period if there was activity in it.
  void tick(Micros now);
  /// Makes the next view list all serving servers instead of the changes. Needed when readers may
  /// have missed earlier blocks.
  void write_full_view() { full_view_pending_ = true; }

  /// The index of a request type, for sent(); constant over the life of the process.
  std::uint32_t type_of(std::string_view name);
  /// Counts an attempt whose first byte was written to the server.
  void sent(const std::string& server, std::uint32_t type);
  /// Counts a request that was refused without being served.
  void refused(std::string_view type);

  /// The number of the current view.
  std::uint64_t view() const { return view_; }

 private:
  void end_period(Micros now);

  std::function<Versions()> versions_;
  Sink sink_;
  std::uint64_t view_ = 0;
  Versions versions_in_view_;
  // Servers of the host list that receive new requests, and the changes since the last view.
  std::set<std::string> serving_, added_, removed_;
  bool full_view_pending_ = true;
  Micros period_start_ = 0;
  std::vector<std::string> types_;
  std::unordered_map<std::string, std::vector<std::uint64_t>> sent_;  // indexed by type
  std::vector<std::uint64_t> refused_;                                // indexed by type
  bool active_ = false;  // anything was counted since period_start_
};

}  // namespace violetusher::core::audit
