// The life of requests on virtual time and without sockets, behind a simulated Io. In whatever
// order events happen, each request gets one final response and none of its state stays.
#include <map>
#include <random>
#include <set>

#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

/// One request that has been sent to s-0 and has reached it.
struct OneInFlight : CoreFixture {
  OneInFlight() {
    socket = client();
    receive(socket, read_command("a"));
    deliver_events();
    core.send({1, "s-0", 0});
    server = io.dialled.back();
    io.ready(server, Watch::kWritable);
    flush();
  }
  std::string answers() {
    flush();
    return io.ends[socket].out;
  }
  void expect_nothing_left() {
    deliver_events();
    advance(10'000'000);  // the deadline passes, then the timer of the final answer
    deliver_events();
    advance(1'000'000);
    deliver_events();
    EXPECT_EQ(core.table().size(), 0u);
    EXPECT_EQ(core.table().bytes(), 0u);
    EXPECT_EQ(timers.size(), 0u);
    EXPECT_FALSE(core.table().has_client_id("a"));
  }
  int socket, server;
};

struct EndSource {
  const char* name;
  void (*act)(OneInFlight&);
};
const EndSource kEndSources[] = {
    {"server", [](OneInFlight& w) { w.receive(w.server, "VA 5 Oa\r\nprice\r\n"); }},
    {"server_error", [](OneInFlight& w) { w.receive(w.server, "SERVER_ERROR failed Oa\r\n"); }},
    {"expiry",
     [](OneInFlight& w) {
       w.advance(1'600'000);
       w.advance(100'000);
     }},
    {"client_left",
     [](OneInFlight& w) {
       w.io.ends[w.socket].ended = true;
       w.io.ready(w.socket, Watch::kReadable);
     }},
    {"refusal",
     [](OneInFlight& w) {
       w.core.refuse({1, 0});
     }},
    {"failure", [](OneInFlight& w) { w.core.fail({1}); }},
    {"cancel",
     [](OneInFlight& w) {
       w.core.cancel({1, 0});
     }},
    {"shutdown", [](OneInFlight& w) { w.core.fail_all(); }},
    {"reset",
     [](OneInFlight& w) {
       w.io.ends[w.server].ended = true;
       w.io.ready(w.server, Watch::kReadable);
     }},
};

/// Guards against a lost or second response when two sources end a request: every pair, in both
/// orders, with the module events of the first delivered in between or not.
TEST(OneAnswer, FromEveryPairOfSources) {
  for (const EndSource& first : kEndSources)
    for (const EndSource& second : kEndSources)
      for (bool between : {false, true}) {
        SCOPED_TRACE(std::string(first.name) + " then " + second.name);
        OneInFlight w;
        first.act(w);
        if (between) w.deliver_events();
        second.act(w);
        w.expect_nothing_left();
        std::string got = w.answers();
        int lines = 0;
        for (const char* answer :
             {"VA 5 Oa\r\nprice\r\n", "SERVER_ERROR failed\r\n", "SERVER_ERROR busy\r\n"})
          lines += got == answer;
        EXPECT_EQ(lines, 1) << got;
      }
}

TEST(OneAnswer, ASecondRefusalIsIgnored) {
  OneInFlight w;
  w.core.refuse({1, 0});
  w.core.refuse({1, 0});  // the module again: ignored, as it is not notified yet
  EXPECT_TRUE(w.alerts.empty());
  EXPECT_EQ(w.answers(), "SERVER_ERROR busy\r\n");
}

TEST(LateAnswer, RaisesAnAlert) {
  OneInFlight w;
  w.io.time += 1'700'000;  // the loop was held up: no timer has fired
  w.receive(w.server, "VA 5 Oa\r\nprice\r\n");
  EXPECT_EQ(w.alerts, std::vector<std::string>{"late-answer"});
}

TEST(Timing, ATimerInTheIterationOfTheAnswerChangesNothing) {
  OneInFlight w;
  w.io.time += 1'500'000;
  w.receive(w.server, "VA 5 Oa\r\nprice\r\n");
  Timers::Task task;
  while (w.timers.pop_due(w.io.time, task)) w.core.on_timer(task);
  EXPECT_EQ(w.answers(), "VA 5 Oa\r\nprice\r\n");
  w.expect_nothing_left();
}

TEST(Timing, TimersAreCancelledWithTheAnswer) {
  OneInFlight w;
  EXPECT_EQ(w.timers.size(), 1u);
  w.receive(w.server, "VA 5 Oa\r\nprice\r\n");
  w.deliver_events();
  EXPECT_EQ(w.timers.size(), 0u);
}

/// Guards against telling a client to try again, as its class may be repeated by now, when its
/// request has run.
TEST(SettingsUpdate, ARequestKeepsTheEffectThatItCameUnder) {
  CoreFixture w({100, 1u << 20}, {.buffer_bytes = 16u << 10});
  auto& read_class = w.config.settings.classes[0];
  read_class.effect = violetusher::Effect::Once;
  int client = w.client();
  w.receive(client, read_command("a"));
  w.deliver_events();
  w.core.send({1, "s-0", 0});
  int server = w.io.dialled.back();
  w.io.ready(server, Watch::kWritable);
  w.flush();
  read_class.effect = violetusher::Effect::Repeatable;
  w.io.ends[server].in = value_for("mg k1 v Oa ", std::string(60'000, 'v'));
  for (int k = 0; k < 10; ++k) w.io.ready(server, Watch::kReadable);
  w.flush();
  EXPECT_EQ(w.io.ends[client].out, "SERVER_ERROR failed\r\n");
}

TEST(Bounds, RejectedRequestsLeaveNoState) {
  CoreFixture w({2, 1u << 20});
  int socket = w.client();
  w.receive(socket, read_command("a") + read_command("b") + read_command("c") + read_command("a"));
  EXPECT_EQ(w.core.table().size(), 2u);
  w.flush();
  EXPECT_EQ(w.io.ends[socket].out,
            "");  // responses keep the order of the commands: the first two are still open
  w.core.fail({1});
  w.core.fail({2});
  w.deliver_events();
  w.flush();
  EXPECT_EQ(w.io.ends[socket].out,
            "SERVER_ERROR failed\r\nSERVER_ERROR failed\r\nSERVER_ERROR busy\r\nCLIENT_ERROR bad "
            "command\r\n");
  EXPECT_EQ(w.core.table().size(), 0u);
  EXPECT_FALSE(w.core.table().has_client_id("c"));
}

/// Guards against lost responses and leaks over random histories: hundreds of requests are each
/// answered at most once, all whose client stays are answered, and the table ends empty.
TEST(RandomHistories, EndWithOneAnswerEachAndNoState) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    CoreFixture w({30, 1u << 20});
    std::vector<int> sockets;
    for (int k = 0; k < 6; ++k) sockets.push_back(w.client());
    std::map<int, int> asked;
    std::set<int> left;
    RequestId next = 1;
    for (int step = 0; step < 400; ++step) {
      int socket = sockets[random() % sockets.size()];
      RequestId any = 1 + random() % next;
      switch (random() % 10) {
        case 0:
        case 1:
        case 2:
          if (left.count(socket)) break;
          w.receive(socket, read_command("q" + std::to_string(next++), "k", "300"));
          ++asked[socket];
          break;
        case 3:
        case 4:
          if (w.feed.empty())
            w.core.send({any, random() % 2 ? "s-0" : "s-1", random() % 3 ? 0 : 50'000});
          break;
        case 5:
          if (random() % 2)
            w.core.refuse({any, 0});
          else
            w.core.cancel({any, 0});
          break;
        case 6:
          for (int s : w.io.dialled) w.io.ready(s, Watch::kWritable);
          break;
        case 7:
          if (!w.io.dialled.empty()) {
            int s = w.io.dialled[random() % w.io.dialled.size()];
            std::string& out = w.io.ends[s].out;
            std::size_t end = out.find("\r\n");
            if (end != out.npos) {
              std::string line = out.substr(0, end);
              out.erase(0, end + 2);
              w.receive(s, random() % 3 ? value_for(line) : "SERVER_ERROR busy\r\n");
            }
          }
          break;
        case 8:
          w.advance(static_cast<Micros>(random() % 60'000));
          break;
        default:
          if (random() % 8 == 0 && left.insert(socket).second) {
            w.io.ends[socket].ended = true;
            w.io.ready(socket, Watch::kReadable);
          }
      }
      if (random() % 2) w.deliver_events();
      w.flush();
    }
    w.deliver_events();
    for (int k = 0; k < 50; ++k) {
      w.advance(50'000);
      w.deliver_events();
      w.flush();
    }
    EXPECT_EQ(w.core.table().size(), 0u) << "seed " << seed;
    EXPECT_EQ(w.core.table().bytes(), 0u);
    EXPECT_EQ(w.timers.size(), 0u);
    for (int socket : sockets) {
      if (left.count(socket)) continue;
      const std::string& out = w.io.ends[socket].out;
      int answers = 0;
      for (std::size_t at = 0; (at = out.find("\r\n", at)) != out.npos; at += 2) ++answers;
      for (std::size_t at = 0; (at = out.find("VA ", at)) != out.npos; at += 3) --answers;
      EXPECT_EQ(answers, asked[socket]) << "seed " << seed << "\n" << out;
    }
  }
}

}  // namespace
}  // namespace violetusher::net::test
