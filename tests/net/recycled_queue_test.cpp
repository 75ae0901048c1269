// RecycledQueue against std::deque under random operations; removed elements keep their memory.
#include "net/recycled_queue.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <string>

namespace violetusher::net {
namespace {

TEST(RecycledQueue, MatchesADeque) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    RecycledQueue<std::string> queue;
    std::deque<std::string> model;
    for (int step = 0; step < 2000; ++step) {
      unsigned what = random() % 8;
      if (what < 4 && model.size() < 40) {
        model.push_back(std::to_string(step));
        queue.push() = model.back();
      } else if (!model.empty() && what == 4) {
        model.pop_back(), queue.pop_back();
      } else if (!model.empty() && what == 5) {
        std::size_t k = random() % model.size();
        model.erase(model.begin() + static_cast<std::ptrdiff_t>(k)), queue.erase(k);
      } else if (!model.empty()) {
        model.pop_front(), queue.pop_front();
      }
      ASSERT_EQ(queue.size(), model.size()) << "seed " << seed << ", step " << step;
      for (std::size_t k = 0; k < model.size(); ++k)
        ASSERT_EQ(queue[k], model[k]) << "seed " << seed << ", step " << step;
    }
  }
}

TEST(RecycledQueue, KeepsTheMemoryOfRemovedElements) {
  RecycledQueue<std::string> queue;
  queue.push().assign(200, 'x');
  queue.pop_front();
  queue.push();
  queue.pop_front();
  std::string& again = queue.push();  // of two slots the first is used again
  EXPECT_GE(again.capacity(), 200u);
}

TEST(RecycledQueue, SwapsWhole) {
  RecycledQueue<std::string> a, b;
  a.push() = "one";
  a.push() = "two";
  std::swap(a, b);
  EXPECT_TRUE(a.empty());
  ASSERT_EQ(b.size(), 2u);
  EXPECT_EQ(b[1], "two");
  a.push() = "three";
  EXPECT_EQ(a.front(), "three");
}

}  // namespace
}  // namespace violetusher::net
