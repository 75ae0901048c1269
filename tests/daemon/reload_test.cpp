// Reloads: a discovery service at a new address, and invalid configurations.
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "../net/net_support.hpp"

namespace violetusher::net::test {
namespace {

std::string http(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

/// Answers calls for the full list and holds all watches.
LineServer::Reply discovery_with(const std::string& list) {
  return [list](const std::string& line, int) {
    bool whole = line.rfind("GET /discovery/hosts HTTP", 0) == 0;
    return whole ? http(list) : std::string();
  };
}

TEST(Reload, TheListOfANewDiscoveryAddressIsUsed) {
  LineServer cache(good_cache);
  LineServer moved(discovery_with(host_list("7", {host_entry("s-new", cache.address())})));
  RunningRouter router({});  // without any servers
  Client client(router.port());
  client.send(read_command("a1"));
  EXPECT_EQ(client.line().rfind("SERVER_ERROR", 0), 0u);
  Config config = router.config();
  config.discovery = "nowhere";  // invalid: the old address stays in use
  router.post([&](Router& r) { r.reload(config); });
  config.discovery = moved.address();
  router.post([&](Router& r) { r.reload(config); });
  ASSERT_TRUE(router.eventually([](Router& r) { return r.server_pools() == 1; }));
  Client later(router.port());
  later.send(read_command("a2"));
  EXPECT_EQ(later.line(), "VA 5 Oa2");
}

/// A configuration file with these classes.
std::string with_classes(const std::vector<std::string>& classes) {
  std::string text = config_text({});
  std::size_t from = text.find("\"Classes\":["), to = text.find("],\"Tenants\"");
  std::string list;
  for (const std::string& one : classes) list += (list.empty() ? "" : ",") + one;
  return text.replace(from, to - from, "\"Classes\":[" + list);
}

std::string class_entry(const std::string& name, const std::string& effect,
                        const std::string& more = "") {
  return R"({"Name":")" + name + R"(","Effect":")" + effect +
         R"(","ObjectiveUs":1000,"DeadlineUs":9000)" + more + "}";
}

const std::string kKeyed = R"(,"Group":"all","KeyTtlUs":5000)";

/// Rereads `text` under a router that was started with `start`; the error, or an empty string.
std::string reload_error(const std::string& start, const std::string& text) {
  std::string path = ::testing::TempDir() + "/reload-" + std::to_string(::getpid()) + ".json";
  std::ofstream(path, std::ios::trunc) << text;
  ::setenv("NODE_CONFIG", path.c_str(), 1);
  std::string error;
  try {
    reload_config(parse_config(start), path);
  } catch (const ConfigError& e) {
    error = e.what();
  }
  ::unsetenv("NODE_CONFIG");
  std::remove(path.c_str());
  return error;
}

/// Guards against turning away settings that a start would take: the router goes on by the old
/// ones, and repeats requests of a class that may now run only once.
TEST(Reload, KeysThatMayBeAbsentAreNotRequired) {
  std::string lookup = class_entry("read", "repeatable"),
              put = class_entry("put", "by_key", kKeyed);
  std::string once = class_entry("put", "once"), count = class_entry("count", "repeatable");
  std::string stretched = class_entry("read", "repeatable", R"(,"AimStretch":1.5)");
  EXPECT_EQ(reload_error(with_classes({lookup, put}), with_classes({lookup, put})), "");
  EXPECT_EQ(reload_error(with_classes({lookup, put}), with_classes({lookup, once, count})), "");
  EXPECT_EQ(reload_error(with_classes({stretched}), with_classes({lookup})), "");
  EXPECT_EQ(reload_error(with_classes({stretched, put}), with_classes({stretched, once})), "");
}

/// DAYS: files that lack a key are broken.
TEST(Reload, AMissingKeyIsAnError) {
  std::string lookup = class_entry("read", "repeatable"),
              put = class_entry("put", "by_key", kKeyed);
  std::string no_time = class_entry("put", "by_key", R"(,"Group":"all")");
  EXPECT_NE(reload_error(with_classes({lookup, put}), with_classes({lookup, no_time})), "");
  EXPECT_NE(reload_error(with_classes({lookup}),
                         with_classes({R"({"Name":"read","Effect":"once","DeadlineUs":9})"})),
            "");
}

/// Guards against settings that the transition hides until its end, where they ended the process.
TEST(Reload, SettingsThatAreUnusableAfterTheTransitionAreRefused) {
  LineServer cache(good_cache);
  RunningRouter router({.dials = {cache.address()}, .once_class = true});
  Config config = router.config();
  config.settings.classes[2].effect = violetusher::Effect::Keyed;  // "pay", until now once
  config.settings.classes[2].key_ttl = -1;
  router.post([&](Router& r) { EXPECT_FALSE(r.reload(config)); });
}

/// The daemon process: SIGHUP with valid and invalid files, then SIGTERM.
TEST(Program, SurvivesInvalidReloadsAndEndsOnSigterm) {
  LineServer cache(good_cache);
  std::string folder = ::testing::TempDir();
  std::string path = folder + "/violetusher-" + std::to_string(::getpid()) + ".json";
  auto write = [&](const std::string& text) { std::ofstream(path, std::ios::trunc) << text; };
  std::string good = config_text({.dials = {cache.address()}});
  write(good);
  int log[2];
  ASSERT_EQ(::pipe(log), 0);
  pid_t child = ::fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    ::dup2(log[1], 2);
    ::setenv("NODE_CONFIG", path.c_str(), 1);
    for (const char* name : {"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"}) ::unsetenv(name);
    ::execl(VIOLETUSHER_PROGRAM, VIOLETUSHER_PROGRAM, nullptr);
    ::_exit(127);
  }
  ::close(log[1]);
  std::string said;
  auto wait_for = [&](const std::string& what) {
    while (said.find(what) == said.npos) {
      char bytes[512];
      ssize_t got = ::read(log[0], bytes, sizeof bytes);
      if (got <= 0) return false;  // the process has ended
      said.append(bytes, static_cast<std::size_t>(got));
    }
    return true;
  };
  ASSERT_TRUE(wait_for("listens on 127.0.0.1:") && wait_for("\n")) << said;
  auto port = static_cast<std::uint16_t>(
      std::atoi(said.c_str() + said.find("127.0.0.1:") + std::string("127.0.0.1:").size()));
  for (const std::string& text : {std::string("{"), std::string("[]"), good}) {
    said.clear();
    ::kill(child, SIGUSR1);  // has no function
    write(text);
    ::kill(child, SIGHUP);
    EXPECT_TRUE(wait_for("reload: ")) << text;
    Client client(port);
    client.send(read_command("a1"));
    EXPECT_EQ(client.line(), "VA 5 Oa1") << text;
  }
  ::kill(child, SIGTERM);
  int status = -1;
  ::waitpid(child, &status, 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  ::close(log[0]);
  std::remove(path.c_str());
}

}  // namespace
}  // namespace violetusher::net::test
