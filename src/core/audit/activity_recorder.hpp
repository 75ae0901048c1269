// What one router did, and on what it acted meanwhile: cut into periods at every change of what it
// acts on, so that each attempt is counted under the one view that it was sent under. No I/O; the
// time comes from outside. What it writes are the bodies of a trail's blocks; see trail.hpp.
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

class ActivityRecorder {
 public:
  /// Of what there are versions, and which: "list" -> "4812", "settings" -> a digest.
  using Versions = std::map<std::string, std::string>;
  using Sink = std::function<void(std::string body)>;
  /// Of all settings that this process has had; more are counted as the last one.
  static constexpr std::size_t kMaxTypes = 256;

  /// `versions` is asked at each change, `out` gets the bodies.
  ActivityRecorder(std::function<Versions()> versions, Sink sink);

  /// Whether the server gets anything new from here on. Takes effect with changed().
  void set_serving(const std::string& server, bool serving);
  /// Something that the router acts on may have changed: where it has, the period ends and another
  /// view begins. To be called before anything is done under it.
  void changed(Micros now);
  /// Ends a period in which something was done.
  void tick(Micros now);
  /// The reader may have missed what was written: the next view says all there is.
  void write_full_view() { full_view_pending_ = true; }

  /// A class's number, for sent(); the same for as long as the process runs.
  std::uint32_t type_of(std::string_view name);
  /// The first byte of an attempt went to the server.
  void sent(const std::string& server, std::uint32_t type);
  /// A request was given up unserved.
  void refused(std::string_view type);

  std::uint64_t view() const { return view_; }

 private:
  void end_period(Micros now);

  std::function<Versions()> versions_;
  Sink sink_;
  std::uint64_t view_ = 0;
  Versions versions_in_view_;
  std::set<std::string> serving_, added_, removed_;  // of the list; since the last view
  bool full_view_pending_ = true;
  Micros period_start_ = 0;
  std::vector<std::string> types_;
  std::unordered_map<std::string, std::vector<std::uint64_t>> sent_;  // by type
  std::vector<std::uint64_t> refused_;
  bool active_ = false;  // anything since period_start_
};

}  // namespace violetusher::core::audit
