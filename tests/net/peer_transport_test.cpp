// The transport between routers, on real sockets in one event loop.
#include "net/peer_transport.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "net/system_io.hpp"

namespace violetusher::net {
namespace {

class PeerTransportTest : public testing::Test {
 protected:
  PeerTransportTest() : base_(event_base_new()), io_(base_.get()) {}
  std::unique_ptr<PeerTransport> make(const std::string& to, std::vector<std::string>& received) {
    auto peers = std::make_unique<PeerTransport>(
        io_, std::map<std::string, std::string>{{"other", to}},
        [&received](const std::string& frame, std::uint64_t) { received.push_back(frame); },
        [this] { return ++draws_; });
    std::string error;
    EXPECT_TRUE(peers->listen(*parse_address("127.0.0.1:0", true), error)) << error;
    return peers;
  }
  static std::string address(const PeerTransport& peers) {
    return "127.0.0.1:" + std::to_string(peers.port());
  }
  template <typename F>
  bool run_until(F&& done) {
    io_.update_time();
    for (Micros end = io_.now() + 10 * kSecond; !done(); io_.update_time()) {
      if (io_.now() > end) return false;
      io_.run_once();
    }
    return true;
  }

  EventBasePtr base_;
  SystemIo io_;
  std::uint64_t draws_ = 0;
  std::vector<std::string> received_a_, received_b_;
};

TEST_F(PeerTransportTest, FramesOfAnySizeArriveCompleteAndInOrder) {
  auto b = make("", received_b_);
  auto a = make(address(*b), received_a_);
  std::string large(3u << 20, 'x');
  a->send("other", "one");
  a->send("other", "");
  a->send("nobody", "lost");
  ASSERT_TRUE(run_until([&] { return received_b_.size() == 2; }));
  a->send("other", large);
  a->send("other", "last");
  ASSERT_TRUE(run_until([&] { return received_b_.size() == 4; }));
  EXPECT_EQ(received_b_, (std::vector<std::string>{"one", "", large, "last"}));
  EXPECT_TRUE(received_a_.empty());
}

TEST_F(PeerTransportTest, ReconnectsToARestartedPeer) {
  auto b = make("", received_b_);
  auto a = make(address(*b), received_a_);
  a->send("other", "one");
  ASSERT_TRUE(run_until([&] { return received_b_.size() == 1; }));
  sockaddr_in where = *parse_address(address(*b));
  b.reset();
  // Without a listener, frames are dropped and nothing accumulates.
  std::unique_ptr<Alarm> again = io_.alarm([&] {
    a->send("other", "again");
    again->set(20 * kMillisecond);
  });
  again->set(0);
  io_.update_time();
  Micros stopped_at = io_.now();
  ASSERT_TRUE(run_until([&] { return io_.now() > stopped_at + kSecond / 2; }));
  b = std::make_unique<PeerTransport>(
      io_, std::map<std::string, std::string>(),
      [&](const std::string& frame, std::uint64_t) { received_b_.push_back(frame); },
      [this] { return ++draws_; });
  std::string error;
  ASSERT_TRUE(b->listen(where, error)) << error;
  EXPECT_TRUE(run_until([&] { return received_b_.size() > 3; }));
}

TEST_F(PeerTransportTest, InvalidFramesCloseOnlyTheirConnection) {
  auto b = make("", received_b_);
  auto a = make(address(*b), received_a_);
  sockaddr_in to = *parse_address(address(*b));
  std::string corrupt = PeerTransport::encode_frame("spoilt");
  corrupt.back() = 'T';
  for (const std::string& bytes : {std::string(64, '\xff'), corrupt}) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ASSERT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    ASSERT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    ASSERT_TRUE(run_until([&] { return b->inbound_connections() > 0; }));
    ASSERT_TRUE(run_until([&] { return b->inbound_connections() == 0; }));
  }
  a->send("other", "good");
  ASSERT_TRUE(run_until([&] { return received_b_.size() == 1; }));
  EXPECT_EQ(received_b_[0], "good");
}

TEST_F(PeerTransportTest, FramesAreReassembledFromSingleBytes) {
  std::string bytes = PeerTransport::encode_frame("first") + PeerTransport::encode_frame("second"),
              in, frame;
  std::vector<std::string> frames;
  for (char c : bytes) {
    in.push_back(c);
    while (PeerTransport::decode_frame(in, frame) == 1) frames.push_back(frame);
  }
  EXPECT_EQ(frames, (std::vector<std::string>{"first", "second"}));
}

}  // namespace
}  // namespace violetusher::net
