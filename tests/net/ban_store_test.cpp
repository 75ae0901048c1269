// Bans that are in force at once, durable when they say so, and never taken back by a file that is
// short, gone or foreign.
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
    folder_ = ::mkdtemp(pattern.data());
    path_ = folder_ + "/bans";
  }
  ~BanStoreTest() override { fs::remove_all(folder_); }
  /// Advances until the promise is durable; false where it does not come to that.
  static bool settle(BanStore& store, BanStore::Number number) {
    Micros now = 0;
    for (int k = 0; k < 2000 && !store.durable(number); ++k) {
      store.advance(now += 300 * kMillisecond);
      ::usleep(1000);
    }
    return store.durable(number);
  }
  std::string folder_, path_;
  using Ids = std::set<std::string>;
};

TEST_F(BanStoreTest, IsInForceAtOnceAndDurableForTheNextProcess) {
  BanStore store(path_);
  BanStore::Number number = store.promise("s-1", true);
  EXPECT_EQ(store.out(), Ids{"s-1"});
  EXPECT_FALSE(store.durable(number));
  ASSERT_TRUE(settle(store, number));
  BanStore next(path_);
  EXPECT_FALSE(next.known());
  EXPECT_TRUE(next.advance(0));
  EXPECT_TRUE(next.known());
  EXPECT_EQ(next.out(), Ids{"s-1"});
}

TEST_F(BanStoreTest, WhatCouldNotBeWrittenHoldsAndIsWrittenLater) {
  path_ = folder_ + "/missing/bans";
  BanStore store(path_);
  BanStore::Number first = store.promise("s-1", true);
  for (int k = 0; k < 30; ++k) {
    store.advance(k * 300 * kMillisecond);
    ::usleep(1000);
  }
  EXPECT_FALSE(store.durable(first));
  EXPECT_NE(store.trouble(), "");
  fs::create_directory(folder_ + "/missing");
  BanStore::Number second = store.promise("s-2", true);
  ASSERT_TRUE(settle(store, second));
  EXPECT_TRUE(store.durable(first));
  EXPECT_EQ(store.out(), (Ids{"s-1", "s-2"}));
  BanStore next(path_);
  next.advance(0);
  EXPECT_EQ(next.out(), (Ids{"s-1", "s-2"}));
}

TEST_F(BanStoreTest, AFileThatIsGoneCutOffOrForeignTakesNoBanBack) {
  BanStore store(path_);
  ASSERT_TRUE(settle(store, store.promise("s-1", true)));
  store.advance(0);
  auto spoil = [&](const std::string& what) {
    fs::remove_all(path_);
    if (!what.empty()) std::ofstream(path_) << what;
    store.advance(1);
    EXPECT_EQ(store.out().count("s-1"), 1u) << what;
    ASSERT_TRUE(settle(store, store.promise("s-2", true)));
    BanStore next(path_);
    next.advance(0);
    EXPECT_EQ(next.out(), (Ids{"s-1", "s-2"})) << what;
  };
  spoil("");
  spoil("nonsense\n");
  spoil("OFFLI");
  spoil("ONLINE s-7\n");
}

TEST_F(BanStoreTest, AFolderInItsPlaceIsTroubleAndTheBanHolds) {
  fs::create_directory(path_);
  BanStore store(path_);
  store.advance(0);
  EXPECT_TRUE(store.known());  // it never can be read
  store.promise("s-1", true);
  for (int k = 0; k < 30; ++k) {
    store.advance(k * 300 * kMillisecond);
    ::usleep(1000);
  }
  EXPECT_EQ(store.out(), Ids{"s-1"});
  EXPECT_NE(store.trouble(), "");
}

TEST_F(BanStoreTest, AnotherProcessTakesBackByItsOwnLineAlone) {
  BanStore a(path_), b(path_);
  ASSERT_TRUE(settle(a, a.promise("s-1", true)));
  b.advance(0);
  ASSERT_EQ(b.out(), Ids{"s-1"});
  ASSERT_TRUE(settle(b, b.promise("s-1", false)));
  a.advance(0);
  EXPECT_EQ(a.out(), Ids{});
}

TEST_F(BanStoreTest, WithoutAPathNothingIsKeptAndAllIsDurable) {
  BanStore store("");
  EXPECT_TRUE(store.known());
  EXPECT_TRUE(store.durable(store.promise("s-1", true)));
  EXPECT_EQ(store.out(), Ids{"s-1"});
}

}  // namespace
}  // namespace violetusher::net
