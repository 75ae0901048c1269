// Ids of requests that must not run twice: each is claimed by one request, within bounded memory.
#include "core/guard/request_claims.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace violetusher::core {
namespace {

constexpr Micros kSecond = 1'000'000;

struct Claims : ::testing::Test {
  std::unique_ptr<RequestClaims::Slot[]> memory =
      std::make_unique<RequestClaims::Slot[]>(RequestClaims::kSlots);
  RequestClaims claims{{memory.get(), RequestClaims::kSlots}};
};

TEST_F(Claims, AnIdIsClaimedOnceUntilItIsReleasedOrForgotten) {
  EXPECT_TRUE(claims.claim(kSecond, "a"));
  EXPECT_FALSE(claims.claim(kSecond, "a"));
  EXPECT_TRUE(claims.claim(kSecond, "b"));
  claims.release("a");
  EXPECT_TRUE(claims.claim(2 * kSecond, "a"));
  EXPECT_FALSE(claims.claim(kSecond + RequestClaims::kRetention, "b"));
  EXPECT_TRUE(claims.claim(3 * kSecond + RequestClaims::kRetention, "b"));
}

TEST_F(Claims, MemoryThatAnotherProcessSharesHasItsClaims) {
  RequestClaims other({memory.get(), RequestClaims::kSlots});
  EXPECT_TRUE(claims.claim(kSecond, "a"));
  EXPECT_FALSE(other.claim(kSecond, "a"));
}

/// What a process before a restart of the machine has left is from the future, and does not count.
TEST_F(Claims, OfTheFutureAreNotInForce) {
  EXPECT_TRUE(claims.claim(100'000 * kSecond, "a"));
  EXPECT_TRUE(claims.claim(kSecond, "a"));
}

TEST_F(Claims, ATableThatIsFullForgetsTheOldest) {
  for (std::size_t k = 0; k < 4 * RequestClaims::kSlots; ++k)
    EXPECT_TRUE(claims.claim(kSecond + static_cast<Micros>(k), "id" + std::to_string(k)));
  EXPECT_FALSE(claims.claim(2 * kSecond, "id" + std::to_string(4 * RequestClaims::kSlots - 1)));
}

TEST_F(Claims, OfThreeThousandIdsInFlightNoneIsForgotten) {
  for (int k = 0; k < 3000; ++k) EXPECT_TRUE(claims.claim(kSecond, "id" + std::to_string(k)));
  for (int k = 0; k < 3000; ++k) EXPECT_FALSE(claims.claim(kSecond, "id" + std::to_string(k))) << k;
}

TEST_F(Claims, OfTwoThreadsOneGetsAnId) {
  constexpr int kIds = 5000;
  std::atomic<int> got{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < 2; ++t)
    threads.emplace_back([&] {
      for (int k = 0; k < kIds; ++k) got += claims.claim(kSecond, "id" + std::to_string(k));
    });
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(got, kIds);
}

}  // namespace
}  // namespace violetusher::core
