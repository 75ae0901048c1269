// Plain data that describes a fleet of stand-ins and the faults to inject into it. Times in faults
// count from the start of the day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::standin {

/// Largest value that the stand-ins and the tills handle.
constexpr std::uint64_t kMaxLongValueBytes = 1u << 20;

/// A class of cache server machines.
struct MachineKind {
  std::string name;
  int cores = 4;                     ///< requests processed at once
  double speed = 1;                  ///< of a core, relative to the core that costs are given for
  int waiting = 48;                  ///< queue length; requests beyond it are answered busy
  std::uint64_t memory = 64u << 20;  ///< bytes stored; least recently used keys go first
  int connections = 96;              ///< open at once; further ones are answered busy and closed
  Micros connect_work = 2'500;       ///< core time for each new connection
};

/// One cache server of the fleet.
struct ServerSpec {
  std::string id;
  int kind = 0;
  int hall = 0;
  int block = 0;
  Micros joins = 0;  ///< when it joins; 0 = running and warm before the day
};

/// The product master that all price caches share.
struct OriginSpec {
  int parallel = 12;     ///< fetches and writes processed at once
  Micros time = 20'000;  ///< service time of each
  int waiting = 60;      ///< queue length; fetches and writes beyond it fail
};

/// A whole fleet: price caches, product master, network and discovery.
struct FleetSpec {
  std::vector<std::string> halls;
  Micros same = 200, cross = 1'000;  ///< one-way delay within a zone, between two
  std::vector<MachineKind> kinds;
  std::vector<ServerSpec> servers;
  OriginSpec origin;
  int streams = 32;  ///< commands processed at once on one connection
  Micros idle_close = 15'000'000;
  Micros handshake = 500;  ///< added delay of a connection's first request
  Micros report_every = 150'000, report_lag = 80'000;
  double held = 0.9;              ///< fraction of the keys that a warm price cache holds at first
  double cold_share = 0.3;        ///< fraction of its capacity that a new one starts with
  Micros warm_up = 8'000'000;     ///< until full capacity, in linear growth
  double fall_multiple = 4;       ///< a cold one that is sent more than this times its capacity
  Micros fall_after = 1'500'000;  ///< for this long collapses
  Micros repeat_window = 5'000'000;         ///< repeats of a keyed write are not executed again
  bool drop_gone_work = false;              ///< removes queued work whose connection was closed
  Micros value_low = 64, value_high = 512;  ///< bytes of a value
  /// Part of the keys whose values are long: more than protocol::kMaxValueBytes, at most long_high.
  double long_share = 0;
  std::uint64_t long_high = 256u << 10;
  // Discovery.
  Micros notice = 1'500'000;         ///< until a crash, join or drain appears in the list
  Micros silent_notice = 6'000'000;  ///< until an unreachable machine does
  double calls_per_s = 20;           ///< of one service for all routers, one call at a time
  Micros call_limit = 3'000'000;     ///< a call that is queued for longer fails
  /// Whether discovery counts as out of reach while every call is refused or reset, and a call that
  /// is reset as no silent one.
  bool failing_calls_free = false;
  std::size_t call_places = 1024;  ///< for calls that are queued; further calls fail at once
  bool pushed = false;             ///< each router has its own agent, whose calls take no time
  Micros ask_within = 10'000'000;  ///< poll interval of routers without a watch, as in settings
};

/// What a fault does. Day files name the kinds as name_of() does.
enum class FaultKind {
  kDies,         ///< connections are reset and refused; restarts cold at `until`
  kVanishes,     ///< open connections are silent, new ones are never established
  kMute,         ///< accepts, reads, never answers
  kLate,         ///< answers `delay` after the request's own timeout
  kSlow,         ///< work takes `factor` times as long
  kErrors,       ///< a fraction `rate` of executed requests answer SERVER_ERROR failed
  kBusy,         ///< a fraction `rate` is answered busy
  kResets,       ///< a fraction `rate` of executed requests reset their connection
  kNoise,        ///< malformed: bytes that are no answer
  kEndless,      ///< malformed: a line without an end
  kLength,       ///< malformed: a length that does not match the value
  kOtherId,      ///< malformed: the id of another request
  kSecondCopy,   ///< a valid answer, written twice
  kConnectCost,  ///< new connections take `factor` times the work
  kHallCut,      ///< network partition between the zone and the others
  kHallSlow,     ///< adds `delay` each way between the zone and the others
  kDrain,        ///< answers busy to new requests, and stops at `until`
  kReplaced,     ///< stops; a cold one with a new id starts at its address after `delay`
  kReportsLate,  ///< load reports are `delay` older
  kDiscoveryDown,
  kDiscoveryLate,    ///< changes appear `delay` later
  kDiscoverySilent,  ///< watches open at `from` stay open and are never answered
  kDiscoveryReset,   ///< watches open at `from` are ended
  kDiscoverySlow,    ///< each call of a polled list takes `delay` longer
  kPieces,           ///< answers are written in pieces of `bytes`, `delay` apart
  kLateBody,         ///< the first `bytes` of an answer are written at once, the rest `delay` later
  kReadsSlowly,      ///< requests are read in pieces of `bytes`, `delay` apart, from a small buffer
  kCallsReset,       ///< a fraction `rate` of the calls to discovery is reset
  kCallsRefused,     ///< a fraction `rate` of the calls to discovery is answered 503
  kCallsSilent,      ///< a fraction `rate` of the calls to discovery is never answered
  kCallsHalf,        ///< a fraction `rate` of the answers of discovery stops half way
};

/// The name of a kind in day files.
const char* name_of(FaultKind kind);
/// All kinds, in order.
const std::vector<FaultKind>& all_faults();

/// One fault to inject, active from `from` until `until`.
struct Fault {
  FaultKind kind = FaultKind::kDies;
  Micros from = 0, until = 0;
  std::vector<int> servers;  ///< indices into FleetSpec::servers
  int hall = -1;             ///< the zone, for kHallCut and kHallSlow
  double rate = 1, factor = 1;
  Micros delay = 0;
  std::uint64_t bytes = 0;
};

/// The opaque id of a till's request, from its number in the plan and the number of the try. The
/// faults that strike a request thus depend on the request alone.
std::string request_id(std::uint64_t request, int number);
struct RequestName {
  std::uint64_t request = 0;
  int number = 0;
};
/// Parses an id of request_id(). False where the id has another form.
bool read_request_id(const std::string& id, RequestName& name);

}  // namespace violetusher::standin
