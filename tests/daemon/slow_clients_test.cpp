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
  sleep_ms(2000);
  std::size_t rest = kLength - (64u << 10);
  EXPECT_EQ(read_slowly(client, rest, 600'000), rest) << daemon_->log();
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

}  // namespace
}  // namespace violetusher::net::test
