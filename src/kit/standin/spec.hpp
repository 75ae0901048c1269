// What a fleet of stand-ins is made of and what goes wrong with it. Plain data; times in faults
// count from the start of the day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::standin {

struct MachineKind {
  std::string name;
  int cores = 4;     ///< requests at work at once
  double speed = 1;  ///< of a yardstick core
  int waiting = 48;  ///< requests that wait for a core; beyond, they are turned away as busy
  std::uint64_t memory = 64u << 20;  ///< bytes of values kept; the oldest use goes first
  int connections = 96;              ///< open at once; beyond, answered busy and closed
  Micros connect_work = 2'500;       ///< of one core, for each new connection
};

struct ServerSpec {
  std::string id;
  int kind = 0;
  int hall = 0;
  int block = 0;
  Micros joins = 0;  ///< 0 = there from before the day, warm
};

/// The product master that all price caches share.
struct OriginSpec {
  int parallel = 12;     ///< fetches and writes at work at once
  Micros time = 20'000;  ///< for each
  int waiting = 60;      ///< that wait; beyond, a fetch fails
};

struct FleetSpec {
  std::vector<std::string> halls;
  Micros same = 200, cross = 1'000;  ///< one way, inside a hall and between two
  std::vector<MachineKind> kinds;
  std::vector<ServerSpec> servers;
  OriginSpec origin;
  int streams = 32;  ///< commands begun at once on one connection
  Micros idle_close = 15'000'000;
  Micros handshake = 500;  ///< on the first request of a connection
  Micros report_every = 150'000, report_lag = 80'000;
  double held = 0.9;                 ///< part of the keys that a warm price cache holds at first
  double cold_share = 0.3;           ///< of its capacity that a new one starts at
  Micros warm_up = 8'000'000;        ///< until it does all of it, growing in a straight line
  double fall_multiple = 4;          ///< sent more than this times what it can do, while cold,
  Micros fall_after = 1'500'000;     ///< for this long, it falls over
  Micros repeat_window = 5'000'000;  ///< repeats of a keyed write are dropped for this long
  bool drop_gone_work = false;       ///< waiting work whose connection was closed is dropped
  Micros value_low = 64, value_high = 512;  ///< bytes of a value
  // Discovery.
  Micros notice = 1'500'000;         ///< until a dead process or a plan shows in the list
  Micros silent_notice = 6'000'000;  ///< until a machine that says nothing does
  double calls_per_s = 20;           ///< one service for all routers, calls in turn
  Micros call_limit = 3'000'000;     ///< a call that waited longer fails
  bool pushed = false;  ///< each router has an agent of its own; calls cost nothing and never wait
  Micros ask_within = 10'000'000;  ///< a router without a watch asks so often, as settings tell it
};

enum class FaultKind {
  kDies,         ///< resets its connections, new ones are refused; back cold at `until`
  kVanishes,     ///< open connections silent, new ones never come up
  kMute,         ///< accepts, reads, never answers
  kLate,         ///< answers `delay` after the time that the request was given
  kSlow,         ///< work takes `factor` times as long
  kErrors,       ///< `rate` of the requests end as SERVER_ERROR failed, having run
  kBusy,         ///< `rate` are turned away
  kResets,       ///< `rate` of the connections break when a request has run
  kNoise,        ///< spoilt: bytes that are no answer
  kEndless,      ///< spoilt: a line that does not end
  kLength,       ///< spoilt: a length that does not fit
  kOtherId,      ///< spoilt: the id of another request
  kSecondCopy,   ///< a good answer with a second copy right behind
  kConnectCost,  ///< new connections cost `factor` times the work
  kHallCut,      ///< nothing passes between the hall and the others
  kHallSlow,     ///< `delay` more each way between the hall and the others
  kDrain,        ///< leaves: busy to what is new, gone `delay` later
  kReplaced,     ///< dies, and a cold one under a new id is at its address `delay` later
  kReportsLate,  ///< load reports are `delay` older
  kDiscoveryDown,
  kDiscoveryLate,    ///< changes show `delay` later
  kDiscoverySilent,  ///< the watches that are open at `from` say nothing more, and stay open
  kDiscoveryReset,   ///< the watches that are open at `from` are ended
  kDiscoverySlow,    ///< each call takes `delay` longer, where lists are asked for
};

/// Names as a day file has them.
const char* name_of(FaultKind kind);
/// All kinds, in order.
const std::vector<FaultKind>& all_faults();

struct Fault {
  FaultKind kind = FaultKind::kDies;
  Micros from = 0, until = 0;
  std::vector<int> servers;  ///< indices into FleetSpec::servers
  int hall = -1;             ///< for the kinds of halls
  double rate = 1, factor = 1;
  Micros delay = 0;
};

/// The ids of the tills' requests: the plan's number and the try, so that a stand-in's choices
/// hang on the request alone.
std::string request_id(std::uint64_t request, int number);
struct RequestName {
  std::uint64_t request = 0;
  int number = 0;
};
/// Nothing where the id is none of ours.
bool read_request_id(const std::string& id, RequestName& name);

}  // namespace violetusher::standin
