// The request core with both sides on simulated sockets and virtual time, without an event loop.
#pragma once

#include <cstring>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/claims_memory.hpp"
#include "net/request_core.hpp"
#include "net_support.hpp"

namespace violetusher::net::test {

/// Sockets as byte queues, with the time set by the test.
class FakeIo final : public Io {
 public:
  // Endless input ends after this many reads, so that a broken build does not hang.
  static constexpr int kMaxEndlessReads = 20'000;
  struct End {
    std::string in, out;
    std::string endless_input;  ///< received again and again once `in` is empty
    int reads = 0;
    bool shut = false;     ///< the router has shut down its sending side
    bool blocked = false;  ///< takes no output
    std::size_t room = std::numeric_limits<std::size_t>::max();  ///< output it still takes
    std::size_t untaken = 0;  ///< output that the peer's system has not taken
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
    ++e.reads;
    if (e.in.empty()) e.in = e.reads <= kMaxEndlessReads ? e.endless_input : std::string();
    if (e.in.empty()) return e.ended ? 0 : kAgain;
    std::size_t count = std::min(size, e.in.size());
    std::memcpy(to, e.in.data(), count);
    e.in.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  ssize_t send(int socket, const iovec* parts, std::size_t count) override {
    End& e = ends[socket];
    if (e.blocked || e.room == 0) return kAgain;
    ssize_t put = 0;
    for (std::size_t k = 0; k < count; ++k) {
      std::size_t size = std::min(parts[k].iov_len, e.room);
      e.out.append(static_cast<const char*>(parts[k].iov_base), size);
      e.room -= size;
      put += static_cast<ssize_t>(size);
    }
    return put;
  }
  bool may_have_input(int socket) override {
    const End& e = ends[socket];
    return e.ended || !e.in.empty() || !e.endless_input.empty();
  }
  bool peer_ended(int socket) override { return ends[socket].ended; }
  std::size_t untaken(int socket) override { return ends[socket].untaken; }
  void shutdown_send(int socket) override { ends[socket].shut = true; }
  void close(int socket) override { ends[socket].open = false; }
  std::unique_ptr<Watch> watch(int socket, Watch::Target& target) override {
    ends[socket].target = &target;
    return std::make_unique<FakeWatch>(*this, socket);
  }
  std::unique_ptr<Alarm> alarm(std::function<void()>) override {
    return std::make_unique<FakeAlarm>();
  }
  std::unique_ptr<HttpGet> http(HttpGet::Done) override { return std::make_unique<FakeHttp>(); }
  void run_once(Wait) override {}

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

  explicit CoreFixture(RequestTable::Bounds bounds = {100, 1u << 20},
                       ClientSide::Limits client_limits = {}, std::size_t max_open = 2,
                       std::size_t server_buffer_bytes = 8u << 20)
      : core({io, config, pools, timers, feed, clients, servers, recorder, metrics, invariants, log,
              claims},
             bounds),
        clients(io, core, client_limits, &invariants),
        servers(io, core,
                {.table = {.max_open = max_open, .mean_idle = 2, .max_idle_time = 9 * kSecond},
                 .buffer_bytes = server_buffer_bytes},
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
  /// Whether the router has ended its side of the connection.
  bool ended(int socket) { return !io.ends[socket].open || io.ends[socket].shut; }
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
      if (auto* e = std::get_if<StreamBeginEvent>(&event)) core.on_event_delivered(e->id);
      if (auto* e = std::get_if<AnswerPauseEvent>(&event)) core.on_event_delivered(e->id);
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
  struct : LogSink {
    bool write(std::string_view line) override {
      lines.emplace_back(line);
      return true;
    }
    std::vector<std::string> lines;
  } log_sink;
  Log log{log_sink};
  ClaimsMemory claims_memory{""};
  core::RequestClaims claims{claims_memory.slots()};
  RequestCore core;
  ClientSide clients;
  ServerSide servers;
  std::vector<std::uint64_t> memory;
  core::flight::Ring ring;
  std::vector<std::string> alerts;
};

}  // namespace violetusher::net::test
