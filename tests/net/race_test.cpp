// Races between the router and its peers: each race of docs/design/crossings.md is forced on real
// loopback sockets, by a peer that stops at a given point or by a delayed event.
#include <sys/resource.h>

#include <chrono>

#include "held_io.hpp"
#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

using Steady = std::chrono::steady_clock;

double seconds_since(Steady::time_point then) {
  return std::chrono::duration<double>(Steady::now() - then).count();
}

/// A router whose socket events can be delayed.
struct RouterWithHeldIo {
  explicit RouterWithHeldIo(const RouterOptions& options)
      : router(options, [this](SystemIo& system) {
          auto held = std::make_unique<HeldIo>(system);
          io = held.get();
          return held;
        }) {}
  void hold_dials(bool on) {
    router.post([&](Router&) { io->hold_dials(on); });
  }
  void hold_clients(bool on) {
    router.post([&](Router&) { io->hold_clients(on); });
  }

  HeldIo* io = nullptr;
  RunningRouter router;
};

std::string never_answer(const std::string&, int) { return std::string(); }

std::vector<std::string> ids_of(const LineServer& cache) {
  std::vector<std::string> ids;
  for (const std::string& line : cache.lines()) ids.push_back(id_of(line));
  return ids;
}

using Ids = std::vector<std::string>;

// ---- a client that closes has disconnected ----

/// Guards against sending an attempt that waits for its dial when its client closes, whether or not
/// the settings allow attempts to be cancelled: it has not started.
TEST(ClientGone, AnAttemptThatWaitsForItsDialIsWithdrawn) {
  for (bool may_cancel : {true, false}) {
    LineServer cache(good_cache);
    RouterWithHeldIo held({.dials = {cache.address()},
                           .deadline_us = "90000000",
                           .objective_us = "80000000",
                           .may_cancel = may_cancel});
    held.hold_dials(true);
    auto client = std::make_unique<Client>(held.router.port());
    client->send(read_command("gone", "k1", "90000"));
    ASSERT_TRUE(held.router.eventually(
        [](Router& r) { return r.open_requests() == 1 && r.server_connections() == 1; }));
    client.reset();
    ASSERT_TRUE(held.router.eventually([](Router& r) { return r.open_requests() == 0; }));
    held.hold_dials(false);
    Client other(held.router.port());
    other.send(read_command("other"));
    EXPECT_EQ(other.line(), "VA 5 Oother");
    EXPECT_EQ(ids_of(cache), Ids{"other"});
  }
}

/// The same if the client resets the connection.
TEST(ClientGone, AResetIsAClose) {
  LineServer cache(good_cache);
  RouterWithHeldIo held({.dials = {cache.address()},
                         .deadline_us = "90000000",
                         .objective_us = "80000000",
                         .may_cancel = false});
  held.hold_dials(true);
  auto client = std::make_unique<Client>(held.router.port());
  client->send(read_command("gone", "k1", "90000"));
  ASSERT_TRUE(held.router.eventually([](Router& r) { return r.open_requests() == 1; }));
  linger at_once{1, 0};
  ::setsockopt(client->fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  client.reset();
  ASSERT_TRUE(held.router.eventually(
      [](Router& r) { return r.open_requests() == 0 && r.client_connections() == 0; }));
  held.hold_dials(false);
  Client other(held.router.port());
  other.send(read_command("other"));
  EXPECT_EQ(other.line(), "VA 5 Oother");
  EXPECT_EQ(ids_of(cache), Ids{"other"});
}

/// Guards against an unseen close: a connection with a full pipeline is not read, yet its close
/// must end the attempts in flight and keep the deferred commands from starting.
TEST(ClientGone, IsSeenWhileItsConnectionIsNotRead) {
  LineServer cache([](const std::string& line, int) {
    return id_of(line)[0] == 'g' ? std::string() : value_for(line);
  });
  RunningRouter router(
      {.dials = {cache.address()}, .deadline_us = "90000000", .objective_us = "80000000"});
  std::string many;
  for (int k = 0; k < 300; ++k)
    many += read_command("g" + std::to_string(k), "k" + std::to_string(k), "90000");
  auto client = std::make_unique<Client>(router.port());
  client->send(many);
  ASSERT_TRUE(router.eventually(
      [&](Router& r) { return !cache.lines().empty() && r.client_buffered() > 10'000; }));
  std::size_t sent = cache.lines().size();
  client.reset();
  auto closed = Steady::now();
  ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 0; }));
  EXPECT_LT(seconds_since(closed), 5);
  ASSERT_TRUE(router.eventually([](Router& r) { return r.client_connections() == 0; }));
  Client other(router.port());
  other.send(read_command("other"));
  EXPECT_EQ(other.line(), "VA 5 Oother");
  EXPECT_EQ(cache.lines().size(), sent + 1);
}

/// Guards against forwarding a command that is read together with its client's close.
TEST(ClientGone, BeforeItsCommandIsRead) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  router.post([&](Router&) {  // blocks the router's loop meanwhile
    for (int k = 0; k < 20; ++k) {
      Client client(router.port());
      client.send(read_command("gone" + std::to_string(k)));
    }
  });
  Client other(router.port());
  other.send(read_command("other"));
  EXPECT_EQ(other.line(), "VA 5 Oother");
  ASSERT_TRUE(router.eventually([](Router& r) { return r.client_connections() == 1; }));
  EXPECT_EQ(ids_of(cache), Ids{"other"});
}

// ---- idle client connections ----

/// Guards against losing a request that arrives at the moment in which its idle connection is
/// closed.
TEST(IdleClients, ARequestThatArrivesDuringTheCloseIsServed) {
  LineServer cache(good_cache);
  RouterWithHeldIo held({.dials = {cache.address()}});
  Client client(held.router.port());
  client.send(read_command("first"));
  EXPECT_EQ(client.line(), "VA 5 Ofirst");
  EXPECT_EQ(client.line(), "price");
  held.hold_clients(true);
  client.send(read_command("second"));
  EXPECT_EQ(client.line(), "VA 5 Osecond");  // the idle close reads before it closes
  EXPECT_EQ(client.line(), "price");
  held.hold_clients(false);
  EXPECT_EQ(client.read_all(), "");
  EXPECT_TRUE(client.ended());
  EXPECT_FALSE(client.reset());
}

/// Guards against a reset of a client that sends while its idle connection is being closed: the
/// command is not forwarded and the close is clean.
TEST(IdleClients, AreClosedWithoutAReset) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  Client client(router.port());
  client.send(read_command("first"));
  EXPECT_EQ(client.line(), "VA 5 Ofirst");
  EXPECT_EQ(client.line(), "price");
  EXPECT_EQ(client.line(), "");  // the router has shut down its sending side
  EXPECT_TRUE(client.ended());
  client.send(read_command("late"));
  ASSERT_TRUE(router.eventually([](Router& r) { return r.client_connections() == 0; }));
  EXPECT_EQ(ids_of(cache), Ids{"first"});
}

// ---- retries and the time left that servers are sent ----

/// Guards against a stale time left: an attempt that has waited for its connection sends what is
/// left when it is written, not what was left when it was decided.
TEST(TimeLeft, IsWhatIsLeftWhenTheAttemptIsWritten) {
  LineServer cache(good_cache);
  RouterWithHeldIo held({.dials = {cache.address()}, .dial_timeout_us = "5000000"});
  held.hold_dials(true);
  Client client(held.router.port());
  client.send(read_command("a", "k1", "1500"));
  ASSERT_TRUE(held.router.eventually([](Router& r) { return r.server_connections() == 1; }));
  auto since = Steady::now();
  while (seconds_since(since) < 0.4) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  held.hold_dials(false);
  EXPECT_EQ(client.line(), "VA 5 Oa");
  std::string line = cache.lines().at(0);
  int sent_ms = std::atoi(line.c_str() + line.find("d=") + 2);
  EXPECT_LE(sent_ms, 1100);
  EXPECT_GT(sent_ms, 0);
}

/// Guards against a late retry of a keyed write: one that may have run is retried only while
/// servers remember its key, so an attempt that waited for its dial past that window is not
/// started.
TEST(Retries, OfAKeyedWriteDoNotStartAfterItsKeyExpires) {
  std::atomic<int> lines{0};
  auto reply = [&](const std::string& line, int) {
    if (line.rfind("ms ", 0) != 0) return std::string();  // the value
    return lines++ == 0 ? kClose : "HD O" + id_of(line) + " c1\r\n";
  };
  LineServer one(reply), two(reply);
  for (bool late : {false, true}) {
    RouterWithHeldIo held({.dials = {one.address(), two.address()},
                           .key_ttl_us = "400000",
                           .dial_timeout_us = "5000000"});
    lines = 0;
    held.hold_dials(true);
    Client client(held.router.port());
    client.send("ms k1 5 Ow Pc=put,t=acme,d=1900,k=r1\r\nhello\r\n");
    ASSERT_TRUE(held.router.eventually([](Router& r) { return r.server_connections() == 1; }));
    // Lets the first dial through and delays the next.
    held.hold_dials(false);
    held.hold_dials(true);
    auto since = Steady::now();
    ASSERT_TRUE(held.router.eventually([&](Router& r) {
      return lines == 1 && r.server_connections() == 1 && r.open_requests() == 1;
    }));
    if (late)
      while (seconds_since(since) < 0.6) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    held.hold_dials(false);
    EXPECT_EQ(client.line(), late ? "SERVER_ERROR busy" : "HD Ow c1");
    EXPECT_EQ(lines, late ? 1 : 2);
  }
}

/// Guards against a second attempt beside one that is in flight where hedging is not allowed: an
/// attempt on a shared connection is not over while others there still wait. Once all of them have
/// timed out the connection is closed, and all are retried elsewhere.
TEST(Retries, DoNotStartWhileATimedOutAttemptSharesItsConnection) {
  std::atomic<int> stuck_server{-1};
  auto reply = [&](int self) {
    return [&stuck_server, self](const std::string& line, int) {
      int none = -1;
      stuck_server.compare_exchange_strong(none, self);
      return stuck_server == self ? std::string() : value_for(line);
    };
  };
  LineServer one(reply(0)), two(reply(1));
  RunningRouter router({.dials = {one.address(), two.address()},
                        .objective_us = "600000",
                        .may_hedge = false,
                        .streams = 4,
                        .routers = 300});  // one connection to each server
  Client first(router.port()), second(router.port());
  first.send(read_command("a", "k1", "1900"));
  ASSERT_TRUE(router.eventually([&](Router&) { return stuck_server >= 0; }));
  const LineServer& stuck = stuck_server == 0 ? one : two;
  const LineServer& other = stuck_server == 0 ? two : one;
  auto since = Steady::now();
  while (seconds_since(since) < 0.3) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  second.send(read_command("b", "k1", "1900"));
  ASSERT_TRUE(router.eventually([&](Router&) { return stuck.lines().size() == 2; }));
  EXPECT_EQ(stuck.connections(), 1);
  // The first attempt's timeout of 0.6 s has passed, the second one's has not.
  while (seconds_since(since) < 0.75) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_TRUE(other.lines().empty());
  EXPECT_EQ(first.line(), "VA 5 Oa");
  EXPECT_EQ(second.line(), "VA 5 Ob");
  EXPECT_GE(seconds_since(since), 0.85);
  EXPECT_EQ(other.lines().size(), 2u);
}

// ---- shutdown ----

/// Guards against requests without a response at SIGKILL, which comes 0.7 s after the longest
/// deadline and at most 3.7 s after SIGTERM however long deadlines are.
TEST(Stopping, AnswersBeforeThePlatformKillsWhateverTheDeadline) {
  LineServer cache(never_answer);
  RunningRouter router(
      {.dials = {cache.address()}, .deadline_us = "20000000", .objective_us = "15000000"});
  Client client(router.port());
  client.send(read_command("a", "k1", "19000"));
  ASSERT_TRUE(router.eventually([&](Router&) { return cache.lines().size() == 1; }));
  auto stopped_at = Steady::now();
  router.post([](Router& r) { r.stop(); });
  EXPECT_EQ(client.line(), "SERVER_ERROR failed");
  EXPECT_LT(seconds_since(stopped_at), 3.7);
}

/// Guards against a reset that discards the response of a client that goes on sending up to the
/// end.
TEST(Stopping, AResetDoesNotDiscardAnswers) {
  LineServer cache(never_answer);
  RunningRouter router(
      {.dials = {cache.address()}, .deadline_us = "20000000", .objective_us = "15000000"});
  Client client(router.port());
  std::string noise;
  for (int k = 0; k < 20'000; ++k) noise += "mn\r\n";
  client.send(read_command("a", "k1", "19000"));
  ASSERT_TRUE(router.eventually([&](Router&) { return cache.lines().size() == 1; }));
  router.post([](Router& r) { r.stop(); });
  std::thread sender([&] { client.send(noise); });
  EXPECT_EQ(client.line().rfind("SERVER_ERROR ", 0), 0u);
  client.read_all();
  EXPECT_TRUE(client.ended());
  sender.join();
  EXPECT_FALSE(client.reset());
}

/// Guards against an exit without the last answers: a router that is held up at the end of its
/// shutdown fails what is open and ends in the same turn of its loop, with nothing written.
TEST(Stopping, ARouterThatIsHeldUpAtTheEndWritesItsLastAnswers) {
  LineServer cache(never_answer);
  RunningRouter router(
      {.dials = {cache.address()}, .deadline_us = "1000000", .objective_us = "200000"});
  auto stopped_at = Steady::now();
  auto wait_until = [&](double seconds) {
    while (seconds_since(stopped_at) < seconds)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  };
  Client client(router.port());
  client.send("mn\r\nmg k1 v ");  // a command that has begun keeps its connection
  EXPECT_EQ(client.line(), "MN");
  router.post([](Router& r) { r.stop(); });
  wait_until(0.9);
  client.send("Oa Pc=read,t=acme,d=1000\r\n");
  ASSERT_TRUE(router.eventually([&](Router&) { return cache.lines().size() == 1; }));
  router.post([&](Router&) {
    wait_until(1.45);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));  // up to over 0.7 s
  });
  EXPECT_EQ(client.line(), "SERVER_ERROR failed");
  router.join();
}

/// Guards against an exit under an answer that its client is still reading.
TEST(Stopping, AnAnswerThatIsReadSlowlyIsDeliveredBeforeTheExit) {
  constexpr std::size_t kLength = 4u << 20;
  const std::string value(kLength, 'v');
  LineServer cache([&](const std::string& line, int) { return value_for(line, value); });
  RunningRouter router(
      {.dials = {cache.address()}, .deadline_us = "300000", .objective_us = "200000"});
  Client client(router.port());
  int receive_buffer = 64 << 10;
  ::setsockopt(client.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  client.send(read_command("a", "k1", "300"));
  EXPECT_EQ(client.line(), "VA " + std::to_string(kLength) + " Oa");
  router.post([](Router& r) { r.stop(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));  // deadline and 1.2 s
  EXPECT_EQ(client.bytes(kLength).size(), kLength);
  router.join();
}

/// Guards against a silent client that delays the shutdown up to its limit.
TEST(Stopping, IsNotDelayedByASilentClient) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  Client silent(router.port()), half(router.port());
  ASSERT_TRUE(router.eventually([](Router& r) { return r.client_connections() == 2; }));
  auto stopped_at = Steady::now();
  router.post([](Router& r) { r.stop(); });
  EXPECT_EQ(silent.read_all(), "");
  EXPECT_TRUE(silent.ended());
  EXPECT_LT(seconds_since(stopped_at),
            2);  // 0.5 s until it stops listening, 0.2 s of grace
}

/// Guards against a half command that delays the exit: it is awaited, but not past the end of the
/// shutdown.
TEST(Stopping, AHalfCommandIsClosedAtTheLimit) {
  LineServer cache(good_cache);
  RunningRouter router(
      {.dials = {cache.address()}, .deadline_us = "300000", .objective_us = "200000"});
  Client half(router.port());
  half.send(read_command("a"));
  EXPECT_EQ(half.line(), "VA 5 Oa");
  EXPECT_EQ(half.line(), "price");
  half.send("mg k1 v Ob Pc=re");
  auto stopped_at = Steady::now();
  router.post([](Router& r) { r.stop(); });
  EXPECT_EQ(half.read_all(), "");
  EXPECT_TRUE(half.ended());
  EXPECT_FALSE(half.reset());
  EXPECT_GT(seconds_since(stopped_at), 0.8);  // deadline and 0.5 s
  EXPECT_LT(seconds_since(stopped_at), 1.0);  // SIGKILL
  EXPECT_EQ(ids_of(cache), Ids{"a"});
}

/// Guards against unanswered commands: all that has arrived on a connection by the time it is
/// closed is answered, however much it is.
TEST(Stopping, AnswersAllThatArrivedBeforeTheClose) {
  LineServer cache(good_cache);
  RouterWithHeldIo held({.dials = {cache.address()}});
  Client client(held.router.port());
  client.send(read_command("first"));
  EXPECT_EQ(client.line(), "VA 5 Ofirst");
  EXPECT_EQ(client.line(), "price");
  held.hold_clients(true);
  constexpr int kCommands = 10'000;  // more than one read returns
  std::string many;
  for (int k = 0; k < kCommands; ++k) many += "mn\r\n";
  client.send(many + read_command("last"));
  held.router.post([](Router& r) { r.stop(); });
  for (int k = 0; k < kCommands; ++k) ASSERT_EQ(client.line(), "MN");
  EXPECT_EQ(client.line(), "VA 5 Olast");
  EXPECT_EQ(client.line(), "price");
  EXPECT_EQ(client.read_all(), "");
  EXPECT_FALSE(client.reset());
}

/// A second signal changes nothing.
TEST(Stopping, ASecondSignalChangesNothing) {
  LineServer cache([](const std::string& line, int) { return value_for(line); });
  RunningRouter router({.dials = {cache.address()}});
  for (int k = 0; k < 2; ++k) router.post([](Router& r) { r.stop(); });
  Client client(router.port());
  client.send(read_command("a"));
  EXPECT_EQ(client.line(), "VA 5 Oa");
  router.join();
}

// ---- settings updates ----

/// Guards against settings that are applied although they are invalid: a bad configuration during
/// the transition to a good one changes nothing, neither now nor at the end of the transition.
TEST(Settings, InvalidOnesDuringATransitionChangeNothing) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}});
  Config good = router.config(), bad = router.config();
  good.settings.max_attempts = 3;
  bad.settings.classes[0].worth = -1;
  bool taken = false, refused = true;
  auto since = Steady::now();
  router.post([&](Router& r) {
    taken = r.reload(good);
    refused = !r.reload(bad);
  });
  EXPECT_TRUE(taken);
  EXPECT_TRUE(refused);
  while (seconds_since(since) < 2)  // the transition takes 1.5 s
    router.post([](Router&) { std::this_thread::sleep_for(std::chrono::milliseconds(5)); });
  router.post([](Router& r) {
    EXPECT_EQ(r.config().settings.max_attempts, 3);
    EXPECT_EQ(r.config().settings.classes[0].worth, 1);
  });
  Client client(router.port());
  client.send(read_command("a"));
  EXPECT_EQ(client.line(), "VA 5 Oa");
}

/// Guards against a time in the settings to which nothing can be added: with a window that never
/// ends a keyed write was not sent again, as the sum lay in the past.
TEST(Settings, TheLongestWindowLetsAKeyedWriteBeSentAgain) {
  std::atomic<int> asked{0};
  auto reply = [&](const std::string& line, int) {
    if (line.rfind("ms ", 0) != 0) return std::string();  // its value
    return asked++ == 0 ? std::string(kClose) : "HD O" + id_of(line) + " cR\r\n";
  };
  LineServer one(reply), two(reply);
  RunningRouter router({.dials = {one.address(), two.address()},
                        .key_ttl_us = std::to_string(std::numeric_limits<std::int64_t>::max())});
  Client client(router.port());
  client.send(write_command("put", "a", "1500"));
  EXPECT_EQ(client.line(), "HD Oa cR");
  EXPECT_EQ(asked, 2);
}

/// Guards against leftovers of the previous configuration: what is removed is served until the end
/// of the transition and is unknown afterwards.
TEST(Settings, OfAnotherDeploymentLeaveNothingOfTheOld) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}, .more_tenants = {"beta"}});
  Config other = router.config();
  auto& s = other.settings;
  s.classes.erase(s.classes.begin() + 1);
  s.classes[0].name = "lookup";
  s.tenants = {{"gamma", 0.5, 10}, {"beta", 0.5, 20}};
  s.max_attempts = 2;
  s.may_hedge = false;
  other.connection_settings.max_open = 7;
  auto ask = [&](const std::string& type, const std::string& tenant) {
    Client client(router.port());
    client.send("mg k v Ox Pc=" + type + ",t=" + tenant + ",d=1000\r\n");
    return client.line().rfind("VA", 0) == 0;
  };
  auto since = Steady::now();
  router.post([&](Router& r) { EXPECT_TRUE(r.reload(other)); });
  EXPECT_TRUE(ask("read", "acme"));
  EXPECT_TRUE(ask("lookup", "gamma"));
  EXPECT_TRUE(ask("lookup", "beta"));
  while (seconds_since(since) < 2) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_FALSE(ask("read", "beta"));
  EXPECT_FALSE(ask("lookup", "acme"));
  EXPECT_TRUE(ask("lookup", "gamma"));
  router.post([](Router& r) {
    const auto& now = r.config().settings;
    EXPECT_EQ(now.classes.size(), 1u);
    EXPECT_EQ(now.tenants.size(), 2u);
    EXPECT_EQ(now.max_attempts, 2);
    EXPECT_FALSE(now.may_hedge);
    EXPECT_EQ(r.max_open_requests(), 7u);
  });
}

/// Guards against watches with the timing of the old membership mode after a switch from pushed to
/// polled lists.
TEST(Settings, ANewMembershipModeChangesTheWatches) {
  LineServer cache(good_cache);
  std::atomic<int> waits{0};
  LineServer discovery([&](const std::string& line, int) {
    if (line.rfind("GET ", 0) != 0) return std::string();
    std::size_t at = line.find("wait=");
    if (at != line.npos) waits = std::atoi(line.c_str() + at + 5);
    std::string body = host_list("1", {}, false);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
  });
  RunningRouter router({.dials = {cache.address()}, .discovery = discovery.address()});
  ASSERT_TRUE(router.eventually([&](Router&) { return waits > 1; }));
  EXPECT_LT(waits, 1000);  // pushed: fractions of the grace
  Config asked = router.config();
  asked.settings.list_on_demand = true;
  router.post([&](Router& r) { EXPECT_TRUE(r.reload(asked)); });
  EXPECT_TRUE(router.eventually([&](Router&) { return waits > 10'000; }));
}

// ---- descriptors ----

/// Guards against idle clients that leave no descriptors for discovery and servers: they take every
/// connection they can while discovery is down. Once it is back its list is applied, the servers in
/// it are reached, and the shutdown completes.
TEST(Descriptors, OfDiscoveryAndServersAreNotTakenByIdleClients) {
  LineServer old_cache(good_cache), new_cache(good_cache);
  std::atomic<bool> up{false};
  std::string body = host_list("9", {host_entry("s-new", new_cache.address())});
  LineServer discovery([&](const std::string& line, int) {
    if (!up) return kClose;
    if (line.rfind("GET ", 0) != 0) return std::string();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
  });
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  RunningRouter router(
      {.dials = {old_cache.address()}, .discovery = discovery.address(), .sockets = 1024});
  std::vector<std::unique_ptr<Client>> idle_clients;
  std::size_t clients = 0;
  for (int k = 0; k < 1500; ++k) {
    idle_clients.push_back(std::make_unique<Client>(router.port()));
    if (k % 10 == 9)
      router.post([&](Router& r) { clients = std::max(clients, r.client_connections()); });
  }
  EXPECT_GT(clients, 100u);
  EXPECT_LE(clients + 334 + 24, 1024u);
  up = true;
  ASSERT_TRUE(router.eventually([](Router& r) { return r.list_version() == "9"; }));
  for (int k = 0; k < 10; ++k) {
    for (int n = 0; n < 50; ++n) idle_clients.push_back(std::make_unique<Client>(router.port()));
    Client good(router.port());
    good.send(read_command("a" + std::to_string(k)));
    EXPECT_EQ(good.line(), "VA 5 Oa" + std::to_string(k));
  }
  EXPECT_TRUE(old_cache.lines().empty());
  EXPECT_EQ(new_cache.lines().size(), 10u);
  router.post([](Router& r) { r.stop(); });
  router.join();
}

}  // namespace
}  // namespace violetusher::net::test
