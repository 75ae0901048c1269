// Tests the stand-ins and each of their faults over real connections, in real time.
#include <thread>

#include "../../net/net_support.hpp"
#include "kit/standin/fleet.hpp"

namespace violetusher::standin {
namespace {

using net::test::Client;
using net::test::kTestTimeoutMs;

/// A fleet that runs on its own thread; its day starts at once.
class RunningFleet {
 public:
  explicit RunningFleet(std::vector<Fault> faults = {}, FleetSpec spec = fast_spec(),
                        std::vector<int> router_zones = {0, 1})
      : spec_(std::move(spec)), loop_(clock_) {
    fleet_ = std::make_unique<Fleet>(loop_, spec_, std::move(faults), 1, router_zones, history_);
    thread_ = std::thread([this] {
      fleet_->start(clock_.now());
      loop_.run();
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(60));  // faults from time 0 are active
  }
  ~RunningFleet() { stop(); }
  /// Stops the thread, after which the history may be read.
  kit::History& stop() {
    loop_.stop_from_outside();
    if (thread_.joinable()) thread_.join();
    return history_;
  }
  std::uint16_t port(int server = 0, int router = 0) const {
    std::string address = fleet_->address(server, router);
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  }
  std::uint16_t discovery_port(int router = 0) const {
    std::string address = fleet_->discovery_address(router);
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  }
  static FleetSpec fast_spec() {
    FleetSpec spec;
    spec.halls = {"bole", "kality"};
    spec.kinds = {{"std-4c", 4, 1, 8, 1u << 20, 8, 0}};
    spec.servers = {{"pc-1", 0, 0, 0, 0}, {"pc-2", 0, 1, 0, 0}};
    spec.held = 1;
    spec.origin.time = 1000;
    spec.notice = 50'000;
    spec.silent_notice = 100'000;
    spec.calls_per_s = 1000;
    spec.value_low = spec.value_high = 40;
    return spec;
  }

 private:
  net::Clock clock_;
  FleetSpec spec_;
  kit::History history_;
  kit::Loop loop_;
  std::unique_ptr<Fleet> fleet_;
  std::thread thread_;
};

Fault on_first(FaultKind kind, Micros until = 3'600'000'000) {
  Fault f;
  f.kind = kind;
  f.until = until;
  f.servers = {0};
  return f;
}

std::string read_of(const std::string& id, const std::string& key = "k", int d = 2000,
                    int h = 1000) {
  return "mg " + key + " v O" + id + " Pc=price-lookup,t=x,d=" + std::to_string(d) +
         ",h=" + std::to_string(h) + "\r\n";
}
std::string write_of(const std::string& id, const std::string& k, const std::string& key = "k") {
  return "ms " + key + " 2 O" + id + " Pc=sale-record,t=x,d=2000,k=" + k + ",h=1000\r\nhi\r\n";
}

std::string call(std::uint16_t port, const std::string& query) {
  Client client(port);
  client.send("GET /discovery/hosts" + query + " HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n");
  return client.read_all();
}

/// Whether nothing arrives within `ms`.
bool silent(Client& client, int ms) {
  pollfd poll{client.fd(), POLLIN, 0};
  return ::poll(&poll, 1, ms) == 0;
}

TEST(StandIn, ReadsThroughAndReportsHits) {
  FleetSpec spec = RunningFleet::fast_spec();
  spec.held = 0;
  RunningFleet fleet({}, spec);
  Client client(fleet.port());
  client.send(read_of("q1-0"));
  EXPECT_EQ(client.line().rfind("VA 40 Oq1-0 h0", 0), 0u);
  EXPECT_EQ(client.line().rfind("k|q1-0|pc-1|", 0), 0u);  // the value names this request
  client.send(read_of("q2-0"));
  EXPECT_EQ(client.line().rfind("VA 40 Oq2-0 h1", 0), 0u);
  client.line();
  client.send("mn\r\nstats load\r\n");
  EXPECT_EQ(client.line(), "MN");
  EXPECT_EQ(client.line(), "ERROR");
}

TEST(StandIn, ReportsItsLoad) {
  RunningFleet fleet;
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  Client client(fleet.port());
  client.send(read_of("q1-0"));
  std::string line = client.line();
  EXPECT_NE(line.find(" Lload_share="), line.npos) << line;
  EXPECT_NE(line.find(",mean_ms="), line.npos) << line;
  EXPECT_NE(line.find(",x0="), line.npos) << line;
}

TEST(StandIn, AnswersInOrder) {
  RunningFleet fleet;
  Client client(fleet.port());
  client.send(read_of("q1-0", "a", 2000, 80'000) + read_of("q2-0", "b", 2000, 1000));
  EXPECT_EQ(client.line().rfind("VA 40 Oq1-0", 0), 0u);
  client.line();
  EXPECT_EQ(client.line().rfind("VA 40 Oq2-0", 0), 0u);
}

TEST(StandIn, RepeatedWritesRunOnceOverAllPriceCaches) {
  RunningFleet fleet;
  Client a(fleet.port(0)), b(fleet.port(1));
  a.send(write_of("q1-0", "s1"));
  std::string first = a.line();
  b.send(write_of("q1-1", "s1"));
  std::string second = b.line();
  EXPECT_EQ(first.substr(first.rfind(' ')), second.substr(second.rfind(' ')));  // the same receipt
  a.send(write_of("q2-0", "s2"));
  a.line();
  kit::History& history = fleet.stop();
  EXPECT_EQ(history.effects.size(), 2u);
  EXPECT_TRUE(history.attempts[1].repeat);
}

TEST(StandIn, AWriteInvalidatesTheKeyAtOtherPriceCaches) {
  RunningFleet fleet;
  Client a(fleet.port(0)), b(fleet.port(1));
  b.send(read_of("q1-0"));
  EXPECT_NE(b.line().find(" h1"), std::string::npos);
  b.line();
  a.send(write_of("q2-0", "s1"));
  a.line();
  b.send(read_of("q3-0"));
  EXPECT_NE(b.line().find(" h0"), std::string::npos);
}

TEST(StandIn, AnswersBusyBeyondItsQueueLimit) {
  RunningFleet fleet;
  Client client(fleet.port());
  std::string all;
  for (int k = 0; k < 20; ++k)
    all += read_of("q" + std::to_string(k) + "-0", "k" + std::to_string(k), 5000, 100'000);
  client.send(all);
  int busy = 0, served = 0;
  for (int k = 0; k < 20; ++k) {
    std::string line = client.line();
    busy += line == "SERVER_ERROR busy";
    if (line.rfind("VA", 0) == 0) ++served, client.line();
  }
  EXPECT_EQ(served, 12);  // four cores and a queue of eight
  EXPECT_EQ(busy, 8);
}

TEST(StandIn, AnswersBusyBeyondItsConnectionLimit) {
  RunningFleet fleet;
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 9; ++k) {
    clients.push_back(std::make_unique<Client>(fleet.port()));
    clients.back()->send("mn\r\n");
    EXPECT_EQ(clients.back()->line(), "MN");
  }
  clients.back()->send(read_of("q1-0"));
  EXPECT_EQ(clients.back()->read_all(), "SERVER_ERROR busy\r\n");  // and the connection is closed
  clients.front()->send(read_of("q2-0"));
  EXPECT_EQ(clients.front()->line().rfind("VA", 0), 0u);
}

TEST(StandIn, ClosesOnMalformedCommands) {
  RunningFleet fleet;
  Client client(fleet.port());
  client.send("mg \r\n");
  EXPECT_EQ(client.read_all(), "CLIENT_ERROR bad command\r\n");
}

TEST(StandIn, ClosesIdleConnections) {
  FleetSpec spec = RunningFleet::fast_spec();
  spec.idle_close = 200'000;
  RunningFleet fleet({}, spec);
  Client client(fleet.port());
  EXPECT_EQ(client.read_all(), "");
}

TEST(StandIn, NetworkDelayAppliesBothWays) {
  FleetSpec spec = RunningFleet::fast_spec();
  spec.cross = 60'000;
  RunningFleet fleet({}, spec);
  auto time = [&](int router) {
    Client client(fleet.port(0, router));
    auto from = std::chrono::steady_clock::now();
    client.send(read_of("q1-0"));
    client.line();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from)
        .count();
  };
  EXPECT_GE(time(1), 120);
}

/// Guards against recording an answer when it is made: behind another answer it is written later,
/// and the router cannot know of it before that.
TEST(Record, ABlockedAnswerEndsWhenItIsWritten) {
  RunningFleet fleet;
  Client client(fleet.port());
  client.send(read_of("q1-0", "a", 2000, 200'000) + "mn\r\n" + read_of("q2-0", "b", 2000, 1'000));
  for (int lines = 0; lines < 5; ++lines) client.line();
  const auto& attempts = fleet.stop().attempts;
  ASSERT_EQ(attempts.size(), 2u);  // a no-op has no record
  const auto &slow = attempts[0], &fast = attempts[1];
  EXPECT_LT(fast.made, slow.made);
  EXPECT_GE(fast.ended, slow.made);
  EXPECT_GT(fast.ended - fast.made, 50'000);
  EXPECT_LT(slow.ended - slow.made, 50'000);
  EXPECT_EQ(fast.answered, kit::Answered::kServed);
}

TEST(Record, UnansweredAttemptsEndWithTheConnection) {
  Fault reset = on_first(FaultKind::kResets);
  RunningFleet fleet({reset});
  Client client(fleet.port());
  client.send(read_of("q1-0", "a", 2000, 1'000) + read_of("q2-0", "b", 2000, 900'000));
  EXPECT_EQ(client.read_all(), "");
  const auto& attempts = fleet.stop().attempts;
  ASSERT_EQ(attempts.size(), 2u);
  for (const auto& a : attempts) {
    EXPECT_EQ(a.answered, kit::Answered::kReset);
    EXPECT_GT(a.ended, 0);
  }
  EXPECT_EQ(attempts[0].ended, attempts[1].ended);
}

TEST(Record, BytesUnreadDuringACutCountFromTheirArrival) {
  Fault cut = on_first(FaultKind::kHallCut, 1'500'000);
  cut.servers.clear();
  cut.hall = 1;
  cut.from = 300'000;
  RunningFleet fleet({cut});
  Client client(fleet.port(0, 1));
  client.send("mn\r\n");
  ASSERT_EQ(client.line(), "MN");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  std::string second = read_of("q2-0");
  client.send(read_of("q1-0") + second.substr(0, 10));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  client.send(second.substr(10) + read_of("q3-0"));
  for (int lines = 0; lines < 6; ++lines) client.line();
  const auto& attempts = fleet.stop().attempts;
  ASSERT_EQ(attempts.size(), 3u);
  for (const auto& a : attempts)
    EXPECT_GT(a.ended - a.first_byte, 300'000);  // all arrived during the cut
  // Each counts from its own first byte; the second command's first byte arrived with the first.
  EXPECT_EQ(attempts[0].first_byte, attempts[1].first_byte);
  EXPECT_GT(attempts[2].first_byte - attempts[1].first_byte, 200'000);
  EXPECT_LT(attempts[2].begun - attempts[0].begun, 200'000);  // all read after the cut
}

TEST(Fault, DiesResetsAndRefusesAndComesBackCold) {
  Fault f = on_first(FaultKind::kDies, 900'000);
  f.from = 300'000;
  RunningFleet fleet({f});
  Client client(fleet.port());
  client.send(read_of("q1-0"));
  EXPECT_NE(client.line().find(" h1"), std::string::npos);
  client.line();
  EXPECT_EQ(client.read_all(), "");
  EXPECT_TRUE(client.ended());
  EXPECT_FALSE(Client(fleet.port()).connected());
  bool back = false;
  for (int k = 0; k < 1500 && !back; ++k) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    back = Client(fleet.port()).connected();
  }
  ASSERT_TRUE(back);
  Client later(fleet.port());
  later.send(read_of("q2-0"));
  EXPECT_NE(later.line().find(" h0"), std::string::npos);
}

TEST(Fault, VanishedIsSilentAndConnectionsAreNeverEstablished) {
  Fault f = on_first(FaultKind::kVanishes, 1'500'000);
  f.from = 300'000;
  RunningFleet fleet({f});
  Client client(fleet.port());
  client.send("mn\r\n");
  ASSERT_EQ(client.line(), "MN");
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  client.send(read_of("q1-0"));
  EXPECT_TRUE(silent(client, 200));
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in to = net::test::loopback(fleet.port());
  EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to), -1);
  EXPECT_EQ(errno, EINPROGRESS);
  pollfd poll{fd.get(), POLLOUT, 0};
  EXPECT_EQ(::poll(&poll, 1, 200), 0);  // neither established nor refused
  EXPECT_EQ(client.read_all(), "");     // reset when the server is back
}

TEST(Fault, MuteAcceptsAndNeverAnswers) {
  RunningFleet fleet({on_first(FaultKind::kMute)});
  Client client(fleet.port());
  EXPECT_TRUE(client.connected());
  client.send(read_of("q1-0"));
  EXPECT_TRUE(silent(client, 300));
  EXPECT_EQ(fleet.stop().attempts.size(), 1u);
}

TEST(Fault, LateAnswersAfterTheRequestTimeout) {
  Fault f = on_first(FaultKind::kLate);
  f.delay = 100'000;
  RunningFleet fleet({f});
  Client client(fleet.port());
  auto from = std::chrono::steady_clock::now();
  client.send(read_of("q1-0", "k", 150));
  EXPECT_EQ(client.line().rfind("VA", 0), 0u);
  EXPECT_GE(std::chrono::steady_clock::now() - from, std::chrono::milliseconds(250));
}

TEST(Fault, SlowMultipliesTheServiceTime) {
  Fault f = on_first(FaultKind::kSlow);
  f.factor = 10;
  RunningFleet fleet({f});
  Client client(fleet.port());
  auto from = std::chrono::steady_clock::now();
  client.send(read_of("q1-0", "k", 2000, 40'000));
  client.line();
  EXPECT_GE(std::chrono::steady_clock::now() - from, std::chrono::milliseconds(80));
}

TEST(Fault, ErrorsBusyAndResetsDependOnTheRequestAlone) {
  for (FaultKind kind : {FaultKind::kErrors, FaultKind::kBusy, FaultKind::kResets}) {
    Fault f = on_first(kind);
    f.rate = 0.3;
    std::string outcomes[2];
    for (int run = 0; run < 2; ++run) {
      RunningFleet fleet({f});
      // The second run sends in reverse order; the fault applies to the same requests.
      std::string seen(200, '?');
      for (int k = 0; k < 200; ++k) {
        int request = run == 0 ? k : 199 - k;
        Client client(fleet.port());
        client.send(read_of("q" + std::to_string(request) + "-0", "k", 2000, 1));
        std::string line = client.line();
        seen[static_cast<std::size_t>(request)] = line.empty()               ? 'r'
                                                  : line.rfind("VA", 0) == 0 ? 'v'
                                                                             : line.back();
      }
      outcomes[run] = seen;
    }
    EXPECT_EQ(outcomes[0], outcomes[1]) << name_of(kind);
    char mark = kind == FaultKind::kErrors ? 'd' : kind == FaultKind::kBusy ? 'y' : 'r';
    EXPECT_NEAR(std::count(outcomes[0].begin(), outcomes[0].end(), mark), 60, 30) << name_of(kind);
  }
}

TEST(Fault, MalformedAnswers) {
  auto answer = [](FaultKind kind) {
    RunningFleet fleet({on_first(kind)});
    Client client(fleet.port());
    client.send(read_of("q1-0"));
    std::string all;
    pollfd poll{client.fd(), POLLIN, 0};
    char bytes[16384];
    while (::poll(&poll, 1, 300) == 1) {
      ssize_t got = ::recv(client.fd(), bytes, sizeof bytes, 0);
      if (got <= 0) break;
      all.append(bytes, static_cast<std::size_t>(got));
    }
    return all;
  };
  EXPECT_EQ(answer(FaultKind::kNoise)[0], '\x01');
  std::string endless = answer(FaultKind::kEndless);
  EXPECT_GT(endless.size(), 4096u);
  EXPECT_EQ(endless.find('\n'), endless.npos);
  EXPECT_EQ(answer(FaultKind::kLength).rfind("VA 7 Oq1-0", 0), 0u);
  EXPECT_EQ(answer(FaultKind::kOtherId).find("q1-0"), std::string::npos);
  std::string twice = answer(FaultKind::kSecondCopy);
  ASSERT_EQ(twice.size() % 2, 0u);
  EXPECT_EQ(twice.substr(0, twice.size() / 2), twice.substr(twice.size() / 2));
}

TEST(Fault, ConnectionsDearerKeepCoresBusy) {
  FleetSpec spec = RunningFleet::fast_spec();
  spec.kinds[0].cores = 1;
  spec.kinds[0].connect_work = 5'000;
  Fault f = on_first(FaultKind::kConnectCost);
  f.factor = 40;
  RunningFleet fleet({f}, spec);
  Client client(fleet.port());
  auto from = std::chrono::steady_clock::now();
  client.send(read_of("q1-0"));
  client.line();
  EXPECT_GE(std::chrono::steady_clock::now() - from, std::chrono::milliseconds(150));
}

TEST(Fault, ReportsLateContainOldFigures) {
  for (bool late : {false, true}) {
    Fault f = on_first(FaultKind::kReportsLate);
    f.delay = 60'000'000;
    FleetSpec spec = RunningFleet::fast_spec();
    spec.kinds[0].waiting = 100;
    spec.report_every = 50'000;
    spec.report_lag = 0;
    RunningFleet fleet(late ? std::vector<Fault>{f} : std::vector<Fault>{}, spec);
    Client client(fleet.port());
    for (int k = 0; k < 8; ++k)
      client.send(read_of("q" + std::to_string(k) + "-0", "k", 5000, 200'000));
    std::string last;
    for (int k = 0; k < 8; ++k) last = client.line(), client.line();
    bool idle = last.find("Lload_share=0.000") != last.npos;
    EXPECT_EQ(idle, late) << last;  // the report from before the work
  }
}

TEST(Fault, AJoiningServerStartsCold) {
  FleetSpec spec = RunningFleet::fast_spec();
  spec.servers.push_back({"pc-3", 0, 0, 0, 300'000});
  RunningFleet fleet({}, spec);
  EXPECT_FALSE(Client(fleet.port(2)).connected());
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  Client client(fleet.port(2));
  client.send(read_of("q1-0"));
  EXPECT_NE(client.line().find(" h0"), std::string::npos);
  std::string list = call(fleet.discovery_port(), "");
  std::size_t at = list.find("\"pc-3\"");
  ASSERT_NE(at, list.npos) << list;
  EXPECT_EQ(list.substr(list.rfind('{', at), 14).find("\"born_ms\":0"), std::string::npos) << list;
}

TEST(Fault, ZonePartitionAffectsOtherZonesOnly) {
  Fault f;
  f.kind = FaultKind::kHallCut;
  f.until = 700'000;
  f.hall = 0;
  RunningFleet fleet({f});
  Client own(fleet.port(0, 0));
  own.send(read_of("q1-0"));
  EXPECT_EQ(own.line().rfind("VA", 0), 0u);
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in to = net::test::loopback(fleet.port(0, 1));
  ::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  pollfd poll{fd.get(), POLLOUT, 0};
  EXPECT_EQ(::poll(&poll, 1, 150), 0);
  Client later(fleet.port(0, 1));  // established after the cut, by a SYN retransmission
  later.send(read_of("q2-0"));
  EXPECT_EQ(later.line().rfind("VA", 0), 0u);
}

TEST(Fault, ZoneDelayIsAdded) {
  Fault f;
  f.kind = FaultKind::kHallSlow;
  f.until = 3'600'000'000;
  f.hall = 0;
  f.delay = 100'000;
  RunningFleet fleet({f});
  Client client(fleet.port(0, 1));
  auto from = std::chrono::steady_clock::now();
  client.send(read_of("q1-0"));
  client.line();
  EXPECT_GE(std::chrono::steady_clock::now() - from, std::chrono::milliseconds(200));
}

TEST(Fault, DrainAnswersBusyAndShowsInTheList) {
  Fault f = on_first(FaultKind::kDrain, 700'000);
  f.from = 100'000;
  RunningFleet fleet({f});
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  std::string list = call(fleet.discovery_port(), "");
  EXPECT_NE(list.find("leaving"), list.npos) << list;
  Client client(fleet.port());
  client.send(read_of("q1-0"));
  EXPECT_EQ(client.line(), "SERVER_ERROR busy");
  EXPECT_EQ(client.read_all(), "");  // it stops after the drain
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  list = call(fleet.discovery_port(), "");
  EXPECT_EQ(list.find("\"pc-1\""), list.npos) << list;
}

TEST(Fault, ReplacedHasANewIdAtTheOldAddress) {
  Fault f = on_first(FaultKind::kReplaced);
  f.from = 100'000;
  f.delay = 200'000;
  RunningFleet fleet({f});
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  std::string list = call(fleet.discovery_port(), "");
  EXPECT_NE(list.find("\"pc-1+\""), list.npos) << list;
  Client client(fleet.port());
  client.send(read_of("q1-0"));
  client.line();
  EXPECT_NE(client.line().find("|pc-1+|"), std::string::npos);
}

TEST(Discovery, AWatchReturnsChangesOrNothingAtItsTimeout) {
  Fault f = on_first(FaultKind::kDrain, 3'600'000'000);
  f.from = 600'000;
  RunningFleet fleet({f});
  std::string list = call(fleet.discovery_port(), "");
  std::string seq = list.substr(list.find("\"seq\":") + 6);
  seq = seq.substr(0, seq.find(','));
  std::string none = call(fleet.discovery_port(), "?index=" + seq + "&wait=100");
  EXPECT_NE(none.find("\"hosts\":[]"), none.npos) << none;
  std::string change = call(fleet.discovery_port(), "?index=" + seq + "&wait=20000");
  EXPECT_NE(change.find("leaving"), change.npos) << change;
  EXPECT_NE(change.find("\"whole\":false"), change.npos);
  EXPECT_EQ(change.find("\"pc-2\""), change.npos) << change;
  kit::History& history = fleet.stop();
  EXPECT_EQ(history.told.back().health, Health::Draining);
}

TEST(Discovery, AClosedWatchIsNotNotified) {
  Fault f = on_first(FaultKind::kDrain, 3'600'000'000);
  f.from = 600'000;
  RunningFleet fleet({f});
  std::string list = call(fleet.discovery_port(), "");
  std::string seq = list.substr(list.find("\"seq\":") + 6);
  seq = seq.substr(0, seq.find(','));
  std::string head = "GET /discovery/hosts?index=" + seq;
  for (int calls = 1; calls <= 2; ++calls) {
    Client caller(fleet.discovery_port());
    for (int k = 1; k < calls; ++k) {  // earlier calls on the same connection
      caller.send(head + "&wait=50 HTTP/1.1\r\nHost: x\r\n\r\n");
      EXPECT_EQ(caller.line(), "HTTP/1.1 200 OK");
    }
    caller.send(head + "&wait=20000 HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  for (const auto& told : fleet.stop().told) EXPECT_EQ(told.health, Health::Ready);
}

TEST(Discovery, DownFailsCallsAndEndsWatches) {
  Fault f;
  f.kind = FaultKind::kDiscoveryDown;
  f.from = 400'000;
  f.until = 1'000'000;
  RunningFleet fleet({f});
  std::string watch = call(fleet.discovery_port(), "?index=100&wait=20000");
  EXPECT_NE(watch.find("\"whole\":true"), watch.npos);  // a version of an earlier process
  watch = call(fleet.discovery_port(), "?index=3&wait=20000");
  EXPECT_NE(watch.find(" 503 "), watch.npos) << watch;
  EXPECT_NE(call(fleet.discovery_port(), "").find(" 503 "), std::string::npos);
}

TEST(Discovery, LateShowsChangesLater) {
  Fault late, drain = on_first(FaultKind::kDrain, 3'600'000'000);
  late.kind = FaultKind::kDiscoveryLate;
  late.until = 3'600'000'000;
  late.delay = 600'000;
  RunningFleet fleet({late, drain});
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  EXPECT_EQ(call(fleet.discovery_port(), "").find("leaving"), std::string::npos);
  std::string change = call(fleet.discovery_port(), "?index=3&wait=20000");
  EXPECT_NE(change.find("leaving"), change.npos);
}

}  // namespace
}  // namespace violetusher::standin
