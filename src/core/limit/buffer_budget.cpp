#include "buffer_budget.hpp"

namespace violetusher::core {
namespace {

// Weight of a new response in the moving average of sizes, as a divisor.
constexpr std::size_t kAverageWeightDivisor = 8;

}  // namespace

void BufferBudget::on_response_size(std::size_t bytes) {
  // Rounded up, so that the average reaches the size of equal responses from both sides.
  if (bytes >= expected_response_)
    expected_response_ +=
        (bytes - expected_response_ + kAverageWeightDivisor - 1) / kAverageWeightDivisor;
  else
    expected_response_ -=
        (expected_response_ - bytes + kAverageWeightDivisor - 1) / kAverageWeightDivisor;
}

}  // namespace violetusher::core
