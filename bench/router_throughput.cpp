// Measures the requests per second that one router serves, and compares them with a plain byte
// relay in the same run: the difference is the cost of the router's work. Everything runs on
// loopback: a load generator with a number of connections and of outstanding commands on each, the
// router or the relay, and one cache server that responds immediately. `router_throughput PROGRAM
// [--operator FILE] [--seconds N] [--rounds N]`
//
// Relay and router are measured in alternation and the medians reported, so that a slowdown of the
// machine affects both. Refusals are counted separately. One second without a response ends the
// run.
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "net/system_io.hpp"

namespace {

using violetusher::net::Fd;
using Clock = std::chrono::steady_clock;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

Fd listen_any(std::uint16_t& port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in a = loopback(0);
  ::bind(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a);
  ::listen(fd.get(), 1024);
  socklen_t size = sizeof a;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}

Fd connect_to(std::uint16_t port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in a = loopback(port);
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) return Fd();
  return fd;
}

void send_all(int fd, const char* at, std::size_t size) {
  while (size > 0) {
    ssize_t put = ::send(fd, at, size, MSG_NOSIGNAL);
    if (put < 0 && (errno == EAGAIN || errno == EINTR)) {
      pollfd wait{fd, POLLOUT, 0};
      ::poll(&wait, 1, 100);
      continue;
    }
    if (put <= 0) return;
    at += put, size -= static_cast<std::size_t>(put);
  }
}

/// Serves connections on the calling thread; `on_bytes` receives a connection and the bytes read
/// from it.
template <typename F, typename A>
void serve(int listener, const std::atomic<bool>& stop, A on_accept, F on_bytes) {
  Fd epoll(::epoll_create1(EPOLL_CLOEXEC));
  epoll_event event{EPOLLIN, {.fd = listener}};
  ::epoll_ctl(epoll.get(), EPOLL_CTL_ADD, listener, &event);
  std::vector<char> bytes(64u << 10);
  std::map<int, Fd> open;
  epoll_event ready[64];
  auto watch = [&](Fd&& fd) {
    epoll_event e{EPOLLIN, {.fd = fd.get()}};
    ::epoll_ctl(epoll.get(), EPOLL_CTL_ADD, fd.get(), &e);
    int number = fd.get();
    open[number] = std::move(fd);
  };
  while (!stop) {
    int count = ::epoll_wait(epoll.get(), ready, 64, 50);
    for (int k = 0; k < count; ++k) {
      int fd = ready[k].data.fd;
      if (fd == listener) {
        Fd peer(::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (!peer) continue;
        int on = 1;
        ::setsockopt(peer.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        on_accept(peer.get(), watch);
        watch(std::move(peer));
        continue;
      }
      ssize_t got = ::recv(fd, bytes.data(), bytes.size(), 0);
      if (got > 0)
        on_bytes(fd, std::string_view(bytes.data(), static_cast<std::size_t>(got)));
      else if (got == 0)
        open.erase(fd);
    }
  }
}

/// A cache server that responds to each line immediately.
void cache_server(int listener, const std::atomic<bool>& stop) {
  std::map<int, std::string> partial;
  std::string out;
  auto nothing = [](int, auto&) {};
  serve(listener, stop, nothing, [&](int fd, std::string_view in) {
    std::string& buffered = partial[fd];
    buffered.append(in);
    out.clear();
    std::size_t from = 0;
    for (std::size_t end; (end = buffered.find("\r\n", from)) != buffered.npos; from = end + 2) {
      std::size_t id = buffered.find(" O", from) + 2;
      out.append("VA 20 O")
          .append(buffered, id, buffered.find(' ', id) - id)
          .append(" h1\r\n01234567890123456789\r\n");
    }
    buffered.erase(0, from);
    send_all(fd, out.data(), out.size());
  });
}

/// Relays bytes in both directions, with one upstream connection per client connection.
void relay(int listener, std::uint16_t to, const std::atomic<bool>& stop) {
  std::map<int, int> other;
  serve(
      listener, stop,
      [&](int fd, auto& watch) {
        Fd upstream = connect_to(to);
        other[fd] = upstream.get();
        other[upstream.get()] = fd;
        watch(std::move(upstream));
      },
      [&](int fd, std::string_view in) { send_all(other[fd], in.data(), in.size()); });
}

struct Counts {
  double served = 0, refused = 0;  // per second
};

/// Generates load for `seconds` over `connections`, with `depth` outstanding commands on each.
Counts load(std::uint16_t port, int connections, int depth, double seconds) {
  struct Connection {
    Fd fd;
    std::string in;
  };
  std::vector<Connection> clients(static_cast<std::size_t>(connections));
  Fd epoll(::epoll_create1(EPOLL_CLOEXEC));
  std::uint64_t next = 0, served = 0, refused = 0;
  std::string out;
  auto send_requests = [&](Connection& client, int count) {
    out.clear();
    for (int k = 0; k < count; ++k, ++next)
      out.append("mg barcode:")
          .append(std::to_string(next % 5000))
          .append(" v Oq")
          .append(std::to_string(next))
          .append(" Pc=read,t=acme,d=900,h=50\r\n");
    send_all(client.fd.get(), out.data(), out.size());
  };
  for (std::size_t k = 0; k < clients.size(); ++k) {
    clients[k].fd = connect_to(port);
    epoll_event e{EPOLLIN, {.u64 = k}};
    ::epoll_ctl(epoll.get(), EPOLL_CTL_ADD, clients[k].fd.get(), &e);
    send_requests(clients[k], depth);
  }
  auto from = Clock::now(), until = from + std::chrono::duration_cast<Clock::duration>(
                                               std::chrono::duration<double>(seconds));
  std::vector<char> bytes(64u << 10);
  while (Clock::now() < until) {
    epoll_event ready[64];
    int count = ::epoll_wait(epoll.get(), ready, 64, 1000);
    if (count == 0) {
      std::fprintf(stderr, "no response for one second\n");
      std::exit(3);
    }
    for (int k = 0; k < count; ++k) {
      Connection& client = clients[ready[k].data.u64];
      ssize_t got = ::recv(client.fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (got <= 0) continue;
      client.in.append(bytes.data(), static_cast<std::size_t>(got));
      std::size_t at = 0;
      int done = 0;
      for (std::size_t end; (end = client.in.find("\r\n", at)) != client.in.npos;) {
        if (client.in[at] == 'V') {
          if (client.in.size() < end + 24) break;  // the value of 20 bytes and its line end
          ++served;
          at = end + 24;
        } else {
          ++refused;
          at = end + 2;
        }
        ++done;
      }
      client.in.erase(0, at);
      if (done) send_requests(client, done);
    }
  }
  double took = std::chrono::duration<double>(Clock::now() - from).count();
  return {static_cast<double>(served) / took, static_cast<double>(refused) / took};
}

/// The router's configuration: eight hosts, all with the address of the one cache server.
std::string config(std::uint16_t cache) {
  std::string text =
      R"({"name":"b","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5",)"
      R"("limits":{"memory_mb":64,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[)";
  for (int k = 0; k < 8; ++k) {
    text += std::string(k ? "," : "") + R"({"host":"s-)" + std::to_string(k) + R"(",)";
    text += R"("dial":"127.0.0.1:)" + std::to_string(cache) + R"(","site":"a","class":"m",)";
    text += R"("block":0,"health":"active","share":1.0,"born_ms":0})";
  }
  text += R"(]},"settings":{"Balancers":2,"Az":"a","FailureDomains":["a"],"TickUs":1000,)";
  text += R"("MembershipMode":"automatic","Classes":[{"Name":"read","Effect":"repeatable",)";
  text += R"("Group":"all","KeyTtlUs":5000000,"ObjectiveUs":500000,"DeadlineUs":1000000,)";
  text += R"("Worth":1}],"Tenants":[{"Name":"acme","Portion":1.0,"QuotaPerS":1000000}],)";
  text += R"("Limits":{"MaxAttempts":5,"MayCancel":true,"SecondCopies":true,)";
  text += R"("RetryAfter":false,"MaxRetryAfterUs":1000000,"StreamsPerConn":8},)";
  text += R"("Report":{"How":"inline","Fields":["load_share"]}}})";
  return text;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> programs;
  std::string operator_file;
  double seconds = 2;
  int rounds = 3;
  for (int k = 1; k < argc; ++k) {
    std::string a = argv[k];
    if (a == "--operator" && k + 1 < argc)
      operator_file = argv[++k];
    else if (a == "--seconds" && k + 1 < argc)
      seconds = std::atof(argv[++k]);
    else if (a == "--rounds" && k + 1 < argc)
      rounds = std::atoi(argv[++k]);
    else
      programs.push_back(a);
  }
  if (programs.empty()) {
    std::fprintf(
        stderr,
        "usage: router_throughput PROGRAM... [--operator FILE] [--seconds N] [--rounds N]\n"
        "with --operator the last program is also measured with that file\n");
    return 2;
  }
  std::atomic<bool> stop{false};
  std::uint16_t cache_port = 0, relay_port = 0;
  Fd cache = listen_any(cache_port), relay_listener = listen_any(relay_port);
  std::thread cache_thread([&] { cache_server(cache.get(), stop); });
  std::thread relay_thread([&] { relay(relay_listener.get(), cache_port, stop); });
  char path[] = "/tmp/router-throughput-XXXXXX";
  Fd file(::mkstemp(path));
  std::ofstream(path) << config(cache_port);
  ::setenv("NODE_CONFIG", path, 1);

  struct Target {
    std::string name;
    std::uint16_t port = 0;
    int pid = -1;
  };
  std::vector<Target> targets{{"relay", relay_port, -1}};
  auto start = [&](const std::string& program, const std::string& operator_path) {
    int stderr_pipe[2];
    if (::pipe(stderr_pipe) != 0) std::abort();
    int pid = ::fork();
    if (pid == 0) {
      ::dup2(stderr_pipe[1], 2);
      if (operator_path.empty())
        ::execl(program.c_str(), "violetusher", nullptr);
      else
        ::execl(program.c_str(), "violetusher", "--operator", operator_path.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(stderr_pipe[1]);
    std::string text;
    char byte;
    while (text.find("listens on") == text.npos || text.back() != '\n') {
      if (::read(stderr_pipe[0], &byte, 1) != 1) {
        std::fprintf(stderr, "%s: did not start: %s\n", program.c_str(), text.c_str());
        std::exit(3);
      }
      text += byte;
    }
    std::size_t colon = text.rfind(':');
    targets.push_back({program + (operator_path.empty() ? "" : " --operator"),
                       static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)), pid});
  };
  for (const std::string& program : programs) start(program, "");
  if (!operator_file.empty()) start(programs.back(), operator_file);

  for (auto [connections, depth] : {std::pair(8, 1), std::pair(8, 8), std::pair(32, 8)}) {
    std::vector<std::vector<double>> served(targets.size()), refused(targets.size());
    for (int round = 0; round < rounds; ++round)
      for (std::size_t k = 0; k < targets.size(); ++k) {
        Counts c = load(targets[k].port, connections, depth, seconds);
        served[k].push_back(c.served), refused[k].push_back(c.refused);
      }
    std::printf("%d connections, %d outstanding commands each\n", connections, depth);
    for (std::size_t k = 0; k < targets.size(); ++k)
      std::printf("  %-50s %9.0f/s served (%.0f to %.0f), %.3f of the relay, %.0f/s refused\n",
                  targets[k].name.c_str(), median(served[k]),
                  *std::min_element(served[k].begin(), served[k].end()),
                  *std::max_element(served[k].begin(), served[k].end()),
                  median(served[k]) / median(served[0]), median(refused[k]));
  }
  for (const Target& p : targets)
    if (p.pid > 0) ::kill(p.pid, SIGKILL), ::waitpid(p.pid, nullptr, 0);
  ::unlink(path);
  stop = true;
  cache_thread.join();
  relay_thread.join();
}
