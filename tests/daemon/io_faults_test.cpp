// Daemon processes whose system calls fail for a while. No ban, reload or host list change may be
// lost by that, and no request.
#include "process_support.hpp"

namespace violetusher::net::test {
namespace {

/// Two cache servers, and a daemon with an operator address under a fault script.
class IoFaults : public ::testing::Test {
 protected:
  IoFaults()
      : operator_port_(free_port()),
        discovery_({{"s-0", first_.address()}, {"s-1", second_.address()}}) {
    options_.dials = {first_.address(), second_.address()};
    options_.discovery = discovery_.address();
    options_.operator_listen = loopback_text(operator_port_);
    faults("");
  }

  void configure() { folder_.write("config.json", config_text(options_)); }
  void faults(const std::string& script) {
    folder_.write("faults", script);
    sleep_ms(20);  // the library polls the script every 2 ms
  }
  std::unique_ptr<Daemon> start() {
    configure();
    auto daemon = std::make_unique<Daemon>(folder_, Daemon::Options{.faults = true});
    EXPECT_NE(daemon->port(), 0) << daemon->log();
    EXPECT_TRUE(wait_until(kTestTimeoutMs, [&] { return call("HEALTH") == "SUCCESS\r\n"; }));
    return daemon;
  }
  std::string call(const std::string& line) {
    Client caller(operator_port_);
    if (!caller.connected()) return {};
    caller.send(line + "\r\n");
    return caller.read_all();
  }
  nlohmann::json figures() {
    std::string text = call("DUMP");
    return nlohmann::json::parse(text.substr(0, text.find("\r\n")), nullptr, false);
  }
  int disabled() { return figures().value("targets_disabled", -1); }
  /// Reads `count` keys one after the other; returns how many were served.
  int read_keys(std::uint16_t port, const std::string& name, int count, int pause_ms = 0) {
    Client client(port);
    int served = 0;
    for (int k = 0; k < count; ++k) {
      std::string id = name + std::to_string(k);
      client.send(read_command(id, "k" + std::to_string(k)));
      std::string line = client.line();
      if (line != "VA 5 O" + id) {
        std::lock_guard lock(mutex_);
        unserved_ += id + ": " + line + "\n";
        continue;
      }
      client.line();
      ++served;
      if (pause_ms > 0) sleep_ms(pause_ms);
    }
    return served;
  }

  TemporaryDirectory folder_;
  LineServer first_{good_cache}, second_{good_cache};
  std::uint16_t operator_port_;
  LongPollDiscovery discovery_;
  RouterOptions options_;
  std::mutex mutex_;
  std::string unserved_;  // answers other than a value
};

constexpr char kFullDisk[] = "write,fdatasync,fsync path=.bans error=ENOSPC|EIO\n";

TEST_F(IoFaults, ABanOnAFullDiskIsNotLostByTheNextBan) {
  auto daemon = start();
  faults(kFullDisk);
  call("OFFLINE s-0");
  EXPECT_EQ(disabled(), 1);
  faults("");
  EXPECT_EQ(call("OFFLINE s-1"), "SUCCESS\r\n");
  sleep_ms(300);  // several polls of the file
  EXPECT_EQ(disabled(), 2);
}

TEST_F(IoFaults, ABanOnAFullDiskIsWrittenOnceTheDiskHasSpace) {
  auto daemon = start();
  faults(kFullDisk);
  call("OFFLINE s-0");
  faults("");
  EXPECT_EQ(call("OFFLINE s-1"), "SUCCESS\r\n");
  sleep_ms(1000);
  daemon->kill();
  daemon = start();
  EXPECT_EQ(disabled(), 2);
}

TEST_F(IoFaults, ABanIsNotAcknowledgedBeforeItIsDurable) {
  auto daemon = start();
  faults(kFullDisk);
  bool promised = call("OFFLINE s-0") == "SUCCESS\r\n";
  daemon->kill();
  faults("");
  daemon = start();
  EXPECT_EQ(disabled(), promised ? 1 : 0);
  EXPECT_FALSE(promised);
}

TEST_F(IoFaults, BansHoldWhileTheBanLogCannotBeRead) {
  auto daemon = start();
  ASSERT_EQ(call("OFFLINE s-0"), "SUCCESS\r\n");
  faults("open,pread path=.bans error=EIO|ENFILE chance=0.5\n");
  std::string name = "violetusher-n0.bans";
  std::size_t before = first_.lines().size();
  for (int round = 0; round < 15; ++round) {
    // Another process of this router replaces the file.
    folder_.write(name, folder_.read(name) + "OFFLINE s-elsewhere\n");
    for (int k = 0; k < 10; ++k) {
      ASSERT_EQ(disabled(), 1);
      read_keys(daemon->port(), std::to_string(round) + "-" + std::to_string(k) + "-", 3);
      sleep_ms(10);
    }
  }
  EXPECT_EQ(first_.lines().size(), before);
}

TEST_F(IoFaults, ANewProcessServesNothingBeforeTheBansAreRead) {
  auto daemon = start();
  ASSERT_EQ(call("OFFLINE s-0"), "SUCCESS\r\n");
  daemon->kill();
  first_.forget();
  faults("open,pread path=.bans error=EIO until=700ms\n");
  configure();
  daemon = std::make_unique<Daemon>(folder_, Daemon::Options{.faults = true});
  ASSERT_NE(daemon->port(), 0);
  EXPECT_GT(read_keys(daemon->port(), "r", 100), 0);
  EXPECT_EQ(first_.lines().size(), 0u);
}

TEST_F(IoFaults, APartiallyWrittenBanDoesNotBanAnotherServer) {
  discovery_.set_health("s-12", second_.address(), "active");
  auto daemon = start();
  ASSERT_TRUE(wait_until(kTestTimeoutMs, [&] { return figures().value("targets", 0) == 3; }));
  // Writes only "OFFLINE s-1" of "OFFLINE s-12".
  faults(
      "write path=.bans short=11 times=1\nwrite path=.bans error=ENOSPC skip=1\n"
      "ftruncate path=.bans error=EIO\n");
  call("OFFLINE s-12");
  daemon->kill();
  faults("");
  daemon = start();
  EXPECT_EQ(call("OFFLINE s-0"), "SUCCESS\r\n");
  daemon->kill();
  EXPECT_EQ(folder_.read("violetusher-n0.bans").find("OFFLINE s-1\n"), std::string::npos);
}

TEST_F(IoFaults, AReloadIsRetriedUntilTheSettingsCanBeRead) {
  auto daemon = start();
  LongPollDiscovery moved({{"s-0", first_.address()}, {"s-1", second_.address()}});
  options_.discovery = moved.address();
  configure();
  faults("open path=config.json error=ENFILE until=1s\n");
  daemon->signal(SIGHUP);
  EXPECT_TRUE(wait_until(3000, [&] { return moved.calls() > 0; })) << daemon->log();
  EXPECT_GE(figures().value("reload_success", 0), 1);
}

TEST_F(IoFaults, SighupIsNotLostWhileSendFails) {
  auto daemon = start();
  LongPollDiscovery moved({{"s-0", first_.address()}, {"s-1", second_.address()}});
  options_.discovery = moved.address();
  configure();
  faults("send,write error=ENOBUFS\n");
  daemon->signal(SIGHUP);
  sleep_ms(200);
  faults("");
  EXPECT_TRUE(wait_until(3000, [&] { return moved.calls() > 0; })) << daemon->log();
}

TEST_F(IoFaults, ADrainIsNoticedWhileNoSocketCanBeCreated) {
  options_.drain_grace_us = "500000";
  auto daemon = start();
  std::uint16_t port = daemon->port();
  ASSERT_GT(read_keys(port, "warm", 100), 0);
  ASSERT_GT(first_.lines().size(), 0u);
  faults("socket,connect error=ENFILE|ENOBUFS|EADDRNOTAVAIL\n");
  sleep_ms(700);  // the watch from before the faults has ended
  discovery_.set_health("s-0", first_.address(), "leaving");
  sleep_ms(550);
  std::size_t before = first_.lines().size();
  read_keys(port, "r", 200, 2);
  EXPECT_EQ(first_.lines().size(), before);
}

/// Guards against calls to discovery that are in flight here but never looked at again, as the
/// system did not take their event.
TEST_F(IoFaults, ADrainIsNoticedAfterAWatchCouldNotBeRegistered) {
  options_.drain_grace_us = "500000";
  options_.list_on_demand = true;
  auto daemon = start();
  std::uint16_t port = daemon->port();
  ASSERT_GT(read_keys(port, "warm", 100), 0);
  ASSERT_GT(first_.lines().size(), 0u);
  sleep_ms(500);  // the watch waits
  for (int round = 0; round < 5; ++round) {
    faults("epoll_ctl error=ENOMEM|ENOSPC\n");
    discovery_.set_health("s-1", second_.address(), "active");  // the watch is answered
    sleep_ms(100);
    faults("");
    sleep_ms(100);
  }
  discovery_.set_health("s-0", first_.address(), "leaving");
  sleep_ms(550);
  std::size_t before = first_.lines().size();
  read_keys(port, "r", 200, 2);
  EXPECT_EQ(first_.lines().size(), before);
}

TEST_F(IoFaults, ADrainIsNoticedInTimeWhileManyCallsFail) {
  auto daemon = start();
  std::uint16_t port = daemon->port();
  ASSERT_GT(read_keys(port, "warm", 50), 0);
  faults(
      "socket,connect error=ENFILE|ENOBUFS|EADDRNOTAVAIL|ENETUNREACH chance=0.4\n"
      "readv,writev,read,write error=EINTR|ETIMEDOUT chance=0.25\n"
      "epoll_wait error=EINTR chance=0.3\n");
  const char* health[] = {"leaving", "active"};
  for (int round = 0; round < 12; ++round) {
    discovery_.set_health("s-0", first_.address(), health[round % 2]);
    sleep_ms(550);
    std::size_t before = first_.lines().size();
    read_keys(port, "r" + std::to_string(round) + "-", 40);
    if (round % 2 == 0) {
      EXPECT_EQ(first_.lines().size(), before) << round;
    }
  }
}

TEST_F(IoFaults, NoRequestIsLostWhileAcceptRunsOutOfDescriptors) {
  auto daemon = start();
  std::uint16_t port = daemon->port();
  faults("accept4 error=ENFILE|ENOBUFS|ENOMEM chance=0.5\n");
  std::atomic<int> lost{0}, served{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 8; ++c)
    clients.emplace_back([&, c] {
      for (int k = 0; k < 60; ++k) {
        Client client(port);
        sleep_ms(k % 5);  // the request arrives while the connection is idle
        std::string id = std::to_string(c) + "-" + std::to_string(k);
        client.send(read_command(id));
        client.line() == "VA 5 O" + id ? ++served : ++lost;
      }
    });
  for (auto& client : clients) client.join();
  EXPECT_EQ(lost, 0);
  EXPECT_EQ(served, 480);
}

TEST_F(IoFaults, PendingConnectionsAreServedAtShutdownAlthoughAcceptFails) {
  options_.deadline_us = "1000000";
  auto daemon = start();
  std::uint16_t port = daemon->port();
  faults("accept4 error=ENFILE|ENOMEM\n");
  Client client(port);
  client.send(read_command("late"));
  daemon->signal(SIGTERM);
  sleep_ms(620);  // past the time at which the daemon stops listening
  faults("");
  EXPECT_EQ(client.line(), "VA 5 Olate");
  EXPECT_EQ(daemon->wait(), 0);
}

TEST_F(IoFaults, OpenConnectionsServeRequestsWhileConnectFailsLocally) {
  auto daemon = start();
  std::uint16_t port = daemon->port();
  ASSERT_EQ(read_keys(port, "warm", 50), 50);
  faults("socket,connect error=EADDRNOTAVAIL|ENOBUFS chance=0.7\n");
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&, c] { served += read_keys(port, "c" + std::to_string(c) + "-", 100); });
  for (auto& client : clients) client.join();
  EXPECT_EQ(served, 400) << unserved_;
}

TEST_F(IoFaults, AClockStepBeforeTheStartDoesNotEndSlowStart) {
  options_.slow_start_us = "60000000";
  std::int64_t now_ms = std::time(nullptr) * std::int64_t{1000};
  discovery_.set_start_time("s-1", second_.address(), now_ms - 2000);
  faults("clock step=1h\n");
  auto daemon = start();
  read_keys(daemon->port(), "r", 300);
  std::size_t cold = second_.lines().size(), warm = first_.lines().size();
  EXPECT_LT(cold, warm / 2);
  EXPECT_GT(warm, 0u);
}

TEST_F(IoFaults, StartupSurvivesTransientFailures) {
  faults(
      "open path=config.json error=ENFILE|EIO times=3\n"
      "socket error=ENFILE|ENOBUFS times=4\n"
      "epoll_ctl error=ENOMEM times=2\n");
  auto daemon = start();
  EXPECT_EQ(read_keys(daemon->port(), "r", 20), 20);
}

}  // namespace
}  // namespace violetusher::net::test
