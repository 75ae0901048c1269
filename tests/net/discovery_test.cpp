// A discovery service that stops answering or sends invalid answers, against the real router.
#include "net/discovery.hpp"

#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

std::string http(const std::string& body, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

const std::string kSilence;

/// Answers the n-th call with the n-th text, and all later calls with the last one.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(std::vector<std::string> answers)
      : answers_(std::move(answers)), server_([this](const std::string& line, int) {
          if (line.rfind("GET ", 0) != 0) return kSilence;
          std::size_t call = calls_++;
          return answers_[std::min(call, answers_.size() - 1)];
        }) {}
  std::string address() const { return server_.address(); }
  std::size_t calls() const { return calls_; }
  /// Waits for so many calls; false if they don't arrive within `ms`.
  bool reaches(std::size_t calls, int ms) const {
    for (int k = 0; k < ms && calls_ < calls; ++k)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return calls_ >= calls;
  }

 private:
  std::vector<std::string> answers_;
  std::atomic<std::size_t> calls_{0};
  LineServer server_;
};

/// A watch stops answering while a cache server starts to drain and stays up, so that only
/// discovery reports it. The router must learn of it within 6 s of the watch's failure.
TEST(Membership, ADrainingServerIsNoticedAlthoughTheWatchStopsAnswering) {
  LineServer leaving(good_cache), staying(good_cache);
  std::vector<std::string> now = {host_entry("s-0", leaving.address(), "leaving"),
                                  host_entry("s-1", staying.address())};
  ScriptedDiscovery discovery(
      {http(host_list("1", {}, false)), kSilence, http(host_list("2", now))});
  RunningRouter router(
      {.dials = {leaving.address(), staying.address()}, .discovery = discovery.address()});
  Client client(router.port());
  auto ask = [&](const std::string& id) {
    client.send(read_command(id, "k" + id));
    EXPECT_EQ(client.line(), "VA 5 O" + id);
    EXPECT_EQ(client.line(), "price");
  };
  for (int k = 0; k < 50; ++k) ask("a" + std::to_string(k));
  EXPECT_FALSE(leaving.lines().empty());
  ASSERT_TRUE(discovery.reaches(3, 6000));
  ASSERT_TRUE(router.eventually([](Router& r) { return r.list_version() == "2"; }));
  std::size_t before = leaving.lines().size();
  for (int k = 0; k < 50; ++k) ask("b" + std::to_string(k));
  EXPECT_EQ(leaving.lines().size(), before);
}

/// The same for a router that asks discovery explicitly: a second watch is started before the
/// silent one times out, and no failure is reported. Times are a fortieth of those in production.
TEST(Membership, ASecondWatchIsStartedBesideASilentOne) {
  struct RecordingHandler : Discovery::Handler {
    void on_hosts(HostList&& list, bool) override { version = list.version; }
    std::string version;
  } handler;
  core::membership::WatchTiming timing =
      core::membership::polled_timing(/*routers=*/5, 10 * kSecond);
  for (Micros* t : {&timing.wait, &timing.min_renewal_age, &timing.max_renewal_age,
                    &timing.immediate_response_timeout, &timing.response_timeout})
    *t /= 40;
  ScriptedDiscovery discovery(
      {http(host_list("1", {}, false)), kSilence,
       http(host_list("2", {host_entry("s-0", "127.0.0.1:9", "leaving")}, false)), kSilence});
  EventBasePtr base(event_base_new());
  SystemIo io(base.get());
  DescriptorSink sink;
  Log log(sink);
  Discovery asked(io, discovery.address(), "1", timing, 1, handler, log);
  asked.start();
  auto silent = io.alarm([] {});
  for (int k = 0; k < 3000 && handler.version != "2"; ++k) {
    silent->set(kMillisecond);  // keeps run_once() from blocking when no call is due
    io.run_once();
  }
  EXPECT_EQ(handler.version, "2");
  EXPECT_LT(asked.age(), 10 * kSecond);
}

/// Invalid and outdated answers must not restore a draining cache server, nor end the watch.
TEST(Membership, InvalidAnswersDontRestoreADrainingServer) {
  LineServer leaving(good_cache), staying(good_cache), fresh(good_cache);
  std::string out = host_entry("s-0", leaving.address(), "leaving");
  std::string back = host_entry("s-0", leaving.address());
  std::string stays = host_entry("s-1", staying.address());
  std::string whole = host_list("9", {out, stays});
  std::vector<std::string> answers = {
      http(host_list("5", {out, stays})),
      http("no list"),
      http(whole.substr(0, whole.size() / 2)),
      "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,",
      "no HTTP at all\r\n\r\n",
      http("", "503 Service Unavailable"),
      http(host_list("3", {back, stays})),       // older than the list in use
      http(host_list("3", {back}, false)),       // the same as a delta
      http(host_list("8", {back, stays, out})),  // listed twice
      http(host_list("8", {host_entry("s-0", "x", "active"), stays})),  // invalid address
      http(host_list("8", {host_entry("s-0", leaving.address(), "well"), stays})),
      http(host_list("8", {"5", stays, out})),
      kSilence,
      http(host_list("9", {out, stays, host_entry("s-2", fresh.address()),
                           host_entry("s-7", fresh.address(), "left")}))};
  ScriptedDiscovery discovery(answers);
  RunningRouter router(
      {.dials = {leaving.address(), staying.address()}, .discovery = discovery.address()});
  ASSERT_TRUE(router.eventually([](Router& r) { return r.list_version() != "1"; }));
  std::size_t before = leaving.lines().size();
  Client client(router.port());
  int asked = 0;
  auto ask = [&] {
    std::string id = "a" + std::to_string(asked++);
    client.send(read_command(id, "k" + id));
    EXPECT_EQ(client.line(), "VA 5 O" + id);
    EXPECT_EQ(client.line(), "price");
  };
  while (discovery.calls() < answers.size() && asked < 20'000) ask();
  ASSERT_TRUE(router.eventually([](Router& r) { return r.list_version() == "9"; }));
  for (int k = 0; k < 100; ++k) ask();
  EXPECT_EQ(leaving.lines().size(), before);
  EXPECT_FALSE(fresh.lines().empty());
}

/// A large deployment: 350 routers and 1,024 cache servers, with a list that discovery then
/// replaces completely. Every server must be used, within the descriptor limit of the router.
TEST(Size, AThousandServersAreAllUsedWithinTheDescriptorLimit) {
  constexpr std::size_t kCaches = 1024, kAddresses = 8;
  std::vector<std::unique_ptr<LineServer>> caches;
  for (std::size_t k = 0; k < kAddresses; ++k)
    caches.push_back(std::make_unique<LineServer>(good_cache));
  RouterOptions options{.sockets = 1024, .memory_mb = 192, .routers = 350};
  std::vector<std::string> entries;
  for (std::size_t k = 0; k < kCaches; ++k) {
    options.dials.push_back(caches[k % kAddresses]->address());
    entries.push_back(
        host_entry("s-" + std::to_string(k), options.dials.back(), k % 2 ? "active" : "leaving"));
  }
  ScriptedDiscovery discovery({http(host_list("2", entries))});
  options.discovery = discovery.address();
  RunningRouter router(options);
  ASSERT_TRUE(router.eventually([](Router& r) { return r.list_version() == "2"; }));
  for (auto& cache : caches) cache->forget();
  Client client(router.port());
  std::size_t most = 0;
  for (int k = 0; k < 3000; ++k) {
    std::string id = "a" + std::to_string(k);
    client.send(read_command(id, "key-" + std::to_string(k)));
    ASSERT_EQ(client.line(), "VA 5 O" + id);
    client.line();
    if (k % 100 == 0)
      router.post([&](Router& r) { most = std::max(most, r.server_connections()); });
  }
  EXPECT_LE(most, 334u);
  router.post([](Router& r) { EXPECT_EQ(r.server_pools(), 1024u); });
  for (std::size_t k = 0; k < kAddresses; ++k)  // those with even numbers drain
    EXPECT_EQ(caches[k]->lines().empty(), k % 2 == 0) << k;
}

/// JSON with indentation is valid.
TEST(Membership, AListMayBeIndented) {
  HostList list = parse_host_list(
      "{\n  \"seq\": 4,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"s-0\",\n"
      "      \"dial\": \"127.0.0.1:9\",\n      \"health\": \"leaving\"\n    }\n  ]\n}\n");
  EXPECT_EQ(list.version, "4");
  ASSERT_EQ(list.hosts.size(), 1u);
  EXPECT_EQ(list.hosts[0].server.health, violetusher::Health::Draining);
  EXPECT_EQ(list.fault, "");
}

/// A discovery service restored from a backup restarts its sequence numbers. Until such a list is
/// confirmed, draining servers stay draining unless they have restarted.
TEST(HostRegistry, AnUnconfirmedListRestoresNoServer) {
  auto list = [](const std::string& seq, std::vector<std::string> entries) {
    return parse_host_list(host_list(seq, entries));
  };
  std::string a = host_entry("s-a", "127.0.0.1:1"), b = host_entry("s-b", "127.0.0.1:2"),
              c = host_entry("s-c", "127.0.0.1:3");
  HostRegistry registry(list("8", {a, host_entry("s-b", "127.0.0.1:2", "leaving"), c}));
  registry.apply(list("9", {a, host_entry("s-b", "127.0.0.1:2", "leaving")}));  // s-c is removed
  auto health = [&](const char* id) {
    auto found = violetusher::Health::Removed;
    registry.each([&](const Host& h) {
      if (h.server.id == id) found = h.server.health;
    });
    return found;
  };
  registry.apply(list("2", {a, b, c}), /*unconfirmed=*/true);
  EXPECT_EQ(health("s-a"), violetusher::Health::Ready);
  EXPECT_EQ(health("s-b"), violetusher::Health::Draining);
  EXPECT_EQ(health("s-c"), violetusher::Health::Draining);
  std::string again = b;
  again.replace(again.find("\"born_ms\":0"), 11, "\"born_ms\":5");
  registry.apply(list("2", {a, again, c}), true);
  EXPECT_EQ(health("s-b"), violetusher::Health::Ready);
  registry.apply(list("2", {a, b, c}));
  EXPECT_EQ(health("s-c"), violetusher::Health::Ready);
}

}  // namespace
}  // namespace violetusher::net::test
