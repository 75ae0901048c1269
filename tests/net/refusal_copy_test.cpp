// Refusals have no id and may come twice: a second copy is not taken for the refusal of a request
// that would run at another server then.
#include "core_fixture.hpp"

namespace violetusher::net::test {
namespace {

constexpr Micros kBeyondCopies = 60 * kMillisecond;
const std::string kRefusal = "SERVER_ERROR busy\r\n";

/// One connection to a server, and writes whose key is known to the servers of one cell alone.
struct RefusalCopies : ::testing::Test, CoreFixture {
  RefusalCopies() : CoreFixture({100, 1u << 20}, {}, 1) {
    config.settings.classes[1].group = violetusher::Group::Cell;
  }
  void send(RequestId id, const std::string& command) {
    receive(client(), command);
    ended();
    core.send({id, "s-0", 0});
    if (server == 0) {
      server = io.dialled.back();
      io.ready(server, Watch::kWritable);
    }
    flush();
  }
  /// How the attempts ended that the bytes answer.
  std::map<RequestId, Status> answer(const std::string& bytes) {
    io.ends[server].in += bytes;
    io.ready(server, Watch::kReadable);
    return ended();
  }
  std::map<RequestId, Status> ended() {
    std::map<RequestId, Status> ended;
    while (!feed.empty()) {
      ModuleEvent& event = feed.pop();
      auto* outcome = std::get_if<OutcomeEvent>(&event);
      if (!outcome) continue;
      ended[outcome->outcome.id] = outcome->outcome.status;
      core.on_event_delivered(outcome->outcome.id);
    }
    return ended;
  }

  int server = 0;
};

/// Guards against a copy that passes a write on its way: the server runs it.
TEST_F(RefusalCopies, OnesThatPassAWriteOnItsWayDoNotRefuseIt) {
  send(1, read_command("a"));
  send(2, write_command("put", "b", "1500"));
  auto ended = answer(kRefusal + kRefusal);
  EXPECT_EQ(ended[1], Status::Overloaded);
  EXPECT_EQ(ended[2], Status::Reset);
  EXPECT_FALSE(io.ends[server].open);
}

TEST_F(RefusalCopies, AWriteThatWaitedAtItsServerIsRefused) {
  send(1, read_command("a"));
  send(2, write_command("put", "b", "1500"));
  io.time += 10 * kMillisecond;
  auto ended = answer(kRefusal + kRefusal);
  EXPECT_EQ(ended[2], Status::Overloaded);
  EXPECT_TRUE(io.ends[server].open);
}

/// Guards against the refusal of a read, whose place a copy has taken, that refuses a write.
TEST_F(RefusalCopies, NoWriteIsSentAfterOneThatAReadMayHaveTakenForItsOwn) {
  send(1, read_command("a"));
  answer(kRefusal);
  send(2, read_command("b"));
  answer(kRefusal);
  io.time += kBeyondCopies;
  send(3, write_command("put", "c", "1500"));
  EXPECT_EQ(io.dialled.size(), 2u);
}

TEST_F(RefusalCopies, AnAnswerWithAnIdShowsThatNoRefusalIsOut) {
  send(1, read_command("a"));
  answer(kRefusal);
  send(2, read_command("b"));
  answer(kRefusal);
  send(3, read_command("c"));
  answer(value_for("mg k1 v Oc "));
  io.time += kBeyondCopies;
  send(4, write_command("put", "d", "1500"));
  EXPECT_EQ(io.dialled.size(), 1u);
}

/// A miss is no answer to a write, so that reads that miss keep no write waiting.
TEST_F(RefusalCopies, AMissKeepsNoWriteFromItsConnection) {
  send(1, read_command("a"));
  answer("EN\r\n");
  send(2, write_command("put", "b", "1500"));
  EXPECT_EQ(answer("EN\r\n")[2], Status::Reset);
}

}  // namespace
}  // namespace violetusher::net::test
