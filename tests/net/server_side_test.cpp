// Misbehaving cache servers, against a real router or its server side alone.
#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

/// Guards against taking bytes behind a good answer for the answer to the next request. With only
/// one server a corrupted second request could not be retried elsewhere.
TEST(BadServers, BytesBehindAnAnswerAreNotTheNextAnswer) {
  const std::vector<std::string> extras = {"VA 5 Oother h1\r\nwrong\r\n", "noise\r\n", "noi",
                                           "VA 5 Oa", "VA 900 Oa1 h1\r\nxx"};
  for (const std::string& extra : extras) {
    LineServer cache([&](const std::string& line, int number) {
      return value_for(line) + (number == 0 ? extra : "");
    });
    RunningRouter router({.dials = {cache.address()}});
    Client client(router.port());
    for (const char* id : {"a1", "a2"}) {
      client.send(read_command(id));
      EXPECT_EQ(client.line(), std::string("VA 5 O") + id) << extra;
      EXPECT_EQ(client.line(), "price") << extra;
    }
  }
}

/// Guards against waiting for the deadline on a corrupt answer: it is a failed attempt whatever is
/// wrong with it, also if the connection stays open and silent, and the other server answers. The
/// deadline is far away, so that only the router's own timeout can end the attempt.
TEST(BadServers, CorruptAnswersAreFailedAttempts) {
  const std::vector<std::string> spoilt = {"\x01\x02\x03\r\n",
                                           "VA five O%\r\nprice\r\n",
                                           "VA -1 O% h1\r\nprice\r\n",
                                           "VA 3 O% h1\r\nprice\r\n",
                                           "VA 9 O% h1\r\nprice\r\n",
                                           "VA 3000000000 O% h1\r\nprice",
                                           "VA 5 Oother h1\r\nprice\r\n",
                                           "VA 5 O% h1",
                                           "HD O% c1\r\n",
                                           "EN",
                                           std::string(5000, 'x')};
  for (const std::string& text : spoilt) {
    std::atomic<int> asked{0};
    auto reply = [&](const std::string& line, int) {
      if (asked++ > 0) return value_for(line);
      std::string answer = text;
      std::size_t at = answer.find('%');
      return at == answer.npos ? answer : answer.replace(at, 1, id_of(line));
    };
    LineServer one(reply), two(reply);
    RunningRouter router({.dials = {one.address(), two.address()},
                          .deadline_us = "60000000",
                          .objective_us = "50000000"});
    Client client(router.port());
    client.send(read_command("a1", "k1", "60000"));
    EXPECT_EQ(client.line(), "VA 5 Oa1") << text;
    EXPECT_EQ(client.line(), "price") << text;
    EXPECT_EQ(asked, 2) << text;
  }
}

/// Guards against reusing a connection that the server has closed behind an answer.
TEST(BadServers, AClosedConnectionIsNotUsedAgain) {
  LineServer cache(good_cache, /*close_after_reply=*/true);
  RunningRouter router({.dials = {cache.address()}});
  Client client(router.port());
  for (int k = 0; k < 20; ++k) {
    client.send(read_command("a" + std::to_string(k)));
    EXPECT_EQ(client.line(), "VA 5 Oa" + std::to_string(k));
    EXPECT_EQ(client.line(), "price");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));  // the close follows the answer
  }
}

/// Guards against state kept for removed servers, whether a change or a whole list removes them.
TEST(Servers, ThatAreRemovedLeaveNoState) {
  struct Ignore : ServerSide::Handler {
    void on_attempt_written(RequestId, int, bool, Micros) override {}
    void on_attempt_end(RequestId, int, Status, Answer&&) override {}
    bool on_stream_begin(RequestId, int, const Answer&) override { return false; }
    bool on_stream_data(RequestId, int, std::string_view) override { return true; }
  } ignore;
  EventBasePtr base(event_base_new());
  SystemIo io(base.get());
  core::flight::Recorder recorder;
  std::vector<violetusher::ReportField> fields;
  ServerSide side(io, ignore, {}, &fields, recorder);
  for (int k = 0; k < 50; ++k) {
    std::string id = "s-" + std::to_string(k);
    side.update_hosts(parse_host_list(host_list("2", {host_entry(id, "127.0.0.1:9")}, false)));
    EXPECT_EQ(side.pools(), 1u);
    side.update_hosts(
        parse_host_list(k % 2 ? host_list("3", {host_entry(id, "127.0.0.1:9", "left")}, false)
                              : host_list("3", {}, true)));
    EXPECT_EQ(side.pools(), 0u);
  }
}

/// A server side in an event loop of the test's own; records the outcomes.
struct DrivenServerSide : ServerSide::Handler {
  void on_attempt_written(RequestId, int, bool, Micros) override {}
  explicit DrivenServerSide(const LineServer& cache, std::size_t per_server)
      : DrivenServerSide(
            cache, core::ConnectionShare{
                       .max_open = per_server, .mean_idle = 8, .max_idle_time = 9 * kSecond}) {}
  DrivenServerSide(const LineServer& cache, const core::ConnectionShare& table) {
    ServerSide::Limits limits;
    limits.table = table;
    side = std::make_unique<ServerSide>(io, *this, limits, &fields, recorder);
    side->update_hosts(parse_host_list(host_list("2", {host_entry("s-0", cache.address())})));
  }
  void on_attempt_end(RequestId id, int, Status status, Answer&&) override { ended[id] = status; }
  bool on_stream_begin(RequestId, int, const Answer&) override { return false; }
  bool on_stream_data(RequestId, int, std::string_view) override { return true; }
  void send(RequestId id) {
    CommandReader reader;
    std::string text = read_command("a" + std::to_string(id));
    std::string_view in = text;
    Command command;
    ASSERT_EQ(reader.take(in, command), CommandReader::Got::Command);
    side->send("s-0", id, 0, command, {.deadline = io.now() + 60 * kSecond});
  }
  bool eventually(const std::function<bool()>& holds) {
    for (int k = 0; k < kTestTimeoutMs; ++k) {
      side->flush();
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
      if (holds()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }

  EventBasePtr base{event_base_new()};
  SystemIo io{base.get()};
  core::flight::Recorder recorder;
  std::vector<violetusher::ReportField> fields;
  std::map<RequestId, Status> ended;
  std::unique_ptr<ServerSide> side;
};

/// Guards against sending to a draining server: an attempt counts as sent from its first byte, so
/// one that waits for a connection or its turn is not sent any more, and one that is written is
/// answered.
TEST(Attempts, ThatAreQueuedAreNotSentToADrainingServer) {
  LineServer cache(good_cache);
  for (const char* health : {"leaving", "left"}) {
    DrivenServerSide driven(cache, 2);
    std::size_t before = cache.lines().size();
    driven.send(1);
    ASSERT_TRUE(driven.eventually([&] { return driven.ended.count(1) > 0; }));
    EXPECT_EQ(driven.ended[1], Status::Ok);
    driven.send(2);  // on the open connection
    driven.side->flush();
    driven.send(3);  // dials
    driven.send(4);  // waits behind others
    driven.side->update_hosts(
        parse_host_list(host_list("3", {host_entry("s-0", cache.address(), health)}, false)));
    EXPECT_EQ(driven.ended[3], Status::ConnectFailed);
    EXPECT_EQ(driven.ended[4], Status::ConnectFailed);
    ASSERT_TRUE(driven.eventually([&] { return driven.ended.count(2) > 0; }));
    EXPECT_EQ(driven.ended[2], Status::Ok);
    driven.send(5);  // decided before the list was delivered
    EXPECT_EQ(driven.ended[5], Status::ConnectFailed);
    ASSERT_TRUE(driven.eventually([&] { return driven.side->connections() == 0; }));
    EXPECT_EQ(cache.lines().size(), before + 2);
  }
}

/// Guards against servers that work for clients that have left because nothing notified them.
TEST(Attempts, CancellingOneClosesAnUnsharedConnection) {
  LineServer cache([](const std::string&, int) { return std::string(); });  // never answers
  DrivenServerSide driven(cache, 8);
  driven.send(1);
  ASSERT_TRUE(driven.eventually([&] { return cache.lines().size() == 1; }));
  EXPECT_EQ(driven.side->cancel("s-0", 1, 0), Status::Cancelled);  // it may have run
  EXPECT_EQ(driven.side->connections(), 0u);
  EXPECT_TRUE(driven.ended.empty());  // a cancelled attempt is not reported again
}

/// Guards against losing another attempt on the same connection.
TEST(Attempts, CancellingOneKeepsASharedConnection) {
  std::atomic<bool> answer{false};
  LineServer cache([&](const std::string& line, int) {
    if (id_of(line) != "a2") return std::string();
    while (!answer) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::string first = "mg k1 v Oa1";
    return value_for(first) + value_for(line);
  });
  DrivenServerSide driven(cache, 1);
  driven.send(1);
  driven.send(2);
  ASSERT_TRUE(driven.eventually([&] { return cache.lines().size() == 2; }));
  EXPECT_EQ(driven.side->cancel("s-0", 1, 0), Status::Cancelled);
  EXPECT_EQ(driven.side->connections(), 1u);
  answer = true;
  ASSERT_TRUE(driven.eventually([&] { return driven.ended.count(2) == 1; }));
  EXPECT_EQ(driven.ended[2], Status::Ok);
  EXPECT_EQ(driven.ended.count(1), 0u);
}

/// Guards against routers by hundreds that fill the connection tables of price caches with idle
/// connections. A router with a small share closes its own, and the next request dials again; a
/// router with a share of one or more keeps it.
TEST(Connections, AreClosedWhenIdleIfTheRoutersShareIsSmall) {
  for (int routers : {2, 300}) {
    LineServer cache(good_cache);
    // Price caches that keep idle connections for an hour: only the router's share ends one here.
    DrivenServerSide driven(cache, core::connection_share(routers, 3600 * kSecond));
    for (RequestId id : {1, 2}) {
      driven.send(id);
      ASSERT_TRUE(driven.eventually([&] { return driven.ended.count(id) == 1; }));
      EXPECT_EQ(driven.ended[id], Status::Ok);
      if (routers == 300)
        EXPECT_TRUE(driven.eventually([&] { return driven.side->connections() == 0; }));
      else
        EXPECT_EQ(driven.side->connections(), 1u);
    }
    EXPECT_EQ(cache.connections(), routers == 300 ? 2 : 1);
  }
}

/// Guards against attempts that run on up to the deadline, unseen by the module, for clients that
/// have closed. A client that still reads gets its final response.
TEST(Attempts, OfADisconnectedClientAreCancelled) {
  for (bool reads : {false, true}) {
    LineServer cache([](const std::string&, int) { return std::string(); });  // never answers
    RunningRouter router(
        {.dials = {cache.address()}, .deadline_us = "90000000", .objective_us = "80000000"});
    auto client = std::make_unique<Client>(router.port());
    client->send(read_command("a1", "k1", "90000"));
    ASSERT_TRUE(router.eventually([&](Router&) { return cache.lines().size() == 1; }));
    if (reads) {
      client->end_sending();
      EXPECT_EQ(client->read_all(), "SERVER_ERROR failed\r\n");
    } else {
      client.reset();
    }
    EXPECT_TRUE(router.eventually(
        [](Router& r) { return r.open_requests() == 0 && r.server_connections() == 0; }));
    EXPECT_EQ(cache.lines().size(), 1u);
  }
}

/// Guards against keys that count as not held after one rejection by an overloaded server:
/// admission control would reject them from then on, though the server holds them.
TEST(Admission, AHeldKeyStaysHeldAfterAnOverloadedServer) {
  std::atomic<bool> full{false};
  LineServer cache([&](const std::string& line, int) {
    if (line.rfind("mg held", 0) != 0) return std::string("SERVER_ERROR failed\r\n");
    if (full) return std::string("SERVER_ERROR busy\r\n");
    return value_for(line);
  });
  RunningRouter router({.dials = {cache.address()}});
  Client client(router.port());
  int ids = 0;
  auto served = [&](const std::string& key) {
    client.send(read_command("a" + std::to_string(++ids), key));
    if (client.line().rfind("VA ", 0) != 0) return false;
    client.line();
    return true;
  };
  // Fetches fail until nearly all of them are rejected by admission control; held keys are served
  // all the while.
  int unseen = 0;
  for (int k = 0; k < 20'000 && unseen < 30; ++k) {
    std::size_t before = cache.lines().size();
    served("other" + std::to_string(k));
    unseen = cache.lines().size() == before ? unseen + 1 : 0;
    for (int n = 0; n < 2; ++n) served("held" + std::to_string((2 * k + n) % 20));
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_EQ(unseen, 30);
  const std::vector<std::string> keys = {"held0", "held1", "held2", "held3", "held4", "held5"};
  full = true;
  for (const std::string& key : keys) EXPECT_FALSE(served(key));
  full = false;
  int again = 0;
  for (const std::string& key : keys) again += served(key);
  EXPECT_GE(again, 5);
}

/// Guards against ejected live servers and a spent retry budget when kept connections break on
/// reuse. Each connection of one of the caches serves a single request.
TEST(BadServers, BrokenKeptConnectionsDoNotEjectTheServer) {
  LineServer breaks(
      [](const std::string& line, int number) { return number % 2 ? kClose : value_for(line); });
  LineServer good(good_cache);
  RunningRouter router({.dials = {breaks.address(), good.address()}});
  Client client(router.port());
  for (int k = 0; k < 200; ++k) {
    client.send(read_command("a" + std::to_string(k), "k" + std::to_string(k)));
    EXPECT_EQ(client.line(), "VA 5 Oa" + std::to_string(k));
    EXPECT_EQ(client.line(), "price");
  }
  EXPECT_GE(breaks.lines().size(), 60u);  // about half of the keys prefer it
}

/// Guards against an unreadable report that passes for the report of an idle server.
TEST(Answers, UnreadableReportsAreIgnored) {
  std::vector<violetusher::ReportField> fields{violetusher::ReportField::Utilization};
  for (const char* report : {"Lload_share=zz", "L", "Lload_share=1e300", "Lload_share=-4",
                             "Lload_share=nan", "Lother=1"}) {
    AnswerReader reader(&fields);
    std::string text = std::string("VA 1 Oa h1 ") + report + "\r\nx\r\n";
    std::string_view in = text;
    Answer answer;
    ASSERT_EQ(reader.take(in, answer), AnswerReader::Got::Answer) << report;
    EXPECT_TRUE(answer.report.empty()) << report;
  }
}

}  // namespace
}  // namespace violetusher::net::test
