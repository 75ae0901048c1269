// Trails on real disks: they are bounded, continued by the next process, and report lost blocks.
// The trails of several real routers are compared with the requests that the cache servers
// received.
#include "daemon/audit/trail_files.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "../../net/net_support.hpp"
#include "core/audit/history.hpp"

namespace violetusher::audit {
namespace {

namespace fs = std::filesystem;
using core::audit::Fault;
using core::audit::History;
using core::audit::Json;
using core::audit::Trail;

template <typename F>
bool eventually(F&& f) {
  for (int k = 0; k < net::test::kTestTimeoutMs / 20; ++k) {
    if (f()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

class Trails : public testing::Test {
 protected:
  Trails() {
    char name[] = "/tmp/violetusher-trails-XXXXXX";
    folder_ = ::mkdtemp(name);
  }
  ~Trails() override { fs::remove_all(folder_); }
  std::unique_ptr<TrailFiles> open(std::int64_t size = 1 << 20) {
    return std::make_unique<TrailFiles>(TrailSettings{folder_ + "/t", "r1", size},
                                        [this](const std::string& text) {
                                          std::lock_guard guard(mutex_);
                                          notes_ += text + "\n";
                                        });
  }
  bool wait_for_note(const std::string& what) {
    return eventually([&] {
      std::lock_guard guard(mutex_);
      return notes_.find(what) != notes_.npos;
    });
  }
  Trail read() { return read_trail(folder_ + "/t"); }
  bool last_is(int n) {
    return eventually([&] {
      auto all = numbers(read());
      return !all.empty() && all.back() == n;
    });
  }
  static std::string body(int n) {
    return Json({{"k", "did"}, {"n", n}, {"fill", std::string(900, 'x')}}).dump();
  }
  /// Numbers of the bodies, in order.
  static std::vector<int> numbers(const Trail& trail) {
    std::vector<int> out;
    for (const auto& b : trail.blocks)
      if (b.body.contains("n")) out.push_back(b.body["n"]);
    return out;
  }

  std::string folder_, notes_;
  std::mutex mutex_;
};

TEST_F(Trails, SizeIsBoundedByDeletingTheOldestFiles) {
  auto files = open();
  for (int k = 0; k < 3000; ++k) {
    files->write(body(k));
    // Blocks that arrive faster than the disk writes are covered by another test.
    if (k % 300 == 299) ASSERT_TRUE(last_is(k));
  }
  files.reset();
  std::int64_t sum = 0;
  for (const std::string& path : trail_files(folder_ + "/t"))
    sum += static_cast<std::int64_t>(fs::file_size(path));
  EXPECT_LE(sum, 1 << 20);
  EXPECT_GT(sum, 1 << 19);
  Trail trail = read();
  EXPECT_TRUE(trail.faults.empty());
  EXPECT_GT(trail.blocks.front().number, 1000u);
  EXPECT_EQ(numbers(trail).back(), 2999);
}

TEST_F(Trails, ContinueAfterATornEndOfTheLastProcess) {
  open()->write(body(1));
  auto whole = trail_files(folder_ + "/t");
  ASSERT_EQ(whole.size(), 1u);
  std::ofstream(whole[0], std::ios::app) << "0123456789abcdef 3 {\"k\":";  // killed while it wrote
  open()->write(body(2));
  std::ofstream(folder_ + "/t/trail-00000000000000000005.log") << "torn at its first li";
  open()->write(body(3));
  Trail trail = read();
  EXPECT_EQ(numbers(trail), (std::vector<int>{1, 2, 3}));
  ASSERT_GE(trail.faults.size(), 2u);
  EXPECT_EQ(trail.faults[0].kind, Fault::Kind::kTorn);
  EXPECT_EQ(trail.faults[1].kind, Fault::Kind::kTorn);
}

TEST_F(Trails, NextProcessWaitsForTheLockOfThePreviousOne) {
  auto old = open();
  old->write(body(1));
  ASSERT_TRUE(last_is(1));
  auto fresh = open();
  fresh->write(body(3));
  ASSERT_TRUE(wait_for_note("another process writes there"));
  old->write(body(2));
  old.reset();
  ASSERT_TRUE(last_is(3));
  EXPECT_EQ(numbers(read()), (std::vector<int>{1, 2, 3}));
  EXPECT_TRUE(read().faults.empty());
}

/// The folder is unavailable for a while: the queue is bounded, and dropped blocks are reported.
TEST_F(Trails, FailingDiskDropsBlocksAndReportsTheGap) {
  std::ofstream(folder_ + "/t") << "no folder";
  auto files = open(16 << 20);
  for (int k = 0; k < 3000; ++k) files->write(body(k));
  ASSERT_TRUE(wait_for_note("the trail is not written"));
  EXPECT_FALSE(files->consume_gap());  // no room for a full view yet
  fs::remove(folder_ + "/t");
  ASSERT_TRUE(wait_for_note("written again"));
  ASSERT_TRUE(eventually([&] { return files->consume_gap(); }));
  EXPECT_FALSE(files->consume_gap());
  files->write(body(9999));
  files.reset();
  Trail trail = read();
  EXPECT_TRUE(trail.faults.empty());
  std::uint64_t lost = 0;
  for (const auto& b : trail.blocks) lost += b.body.value("blocks", std::uint64_t{0});
  EXPECT_GT(lost, 1000u);
  EXPECT_EQ(numbers(trail).size() + lost, 3001u);
  EXPECT_EQ(numbers(trail).back(), 9999);
}

/// Routers as separate processes.
class Routers : public Trails {
 protected:
  static constexpr int kRouters = 3;
  ~Routers() override {
    for (int r = 0; r < kRouters; ++r) end(r, SIGKILL);
  }
  std::string path(int r, const char* what) const {
    return folder_ + "/r" + std::to_string(r + 1) + what;
  }
  void write(int r, int attempts) {
    Json config = Json::parse(
        net::test::config_text({.dials = {caches_[0].address(), caches_[1].address()}}));
    config["name"] = "r" + std::to_string(r + 1);
    config["settings"]["Limits"]["MaxAttempts"] = attempts;
    std::ofstream(path(r, ".json")) << config.dump();
  }
  void start(int r) {
    write(r, 5);
    std::ofstream(path(r, ".conf"))
        << "version 1;\naudit trail { folder = \"" << path(r, "") << "\"; every = 100ms; }\n";
    std::string config = "NODE_CONFIG=" + path(r, ".json");
    std::string program = VIOLETUSHER_PROGRAM, option = "--operator", file = path(r, ".conf");
    char* arguments[] = {program.data(), option.data(), file.data(), nullptr};
    char* environment[] = {config.data(), nullptr};
    std::string log = path(r, ".log");
    fs::remove(log);
    pids_[r] = ::fork();
    if (pids_[r] != 0) {
      ASSERT_TRUE(eventually([&] { return port(r) > 0; })) << logged(r);
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0u, 0);
    ::execve(arguments[0], arguments, environment);
    ::_exit(127);
  }
  void end(int r, int signal) {
    if (pids_[r] <= 0) return;
    ::kill(pids_[r], signal);
    ::waitpid(pids_[r], nullptr, 0);
    pids_[r] = 0;
  }
  std::string logged(int r) {
    std::ifstream in(path(r, ".log"));
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::uint16_t port(int r) {
    std::string log = logged(r);
    std::size_t at = log.find("listens on 127.0.0.1:");
    if (at == log.npos || log.find('\n', at) == log.npos) return 0;
    return static_cast<std::uint16_t>(std::atoi(log.c_str() + at + 21));
  }
  void reads(int r, const std::string& name, int count) {
    net::test::Client client(port(r));
    for (int k = 0; k < count; ++k) {
      std::string id = name + std::to_string(k);
      client.send(net::test::read_command(id, "key-" + std::to_string(k)));
      ASSERT_EQ(client.line(), "VA 5 O" + id);
      client.line();
    }
  }
  void reload_settings(int r) {
    write(r, 3);
    ::kill(pids_[r], SIGHUP);
    ASSERT_TRUE(
        eventually([&] { return logged(r).find("reload: discovery at") != std::string::npos; }));
  }
  History history() {
    History h;
    for (int r = 0; r < kRouters; ++r) h.add(read_trail(path(r, "")));
    return h;
  }

  net::test::LineServer caches_[2] = {net::test::LineServer(net::test::good_cache),
                                      net::test::LineServer(net::test::good_cache)};
  pid_t pids_[kRouters] = {};
};

/// One router never gets the new settings; one is killed and restarted with the old ones.
TEST_F(Routers, TrailsMatchReceivedRequestsAndShowLateRouters) {
  for (int r = 0; r < kRouters; ++r) {
    start(r);
    reads(r, "a", 60);
  }
  for (int r = 0; r < 2; ++r) {
    reload_settings(r);
    reads(r, "b", 40 + r);
  }
  // Wait until all of r2's activity is on its disk before killing it.
  ASSERT_TRUE(eventually([&] {
    std::uint64_t recorded = 0;
    History now = history();
    for (const auto& s : now.periods()) recorded += s.router == "r2" ? s.attempts() : 0;
    return recorded == 101;
  }));
  end(1, SIGKILL);
  start(1);
  reads(1, "c", 30);
  for (int r = 0; r < kRouters; ++r) end(r, SIGTERM);

  History h = history();
  EXPECT_TRUE(h.violations().empty());
  std::map<std::string, std::uint64_t> recorded;
  for (const auto& s : h.periods())
    for (const auto& [server, types] : s.sent) recorded[server] += types.at("read");
  EXPECT_EQ(recorded["s-0"], caches_[0].lines().size());
  EXPECT_EQ(recorded["s-1"], caches_[1].lines().size());
  EXPECT_EQ(recorded["s-0"] + recorded["s-1"], 60u * 3 + 40 + 41 + 30);

  std::map<std::string, std::uint64_t> under;  // attempts, by settings
  for (const auto& s : h.periods()) under[s.versions.at("settings")] += s.attempts();
  ASSERT_EQ(under.size(), 2u);
  auto fresh = under.begin()->second == 81 ? under.begin() : std::next(under.begin());
  EXPECT_EQ(fresh->second, 81u);
  auto arrivals = h.arrivals("settings", fresh->first);
  ASSERT_EQ(arrivals.size(), 3u);
  EXPECT_TRUE(arrivals[0].never);
  EXPECT_EQ(arrivals[0].router, "r3");
  EXPECT_EQ(arrivals[0].why, core::audit::Arrival::Why::kActedOnAnother);
  EXPECT_FALSE(arrivals[1].never);
  for (int r = 0; r < kRouters; ++r) EXPECT_TRUE(read_trail(path(r, "")).faults.empty()) << r;
}

/// A full disk affects no request, and the trail is completed once there is space again.
TEST_F(Routers, FullDiskDelaysTheTrailButNoRequest) {
  start(0);
  reads(0, "a", 20);
  std::uint64_t recorded = 0;
  auto count = [&] {
    History h;
    h.add(read_trail(path(0, "")));
    recorded = 0;
    for (const auto& s : h.periods()) recorded += s.attempts();
    return recorded;
  };
  ASSERT_TRUE(eventually([&] { return count() == 20; }));
  auto size = fs::file_size(trail_files(path(0, ""))[0]);
  rlimit before{}, full{size + 20, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(pids_[0], RLIMIT_FSIZE, &full, &before), 0);
  reads(0, "b", 30);
  ASSERT_TRUE(
      eventually([&] { return logged(0).find("trail is not written") != std::string::npos; }));
  reads(0, "c", 40);
  EXPECT_TRUE(read_trail(path(0, "")).faults.empty());
  EXPECT_EQ(count(), 20u);
  ASSERT_EQ(::prlimit(pids_[0], RLIMIT_FSIZE, &before, nullptr), 0);
  // The blocks were queued and none was lost; the same file is continued.
  ASSERT_TRUE(eventually([&] { return count() == 90; })) << recorded;
  EXPECT_TRUE(read_trail(path(0, "")).faults.empty());
  EXPECT_EQ(trail_files(path(0, "")).size(), 1u);
}

/// Killed at any moment: the trail is complete up to a torn end, and no attempt counts twice.
TEST_F(Routers, TrailContinuesAfterRepeatedKills) {
  constexpr int kLives = 8;
  for (int life = 0; life < kLives; ++life) {
    start(0);
    reads(0, "l" + std::to_string(life) + "-", 30 + 17 * life);
    end(0, SIGKILL);
  }
  start(0);
  end(0, SIGTERM);
  Trail trail = read_trail(path(0, ""));
  for (const Fault& f : trail.faults) EXPECT_EQ(f.kind, Fault::Kind::kTorn);
  History h;
  h.add(trail);
  EXPECT_TRUE(h.violations().empty());
  std::map<std::string, std::uint64_t> recorded;
  for (const auto& s : h.periods())
    for (const auto& [server, types] : s.sent) recorded[server] += types.at("read");
  EXPECT_LE(recorded["s-0"], caches_[0].lines().size());
  EXPECT_LE(recorded["s-1"], caches_[1].lines().size());
  // One start block per process, including the last one.
  int lives = 0;
  for (const auto& b : trail.blocks) lives += b.body.value("why", "") == "start";
  EXPECT_EQ(lives, kLives + 1);
}

}  // namespace
}  // namespace violetusher::audit
