// Clients send many commands at once and read the answers as fast as they come. Every request that
// the router has taken must get its final answer.
#include "common/standin.hpp"

using namespace review;

namespace {

constexpr int kServers = 10, kLeastWorkMs = 10, kWorkSpreadMs = 60;  // 40 ms on the mean
constexpr int kClients = 12, kCommands = 32, kWriteEvery = 16;       // commands of each client
constexpr std::size_t kValue = 60'000;                               // values hold at most 64 KiB

struct Request {
  std::string id;
  bool write = false, answered = false;
};

}  // namespace

int main(int argc, char** argv) {
  Case setup(argc, argv);
  std::mutex mutex;
  std::map<std::string, int> got_by_servers;  // commands that came to a cache server, by id
  const std::string value(kValue, 'x');
  // A command is begun when its last byte has come, whatever is before it on the connection, and
  // answered in order.
  auto work = [&](CacheServer&, Stream& stream, int, const Command& c) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      ++got_by_servers[c.id];
    }
    auto spread = static_cast<std::int64_t>(std::hash<std::string>()(c.id) % kWorkSpreadMs);
    sleep_ms(c.at + kLeastWorkMs + spread - now_ms());
    if (c.verb == "ms")
      stream.send("HD O" + c.id + " c77\r\n");
    else
      answer_value(stream, c, value);
  };
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::vector<CacheServer*> all;
  for (int k = 0; k < kServers; ++k) {
    servers.push_back(std::make_unique<CacheServer>("s-0" + std::to_string(k), work));
    all.push_back(servers.back().get());
  }
  std::string list = Discovery::list_of(all);
  Discovery discovery(list);
  RouterSettings settings;
  settings.memory_mb = 48;  // as on the days of the close range
  settings.sockets = 576;
  Router router(setup.folder, list, discovery.port(), settings);

  std::atomic<int> served{0}, other{0};
  std::vector<std::vector<Request>> requests(kClients, std::vector<Request>(kCommands));
  auto client = [&](int n) {
    auto stream = dial(router.port);
    if (!stream) finish(kCannotRun, "no connection for a client");
    std::vector<Request>& own = requests[static_cast<std::size_t>(n)];
    auto read_answer = [&](Request& r) {
      std::string line, bytes;
      std::int64_t until = now_ms() + 10'000;
      if (!stream->read_line(line, until)) return false;
      if (line.compare(0, 3, "VA ") == 0 && !stream->read_bytes(kValue + 2, bytes, until))
        return false;
      r.answered = true;
      bool good = line.compare(0, 3, "VA ") == 0 || line.compare(0, 3, "HD ") == 0;
      ++(good ? served : other);
      return true;
    };
    std::string batch;
    for (int k = 0; k < kCommands; ++k) {
      Request& r = own[static_cast<std::size_t>(k)];
      r.id = "7f3a" + std::to_string(1000 + n) + std::to_string(1000 + k);
      r.write = k % kWriteEvery == kWriteEvery - 1;
      std::string key = "k" + std::to_string(n * kCommands + k), command;
      if (r.write)
        command = "ms " + key + " 5 O" + r.id + " Pc=sale-record,t=selam-stores,d=1000,k=" + r.id +
                  "\r\nhello\r\n";
      else
        command = "mg " + key + " v O" + r.id + " Pc=price-lookup,t=selam-stores,d=600\r\n";
      if (setup.trouble) {
        batch += command;
      } else if (!stream->send(command) || !read_answer(r)) {
        return;
      }
    }
    if (!setup.trouble) return;
    RECORD("client %d: sends %d commands at once", n, kCommands);
    if (!stream->send(batch)) RECORD("client %d: could not send all", n);
    int answers = 0;
    for (Request& r : own) {
      if (!read_answer(r)) break;
      ++answers;
    }
    RECORD("client %d: got %d answers to %d commands%s", n, answers, kCommands,
           answers == kCommands ? ""
           : stream->ended()    ? ", then its connection ended"
                                : ", then nothing for 10 s");
  };
  std::vector<std::thread> threads;
  for (int n = 0; n < kClients; ++n) threads.emplace_back(client, n);
  for (std::thread& t : threads) t.join();
  sleep_ms(100);
  if (!router.alive()) finish(kBroken, "the router has ended: " + router.end);
  // Counted are those that the router must have read, as a cache server got them.
  int lost = 0, lost_writes = 0, unread = 0;
  std::lock_guard<std::mutex> lock(mutex);
  for (const auto& own : requests)
    for (const Request& r : own) {
      if (r.answered) continue;
      if (!got_by_servers.count(r.id)) {
        ++unread;
        continue;
      }
      RECORD("LOST: %s %s came to a cache server and was never answered",
             r.write ? "write" : "read", r.id.c_str());
      ++lost;
      lost_writes += r.write;
    }
  RECORD("%d requests served, %d refused or failed, %d without an answer that no cache server got",
         served.load(), other.load(), unread);
  if (lost > 0)
    finish(kBroken, std::to_string(lost) + " requests were taken and sent on and never answered, " +
                        std::to_string(lost_writes) + " writes among them");
  finish(kHeld, "every request was answered");
}
