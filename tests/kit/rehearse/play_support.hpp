// Test support: plays days with the kit's program, as a user does, and reads its result.
#pragma once

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace violetusher::rehearse::test {

using Json = nlohmann::json;
namespace fs = std::filesystem;

/// A temporary folder that is removed at the end of the test.
class Folder {
 public:
  Folder() {
    std::string name = ::testing::TempDir() + "/rehearse-XXXXXX";
    if (!::mkdtemp(name.data())) std::abort();
    path_ = name;
  }
  ~Folder() { fs::remove_all(path_); }
  std::string file(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
    return path_ / name;
  }
  std::string path(const std::string& name) const { return path_ / name; }

 private:
  fs::path path_;
};

inline std::string contents(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// A run of the kit's program. Standard output and error go to files of `folder`.
class KitRun {
 public:
  KitRun(const Folder& folder, std::vector<std::string> arguments,
         const std::string& saboteur = "honest")
      : out_(folder.path("out")), err_(folder.path("err")) {
    pid_ = ::fork();
    if (pid_ == 0) {
      ::setenv("SABOTEUR", saboteur.c_str(), 1);
      if (!std::freopen(out_.c_str(), "w", stdout) || !std::freopen(err_.c_str(), "w", stderr))
        ::_exit(126);
      std::vector<char*> argv{const_cast<char*>(VIOLETUSHER_KIT)};
      for (auto& a : arguments) argv.push_back(a.data());
      argv.push_back(nullptr);
      ::execv(VIOLETUSHER_KIT, argv.data());
      ::_exit(127);
    }
  }
  ~KitRun() {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
  }
  int pid() const { return pid_; }
  /// The exit code; -1 if a signal ended the process.
  int wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::string out() const { return contents(out_); }
  std::string err() const { return contents(err_); }

 private:
  std::string out_, err_;
  int pid_ = -1;
};

struct PlayResult {
  int code = -1;
  Json json;
  std::string text, log;
};

/// Plays `day`, the text of a day file.
inline PlayResult play_day(const std::string& day, const std::string& router,
                           const std::string& saboteur = "honest", const std::string& seed = "") {
  Folder folder;
  std::vector<std::string> arguments{
      "rehearse", folder.file("day.toml", day), "--quiet", "--router",        router,
      "--json",   folder.path("result.json"),   "--log",   folder.path("log")};
  if (!seed.empty()) arguments.insert(arguments.end(), {"--seed", seed});
  KitRun run(folder, arguments, saboteur);
  PlayResult result;
  result.code = run.wait();
  result.text = run.out() + run.err();
  std::string json = contents(folder.path("result.json"));
  if (!json.empty()) result.json = Json::parse(json);
  result.log = contents(folder.path("log"));
  return result;
}

/// Wide bounds on the delays of the rig, as tests run beside other tests.
inline const char* const kWideRig = "[rig]\nlate_p99 = \"50ms\"\nlate_worst = \"2s\"\n";

}  // namespace violetusher::rehearse::test
