// Clients send many writes at once, and the cache servers read slowly. Does the router stay within
// its limit on memory?
#include "rig.hpp"

using namespace rig;

namespace {

constexpr int kMemoryMb = 32, kClients = 100, kAtOnce = 30;
constexpr double kLength = 10'000;  // ms
constexpr double kPause = 400;      // ms that a cache server reads nothing within each write
constexpr const char* kSale =
    R"({"Name":"sale-record","Effect":"by_key","Group":"all","KeyTtlUs":5000000,"ObjectiveUs":250000,"DeadlineUs":1000000,"Worth":2,"LateWorth":0.3})";

/// A figure of /proc/PID/status, in kB.
long status_kb(pid_t pid, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.rfind(name + ":", 0) == 0) return std::atol(line.c_str() + name.size() + 1);
  return -1;
}

}  // namespace

int main(int, char** arguments) {
  begin(arguments[1]);
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::vector<Host> hosts;
  for (int n = 1; n <= 5; ++n) {
    auto work = [](const Command& c) {
      return CacheServer::Plan{30, "HD O" + c.id + " cr" + c.id + "\r\n"};
    };
    servers.push_back(std::make_unique<CacheServer>("pc-" + std::to_string(n), work, nullptr));
    servers.back()->quiet = !trouble();  // tens of thousands of them
    if (trouble()) {
      servers.back()->pause = [](const std::string&) { return kPause; };
      servers.back()->take_little();
    }
    hosts.push_back({"pc-" + std::to_string(n), servers.back()->port(), 0});
  }
  Discovery discovery(hosts);
  Settings s;
  s.listen = free_port();
  s.discovery = discovery.port();
  s.known = discovery.list();
  s.memory_mb = kMemoryMb;
  s.classes = std::string(kLookup) + "," + kSale;
  s.more_limits = ",\"SecondCopies\":true";
  Router router("n1", config_json(s));
  router.wait_ready(s.listen);
  sleep_ms(500);
  // Only what the process holds for itself: no file, no program text, nothing of the system's.
  long at_start = status_kb(router.pid(), "RssAnon");
  if (at_start < 0) finish(kCouldNotRun, "/proc tells no RssAnon");
  record("limit %d kB; the router holds %ld kB at the start", kMemoryMb * 1024, at_start);

  std::atomic<bool> done{false};
  std::atomic<int> served{0}, refused{0}, failed{0}, none{0};
  std::vector<std::thread> clients;
  const std::string value(65536, 'v');
  for (int t = 0; t < kClients; ++t)
    clients.emplace_back([&, t] {
      for (int n = 0; !done;) {
        Client c;
        if (!c.connect(s.listen)) {
          sleep_ms(20);
          continue;
        }
        std::string all;
        for (int k = 0; k < kAtOnce; ++k, ++n) {
          std::string id = "c" + std::to_string(t) + "n" + std::to_string(n);
          all += "ms receipt-" + id + " 65536 O" + id +
                 " Pc=sale-record,t=selam-stores,d=1000,k=k" + id + "\r\n" + value + "\r\n";
        }
        std::thread writer([&] { c.send(all); });
        for (int k = 0; k < kAtOnce; ++k) {
          auto answer = c.answer(now_ms() + 3000);
          if (!answer) {
            ++none;
            break;
          }
          (answer->rfind("HD", 0) == 0                  ? served
           : answer->rfind("SERVER_ERROR busy", 0) == 0 ? refused
                                                        : failed)++;
        }
        ::shutdown(c.fd(), SHUT_RDWR);
        writer.join();
        sleep_ms(50);
      }
    });
  record("%d clients send %d writes of 64 KiB at once, and again when these are answered", kClients,
         kAtOnce);
  long peak = 0;
  for (double end = now_ms() + kLength, next = 0; now_ms() < end; sleep_ms(5)) {
    if (router.has_ended()) finish(kBroken, "the router ended");
    long now = status_kb(router.pid(), "RssAnon");
    peak = std::max(peak, now);
    if (now_ms() >= next) {
      record("the router holds %ld kB", now);
      next = now_ms() + 250;
    }
  }
  done = true;
  for (auto& client : clients) client.join();
  record("peak %ld kB of its own (VmHWM, with files: %ld kB); served %d, refused %d, failed %d, "
         "without an answer %d",
         peak, status_kb(router.pid(), "VmHWM"), served.load(), refused.load(), failed.load(),
         none.load());
  router.record_log();
  if (served < 50) finish(kCouldNotRun, "hardly anything was served");
  std::string what = "peak " + std::to_string(peak) + " kB, limit " +
                     std::to_string(kMemoryMb * 1024) + " kB";
  finish(peak > kMemoryMb * 1024 ? kBroken : kHeld, what);
}
