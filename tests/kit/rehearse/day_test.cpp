// Parsing of day files: an invalid file is rejected with one message that names file and line. Also
// the request schedule that is drawn from a day.
#include "kit/rehearse/day.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <random>

#include "kit/rehearse/plan.hpp"

namespace violetusher::rehearse {
namespace {

const char* const kGood = R"(name = "d"
length = "10s"
[[fleet.servers]]
kind = "std-4c"
count = 2
)";

std::string error_of(const std::string& text) {
  try {
    parse_day(text, "d.toml");
  } catch (const DayError& e) {
    return e.what();
  }
  return "";
}

struct Broken {
  const char* more;     // appended to kGood, which is lines 1 to 5
  const char* message;  // fragment of the expected message
};

class BrokenDay : public ::testing::TestWithParam<Broken> {};

TEST_P(BrokenDay, IsRejectedWithFileAndLine) {
  std::string error = error_of(std::string(kGood) + GetParam().more);
  EXPECT_NE(error.find(GetParam().message), error.npos) << error;
  EXPECT_EQ(error.find('\n'), error.npos) << error;  // one message
}

INSTANTIATE_TEST_SUITE_P(
    Corpus, BrokenDay,
    ::testing::Values(
        Broken{"[[event]]\nwhat = \"ledger-cut\"\nat = \"1s\"\nfor = \"1s\"\n",
               "d.toml:7: event[1].what: 'ledger-cut' requires a [ledger] table"},
        Broken{"[ledger]\nkeepers = 4\n", "d.toml:7: ledger.keepers: must be odd"},
        Broken{"[ledger]\n[[event]]\nwhat = \"ledger-bribe\"\n", "no event 'ledger-bribe' (known:"},
        Broken{"[ledger]\n[[event]]\nwhat = \"ledger-cut\"\nat = \"1s\"\nfor = \"1s\"\n"
               "routers = \"r1\"\nto = \"r9\"\n",
               "no router 'r9'"},
        Broken{"[expect]\nledger_p99 = \"1s\"\n", "ledger_p99: requires a [ledger] table"},
        Broken{"[tills]\nrate = 300\n", "d.toml:7: tills.rate: a rate needs its unit"},
        Broken{"[tills]\nrate = \"0/s\"\n", "d.toml:7: tills.rate: not a rate above 0"},
        Broken{"[tills]\nrate = \"1000000/s\"\n", "d.toml:7: tills.rate: more than 5 million"},
        Broken{"[tills]\nretry_pause = 5\n",
               "d.toml:7: tills.retry_pause: a duration needs its unit"},
        Broken{"[tills]\nretry_pause = \"5 s\"\n", "d.toml:7: tills.retry_pause: not a duration"},
        Broken{"[tills]\nimpatient = 1.5\n",
               "d.toml:7: tills.impatient: expected a fraction from 0 to 1"},
        Broken{"[tills]\nzipf = \"x\"\n", "d.toml:7: tills.zipf: expected a number from 0 to 3"},
        Broken{"[tills]\nnonsense = 1\n", "d.toml:7: tills: unknown key 'nonsense'"},
        Broken{"[tills]\nhall_shares = [0.5, 0.6, 0.1]\n",
               "d.toml:7: tills.hall_shares: do not add up"},
        Broken{"[tills]\nhall_shares = [1.0]\n",
               "d.toml:7: tills.hall_shares: must have one value for each hall"},
        Broken{"[[tills.class]]\nname = \"a\"\nshare = 0.5\n", "shares add up to 0.5"},
        Broken{"[[tills.class]]\nname = \"a\"\nshare = 1\nwanted = \"2s\"\ngives_up = \"1s\"\n",
               "d.toml:10: tills.class[1].gives_up: must not be less than 'wanted'"},
        Broken{"[[tills.class]]\nname = \"a\"\nshare = 0.5\n[[tills.class]]\nname = \"a\"\nshare = "
               "0.5\n",
               "d.toml:10: tills.class[2].name: class 'a' is defined twice"},
        Broken{"[[tills.shape]]\nat = \"1s\"\nfactor = 2\n", "'until' or 'for' is required"},
        Broken{"[[tills.shape]]\nat = \"1s\"\nuntil = \"2s\"\nfor = \"1s\"\n",
               "'until' and 'for' exclude each other"},
        Broken{"tills = 3\n", "d.toml:6:"},
        Broken{"[routers]\ncount = 33\n",
               "d.toml:7: routers.count: expected an integer from 1 to 32"},
        Broken{"[routers]\ncount = 1.5\n", "d.toml:7: routers.count: expected an integer"},
        Broken{"[routers]\nhalls = [\"addis\"]\n", "d.toml:7: routers.halls: no hall 'addis'"},
        Broken{"[routers]\nmemory = 64\n", "d.toml:7: routers.memory: a size needs its unit"},
        Broken{"[routers]\nmemory = \"1MiB\"\n",
               "d.toml:7: routers.memory: must be at least 16MiB"},
        Broken{"[halls]\nnames = [\"a\", \"a\"]\n", "d.toml:7: halls.names: 'a' is listed twice"},
        Broken{"[[fleet.servers]]\nkind = \"huge\"\n",
               "d.toml:7: fleet.servers[2].kind: no machine kind 'huge'"},
        Broken{"[[fleet.servers]]\nkind = \"std-4c\"\ncount = 0\n",
               "d.toml:8: fleet.servers[2].count"},
        Broken{"[[fleet.servers]]\nkind = \"std-4c\"\ncount = 128\n", "more than 128 price caches"},
        Broken{"[[fleet.servers]]\nkind = \"std-4c\"\njoins = \"11s\"\n",
               "past the end of the day"},
        Broken{"[[fleet.servers]]\ncount = 1\n", "fleet.servers[2].kind: missing"},
        Broken{"[fleet]\nvalue_low = \"2KiB\"\nvalue_high = \"1KiB\"\n",
               "must be between value_low and"},
        Broken{"[[event]]\nat = \"1s\"\n", "event[1].what: missing"},
        Broken{"[[event]]\nwhat = \"explodes\"\nat = \"1s\"\n",
               "d.toml:7: event[1].what: no event 'explodes'"},
        Broken{"[[event]]\nwhat = \"dies\"\nservers = \"pc-1\"\n", "event[1].at: missing"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"1s\"\nservers = \"pc-3\"\n",
               "d.toml:9: event[1].servers: no price cache 'pc-3'"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"1s\"\n", "no price cache selected"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"10s\"\nservers = \"pc-1\"\n",
               "d.toml:8: event[1].at: past the end of the day"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"1s\"\nuntil = \"11s\"\nservers = \"pc-1\"\n",
               "d.toml:9: event[1].until: past the end"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"2s\"\nuntil = \"1s\"\nservers = \"pc-1\"\n",
               "ends before it begins"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"1s\"\nkind = \"small-3c\"\n",
               "selects no price cache"},
        Broken{"[[event]]\nwhat = \"dies\"\nat = \"1s\"\nservers = \"pc-1\"\nrats = 0.5\n",
               "d.toml:10: event[1]: unknown key 'rats'"},
        Broken{"[[event]]\nwhat = \"answers-in-pieces\"\nat = \"1s\"\nservers = \"pc-1\"\n"
               "bytes = \"65KiB\"\n",
               "d.toml:10: event[1].bytes: must be from 1 to 64KiB"},
        Broken{"[fleet]\nlong_share = 0.1\nlong_high = \"64KiB\"\n",
               "d.toml:8: fleet.long_high: must be more than 64KiB"},
        Broken{"[fleet]\nlong_high = \"2MiB\"\n", "fleet.long_high: must be more than 64KiB"},
        Broken{"[fleet]\nlong_share = 1.5\n", "fleet.long_share: expected a fraction"},
        Broken{"[[tills.class]]\nname = \"a\"\nshare = 1\nvalue = \"65KiB\"\n",
               "tills.class[1].value: must be at most 64KiB"},
        Broken{"[[event]]\nwhat = \"reads-slowly\"\nat = \"1s\"\nservers = \"pc-1\"\n"
               "bytes = \"0B\"\n",
               "bytes"},
        Broken{"[[event]]\nwhat = \"answers-with-late-body\"\nat = \"1s\"\nservers = \"pc-1\"\n"
               "delay = \"-5ms\"\n",
               "d.toml:10: event[1].delay"},
        Broken{"[[event]]\nwhat = \"hall-cut-off\"\nat = \"1s\"\nhall = \"addis\"\n",
               "no hall 'addis'"},
        Broken{
            "[[event]]\nwhat = \"router-killed\"\nat = \"1s\"\nuntil = \"2s\"\nrouters = \"r9\"\n",
            "no router 'r9' (r1 to r2)"},
        Broken{"[[event]]\nwhat = \"router-killed\"\nat = \"1s\"\nrouters = \"r1\"\n",
               "'until' or 'for' is required"},
        Broken{"[[event]]\nwhat = \"drains\"\nat = \"1s\"\nservers = \"pc-1\"\n",
               "'until' or 'for' is required"},
        Broken{"[expect]\nservice = 2\n",
               "d.toml:7: expect.service: expected a fraction from 0 to 1"},
        Broken{"[expect.p99]\nnobody = \"1s\"\n", "d.toml:7: expect.p99: unknown key 'nobody'"},
        Broken{"[rig]\nlate_p99 = true\n", "d.toml:7: rig.late_p99: not a duration"},
        Broken{"[what]\n", "unknown key 'what'"}, Broken{"x = \n", "d.toml:6:"},
        Broken{"name = \"again\"\n", "d.toml:"}));

TEST(Day, MissingRequiredPartsAreRejected) {
  EXPECT_NE(error_of("").find("d.toml:"), std::string::npos);
  EXPECT_NE(error_of("name = \"a\"\n").find("length: missing"), std::string::npos);
  EXPECT_NE(error_of("name = \"a\"\nlength = \"500ms\"\n").find("must be from 1s to 1h"),
            std::string::npos);
  EXPECT_NE(error_of("name = \"a\"\nlength = \"5s\"\n").find("no [[fleet.servers]]"),
            std::string::npos);
  EXPECT_EQ(error_of(kGood), "");
}

TEST(Day, PathsThatAreNotRegularFilesAreRejected) {
  for (const char* path : {"/no/such/day.toml", "/tmp", "/dev/zero"})
    EXPECT_THROW(load_day(path), DayError) << path;
  std::string pipe = ::testing::TempDir() + "/day-pipe-" + std::to_string(::getpid());
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  EXPECT_THROW(load_day(pipe), DayError);  // without blocking, though the pipe has no writer
  ::unlink(pipe.c_str());
  EXPECT_THROW(parse_day(std::string(2u << 20, '#'), "d"), DayError);
}

// Random edits of a valid file: each is parsed or rejected with DayError, and none crashes.
TEST(Day, CorruptedTextIsParsedOrRejectedWithTheFileName) {
  std::mt19937_64 random(42);
  std::string good = std::string(kGood) + "# " + std::string(150, 'c') +
                     "\n[[event]]\nwhat = \"dies\"\nat = \"1s\"\nservers = [\"pc-1\"]\n";
  int read = 0, turned_away = 0;
  for (int k = 0; k < 3000; ++k) {
    std::string text = good;
    for (int n = 0; n < 1 + k % 3; ++n) {
      std::size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, 1 + random() % 9);
          break;
        default:
          text.insert(at, 1, "\"[]={}.#\n\0x9"[random() % 12]);
      }
      if (text.empty()) text = "#";
    }
    try {
      Day day = parse_day(text, "d");
      ++read;
      EXPECT_FALSE(day.fleet.servers.empty());
    } catch (const DayError& e) {
      ++turned_away;
      EXPECT_EQ(std::string(e.what()).rfind("d:", 0), 0u) << e.what();
    }
  }
  EXPECT_GT(read, 300);
  EXPECT_GT(turned_away, 1000);
}

Day day_with(const std::string& more) { return parse_day(std::string(kGood) + more, "d"); }

TEST(Plan, DependsOnTheSeedAlone) {
  Day day = day_with("[tills]\nrate = \"500/s\"\n");
  EXPECT_EQ(plan_hash(day, make_plan(day, 3)), plan_hash(day, make_plan(day, 3)));
  EXPECT_NE(plan_hash(day, make_plan(day, 3)), plan_hash(day, make_plan(day, 4)));
}

TEST(Plan, IsPoissonWithTheConfiguredShares) {
  Day day = day_with("[tills]\nrate = \"5000/s\"\nhall_shares = [0.5, 0.3, 0.2]\n");
  Plan plan = make_plan(day, 1);
  double n = static_cast<double>(plan.requests.size());
  EXPECT_NEAR(n, 50'000, 5 * std::sqrt(50'000));
  std::map<std::string, double> part;
  double square = 0, sum = 0;
  for (std::size_t k = 0; k < plan.requests.size(); ++k) {
    const PlannedRequest& r = plan.requests[k];
    if (k) {
      double gap = static_cast<double>(r.at - plan.requests[k - 1].at);
      ASSERT_GE(gap, 0);
      sum += gap, square += gap * gap;
    }
    part["c" + std::to_string(r.type)] += 1 / n;
    part["b" + std::to_string(r.tenant)] += 1 / n;
    part["h" + std::to_string(r.hall)] += 1 / n;
    EXPECT_EQ(r.idempotency.empty(), r.type == 0);
  }
  EXPECT_NEAR(part["c1"], 0.055, 0.006);
  EXPECT_NEAR(part["b0"], 0.56, 0.012);
  EXPECT_NEAR(part["h0"], 0.5, 0.012);
  EXPECT_NEAR(part["h2"], 0.2, 0.01);
  // For an exponential distribution the mean of squares is twice the square of the mean.
  EXPECT_NEAR(square / n / (sum / n * sum / n), 2, 0.1);
}

TEST(Plan, FollowsTheRateFactorsAndScans) {
  Day day = day_with(
      "[tills]\nrate = \"1000/s\"\n[[tills.shape]]\nat = \"2s\"\nfor = \"2s\"\nfactor = 3\n"
      "[[tills.shape]]\nat = \"5s\"\nfor = \"4s\"\nfactor = 1\nto_factor = 0\n"
      "[[tills.scan]]\nat = \"0s\"\nfor = \"1s\"\nshare = 0.5\n");
  Plan plan = make_plan(day, 9);
  std::vector<int> seconds(10);
  int scans = 0, reads = 0;
  for (const auto& r : plan.requests) {
    ++seconds[static_cast<std::size_t>(r.at / 1'000'000)];
    if (r.at < 1'000'000 && r.type == 0) ++reads, scans += r.key.rfind("scan:", 0) == 0;
  }
  EXPECT_NEAR(seconds[0], 1000, 150);
  EXPECT_NEAR(seconds[2] + seconds[3], 6000, 350);
  EXPECT_NEAR(seconds[5], 875, 140);
  EXPECT_NEAR(seconds[8], 125, 60);
  EXPECT_NEAR(seconds[9], 1000, 150);
  EXPECT_NEAR(scans / static_cast<double>(reads), 0.5, 0.08);
}

TEST(Day, LedgerSettingsAndEventsAreParsed) {
  Day day = day_with(
      "[ledger]\nkeepers = 5\noperators = 2\n[routers]\ncount = 3\n"
      "[[event]]\nwhat = \"ledger-isolate\"\nat = \"1s\"\nfor = \"2s\"\nrouters = [\"r1\", "
      "\"r3\"]\n"
      "[[event]]\nwhat = \"ledger-slow\"\nat = \"4s\"\nuntil = \"5s\"\nrouters = \"r2\"\nto = "
      "\"r1\"\n"
      "by = \"300ms\"\n[expect]\nledger_answered = 0.9\n");
  EXPECT_EQ(day.ledger.keepers, 5);
  EXPECT_EQ(day.ledger.operators, 2);
  ASSERT_EQ(day.ledger.events.size(), 3u);
  EXPECT_EQ(day.ledger.events[1].router, 2);
  const LedgerEvent& slow = day.ledger.events[2];
  EXPECT_EQ(slow.what, "slow");
  EXPECT_EQ(std::pair(slow.router, slow.to), std::pair(1, 0));
  EXPECT_EQ(slow.by, 300'000);
  EXPECT_EQ(day.expect.ledger_answered, 0.9);
  EXPECT_TRUE(day.router_faults.empty());
}

}  // namespace
}  // namespace violetusher::rehearse
