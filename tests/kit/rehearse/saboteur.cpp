// A small router for tests of the oracle. It is correct, or violates the one rule that the
// environment variable SABOTEUR selects. One thread per client connection and one new connection
// per attempt.
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net/system_io.hpp"
#include "protocol/meta.hpp"

namespace {

using Json = nlohmann::json;
using violetusher::net::Fd;
using violetusher::net::parse_address;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kSlowStartMs =
    9'000;  // a correct router sends nothing to a new price cache for this long

struct Cache {
  std::string id, dial;
  bool ready = true;
  std::int64_t born_ms = 0;
};

std::string mode;
std::mutex mutex;
std::vector<Cache> caches;
std::atomic<int> request_count{0};

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::vector<Cache> read_list(const Json& list) {
  std::vector<Cache> read;
  for (const Json& host : list.at("hosts"))
    read.push_back(
        {host.at("host"), host.at("dial"), host.at("health") == "active", host.at("born_ms")});
  return read;
}

Fd connect_to(const std::string& address, int limit_ms) {
  auto to = parse_address(address);
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval limit{limit_ms / 1000, (limit_ms % 1000) * 1000};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (!to || ::connect(fd.get(), reinterpret_cast<sockaddr*>(&*to), sizeof *to) != 0) return Fd();
  return fd;
}

void send_all(int fd, const std::string& text) {
  for (std::size_t at = 0; at < text.size();) {
    ssize_t put = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (put <= 0) return;
    at += static_cast<std::size_t>(put);
  }
}

/// The body of a 200 response; empty if there is none within the timeout.
std::string get(const std::string& address, const std::string& query, int limit_ms) {
  Fd fd = connect_to(address, limit_ms);
  if (!fd) return {};
  send_all(fd.get(),
           "GET /discovery/hosts" + query + " HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n");
  std::string text;
  char bytes[8192];
  for (ssize_t got; (got = ::recv(fd.get(), bytes, sizeof bytes, 0)) > 0;)
    text.append(bytes, static_cast<std::size_t>(got));
  std::size_t body = text.find("\r\n\r\n");
  return text.rfind("HTTP/1.1 200", 0) == 0 && body != text.npos ? text.substr(body + 4) : "";
}

void poll_discovery(std::string address) {
  std::string seq;
  while (true) {
    // Waits a minute for the response to a watch of 3 s.
    if (mode == "deaf-watch" && !seq.empty())
      get(address, "?index=" + seq + "&wait=3000", 60'000);
    else
      std::this_thread::sleep_for(milliseconds(200));
    std::string body = get(address, "", 2000);
    if (body.empty()) continue;
    Json list = Json::parse(body);
    seq = list.at("seq").dump();
    std::vector<Cache> fresh = read_list(list);
    std::lock_guard lock(mutex);
    if (mode == "ignore-drain") continue;  // ignores the notification
    caches = std::move(fresh);
  }
}

std::string choose(const std::string& key) {
  std::lock_guard lock(mutex);
  std::vector<const Cache*> eligible;
  const Cache* youngest = nullptr;
  for (const Cache& c : caches) {
    if (!c.ready) continue;
    if (c.born_ms && (!youngest || c.born_ms > youngest->born_ms)) youngest = &c;
    if (c.born_ms == 0 || unix_ms() - c.born_ms > kSlowStartMs) eligible.push_back(&c);
  }
  if (mode == "push-cold" && youngest) return youngest->dial;
  if (eligible.empty()) return {};
  return eligible[std::hash<std::string>()(key) % eligible.size()]->dial;
}

/// One attempt: the complete answer of the price cache, or an empty string.
std::string attempt(const violetusher::protocol::Command& command, int limit_ms) {
  auto until = Clock::now() + milliseconds(limit_ms);
  Fd fd = connect_to(choose(command.key), 100);
  if (!fd) return {};
  send_all(fd.get(), violetusher::protocol::command_bytes(command, limit_ms));
  std::string in;
  while (true) {
    std::size_t end = in.find("\r\n");
    if (end != in.npos) {
      if (in.rfind("VA ", 0) != 0) return in.substr(0, end + 2);
      std::size_t whole = end + 2 + std::strtoul(in.c_str() + 3, nullptr, 10) + 2;
      if (in.size() >= whole) return in.substr(0, whole);
    }
    auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd poll{fd.get(), POLLIN, 0};
    if (left <= 0 || ::poll(&poll, 1, static_cast<int>(left)) != 1) return {};
    char bytes[8192];
    ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (got <= 0) return {};
    in.append(bytes, static_cast<std::size_t>(got));
  }
}

/// Connects now and sends the command 1.2 s later, long after the client has its answer.
void send_late(const violetusher::protocol::Command& command) {
  std::thread([command, fd = connect_to(choose(command.key), 100)] {
    std::this_thread::sleep_for(milliseconds(1'200));
    if (fd) send_all(fd.get(), violetusher::protocol::command_bytes(command, 100));
    std::this_thread::sleep_for(
        milliseconds(4'000));  // keeps the connection open, so that the bytes are not lost with it
  }).detach();
}

/// The answer to the client; empty = no answer.
std::string answer_for(const violetusher::protocol::Command& command) {
  // Sends no attempt, to measure the cost of the rig itself.
  if (mode == "null")
    return command.set ? "HD O" + command.id + " cnull\r\n"
                       : "VA 4 O" + command.id + "\r\nnull\r\n";
  bool affected = request_count++ % 20 == 19;  // the requests on which a rule is violated
  int limit = std::max(1, static_cast<int>(command.wait_ms) - 20);
  if (affected && mode == "lose") return {};
  if (affected && mode == "hold-back") {
    std::this_thread::sleep_for(milliseconds(std::max(0, limit - 20)));
    return "SERVER_ERROR busy\r\n";
  }
  if (affected && mode == "crash") std::abort();
  if (affected && mode == "after-answer" && !command.set) send_late(command);
  std::string answer = attempt(command, limit);
  if (affected && mode == "hold-after") {
    // Holds the answer back until just before the client's timeout.
    std::this_thread::sleep_for(milliseconds(std::max(0, limit - 60)));
    return "SERVER_ERROR busy\r\n";
  }
  if (answer.empty()) return "SERVER_ERROR failed\r\n";
  if (affected && mode == "twice") answer += answer;
  if (affected && mode == "wrong-value" && !command.set)
    return "VA 5 O" + command.id + "\r\nwrong\r\n";
  if (mode == "repeat-sale" && command.set)
    std::thread([command] {
      std::this_thread::sleep_for(milliseconds(5'300));
      attempt(command, 500);
    }).detach();
  if (answer.rfind("VA ", 0) == 0 || answer.rfind("HD ", 0) == 0 ||
      answer.rfind("SERVER_ERROR busy", 0) == 0)
    return answer;
  return "SERVER_ERROR failed\r\n";
}

void serve(Fd fd) {
  violetusher::protocol::CommandReader reader;
  char bytes[8192];
  for (ssize_t got; (got = ::recv(fd.get(), bytes, sizeof bytes, 0)) > 0;) {
    std::string_view in(bytes, static_cast<std::size_t>(got));
    while (!in.empty()) {
      violetusher::protocol::Command command;
      auto read = reader.take(in, command);
      using Got = violetusher::protocol::CommandReader::Got;
      if (read == Got::Noop) send_all(fd.get(), "MN\r\n");
      if (read == Got::Unknown) send_all(fd.get(), "ERROR\r\n");
      if (read == Got::Bad) return;
      if (read == Got::Command) send_all(fd.get(), answer_for(command));
    }
  }
}

}  // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGTERM, [](int) { ::_exit(0); });
  const char* set = std::getenv("SABOTEUR");
  mode = set ? set : "honest";
  if (mode == "exit-at-once") return 7;
  std::ifstream file(std::getenv("NODE_CONFIG"));
  Json config = Json::parse(file);
  caches = read_list(config.at("known"));
  auto address = parse_address(config.at("listen"), true);
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), yes = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (!address || ::bind(listener, reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 ||
      ::listen(listener, 256) != 0) {
    std::perror("saboteur: listen");
    return 1;
  }
  std::thread(poll_discovery, std::string(config.at("discovery"))).detach();
  while (true) {
    Fd fd(::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC));
    if (fd) std::thread([peer = std::move(fd)]() mutable { serve(std::move(peer)); }).detach();
  }
}
