// src/net and src/core use the clock, timers, randomness and sockets only through net/io.hpp, so
// that a simulated network can implement it. These tests search the sources for calls that bypass
// it.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <string>

namespace violetusher::net {
namespace {

namespace fs = std::filesystem;

/// Files that implement the interface, or access files and descriptors.
const std::set<std::string> kImplementationFiles = {"net/system_io.hpp", "net/system_io.cpp",
                                                    "net/flight_file.cpp", "net/log_sink.cpp",
                                                    "net/file_io.cpp"};

std::string find_bypass(const std::string& line) {
  // In parts, since a raw string can't be wrapped.
  static const std::string kPattern =
      std::string(R"((^|[^\w>])::(socket|connect|accept4?|bind|listen|recv|recvmsg|send)\s*\()") +
      R"(|(^|[^\w>])::(sendmsg|read|write|close|poll|shutdown|setsockopt|getsockopt)\s*\()" +
      R"(|(^|[^\w>])::(clock_gettime|gettimeofday)\s*\()" +
      R"(|_clock::now|random_device|\brand\(|usleep|nanosleep|sleep_for|std::thread)" +
      R"(|event2/|\bevent_)";
  static const std::regex kCall(kPattern);
  std::smatch found;
  return std::regex_search(line, found, kCall) ? found.str() : std::string();
}

TEST(IoInterface, IsNotBypassed) {
  int files = 0;
  for (const char* folder : {"net", "core", "protocol", "policy"})
    for (const auto& entry :
         fs::recursive_directory_iterator(fs::path(VIOLETUSHER_SOURCES) / folder)) {
      if (!entry.is_regular_file()) continue;
      std::string name = fs::relative(entry.path(), VIOLETUSHER_SOURCES);
      if (kImplementationFiles.count(name)) continue;
      ++files;
      std::ifstream file(entry.path());
      std::string line;
      for (int number = 1; std::getline(file, line); ++number) {
        line = line.substr(0, line.find("//"));
        EXPECT_EQ(find_bypass(line), "") << name << ":" << number << ": " << line;
      }
    }
  EXPECT_GT(files, 40);
}

TEST(IoInterface, TheSearchFindsBypasses) {
  for (const char* line :
       {"  int fd = ::socket(AF_INET, 0, 0);", "auto t = std::chrono::steady_clock::now();",
        "std::random_device d;", "  event_add(e, nullptr);", "#include <event2/http.h>"})
    EXPECT_NE(find_bypass(line), "") << line;
  EXPECT_EQ(find_bypass("  io_.connect(address); p_.io.now(); servers_.send(a);"), "");
}

}  // namespace
}  // namespace violetusher::net
