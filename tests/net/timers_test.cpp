// Timers against a sorted map as the model: the same order after any sequence of sets, cancels and
// expiries.
#include "net/timers.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace violetusher::net {
namespace {

using Task = Timers::Task;

TEST(Timers, FireInTheOrderOfTimeAndThenOfSetting) {
  Timers timers;
  for (std::uint64_t token : {1, 2, 3}) timers.set(20, {.token = token});
  timers.set(10, {.token = 4});
  EXPECT_EQ(timers.next(), 10);
  std::vector<std::uint64_t> fired;
  Task task;
  EXPECT_FALSE(timers.pop_due(9, task));
  while (timers.pop_due(20, task)) fired.push_back(task.token);
  EXPECT_EQ(fired, (std::vector<std::uint64_t>{4, 1, 2, 3}));
  EXPECT_EQ(timers.next(), std::nullopt);
}

TEST(Timers, AStaleHandleCancelsNoOtherTimer) {
  Timers timers;
  Timers::Handle a = timers.set(10, {.token = 1}), kept = a;
  timers.cancel(a);
  EXPECT_EQ(a, 0u);
  EXPECT_EQ(timers.size(), 0u);
  Timers::Handle b = timers.set(10, {.token = 2});  // reuses the same node
  timers.cancel(kept);
  EXPECT_EQ(timers.size(), 1u);
  Task task;
  ASSERT_TRUE(timers.pop_due(10, task));
  EXPECT_EQ(task.token, 2u);
  timers.cancel(b);  // has fired
  EXPECT_EQ(timers.size(), 0u);
}

TEST(Timers, MatchASortedMap) {
  std::mt19937_64 random(20261201);
  Timers timers;
  std::map<std::pair<Micros, std::uint64_t>, Timers::Handle> model;  // by time and order of setting
  Micros now = 0;
  std::uint64_t token = 0;
  for (int step = 0; step < 200'000; ++step) {
    switch (random() % 4) {
      case 0:
      case 1: {
        Micros at = now + static_cast<Micros>(random() % 500);
        std::uint64_t mine = token++;
        model[{at, mine}] = timers.set(at, {.token = mine});
        break;
      }
      case 2: {
        if (model.empty()) break;
        auto it = model.lower_bound({now + static_cast<Micros>(random() % 500), 0});
        if (it == model.end()) it = model.begin();
        timers.cancel(it->second);
        model.erase(it);
        break;
      }
      default: {
        now += static_cast<Micros>(random() % 20);
        Task task;
        while (timers.pop_due(now, task)) {
          ASSERT_FALSE(model.empty());
          ASSERT_EQ(task.token, model.begin()->first.second);
          ASSERT_LE(model.begin()->first.first, now);
          model.erase(model.begin());
        }
        ASSERT_TRUE(model.empty() || model.begin()->first.first > now);
      }
    }
    ASSERT_EQ(timers.size(), model.size());
    ASSERT_EQ(timers.next(),
              model.empty() ? std::nullopt : std::optional(model.begin()->first.first));
  }
}

}  // namespace
}  // namespace violetusher::net
