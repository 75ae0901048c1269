// What the cases 6 to 10 share: a record, a router started by the deploy file's `run`, a discovery,
// cache servers and clients, all on loopback and in one process. Header only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
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
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline Clock::time_point& origin() {
  static Clock::time_point at = Clock::now();
  return at;
}
/// Milliseconds since the start of the case.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(Clock::now() - origin()).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }

// ---- record and exit codes ----
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline std::FILE*& record_file() {
  static std::FILE* file = nullptr;
  return file;
}
inline void record(const char* format, ...) {
  static std::mutex mutex;
  std::lock_guard<std::mutex> lock(mutex);
  std::FILE* to = record_file() ? record_file() : stderr;
  std::fprintf(to, "%10.1f ", now_ms());
  va_list args;
  va_start(args, format);
  std::vfprintf(to, format, args);
  va_end(args);
  std::fputc('\n', to);
  std::fflush(to);
}

inline std::vector<pid_t>& children() {
  static std::vector<pid_t> all;
  return all;
}
inline std::string& folder() {
  static std::string path;
  return path;
}
/// Ends what was started, removes the temporary folder, and exits.
[[noreturn]] inline void finish(int code, const std::string& why) {
  record("verdict: %s: %s",
         code == kHeld     ? "held"
         : code == kBroken ? "BROKEN"
                           : "could not run",
         why.c_str());
  std::printf("%s: %s\n",
              code == kHeld     ? "held"
              : code == kBroken ? "BROKEN"
                                : "could not run",
              why.c_str());
  for (pid_t pid : children()) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  if (!folder().empty())
    if (std::system(("rm -rf '" + folder() + "'").c_str()) != 0) record("folder is left behind");
  std::fflush(nullptr);
  std::_Exit(code);
}

inline bool trouble() {
  const char* set = std::getenv("TROUBLE");
  return !set || std::string(set) != "0";
}

/// Opens the record, makes the temporary folder and bounds the run. Run from the repository's root.
inline void begin(const char* record_path) {
  origin();
  record_file() = std::fopen(record_path, "w");
  ::signal(SIGPIPE, SIG_IGN);
  const char* tmp = std::getenv("TMPDIR");
  std::string path = std::string(tmp && *tmp ? tmp : "/tmp") + "/review-2-XXXXXX";
  if (!::mkdtemp(path.data())) finish(kCouldNotRun, "no temporary folder");
  folder() = path;
  std::thread([] {
    sleep_ms(110'000);
    finish(kCouldNotRun, "took over 110 s");
  }).detach();
  record("trouble: %d", trouble());
}

// ---- sockets ----
inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
/// A listener at a free port of loopback.
inline int listener() {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0)
    finish(kCouldNotRun, "no free port");
  return fd;
}
/// A port that was free a moment ago.
inline int free_port() {
  int fd = listener();
  int port = port_of(fd);
  ::close(fd);
  return port;
}
inline bool send_all(int fd, const std::string& text) {
  for (std::size_t at = 0; at < text.size();) {
    ssize_t sent = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

/// A connection of a client.
class Client {
 public:
  Client() = default;
  explicit Client(int port) { connect(port); }
  ~Client() { close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  bool connect(int port) {
    close();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return true;
    close();
    return false;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    buffer_.clear();
    ended_.clear();
  }
  bool send(const std::string& text) { return fd_ >= 0 && send_all(fd_, text); }
  /// The next line without its end; nothing at `until` or at the end of the connection.
  std::optional<std::string> line(double until) {
    while (true) {
      std::size_t end = buffer_.find("\r\n");
      if (end != buffer_.npos) {
        std::string text = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return text;
      }
      if (!more(until)) return std::nullopt;
    }
  }
  /// Exactly `size` bytes.
  std::optional<std::string> bytes(std::size_t size, double until) {
    while (buffer_.size() < size)
      if (!more(until)) return std::nullopt;
    std::string text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return text;
  }
  /// One answer: its line, and the value behind a `VA`. Nothing if it did not come whole.
  std::optional<std::string> answer(double until) {
    auto head = line(until);
    if (!head || head->rfind("VA ", 0) != 0) return head;
    auto value = bytes(std::strtoul(head->c_str() + 3, nullptr, 10) + 2, until);
    if (!value) return std::nullopt;
    return head;
  }
  /// "" while it is open; else how it ended.
  const std::string& ended() const { return ended_; }
  std::size_t buffered() const { return buffer_.size(); }
  int fd() const { return fd_; }

 private:
  bool more(double until) {
    if (fd_ < 0 || !ended_.empty()) return false;
    double left = until - now_ms();
    if (left < 0) left = 0;
    pollfd one{fd_, POLLIN, 0};
    if (::poll(&one, 1, static_cast<int>(left) + 1) <= 0) return now_ms() < until;
    char bytes[65536];
    ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) {
      ended_ = got == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  int fd_ = -1;
  std::string buffer_, ended_;
};

// ---- discovery ----
struct Host {
  std::string id;
  int port = 0;
  int block = 0;
  std::string health = "active";
  long long born_ms = 0;
  std::string site = "bole";
};
inline std::string list_json(int seq, const std::vector<Host>& hosts) {
  std::ostringstream out;
  out << "{\"seq\":" << seq << ",\"whole\":true,\"hosts\":[";
  for (std::size_t k = 0; k < hosts.size(); ++k)
    out << (k ? "," : "") << "{\"host\":\"" << hosts[k].id << "\",\"dial\":\"127.0.0.1:"
        << hosts[k].port << "\",\"site\":\"" << hosts[k].site
        << "\",\"class\":\"std-4c\",\"block\":" << hosts[k].block << ",\"health\":\""
        << hosts[k].health << "\",\"share\":1.0,\"born_ms\":" << hosts[k].born_ms << "}";
  out << "]}";
  return out.str();
}

/// Answers each call with the whole list, a watch when there is something newer or its wait is over.
class Discovery {
 public:
  explicit Discovery(std::vector<Host> hosts) : hosts_(std::move(hosts)), fd_(listener()) {
    port_ = port_of(fd_);
    std::thread([this] {
      while (true) {
        int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  void set(std::vector<Host> hosts) {
    std::lock_guard<std::mutex> lock(mutex_);
    hosts_ = std::move(hosts);
    ++seq_;
  }
  std::string list() {
    std::lock_guard<std::mutex> lock(mutex_);
    return list_json(seq_, hosts_);
  }

 private:
  int seq() {
    std::lock_guard<std::mutex> lock(mutex_);
    return seq_;
  }
  void serve(int fd) {
    std::string in;
    char bytes[4096];
    while (true) {
      std::size_t end = in.find("\r\n\r\n");
      if (end == in.npos) {
        ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) break;
        in.append(bytes, static_cast<std::size_t>(got));
        continue;
      }
      std::string head = in.substr(0, end);
      in.erase(0, end + 4);
      std::size_t index = head.find("index="), wait = head.find("wait=");
      if (index != head.npos) {
        int known = std::atoi(head.c_str() + index + 6);
        double until = now_ms() + (wait == head.npos ? 0 : std::atof(head.c_str() + wait + 5));
        while (seq() <= known && now_ms() < until) sleep_ms(10);
        if (seq() <= known) {
          std::string body =
              "{\"seq\":" + std::to_string(known) + ",\"whole\":false,\"hosts\":[]}";
          if (!reply(fd, body)) break;
          continue;
        }
      }
      if (!reply(fd, list())) break;
    }
    ::close(fd);
  }
  bool reply(int fd, const std::string& body) {
    return send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  std::mutex mutex_;
  std::vector<Host> hosts_;
  int seq_ = 1, fd_, port_ = 0;
};

// ---- cache servers ----
struct Command {
  bool set = false;
  std::string key, id, k, type, line;
  double received = 0;  // when its last byte had come
};
inline std::string field(const std::string& line, const std::string& name) {
  std::size_t pairs = line.find(" P");
  if (pairs == line.npos) return {};
  std::istringstream in(line.substr(pairs + 2));
  std::string word, pair;
  in >> word;
  std::istringstream list(word);
  while (std::getline(list, pair, ','))
    if (pair.rfind(name + "=", 0) == 0) return pair.substr(name.size() + 1);
  return {};
}
/// Takes one whole command from `in`.
inline bool take_command(std::string& in, Command& command) {
  std::size_t end = in.find("\r\n");
  if (end == in.npos) return false;
  std::string line = in.substr(0, end);
  std::istringstream words(line);
  std::string verb, word;
  words >> verb;
  command = Command();
  command.line = line;
  command.set = verb == "ms";
  words >> command.key;
  std::size_t size = end + 2;
  if (command.set) {
    std::size_t length = 0;
    words >> length;
    size += length + 2;
    if (in.size() < size) return false;
  }
  while (words >> word)
    if (word[0] == 'O') command.id = word.substr(1);
  command.k = field(line, "k");
  command.type = field(line, "c");
  in.erase(0, size);
  command.received = now_ms();
  return true;
}

/// Begins each command when its last byte has come and answers in order. How long it works and what
/// it says is up to `work`; `run` is told when a command has been carried out, also where nobody
/// waits for its answer any more.
class CacheServer {
 public:
  struct Plan {
    double work_ms = 0;       // negative: never answered
    std::string answer;       // its bytes
    bool runs = true;         // false: turned away, never run
    double copy_after_ms = 0; // over 0: the same answer once more, this much later
    std::size_t cut_at = 0;   // over 0: a reset after so many bytes of the answer
    bool reset = false;       // it runs, then the connection is reset with no answer
  };
  using Work = std::function<Plan(const Command&)>;
  using Ran = std::function<void(const Command&)>;

  CacheServer(std::string name, Work work, Ran ran)
      : name_(std::move(name)), work_(std::move(work)), ran_(std::move(ran)), fd_(listener()) {
    port_ = port_of(fd_);
    std::thread([this] {
      while (true) {
        int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  const std::string& name() const { return name_; }
  /// One way of the network between router and cache server: what a copy can't know of yet.
  double one_way_ms = 0;
  /// Leaves what it takes and answers out of the record.
  bool quiet = false;
  /// Told of each head whose value has not come yet; it reads nothing for so many milliseconds.
  std::function<double(const std::string& head)> pause;
  /// Keeps the system from taking more than a little of a request that is not read.
  void take_little() {
    int size = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  }

 private:
  struct Entry {
    Command command;
    Plan plan;
    double done_at = 0;
    bool ran = false;
  };
  void serve(int fd) {
    std::deque<Entry> entries;
    std::string in, copy;
    double copy_at = 0, read_again_at = 0;
    bool paused = false;
    char bytes[65536];
    bool open = true;
    while (open || !entries.empty()) {
      double now = now_ms();
      if (copy_at > 0 && now >= copy_at) {
        // Only while nothing else waits on the connection, as far as the server can have seen.
        bool waits = !entries.empty() && entries.front().command.received <= now - one_way_ms;
        if (!waits && open) {
          if (!quiet) record("%s copy of the last answer: %s", name_.c_str(),
                 copy.substr(0, copy.find('\r')).c_str());
          send_all(fd, copy);
        }
        copy_at = 0;
      }
      for (Entry& e : entries)
        if (!e.ran && e.plan.runs && e.plan.work_ms >= 0 && now >= e.done_at) {
          e.ran = true;
          if (!quiet) record("%s ran %s", name_.c_str(), e.command.line.c_str());
          if (ran_) ran_(e.command);
        }
      while (!entries.empty() && entries.front().plan.work_ms >= 0 &&
             now >= entries.front().done_at) {
        Entry e = std::move(entries.front());
        entries.pop_front();
        if (!open) continue;
        if (e.plan.reset) {
          if (!quiet) record("%s resets the connection under O%s", name_.c_str(), e.command.id.c_str());
          linger at_once{1, 0};
          ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
          open = false;
          break;
        }
        if (!quiet) record("%s answers O%s: %s", name_.c_str(), e.command.id.c_str(),
               e.plan.answer.substr(0, e.plan.answer.find('\r')).c_str());
        if (e.plan.cut_at > 0) {
          send_all(fd, e.plan.answer.substr(0, e.plan.cut_at));
          sleep_ms(100);
          if (!quiet) record("%s resets the connection within the answer to O%s", name_.c_str(),
                 e.command.id.c_str());
          linger at_once{1, 0};
          ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
          open = false;
          break;
        }
        open = send_all(fd, e.plan.answer);
        if (e.plan.copy_after_ms > 0 && entries.empty()) {
          copy = e.plan.answer;
          copy_at = now_ms() + e.plan.copy_after_ms;
        }
      }
      if (!open) {
        std::erase_if(entries, [](const Entry& e) { return e.ran || e.plan.work_ms < 0; });
        if (entries.empty()) break;
        sleep_ms(1);
        continue;
      }
      double next = now_ms() + 1000;
      for (const Entry& e : entries)
        if (e.plan.work_ms >= 0 && (!e.ran || &e == &entries.front()))
          next = std::min(next, e.done_at);
      if (copy_at > 0) next = std::min(next, copy_at);
      if (read_again_at > now_ms()) next = std::min(next, read_again_at);
      timespec wait{};
      double left = std::max(0.0, next - now_ms());
      wait.tv_sec = static_cast<time_t>(left / 1000);
      wait.tv_nsec = static_cast<long>((left - static_cast<double>(wait.tv_sec) * 1000) * 1e6);
      bool reads = now_ms() >= read_again_at;
      pollfd one{fd, static_cast<short>(reads ? POLLIN : 0), 0};
      if (::ppoll(&one, 1, &wait, nullptr) <= 0 || !reads) continue;
      ssize_t got = ::recv(fd, bytes, pause ? 4096 : sizeof bytes, 0);
      if (got <= 0) {
        open = false;
        continue;
      }
      in.append(bytes, static_cast<std::size_t>(got));
      std::size_t head = in.find("\r\n");
      if (pause && !paused && head != in.npos) {
        double ms = pause(in.substr(0, head));
        paused = true;
        if (ms > 0) {
          if (!quiet) record("%s reads nothing for %.0f ms within %s", name_.c_str(), ms,
                 in.substr(0, head).c_str());
          read_again_at = now_ms() + ms;
          continue;
        }
      }
      Command command;
      while (take_command(in, command)) {
        if (!quiet) record("%s takes %s", name_.c_str(), command.line.c_str());
        paused = false;
        Entry e{command, work_(command), 0, false};
        e.done_at = command.received + std::max(0.0, e.plan.work_ms);
        entries.push_back(std::move(e));
      }
    }
    ::close(fd);
  }
  std::string name_;
  Work work_;
  Ran ran_;
  int fd_, port_ = 0;
};

// ---- routers ----
struct Settings {
  std::string name = "n1";
  int listen = 0, discovery = 0;
  std::string known;
  std::string classes;           // JSON objects
  std::string more_limits;       // of settings.Limits, with a comma in front
  int memory_mb = 64, balancers = 1;
};
constexpr const char* kLookup =
    R"({"Name":"price-lookup","Effect":"repeatable","ObjectiveUs":150000,"DeadlineUs":600000,"Worth":3,"LateWorth":0.25})";

inline std::string config_json(const Settings& s) {
  std::ostringstream out;
  out << "{\"name\":\"" << s.name << "\",\"listen\":\"127.0.0.1:" << s.listen
      << "\",\"discovery\":\"127.0.0.1:" << s.discovery
      << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << s.memory_mb
      << ",\"sockets\":512},\"known\":" << s.known << ",\"settings\":{\"Balancers\":" << s.balancers
      << ",\"Me\":0,\"Az\":\"bole\",\"FailureDomains\":[\"bole\"],\"Family\":\"cache\","
         "\"Domain\":{\"Mode\":\"through\"},\"MembershipMode\":\"subscribe\",\"Classes\":["
      << s.classes
      << "],\"Tenants\":[{\"Name\":\"selam-stores\",\"Portion\":0.56,\"QuotaPerS\":1000},"
         "{\"Name\":\"koket-express\",\"Portion\":0.44,\"QuotaPerS\":1000}],"
         "\"Report\":{\"How\":\"inline\",\"Fields\":[\"load_share\",\"mean_ms\",\"x0\"]},"
         "\"Limits\":{\"MaxAttempts\":5,\"MayCancel\":true,\"StreamsPerConn\":32,"
         "\"DialTimeoutUs\":75000,\"KeepaliveUs\":15000000,\"MaxOpen\":100000"
      << s.more_limits
      << "},\"Rules\":{\"AnswerSlackUs\":8000,\"AskWithinUs\":10000000,\"DrainGraceUs\":500000,"
         "\"ColdShare\":0.3,\"ColdUs\":8100000,\"OverloadFactor\":4.0,\"TipAfterUs\":1500000},"
         "\"TickUs\":2000,\"ValueBy\":\"work\",\"Weights\":\"nominal\"}}";
  return out.str();
}

/// The value of a key of the deploy file.
inline std::string deploy_key(const std::string& name) {
  std::ifstream in("deploy/balancer.toml");
  for (std::string line; std::getline(in, line);)
    if (line.rfind(name + " ", 0) == 0) {
      std::size_t from = line.find('"');
      std::size_t to = line.find('"', from + 1);
      if (to != line.npos) return line.substr(from + 1, to - from - 1);
    }
  finish(kCouldNotRun, "deploy/balancer.toml lacks " + name);
}

class Router {
 public:
  /// Starts the program by the deploy file's `run`.
  Router(const std::string& name, const std::string& config,
         const std::map<std::string, std::string>& environment = {}) {
    std::string file = folder() + "/" + name + ".json";
    std::ofstream(file) << config;
    std::string run = deploy_key("run"), log = folder() + "/" + name + ".log";
    std::string tmp = folder() + "/" + name + ".tmp";
    ::mkdir(tmp.c_str(), 0700);
    std::map<std::string, std::string> all{{"NODE_CONFIG", file}, {"TMPDIR", tmp}};
    for (const auto& [key, value] : environment) all[key] = value;
    std::vector<std::string> texts;
    for (const auto& [key, value] : all) texts.push_back(key + "=" + value);
    if (const char* path = std::getenv("PATH")) texts.push_back(std::string("PATH=") + path);
    std::vector<char*> env;
    for (std::string& text : texts) env.push_back(text.data());
    env.push_back(nullptr);
    std::string shell = "/bin/sh", flag = "-c";
    char* args[] = {shell.data(), flag.data(), run.data(), nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execve(shell.c_str(), args, env.data());
      ::_exit(127);
    }
    if (pid_ < 0) finish(kCouldNotRun, "can't start the router");
    children().push_back(pid_);
    record("router %s: pid %d, %s", name.c_str(), pid_, run.c_str());
    log_ = log;
  }
  /// Waits until it answers `mn`.
  void wait_ready(int port) {
    for (double until = now_ms() + 20'000; now_ms() < until; sleep_ms(20)) {
      Client client;
      if (!client.connect(port) || !client.send("mn\r\n")) continue;
      auto line = client.line(now_ms() + 500);
      if (line && *line == "MN") return;
    }
    finish(kCouldNotRun, "the router is not ready");
  }
  void signal(int number) {
    ::kill(pid_, number);
    record("router: signal %s", ::strsignal(number));
  }
  /// Whether it has ended by now; its status is recorded.
  bool has_ended() {
    if (ended_) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    ended_ = true;
    std::erase(children(), pid_);
    if (WIFEXITED(status))
      record("router ended with code %d", WEXITSTATUS(status));
    else
      record("router ended by signal %d", WTERMSIG(status));
    return true;
  }
  pid_t pid() const { return pid_; }
  void record_log() const {
    std::ifstream in(log_);
    for (std::string line; std::getline(in, line);) record("log: %s", line.c_str());
  }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  std::string log_;
};

}  // namespace rig
