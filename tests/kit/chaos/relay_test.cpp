#include "kit/chaos/relay.hpp"

#include <gtest/gtest.h>

#include "net/peer_transport.hpp"

namespace violetusher::chaos {
namespace {

class RelayTest : public testing::Test {
 protected:
  RelayTest()
      : loop_(clock_),
        io_(loop_.base()),
        to_(
            io_, {}, [this](const std::string& f, std::uint64_t) { heard_.push_back(f); },
            [this] { return ++draws_; }) {
    std::string error;
    EXPECT_TRUE(to_.listen(*net::parse_address("127.0.0.1:0", true), error)) << error;
    relay_ = std::make_unique<Relay>(loop_, "127.0.0.1:" + std::to_string(to_.port()), state_,
                                     [this] { return ++draws_; });
    from_ = std::make_unique<net::PeerTransport>(
        io_, std::map<std::string, std::string>{{"to", relay_->address()}},
        [](const std::string&, std::uint64_t) {}, [this] { return ++draws_; });
  }
  void run_for(Micros time) {
    loop_.at(loop_.now() + time, [this] { loop_.stop(); });
    loop_.run();
  }
  void send(const std::string& frame) {
    io_.update_time();
    from_->send("to", frame);
  }

  net::Clock clock_;
  kit::Loop loop_;
  net::SystemIo io_;
  std::uint64_t draws_ = 0;
  LinkState state_;
  std::vector<std::string> heard_;
  net::PeerTransport to_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<net::PeerTransport> from_;
};

TEST_F(RelayTest, CarriesCutsDelaysDoublesAndSpoils) {
  send("one");
  run_for(200'000);
  EXPECT_EQ(heard_, (std::vector<std::string>{"one"}));
  state_.cut = true;
  send("two");
  run_for(200'000);
  EXPECT_EQ(heard_.size(), 1u);
  state_ = {};
  state_.delay = 300'000;
  send("three");
  run_for(100'000);
  EXPECT_EQ(heard_.size(), 1u);
  run_for(600'000);
  EXPECT_EQ(heard_, (std::vector<std::string>{"one", "three"})) << "what was cut never comes";
  state_ = {};
  state_.shuffle = true;
  send("four");
  run_for(700'000);
  EXPECT_EQ(heard_.size(), 4u) << "twice";
  state_ = {};
  state_.spoil = true;
  for (int i = 0; i < 30; ++i) {
    send("five");
    run_for(30'000);
  }
  for (std::size_t i = 4; i < heard_.size(); ++i) EXPECT_EQ(heard_[i], "five") << "or nothing";
  EXPECT_LT(heard_.size(), 34u);
}

}  // namespace
}  // namespace violetusher::chaos
