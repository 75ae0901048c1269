// One turn of the event loop does a bounded amount of work, whatever peers send.
#include <chrono>

#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

std::string noops(int count) {
  std::string commands;
  for (int k = 0; k < count; ++k) commands += "mn\r\n";
  return commands;
}

/// Guards against a flush that does not return while a client sends at full speed to a router that
/// shuts down: each answer made the connection be read again in the same flush.
TEST(LoopTurns, AClientAtFullSpeedIsReadOnceForEachFlushOfADrainingRouter) {
  CoreFixture w;
  int client = w.client();
  w.receive(client, "mn\r\n");
  w.flush();
  w.io.ends[client].endless_input = noops(20);
  w.clients.drain();
  w.io.ends[client].reads = 0;
  w.clients.flush();
  EXPECT_LE(w.io.ends[client].reads, 1);
}

/// Guards against a flush that serves all that one client has sent before any other client.
TEST(LoopTurns, AFlushAnswersOnlyOnePipelineOfAClient) {
  CoreFixture w;
  int client = w.client();
  w.receive(client, noops(3000));
  w.flush();
  EXPECT_LE(w.io.ends[client].out.size(), 200u);  // of 12,000 bytes in all
  for (int k = 0; k < 200; ++k) w.flush();
  EXPECT_EQ(w.io.ends[client].out.size(), 12'000u);
}

/// Guards against a shutdown that does not end as long as a client sends at full speed: each read
/// gave it something to answer.
TEST(LoopTurns, AClientAtFullSpeedDoesNotKeepARouterFromItsEnd) {
  CoreFixture w;
  int client = w.client();
  w.receive(client, "mn\r\n");
  w.flush();
  w.io.ends[client].endless_input = noops(20);
  w.clients.drain();
  w.clients.close_all();
  for (int k = 0; k < 1000; ++k) w.flush();
  EXPECT_TRUE(w.ended(client));
}

/// Guards against a close in the middle of a command that had been received whole.
TEST(LoopTurns, TheEndOfAShutdownAnswersWhatHadBeenReceived) {
  CoreFixture w;
  int client = w.client();
  w.receive(client, noops(1));
  w.flush();
  w.io.ends[client].in = noops(40) + write_command("put", "a", "1500", std::string(60'000, 'v'));
  w.clients.drain();
  w.clients.close_all();
  for (int k = 0; k < 100; ++k) {
    w.clients.close_all();
    w.flush();
  }
  EXPECT_TRUE(w.ended(client));
  std::string answers;
  for (int k = 0; k < 41; ++k) answers += "MN\r\n";
  EXPECT_EQ(w.io.ends[client].out, answers + "SERVER_ERROR busy\r\n");
}

/// Guards against a shutdown that serves only clients that send at full speed: the requests of
/// others get their answers, and the router ends in time.
TEST(LoopTurns, ClientsAtFullSpeedDoNotKeepARouterFromItsShutdown) {
  using Steady = std::chrono::steady_clock;
  constexpr auto kAnswerDelay = std::chrono::milliseconds(900);  // beyond the last accept
  LineServer cache([&](const std::string& line, int) {
    std::this_thread::sleep_for(kAnswerDelay);
    return value_for(line);
  });
  RunningRouter router({.dials = {cache.address()}});
  auto flood_end = Steady::now() + std::chrono::seconds(8);  // so that a broken build does not hang
  std::vector<std::thread> threads;
  for (int k = 0; k < 3; ++k) {
    auto bad = std::make_shared<Client>(router.port());
    threads.emplace_back([bad, flood_end] {
      std::string commands = noops(500);
      while (Steady::now() < flood_end &&
             ::send(bad->fd(), commands.data(), commands.size(), MSG_NOSIGNAL) > 0) {
      }
      bad->end_sending();
    });
    threads.emplace_back([bad] {
      char bytes[16'384];
      while (::recv(bad->fd(), bytes, sizeof bytes, 0) > 0) {
      }
    });
  }
  Client till(router.port());
  till.send(read_command("a"));
  EXPECT_TRUE(router.eventually([&](Router&) { return cache.lines().size() == 1; }));
  router.post([](Router& r) { r.stop(); });
  auto stopped = Steady::now();
  EXPECT_EQ(till.line(), "VA 5 Oa");
  EXPECT_LT(Steady::now() - stopped, std::chrono::seconds(2));
  router.join();
  // The deadline of 2 s, the margin before the platform kills, and some time for a busy machine.
  EXPECT_LT(Steady::now() - stopped, std::chrono::seconds(5));
  for (auto& thread : threads) thread.join();
}

}  // namespace
}  // namespace violetusher::net::test
