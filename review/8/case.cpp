// A till sends several reads at once on one connection. The first has a long value, and its cache
// server's connection is reset within it: do the reads behind it get an answer?
#include "rig.hpp"

using namespace rig;

namespace {
constexpr int kBehind = 5;
constexpr std::size_t kLong = 1u << 20, kCutAt = 300u << 10;
}  // namespace

int main(int, char** arguments) {
  begin(arguments[1]);
  std::mutex mutex;
  std::set<std::string> answered_by_server;
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::vector<Host> hosts;
  for (int n = 1; n <= 4; ++n) {
    auto work = [](const Command& c) {
      bool is_long = c.key.rfind("long", 0) == 0;
      CacheServer::Plan plan;
      plan.work_ms = is_long ? 10 : 20;
      std::string value(is_long ? kLong : 5, 'v');
      plan.answer = "VA " + std::to_string(value.size()) + " O" + c.id + "\r\n" + value + "\r\n";
      if (is_long && trouble()) plan.cut_at = kCutAt;
      return plan;
    };
    auto ran = [&](const Command& c) {
      std::lock_guard<std::mutex> lock(mutex);
      answered_by_server.insert(c.id);
    };
    servers.push_back(std::make_unique<CacheServer>("pc-" + std::to_string(n), work, ran));
    hosts.push_back({"pc-" + std::to_string(n), servers.back()->port(), 0});
  }
  Discovery discovery(hosts);
  Settings s;
  s.listen = free_port();
  s.discovery = discovery.port();
  s.known = discovery.list();
  s.classes = kLookup;
  s.more_limits = ",\"SecondCopies\":true";
  Router router("n1", config_json(s));
  router.wait_ready(s.listen);
  sleep_ms(1000);

  int lost = 0, got = 0, long_whole = 0;
  for (int round = 0; round < 5; ++round) {
    Client till(s.listen);
    std::string tag = std::to_string(round), all;
    auto read_of = [](const std::string& key, const std::string& id) {
      return "mg " + key + " v O" + id + " Pc=price-lookup,t=selam-stores,d=600\r\n";
    };
    all = read_of("long" + tag, "r" + tag + "long");
    for (int k = 0; k < kBehind; ++k)
      all += read_of("short" + tag + std::to_string(k), "r" + tag + "n" + std::to_string(k));
    double sent = now_ms();
    record("till sends %d reads at once: the first of a long value", 1 + kBehind);
    till.send(all);
    double until = sent + 600 + 550;
    auto first = till.answer(until);
    record("till: r%slong: %s", tag.c_str(), first ? first->c_str() : "not whole");
    if (first) ++long_whole;
    for (int k = 0; k < kBehind; ++k) {
      std::string id = "r" + tag + "n" + std::to_string(k);
      auto answer = till.answer(until);
      bool ran;
      {
        std::lock_guard<std::mutex> lock(mutex);
        ran = answered_by_server.count(id) > 0;
      }
      record("till: %s: %s (a cache server %s it)", id.c_str(),
             answer ? answer->c_str() : ("no answer, connection " + till.ended()).c_str(),
             ran ? "served" : "has not seen");
      answer ? ++got : ++lost;
    }
    sleep_ms(300);
  }
  router.has_ended();
  router.record_log();
  if (!trouble() && long_whole == 0) finish(kCouldNotRun, "no long value came whole");
  std::string of = " of " + std::to_string(lost + got) + " reads behind a long value";
  if (lost > 0) finish(kBroken, std::to_string(lost) + of + " have no answer");
  finish(kHeld, std::to_string(got) + of + " have their answer");
}
