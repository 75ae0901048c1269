// Small stand-ins for the cases of review/: cache servers, discovery, clients, and the start and
// end of a router by the deploy file's `run`. Loopback addresses and free ports only. Everything
// that is sent, answered and run goes to the record with milliseconds since the start.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

inline std::int64_t now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
      .count();
}
inline void sleep_ms(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

class Record {
 public:
  static Record& get() {
    static Record one;
    return one;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%7lld ms  ", static_cast<long long>(now_ms()));
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

/// Ends the whole case: the router is killed by its process id, and the exit code is the verdict.
[[noreturn]] inline void finish(int code, const std::string& why);

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

inline int listen_on_free_port(int& port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(0);
  socklen_t size = sizeof a;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 || ::listen(fd, 1024) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) != 0)
    finish(kCannotRun, "no listening socket");
  port = ntohs(a.sin_port);
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

/// A connection that is read line by line or by length. Blocking, with time limits.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Stream(const Stream&) = delete;
  ~Stream() { close(); }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  int fd() const { return fd_; }
  bool ended() const { return ended_; }
  bool send(const std::string& text) {
    std::size_t at = 0;
    while (at < text.size()) {
      ssize_t n = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// False after `until` (now_ms() time; -1 = never), or once the peer has ended.
  bool read_line(std::string& line, std::int64_t until = -1) {
    while (true) {
      std::size_t end = in_.find('\n');
      if (end != in_.npos) {
        line = in_.substr(0, end);
        in_.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r') line.pop_back();
        return true;
      }
      if (!fill(until)) return false;
    }
  }
  bool read_bytes(std::size_t size, std::string& bytes, std::int64_t until = -1) {
    while (in_.size() < size)
      if (!fill(until)) return false;
    bytes = in_.substr(0, size);
    in_.erase(0, size);
    return true;
  }
  std::size_t buffered() const { return in_.size(); }

 private:
  bool fill(std::int64_t until) {
    while (!ended_) {
      int wait = 1000;
      if (until >= 0) {
        std::int64_t left = until - now_ms();
        if (left <= 0) return false;
        wait = static_cast<int>(std::min<std::int64_t>(left, 1000));
      }
      pollfd one{fd_, POLLIN, 0};
      int ready = ::poll(&one, 1, wait);
      if (ready <= 0) continue;
      char bytes[65536];
      ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) {
        ended_ = true;
        return false;
      }
      in_.append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    return false;
  }
  int fd_;
  bool ended_ = false;
  std::string in_;
};

inline std::unique_ptr<Stream> dial(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<Stream>(fd);
}

/// Accepts connections and serves each in a thread of its own.
class Acceptor {
 public:
  using Serve = std::function<void(Stream&, int number)>;
  explicit Acceptor(Serve serve) : serve_(std::move(serve)) {
    fd_ = listen_on_free_port(port);
    std::thread([this] {
      for (int number = 1;; ++number) {
        int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd, number] {
          Stream stream(fd);
          serve_(stream, number);
        }).detach();
      }
    }).detach();
  }
  int port = 0;

 private:
  int fd_ = -1;
  Serve serve_;
};

// ---- cache servers ----

struct Command {
  std::string verb, key, id, line, value;
  std::map<std::string, std::string> pairs;
  std::int64_t at = 0;  // when its last byte came
};

/// Speaks PROTOCOL-violetusher.md to routers; `work` answers one command. Connections are numbered
/// from 1; commands of one connection are read as they come and answered in order.
class CacheServer {
 public:
  using Work = std::function<void(CacheServer&, Stream&, int connection, const Command&)>;
  CacheServer(std::string name, Work work)
      : name(std::move(name)),
        work_(std::move(work)),
        acceptor_([this](Stream& s, int n) { serve(s, n); }) {}
  int port() const { return acceptor_.port; }
  const std::string name;

 private:
  /// Reads the next command; false at the end of the connection.
  bool read(Stream& stream, Command& c) {
    if (!stream.read_line(c.line)) return false;
    for (std::size_t at = 0, word = 0; at < c.line.size(); ++word) {
      std::size_t end = std::min(c.line.find(' ', at), c.line.size());
      std::string text = c.line.substr(at, end - at);
      at = end + 1;
      if (word == 0) c.verb = text;
      if (word == 1) c.key = text;
      if (word == 2 && c.verb == "ms" &&
          !stream.read_bytes(std::strtoul(text.c_str(), nullptr, 10) + 2, c.value))
        return false;
      if (word < 2 || text.empty()) continue;
      if (text[0] == 'O') c.id = text.substr(1);
      if (text[0] != 'P') continue;
      for (std::size_t p = 1; p < text.size();) {
        std::size_t comma = std::min(text.find(',', p), text.size()), eq = text.find('=', p);
        if (eq < comma) c.pairs[text.substr(p, eq - p)] = text.substr(eq + 1, comma - eq - 1);
        p = comma + 1;
      }
    }
    c.at = now_ms();
    return true;
  }
  void serve(Stream& stream, int number) {
    RECORD("%s: connection %d accepted", name.c_str(), number);
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Command> queue;
    bool ended = false;
    std::thread worker([&] {
      while (true) {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait(lock, [&] { return ended || !queue.empty(); });
        if (ended) return;
        Command c = std::move(queue.front());
        queue.pop_front();
        lock.unlock();
        if (c.verb == "mn")
          stream.send("MN\r\n");
        else
          work_(*this, stream, number, c);
      }
    });
    while (true) {
      Command c;
      if (!read(stream, c)) break;
      RECORD("%s: connection %d: got %s", name.c_str(), number, c.line.c_str());
      std::lock_guard<std::mutex> lock(mutex);
      queue.push_back(std::move(c));
      changed.notify_one();
    }
    RECORD("%s: connection %d ended", name.c_str(), number);
    {
      std::lock_guard<std::mutex> lock(mutex);
      ended = true;
      changed.notify_one();
    }
    worker.join();
  }
  Work work_;
  Acceptor acceptor_;
};

inline void answer_value(Stream& stream, const Command& c, const std::string& value) {
  stream.send("VA " + std::to_string(value.size()) + " O" + c.id + " h1\r\n" + value + "\r\n");
}

// ---- discovery ----

/// One list that does not change; watches are held for as long as they ask.
class Discovery {
 public:
  explicit Discovery(std::string list)
      : list_(std::move(list)), acceptor_([this](Stream& s, int) { serve(s); }) {}
  int port() const { return acceptor_.port; }
  static std::string list_of(const std::vector<CacheServer*>& servers) {
    std::string hosts;
    for (const CacheServer* s : servers)
      hosts += std::string(hosts.empty() ? "" : ",") + "{\"host\":\"" + s->name +
               "\",\"dial\":\"127.0.0.1:" + std::to_string(s->port()) +
               "\",\"site\":\"bole\",\"class\":\"std-4c\",\"block\":0,\"health\":\"active\","
               "\"share\":1.0,\"born_ms\":0}";
    return "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
  }

 private:
  void serve(Stream& stream) {
    std::string line, request;
    while (stream.read_line(request)) {
      while (stream.read_line(line) && !line.empty()) {
      }
      std::size_t wait = request.find("wait=");
      std::string body = list_;
      if (wait != request.npos && request.find("index=1&") != request.npos) {
        sleep_ms(std::strtol(request.c_str() + wait + 5, nullptr, 10));
        body = "{\"seq\":1,\"whole\":false,\"hosts\":[]}";
      }
      if (!stream.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  std::string list_;
  Acceptor acceptor_;
};

// ---- the router ----

struct RouterSettings {
  std::string sale_effect = "by_key";  // of sale-record
  std::string second_copies = "true";
  int memory_mb = 192, sockets = 1024;
};

/// A router that is started as the platform does: `run` of the deploy file by /bin/sh -c from the
/// root, with a folder of its own as TMPDIR.
class Router {
 public:
  static Router*& running() {
    static Router* one = nullptr;
    return one;
  }
  Router(const std::string& folder, const std::string& list, int discovery_port,
         const RouterSettings& s = {}) {
    port = free_port();
    std::string config = folder + "/config.json";
    std::string address = "127.0.0.1:" + std::to_string(port);
    std::string discovery = "127.0.0.1:" + std::to_string(discovery_port);
    std::ofstream(config)
        << "{\"name\":\"n1\",\"listen\":\"" << address << "\",\"discovery\":\"" << discovery
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
        << s.memory_mb << ",\"sockets\":" << s.sockets << "},"
        << "\"known\":" << list
        << ",\"settings\":{\"Balancers\":1,\"Az\":\"bole\",\"FailureDomains\":[\"bole\"],"
        << "\"MembershipMode\":\"subscribe\",\"MachineTypes\":[\"std-4c\",\"small-3c\"],"
           "\"Weights\":\"nominal\","
        << "\"Classes\":[{\"Name\":\"price-lookup\",\"Effect\":\"repeatable\",\"Group\":\"all\","
           "\"KeyTtlUs\":5000000,"
        << "\"ObjectiveUs\":150000,\"DeadlineUs\":600000,\"Worth\":3,\"LateWorth\":0.25,"
           "\"Streamed\":false},"
        << "{\"Name\":\"sale-record\",\"Effect\":\"" << s.sale_effect
        << "\",\"Group\":\"all\",\"KeyTtlUs\":5000000,"
        << "\"ObjectiveUs\":250000,\"DeadlineUs\":1000000,\"Worth\":2,\"LateWorth\":0.3,"
           "\"Streamed\":false}],"
        << "\"Tenants\":[{\"Name\":\"selam-stores\",\"Portion\":0.56,\"QuotaPerS\":275},"
        << "{\"Name\":\"koket-express\",\"Portion\":0.44,\"QuotaPerS\":216}],"
        << "\"Report\":{\"How\":\"off\",\"Fields\":[]},"
        << "\"Limits\":{\"MaxAttempts\":5,\"MayCancel\":true,\"MayProbe\":false,\"Peers\":false,"
           "\"RetryAfter\":false,"
        << "\"SecondCopies\":" << s.second_copies
        << ",\"StreamsPerConn\":32,\"KeepaliveUs\":15000000,"
        << "\"DialTimeoutUs\":75000,\"MaxOpen\":100000,\"MaxRetryAfterUs\":1000000},"
        << "\"Rules\":{\"AnswerSlackUs\":8000,\"AskWithinUs\":10000000,\"DrainGraceUs\":500000,"
           "\"ColdShare\":0.3,"
        << "\"ColdUs\":8100000,\"OverloadFactor\":4.0,\"TipAfterUs\":1500000},\"TickUs\":2000,"
           "\"ValueBy\":\"work\"}}\n";
    const char* run = std::getenv("RUN");
    if (!run) finish(kCannotRun, "RUN is not set");
    std::string tmp = folder + "/tmp";
    if (std::system(("mkdir -p " + tmp).c_str()) != 0) finish(kCannotRun, "no temporary folder");
    std::string log = folder + "/router.log";
    pid = ::fork();
    if (pid == 0) {
      ::setenv("NODE_NAME", "n1", 1);
      ::setenv("NODE_LISTEN", address.c_str(), 1);
      ::setenv("NODE_DISCOVERY", discovery.c_str(), 1);
      ::setenv("NODE_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", tmp.c_str(), 1);
      if (!std::freopen(log.c_str(), "a", stderr) || ::dup2(2, 1) < 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run, nullptr);
      ::_exit(127);
    }
    running() = this;
    RECORD("router: started by '%s' with process id %d, listens on %s", run, static_cast<int>(pid),
           address.c_str());
    for (int tries = 0; tries < 300; ++tries, sleep_ms(20)) {
      if (answers_mn()) {
        RECORD("router: answered MN");
        return;
      }
      if (!alive()) break;
    }
    finish(kCannotRun, "the router did not become ready");
  }
  bool answers_mn(std::int64_t within = 1000) {
    auto c = dial(port);
    std::string line;
    return c && c->send("mn\r\n") && c->read_line(line, now_ms() + within) && line == "MN";
  }
  /// Whether the process still runs; its end is recorded once.
  bool alive() {
    if (ended) return false;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return true;
    ended = true;
    if (WIFSIGNALED(status))
      end = std::string("signal ") + std::to_string(WTERMSIG(status)) + " (" +
            strsignal(WTERMSIG(status)) + ")";
    else
      end = "exit code " + std::to_string(WEXITSTATUS(status));
    crashed = WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL;
    RECORD("router: process %d ended, %s", static_cast<int>(pid), end.c_str());
    return false;
  }
  void signal(int number) {
    RECORD("router: is sent %s", strsignal(number));
    if (alive()) ::kill(pid, number);
  }
  void kill() {
    if (!alive()) return;
    ::kill(pid, SIGKILL);
    int status;
    ::waitpid(pid, &status, 0);
    ended = true;
  }
  pid_t pid = -1;
  int port = 0;
  bool ended = false, crashed = false;
  std::string end;
};

inline void finish(int code, const std::string& why) {
  RECORD("verdict: %s: %s",
         code == kHeld     ? "held"
         : code == kBroken ? "BROKEN"
                           : "could not run",
         why.c_str());
  std::printf("%s: %s\n",
              code == kHeld     ? "held"
              : code == kBroken ? "BROKEN"
                                : "could not run",
              why.c_str());
  std::fflush(stdout);
  if (Router::running()) Router::running()->kill();
  ::_exit(code);
}

/// Arguments of a case's program: the folder for the record, and one for temporary files.
struct Case {
  Case(int argc, char** argv) {
    if (argc != 3) std::exit(kCannotRun);
    ::signal(SIGPIPE, SIG_IGN);
    for (int one : {SIGTERM, SIGINT}) ::signal(one, on_interrupt);
    Record::get().open(std::string(argv[1]) + "/record.txt");
    folder = argv[2];
    const char* set = std::getenv("TROUBLE");
    trouble = !set || std::string(set) != "0";
    now_ms();
    RECORD("case: %s the disruption", trouble ? "with" : "without");
    std::thread([] {  // no case may run for longer than 120 s
      sleep_ms(110'000);
      finish(kCannotRun, "took too long");
    })
        .detach();
  }
  /// An interrupted case leaves no router behind.
  static void on_interrupt(int) {
    if (Router::running() && !Router::running()->ended) ::kill(Router::running()->pid, SIGKILL);
    ::_exit(kCannotRun);
  }
  std::string folder;
  bool trouble = true;
};

}  // namespace review
