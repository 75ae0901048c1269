// The limit on what is buffered for clients is kept by not taking more, never by closing a
// connection whose requests are open: each request gets one final response.
#include <map>
#include <set>

#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

constexpr std::size_t kBufferLimit = 1u << 20;
constexpr std::size_t kLeastRealLimit = 4u << 20;  // of a router with 32 MB
constexpr std::size_t kValueBytes = 60'000;
constexpr int kClients = 40;

/// The first word of each response of a client, without the values.
std::vector<std::string> responses_in(std::string text) {
  std::vector<std::string> found;
  while (!text.empty()) {
    std::size_t end = text.find("\r\n");
    if (end == text.npos) return {"incomplete"};
    std::string line = text.substr(0, end);
    std::size_t value = line.rfind("VA ", 0) == 0 ? std::stoul(line.substr(3)) + 2 : 0;
    if (text.size() < end + 2 + value) return {"incomplete"};
    text.erase(0, end + 2 + value);
    found.push_back(line.substr(0, line.find(" O")));
  }
  return found;
}

struct ClientBufferFixture : CoreFixture {
  explicit ClientBufferFixture(std::size_t buffer_limit = kBufferLimit)
      : CoreFixture({2000, 64u << 20}, {.buffer_bytes = buffer_limit}, kClients),
        limit(buffer_limit) {
    for (int k = 0; k < kClients; ++k) sockets.push_back(client());
  }
  /// Sends each new request: number `first` to s-1, the others to s-0.
  void dispatch(RequestId first = 0) {
    while (!feed.empty()) {
      ModuleEvent event = std::move(feed.pop());
      violetusher::Request request;
      if (auto* e = std::get_if<RequestEvent>(&event)) {
        if (!core.describe(e->id, request)) continue;
        std::size_t dials = io.dialled.size();
        core.send({e->id, e->id == first ? "s-1" : "s-0", 0});
        if (io.dialled.size() > dials) {
          if (e->id == first) held_server = io.dialled.back();
          io.ready(io.dialled.back(), Watch::kWritable);
        }
      }
      if (auto* e = std::get_if<OutcomeEvent>(&event)) core.on_event_delivered(e->outcome.id);
      if (auto* e = std::get_if<DisconnectEvent>(&event)) core.on_event_delivered(e->id);
      if (auto* e = std::get_if<StreamBeginEvent>(&event)) core.on_event_delivered(e->id);
    }
    flush();
  }
  /// Answers what a server has received.
  void answer(int server, std::size_t value_bytes = kValueBytes) {
    std::string lines;
    lines.swap(io.ends[server].out);
    for (std::size_t end; (end = lines.find("\r\n")) != lines.npos; lines.erase(0, end + 2)) {
      std::string line = lines.substr(0, end);
      if (line.rfind("mg ", 0) == 0)
        io.ends[server].in += value_for(line, std::string(value_bytes, 'x'));
      else if (line.rfind("ms ", 0) == 0)
        io.ends[server].in += "HD O" + id_of(line) + " c7\r\n";
    }
  }
  /// Lets the servers answer everything, except the held one.
  void serve(std::size_t value_bytes = kValueBytes) {
    for (int round = 0; round < 400; ++round) {
      for (int server : std::vector<int>(io.dialled)) {
        if (server == held_server) continue;
        answer(server, value_bytes);
        if (io.ends[server].reading) io.ready(server, Watch::kReadable);
        EXPECT_LE(clients.buffered(), limit);
      }
      for (int socket : sockets)
        if (io.ends[socket].reading && !io.ends[socket].in.empty())
          io.ready(socket, Watch::kReadable);
      dispatch();
      EXPECT_LE(clients.buffered(), limit);
    }
  }
  void expect_one_response_each(std::size_t commands) {
    EXPECT_EQ(invariants.total(), 0u);
    for (int socket : sockets) {
      EXPECT_TRUE(io.ends[socket].open);
      auto responses = responses_in(io.ends[socket].out);
      EXPECT_EQ(responses.size(), commands);
      for (const std::string& one : responses) ++outcomes[one];
    }
  }

  const std::size_t limit;
  std::vector<int> sockets;
  int held_server = -1;
  std::map<std::string, int> outcomes;
};

/// Guards against closing clients that pipeline: the values that wait for an earlier response
/// filled the buffers, and the connections with the most were closed with all their requests.
TEST(ClientBuffers, ValuesThatWaitForAnEarlierResponseCloseNoClient) {
  ClientBufferFixture w;
  constexpr int kCommands = 30;
  std::string commands;
  for (int k = 0; k < kCommands; ++k) commands += read_command("a" + std::to_string(k));
  w.sockets.resize(1);
  w.receive(w.sockets[0], commands);
  w.dispatch(1);
  w.serve();
  EXPECT_EQ(w.io.ends[w.sockets[0]].out, "");
  w.answer(w.held_server);
  w.held_server = -1;
  w.serve();
  w.expect_one_response_each(kCommands);
  EXPECT_GE(w.outcomes["VA 60000"], 15);
}

/// Guards against refusing pipelines that can be served one part after the other.
TEST(ClientBuffers, PipelinesOfManyClientsAreServedInTurn) {
  ClientBufferFixture w(kLeastRealLimit);
  constexpr int kCommands = 30;
  for (int socket : w.sockets) {
    std::string commands;
    for (int k = 0; k < kCommands; ++k)
      commands += read_command(std::to_string(socket) + "-" + std::to_string(k));
    w.receive(socket, commands);
  }
  w.dispatch();
  w.serve();
  w.expect_one_response_each(kCommands);
  EXPECT_EQ(w.outcomes["VA 60000"], kClients * kCommands);
}

/// Guards against closing clients that do not read at once.
TEST(ClientBuffers, SlowReadersGetAResponseEach) {
  ClientBufferFixture w;
  for (int socket : w.sockets) {
    w.io.ends[socket].blocked = true;
    w.receive(socket, read_command(std::to_string(socket)));
  }
  w.dispatch();
  w.serve();
  for (int socket : w.sockets) {
    w.io.ends[socket].blocked = false;
    w.io.ready(socket, Watch::kWritable);
  }
  w.flush();
  w.expect_one_response_each(1);
  EXPECT_GE(w.outcomes["VA 60000"], 10);
}

/// Guards against cutting off long values of slow readers: a value for which there is no room is
/// refused before it begins.
TEST(ClientBuffers, LongValuesThatHaveBegunAreNotCutOff) {
  constexpr std::size_t kLongValueBytes = 200'000;
  ClientBufferFixture w;
  for (int socket : w.sockets) {
    w.io.ends[socket].blocked = true;
    w.receive(socket, read_command(std::to_string(socket)));
  }
  w.dispatch();
  for (int round = 0; round < 100; ++round) {
    for (int server : std::vector<int>(w.io.dialled)) {
      w.answer(server, kLongValueBytes);
      if (w.io.ends[server].reading) w.io.ready(server, Watch::kReadable);
    }
    w.dispatch();
  }
  EXPECT_LE(w.clients.buffered(), w.limit);
  for (int socket : w.sockets) w.io.ends[socket].blocked = false;
  for (int round = 0; round < 400; ++round) {
    for (int socket : w.sockets) w.io.ready(socket, Watch::kWritable);
    w.flush();
    for (int server : std::vector<int>(w.io.dialled)) {
      w.answer(server, kLongValueBytes);
      if (w.io.ends[server].reading) w.io.ready(server, Watch::kReadable);
    }
    w.dispatch();
  }
  w.expect_one_response_each(1);
}

/// Guards against closing clients whose long commands are still being received: a value for which
/// there is no room is discarded as it comes, and its command refused.
TEST(ClientBuffers, CommandsWhoseValueFindsNoRoomAreRefused) {
  ClientBufferFixture w;
  const std::string value(kValueBytes, 'x');
  for (int socket : w.sockets) {
    std::string id = std::to_string(socket);
    w.receive(socket, "ms k" + id + " " + std::to_string(kValueBytes) + " O" + id +
                          " Pc=put,t=acme,d=1500,k=" + id + "\r\n" + value);
    for (int k = 0; k < 4; ++k) w.io.ready(socket, Watch::kReadable);
    w.flush();
    EXPECT_LE(w.clients.buffered(), w.limit);
  }
  for (int socket : w.sockets) w.receive(socket, "\r\n");
  w.dispatch();
  w.serve();
  w.expect_one_response_each(1);
  EXPECT_EQ(w.outcomes["HD"] + w.outcomes["SERVER_ERROR busy"], kClients);
  EXPECT_GE(w.outcomes["HD"], 10);
}

/// Guards against telling a server more time than a client has left, where its command has waited
/// for others of its connection.
TEST(ClientBuffers, ACommandThatWaitedForRoomKeepsItsDeadline) {
  ClientBufferFixture w;
  int socket = w.sockets[0];
  std::string commands;
  for (int k = 0; k < 33; ++k) commands += read_command("a" + std::to_string(k), "k1", "1500");
  w.receive(socket, commands);
  w.dispatch();
  int answered = 0;
  w.io.time += kSecond;
  for (int round = 0; round < 200; ++round) {
    for (int server : w.io.dialled) {
      if (w.io.ends[server].out.find(" Oa32 ") != std::string::npos) {
        std::string line = w.io.ends[server].out;
        std::size_t at = line.find("d=", line.find(" Oa32 "));
        EXPECT_LE(std::stoi(line.substr(at + 2)), 500);
        ++answered;
      }
      w.answer(server, 100);
      w.io.ready(server, Watch::kReadable);
    }
    w.dispatch();
  }
  EXPECT_EQ(answered, 1);
}

}  // namespace
}  // namespace violetusher::net::test
