// The daemon's flight recorder: a recording survives SIGKILL, a copy is made on request, and
// without an operator file there is no recording.
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "../net/net_support.hpp"
#include "core/flight/timeline.hpp"

namespace violetusher::net::test {
namespace {

namespace fs = std::filesystem;

class Daemon {
 public:
  Daemon(const LineServer& cache, bool recorded) {
    std::string name = ::testing::TempDir() + "/flight-XXXXXX";
    if (!::mkdtemp(name.data())) std::abort();
    directory_ = name;
    std::ofstream(directory_ / "config") << config_text({.dials = {cache.address()}});
    std::ofstream(directory_ / "operator")
        << "version 1;\nrecorder main { file = \"" << path() << "\"; size = 1MiB; }\n";
    start(recorded);
  }
  ~Daemon() {
    stop_with(SIGKILL);
    fs::remove_all(directory_);
  }
  void start(bool recorded) {
    int out[2];
    if (::pipe(out) != 0) std::abort();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(out[1], 2);
      ::setenv("NODE_CONFIG", (directory_ / "config").c_str(), 1);
      std::string file = directory_ / "operator";
      if (recorded)
        ::execl(VIOLETUSHER_PROGRAM, "violetusher", "--operator", file.c_str(), nullptr);
      else
        ::execl(VIOLETUSHER_PROGRAM, "violetusher", nullptr);
      ::_exit(127);
    }
    ::close(out[1]);
    log_ = Fd(out[0]);
    std::string text = read_log_until("listens on");
    port_ = static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)));
  }
  /// Reads the log up to and including a line that contains `words`.
  std::string read_log_until(const std::string& words) {
    std::string text;
    char byte;
    while (::read(log_.get(), &byte, 1) == 1) {
      text += byte;
      if (byte == '\n' && text.find(words) != text.npos) return text;
    }
    ADD_FAILURE() << "never said '" << words << "': " << text;
    return text;
  }
  void stop_with(int signal) {
    if (pid_ <= 0) return;
    ::kill(pid_, signal);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  std::string path() const { return directory_ / "recording"; }
  std::uint16_t port() const { return port_; }
  int pid() const { return pid_; }

 private:
  fs::path directory_;
  Fd log_;
  int pid_ = -1;
  std::uint16_t port_ = 0;
};

std::vector<core::flight::Timeline> read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(file)), {});
  core::flight::Recording recording;
  std::string error;
  EXPECT_TRUE(core::flight::read_recording(std::as_bytes(std::span(bytes)), recording, error))
      << error;
  EXPECT_TRUE(recording.problems.empty());
  return core::flight::timelines(recording);
}

void ask(std::uint16_t port, const std::string& id) {
  Client client(port);
  client.send(read_command(id));
  EXPECT_EQ(client.line(), "VA 5 O" + id);
}

TEST(DaemonRecording, SurvivesSigkillAndTheNextStart) {
  LineServer cache(good_cache);
  Daemon daemon(cache, true);
  for (int k = 0; k < 20; ++k) ask(daemon.port(), "a" + std::to_string(k));
  daemon.stop_with(SIGKILL);
  auto lines = read(daemon.path());
  ASSERT_EQ(lines.size(), 20u);
  for (const auto& line : lines) {
    EXPECT_TRUE(line.whole);
    EXPECT_EQ(line.end, core::flight::Kind::kAnswered);
    ASSERT_EQ(line.attempts.size(), 1u);
    EXPECT_EQ(line.attempts[0].server, "s-0");
    EXPECT_EQ(line.parts().total(), line.took());
  }
  EXPECT_EQ(lines[7].id, "a7");
  daemon.start(true);
  EXPECT_EQ(read(daemon.path() + ".before").size(), 20u);
  EXPECT_EQ(read(daemon.path()).size(), 0u);
}

TEST(DaemonRecording, IsCopiedOnRequest) {
  LineServer cache(good_cache);
  Daemon daemon(cache, true);
  ask(daemon.port(), "a1");
  ::kill(daemon.pid(), SIGUSR2);
  daemon.read_log_until("a copy was put beside the recording");
  ask(daemon.port(), "a2");
  EXPECT_EQ(read(daemon.path() + ".asked-1").size(), 1u);
}

TEST(DaemonRecording, WithoutAnOperatorFileTheCopySignalIsHarmless) {
  LineServer cache(good_cache);
  Daemon daemon(cache, false);
  ::kill(daemon.pid(), SIGUSR2);
  daemon.read_log_until("nothing is recorded");
  ask(daemon.port(), "a1");
  EXPECT_FALSE(fs::exists(daemon.path()));
}

/// The platform limits descriptors and memory: no more may be open than the event loop and the
/// listener need.
TEST(Footprint, WithoutAnOperatorFileOnlyTheLoopAndTheListenerAreOpen) {
  LineServer cache(good_cache);
  auto links = [](const std::string& of) {
    std::vector<std::string> all;
    for (const auto& entry : fs::directory_iterator("/proc/" + of + "/fd")) {
      std::error_code error;
      all.push_back(fs::read_symlink(entry.path(), error));
    }
    return all;
  };
  Daemon daemon(cache, false);
  auto ours = links("self");  // inherited by the daemon
  std::string process = "/proc/" + std::to_string(daemon.pid());
  int sockets = 0, loops = 0;
  for (const std::string& what : links(std::to_string(daemon.pid()))) {
    if (std::find(ours.begin(), ours.end(), what) != ours.end() && what.find("anon") == what.npos)
      continue;
    sockets += what.rfind("socket:", 0) == 0;
    loops += what.find("[eventpoll]") != what.npos;
  }
  EXPECT_EQ(loops, 1);
  EXPECT_LE(sockets, 5);  // the listener, two for signals, a possible discovery call
#if !defined(__SANITIZE_ADDRESS__)
  for (int k = 0; k < 50; ++k) ask(daemon.port(), "a" + std::to_string(k));
  std::ifstream status(process + "/status");
  std::string word;
  long resident = 0;
  while (status >> word)
    if (word == "VmRSS:") status >> resident;
  EXPECT_GT(resident, 0);
  EXPECT_LT(resident, 12 * 1024) << "KiB; the platform allows 32 MiB";
#endif
}

}  // namespace
}  // namespace violetusher::net::test
