// A keyed write runs, its connection is reset, and the cache server that gets the repeat reads it
// slowly: is the repeat's last byte written to it after the others have forgotten the key?
#include "rig.hpp"

using namespace rig;

namespace {

constexpr double kWindow = 500;    // ms
constexpr double kSlow = 750;      // ms that the second cache server reads nothing
constexpr std::size_t kValue = 60'000;
constexpr const char* kSale =
    R"({"Name":"sale-record","Effect":"by_key","Group":"all","KeyTtlUs":500000,"ObjectiveUs":250000,"DeadlineUs":1000000,"Worth":2,"LateWorth":0.3})";

std::mutex mutex;
std::map<std::string, int> begun;             // attempts that a cache server has seen, by key
std::map<std::string, double> remembered_at;  // by key: when all cache servers saw it first
std::map<std::string, int> applied;           // at the origin, by key

}  // namespace

int main(int, char** arguments) {
  begin(arguments[1]);
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::vector<Host> hosts;
  for (int n = 1; n <= 4; ++n) {
    auto pause = [](const std::string& head) {
      std::lock_guard<std::mutex> lock(mutex);
      return ++begun[field(head, "k")] > 1 && trouble() ? kSlow : 0.0;
    };
    auto work = [](const Command& c) {
      std::lock_guard<std::mutex> lock(mutex);
      CacheServer::Plan plan;
      plan.work_ms = 20;
      plan.answer = "HD O" + c.id + " cr" + c.id + "\r\n";
      // Begun with its last byte. All cache servers drop a repeat within the window.
      auto [seen, first] = remembered_at.try_emplace(c.k, c.received);
      if (!first && c.received - seen->second <= kWindow) {
        record("a repeat of %s after %.1f ms is dropped", c.k.c_str(), c.received - seen->second);
        return plan;
      }
      if (!first)
        record("%s comes again after %.1f ms and is not known any more", c.k.c_str(),
               c.received - seen->second);
      ++applied[c.k];
      plan.reset = first;
      return plan;
    };
    servers.push_back(std::make_unique<CacheServer>("pc-" + std::to_string(n), work, nullptr));
    servers.back()->pause = pause;
    servers.back()->take_little();
    hosts.push_back({"pc-" + std::to_string(n), servers.back()->port(), 0});
  }
  Discovery discovery(hosts);
  Settings s;
  s.listen = free_port();
  s.discovery = discovery.port();
  s.known = discovery.list();
  s.classes = std::string(kLookup) + "," + kSale;
  s.more_limits = ",\"SecondCopies\":true";
  Router router("n1", config_json(s));
  router.wait_ready(s.listen);
  sleep_ms(500);

  int answers = 0;
  for (int n = 0; n < 6; ++n) {
    Client till(s.listen);
    std::string id = "w" + std::to_string(n);
    record("till writes %s, %zu bytes, d=1000", id.c_str(), kValue);
    double sent = now_ms();
    till.send("ms receipt" + id + " " + std::to_string(kValue) + " O" + id +
              " Pc=sale-record,t=selam-stores,d=1000,k=k" + id + "\r\n" +
              std::string(kValue, 's') + "\r\n");
    auto answer = till.answer(sent + 1600);
    record("till: %s: %s", id.c_str(), answer ? answer->c_str() : "no answer");
    answers += answer.has_value();
    sleep_until_ms(sent + 2000);
  }
  router.has_ended();
  router.record_log();
  std::lock_guard<std::mutex> lock(mutex);
  int twice = 0;
  for (const auto& [key, times] : applied) twice += times > 1;
  if (applied.size() < 6 || answers == 0) finish(kCouldNotRun, "not all writes ran");
  std::string of = " of " + std::to_string(applied.size()) + " writes were applied twice";
  if (twice > 0) finish(kBroken, std::to_string(twice) + of);
  finish(kHeld, "none" + of);
}
