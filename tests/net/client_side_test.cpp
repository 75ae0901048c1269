// Misbehaving clients and shutdown, against a real router on loopback sockets.
#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

/// Guards against invalid commands that reach a cache server: they get an error and a close.
TEST(BadClients, InvalidCommandsNeverReachACacheServer) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  const std::string long_line(protocol::kMaxLineBytes + 10, 'x');
  const std::vector<std::string> bad = {
      "nonsense\r\n",
      "mg\r\n",
      "mg key\r\n",
      "mg key v Pc=read,t=acme,d=100\r\n",
      "mg key v O1\r\n",
      "mg key v O1 Pc=none,t=acme,d=100\r\n",
      "mg key v O1 Pc=read,t=nobody,d=100\r\n",
      "mg key v O1 Pc=read,t=acme,d=soon\r\n",
      "mg key v O1 Pc=read,t=acme,d=-1\r\n",
      "mg key v O1 Pc=read,t=acme,d=nan\r\n",
      "mg key v O1 Pc=read,t=acme,d=1e300\r\n",
      "mg key v O1 Pc=read,t=acme\r\n",
      "mg key v O1 O2 Pc=read,t=acme,d=100\r\n",
      "mg key v q O1 Pc=read,t=acme,d=100\r\n",
      "mg key v O1 Pc=read,c=put,t=acme,d=100\r\n",
      "mg key\rmg k v O1 Pc=read,t=acme,d=100\r\n",
      "mg " + std::string(protocol::kMaxKeyBytes + 1, 'k') + " v O1 Pc=read,t=acme,d=100\r\n",
      "ms key -5 O1 Pc=put,t=acme,d=100,k=1\r\n",
      "ms key 99999999999999999999 O1 Pc=put,t=acme,d=100,k=1\r\n",
      "ms key 60000000 O1 Pc=put,t=acme,d=100,k=1\r\n",
      "ms key 5 O1 Pc=put,t=acme,d=100\r\nhello\r\n",
      "ms key 3 O1 Pc=put,t=acme,d=100,k=1\r\nhello\r\n",
      "mg key v O1 Pc=put,t=acme,d=100\r\n",
      long_line,
  };
  for (const std::string& text : bad) {
    Client client(router.port());
    client.send(text);
    std::string said = client.read_all();
    EXPECT_TRUE(client.ended()) << text;
    EXPECT_TRUE(said.rfind("CLIENT_ERROR", 0) == 0 || said.rfind("ERROR", 0) == 0)
        << text << " got " << said;
  }
  Client good(router.port());
  good.send(read_command("a1"));
  EXPECT_EQ(good.line(), "VA 5 Oa1");
  for (const std::string& line : cache.lines()) EXPECT_NE(line.find(" Oa1 "), line.npos) << line;
}

/// Guards against two open requests with one id, whose responses would be indistinguishable.
TEST(BadClients, MayNotUseTheIdOfAnOpenRequest) {
  std::atomic<bool> asked{false};
  LineServer cache([&](const std::string& line, int) {
    asked = true;
    return line.find(" Oslow ") != line.npos ? std::string() : value_for(line);
  });
  RunningRouter router({.dials = {cache.address()}});
  Client first(router.port()), second(router.port());
  first.send(read_command("slow"));
  ASSERT_TRUE(router.eventually([&](Router& r) { return r.open_requests() == 1 && asked; }));
  second.send(read_command("slow"));
  EXPECT_EQ(second.read_all(), "CLIENT_ERROR bad command\r\n");
  first.send("");
  EXPECT_EQ(first.line().rfind("SERVER_ERROR", 0), 0u);  // only its deadline has passed
  Client later(router.port());                           // and the id is free again
  ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 0; }));
  later.send(read_command("slow", "k1", "50"));
  EXPECT_EQ(later.line().rfind("SERVER_ERROR", 0), 0u);
}

/// Guards against connections that stay open: silent clients, half commands, and clients that ask
/// once and never close are disconnected, however many there are.
TEST(BadClients, SilentAndIdleOnesAreDisconnected) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  Client silent(router.port()), half(router.port()), value(router.port()), once(router.port());
  half.send("mg key v O1 Pc=re");
  value.send("ms key 500 O1 Pc=put,t=acme,d=100,k=1\r\nhello");
  once.send(read_command("a1"));
  EXPECT_EQ(once.line(), "VA 5 Oa1");
  EXPECT_EQ(once.line(), "price");
  for (Client* c : {&silent, &half, &value, &once}) {
    EXPECT_EQ(c->read_all(), "");
    EXPECT_TRUE(c->ended());
  }
  EXPECT_TRUE(router.eventually([](Router& r) { return r.client_connections() == 0; }));
}

TEST(BadClients, ManyHalfCommandsDoNotKeepOthersOut) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}, .sockets = 96});
  std::vector<std::unique_ptr<Client>> crowd;
  for (int k = 0; k < 200; ++k) {
    crowd.push_back(std::make_unique<Client>(router.port()));
    crowd.back()->send("mg half");
  }
  for (int k = 0; k < 10; ++k) {
    Client good(router.port());
    good.send(read_command("a" + std::to_string(k)));
    EXPECT_EQ(good.line(), "VA 5 Oa" + std::to_string(k));
  }
}

/// Guards against unbounded memory: a client that sends without end is closed while others are
/// served.
TEST(BadClients, SendingAtFullSpeedIsCutOff) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  Client flood(router.port());
  std::thread sender([&] {
    flood.send("ms key 60000000 O1 Pc=put,t=acme,d=100,k=1\r\n" + std::string(60'000'000, 'x'));
  });
  Client good(router.port());
  for (int k = 0; k < 20; ++k) {
    good.send(read_command("a" + std::to_string(k)));
    EXPECT_EQ(good.line(), "VA 5 Oa" + std::to_string(k));
    EXPECT_EQ(good.line(), "price");
  }
  sender.join();
  flood.read_all();
  EXPECT_TRUE(flood.ended());
}

/// Guards against a lost command of a client that connected just before the shutdown and sends just
/// after.
TEST(Stopping, LeavesANewConnectionTimeForItsFirstCommand) {
  LineServer cache(good_cache);
  EventBasePtr base(event_base_new());
  SystemIo io(base.get());
  std::string error;
  Socket listener = io.listen(loopback(0), error);
  ASSERT_TRUE(listener) << error;
  RouterOptions options{.dials = {cache.address()}};
  options.accept_fd = ::dup(listener.number());
  RunningRouter router(options);
  auto turns = [&] {  // until all earlier events are handled
    for (int k = 0; k < 3; ++k) router.post([](Router&) {});
  };
  Client known(io.port(listener.number())), fresh(io.port(listener.number()));
  known.send(read_command("a"));
  EXPECT_EQ(known.line(), "VA 5 Oa");
  turns();
  router.post([](Router& r) { r.stop(); });
  turns();
  known.line();
  EXPECT_EQ(known.read_all(), "");  // closes at once after a served request
  EXPECT_TRUE(known.ended());
  fresh.send(read_command("b"));
  EXPECT_EQ(fresh.line(), "VA 5 Ob");
}

}  // namespace
}  // namespace violetusher::net::test
