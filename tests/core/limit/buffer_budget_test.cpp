#include "core/limit/buffer_budget.hpp"

#include <gtest/gtest.h>

namespace violetusher::core {
namespace {

constexpr std::size_t kLimit = 4'000'000, kLargest = 100'000;

TEST(BufferBudget, CountsWhatIsBufferedAndItsPeak) {
  BufferBudget budget(kLimit, kLargest);
  std::size_t first = 0, second = 0;
  budget.update(first, 1'500'000);
  budget.update(second, 600'000);
  EXPECT_EQ(budget.used(), 2'100'000u);
  EXPECT_TRUE(budget.tight());
  budget.update(first, 0);
  EXPECT_EQ(budget.used(), 600'000u);
  EXPECT_EQ(budget.peak(), 2'100'000u);
  EXPECT_FALSE(budget.tight());
}

/// Guards against taking a burst of commands before any response has shown how long responses are.
TEST(BufferBudget, ExpectsTheLargestResponsesUntilItKnowsBetter) {
  BufferBudget budget(kLimit, kLargest);
  int taken = 0;
  for (; budget.admits_pipelined_command(); ++taken) budget.on_command();
  EXPECT_EQ(taken, 20);  // of 100 kB, in half of the limit
  for (int k = 0; k < 100; ++k) budget.on_response_size(10'000);
  EXPECT_EQ(budget.expected_response(), 10'000u);
  for (; budget.admits_pipelined_command(); ++taken) budget.on_command();
  EXPECT_EQ(taken, 200);
  for (int k = 0; k < 100; ++k) budget.on_response_size(60'000);
  EXPECT_EQ(budget.expected_response(), 60'000u);
  EXPECT_FALSE(budget.admits_pipelined_command());
  for (int k = 0; k < 200; ++k) budget.on_response_end();
  EXPECT_TRUE(budget.admits_pipelined_command());
}

TEST(BufferBudget, LeavesTheLastQuarterToResponsesThatCanBeWritten) {
  BufferBudget budget(kLimit, kLargest);
  std::size_t counted = 0;
  budget.update(counted, 2'950'000);
  using Delivery = BufferBudget::Delivery;
  EXPECT_TRUE(budget.admits_value(50'000, Delivery::kLater));
  EXPECT_FALSE(budget.admits_value(50'001, Delivery::kLater));
  EXPECT_TRUE(budget.admits_stream(50'000));
  EXPECT_FALSE(budget.admits_stream(50'001));
  EXPECT_EQ(budget.admitted_input(), 50'000u);
  EXPECT_TRUE(budget.admits_value(1'050'000, Delivery::kNow));
  EXPECT_FALSE(budget.admits_value(1'050'001, Delivery::kNow));
}

/// Guards against refusing ordinary short values because of others that fill the buffers.
TEST(BufferBudget, AlwaysAdmitsShortValuesThatCanBeWritten) {
  BufferBudget budget(kLimit, kLargest);
  std::size_t counted = 0;
  budget.update(counted, 2 * kLimit);
  using Delivery = BufferBudget::Delivery;
  EXPECT_TRUE(budget.admits_value(4000, Delivery::kNow));
  EXPECT_FALSE(budget.admits_value(5000, Delivery::kNow));
  EXPECT_FALSE(budget.admits_value(4000, Delivery::kLater));
  EXPECT_TRUE(budget.admits_value(20, Delivery::kLater));
  EXPECT_FALSE(budget.admits_stream(1));
  EXPECT_EQ(budget.admitted_input(), 4096u);
}

}  // namespace
}  // namespace violetusher::core
