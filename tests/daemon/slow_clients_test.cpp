// Daemon processes whose clients are slow, stop half way, leave, or come by the hundred: sound ones
// are served whole, and memory keeps its limit.
#include <sys/resource.h>

#include "paced_server.hpp"
#include "process_support.hpp"

namespace violetusher::net::test {
namespace {

std::string long_value_for(const std::string& line, std::size_t length) {
  return value_for(line, std::string(length, 'v'));
}

class SlowClients : public ::testing::Test {
 protected:
  void start(const PacedServer::Answer& answer, int servers = 5) {
    for (int k = 0; k < servers; ++k) servers_.push_back(std::make_unique<PacedServer>(answer));
    for (const auto& server : servers_) options_.dials.push_back(server->address());
    folder_.write("config.json", config_text(options_));
    daemon_ = std::make_unique<Daemon>(folder_);
    port_ = daemon_->port();
    ASSERT_NE(port_, 0) << daemon_->log();
  }
  std::size_t commands_run() const {
    std::size_t sum = 0;
    for (const auto& server : servers_) sum += server->commands().size();
    return sum;
  }

  RouterOptions options_{.deadline_us = "1000000", .objective_us = "150000", .once_class = true};
  TemporaryDirectory folder_;
  std::vector<std::unique_ptr<PacedServer>> servers_;
  std::unique_ptr<Daemon> daemon_;
  std::uint16_t port_ = 0;
};

/// Reads `length` bytes at a steady rate; returns how many came.
std::size_t read_slowly(Client& client, std::size_t length, std::size_t bytes_per_second) {
  constexpr int kStepMs = 20;
  std::size_t step = bytes_per_second * kStepMs / 1000, came = 0;
  while (came < length) {
    std::size_t got = client.bytes(std::min(step, length - came)).size();
    came += got;
    if (got == 0) break;
    sleep_ms(kStepMs);
  }
  return came;
}

TEST_F(SlowClients, AReaderThatPausesAndGoesOnSlowlyGetsItsValueWhole) {
  constexpr std::size_t kLength = 4u << 20;
  start([](const ReceivedCommand& c) {
    return std::vector<Piece>{{0, long_value_for(c.line, kLength)}};
  });
  Client client(port_);
  client.send(read_command("slow", "k", "1000"));
  ASSERT_EQ(client.line().rfind("VA ", 0), 0u);
  ASSERT_EQ(client.bytes(64u << 10).size(), 64u << 10);
  sleep_ms(5000);
  std::size_t rest = kLength - (64u << 10);
  EXPECT_EQ(read_slowly(client, rest, 400'000), rest) << daemon_->log();
}

TEST_F(SlowClients, AWriterThatTakesSecondsForItsValueIsServed) {
  start([](const ReceivedCommand& c) {
    return std::vector<Piece>{{0, "HD O" + id_of(c.line) + " cR\r\n"}};
  });
  Client client(port_);
  std::string command = write_command("put", "w1", "1000", std::string(60'000, 'v'));
  for (std::size_t at = 0; at < command.size(); at += 1000) {
    client.send(command.substr(at, 1000));
    sleep_ms(60);
  }
  EXPECT_EQ(client.line(), "HD Ow1 cR") << daemon_->log();
}

/// PROTOCOL: clients that stop in the middle of a request get their error or close within 3 s.
TEST_F(SlowClients, AWriterThatStopsHalfWayIsClosedWithinThreeSeconds) {
  start({}, 0);
  std::string command = write_command("put", "w1", "1000", std::string(60'000, 'v'));
  for (std::size_t size : {std::size_t{20}, command.size() / 2, command.size() - 1}) {
    Client client(port_);
    SteadyTime begun = std::chrono::steady_clock::now();
    for (std::size_t at = 0; at < size; at += size / 20 + 1) {
      client.send(command.substr(at, std::min(size - at, size / 20 + 1)));
      sleep_ms(100);
    }
    client.read_all();
    EXPECT_TRUE(client.ended());
    EXPECT_LE(ms_between(begun, std::chrono::steady_clock::now()), 3000) << size;
  }
}

// ---- the end of a shutdown ----

/// Guards against closing on commands that waited for others of their connection, in the router or
/// in the system's buffers.
TEST_F(SlowClients, CommandsThatWaitAtTheEndOfAShutdownAreAnswered) {
  constexpr int kCommands = 400;
  start([](const ReceivedCommand&) { return std::vector<Piece>(); });  // silent
  Client client(port_);
  std::string commands;
  for (int k = 0; k < kCommands; ++k)
    commands += read_command("c" + std::to_string(k), std::string(200, 'k'), "600");
  client.send(commands);
  sleep_ms(100);
  daemon_->signal(SIGTERM);
  std::string answers = client.read_all();
  EXPECT_EQ(std::count(answers.begin(), answers.end(), '\n'), kCommands);
  EXPECT_FALSE(client.reset());
  EXPECT_EQ(daemon_->wait(), 0);
}

// ---- ids that come again ----

std::vector<Piece> store_late(const ReceivedCommand& c) {
  return {{300, "HD O" + id_of(c.line) + " cR\r\n"}};
}

int most_runs_of_an_id(const std::vector<std::unique_ptr<PacedServer>>& servers) {
  std::map<std::string, int> runs;
  for (const auto& server : servers)
    for (const ReceivedCommand& c : server->commands()) ++runs[id_of(c.line)];
  int most = 0;
  for (const auto& [id, count] : runs) most = std::max(most, count);
  return most;
}

TEST_F(SlowClients, AnIdThatComesAgainAfterItsClientLeftRunsOnce) {
  start(store_late);
  for (int k = 0; k < 5; ++k) {
    std::string command = write_command("pay", "again" + std::to_string(k), "900");
    {
      Client leaver(port_);
      leaver.send(command);
      sleep_ms(50);
    }
    sleep_ms(100);
    EXPECT_EQ(ask(port_, command).line, "SERVER_ERROR failed");
  }
  EXPECT_EQ(commands_run(), 5u);
}

/// Both processes of a replacement take clients from one listening socket for a while.
TEST_F(SlowClients, AnIdThatComesAgainAtTheOtherProcessOfAReplacementRunsOnce) {
  for (int k = 0; k < 5; ++k) servers_.push_back(std::make_unique<PacedServer>(store_late));
  for (const auto& server : servers_) options_.dials.push_back(server->address());
  folder_.write("config.json", config_text(options_));
  std::uint16_t port = 0;
  Fd listener = listen_on_loopback(port);
  ::fcntl(listener.get(), F_SETFD, 0);  // inherited by both
  Daemon::Options options;
  options.environment = {"NODE_ACCEPT_FD=" + std::to_string(listener.get())};
  Daemon one(folder_, options), other(folder_, options);
  ASSERT_NE(one.port(), 0) << one.log();
  ASSERT_NE(other.port(), 0) << other.log();
  int served = 0;
  for (int k = 0; k < 20; ++k) {
    std::string command = write_command("pay", "same" + std::to_string(k), "900");
    for (const TimedAnswer& answer : ask_all(port, {command, command, command, command}))
      served += answer.served();
  }
  EXPECT_EQ(served, 20);
  EXPECT_EQ(commands_run(), 20u);
  EXPECT_EQ(most_runs_of_an_id(servers_), 1);
}

/// A request that no server has executed may come again under its id.
TEST_F(SlowClients, AnIdThatComesAgainAfterARefusalIsServed) {
  std::atomic<bool> full{true};
  start([&](const ReceivedCommand& c) {
    return std::vector<Piece>{
        {0, full ? "SERVER_ERROR busy\r\n" : "HD O" + id_of(c.line) + " cR\r\n"}};
  });
  std::string command = write_command("pay", "refused", "900");
  EXPECT_EQ(ask(port_, command).line, "SERVER_ERROR busy");
  full = false;
  EXPECT_EQ(ask(port_, command).line, "HD Orefused cR");
}

// ---- servers replaced at their address ----

/// Guards against taking a new process at the address of one that has gone for the old one.
TEST_F(SlowClients, AServerReplacedAtItsAddressRunsNothingTwice) {
  auto store = [](const ReceivedCommand& c) {
    return std::vector<Piece>{{50, "HD O" + id_of(c.line) + " cR\r\n"}};
  };
  start(store);
  std::atomic<bool> stop{false};
  std::atomic<int> asked{0}, served{0};
  std::vector<std::thread> writers;
  for (int w = 0; w < 6; ++w)
    writers.emplace_back([&, w] {
      for (int k = 0; !stop; ++k) {
        std::string id = "w" + std::to_string(w) + "-" + std::to_string(k);
        TimedAnswer answer = ask(port_, write_command("pay", id, "900"));
        ++asked;
        served += answer.served();
        EXPECT_FALSE(answer.line.empty()) << id;
      }
    });
  std::vector<std::unique_ptr<PacedServer>> gone;
  for (int k = 0; k < 3; ++k) {  // at once, and after a gap
    sleep_ms(400);
    std::uint16_t port = servers_[static_cast<std::size_t>(k)]->port();
    servers_[static_cast<std::size_t>(k)]->stop();
    gone.push_back(std::move(servers_[static_cast<std::size_t>(k)]));
    sleep_ms(k * 150);
    servers_[static_cast<std::size_t>(k)] =
        std::make_unique<PacedServer>(store, PacedServer::Reading(), port);
  }
  sleep_ms(500);
  stop = true;
  for (std::thread& writer : writers) writer.join();
  for (auto& server : gone) servers_.push_back(std::move(server));
  EXPECT_EQ(most_runs_of_an_id(servers_), 1);
  EXPECT_GE(served * 10, asked * 5) << daemon_->log();
}

}  // namespace
}  // namespace violetusher::net::test
