// Real daemons with a shared ledger: a change that an operator makes at one router holds at all of
// them, also when machines are lost with their disks.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "../../net/net_support.hpp"
#include "daemon/audit/trail_files.hpp"
#include "kit/audit/command.hpp"
#include "kit/ledger/client.hpp"
#include "kit/ledger/command.hpp"
#include "kit/ledger/rollout.hpp"
#include "net/system_io.hpp"

namespace violetusher::ledger {
namespace {

namespace fs = std::filesystem;
using core::ledger::Call;
using core::ledger::Json;
using core::ledger::Outcome;
using Clock = std::chrono::steady_clock;
constexpr int kHangTimeoutSeconds = 20;  // guards against hanging; not an expected time

template <typename F>
bool eventually(F&& f) {
  auto until = Clock::now() + std::chrono::seconds(kHangTimeoutSeconds);
  while (Clock::now() < until) {
    if (f()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

class Daemons : public testing::Test {
 protected:
  static constexpr int kRouters = 4;
  static constexpr char kOwnText[] = "# this router's own\n";
  Daemons() {
    char name[] = "/tmp/violetusher-daemons-XXXXXX";
    folder_ = ::mkdtemp(name);
    for (int i = 0; i < 2 * kRouters + 1; ++i) {
      holders_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      int yes = 1;
      ::setsockopt(holders_.back().get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
      sockaddr_in any = *net::parse_address("127.0.0.1:0", true);
      socklen_t size = sizeof any;
      EXPECT_EQ(::bind(holders_.back().get(), reinterpret_cast<sockaddr*>(&any), size), 0);
      ::getsockname(holders_.back().get(), reinterpret_cast<sockaddr*>(&any), &size);
      ports_.push_back("127.0.0.1:" + std::to_string(ntohs(any.sin_port)));
    }
    for (int r = 0; r < kRouters; ++r) write(r, "fleet");
  }
  ~Daemons() override {
    for (int r = 0; r < kRouters; ++r) kill(r);
    fs::remove_all(folder_);
  }

  std::string path(int r, const char* what) const {
    return folder_ + "/r" + std::to_string(r + 1) + what;
  }
  const std::string& ledger(int r) const { return ports_[static_cast<std::size_t>(r)]; }
  const std::string& calls(int r) const { return ports_[static_cast<std::size_t>(kRouters + r)]; }

  void write(int r, const std::string& fleet, bool trail = false) {
    std::ofstream operated(path(r, ".conf"));
    operated << "version 1;\nledger " << fleet << " { folder = \"" << path(r, ".ledger")
             << "\"; keep = on; replace_after = 3s; trust_after = 5s; }\n";
    for (int p = 0; p < kRouters; ++p)
      operated << "peer r" << p + 1 << " { address = \"" << ledger(p) << "\"; hall = h" << p % 3
               << "; }\n";
    if (trail) operated << "audit all { folder = \"" << path(r, ".trail") << "\"; }\n";
    operated << "rollout operator { file = \"" << path(r, ".rolled") << "\"; spread = 100ms; }\n"
             << "include \"" << path(r, ".rolled") << "\";\n";
    std::ofstream(path(r, ".rolled")) << kOwnText;
    Json config = Json::parse(net::test::config_text({.dials = {"127.0.0.1:9"}}));
    config["name"] = "r" + std::to_string(r + 1);
    std::ofstream(path(r, ".json")) << config.dump();
  }
  void start(int r) {
    std::string config = "NODE_CONFIG=" + path(r, ".json"),
                calls = "NODE_OPERATOR=" + this->calls(r);
    std::string program = VIOLETUSHER_PROGRAM, option = "--operator", file = path(r, ".conf");
    char* arguments[] = {program.data(), option.data(), file.data(), nullptr};
    char* environment[] = {config.data(), calls.data(), nullptr};
    std::string log = path(r, ".log");
    pids_[r] = ::fork();
    if (pids_[r] != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0u, 0);
    ::execve(arguments[0], arguments, environment);
    ::_exit(127);
  }
  void kill(int r) {
    if (pids_[r] <= 0) return;
    ::kill(pids_[r], SIGKILL);
    ::waitpid(pids_[r], nullptr, 0);
    pids_[r] = 0;
  }
  Json status(int r) {
    std::string error;
    auto a = kit::ask_ledger(ledger(r), "fleet", "status", Json::object(), 500, error);
    return a ? a->body : Json::object();
  }
  /// Whether a leader has three voters, each with the current identity of its router, past its
  /// rejoin check and caught up with the leader.
  bool group_complete() {
    std::map<std::string, Json> now;
    Json leads;
    for (int r = 0; r < kRouters; ++r) {
      Json s = pids_[r] > 0 ? status(r) : Json::object();
      now[s.value("identity", "")] = s;
      if (s.value("stage", "") == "leads") leads = s;
    }
    if (!leads.is_object() || leads["members"].size() != 3) return false;
    for (const Json& m : leads["members"]) {
      const Json& s = now[m.value("identity", "")];
      if (!m.value("votes", false) || !s.is_object() || s.value("stage", "") == "asks" ||
          !s.contains("log") || s["log"]["last"] < leads["log"]["last"])
        return false;
    }
    return true;
  }
  void create_group() {
    for (int r = 0; r < kRouters; ++r) start(r);
    std::string error;
    ASSERT_TRUE(eventually([&] {
      return kit::ask_ledger(ledger(0), "fleet", "found", Json::object(), 500, error).has_value();
    })) << error;
    ASSERT_TRUE(eventually([&] { return group_complete(); })) << status(0).dump(1);
  }
  /// Sends a line to the operator port and returns the answer.
  std::string operator_command(int r, const std::string& line) {
    net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto to = net::parse_address(calls(r));
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&*to), sizeof *to) != 0) return "";
    std::string out = line + "\r\n", in;
    if (::send(fd.get(), out.data(), out.size(), MSG_NOSIGNAL) < 0) return "";
    char bytes[4096];
    ssize_t got = 0;
    while ((got = ::recv(fd.get(), bytes, sizeof bytes, 0)) > 0)
      in.append(bytes, static_cast<std::size_t>(got));
    return in;
  }
  std::string banned_count(int r) {
    std::string dump = operator_command(r, "DUMP");
    auto json = Json::parse(dump.substr(0, dump.find("\r\n")), nullptr, false);
    return json.is_object() ? json.value("targets_disabled", Json()).dump() : "none";
  }

  /// Runs a command of the tool and returns its exit code.
  int rollout(const std::string& step, const std::string& more = "") {
    CLI::App app;
    int code = -1;
    kit::add_rollout(app, code);
    app.parse("rollout " + step + " " + path(0, ".conf") + " operator " + more);
    return code;
  }
  int tool(const std::string& call, const std::string& more = "") {
    CLI::App app;
    int code = -1;
    kit::add_ledger(app, code);
    kit::add_audit(app, code);
    app.parse(call + " " + path(0, ".conf") + " " + more);
    return code;
  }
  int trail(const std::string& call, const std::string& more) {
    CLI::App app;
    int code = -1;
    kit::add_trail(app, code);
    app.parse("trail " + call + " " + more);
    return code;
  }
  static std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::string text_file(const std::string& text) {
    std::string file = folder_ + "/text" + std::to_string(++texts_);
    std::ofstream(file) << text;
    return file;
  }
  std::string read(int r, const char* what) const {
    std::ifstream in(path(r, what));
    return {std::istreambuf_iterator<char>(in), {}};
  }
  int routers_with(const std::string& text) const {
    int n = 0;
    for (int r = 0; r < kRouters; ++r) n += read(r, ".rolled") == text;
    return n;
  }

  int texts_ = 0;
  std::string folder_;
  std::vector<net::Fd> holders_;
  std::vector<std::string> ports_;
  int pids_[kRouters] = {};
};

TEST_F(Daemons, BanAtOneRouterHoldsAtAllAndSurvivesLostMachines) {
  create_group();
  EXPECT_EQ(operator_command(1, "OFFLINE s-0"), "SUCCESS\r\n");
  EXPECT_EQ(banned_count(1), "1") << "at the router that was asked it holds from the answer on";
  for (int r = 0; r < kRouters; ++r)
    EXPECT_TRUE(eventually([&] { return banned_count(r) == "1"; })) << r;
  // Each machine in turn is lost with its disk and replaced by a new one.
  for (int lost = 0; lost < kRouters; ++lost) {
    std::string before = status(lost).value("identity", "");
    kill(lost);
    fs::remove_all(path(lost, ".ledger"));
    start(lost);
    ASSERT_TRUE(eventually([&] { return banned_count(lost) == "1"; })) << lost;
    EXPECT_NE(status(lost).value("identity", ""), before);
    ASSERT_TRUE(eventually([&] { return group_complete(); })) << lost;
  }
  EXPECT_EQ(operator_command(3, "ONLINE s-0"), "SUCCESS\r\n");
  for (int r = 0; r < kRouters; ++r)
    EXPECT_TRUE(eventually([&] { return banned_count(r) == "0"; })) << r;
}

TEST_F(Daemons, WithoutAMajorityCallsFailAndTheLastStateHolds) {
  create_group();
  ASSERT_EQ(operator_command(0, "OFFLINE s-0"), "SUCCESS\r\n");
  ASSERT_TRUE(eventually([&] { return banned_count(3) == "1"; }));
  for (int r = 0; r < 3; ++r) kill(r);
  auto asked = Clock::now();
  std::string answer = operator_command(3, "ONLINE s-0");
  EXPECT_EQ(answer.rfind("FAILURE no answer from a majority", 0), 0u) << answer;
  EXPECT_LT(Clock::now() - asked, std::chrono::seconds(5));
  EXPECT_EQ(banned_count(3), "1");
  kill(3);
  start(3);  // alone, and with its disk
  EXPECT_TRUE(eventually([&] { return banned_count(3) == "1"; }));
}

TEST_F(Daemons, FramesOfAnotherFleetAreIgnored) {
  write(3, "stranger");
  for (int r = 0; r < kRouters; ++r) start(r);
  std::string error;
  ASSERT_TRUE(eventually([&] {
    return kit::ask_ledger(ledger(0), "fleet", "found", Json::object(), 500, error).has_value();
  }));
  ASSERT_TRUE(eventually([&] { return group_complete(); })) << "with the three others";
  EXPECT_FALSE(kit::ask_ledger(ledger(3), "fleet", "status", Json::object(), 300, error));
  auto s = kit::ask_ledger(ledger(3), "stranger", "status", Json::object(), 500, error);
  ASSERT_TRUE(s);
  EXPECT_EQ(s->body.value("group", ""), "0");
}

// With JSON logs each line begins with a brace, which shows that a router uses this text.
constexpr char kJson[] = "log all { format = json; }\n";

TEST_F(Daemons, RolloutReachesAShareThenAllAndIsRolledBack) {
  create_group();
  EXPECT_EQ(rollout("widen", "--share 50"), 1) << "no roll-out is in progress";
  ASSERT_EQ(rollout("begin", text_file(kJson) + " --share 25"), 0);
  ASSERT_TRUE(eventually([&] { return routers_with(kJson) == 1 && rollout("status") == 0; }));
  for (int r = 0; r < kRouters; ++r)
    EXPECT_EQ(read(r, ".log").find("\n{") != std::string::npos, read(r, ".rolled") == kJson) << r;
  EXPECT_EQ(rollout("begin", text_file("# other\n") + " --share 25"), 1) << "one is in progress";
  // A killed router returns with the text that it had.
  int first = 0;
  while (read(first, ".rolled") != kJson) ++first;
  kill(first);
  EXPECT_EQ(rollout("widen", "--share 100"), 1) << "the selected router does not act on it";
  start(first);
  ASSERT_TRUE(eventually([&] { return rollout("status") == 0; }));
  ASSERT_EQ(rollout("widen", "--share 100"), 0);
  ASSERT_TRUE(eventually([&] { return rollout("status") == 0; }));
  EXPECT_EQ(routers_with(kJson), kRouters);
  ASSERT_EQ(rollout("back"), 0);
  EXPECT_EQ(rollout("back"), 1) << "already rolled back";
  ASSERT_TRUE(eventually([&] { return rollout("status") == 0; }));
  EXPECT_EQ(routers_with(kOwnText), kRouters);
}

TEST_F(Daemons, UnusableTextIsRejectedAndChangesNothing) {
  create_group();
  for (const char* text :
       {"limit a { in_flight = none; }\n", "ledger fleet2 { folder = \"/tmp\"; }\n",
        "peer r9 { address = \"127.0.0.1:1\"; hall = h1; }\n"}) {
    ASSERT_EQ(rollout("begin", text_file(text) + " --share 50"), 0);
    ASSERT_TRUE(eventually([&] {
      int refused = 0;
      for (int r = 0; r < kRouters; ++r)
        refused += status(r)["rollouts"]["operator"].contains("refused");
      return refused == 2;
    })) << status(0).dump(1);
    EXPECT_EQ(routers_with(kOwnText), kRouters);
    EXPECT_EQ(rollout("widen", "--share 100"), 1);
    ASSERT_EQ(rollout("back"), 0);
    ASSERT_TRUE(eventually([&] { return rollout("status") == 0; }));
  }
  EXPECT_EQ(operator_command(1, "OFFLINE s-0"), "SUCCESS\r\n") << "the routers continue as before";
}

TEST_F(Daemons, FileChangedByHandAndFullDiskRecover) {
  create_group();
  rlimit none{0, RLIM_INFINITY}, any{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(pids_[3], RLIMIT_FSIZE, &none, nullptr), 0);
  ASSERT_EQ(rollout("begin", text_file(kJson) + " --share 100"), 0);
  ASSERT_TRUE(eventually([&] { return routers_with(kJson) == 3; }));
  EXPECT_EQ(read(3, ".rolled"), kOwnText);
  ASSERT_EQ(::prlimit(pids_[3], RLIMIT_FSIZE, &any, nullptr), 0);
  ASSERT_TRUE(eventually([&] { return routers_with(kJson) == 4 && rollout("status") == 0; }));
  std::ofstream(path(1, ".rolled")) << "# by hand\n";
  ::kill(pids_[1], SIGHUP);
  EXPECT_TRUE(eventually([&] { return routers_with(kJson) == 4; })) << read(1, ".rolled");
}

// r1 and r4 are in one zone, so only they can replace each other without two voters in one zone.
// One of them leads at first, since r1 created the group.
TEST_F(Daemons, VoterIsMovedEvenIfItLeads) {
  create_group();
  auto keeps = [&](const std::string& name) {
    for (int r = 0; r < kRouters; ++r) {
      Json s = status(r);
      if (s["stage"] != "leads") continue;
      for (const Json& m : s["members"])
        if (m["name"] == name) return true;
    }
    return false;
  };
  for (int round = 0; round < 2; ++round) {
    ASSERT_TRUE(eventually([&] { return keeps("r2") && keeps("r3") && group_complete(); }));
    std::string from = keeps("r1") ? "r1" : "r4", to = from == "r1" ? "r4" : "r1";
    EXPECT_EQ(tool("ledger move", "r2 r3"), 1) << "both are voters";
    EXPECT_EQ(tool("ledger move", to + " r2"), 0) << "already done";
    EXPECT_EQ(tool("ledger move", "r2 " + to), 1) << "two of three in one zone";
    EXPECT_EQ(tool("ledger move", from + " " + to), 0);
    EXPECT_TRUE(keeps(to));
    EXPECT_FALSE(keeps(from));
  }
  EXPECT_EQ(tool("ledger members"), 0);
  EXPECT_EQ(operator_command(1, "OFFLINE s-0"), "SUCCESS\r\n");
}

TEST_F(Daemons, AuditListsLateRoutersWithTheCause) {
  create_group();
  EXPECT_TRUE(eventually([&] { return tool("audit") == 0; }));
  kill(3);
  EXPECT_EQ(tool("audit"), 1) << "r4 does not answer";
  start(3);
  EXPECT_TRUE(eventually([&] { return tool("audit") == 0; }));
  ASSERT_EQ(rollout("begin", text_file("no text of ours\n") + " --share 25"), 0);
  EXPECT_TRUE(eventually([&] {
    testing::internal::CaptureStdout();
    int code = tool("audit", "--json");
    Json report = Json::parse(testing::internal::GetCapturedStdout());
    return code == 1 && report["current"] == kRouters - 1 && report["late"].size() == 1 &&
           report["late"][0]["cause"] == "refused" && report["late"][0]["kind"] == "file/operator";
  }));
  ASSERT_EQ(rollout("back"), 0);
  EXPECT_TRUE(eventually([&] { return tool("audit") == 0; }));
}

/// Other routers hold what a machine that is lost with its disk acted on and the position of its
/// trail, also when one of the holders is lost too.
TEST_F(Daemons, SummaryOfALostMachineIsHeldByOthers) {
  for (int r = 0; r < kRouters; ++r) write(r, "fleet", true);
  create_group();
  auto summary_of = [&](const std::string& router, bool former) {
    testing::internal::CaptureStdout();
    tool("audit", "--json");
    Json report = Json::parse(testing::internal::GetCapturedStdout());
    for (const Json& h : report["heard"])
      if (h["router"] == router && h["former"] == former) return h;
    return Json();
  };
  // Wait until both holders have the latest position of its trail.
  Json own;
  ASSERT_TRUE(eventually([&] {
    own = status(1);
    int held = 0;
    for (int r = 0; r < kRouters; ++r) {
      Json s = status(r);
      held += own.contains("trail") && s["witness"]["now"].contains("r2") &&
              s["witness"]["now"]["r2"]["said"]["trail"] == own["trail"];
    }
    return held == 2;
  })) << status(1).dump(1);
  kill(1);
  EXPECT_EQ(trail("check", path(1, ".trail") + " --fleet " + path(0, ".conf")), 0);
  fs::remove_all(path(1, ".ledger"));
  // An old copy of a trail is consistent in itself but differs from the position that others hold.
  for (const std::string& file : audit::trail_files(path(1, ".trail")))
    fs::resize_file(file, read_file(file).find('\n') + 1);
  EXPECT_EQ(trail("check", path(1, ".trail")), 0);
  EXPECT_EQ(trail("check", path(1, ".trail") + " --fleet " + path(0, ".conf")), 1);
  fs::remove_all(path(1, ".trail"));
  Json lost = summary_of("r2", false);
  ASSERT_TRUE(lost.is_object());
  EXPECT_EQ(lost["said"]["trail"], own["trail"]);
  EXPECT_EQ(lost["said"]["acts"], own["acts"]);
  EXPECT_LT(lost["age_us"], kHangTimeoutSeconds * 1'000'000);
  std::string by = lost["by"];
  kill(by[1] - '1');
  lost = summary_of("r2", false);
  ASSERT_TRUE(lost.is_object());
  EXPECT_EQ(lost["said"]["trail"], own["trail"]);
  EXPECT_NE(lost["by"], by);
  // A new machine under the same name does not overwrite the summary of the first.
  start(by[1] - '1');
  start(1);
  EXPECT_TRUE(eventually([&] {
    Json former = summary_of("r2", true), now = summary_of("r2", false);
    return former.is_object() && former["said"]["trail"] == own["trail"] && now.is_object() &&
           now["age_us"] < 10'000'000;
  }));
}

}  // namespace
}  // namespace violetusher::ledger
