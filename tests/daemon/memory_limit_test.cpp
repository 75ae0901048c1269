// A daemon process at a small limit on memory: whatever its clients and cache servers do at the
// same time, it holds less than the limit for itself.
#include "paced_server.hpp"
#include "process_support.hpp"

namespace violetusher::net::test {
namespace {

// The sanitizer keeps freed memory and adds shadow memory, which no limit is meant for.
#if !defined(__SANITIZE_ADDRESS__)

constexpr int kClients = 100, kCommandsAtOnce = 30, kLoadMs = 3000;
constexpr std::size_t kLargestValue = 64u << 10;
constexpr int kWarmUpWrites = 64;
// The largest value takes about 0.4 s.
constexpr PacedServer::Reading kSlowReading{.receive_buffer = 4096, .gap_ms = 12};

std::vector<Piece> answer_whole(const ReceivedCommand& c) {
  if (!c.is_write()) return {{0, value_for(c.line, std::string(kLargestValue, 'v'))}};
  return {{0, "HD O" + id_of(c.line) + " cR\r\n"}};
}

std::vector<Piece> answer_warm_up_alone(const ReceivedCommand& c) {
  return id_of(c.line).rfind("warm", 0) == 0 ? answer_whole(c) : std::vector<Piece>();
}

/// A listener whose backlog is full: dials to it never come up.
class AbsentServer {
 public:
  AbsentServer() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in a = loopback(0);
    ::bind(listener_.get(), reinterpret_cast<sockaddr*>(&a), sizeof a);
    ::listen(listener_.get(), 0);
    socklen_t size = sizeof a;
    ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&a), &size);
    port_ = ntohs(a.sin_port);
    for (int k = 0; k < 4; ++k) {
      waiting_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      ::connect(waiting_.back().get(), reinterpret_cast<sockaddr*>(&a), sizeof a);
    }
  }
  std::string address() const { return loopback_text(port_); }

 private:
  Fd listener_;
  std::vector<Fd> waiting_;
  std::uint16_t port_ = 0;
};

/// What a client does with its connection.
struct Load {
  bool writes = true;
  bool reads_answers = true;
  bool whole_commands = true;  ///< else the last one stops half way
  std::size_t value = kLargestValue;
};

/// The commands of one connection.
std::string commands_of(const Load& load, const std::string& name) {
  std::string text;
  for (int k = 0; k < kCommandsAtOnce; ++k) {
    std::string id = name + "-" + std::to_string(k);
    text += load.writes ? write_command("put", id, "1000", std::string(load.value, 'v'))
                        : read_command(id, "key-" + id, "1000");
  }
  if (!load.whole_commands) text.resize(text.size() - load.value / 2);
  return text;
}

class MemoryLimit : public ::testing::TestWithParam<int> {
 protected:
  void serve(const PacedServer::Answer& answer, PacedServer::Reading reading, int count) {
    for (int k = 0; k < count; ++k)
      servers_.push_back(std::make_unique<PacedServer>(answer, reading));
  }
  void start(std::vector<std::string> more_dials = {}) {
    options_.memory_mb = GetParam();
    options_.dials = std::move(more_dials);
    for (const auto& server : servers_) options_.dials.push_back(server->address());
    operator_port_ = free_port();
    options_.operator_listen = loopback_text(operator_port_);
    folder_.write("config.json", config_text(options_));
    daemon_ = std::make_unique<Daemon>(folder_);
    port_ = daemon_->port();
    ASSERT_NE(port_, 0) << daemon_->log();
    warm_up();
  }
  /// Short answers, after which the router expects more of them and takes more commands at once.
  void warm_up() {
    std::vector<std::string> commands;
    for (int k = 0; k < kWarmUpWrites; ++k)
      commands.push_back(write_command("put", "warm-" + std::to_string(k), "1000"));
    auto answers = ask_all(port_, commands);
    auto served = std::count_if(answers.begin(), answers.end(),
                                [](const TimedAnswer& a) { return a.served(); });
    ASSERT_GE(served, kWarmUpWrites / 8) << daemon_->log();
  }
  /// What the process holds for itself now, without files, bytes.
  std::size_t resident_bytes() const {
    std::ifstream in("/proc/" + std::to_string(daemon_->pid()) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.rfind("RssAnon:", 0) == 0)
        return std::strtoull(line.c_str() + 8, nullptr, 10) * 1024;
    return 0;
  }
  std::string metrics() const {
    Client caller(operator_port_);
    caller.send("DUMP\r\n");
    return caller.line();
  }
  /// Clients send all their commands at once, and again on a new connection once these are answered
  /// or their time is over.
  void play(const Load& load) {
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c)
      clients.emplace_back([&, c] {
        for (int round = 0; !stop; ++round) {
          std::string name = "c" + std::to_string(c) + "-" + std::to_string(round);
          Client client(port_);
          timeval pause{1, 500'000};
          ::setsockopt(client.fd(), SOL_SOCKET, SO_SNDTIMEO, &pause, sizeof pause);
          ::setsockopt(client.fd(), SOL_SOCKET, SO_RCVTIMEO, &pause, sizeof pause);
          client.send(commands_of(load, name));
          if (!load.reads_answers) sleep_ms(1500);
          for (int k = 0; load.reads_answers && k < kCommandsAtOnce && !stop; ++k) {
            std::string line = client.line();
            if (line.empty()) break;
            if (line.rfind("VA ", 0) == 0) client.bytes(kLargestValue + 2);
          }
        }
      });
    std::size_t peak = 0;
    std::string metrics_at_peak;
    for (int waited = 0; waited < kLoadMs; waited += 20, sleep_ms(20)) {
      std::size_t now = resident_bytes();
      if (now > peak + peak / 16) metrics_at_peak = metrics();
      peak = std::max(peak, now);
    }
    std::string last = metrics();
    stop = true;
    for (std::thread& client : clients) client.join();
    std::size_t limit = static_cast<std::size_t>(GetParam()) << 20;
    EXPECT_GT(peak, 0u);
    EXPECT_LT(peak, limit) << "near the peak: " << metrics_at_peak << "\nlast: " << last;
    RecordProperty("peak_kib", std::to_string(peak >> 10));
    std::printf("peak %zu of %zu KiB\n", peak >> 10, limit >> 10);
  }

  RouterOptions options_{.sockets = 512,
                         .deadline_us = "1000000",
                         .objective_us = "250000",
                         .streams = 32,
                         .routers = 1};
  TemporaryDirectory folder_;
  std::vector<std::unique_ptr<PacedServer>> servers_;
  std::unique_ptr<Daemon> daemon_;
  std::uint16_t port_ = 0, operator_port_ = 0;
};

/// Guards against writes that wait for slow servers, each with a copy for every attempt.
TEST_P(MemoryLimit, HoldsForWritesThatServersReadSlowly) {
  serve(answer_whole, kSlowReading, 5);
  start();
  play({});
}

/// Guards against holes between buffers that are too small for mappings of their own.
TEST_P(MemoryLimit, HoldsForWritesOfMiddleSizeThatServersReadSlowly) {
  serve(answer_whole, kSlowReading, 5);
  start();
  play({.value = 24u << 10});
}

TEST_P(MemoryLimit, HoldsForWritesToServersThatSayNothing) {
  serve(answer_warm_up_alone, {}, 5);
  start();
  play({});
}

TEST_P(MemoryLimit, HoldsForWritesToServersThatAreAbsent) {
  options_.dial_timeout_us = "900000";
  serve(answer_warm_up_alone, {}, 1);
  std::vector<AbsentServer> absent(4);
  std::vector<std::string> dials;
  for (const AbsentServer& server : absent) dials.push_back(server.address());
  start(dials);
  play({});
}

TEST_P(MemoryLimit, HoldsForClientsThatReadNothing) {
  serve(answer_whole, {}, 5);
  start();
  play({.writes = false, .reads_answers = false});
}

TEST_P(MemoryLimit, HoldsForWritersThatStopHalfWay) {
  serve(answer_whole, kSlowReading, 5);
  start();
  play({.reads_answers = false, .whole_commands = false});
}

/// Guards against long answers that are held for slow servers and for slow clients at once.
TEST_P(MemoryLimit, HoldsForAnswersThatServersWriteSlowly) {
  auto slowly = [](const ReceivedCommand& c) {
    if (c.is_write()) return answer_whole(c);
    return in_pieces(value_for(c.line, std::string(kLargestValue, 'v')), 8192, 60);
  };
  serve(slowly, {}, 5);
  start();
  play({.writes = false});
}

INSTANTIATE_TEST_SUITE_P(Megabytes, MemoryLimit, ::testing::Values(32, 64));

#endif

}  // namespace
}  // namespace violetusher::net::test
