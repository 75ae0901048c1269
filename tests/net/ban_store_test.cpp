// Bans must be in force at once, survive a kill once reported durable, and never be lifted by a ban
// log that is truncated, missing or replaced.
#include "net/ban_store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace violetusher::net {
namespace {

namespace fs = std::filesystem;

class BanStoreTest : public ::testing::Test {
 protected:
  BanStoreTest() {
    std::string pattern = ::testing::TempDir() + "/bans-XXXXXX";
    directory_ = ::mkdtemp(pattern.data());
    path_ = directory_ + "/bans";
  }
  ~BanStoreTest() override { fs::remove_all(directory_); }
  /// Advances until the update is durable; false if that doesn't happen.
  static bool advance_until_durable(BanStore& store, BanStore::Sequence sequence) {
    Micros now = 0;
    for (int k = 0; k < 2000 && !store.is_durable(sequence); ++k) {
      store.advance(now += 300 * kMillisecond);
      ::usleep(1000);
    }
    return store.is_durable(sequence);
  }
  std::string directory_, path_;
  using Ids = std::set<std::string>;
};

TEST_F(BanStoreTest, ABanIsInForceAtOnceAndSurvivesTheProcess) {
  BanStore store(path_);
  BanStore::Sequence sequence = store.set_banned("s-1", true);
  EXPECT_EQ(store.banned(), Ids{"s-1"});
  EXPECT_FALSE(store.is_durable(sequence));
  ASSERT_TRUE(advance_until_durable(store, sequence));
  BanStore next(path_);
  EXPECT_FALSE(next.loaded());
  EXPECT_TRUE(next.advance(0));
  EXPECT_TRUE(next.loaded());
  EXPECT_EQ(next.banned(), Ids{"s-1"});
}

TEST_F(BanStoreTest, ABanThatCouldNotBeWrittenHoldsAndIsWrittenLater) {
  path_ = directory_ + "/missing/bans";
  BanStore store(path_);
  BanStore::Sequence first = store.set_banned("s-1", true);
  for (int k = 0; k < 30; ++k) {
    store.advance(k * 300 * kMillisecond);
    ::usleep(1000);
  }
  EXPECT_FALSE(store.is_durable(first));
  EXPECT_NE(store.error(), "");
  fs::create_directory(directory_ + "/missing");
  BanStore::Sequence second = store.set_banned("s-2", true);
  ASSERT_TRUE(advance_until_durable(store, second));
  EXPECT_TRUE(store.is_durable(first));
  EXPECT_EQ(store.banned(), (Ids{"s-1", "s-2"}));
  BanStore next(path_);
  next.advance(0);
  EXPECT_EQ(next.banned(), (Ids{"s-1", "s-2"}));
}

TEST_F(BanStoreTest, AMissingTruncatedOrReplacedFileLiftsNoBan) {
  BanStore store(path_);
  ASSERT_TRUE(advance_until_durable(store, store.set_banned("s-1", true)));
  store.advance(0);
  auto replace_file_with = [&](const std::string& what) {
    fs::remove_all(path_);
    if (!what.empty()) std::ofstream(path_) << what;
    store.advance(1);
    EXPECT_EQ(store.banned().count("s-1"), 1u) << what;
    ASSERT_TRUE(advance_until_durable(store, store.set_banned("s-2", true)));
    BanStore next(path_);
    next.advance(0);
    EXPECT_EQ(next.banned(), (Ids{"s-1", "s-2"})) << what;
  };
  replace_file_with("");
  replace_file_with("nonsense\n");
  replace_file_with("OFFLI");
  replace_file_with("ONLINE s-7\n");
}

TEST_F(BanStoreTest, ADirectoryAtThePathIsAnErrorAndTheBanHolds) {
  fs::create_directory(path_);
  BanStore store(path_);
  store.advance(0);
  EXPECT_TRUE(store.loaded());  // a permanent error
  store.set_banned("s-1", true);
  for (int k = 0; k < 30; ++k) {
    store.advance(k * 300 * kMillisecond);
    ::usleep(1000);
  }
  EXPECT_EQ(store.banned(), Ids{"s-1"});
  EXPECT_NE(store.error(), "");
}

TEST_F(BanStoreTest, AnotherProcessLiftsABanOnlyByItsOwnLine) {
  BanStore a(path_), b(path_);
  ASSERT_TRUE(advance_until_durable(a, a.set_banned("s-1", true)));
  b.advance(0);
  ASSERT_EQ(b.banned(), Ids{"s-1"});
  ASSERT_TRUE(advance_until_durable(b, b.set_banned("s-1", false)));
  a.advance(0);
  EXPECT_EQ(a.banned(), Ids{});
}

TEST_F(BanStoreTest, WithoutAPathUpdatesCountAsDurable) {
  BanStore store("");
  EXPECT_TRUE(store.loaded());
  EXPECT_TRUE(store.is_durable(store.set_banned("s-1", true)));
  EXPECT_EQ(store.banned(), Ids{"s-1"});
}

}  // namespace
}  // namespace violetusher::net
