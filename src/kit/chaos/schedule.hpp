// The faults of one run, drawn from a seed or written by hand: the same for a run on virtual time
// and for one with real processes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "history.hpp"

namespace violetusher::chaos {

struct Fault {
  enum class Kind {
    kKill,        ///< SIGKILL, started again at the end
    kStop,        ///< SIGTERM, started again at the end
    kFreeze,      ///< SIGSTOP until the end
    kCut,         ///< what `a` sends to `b` goes nowhere
    kIsolate,     ///< nothing passes to or from `a`
    kSplit,       ///< the halls of `a` and the rest hear nothing of each other
    kSlow,        ///< what `a` sends to `b` takes `figure` ms more
    kShuffle,     ///< what `a` sends to `b` comes twice, and in another order
    kSpoil,       ///< bits are turned in what `a` sends to `b`
    kLoseDisk,    ///< killed, its folder gone, started again at the end
    kOldDisk,     ///< killed, its folder as it was `figure` ms before, put back as a copy
    kRolledBack,  ///< the same by the disk itself, so that nothing tells that it was done
    kSpoilDisk,   ///< killed, one bit of the folder turned
    kFullDisk,    ///< it takes no more until the end
    kClock,       ///< the monotonic clock of `a` is `figure` ms further from one moment to the next
    kSlowDisk,    ///< each commit takes `figure` ms
    kReadError,  ///< killed; started again at the end, and its disk gives errors `figure` ms longer
    kPowerLoss,  ///< killed, and what was not synced is gone
    kReset,      ///< connections from `a` to `b` are ended as soon as they carry anything
    kRate,       ///< what `a` sends to `b` goes at `figure` KiB a second
  };
  Kind kind = Kind::kKill;
  Micros at = 0, until = 0;
  int a = 0, b = 0;
  double figure = 0;
};
std::string_view name_of(Fault::Kind kind);
std::optional<Fault::Kind> kind_named(std::string_view name);
/// Whether what a router's disk had promised is gone by it.
bool loses_disk(Fault::Kind kind);
/// Whether its router is killed, and started again at the end.
bool kills(Fault::Kind kind);

struct Schedule {
  std::uint64_t seed = 1;
  Micros length = 20'000'000;  ///< faults end before; then comes quiet, and the last look
  int routers = 7, keepers = 3, clients = 4, names = 5;
  int followers = 4;          ///< that one router feeds
  int operators = 0;          ///< who roll texts out, beside the clients
  int newer = 0;              ///< the last so many routers speak the version that comes next
  std::vector<Fault> faults;  ///< by time
};

/// Whether it is one of a link to `b`, and whether its figure is a time.
bool needs_to(Fault::Kind kind);
bool needs_time(Fault::Kind kind);

/// The fleet's name, and the hall of each router.
inline constexpr char kFleet[] = "chaos";
std::string hall_of(int router);

/// What faults that are under way do to what `from` sends to `to`.
struct LinkFaults {
  bool cut = false, shuffle = false, spoil = false;
  bool reset = false;
  Micros delay = 0;
  double rate = 0;  ///< bytes a second; 0: as they come
};
LinkFaults link_faults(const std::vector<const Fault*>& active, int from, int to);

/// Stays as it is, so that a seed named in a test or a note goes on naming its schedule.
Schedule draw(std::uint64_t seed);
/// The same with what came later: clocks that jump, routers of the next version, roll-outs, disks
/// that are slow or give errors, power that fails.
Schedule draw_more(std::uint64_t seed);
/// Nothing but routers lost with their disks while clients write, each once the group has had time
/// to be whole again.
inline constexpr int kMostLosses = 60;
Schedule draw_losses(std::uint64_t seed, int losses);
/// A fault a line, as the report and a kept case have it.
std::string text_of(const Schedule& schedule);
/// The same as a rehearsal day with quiet traffic, to be played with real daemons. What a day has
/// no word for stands in it as a comment.
std::string day_of(const Schedule& schedule);
/// The schedule of such a text; throws std::runtime_error with line and reason.
Schedule parse_schedule(const std::string& text);

}  // namespace violetusher::chaos
