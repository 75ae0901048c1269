// Guards against fault scripts that are parsed wrongly, and against errors that are accepted or
// reported at a wrong place.
#include "kit/faults/script.hpp"

#include <gtest/gtest.h>

#include <cerrno>

namespace violetusher::faults {
namespace {

TEST(FaultScript, ReadsEveryKey) {
  Script script = parse_script(
      "# a comment\n"
      "seed 7\n\n"
      "write,fdatasync path=.bans error=ENOSPC|EIO from=2s until=12s chance=0.5 times=3 skip=2\n"
      "sendmsg short=3 delay=100ms every=4s for=600ms  # behind a rule\n"
      "clock step=-1h from=3s\n",
      "f");
  EXPECT_EQ(script.seed, 7u);
  ASSERT_EQ(script.rules.size(), 3u);
  const Rule& disk = script.rules[0];
  EXPECT_TRUE(disk.names(Call::kWrite) && disk.names(Call::kFdatasync));
  EXPECT_FALSE(disk.names(Call::kFsync));
  EXPECT_EQ(disk.path, ".bans");
  EXPECT_EQ(disk.errors, (std::vector<int>{ENOSPC, EIO}));
  EXPECT_EQ(disk.times, 3u);
  EXPECT_EQ(disk.skip, 2u);
  EXPECT_DOUBLE_EQ(disk.chance, 0.5);
  EXPECT_FALSE(disk.holds_at(1'999'999));
  EXPECT_TRUE(disk.holds_at(2'000'000));
  EXPECT_FALSE(disk.holds_at(12'000'000));
  const Rule& bursts = script.rules[1];
  EXPECT_EQ(bursts.short_count, 3u);
  EXPECT_EQ(bursts.delay, 100'000);
  EXPECT_TRUE(bursts.holds_at(4'599'999));
  EXPECT_FALSE(bursts.holds_at(4'600'000));
  EXPECT_EQ(script.rules[2].step, -3600ll * 1'000'000);
  EXPECT_EQ(script.rules[2].line, 6);
}

TEST(FaultScript, ErrorsReportLineAndColumn) {
  struct Case {
    const char *text, *message;
  };
  for (const Case& c : {
           Case{"\nwrite,dance error=EIO", "f:2:7: unknown call 'dance'"},
           Case{"write error=EIO|EWHAT", "f:1:17: unknown error 'EWHAT'"},
           Case{"write error=EIO from=2", "f:1:22: '2' is not a duration such as 100ms or 2s"},
           Case{"write error=EIO from=-2s", "f:1:22: from must not be negative"},
           Case{"write path= error=EIO", "f:1:12: path is empty"},
           Case{"write error=EIO chance=2", "f:1:24: '2' is not a probability above 0 and up to 1"},
           Case{"write short=0", "f:1:13: '0' is not a positive integer"},
           Case{"write delay=151ms", "f:1:13: delay must be 150ms at most"},
           Case{"write error=EIO loud=1", "f:1:17: unknown key 'loud'"},
           Case{"write error", "f:1:7: 'error' is not of the form KEY=VALUE"},
           Case{"seed x", "f:1:6: 'x' is not a seed (unsigned integer)"},
       }) {
    try {
      parse_script(c.text, "f");
      ADD_FAILURE() << c.text;
    } catch (const ScriptError& e) {
      EXPECT_STREQ(e.what(), c.message);
    }
  }
  for (const char* text : {"write path=x", "clock error=EIO", "write step=1s", "clock",
                           "write error=EIO every=1s", "write error=EIO from=2s until=1s"})
    EXPECT_THROW(parse_script(text, "f"), ScriptError) << text;
}

}  // namespace
}  // namespace violetusher::faults
