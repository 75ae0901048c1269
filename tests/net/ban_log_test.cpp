// The ban log: concurrent writers, partial lines, and compaction.
#include "net/ban_log.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>

namespace violetusher::net {
namespace {

class BanLogTest : public ::testing::Test {
 protected:
  BanLogTest() {
    std::string pattern = ::testing::TempDir() + "/bans-XXXXXX";
    directory_ = ::mkdtemp(pattern.data());
    path_ = directory_ + "/bans";
  }
  ~BanLogTest() override { std::filesystem::remove_all(directory_); }
  bool append(const std::string& id, bool banned) {
    return append_bans(path_, {{id, banned}}, false).done();
  }
  std::string directory_, path_;
};

/// The servers that a process which reads the file considers banned.
struct Follower {
  explicit Follower(const std::string& path) : reader(path) {}
  bool poll() {
    std::set<std::string> before = banned;
    BanLogReader::Update update;
    if (!reader.poll(update).done()) return false;
    if (update == BanLogReader::Update::kCompacted || update == BanLogReader::Update::kReplaced)
      banned.clear();
    for (const BanLine& line : reader.lines())
      line.banned ? static_cast<void>(banned.insert(line.id))
                  : static_cast<void>(banned.erase(line.id));
    return banned != before;
  }
  BanLogReader reader;
  std::set<std::string> banned;
};

TEST_F(BanLogTest, ReadersAgreeAcrossCompactions) {
  Follower a(path_), b(path_);
  std::set<std::string> model;
  std::mt19937 random(7);
  for (int k = 0; k < 20'000; ++k) {  // many compactions
    std::string id = "s-" + std::to_string(random() % 40);
    bool banned = random() % 2;
    ASSERT_TRUE(append(id, banned));
    banned ? model.insert(id).second : model.erase(id) > 0;
    if (random() % 5 == 0) a.poll();
    if (random() % 50 == 0) b.poll();
    if (k % 1000 == 0) {
      a.poll(), b.poll();
      ASSERT_EQ(a.banned, model);
      ASSERT_EQ(b.banned, model);
    }
  }
  Follower late(path_);
  EXPECT_EQ(late.poll(), !model.empty());
  EXPECT_EQ(late.banned, model);
  EXPECT_LT(std::filesystem::file_size(path_), 2 * kCompactionThresholdBytes);
}

TEST_F(BanLogTest, PartialAndInvalidLinesAreIgnored) {
  Follower a(path_);
  ASSERT_TRUE(append("s-1", true));
  std::ofstream(path_, std::ios::app) << "nonsense\nOFFLINE \nHEALTH\n"
                                      << std::string(100'000, 'x') << "\nOFFLINE s-2";
  a.poll();
  EXPECT_EQ(a.banned, std::set<std::string>{"s-1"});  // the line of s-2 is incomplete
  ASSERT_TRUE(append("s-3", true));                   // replaces the partial line
  a.poll();
  EXPECT_EQ(a.banned, (std::set<std::string>{"s-1", "s-3"}));
}

TEST_F(BanLogTest, APartialLineNeverMergesWithTheNextOne) {
  std::string line = "OFFLINE s-123456\n";
  for (std::size_t torn = 0; torn <= line.size(); ++torn) {
    std::ofstream(path_, std::ios::trunc) << "OFFLINE s-0\n" << line.substr(0, torn);
    Follower early(path_);
    early.poll();
    ASSERT_TRUE(append("s-9", true));
    early.poll();
    Follower late(path_);
    late.poll();
    std::set<std::string> expected{"s-0", "s-9"};
    if (torn == line.size()) expected.insert("s-123456");
    EXPECT_EQ(late.banned, expected) << torn;
    EXPECT_EQ(early.banned, expected) << torn;
  }
}

TEST_F(BanLogTest, GarbageWithoutLinesIsReadInPartsAndCompacted) {
  std::ofstream(path_, std::ios::trunc) << std::string(5u << 20, 'x');
  Follower a(path_);
  a.poll();
  EXPECT_FALSE(a.reader.at_end());
  ASSERT_TRUE(append("s-1", true));
  for (int k = 0; k < 4; ++k) a.poll();
  EXPECT_EQ(a.banned, std::set<std::string>{"s-1"});
  EXPECT_LT(std::filesystem::file_size(path_), kCompactionThresholdBytes);
}

TEST_F(BanLogTest, AMissingDirectoryIsAnError) {
  EXPECT_FALSE(append_bans("", {{"s-1", true}}).done());
  EXPECT_FALSE(append_bans(directory_ + "/missing/bans", {{"s-1", true}}).done());
  BanLogReader none(directory_ + "/missing/bans");
  BanLogReader::Update update;
  EXPECT_EQ(none.poll(update).error, ENOENT);
}

}  // namespace
}  // namespace violetusher::net
