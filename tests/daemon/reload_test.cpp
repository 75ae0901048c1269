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
