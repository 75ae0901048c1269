// The life of requests on virtual time and without sockets, behind a simulated Io. In whatever
// order events happen, each request gets one final response and none of its state stays.
#include "net/request_core.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>

#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

/// Sockets as byte queues, with the time set by the test.
class FakeIo final : public Io {
 public:
  struct End {
    std::string in, out;
    bool ended = false, open = true, dialled = true;
    Watch::Target* target = nullptr;
    bool reading = false, writing = false;
  };
  struct FakeWatch final : Watch {
    FakeWatch(FakeIo& io, int socket) : io(io), socket(socket) {}
    ~FakeWatch() override { io.ends[socket].target = nullptr; }
    void read(bool on) override { io.ends[socket].reading = on; }
    void write_once(Micros) override { io.ends[socket].writing = true; }
    FakeIo& io;
    int socket;
  };
  struct FakeAlarm final : Alarm {
    void set(Micros) override {}
    void clear() override {}
  };
  struct FakeHttp final : HttpGet {
    void start(const std::string&, const std::string&, Micros) override {}
    void stop() override {}
  };

  Micros now() const override { return time; }
  void update_time() override {}
  Socket listen(const sockaddr_in&, std::string&) override { return make(); }
  Socket adopt(int, std::string&) override { return make(); }
  std::uint16_t port(int) const override { return 1; }
  Accepted accept(int, Socket& socket) override {
    if (waiting_clients == 0) return Accepted::kNone;
    --waiting_clients;
    socket = make();
    accepted.push_back(socket.number());
    return Accepted::kOne;
  }
  CallResult connect(const sockaddr_in&, Socket& socket) override {
    socket = make();
    dialled.push_back(socket.number());
    return CallResult::kDone;
  }
  CallResult connected(int socket) override {
    return ends[socket].dialled ? CallResult::kDone : CallResult::kPermanentError;
  }
  ssize_t recv(int socket, char* to, std::size_t size) override {
    End& e = ends[socket];
    if (e.in.empty()) return e.ended ? 0 : kAgain;
    std::size_t count = std::min(size, e.in.size());
    std::memcpy(to, e.in.data(), count);
    e.in.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  ssize_t send(int socket, const iovec* parts, std::size_t count) override {
    ssize_t put = 0;
    for (std::size_t k = 0; k < count; ++k) {
      ends[socket].out.append(static_cast<const char*>(parts[k].iov_base), parts[k].iov_len);
      put += static_cast<ssize_t>(parts[k].iov_len);
    }
    return put;
  }
  bool may_have_input(int socket) override {
    return ends[socket].ended || !ends[socket].in.empty();
  }
  bool peer_ended(int socket) override { return ends[socket].ended; }
  void shutdown_send(int) override {}
  void close(int socket) override { ends[socket].open = false; }
  std::unique_ptr<Watch> watch(int socket, Watch::Target& target) override {
    ends[socket].target = &target;
    return std::make_unique<FakeWatch>(*this, socket);
  }
  std::unique_ptr<Alarm> alarm(std::function<void()>) override {
    return std::make_unique<FakeAlarm>();
  }
  std::unique_ptr<HttpGet> http(HttpGet::Done) override { return std::make_unique<FakeHttp>(); }
  void run_once() override {}

  /// Delivers a readiness event to the socket's owner.
  void ready(int socket, unsigned what) {
    if (ends[socket].open && ends[socket].target) ends[socket].target->on_ready(what);
  }
  Socket make() { return Socket(*this, next++); }

  Micros time = 1'000'000'000;
  std::map<int, End> ends;
  std::vector<int> accepted, dialled;
  int waiting_clients = 0, next = 1;
};

/// The core with both sides; the test takes the place of the decision modules.
struct CoreFixture : PoolSet::Handler {
  void on_module_start(std::uint32_t) override {}
  void on_module_list(std::uint32_t, violetusher::ListScope,
                      std::vector<violetusher::Server>&&) override {}

  explicit CoreFixture(RequestTable::Bounds bounds = {100, 1u << 20})
      : core({io, config, pools, timers, feed, clients, servers, recorder, metrics, invariants},
             bounds),
        clients(io, core, {}),
        servers(io, core, {.table = {.max_open = 2, .mean_idle = 2, .max_idle_time = 9 * kSecond}},
                &config.settings.report_fields, recorder),
        memory(1u << 20),
        ring({reinterpret_cast<std::byte*>(memory.data()), memory.size()}, "t", 1, io.time) {
    servers.update_hosts(config.initial_hosts);
    std::string error;
    clients.listen({}, error);
    recorder.attach(&ring);
    core.on_alert([this](const char* what) { alerts.push_back(what); });
  }
  int client() {
    io.waiting_clients = 1;
    io.ready(1, Watch::kReadable);
    return io.accepted.back();
  }
  void receive(int socket, const std::string& text) {
    io.ends[socket].in += text;
    io.ready(socket, Watch::kReadable);
  }
  void flush() {
    servers.flush();
    clients.flush();
  }
  /// Delivers the queued module events and drops them.
  void deliver_events() {
    while (!feed.empty()) {
      ModuleEvent& event = feed.pop();
      violetusher::Request request;
      if (auto* e = std::get_if<RequestEvent>(&event)) core.describe(e->id, request);
      if (auto* e = std::get_if<OutcomeEvent>(&event)) core.on_event_delivered(e->outcome.id);
      if (auto* e = std::get_if<DisconnectEvent>(&event)) core.on_event_delivered(e->id);
    }
  }
  void advance(Micros span) {
    io.time += span;
    Timers::Task task;
    while (timers.pop_due(io.time, task)) core.on_timer(task);
  }

  FakeIo io;
  Config config = parse_config(config_text({.dials = {"127.0.0.1:9", "127.0.0.1:10"}}));
  Timers timers;
  ModuleFeed feed;
  PoolSet pools{config, *this, 0};
  core::flight::Recorder recorder;
  core::ops::Metrics metrics;
  core::InvariantChecker invariants;
  RequestCore core;
  ClientSide clients;
  ServerSide servers;
  std::vector<std::uint64_t> memory;
  core::flight::Ring ring;
  std::vector<std::string> alerts;
};

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
