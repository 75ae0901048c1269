// Routes, pools, limits and budgets of an operator file, on real sockets.
#include <sys/wait.h>

#include <fstream>

#include "net/operator_file.hpp"
#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

core::config::Model model_of(const std::string& text) {
  auto compiled =
      core::config::compile("f", "version 1;\n" + text, [](const std::string&, const std::string&) {
        return core::config::Loaded{"", "", "none"};
      });
  for (const auto& d : compiled.diagnostics.list()) ADD_FAILURE() << compiled.sources.show(d);
  return compiled.model;
}

std::string pool(const std::string& name, const LineServer& server, const std::string& more = "") {
  return "pool " + name + " { servers = [\"" + server.address() + "\"]; " + more + "}\n";
}

LineServer::Reply answer_with(const std::string& value) {
  return [value](const std::string& line, int) { return value_for(line, value); };
}

std::string ask(std::uint16_t port, const std::string& id, const std::string& key = "k1") {
  Client client(port);
  client.send(read_command(id, key));
  std::string line = client.line();
  return line.rfind("VA", 0) == 0 ? client.line() : line;
}

void operate(RunningRouter& router, const std::string& text) {
  auto model = model_of(text);
  router.post([&](Router& r) { r.apply_model(model); });
}

TEST(Operator, RoutesByPrefixAndClassToTheirPools) {
  LineServer a(answer_with("from-a")), b(answer_with("from-b")), listed(answer_with("listed"));
  RunningRouter router({.dials = {listed.address()}});
  operate(router, "class read { attempts = 2; }\n" + pool("pa", a) + pool("pb", b) +
                      "pool all { }\n" +
                      "route one { prefix = \"a:\"; pool = pa; }\nroute two { class = read; prefix "
                      "= \"b:\"; pool = pb; }\n"
                      "route rest { class = read; pool = all; }\n");
  EXPECT_EQ(ask(router.port(), "1", "b:x"), "from-b");
  EXPECT_EQ(ask(router.port(), "2", "z"), "listed");
  EXPECT_EQ(ask(router.port(), "3", "a:x"),
            "listed");  // the class takes precedence over the prefix
  EXPECT_EQ(a.lines().size(), 0u);
}

TEST(Operator, ARequestWithoutARouteIsRefusedAtOnce) {
  LineServer listed(good_cache);
  RunningRouter router({.dials = {listed.address()}});
  operate(router, "pool p { }\nroute r { prefix = \"a:\"; pool = p; }\n");
  EXPECT_EQ(ask(router.port(), "1", "z"), "SERVER_ERROR busy");
  EXPECT_EQ(listed.lines().size(), 0u);
  EXPECT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 0; }));
  EXPECT_EQ(ask(router.port(), "1", "a:z"), "price");  // the id can be used again
}

TEST(Operator, APoolIsSelectedFromTheHostList) {
  LineServer one(answer_with("one")), two(answer_with("two"));
  RunningRouter router({.dials = {one.address(), two.address()}});
  operate(router, "pool p { hosts = [\"*-1\"]; }\nroute r { pool = p; }\n");
  for (int k = 0; k < 10; ++k)
    EXPECT_EQ(ask(router.port(), std::to_string(k), "key" + std::to_string(k)), "two");
  EXPECT_EQ(one.lines().size(), 0u);
}

TEST(Operator, ARefusalByTheRateLimitGivesARetryTime) {
  LineServer listed(good_cache);
  RouterOptions options{.dials = {listed.address()}};
  options.retry_after = true;
  RunningRouter router(options);
  operate(router,
          "tenant acme { limit = slow; }\nlimit slow { rate = 1/s; burst = 3; }\npool p { }\nroute "
          "r { pool = p; }\n");
  int served = 0, refused = 0;
  for (int k = 0; k < 6; ++k) {
    std::string answer = ask(router.port(), std::to_string(k));
    served += answer == "price";
    if (answer.rfind("SERVER_ERROR busy ", 0) == 0) {
      ++refused;
      int ms = std::stoi(answer.substr(18));
      EXPECT_GT(ms, 0);
      EXPECT_LE(ms, 1000);
    }
  }
  EXPECT_GE(served, 3);
  EXPECT_EQ(served + refused, 6);
  EXPECT_EQ(listed.lines().size(), static_cast<std::size_t>(served));
}

TEST(Operator, TheInFlightLimitIsReleasedOnTimeoutAndDisconnect) {
  LineServer silent([](const std::string&, int) { return std::string(); });
  RunningRouter router({.dials = {silent.address()}});
  operate(router, "limit few { in_flight = 2; }\npool p { limit = few; }\nroute r { pool = p; }\n");
  {
    Client a(router.port()), b(router.port());
    a.send(read_command("a"));
    b.send(read_command("b", "k1", "200"));
    ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 2; }));
    EXPECT_EQ(ask(router.port(), "c"), "SERVER_ERROR busy");
    EXPECT_NE(b.line(), "");  // b times out; a disconnects
  }
  ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 0; }));
  Client c(router.port()), d(router.port());
  c.send(read_command("c"));
  d.send(read_command("d"));
  EXPECT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 2; }));
}

TEST(Operator, ABudgetOfZeroAllowsNoRetry) {
  auto fails = [](const std::string&, int) { return std::string("SERVER_ERROR busy\r\n"); };
  for (bool budget : {false, true}) {
    LineServer one(fails), two(fails);
    RunningRouter router({.dials = {one.address(), two.address()}});
    operate(router, "budget none { retries = 0%; }\npool p { " +
                        std::string(budget ? "budget = none; " : "") +
                        "}\nroute r { pool = p; }\n");
    std::string answer = ask(router.port(), "1");
    EXPECT_EQ(answer.rfind("SERVER_ERROR", 0), 0u);
    std::size_t attempts = one.lines().size() + two.lines().size();
    if (budget)
      EXPECT_EQ(attempts, 1u);
    else
      EXPECT_GT(attempts, 1u);
  }
}

TEST(Operator, FailsOverIfTheFirstPoolHasNoServers) {
  LineServer second(answer_with("second"));
  RunningRouter router({});
  operate(router, "pool first { halls = [nowhere]; }\n" + pool("other", second) +
                      "route r { pool = first; fallbacks = [other]; }\n");
  EXPECT_EQ(ask(router.port(), "1"), "second");
  // A keyed write may have run in the first pool, and servers of a static pool don't deduplicate
  // it.
  Client client(router.port());
  client.send("ms k 2 O2 Pc=put,t=acme,d=300,k=s1\r\nhi\r\n");
  EXPECT_EQ(client.line().rfind("SERVER_ERROR", 0), 0u);
  EXPECT_EQ(second.lines().size(), 1u);
}

/// Requests in progress finish in the pool that they started in; removed pools are freed.
TEST(Operator, FiftyReloadsUnderLoadLoseNoRequest) {
  std::atomic<bool> stop{false};
  std::atomic<int> asked{0}, served{0};
  auto slow = [](const std::string& line, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return value_for(line);
  };
  LineServer a(slow), b(slow);
  RunningRouter router({});
  auto version = [&](int k) {
    return pool("p" + std::to_string(k), k % 2 ? a : b) + "route r { pool = p" + std::to_string(k) +
           "; }\n";
  };
  operate(router, version(0));
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&, c] {
      Client client(router.port());
      for (int k = 0; !stop; ++k) {
        client.send(read_command("c" + std::to_string(c) + "-" + std::to_string(k),
                                 "key" + std::to_string(k % 50)));
        ++asked;
        if (client.line().rfind("VA", 0) == 0 && client.line() == "price") ++served;
      }
    });
  for (int k = 1; k <= 50; ++k) {
    operate(router, version(k));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  stop = true;
  for (auto& t : clients) t.join();
  EXPECT_GT(asked, 200);
  EXPECT_EQ(served, asked);
  EXPECT_GT(a.lines().size(), 20u);
  EXPECT_GT(b.lines().size(), 20u);
  // Only the pool of the full list and the one in use remain once no request is open.
  operate(router, version(50));
  EXPECT_TRUE(
      router.eventually([](Router& r) { return r.pools() == 2 && r.open_requests() == 0; }));
}

TEST(Operator, APoolEmptiedByDiscoveryIsRefilled) {
  LineServer cache(good_cache);
  std::atomic<int> seq{1};
  std::atomic<bool> there{false};
  LineServer discovery([&](const std::string& line, int) -> std::string {
    if (line.rfind("GET", 0) != 0) return "";
    std::string body = host_list(
        std::to_string(seq), there ? std::vector<std::string>{host_entry("s-9", cache.address())}
                                   : std::vector<std::string>{});
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
  });
  RouterOptions options;
  options.discovery = discovery.address();
  RunningRouter router(options);
  operate(router, "pool p { hosts = [\"s-*\"]; }\nroute r { pool = p; }\n");
  EXPECT_EQ(ask(router.port(), "1").rfind("SERVER_ERROR", 0), 0u);
  there = true;
  ++seq;
  Config config = router.config();
  router.post([&](Router& r) { r.reload(config); });  // requests the full list
  ASSERT_TRUE(router.eventually([](Router& r) { return r.server_pools() == 1; }));
  EXPECT_EQ(ask(router.port(), "2"), "price");
}

std::string listener(const std::string& name, std::uint16_t port) {
  return "listener " + name + " { address = \"" + loopback_text(port) + "\"; }\n";
}

/// A port without a listener at the moment.
std::uint16_t free_port() {
  return LineServer([](const std::string&, int) { return ""; }).port();
}

TEST(Operator, ListenersAreAddedAndRemovedWithTheFile) {
  LineServer a(answer_with("from-a")), b(answer_with("from-b"));
  RunningRouter router({});
  std::uint16_t port = free_port();
  auto text = [&](const std::string& extra) {
    return extra + pool("pa", a) + pool("pb", b) + "route rest { pool = pa; }\n" +
           (extra.empty() ? "" : "route side { listener = side; pool = pb; }\n");
  };
  auto serve = [&](const std::string& file) {
    auto model = model_of(file);
    std::string error;
    router.post([&](Router& r) {
      try {
        r.update_listeners(model);
        r.apply_model(model);
      } catch (const ConfigError& e) {
        error = e.what();
      }
    });
    return error;
  };
  ASSERT_EQ(serve(text(listener("side", port))), "");
  EXPECT_EQ(ask(router.port(), "1"), "from-a");
  EXPECT_EQ(ask(port, "2"), "from-b");
  Client kept(port);
  kept.send(read_command("3"));
  EXPECT_EQ(kept.line().rfind("VA", 0), 0u);
  EXPECT_EQ(kept.line(), "from-b");
  // A listener whose address is in use changes nothing.
  LineServer taken(good_cache);
  EXPECT_NE(serve(text(listener("side", taken.port()))).find("side"), std::string::npos);
  EXPECT_EQ(ask(port, "4"), "from-b");
  // A removed listener stops listening; its connections stay open and use the other routes.
  ASSERT_EQ(serve(text("")), "");
  EXPECT_FALSE(Client(port).connected());
  kept.send(read_command("5"));
  EXPECT_EQ(kept.line().rfind("VA", 0), 0u);
  EXPECT_EQ(kept.line(), "from-a");
  EXPECT_EQ(ask(router.port(), "6"), "from-a");
}

/// Two tenants each send ten times the pool's in-flight limit: both are served by their shares.
TEST(Operator, SharesHoldForTwoTenantsAtTenTimesTheLimit) {
  auto slow = [](const std::string& line, int) {
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    return value_for(line);
  };
  LineServer cache(slow);
  RunningRouter router({.more_tenants = {"bell"}});
  operate(router,
          "tenant acme { }\ntenant bell { }\nlimit l { in_flight = 8; }\npool p { servers = [\"" +
              cache.address() +
              "\"]; limit = l; shares { acme = 75%; bell = 25%; } }\nroute r { pool = p; }\n");
  std::atomic<int> served[2] = {}, refused[2] = {};
  auto run_client = [&](int tenant, int number) {
    Client client(router.port());
    std::string id = std::to_string(tenant) + "-" + std::to_string(number) + "-";
    for (int k = 0; k < 150; ++k) {
      client.send("mg key" + std::to_string(k % 20) + " v O" + id + std::to_string(k) +
                  " Pc=read,t=" + (tenant ? "bell" : "acme") + ",d=1500\r\n");
      if (client.line().rfind("VA", 0) == 0)
        ++served[tenant], client.line();
      else
        ++refused[tenant];
    }
  };
  std::vector<std::thread> clients;
  for (int k = 0; k < 40; ++k) clients.emplace_back(run_client, k % 2, k);
  for (auto& t : clients) t.join();
  for (int tenant : {0, 1}) {
    EXPECT_EQ(served[tenant] + refused[tenant], 20 * 150);
    EXPECT_GT(served[tenant], 0);
  }
  EXPECT_GT(refused[0] + refused[1], 0);
  EXPECT_GT(served[0], served[1]);
  EXPECT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 0; }));
}

/// A keyed write that may have run stays in the pool that it started in when its route is removed.
TEST(Operator, ARemovedRouteDoesNotMoveAKeyedWrite) {
  std::atomic<bool> answer{false};
  LineServer first([&](const std::string& line, int) -> std::string {
    while (!answer) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return "HD O" + id_of(line) + " c77\r\n";
  });
  LineServer second([](const std::string& line, int) { return "HD O" + id_of(line) + " c99\r\n"; });
  RunningRouter router({});
  operate(router, pool("pa", first) + pool("pb", second) +
                      "route r { pool = pb; }\nroute puts { prefix = \"k\"; pool = pa; }\n");
  Client client(router.port());
  client.send("ms k 2 O1 Pc=put,t=acme,d=1900,k=s1\r\nhi\r\n");
  ASSERT_TRUE(router.eventually([](Router& r) { return r.open_requests() == 1; }));
  operate(router, pool("pb", second) + "route r { pool = pb; }\n");
  answer = true;
  EXPECT_EQ(client.line(), "HD O1 c77");
  EXPECT_EQ(second.lines().size(), 0u);
}

int run(const std::vector<std::string>& arguments, const std::string& config = "") {
  pid_t child = ::fork();
  if (child == 0) {
    if (config.empty())
      ::unsetenv("NODE_CONFIG");
    else
      ::setenv("NODE_CONFIG", config.c_str(), 1);
    std::vector<char*> argv{const_cast<char*>(VIOLETUSHER_PROGRAM)};
    for (const auto& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    ::execv(VIOLETUSHER_PROGRAM, argv.data());
    ::_exit(127);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Program, CheckReportsErrorsByExitCode) {
  std::string base = ::testing::TempDir() + "/operator-" + std::to_string(::getpid());
  auto write = [&](const std::string& name, const std::string& text) {
    std::ofstream(base + name) << text;
    return base + name;
  };
  std::string config = write(".json", config_text({}));
  std::string good = write(
      "-good", "version 1;\nclass read { attempts = 2; }\npool p { }\nroute r { pool = p; }\n");
  EXPECT_EQ(run({"--check", "--operator", good}), 0);
  EXPECT_EQ(run({"--check", "--operator", good}, config), 0);
  EXPECT_EQ(run({"--check"}, config), 0);
  EXPECT_EQ(run({"--check"}), 2);
  EXPECT_EQ(run({"--check", "--operator", write("-bad", "version 1;\nroute r { pool = p; }\n")}),
            2);
  EXPECT_EQ(
      run({"--check", "--operator", write("-class", "version 1;\nclass other { attempts = 2; }\n")},
          config),
      2);
  std::string listeners = "version 1;\n";
  for (int k = 0; k < 8; ++k) listeners += listener("l" + std::to_string(k), 1000 + k);
  EXPECT_EQ(run({"--check", "--operator", write("-listeners", listeners)}), 0);
  EXPECT_EQ(run({"--check", "--operator", write("-many", listeners + listener("one", 2000))}), 2);
  EXPECT_EQ(run({"--check", "--operator", base + "-none"}), 2);
  EXPECT_EQ(run({"--check", "--operator", "/tmp"}), 2);
  EXPECT_EQ(run({"--operator"}), 2);
  EXPECT_EQ(run({"--nonsense"}), 2);
}

}  // namespace
}  // namespace violetusher::net::test
