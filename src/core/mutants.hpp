// Faults that tests plant in the router's own code, to see them caught. In what ships `mutant()` is
// a constant false and nothing is left of them; only the tests' build has VIOLETUSHER_MUTANTS, and
// there the environment variable VIOLETUSHER_MUTANT names the one that is planted.
#pragma once

#ifdef VIOLETUSHER_MUTANTS
#include <cstdlib>
#include <string_view>
#endif

namespace violetusher::core {

enum class Mutant {
  kAcknowledgeBeforeDurable,  ///< a ban is said yes to before it is written
  kFileOverridesMemory,       ///< the file of bans is the whole truth
  kEvictAtAnyShortage,        ///< each accept that fails closes a resting client, unread
  kReloadNotRetried,          ///< a file that can't be read counts as a broken one
  kTrustServerClock,          ///< starts of servers are taken by whatever clock told them
};

#ifdef VIOLETUSHER_MUTANTS
inline bool mutant(Mutant m) {
  static constexpr std::string_view kNames[] = {"yes-before-durable", "file-over-memory",
                                                "evict-at-any-shortage", "reload-not-retried",
                                                "clock-believed"};
  static const char* planted = std::getenv("VIOLETUSHER_MUTANT");
  return planted && kNames[static_cast<int>(m)] == planted;
}
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace violetusher::core
