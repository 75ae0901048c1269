// Long values that break off after their response has begun: what else the router holds stays
// valid, and other responses are complete.
#include <random>
#include <set>

#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

constexpr std::size_t kLongValueBytes = 200'000;
// Enough of a long value for its response to begin.
constexpr std::size_t kBegunBytes = 40'000;
// Longer than a streamed value may pause before it counts as broken off.
constexpr Micros kSilence = 10 * kSecond;

std::string head(const std::string& id) {
  return "VA " + std::to_string(kLongValueBytes) + " O" + id + " h1\r\n";
}

struct LongValueFixture : CoreFixture {
  /// Sends request `id` to `server` over a new connection and returns that connection.
  int dial_for(RequestId id, const std::string& server) {
    core.send({id, server, 0});
    int socket = io.dialled.back();
    io.ready(socket, Watch::kWritable);
    flush();
    return socket;
  }
  void begin_value(int server, const std::string& id) {
    std::string bytes = head(id) + std::string(kBegunBytes, 'x');
    io.ends[server].in += bytes;
    for (int k = 0; k < 4; ++k) io.ready(server, Watch::kReadable);
  }
  /// Lets the server side look for answers that have stopped.
  void sweep_servers() { servers.update_hosts(config.initial_hosts); }
};

/// Guards against a crash in the sweep over server connections: cutting off one long value closes
/// the client's connection, which ended another long value on the pool that was being swept.
TEST(CutOffValues, OfOneClientOnOnePoolEndTogether) {
  LongValueFixture w;
  int client = w.client();
  w.receive(client, read_command("a") + read_command("b"));
  w.deliver_events();
  // The connection of the value that is passed on is the last of its pool: it is swept first.
  int second = w.dial_for(2, "s-0"), first = w.dial_for(1, "s-0");
  ASSERT_NE(first, second);
  w.begin_value(first, "a");
  w.begin_value(second, "b");
  w.flush();
  w.io.time += kSilence;
  w.sweep_servers();
  w.flush();
  w.deliver_events();
  EXPECT_EQ(w.core.table().size(), 0u);
  EXPECT_EQ(w.servers.connections(), 0u);
  const std::string& out = w.io.ends[client].out;
  EXPECT_EQ(out.compare(0, 10, head("a"), 0, 10), 0);
  EXPECT_LT(out.size(), kLongValueBytes);
}

/// Guards against losing the responses before a long value that breaks off: the client gets them
/// before the connection is closed, and nothing that it sends afterwards is forwarded.
TEST(CutOffValues, LeaveTheResponsesBeforeThem) {
  LongValueFixture w;
  int client = w.client();
  w.receive(client, read_command("a") + read_command("b"));
  w.deliver_events();
  int first = w.dial_for(1, "s-0"), second = w.dial_for(2, "s-1");
  w.begin_value(second, "b");
  w.io.ends[second].ended = true;
  w.io.ready(second, Watch::kReadable);
  w.receive(client, read_command("c"));
  w.flush();
  w.receive(client, read_command("d"));
  w.flush();
  w.deliver_events();
  EXPECT_EQ(w.core.table().size(), 1u);
  w.receive(first, "VA 5 Oa h1\r\nprice\r\n");
  w.flush();
  w.deliver_events();
  const std::string& out = w.io.ends[client].out;
  std::string expected = "VA 5 Oa\r\nprice\r\nVA " + std::to_string(kLongValueBytes) + " Ob\r\n";
  EXPECT_EQ(out.substr(0, expected.size()), expected);
  EXPECT_LT(out.size(), kLongValueBytes);
  EXPECT_EQ(w.core.table().size(), 0u);
  w.io.ends[client].ended = true;
  w.io.ready(client, Watch::kReadable);  // "c" and "d", which are discarded
  w.io.ready(client, Watch::kReadable);
  EXPECT_EQ(w.clients.connections(), 0u);
}

/// Guards against cutting off a long value whose attempt had timed out before the value began: its
/// connection counted as abandoned and was closed with the last attempt behind it.
TEST(CutOffValues, AValueThatBeganAfterItsTimeoutIsPassedOnWhole) {
  LongValueFixture w;
  int client = w.client(), other = w.client();
  w.receive(client, read_command("a"));
  w.receive(other, read_command("b") + read_command("c"));
  w.deliver_events();
  int server = w.dial_for(1, "s-0");
  w.dial_for(2, "s-0");
  w.core.send({3, "s-0", 0});  // waits behind "a"
  w.flush();
  ASSERT_NE(w.io.ends[server].out.find(" Oc "), std::string::npos);
  EXPECT_FALSE(w.servers.may_abandon("s-0", 1, 0));  // as "c" still waits there
  w.begin_value(server, "a");
  w.core.cancel({3, 0});
  w.receive(server, std::string(kLongValueBytes - kBegunBytes, 'x') + "\r\n");
  for (int k = 0; k < 20; ++k) w.io.ready(server, Watch::kReadable);
  w.flush();
  EXPECT_GT(w.io.ends[client].out.size(), kLongValueBytes);
}

/// Guards against callbacks that change what their caller iterates over: over random histories of
/// long values that are completed, cut off, left and swept, no state stays and nothing crashes.
TEST(CutOffValues, RandomHistoriesLeaveNoState) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    LongValueFixture w;
    std::vector<int> open_clients;
    RequestId next = 1;
    std::map<int, std::string> unsent_tail;  // of values that have begun, by server connection
    for (int step = 0; step < 300; ++step) {
      if (open_clients.size() < 2) open_clients.push_back(w.client());
      int client = open_clients[random() % open_clients.size()];
      int server = w.io.dialled.empty() ? 0 : w.io.dialled[random() % w.io.dialled.size()];
      switch (random() % 9) {
        case 0:
        case 1:
          w.receive(client, read_command("q" + std::to_string(next), "k", "900000"));
          w.deliver_events();
          w.core.send({next, random() % 4 ? "s-0" : "s-1", 0});
          ++next;
          for (int s : w.io.dialled) w.io.ready(s, Watch::kWritable);
          w.servers.flush();
          break;
        case 2:
        case 3:
        case 4: {  // the next answer begins
          if (!server || unsent_tail.count(server)) break;
          std::string& out = w.io.ends[server].out;
          std::size_t end = out.find("\r\n");
          if (end == out.npos) break;
          std::string id = id_of(out.substr(0, end));
          out.erase(0, end + 2);
          w.begin_value(server, id);
          unsent_tail[server] = std::string(kLongValueBytes - kBegunBytes, 'x') + "\r\n";
          break;
        }
        case 5:  // the answer is completed
          if (!unsent_tail.count(server)) break;
          w.io.ends[server].in += unsent_tail[server];
          unsent_tail.erase(server);
          for (int k = 0; k < 20; ++k) w.io.ready(server, Watch::kReadable);
          break;
        case 6:  // the server closes
          if (!server) break;
          w.io.ends[server].ended = true;
          w.io.ready(server, Watch::kReadable);
          unsent_tail.erase(server);
          break;
        case 7:
          w.io.time += random() % 3 ? kSecond : kSilence;
          w.sweep_servers();
          break;
        default:
          if (random() % 3) break;
          w.io.ends[client].ended = true;
          w.io.ready(client, Watch::kReadable);
          std::erase(open_clients, client);
      }
      if (random() % 2) w.flush();
      if (random() % 2) w.deliver_events();
      std::erase_if(open_clients, [&](int c) { return !w.io.ends[c].open; });
    }
    for (int client : open_clients) {
      w.io.ends[client].ended = true;
      w.io.ready(client, Watch::kReadable);
    }
    for (int k = 0; k < 20; ++k) {
      w.flush();
      w.deliver_events();
      w.advance(kSilence);
      w.sweep_servers();
      for (int client : w.io.accepted) w.io.ready(client, Watch::kReadable);
    }
    EXPECT_EQ(w.core.table().size(), 0u);
    EXPECT_EQ(w.clients.connections(), 0u);
  }
}

}  // namespace
}  // namespace violetusher::net::test
