// Attempts that share a connection to a server: giving up one of them leaves the others alone.
#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

constexpr Micros kLongAgo = 2 * kSecond;

/// One connection to each server, and two clients with a request each at the same server.
struct SharedConnection : ::testing::Test, CoreFixture {
  SharedConnection() : CoreFixture({100, 1u << 20}, {}, 1) {}

  int client_with(const std::string& command) {
    int number = client();
    receive(number, command);
    deliver_events();
    return number;
  }
  void establish() {
    server = io.dialled.back();
    io.ready(server, Watch::kWritable);
    flush();
  }
  /// Requests a and b of two clients, of which the second waits for the answer to the first.
  void send_two_reads() {
    first = client_with(read_command("a"));
    second = client_with(read_command("b", "k2", "3000"));
    core.send({1, "s-0", 0});
    establish();
    core.send({2, "s-0", 0});
    flush();
  }
  void answer(const std::string& text) {
    io.ends[server].in += text;
    io.ready(server, Watch::kReadable);
    flush();
  }
  /// The client leaves, and the module cancels its attempt.
  void leave(int client, RequestId request) {
    io.ends[client].ended = true;
    io.ready(client, Watch::kReadable | Watch::kPeerEnded);
    core.cancel({request, 0});
    flush();
    deliver_events();
  }
  void sweep_servers() { servers.update_hosts(config.initial_hosts); }

  int server = 0, first = 0, second = 0;
};

/// Guards against closing a connection under the answer to another request when a request that its
/// server reads slowly is given up.
TEST_F(SharedConnection, AnAnswerThatHasBegunOutlivesAPartlyWrittenRequestBehindIt) {
  first = client_with(read_command("a"));
  second = client_with(write_command("put", "b", "1500", std::string(1000, 'v')));
  int third = client_with(read_command("c"));
  core.send({1, "s-0", 0});
  establish();
  io.ends[server].room = 300;
  core.send({2, "s-0", 0});
  core.send({3, "s-0", 0});
  flush();
  answer("VA 5 Oa h1\r\npr");
  std::size_t written = io.ends[server].out.size();
  leave(second, 2);
  EXPECT_TRUE(io.ends[server].open);
  io.ends[server].room = 100'000;
  io.ready(server, Watch::kWritable);
  flush();
  EXPECT_EQ(io.ends[server].out.size(), written);  // half a command is never finished
  answer("ice\r\n");
  EXPECT_EQ(io.ends[first].out, "VA 5 Oa\r\nprice\r\n");
  EXPECT_FALSE(io.ends[server].open);
  EXPECT_FALSE(core.table().size() == 0);  // the third was never sent and can go elsewhere
  EXPECT_TRUE(io.ends[third].out.empty());
}

/// Guards against ending a request because nobody waits any more for the one before it.
TEST_F(SharedConnection, ARequestBehindAnAbandonedOneIsWaitedFor) {
  send_two_reads();
  leave(first, 1);
  io.time += kLongAgo;
  sweep_servers();
  EXPECT_TRUE(io.ends[server].open);
  answer("VA 5 Oa h1\r\nprice\r\nVA 5 Ob h1\r\nprice\r\n");
  EXPECT_EQ(io.ends[second].out, "VA 5 Ob\r\nprice\r\n");
}

TEST_F(SharedConnection, IsClosedOnceNobodyWaitsAndTheServerIsSilent) {
  send_two_reads();
  leave(first, 1);
  leave(second, 2);
  EXPECT_FALSE(io.ends[server].open);
}

/// Guards against a request that the system sends on after its client has left, as another attempt
/// on its connection is waited for.
TEST_F(SharedConnection, IsClosedOverARequestThatTheServerHasNotTaken) {
  send_two_reads();
  io.ends[server].untaken = 1;
  leave(second, 2);
  EXPECT_FALSE(io.ends[server].open);
}

/// What the server has taken can't be called back: the connection stays for the other attempt.
TEST_F(SharedConnection, StaysOpenForAnotherAttemptIfTheServerHasTakenTheRequest) {
  send_two_reads();
  int third = client_with(read_command("c", "k3", "3000"));
  core.send({3, "s-0", 0});
  flush();
  io.ends[server].untaken = 1;  // of the third
  leave(second, 2);
  EXPECT_TRUE(io.ends[server].open);
  answer(value_for("mg k1 v Oa ") + value_for("mg k2 v Ob ") + value_for("mg k3 v Oc "));
  EXPECT_EQ(io.ends[third].out, "VA 5 Oc\r\nprice\r\n");
}

/// The request behind an abandoned one is withdrawn unsent: nobody waits, and nothing is cancelled.
TEST_F(SharedConnection, AnAbandonedAnswerIsNotAwaitedForEver) {
  first = client_with(read_command("a"));
  second = client_with(read_command("b", "k2", "3000"));
  core.send({1, "s-0", 0});
  establish();
  io.ends[server].blocked = true;
  core.send({2, "s-0", 0});
  flush();
  leave(first, 1);
  leave(second, 2);
  EXPECT_TRUE(io.ends[server].open);
  io.time += kLongAgo;
  sweep_servers();
  EXPECT_FALSE(io.ends[server].open);
}

}  // namespace
}  // namespace violetusher::net::test
