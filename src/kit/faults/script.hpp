// A fault script specifies which system calls of a process fail, how, and when. One rule per line:
//
//     seed 7
//     write,fdatasync path=.bans error=ENOSPC from=2s until=12s
//     accept4,socket error=ENFILE|ENOBUFS chance=0.125 every=4s for=600ms
//     send,write short=3 chance=0.1
//     sendmsg delay=100ms times=5
//     clock step=-1h from=3s
//
// Times are relative to the origin that the process is given, see preload.hpp. All keys are
// documented in docs/operators/faults.md.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace violetusher::faults {

using Micros = std::int64_t;

/// An invalid script; what() is "FILE:LINE:COLUMN: description".
struct ScriptError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The calls that a rule can name, in the order of kCallNames.
enum class Call : std::uint8_t {
  kOpen,
  kRead,
  kPread,
  kWrite,
  kPwrite,
  kReadv,
  kWritev,
  kFsync,
  kFdatasync,
  kFtruncate,
  kRename,
  kFlock,
  kSocket,
  kAccept4,
  kConnect,
  kRecv,
  kSend,
  kSendmsg,
  kGetsockopt,
  kEpollWait,
  kEpollCtl,
  kPoll,
  kClock,
  kCount,
};

/// The name of the call in scripts.
const char* name_of(Call call);
/// The errno value of a name such as "ENOSPC"; empty if rules don't support it.
std::optional<int> errno_of(const std::string& name);
/// A name such as "ENOSPC", or the number in decimal if rules don't support it.
std::string errno_name(int number);

/// A line of a script: the calls it matches, when, and the faults it injects.
struct Rule {
  std::vector<Call> calls;
  std::string path;                ///< substring of the file's path; empty: any descriptor
  std::vector<int> errors;         ///< errno values, one of which is chosen at random
  std::size_t short_count = 0;     ///< maximum bytes per call; 0: no limit
  Micros delay = 0;                ///< before the call
  Micros step = 0;                 ///< added to the wall clock
  Micros from = 0, until = 0;      ///< until 0: no end
  Micros every = 0, for_span = 0;  ///< within from and until, the first `for_span` of each `every`
  double chance = 1;
  std::uint64_t skip = 0;   ///< matching calls to leave alone first
  std::uint64_t times = 0;  ///< maximum calls to apply to; 0: no limit
  int line = 0;

  /// Whether the rule lists the call.
  bool names(Call call) const;
  /// Whether the rule is active at `at`, relative to the origin.
  bool holds_at(Micros at) const;
};

/// A parsed script. The seed determines the random choices of its rules.
struct Script {
  std::uint64_t seed = 1;
  std::vector<Rule> rules;
};

/// Parses a script; `name` is the file name in error messages. Throws ScriptError.
Script parse_script(const std::string& text, const std::string& name);

}  // namespace violetusher::faults
