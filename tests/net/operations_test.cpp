// Operators' commands to a running router: metrics, bans, settings updates, process replacement.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "net/host_registry.hpp"
#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string pattern = ::testing::TempDir() + "/ops-XXXXXX";
    path = ::mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string path;
};

RouterOptions with_operator(std::vector<std::string> dials) {
  RouterOptions o;
  o.dials = std::move(dials);
  o.operator_listen = "127.0.0.1:0";
  return o;
}

std::uint16_t operator_port(RunningRouter& router) {
  std::uint16_t port = 0;
  router.post([&](Router& r) { port = r.operator_port(); });
  return port;
}

/// The complete answer to one command.
std::string call(RunningRouter& router, const std::string& line) {
  Client caller(operator_port(router));
  caller.send(line + "\r\n");
  return caller.read_all();
}

nlohmann::json figures(RunningRouter& router) {
  std::string text = call(router, "DUMP");
  std::size_t end = text.find("\r\n");
  EXPECT_EQ(text.substr(end), "\r\nEOT\r\n");
  return nlohmann::json::parse(text.substr(0, end));
}

/// Waits until `holds` returns true; called outside of the router's loop.
bool until(const std::function<bool()>& holds) {
  for (int k = 0; k < kTestTimeoutMs / 20; ++k) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

/// Sends `count` reads of different keys, and expects an answer to each.
void read_many(RunningRouter& router, const std::string& name, int count) {
  Client client(router.port());
  for (int k = 0; k < count; ++k) {
    std::string id = name + std::to_string(k);
    client.send(read_command(id, "k" + std::to_string(k)));
    ASSERT_EQ(client.line(), "VA 5 O" + id);
    client.line();
  }
}

TEST(Operations, CommandsAreAnsweredDespiteSilentConnections) {
  LineServer cache(good_cache);
  RunningRouter router(with_operator({cache.address()}));
  std::vector<std::unique_ptr<Client>> silent;  // more than the limit
  for (int k = 0; k < 40; ++k) {
    silent.push_back(std::make_unique<Client>(operator_port(router)));
    if (k % 2) silent.back()->send("HEAL");
  }
  EXPECT_EQ(call(router, "HEALTH"), "SUCCESS\r\n");
  for (const char* wrong : {"", "DANCE", "OFFLINE", "OFFLINE s-9", "ONLINE s-9", "HEALTH s-0"})
    EXPECT_EQ(call(router, wrong).rfind("FAILURE", 0), 0u) << wrong;
  EXPECT_EQ(call(router, std::string(5000, 'x')).rfind("FAILURE", 0), 0u);
  for (auto& one : silent) EXPECT_EQ(one->read_all().find("(open)"), std::string::npos);
  Client half(operator_port(router));
  half.send("HEALTH");
  half.end_sending();
  EXPECT_EQ(half.read_all().rfind("FAILURE", 0), 0u);
}

TEST(Operations, MetricsMatchWhatClientsAndServersSaw) {
  std::atomic<int> lines{0};
  LineServer cache([&](const std::string& line, int) {
    ++lines;
    if (id_of(line).rfind("stay", 0) == 0) return std::string();
    return id_of(line).rfind("busy", 0) == 0 ? std::string("SERVER_ERROR busy\r\n")
                                             : value_for(line);
  });
  RunningRouter router(with_operator({cache.address()}));
  read_many(router, "a", 20);
  Client client(router.port());
  client.send(read_command("busy1", "k1"));
  EXPECT_EQ(client.line().rfind("SERVER_ERROR busy", 0), 0u);
  client.send("mg k v Ox Pc=unheard,t=acme,d=100\r\n");
  EXPECT_EQ(client.line().rfind("CLIENT_ERROR", 0), 0u);
  Client waits(router.port());
  waits.send(read_command("stay1", "k2"));
  ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 1; }));
  auto now = figures(router);
  EXPECT_EQ(now["success"]["read"], 20);
  EXPECT_EQ(now["overload"]["read"], 1);
  EXPECT_EQ(now["error"], (nlohmann::json{{"put", 0}, {"read", 0}}));
  EXPECT_EQ(now["concurrent"], 1);
  EXPECT_EQ(now["targets"], 1);
  ASSERT_TRUE(until([&] { return figures(router)["dispatches"] == lines.load(); }));
}

TEST(Operations, ABannedServerGetsNoRequestsUntilTheBanIsLifted) {
  LineServer first(good_cache), second(good_cache);
  RunningRouter router(with_operator({first.address(), second.address()}));
  read_many(router, "a", 60);
  ASSERT_GT(first.lines().size(), 0u);
  EXPECT_EQ(call(router, "OFFLINE s-0"), "SUCCESS\r\n");
  std::size_t before = first.lines().size();
  EXPECT_EQ(call(router, "OFFLINE s-0"), "SUCCESS\r\n");  // repeating it is allowed
  EXPECT_EQ(figures(router)["targets_disabled"], 1);
  read_many(router, "b", 100);
  EXPECT_EQ(first.lines().size(), before);
  EXPECT_EQ(call(router, "ONLINE s-0"), "SUCCESS\r\n");  // lifts both
  EXPECT_EQ(figures(router)["targets_disabled"], 0);
  read_many(router, "c", 100);
  EXPECT_GT(first.lines().size(), before);
}

Host host(const std::string& id, violetusher::Health health, Micros born = 0) {
  Host h;
  h.server.id = id;
  h.server.health = health;
  h.server.up_since = born;
  h.dial = "127.0.0.1:1";
  return h;
}

TEST(HostRegistry, ABanIsIndependentOfDiscovery) {
  using violetusher::Health;
  HostRegistry registry({"1", true, {host("a", Health::Ready), host("b", Health::Ready)}});
  EXPECT_EQ(registry.set_banned("a", true).hosts.at(0).server.health, Health::Draining);
  EXPECT_TRUE(registry.set_banned("a", true).hosts.empty());
  auto restarted = registry.apply({"2", false, {host("a", Health::Ready, 5)}});
  EXPECT_EQ(restarted.hosts[0].server.health, Health::Draining);
  auto left = registry.apply({"3", false, {host("a", Health::Removed)}});
  EXPECT_EQ(left.hosts[0].server.health, Health::Removed);
  EXPECT_TRUE(registry.known("a"));  // its ban can still be lifted
  EXPECT_EQ(registry.size(), 1u);
  auto again = registry.apply({"4", true, {host("a", Health::Ready, 9), host("b", Health::Ready)}});
  EXPECT_EQ(again.hosts[0].server.health, Health::Draining);
  EXPECT_EQ(again.hosts[1].server.health, Health::Ready);
  HostList back = registry.set_banned("a", false);
  ASSERT_EQ(back.hosts.size(), 1u);
  EXPECT_FALSE(back.whole);
  EXPECT_EQ(back.hosts[0].server.health, Health::Ready);
  EXPECT_EQ(back.hosts[0].server.up_since, 9);  // in slow start since its restart
}

TEST(Operations, BansHoldAcrossAProcessReplacement) {
  TemporaryDirectory directory;
  LineServer first(good_cache), second(good_cache);
  RouterOptions options = with_operator({first.address(), second.address()});
  options.state_directory = directory.path;
  auto old = std::make_unique<RunningRouter>(options);
  EXPECT_EQ(call(*old, "OFFLINE s-0"), "SUCCESS\r\n");
  RunningRouter fresh(options);
  EXPECT_EQ(figures(fresh)["targets_disabled"], 1);
  // While both run, commands may go to either.
  EXPECT_EQ(call(*old, "ONLINE s-0"), "SUCCESS\r\n");
  ASSERT_TRUE(until([&] { return figures(fresh)["targets_disabled"] == 0; }));
  EXPECT_EQ(call(fresh, "OFFLINE s-1"), "SUCCESS\r\n");
  ASSERT_TRUE(until([&] { return figures(*old)["targets_disabled"] == 1; }));
  old.reset();
  read_many(fresh, "a", 60);
  EXPECT_EQ(second.lines().size(), 0u);
}

TEST(Replacement, NoRequestIsLostOnASharedListener) {
  LineServer cache(good_cache);
  EventBasePtr base(event_base_new());
  SystemIo io(base.get());
  std::string error;
  Socket listener = io.listen(loopback(0), error);
  ASSERT_TRUE(listener) << error;
  std::uint16_t port = io.port(listener.number());
  RouterOptions options = with_operator({cache.address()});
  auto start = [&] {
    options.accept_fd = ::dup(listener.number());
    return std::make_unique<RunningRouter>(options);
  };
  auto old = start();
  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, lost{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&, c] {
      for (int k = 0; !stop; ++k) {  // a new connection for each, as some clients do
        Client client(port);
        std::string id = std::to_string(c) + "-" + std::to_string(k);
        client.send(read_command(id));
        client.line() == "VA 5 O" + id ? ++served : ++lost;
      }
    });
  for (int k = 0; k < 3; ++k) {
    auto fresh = start();
    int before = served;
    ASSERT_TRUE(until([&] { return served > before + 50; }));
    old = std::move(fresh);  // destroys the old one
  }
  stop = true;
  for (auto& client : clients) client.join();
  EXPECT_EQ(lost, 0);
  EXPECT_GT(served, 150);
}

TEST(Replacement, ADescriptorThatIsNotListeningIsRejected) {
  EventBasePtr base(event_base_new());
  SystemIo io(base.get());
  std::string error;
  EXPECT_FALSE(io.adopt(987, error));
  EXPECT_FALSE(error.empty());
  Fd plain(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  EXPECT_FALSE(io.adopt(plain.get(), error));
  EXPECT_EQ(error, "not a listening socket");
}

TEST(SettingsUpdate, AddsAndRemovesClassesAndKeepsOpenRequests) {
  std::atomic<bool> hold{true};
  LineServer cache([&](const std::string& line, int) {
    while (hold && id_of(line) == "open") std::this_thread::yield();
    return value_for(line);
  });
  RunningRouter router(with_operator({cache.address()}));
  Client client(router.port());
  client.send(read_command("open"));
  ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 1; }));
  Config config = router.config();
  config.settings.classes[0].name = "read-v2";
  router.post([&](Router& r) { EXPECT_TRUE(r.reload(config)); });
  hold = false;
  EXPECT_EQ(client.line(), "VA 5 Oopen");
  EXPECT_EQ(client.line(), "price");
  for (const char* type : {"read", "read-v2"}) {  // both are valid during the transition
    client.send("mg k v O" + std::string(type) + " Pc=" + type + ",t=acme,d=1500\r\n");
    EXPECT_EQ(client.line(), "VA 5 O" + std::string(type));
    client.line();
  }
  ASSERT_TRUE(router.eventually([](Router& r) { return r.config().settings.classes.size() == 2; }));
  client.send("mg k v Olast Pc=read,t=acme,d=1500\r\n");
  EXPECT_EQ(client.line().rfind("CLIENT_ERROR", 0), 0u);
  EXPECT_EQ(figures(router)["success"], (nlohmann::json{{"put", 0}, {"read", 2}, {"read-v2", 1}}));
}

TEST(SettingsUpdate, InvalidFilesAreRejected) {
  TemporaryDirectory directory;
  std::string path = directory.path + "/config.json";
  std::string good = config_text({.dials = {"127.0.0.1:9"}});
  auto write = [&](const std::string& text) { std::ofstream(path, std::ios::trunc) << text; };
  ::setenv("NODE_CONFIG", path.c_str(), 1);
  Config now = parse_config(good);
  write(good);
  EXPECT_NO_THROW(reload_config(now));
  nlohmann::json whole = nlohmann::json::parse(good);
  int broken = 0;
  auto expect_broken = [&](const std::string& text) {
    write(text);
    EXPECT_THROW(reload_config(now), ConfigError) << text;
    ++broken;
  };
  for (std::size_t cut = 0; cut < good.size(); cut += 7) expect_broken(good.substr(0, cut));
  // With any one key removed, at any depth.
  auto each_key = [&](auto& self, nlohmann::json& at) -> void {
    if (at.is_array() && !at.empty() && at.front().is_object())
      for (auto& item : at) self(self, item);
    if (!at.is_object()) return;
    nlohmann::json copy = at;
    for (const auto& [key, value] : copy.items()) {
      at.erase(key);
      expect_broken(whole.dump());
      at = copy;
      if (key != "known" && key != "limits") self(self, at[key]);
    }
  };
  each_key(each_key, whole);
  for (const char* path_to : {"/settings/Classes/0/DeadlineUs", "/settings/Classes/1/DeadlineUs",
                              "/settings/Limits/MaxAttempts"})
    for (int value : {0, -5}) {
      nlohmann::json bad = nlohmann::json::parse(good);
      bad[nlohmann::json::json_pointer(path_to)] = value;
      expect_broken(bad.dump());
    }
  EXPECT_GT(broken, 100);
  ::unsetenv("NODE_CONFIG");
}

}  // namespace
}  // namespace violetusher::net::test
