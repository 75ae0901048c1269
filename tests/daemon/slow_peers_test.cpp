// Daemon processes whose cache servers are sound but slow within their answers, or slow to read
// their requests: an answer that has begun is not cut off, and final answers keep their time.
#include "paced_server.hpp"
#include "process_support.hpp"

namespace violetusher::net::test {
namespace {

constexpr int kServers = 5, kRequests = 12;
constexpr int kDeadlineMs = 600;
// PROTOCOL: time limits are 50 ms longer on sockets; the clients' threads share the machine.
constexpr int kAnswerSlackMs = 50 + 100;

std::string value_of(std::size_t length) { return std::string(length, 'v'); }

std::string value_answer(const ReceivedCommand& command, std::size_t length) {
  return value_for(command.line, value_of(length));
}

std::string receipt_answer(const ReceivedCommand& command) {
  return "HD O" + id_of(command.line) + " cR-" + id_of(command.line) + "\r\n";
}

/// The answer up to `size` bytes, and the rest `gap_ms` later.
std::vector<Piece> split_at(const std::string& text, std::size_t size, int gap_ms) {
  return {{0, text.substr(0, size)}, {gap_ms, text.substr(size)}};
}

/// A daemon process and its cache servers, which all behave alike.
class SlowPeers : public ::testing::Test {
 protected:
  /// Without `answer`, with the servers that the test has made itself.
  void start(const PacedServer::Answer& answer, PacedServer::Reading reading = {}) {
    for (int k = 0; answer && k < kServers; ++k)
      servers_.push_back(std::make_unique<PacedServer>(answer, reading));
    for (const auto& server : servers_) options_.dials.push_back(server->address());
    folder_.write("config.json", config_text(options_));
    daemon_ = std::make_unique<Daemon>(folder_);
    port_ = daemon_->port();
    ASSERT_NE(port_, 0) << daemon_->log();
  }

  std::vector<TimedAnswer> read_all(int deadline_ms = kDeadlineMs) {
    std::vector<std::string> commands;
    for (int k = 0; k < kRequests; ++k)
      commands.push_back(read_command("r" + std::to_string(k), "key-" + std::to_string(k),
                                      std::to_string(deadline_ms)));
    return ask_all(port_, commands);
  }
  std::vector<TimedAnswer> write_all(const std::string& type, int deadline_ms,
                                     const std::string& value = "hello") {
    std::vector<std::string> commands;
    for (int k = 0; k < kRequests; ++k)
      commands.push_back(
          write_command(type, "w" + std::to_string(k), std::to_string(deadline_ms), value));
    return ask_all(port_, commands);
  }
  int commands_run() const {
    std::size_t sum = 0;
    for (const auto& server : servers_) sum += server->commands().size();
    return static_cast<int>(sum);
  }
  /// After a refused write each, so that both are sent on the same connection.
  void expect_each_write_runs_once(const std::string& type) {
    for (int k = 0; k < kRequests; ++k) {
      std::string n = std::to_string(k);
      ask(port_, write_command(type, "r" + n, "900"));
      EXPECT_TRUE(ask(port_, write_command(type, "w" + n, "900")).served()) << n;
    }
    std::map<std::string, int> runs;
    for (const auto& server : servers_)
      for (const ReceivedCommand& c : server->commands()) runs[id_of(c.line)] += 1;
    for (int k = 0; k < kRequests; ++k) EXPECT_EQ(runs["w" + std::to_string(k)], 1) << k;
  }
  static int served(const std::vector<TimedAnswer>& answers) {
    return static_cast<int>(std::count_if(answers.begin(), answers.end(),
                                          [](const TimedAnswer& a) { return a.served(); }));
  }
  void expect_values(const std::vector<TimedAnswer>& answers, std::size_t length) {
    EXPECT_EQ(served(answers), kRequests) << daemon_->log();
    for (const TimedAnswer& a : answers) {
      EXPECT_EQ(a.value.size(), length) << a.line;
      EXPECT_LE(a.first_byte_ms, kDeadlineMs + kAnswerSlackMs) << a.line;
    }
  }

  RouterOptions options_{.deadline_us = "1000000", .objective_us = "150000", .once_class = true};
  TemporaryDirectory folder_;
  std::vector<std::unique_ptr<PacedServer>> servers_;
  std::unique_ptr<Daemon> daemon_;
  std::uint16_t port_ = 0;
};

// ---- answers that come twice ----

/// Refuses the requests whose id begins with 'r', twice.
std::vector<Piece> refuse_twice(const ReceivedCommand& c) {
  const std::string refusal = "SERVER_ERROR busy\r\n";
  if (id_of(c.line)[0] == 'r') return {{0, refusal}, {8, refusal}};
  return {{30, receipt_answer(c)}};
}

/// Guards against a late second copy of a refusal, which has no id, that refuses the next request
/// of class once on its connection: that one ran at a second server as well.
TEST_F(SlowPeers, ALateCopyOfARefusalDoesNotRefuseTheNextRequest) {
  start(refuse_twice);
  expect_each_write_runs_once("pay");
}

/// The same for a keyed request, which ran at a server of another cell: that one does not know its
/// key.
TEST_F(SlowPeers, ALateCopyOfARefusalDoesNotRefuseTheNextKeyedRequestOfACell) {
  options_.key_group = "cell";
  options_.own_cells = true;
  start(refuse_twice);
  expect_each_write_runs_once("put");
}

// ---- answers that pause after their first byte ----

TEST_F(SlowPeers, ALongValueWhoseBodyComesLateIsNotCutOff) {
  start([](const ReceivedCommand& c) {
    std::string text = value_answer(c, 200'000);
    return split_at(text, text.find('\n') + 1, 360);
  });
  expect_values(read_all(), 200'000);
}

TEST_F(SlowPeers, ALongValueOfWhichTheHeadAloneComesInTimeIsNotCutOff) {
  start([](const ReceivedCommand& c) {
    std::string text = value_answer(c, 200'000);
    return split_at(text, text.find('\n') + 1, kDeadlineMs + 300);
  });
  expect_values(read_all(), 200'000);
}

TEST_F(SlowPeers, ALongValueThatTricklesIsNotCutOff) {
  start([](const ReceivedCommand& c) { return in_pieces(value_answer(c, 150'000), 5'000, 200); });
  expect_values(read_all(), 150'000);
}

/// FLEET: servers fall silent for up to 6 s, in the middle of their work too, and come back.
TEST_F(SlowPeers, ALongValueWhoseServerIsSilentForSixSecondsIsNotCutOff) {
  start([](const ReceivedCommand& c) { return split_at(value_answer(c, 150'000), 50'000, 6300); });
  expect_values(read_all(), 150'000);
}

TEST_F(SlowPeers, AValueThatComesInSlowPiecesIsNotCutOff) {
  start([](const ReceivedCommand& c) { return in_pieces(value_answer(c, 48'000), 8'200, 70); });
  expect_values(read_all(), 48'000);
}

TEST_F(SlowPeers, ALineThatIsSplitByAPauseIsNotCutOff) {
  start([](const ReceivedCommand& c) { return split_at(value_answer(c, 100), 9, 150); });
  expect_values(read_all(), 100);
}

TEST_F(SlowPeers, ALineEndThatIsSplitByAPauseIsNotCutOff) {
  start([](const ReceivedCommand& c) {
    std::string text = value_answer(c, 100);
    return split_at(text, text.size() - 1, 150);
  });
  expect_values(read_all(), 100);
}

TEST_F(SlowPeers, AReceiptThatIsSplitByAPauseIsNotCutOff) {
  start([](const ReceivedCommand& c) { return split_at(receipt_answer(c), 7, 150); });
  EXPECT_EQ(served(write_all("put", 1000)), kRequests) << daemon_->log();
}

TEST_F(SlowPeers, AReceiptOfAWriteThatMayRunOnceIsNotCutOff) {
  start([](const ReceivedCommand& c) { return split_at(receipt_answer(c), 7, 150); });
  EXPECT_EQ(served(write_all("pay", 1000)), kRequests) << daemon_->log();
  EXPECT_EQ(commands_run(), kRequests);
}

TEST_F(SlowPeers, WithoutSecondCopiesASlowAnswerIsWaitedFor) {
  options_.may_hedge = false;
  start([](const ReceivedCommand& c) { return in_pieces(value_answer(c, 48'000), 8'200, 70); });
  expect_values(read_all(), 48'000);
  EXPECT_EQ(commands_run(), kRequests);
}

/// Attempts that share a connection: one that is given up must not end the answer of another.
TEST_F(SlowPeers, ASlowAnswerOutlivesAnAttemptBehindItOnItsConnection) {
  options_.streams = 8;
  options_.sockets = 64;
  start([](const ReceivedCommand& c) { return in_pieces(value_answer(c, 48'000), 8'200, 70); });
  expect_values(read_all(), 48'000);
}

// ---- requests that servers read slowly ----

/// Reads 4 KB every 60 ms: a request of 60 KB takes 0.9 s.
constexpr PacedServer::Reading kSlowReading{.receive_buffer = 4096, .bytes = 4096, .gap_ms = 60};

std::vector<Piece> store(const ReceivedCommand& c) { return {{0, receipt_answer(c)}}; }

TEST_F(SlowPeers, ARequestThatIsReadSlowlyGetsItsFinalAnswerInTime) {
  start(store, kSlowReading);
  for (const char* type : {"put", "pay"}) {
    for (const TimedAnswer& a : write_all(type, kDeadlineMs, value_of(60'000))) {
      EXPECT_EQ(a.line.rfind("SERVER_ERROR", 0), 0u) << type << " " << a.line;
      EXPECT_LE(a.last_byte_ms, kDeadlineMs + kAnswerSlackMs) << type;
    }
    sleep_ms(1500);
    EXPECT_EQ(commands_run(), 0) << type << " " << daemon_->log();
  }
}

TEST_F(SlowPeers, AWriteThatIsReadSlowlyIsServedWithinItsTime) {
  options_.may_hedge = false;
  start(store, kSlowReading);
  EXPECT_EQ(served(write_all("put", 1000, value_of(30'000))), kRequests) << daemon_->log();
  EXPECT_EQ(commands_run(), kRequests);
}

TEST_F(SlowPeers, AWriteThatMayRunOnceAndIsReadSlowlyIsServedWithinItsTime) {
  start(store, kSlowReading);
  EXPECT_EQ(served(write_all("pay", 1000, value_of(30'000))), kRequests) << daemon_->log();
  EXPECT_EQ(commands_run(), kRequests);
}

/// Guards against requests that the system still sends after their client has left.
TEST_F(SlowPeers, ARequestThatIsReadSlowlyEndsWithItsClient) {
  start(store, kSlowReading);
  std::vector<std::unique_ptr<Client>> clients;
  for (const char* type : {"put", "pay"}) {
    clients.push_back(std::make_unique<Client>(port_));
    clients.back()->send(write_command(type, std::string("gone-") + type, "900", value_of(60'000)));
  }
  sleep_ms(300);
  clients.clear();
  sleep_ms(1500);
  EXPECT_EQ(commands_run(), 0) << daemon_->log();
}

/// Guards against requests that the system sends on after their time, as they share a connection
/// with others that their server reads slowly.
TEST_F(SlowPeers, RequestsThatShareASlowlyReadConnectionAreNotSentAfterTheirTime) {
  options_.streams = 8;
  options_.sockets = 64;
  servers_.push_back(std::make_unique<PacedServer>(store, kSlowReading));
  start(nullptr);
  std::vector<std::string> commands;
  for (int k = 0; k < 3 * kRequests; ++k) {
    bool hurried = k % 2 == 1;
    std::string id = (hurried ? "hurried-" : "patient-") + std::to_string(k);
    commands.push_back(write_command("put", id, hurried ? "300" : "1000", value_of(20'000)));
  }
  SteadyTime sent = std::chrono::steady_clock::now();
  ask_all(port_, commands);
  sleep_ms(1500);
  std::vector<ReceivedCommand> received = servers_[0]->commands();
  std::vector<SteadyTime> times = servers_[0]->times();
  int late = 0;
  for (std::size_t k = 0; k < received.size(); ++k) {
    int time_ms = id_of(received[k].line).rfind("hurried", 0) == 0 ? 300 : 1000;
    late += ms_between(sent, times[k]) > time_ms + kAnswerSlackMs;
  }
  EXPECT_EQ(late, 0) << daemon_->log();
}

/// Guards against a keyed write that runs again after the servers have forgotten its key: an
/// attempt that begins within that time, but is read slowly, comes to its server after it.
TEST_F(SlowPeers, AKeyedWriteThatIsReadSlowlyDoesNotRunAfterItsKeyIsForgotten) {
  constexpr int kWindowMs = 400, kAnswerMs = 2000;
  options_.key_ttl_us = std::to_string(kWindowMs * 1000);
  options_.deadline_us = std::to_string(kAnswerMs * 1000);
  // Whichever server is first, the others are asked too: one runs it at once and says nothing.
  auto silent = [](const ReceivedCommand&) { return std::vector<Piece>(); };
  servers_.push_back(std::make_unique<PacedServer>(silent));
  for (int k = 1; k < 3; ++k)
    servers_.push_back(std::make_unique<PacedServer>(store, kSlowReading));
  start(nullptr);
  for (const TimedAnswer& a : write_all("put", kAnswerMs, value_of(60'000))) {
    EXPECT_FALSE(a.line.empty());
    EXPECT_LE(a.last_byte_ms, kAnswerMs + kAnswerSlackMs);
  }
  sleep_ms(1500);
  std::map<std::string, std::vector<SteadyTime>> runs;
  for (const auto& server : servers_) {
    std::vector<ReceivedCommand> received = server->commands();
    std::vector<SteadyTime> times = server->times();
    for (std::size_t k = 0; k < received.size(); ++k)
      runs[id_of(received[k].line)].push_back(times[k]);
  }
  EXPECT_FALSE(runs.empty());
  for (auto& [id, times] : runs) {
    std::sort(times.begin(), times.end());
    EXPECT_LE(ms_between(times.front(), times.back()), kWindowMs + kAnswerSlackMs) << id;
  }
}

/// The final answers keep their time through a restart and new settings, and nothing of a request
/// is sent after it.
TEST_F(SlowPeers, RequestsThatAreReadSlowlyKeepTheirTimeThroughSignals) {
  for (int number : {SIGHUP, SIGTERM}) {
    start(store, kSlowReading);
    auto pending = std::async(std::launch::async,
                              [&] { return write_all("pay", kDeadlineMs, value_of(60'000)); });
    sleep_ms(200);
    daemon_->signal(number);
    for (const TimedAnswer& a : pending.get()) {
      EXPECT_EQ(a.line, "SERVER_ERROR failed") << number;
      EXPECT_LE(a.last_byte_ms, kDeadlineMs + kAnswerSlackMs) << number;
    }
    sleep_ms(1500);
    EXPECT_EQ(commands_run(), 0) << number << daemon_->log();
    if (number == SIGTERM) {
      EXPECT_EQ(daemon_->wait(), 0);
    }
    servers_.clear();
    options_.dials.clear();
  }
}

/// What the early end of paused answers was for: a spoilt answer is found out by its pause, and
/// another server is asked before the caller waits long.
TEST_F(SlowPeers, SpoiltAnswersOfTwoServersCostAnotherAttemptAndNoMore) {
  static const char* const kSpoilt[] = {"VA 900 O% h1\r\nshort\r\n", "VA 5 O% h1",
                                        "VA 5 O% h1\r\npri", "VA 200000 O% h1\r\nshort\r\n"};
  for (int k = 0; k < kServers; ++k)
    servers_.push_back(std::make_unique<PacedServer>([k](const ReceivedCommand& c) {
      if (k >= 2) return std::vector<Piece>{{0, value_answer(c, 100)}};
      std::string text = kSpoilt[c.number % 4];
      return std::vector<Piece>{{0, text.replace(text.find('%'), 1, id_of(c.line))}};
    }));
  start({});
  auto answers = read_all();
  EXPECT_EQ(served(answers), kRequests) << daemon_->log();
  for (const TimedAnswer& a : answers) EXPECT_LE(a.last_byte_ms, 2 * 80 + kAnswerSlackMs);
}

}  // namespace
}  // namespace violetusher::net::test
