// A planned end under which the router is held up once, for 0.145 s: are the requests that it took
// and holds given an answer?
#include "rig.hpp"

using namespace rig;

namespace {

constexpr double kDeadline = 1000;  // ms, the longest of the settings' classes
constexpr const char* kSale =
    R"({"Name":"sale-record","Effect":"once","ObjectiveUs":250000,"DeadlineUs":1000000,"Worth":2,"LateWorth":0.3})";

std::string write_line(const std::string& id, const std::string& key) {
  return "ms " + key + " 5 O" + id + " Pc=sale-record,t=selam-stores,d=1000,k=k" + id;
}

struct Till {
  Client client;
  std::string id, key, answer, ended;
  bool sent = false;
};

}  // namespace

int main(int, char** arguments) {
  begin(arguments[1]);
  std::atomic<bool> hangs{false};
  auto sound = [](const Command& c) {
    return CacheServer::Plan{5, c.set ? "HD O" + c.id + " cr" + c.id + "\r\n"
                                      : "VA 5 O" + c.id + "\r\nvalue\r\n"};
  };
  CacheServer one("pc-1", sound, {});
  CacheServer two(
      "pc-2",
      [&](const Command& c) { return hangs ? CacheServer::Plan{-1, ""} : sound(c); }, {});
  std::vector<Host> hosts{{"pc-1", one.port(), 0}, {"pc-2", two.port(), 0}};
  Discovery discovery(hosts);
  Settings s;
  s.listen = free_port();
  s.discovery = discovery.port();
  s.known = discovery.list();
  s.classes = std::string(kLookup) + "," + kSale;
  s.more_limits = ",\"SecondCopies\":true";
  Router router("n1", config_json(s));
  router.wait_ready(s.listen);
  sleep_ms(1200);

  // Tills whose connections have served one request each.
  std::vector<std::unique_ptr<Till>> tills;
  for (int k = 0; k < 16; ++k) {
    auto till = std::make_unique<Till>();
    till->key = "receipt" + std::to_string(k);
    if (!till->client.connect(s.listen) ||
        !till->client.send(write_line("a" + std::to_string(k), till->key) + "\r\nfirst\r\n"))
      finish(kCouldNotRun, "a till can't connect");
    auto answer = till->client.answer(now_ms() + 2000);
    if (!answer || answer->rfind("HD ", 0) != 0) finish(kCouldNotRun, "the calm start failed");
    tills.push_back(std::move(till));
  }
  // Others go on asking, which keeps the router's loop turning.
  std::atomic<bool> done{false};
  std::thread background([&] {
    for (int n = 0; !done;) {
      Client c(s.listen);
      for (int k = 0; k < 20 && !done; ++k, ++n, sleep_ms(5)) {
        if (!c.send("mg p" + std::to_string(n) + " v Ob" + std::to_string(n) +
                    " Pc=price-lookup,t=selam-stores,d=600\r\n"))
          break;
        if (!c.answer(now_ms() + 700)) break;
      }
    }
  });
  sleep_ms(200);

  double end = now_ms();
  router.signal(SIGTERM);
  sleep_until_ms(end + 300);
  for (auto& till : tills) {
    till->id = "c" + till->key;
    record("till %s begins to write its next request", till->key.c_str());
    till->client.send("ms " + till->key + " 5 ");
  }
  done = true;
  // A head may take 2 s: here 0.75 s.
  sleep_until_ms(end + 1040);
  hangs = true;
  record("pc-2 hangs from now on");
  sleep_until_ms(end + 1050);
  for (auto& till : tills) {
    till->sent =
        till->client.send(write_line(till->id, till->key).substr(6 + till->key.size()) +
                          "\r\nlater\r\n");
    record("till %s has written %s, d=1000", till->key.c_str(), till->id.c_str());
  }
  if (trouble()) {
    sleep_until_ms(end + kDeadline + 545);
    router.signal(SIGSTOP);
    sleep_until_ms(end + kDeadline + 690);
    router.signal(SIGCONT);
  }
  // Until half a second after the last deadline. SIGKILL may come no sooner than 1.7 s after
  // SIGTERM; it does not come at all before all of this is over.
  int lost = 0, answered = 0;
  double until = end + 1050 + kDeadline + 550;
  for (auto& till : tills) {
    auto answer = till->client.answer(until);
    record("till %s: %s%s", till->id.c_str(),
           answer ? answer->c_str() : "no answer, connection ",
           answer ? "" : till->client.ended().empty() ? "open" : till->client.ended().c_str());
    answer ? ++answered : ++lost;
  }
  background.join();
  router.has_ended();
  router.record_log();
  if (answered == 0) finish(kCouldNotRun, "no request of the end was answered");
  if (lost > 0)
    finish(kBroken, std::to_string(lost) + " of " + std::to_string(answered + lost) +
                        " requests taken after SIGTERM have no answer; " +
                        std::to_string(answered) + " have one");
  finish(kHeld, "all " + std::to_string(answered) + " requests were answered");
}
