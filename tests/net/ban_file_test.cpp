// The file of bans: two processes, torn lines, its bound.
#include "net/ban_file.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <random>

namespace violetusher::net {
namespace {

class BanFileTest : public ::testing::Test {
 protected:
  BanFileTest() {
    std::string pattern = ::testing::TempDir() + "/bans-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    path_ = folder_ + "/bans";
  }
  ~BanFileTest() override { std::filesystem::remove_all(folder_); }
  std::string folder_, path_;
};

TEST_F(BanFileTest, TwoWritersAndALateReaderAgree) {
  BanFile a(path_), b(path_);
  std::set<std::string> model;
  std::mt19937 random(7);
  for (int k = 0; k < 20'000; ++k) {  // past the bound many times
    std::string id = "s-" + std::to_string(random() % 40);
    bool out = random() % 2;
    BanFile& writer = random() % 2 ? a : b;
    ASSERT_TRUE(writer.append(id, out));
    out ? model.insert(id).second : model.erase(id) > 0;
    if (random() % 5 == 0) a.poll();
    if (random() % 50 == 0) b.poll();
    if (k % 1000 == 0) {
      a.poll(), b.poll();
      ASSERT_EQ(a.out(), model);
      ASSERT_EQ(b.out(), model);
    }
  }
  BanFile late(path_);
  EXPECT_EQ(late.poll(), !model.empty());
  EXPECT_EQ(late.out(), model);
  EXPECT_LT(std::filesystem::file_size(path_), 2 * BanFile::kCompactAt);
}

TEST_F(BanFileTest, TornAndForeignLinesSayNothing) {
  BanFile a(path_);
  ASSERT_TRUE(a.append("s-1", true));
  std::ofstream(path_, std::ios::app) << "nonsense\nOFFLINE \nHEALTH\n"
                                      << std::string(100'000, 'x') << "\nOFFLINE s-2";
  a.poll();
  EXPECT_EQ(a.out(), std::set<std::string>{"s-1"});  // s-2's end has not come
  ASSERT_TRUE(a.append("s-3", true));                // behind the torn line, which it ends
  a.poll();
  EXPECT_EQ(a.out(), (std::set<std::string>{"s-1", "s-2", "s-3"}));
}

TEST_F(BanFileTest, WithoutAFileNothingIsKept) {
  BanFile none("");
  EXPECT_FALSE(none.append("s-1", true));
  EXPECT_FALSE(none.poll());
  BanFile nowhere(folder_ + "/missing/bans");
  EXPECT_FALSE(nowhere.append("s-1", true));
}

}  // namespace
}  // namespace violetusher::net
