// New settings at SIGHUP make a class one that must not run twice. Are its requests sent once?
// Played twice, with two forms of the settings in which a key stands at some classes alone.
#include "rig.hpp"

using namespace rig;

namespace {

std::string class_json(const std::string& name, const std::string& effect, int aim_ms,
                       int deadline_ms, const std::string& more) {
  return "{\"Name\":\"" + name + "\",\"Effect\":\"" + effect + "\",\"ObjectiveUs\":" +
         std::to_string(aim_ms * 1000) + ",\"DeadlineUs\":" + std::to_string(deadline_ms * 1000) +
         ",\"Worth\":2,\"LateWorth\":0.3,\"Streamed\":false" + more + "}";
}

struct Form {
  std::string name, before, after;
};

/// Every class has all keys of the page's example; `AimStretch` stands at one class alone.
Form aim_form() {
  std::string group = R"(,"Group":"all","KeyTtlUs":5000000)";
  std::string lookup =
      class_json("price-lookup", "repeatable", 150, 600, group + ",\"AimStretch\":1.5");
  return {"AimStretch at one class",
          lookup + "," + class_json("sale-record", "by_key", 250, 1000, group),
          lookup + "," + class_json("sale-record", "once", 250, 1000, group) + "," +
              class_json("stock-count", "repeatable", 150, 600, group)};
}

/// `Group` and `KeyTtlUs` stand at classes of effect `by_key` alone, as in examples/config.json.
Form group_form() {
  std::string lookup = class_json("price-lookup", "repeatable", 150, 600, "");
  return {"Group and KeyTtlUs at by_key classes",
          lookup + "," +
              class_json("sale-record", "by_key", 250, 1000,
                         R"(,"Group":"all","KeyTtlUs":5000000)"),
          lookup + "," + class_json("sale-record", "once", 250, 1000, "") + "," +
              class_json("stock-count", "repeatable", 150, 600, "")};
}

/// Plays one form; returns how many requests of class `once` ran twice, and of how many.
std::pair<int, int> play(const Form& form, const std::string& router_name) {
  record("---- %s", form.name.c_str());
  auto mutex = std::make_shared<std::mutex>();
  auto runs = std::make_shared<std::map<std::string, int>>();  // by the request's id
  auto taken = std::make_shared<std::atomic<int>>(0);
  std::vector<Host> hosts;
  for (int n = 1; n <= 4; ++n) {
    auto work = [taken](const Command& c) {
      // Work varies: one request in ten takes 0.45 s.
      return CacheServer::Plan{++*taken % 10 == 0 ? 450.0 : 15.0,
                               c.set ? "HD O" + c.id + " cr" + c.id + "\r\n"
                                     : "VA 5 O" + c.id + "\r\nvalue\r\n"};
    };
    auto ran = [mutex, runs](const Command& c) {
      std::lock_guard<std::mutex> lock(*mutex);
      ++(*runs)[c.id];
    };
    auto* server = new CacheServer("pc-" + std::to_string(n), work, ran);  // until the end
    hosts.push_back({"pc-" + std::to_string(n), server->port(), 0});
  }
  auto* discovery = new Discovery(hosts);
  Settings s;
  s.name = router_name;
  s.listen = free_port();
  s.discovery = discovery->port();
  s.known = discovery->list();
  s.more_limits = ",\"SecondCopies\":true";
  s.classes = form.before;
  std::string before = config_json(s);
  s.classes = form.after;
  std::string after = config_json(s);
  // Without the disruption the router has the new settings from its start.
  Router router(router_name, trouble() ? before : after);
  router.wait_ready(s.listen);
  sleep_ms(2000);
  if (trouble()) {
    // Put in place whole, by a rename.
    std::string file = folder() + "/" + router_name + ".json";
    std::ofstream(file + ".new") << after;
    if (std::rename((file + ".new").c_str(), file.c_str()) != 0)
      finish(kCouldNotRun, "can't replace the configuration");
    record("the file of the configuration is replaced: sale-record is 'once' now, stock-count new");
    router.signal(SIGHUP);
  }
  // The rules of the new settings bind 1.2 s after SIGHUP. The requests that count begin at 3 s.
  sleep_ms(3000);
  {
    Client till(s.listen);
    till.send("mg shelf v Ostock1 Pc=stock-count,t=selam-stores,d=600\r\n");
    auto answer = till.answer(now_ms() + 1200);
    record("till: stock-count: %s", answer ? answer->c_str() : "no answer");
  }
  std::vector<std::thread> tills;
  std::atomic<int> served{0}, refused{0}, failed{0};
  double end = now_ms() + 8000;
  for (int t = 0; t < 6; ++t)
    tills.emplace_back([&, t] {
      Client c(s.listen);
      for (int n = 0; now_ms() < end; ++n, sleep_ms(5)) {
        std::string id = "t" + std::to_string(t) + "n" + std::to_string(n);
        c.send("ms receipt-" + id + " 4 O" + id + " Pc=sale-record,t=selam-stores,d=1000,k=k" +
               id + "\r\nsale\r\n");
        auto answer = c.answer(now_ms() + 1500);
        if (!answer) finish(kCouldNotRun, "no answer to " + id);
        (answer->rfind("HD", 0) == 0                  ? served
         : answer->rfind("SERVER_ERROR busy", 0) == 0 ? refused
                                                      : failed)++;
      }
    });
  for (auto& till : tills) till.join();
  sleep_ms(800);  // what nobody waits for any more runs to its end
  router.has_ended();
  router.record_log();
  record("served %d, refused %d, failed %d", served.load(), refused.load(), failed.load());
  if (served < 100) finish(kCouldNotRun, "hardly anything was served");
  std::lock_guard<std::mutex> lock(*mutex);
  int twice = 0;
  for (const auto& [id, times] : *runs)
    if (times > 1) {
      ++twice;
      record("%s ran %d times", id.c_str(), times);
    }
  return {twice, static_cast<int>(runs->size())};
}

}  // namespace

int main(int, char** arguments) {
  begin(arguments[1]);
  auto aim = play(aim_form(), "n1");
  auto group = play(group_form(), "n2");
  auto text = [](const std::pair<int, int>& of) {
    return std::to_string(of.first) + " of " + std::to_string(of.second);
  };
  std::string what = "requests of class 'once' that ran twice: " + text(aim) + " (AimStretch), " +
                     text(group) + " (Group)";
  finish(aim.first + group.first > 0 ? kBroken : kHeld, what);
}
