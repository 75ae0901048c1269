// The fault library: loaded with LD_PRELOAD, it wraps system calls of a process and injects faults
// as a script specifies. It is for tests and rehearsals only; no program links it.
#pragma once

namespace violetusher::faults {

/// Environment variable with the path of the script. The file is reloaded when it changes. An
/// invalid script ends the process at startup; after a change it is reported and the old one stays
/// in use.
inline constexpr char kScriptVariable[] = "VIOLETUSHER_FAULTS";
/// Path of the log, to which each fault appends a line: time, call, descriptor, outcome, rule.
inline constexpr char kLogVariable[] = "VIOLETUSHER_FAULTS_LOG";
/// Origin of the script's times, in microseconds of CLOCK_MONOTONIC. Defaults to the time at which
/// the library is first used.
inline constexpr char kOriginVariable[] = "VIOLETUSHER_FAULTS_ORIGIN";

/// AddressSanitizer refuses to start unless its runtime is loaded first; this disables that check.
inline constexpr char kSanitizerOptions[] = "ASAN_OPTIONS=verify_asan_link_order=0";

}  // namespace violetusher::faults
