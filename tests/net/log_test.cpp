// The log must never block: a pipe whose reader has stalled or closed it only loses lines.
#include "net/log.hpp"

#include <fcntl.h>
#include <signal.h>

#include "net_support.hpp"

namespace violetusher::net::test {
namespace {

struct Pipe {
  Pipe() {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) std::abort();  // blocking, as a shell's pipes are
    out = Fd(ends[0]), in = Fd(ends[1]);
  }
  std::string read() {
    ::fcntl(out.get(), F_SETFL, O_NONBLOCK);
    std::string text;
    char bytes[65536];
    for (ssize_t got; (got = ::read(out.get(), bytes, sizeof bytes)) > 0;)
      text.append(bytes, static_cast<std::size_t>(got));
    return text;
  }
  Fd out, in;
};

TEST(Log, AFullPipeDropsLinesAndCountsThem) {
  Pipe pipe;
  DescriptorSink sink(pipe.in.get());
  Log log(sink);
  // Each event has its own rate limit; the pipe is full long before they apply.
  std::string text(3'000, 'x');
  for (int k = 0; k < 60; ++k)
    for (int n = 0; n < 5; ++n)
      log.write(k, Log::Level::kInfo, "e" + std::to_string(k), text);  // would hang if it blocked
  std::string first = pipe.read();
  EXPECT_GT(first.size(), 10'000u);
  EXPECT_EQ(first.back(), '\n');  // complete lines only
  log.write(1'000, Log::Level::kInfo, "late", "again");
  std::string then = pipe.read();
  EXPECT_NE(then.find(" lines could not be written"), then.npos) << then;
  EXPECT_NE(then.find("violetusher: again\n"), then.npos);
}

TEST(Log, AClosedPipeIsHarmless) {
  ::signal(SIGPIPE, SIG_IGN);  // as the daemon has it
  Pipe pipe;
  DescriptorSink sink(pipe.in.get());
  Log log(sink);
  pipe.out.reset();
  for (int k = 0; k < 10; ++k) log.write(k, Log::Level::kInfo, "e", "text");
}

TEST(Log, LevelsBelowTheMinimumAreNotLogged) {
  Pipe pipe;
  DescriptorSink sink(pipe.in.get());
  Log log(sink);
  log.set(core::log::Format::kText, Log::Level::kWarn);
  log.write(1, Log::Level::kInfo, "e", "no");
  log.write(1, Log::Level::kWarn, "e", "yes");
  EXPECT_EQ(pipe.read(), "violetusher: yes\n");
}

}  // namespace
}  // namespace violetusher::net::test
