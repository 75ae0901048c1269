// Connections that are closed to make room for others: none whose request has been taken, and none
// that may be about to send one.
#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

constexpr std::size_t kConnections = 6, kSpareConnections = 2;
constexpr Micros kLongQuiet = kSecond;

struct EvictionFixture : CoreFixture {
  EvictionFixture()
      : CoreFixture({100, 1u << 20},
                    {.connections = kConnections, .spare_connections = kSpareConnections}) {}
  /// A client that has sent the first half of a command.
  int half_command(const std::string& id) {
    int socket = client();
    receive(socket, half(id));
    return socket;
  }
  static std::string half(const std::string& id) { return read_command(id).substr(0, 10); }
  static std::string rest(const std::string& id) { return read_command(id).substr(10); }
  std::size_t accepted() const { return io.accepted.size(); }
};

/// Guards against losing a command whose last bytes arrive while its connection is evicted.
TEST(Evictions, ACommandThatIsCompleteByThenIsServed) {
  EvictionFixture w;
  std::vector<int> crowd;
  for (std::size_t k = 0; k < kConnections; ++k)
    crowd.push_back(w.half_command("a" + std::to_string(k)));
  w.io.time += kLongQuiet;
  w.io.ends[crowd[0]].in = EvictionFixture::rest("a0");
  int late = w.client();
  EXPECT_FALSE(w.ended(crowd[0]));
  EXPECT_TRUE(w.ended(crowd[1]));
  EXPECT_FALSE(w.ended(late));
  EXPECT_EQ(w.core.table().size(), 1u);
}

/// Guards against evicting a connection that has just been accepted in place of half commands that
/// have stopped: its first command is on its way.
TEST(Evictions, ANewConnectionIsNotClosedForACrowdOfHalfCommands) {
  EvictionFixture w;
  std::vector<int> crowd;
  for (std::size_t k = 0; k + 1 < kConnections; ++k)
    crowd.push_back(w.half_command("a" + std::to_string(k)));
  w.io.time += kLongQuiet;
  int good = w.client();
  for (int k = 0; k < 3; ++k) w.half_command("b" + std::to_string(k));
  EXPECT_FALSE(w.ended(good));
  w.receive(good, read_command("good"));
  EXPECT_EQ(w.core.table().size(), 1u);
}

/// Guards against the same where all connections are new: further ones wait in the backlog.
TEST(Evictions, FurtherConnectionsWaitWhileAllAreNew) {
  EvictionFixture w;
  for (std::size_t k = 0; k < kConnections; ++k) w.half_command("a" + std::to_string(k));
  std::size_t before = w.accepted();
  w.io.waiting_clients = 1;
  w.io.ready(1, Watch::kReadable);
  EXPECT_EQ(w.accepted(), before);
  EXPECT_FALSE(w.io.ends[1].reading);
  for (int socket : w.io.accepted) EXPECT_FALSE(w.ended(socket));
  w.io.time += kLongQuiet;
  w.io.ready(1, Watch::kReadable);
  EXPECT_EQ(w.accepted(), before + 1);
}

/// Guards against refusing a client's commands although an idle connection has made room for it.
TEST(Evictions, AConnectionForWhichAnIdleOneIsClosedIsServed) {
  EvictionFixture w;
  std::vector<int> idle;
  for (std::size_t k = 0; k < kConnections; ++k) {
    idle.push_back(w.client());
    w.receive(idle.back(), "mn\r\n");
    w.flush();
  }
  int late = w.client();
  EXPECT_TRUE(w.ended(idle[0]));
  w.receive(late, read_command("late"));
  EXPECT_EQ(w.core.table().size(), 1u);
}

/// Connections with open requests are never closed: further clients are told to come again.
TEST(Evictions, OpenRequestsAreKeptAndFurtherClientsRefused) {
  EvictionFixture w;
  std::vector<int> busy;
  for (std::size_t k = 0; k < kConnections; ++k) {
    busy.push_back(w.client());
    w.receive(busy.back(), read_command("a" + std::to_string(k)));
  }
  int late = w.client();
  w.receive(late, read_command("late"));
  w.flush();
  EXPECT_EQ(w.io.ends[late].out, "SERVER_ERROR busy\r\n");
  for (int socket : busy) EXPECT_FALSE(w.ended(socket));
}

}  // namespace
}  // namespace violetusher::net::test
