// A fault script: which system calls of a process fail, how, and when. One rule a line:
//
//     seed 7
//     write,fdatasync path=.bans error=ENOSPC from=2s until=12s
//     accept4,socket error=ENFILE|ENOBUFS chance=0.125 every=4s for=600ms
//     send,write short=3 chance=0.1
//     sendmsg delay=100ms times=5
//     clock step=-1h from=3s
//
// Times count from the origin that the process is given, see preload.hpp. docs/operators/faults.md
// has every key.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace violetusher::faults {

using Micros = std::int64_t;

/// A script that can't be used; what() is "FILE:LINE:COLUMN: what is wrong".
struct ScriptError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The calls that rules may name, in the order of kCallNames.
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

const char* name_of(Call call);
/// The errno of a name such as "ENOSPC"; nothing where it is none that rules may name.
std::optional<int> errno_of(const std::string& name);
/// "ENOSPC"; the number where it has no name here.
std::string errno_name(int number);

struct Rule {
  std::vector<Call> calls;
  std::string path;                ///< part of the file's name; empty: any descriptor
  std::vector<int> errors;         ///< one of them is drawn
  std::size_t short_count = 0;     ///< bytes that the call may transfer at most; 0: no bound
  Micros delay = 0;                ///< before the call
  Micros step = 0;                 ///< of the wall clock
  Micros from = 0, until = 0;      ///< until 0: for good
  Micros every = 0, for_span = 0;  ///< within from and until, the first `for_span` of each `every`
  double chance = 1;
  std::uint64_t skip = 0;   ///< so many calls first that it leaves alone
  std::uint64_t times = 0;  ///< so many calls at most; 0: any number
  int line = 0;

  bool names(Call call) const;
  /// Whether the rule holds at `at`, counted from the origin.
  bool holds_at(Micros at) const;
};

struct Script {
  std::uint64_t seed = 1;
  std::vector<Rule> rules;
};

/// Reads a script; `name` stands for the file in messages. Throws ScriptError.
Script parse_script(const std::string& text, const std::string& name);

}  // namespace violetusher::faults
