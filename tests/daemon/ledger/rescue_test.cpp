// Rescue after the permanent loss of a majority: the remaining disk forms a new group, and the old
// members can't continue the old one. Nodes run in one process on simulated time.
#include "daemon/ledger/rescue.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>

#include "daemon/ledger/node.hpp"

namespace violetusher::ledger {
namespace {

class Memory final : public Storage {
 public:
  LoadResult load(Image& image, std::string& error) override {
    image = this->image;
    error = image_error(image);
    return error.empty() ? LoadResult::kOk : LoadResult::kCorrupt;
  }
  bool commit(const std::vector<Op>& ops) override {
    apply_ops(image, ops);
    return true;
  }
  std::string fingerprint() override { return "made " + std::to_string(made); }
  bool quarantine() override {
    image = Image();
    ++made;
    return true;
  }
  Image image;
  int made = 1;
};

struct Group {
  struct One final : Node::Environment {
    Group* group = nullptr;
    std::string name;
    Memory disk;
    std::unique_ptr<Node> node;
    Micros now() override { return group->now; }
    std::uint64_t random() override { return ++group->draws * 0x9e3779b97f4a7c15ull; }
    void send(const std::string& to, std::string frame) override {
      group->wire.emplace_back(to, std::move(frame));
    }
    void reply(std::uint64_t, std::string) override {}
    void on_view(const View&) override {}
    void log_event(const std::string&, const std::string&) override {}
    void start() {
      NodeSettings s;
      s.fleet = "fleet";
      s.name = name;
      s.zone = "h" + name;
      for (const auto& [other, one] : group->all)
        if (other != name) s.peers[other] = "h" + other;
      s.may_vote = true;
      s.timing.trust_after = 2'000'000;
      s.timing.snapshot_entries = 8;
      s.timing.snapshot_trailing = 4;
      node = std::make_unique<Node>(disk, s, *this);
    }
  };
  Group() {
    for (const char* name : {"r1", "r2", "r3"}) {
      all[name].group = this;
      all[name].name = name;
    }
  }
  void run(Micros time) {
    for (Micros end = now + time; now < end; now += 10'000) {
      for (auto& [name, one] : all)
        if (one.node) one.node->tick();
      for (auto frames = std::move(wire); auto& [to, frame] : frames)
        if (all[to].node) all[to].node->on_frame(frame, 0);
    }
  }
  std::optional<Outcome> put(const std::string& at, const std::string& text) {
    std::optional<Outcome> outcome;
    Call call;
    call.kind = Call::Kind::kPut;
    call.name = "value/a";
    call.text = text;
    all[at].node->call(call, [&](std::optional<Outcome> o, const std::string&) { outcome = o; });
    run(1'500'000);
    return outcome;
  }
  std::string value(const std::string& at) {
    const auto& values = all[at].node->view().state().values();
    return values.count("value/a") ? values.at("value/a").text : "";
  }

  Micros now = 1'000'000'000;
  std::uint64_t draws = 0;
  std::deque<std::pair<std::string, std::string>> wire;
  std::map<std::string, One> all;
};

void begin(Group& g) {
  for (auto& [name, one] : g.all) one.start();
  g.run(200'000);
  g.all["r1"].node->on_frame(
      core::ledger::to_bytes(
          {{"v", 1}, {"f", "fleet"}, {"k", "found"}, {"d", core::ledger::Json::object()}}),
      1);
  g.run(8'000'000);
}

TEST(Rescue, NewGroupFromOneDiskIsJoinedByTheOldMembers) {
  Group g;
  begin(g);
  for (int i = 0; i < 20; ++i) ASSERT_TRUE(g.put("r2", "before " + std::to_string(i)));
  g.run(1'000'000);
  // r1 and r2 stop; r3 alone can't commit calls.
  Image old = g.all["r1"].disk.image;
  for (const char* name : {"r1", "r2"}) g.all[name].node.reset();
  EXPECT_FALSE(g.put("r3", "without a majority"));
  g.all["r3"].node.reset();

  std::string error;
  EXPECT_FALSE(plan_rescue(Image(), "r3", 77, "made 1", error)) << "an empty image";
  auto plan = plan_rescue(g.all["r3"].disk.image, "r3", 77, "made 1", error);
  ASSERT_TRUE(plan) << error;
  EXPECT_EQ(plan->report["epoch"], 2);
  ASSERT_TRUE(g.all["r3"].disk.commit(plan->ops));
  g.all["r3"].start();
  g.run(5'000'000);
  EXPECT_EQ(g.value("r3"), "before 19");
  ASSERT_TRUE(g.put("r3", "after"));

  // The old majority returns with its disks and must not override the new group.
  for (const char* name : {"r1", "r2"}) g.all[name].start();
  g.run(10'000'000);
  for (const char* name : {"r1", "r2", "r3"}) {
    EXPECT_EQ(g.value(name), "after") << name;
    EXPECT_EQ(g.all[name].node->meta().epoch, 2u) << name;
  }
  EXPECT_NE(g.all["r1"].node->meta().identity, old.meta.identity);
  ASSERT_TRUE(g.put("r1", "whole again"));
  EXPECT_EQ(g.all["r3"].node->status()["members"].size(), 3u);
}

TEST(Rescue, DescribesAnImage) {
  Group g;
  begin(g);
  ASSERT_TRUE(g.put("r1", "x"));
  auto description = describe(g.all["r1"].disk.image);
  EXPECT_EQ(description["epoch"], 1);
  EXPECT_EQ(description["members"].size(), 3u);
  EXPECT_EQ(description["state"]["values"], 1);
  EXPECT_TRUE(describe(Image())["members"].empty());
}

// A vote is still known after a restart, so that no second vote is given in that term.
TEST(Voter, VoteSurvivesARestart) {
  Group g;
  begin(g);
  g.run(1'000'000);
  for (auto& [name, one] : g.all) {
    std::uint64_t term = one.disk.image.term;
    one.node.reset();
    one.start();
    g.run(3'000'000);
    EXPECT_GE(one.disk.image.term, term);
    EXPECT_NE(one.disk.image.vote, 0u) << name << " could vote a second time in its term";
  }
}

}  // namespace
}  // namespace violetusher::ledger
