// Managed files whose auxiliary files can't be read or restored.
#include "daemon/ledger/rollout_file.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace violetusher::ledger {
namespace {

namespace fs = std::filesystem;

class RolloutFileTest : public ::testing::Test {
 protected:
  RolloutFileTest() {
    std::string pattern = ::testing::TempDir() + "/rolled-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    path_ = folder_ + "/router.conf";
    std::ofstream(path_) << "own\n";
  }
  ~RolloutFileTest() override { fs::remove_all(folder_); }
  static std::string text_of(const std::string& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::string folder_, path_;
};

TEST_F(RolloutFileTest, SwapsToAnotherTextAndBackToItsOwn) {
  RolloutFile file(path_);
  EXPECT_EQ(file.label(), "own");
  ASSERT_EQ(file.stage("rolled\n"), "");
  ASSERT_TRUE(file.swap());
  EXPECT_EQ(file.label(), core::ledger::label(std::string("rolled\n")));
  EXPECT_EQ(text_of(path_ + ".own"), "own\n");
  ASSERT_EQ(file.stage(std::nullopt), "");
  ASSERT_TRUE(file.swap());
  EXPECT_EQ(file.label(), "own");
}

TEST_F(RolloutFileTest, UnreadableOwnTextIsNotOverwritten) {
  RolloutFile file(path_);
  ASSERT_EQ(file.stage("rolled\n"), "");
  ASSERT_TRUE(file.swap());
  fs::rename(path_ + ".own", path_ + ".kept");
  fs::create_directory(path_ + ".own");  // reading it fails
  EXPECT_NE(file.stage("next\n"), "");
  EXPECT_NE(file.label(), "own");
  EXPECT_TRUE(fs::is_directory(path_ + ".own"));
  EXPECT_EQ(text_of(path_), "rolled\n");
}

TEST_F(RolloutFileTest, FailedUndoStaysPendingUntilItSucceeds) {
  RolloutFile file(path_);
  ASSERT_EQ(file.stage("rolled\n"), "");
  ASSERT_TRUE(file.swap());
  fs::rename(path_, path_ + ".kept");
  fs::create_directories(path_ + "/in-the-way");
  EXPECT_FALSE(file.undo());
  EXPECT_TRUE(file.undo_pending());
  fs::remove_all(path_);
  EXPECT_TRUE(file.undo());
  EXPECT_FALSE(file.undo_pending());
  EXPECT_EQ(text_of(path_), "own\n");
}

}  // namespace
}  // namespace violetusher::ledger
