// A planned restart while a few bad clients send hundreds of commands at once, again and again.
// Every request that the router has taken must get its final answer.
#include "common/standin.hpp"

using namespace review;

namespace {

constexpr int kServers = 10, kTills = 12, kWorkMs = 30;
// Classes: 600 ms and 1 s. The platform kills no sooner than the longest deadline and 0.7 s after
// SIGTERM; this one is patient for 0.3 s more.
constexpr std::int64_t kWaitMs = 600, kKillAfterMs = 1000 + 700 + 300;
// Each time limit is 50 ms longer on sockets; up to half a second after its time an answer only
// earns nothing.
constexpr std::int64_t kLostAfterMs = kWaitMs + 50 + 500;
constexpr int kBadClients = 4, kCommandsAtOnce = 500;

}  // namespace

int main(int argc, char** argv) {
  Case setup(argc, argv);
  auto work = [](CacheServer& server, Stream& stream, int connection, const Command& c) {
    sleep_ms(kWorkMs);
    answer_value(stream, c, "price of " + c.key);
    RECORD("%s: connection %d: answered %s", server.name.c_str(), connection, c.id.c_str());
  };
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::vector<CacheServer*> all;
  for (int k = 0; k < kServers; ++k) {
    servers.push_back(std::make_unique<CacheServer>("s-0" + std::to_string(k), work));
    all.push_back(servers.back().get());
  }
  std::string list = Discovery::list_of(all);
  Discovery discovery(list);
  Router router(setup.folder, list, discovery.port());

  std::atomic<bool> killed{false};
  std::atomic<std::int64_t> told_to_end{-1}, bad_commands{0}, bad_answers{0};
  std::atomic<int> answered_before{0}, answered_after{0}, lost{0}, closed{0};
  std::vector<std::thread> threads;
  // Tills: each asks, waits for the answer and asks again, on one connection for as long as it is
  // open.
  for (int till = 0; till < kTills; ++till)
    threads.emplace_back([&, till] {
      auto stream = dial(router.port);
      for (int k = 0; stream && !killed; ++k) {
        std::string id = "7f3a" + std::to_string(1000 + till) + std::to_string(10000 + k), line,
                    value;
        std::string key = "k" + std::to_string((till * 131 + k * 17) % 300);
        std::int64_t sent = now_ms();
        if (!stream->send("mg " + key + " v O" + id +
                          " Pc=price-lookup,t=selam-stores,d=600\r\n")) {
          ++closed;
          return;
        }
        RECORD("till %d: sent %s", till, id.c_str());
        bool whole = stream->read_line(line, sent + kLostAfterMs);
        if (whole && line.compare(0, 3, "VA ") == 0)
          whole = stream->read_bytes(std::strtoul(line.c_str() + 3, nullptr, 10) + 2, value,
                                     sent + kLostAfterMs);
        if (!whole && now_ms() >= sent + kLostAfterMs) {
          RECORD("till %d: LOST %s: no answer after %lld ms, the connection is open", till,
                 id.c_str(), static_cast<long long>(now_ms() - sent));
          ++lost;
          return;
        }
        if (!whole) {  // closed: counted only where the router cannot have left it unread
          RECORD("till %d: %s: the connection ended after %lld ms without an answer", till,
                 id.c_str(), static_cast<long long>(now_ms() - sent));
          ++closed;
          return;
        }
        RECORD("till %d: %s got %s", till, id.c_str(), line.c_str());
        ++(told_to_end >= 0 && told_to_end <= now_ms() ? answered_after : answered_before);
        sleep_ms(5);
      }
    });
  // The bad clients: hundreds of commands at once, at full speed, and they read what they are sent.
  for (int k = 0; setup.trouble && k < kBadClients; ++k) {
    auto bad = std::shared_ptr<Stream>(dial(router.port));
    if (!bad) finish(kCannotRun, "no connection for a bad client");
    RECORD("bad client %d: sends %d commands at once, again and again", k, kCommandsAtOnce);
    threads.emplace_back([&, bad] {
      std::string commands;
      for (int n = 0; n < kCommandsAtOnce; ++n) commands += "mn\r\n";
      while (!killed && bad->send(commands)) bad_commands += kCommandsAtOnce;
    });
    threads.emplace_back([&, bad, k] {
      char bytes[65536];
      ssize_t n;
      while ((n = ::recv(bad->fd(), bytes, sizeof bytes, 0)) > 0) bad_answers += n / 4;
      RECORD("bad client %d: its connection ended", k);
    });
  }
  sleep_ms(1000);
  RECORD(
      "tills: %d requests answered so far, %d lost; bad clients: %lld commands sent, %lld answered",
      answered_before.load(), lost.load(), static_cast<long long>(bad_commands),
      static_cast<long long>(bad_answers));
  int lost_before = lost;
  told_to_end = now_ms();
  router.signal(SIGTERM);
  while (router.alive() && now_ms() < told_to_end + kKillAfterMs) sleep_ms(5);
  bool ended = !router.alive();
  if (!ended) {
    RECORD("platform: the router has not ended %lld ms after SIGTERM",
           static_cast<long long>(now_ms() - told_to_end));
    router.kill();
    RECORD("platform: killed the router");
  }
  killed = true;
  sleep_ms(300);
  RECORD(
      "tills: %d requests answered before SIGTERM and %d after it, %d lost, %d connections ended; "
      "bad clients: %lld "
      "commands sent, %lld answered",
      answered_before.load(), answered_after.load(), lost.load(), closed.load(),
      static_cast<long long>(bad_commands), static_cast<long long>(bad_answers));
  if (router.crashed) finish(kBroken, "the router has crashed: " + router.end);
  if (lost > 0)
    finish(kBroken, std::to_string(lost - lost_before) + " of " + std::to_string(kTills) +
                        " tills have lost a request after SIGTERM" +
                        (lost_before ? ", " + std::to_string(lost_before) + " before it" : "") +
                        (ended ? "" : "; the router did not end by itself"));
  finish(kHeld, "every request got its final answer");
}
