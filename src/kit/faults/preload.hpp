// The fault library: loaded before the C library (LD_PRELOAD), it makes system calls of a process
// fail as a script says. For tests and rehearsals alone; nothing links it.
#pragma once

namespace violetusher::faults {

/// Environment variable that names the script. The file is read again when it changes; one that
/// can't be used at the start ends the process, a later one is reported and not used.
inline constexpr char kScriptVariable[] = "VIOLETUSHER_FAULTS";
/// Names the file to which a line is appended for each fault: time, call, descriptor, outcome.
inline constexpr char kLogVariable[] = "VIOLETUSHER_FAULTS_LOG";
/// The origin of the script's times, in microseconds of CLOCK_MONOTONIC; the process's start where
/// it is not set.
inline constexpr char kOriginVariable[] = "VIOLETUSHER_FAULTS_ORIGIN";

/// A process that is built with AddressSanitizer wants its runtime first; this lets it start.
inline constexpr char kSanitizerOptions[] = "ASAN_OPTIONS=verify_asan_link_order=0";

}  // namespace violetusher::faults
