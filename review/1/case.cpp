// A cache server hangs in the middle of two long answers that one client asked for on one
// connection. The router must not crash.
#include "common/standin.hpp"

using namespace review;

namespace {

constexpr int kServers = 10, kWorkMs = 25, kHangMs = 6000;
constexpr std::size_t kLong = 1 << 20, kBeforeHang = 200 << 10;

}  // namespace

int main(int argc, char** argv) {
  Case setup(argc, argv);
  std::atomic<bool> hang{setup.trouble};
  std::mutex mutex;
  std::map<std::string, std::string> served_by;  // key: server
  // Every answer takes 25 ms of work. Keys with ".long" get a value of kLong bytes once
  // `long_values` is set, all others a short one.
  std::atomic<bool> long_values{false};
  auto work = [&](CacheServer& server, Stream& stream, int connection, const Command& c) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      served_by[c.key] = server.name;
    }
    sleep_ms(kWorkMs);
    if (!long_values || c.key.find(".long") == c.key.npos) {
      answer_value(stream, c, "price of " + c.key);
      RECORD("%s: connection %d: answered %s", server.name.c_str(), connection, c.id.c_str());
      return;
    }
    std::string whole =
        "VA " + std::to_string(kLong) + " O" + c.id + " h1\r\n" + std::string(kLong, 'x') + "\r\n";
    stream.send(whole.substr(0, kBeforeHang));
    if (hang) {
      RECORD("%s: connection %d: hangs in the middle of the answer to %s", server.name.c_str(),
             connection, c.id.c_str());
      sleep_ms(kHangMs);
    }
    stream.send(whole.substr(kBeforeHang));
    RECORD("%s: connection %d: answered %s whole", server.name.c_str(), connection, c.id.c_str());
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

  int ids = 0;
  auto read_command = [&](const std::string& key, std::string& id) {
    id = "9b1f03aa5c7e" + std::to_string(1000 + ++ids);
    return "mg " + key + " v O" + id + " Pc=price-lookup,t=selam-stores,d=600\r\n";
  };
  auto read_answer = [](Stream& stream, std::int64_t until, std::string& what) {
    std::string line, value;
    what = "nothing";
    if (!stream.read_line(line, until)) return false;
    what = line;
    if (line.compare(0, 3, "VA ") != 0) return true;
    std::size_t size = std::strtoul(line.c_str() + 3, nullptr, 10);
    if (stream.read_bytes(size + 2, value, until)) return true;
    what += " and " + std::to_string(stream.buffered()) + " bytes of it";
    return false;
  };
  // A till that looks up prices, one after the other, so that the routers' connections are in use.
  auto till = dial(router.port);
  std::string id, what;
  std::map<std::string, std::vector<std::string>> keys;  // by suffix and server
  auto key_at = [&](const std::string& suffix, const std::string& server) {
    for (int k = 0; k < 200; ++k) {
      std::string key = "k" + std::to_string(k) + suffix;
      if (served_by.count(key)) continue;
      if (!till->send(read_command(key, id)) || !read_answer(*till, now_ms() + 1000, what))
        finish(kCannotRun, "an ordinary read was not answered");
      std::lock_guard<std::mutex> lock(mutex);
      if (server.empty() || served_by[key] == server) return key;
    }
    finish(kCannotRun, "no key found");
  };
  std::string long1 = key_at(".long1", "");
  std::string server = served_by[long1];
  std::string long2 = key_at(".long2", server);
  std::string short1 = key_at(".short1", server), short2 = key_at(".short2", server);
  RECORD("client: %s, %s, %s and %s are all kept by %s", long1.c_str(), long2.c_str(),
         short1.c_str(), short2.c_str(), server.c_str());
  long_values = true;
  // Two tills at about the same time: the router opens a second connection to that server.
  auto other = dial(router.port);
  till->send(read_command(short1, id));
  sleep_ms(10);
  other->send(read_command(short2, id));
  read_answer(*till, now_ms() + 2000, what);
  read_answer(*other, now_ms() + 2000, what);
  sleep_ms(100);
  // One client asks for two long values at once.
  auto client = dial(router.port);
  std::string first, second;
  std::string both = read_command(long1, first);
  both += read_command(long2, second);
  RECORD("client: sends two reads at once: %s", both.c_str());
  client->send(both);
  std::int64_t until = now_ms() + 8000;
  bool whole1 = read_answer(*client, until, what);
  RECORD("client: %s got %s", first.c_str(), what.c_str());
  bool whole2 = whole1 && read_answer(*client, until, what);
  if (whole1) RECORD("client: %s got %s", second.c_str(), what.c_str());
  for (int k = 0; k < 20 && router.alive(); ++k) sleep_ms(50);
  if (!router.alive()) finish(kBroken, "the router has crashed: " + router.end);
  if (!router.answers_mn()) finish(kBroken, "the router does not answer any more");
  if (!setup.trouble && !(whole1 && whole2))
    finish(kCannotRun, "long values were not answered whole");
  finish(kHeld, "the router runs and answers");
}
