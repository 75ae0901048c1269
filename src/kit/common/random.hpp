// Counter-based random draws: each is a function of (seed, stream, index) and not of the order of
// the draws, so a seed determines a whole day down to each request.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace violetusher::kit {

/// Purpose of a draw. A seed gives the same day only with the same numbers, so they are never
/// reused or changed.
enum class Stream : std::uint64_t {
  kArrival = 1,
  kClass = 2,
  kBanner = 3,
  kKey = 4,
  kWork = 5,
  kHall = 6,
  kTill = 7,
  kHint = 8,
  kSize = 9,
  kScan = 10,
  kDirect = 11,
  kFault = 20,
  kHeld = 21,
  kReport = 22,
  kRouterSeed = 30,
};

/// Hash of `text` (XXH3, 64 bits), the same on all machines and in all runs.
inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Random draws of one seed.
class Draws {
 public:
  explicit Draws(std::uint64_t seed = 0) : seed_(seed) {}
  std::uint64_t seed() const { return seed_; }

  std::uint64_t bits(Stream stream, std::uint64_t index, std::uint64_t sub = 0) const {
    const std::uint64_t words[3] = {static_cast<std::uint64_t>(stream), index, sub};
    return XXH3_64bits_withSeed(words, sizeof words, seed_);
  }
  /// Uniform in [0, 1), with 53 random bits.
  double uniform(Stream stream, std::uint64_t index, std::uint64_t sub = 0) const {
    return static_cast<double>(bits(stream, index, sub) >> 11) * 0x1p-53;
  }
  /// Exponential with mean 1.
  double exponential(Stream stream, std::uint64_t index, std::uint64_t sub = 0) const {
    return -std::log1p(-uniform(stream, index, sub));
  }
  /// Log-normal with mean 1; `sigma` is the deviation of the logarithm. Box-Muller on two draws.
  double lognormal(double sigma, Stream stream, std::uint64_t index) const {
    double u = uniform(stream, index, 1), v = uniform(stream, index, 2);
    double z = std::sqrt(-2 * std::log1p(-u)) * std::cos(6.283185307179586 * v);
    return std::exp(sigma * z - sigma * sigma / 2);
  }

 private:
  std::uint64_t seed_;
};

/// Zipf distribution of ranks 0 to n-1: probability proportional to 1 / (rank + 1)^s.
class Zipf {
 public:
  Zipf(std::size_t n, double s) : cumulative_(n) {
    double sum = 0;
    for (std::size_t k = 0; k < n; ++k) cumulative_[k] = sum += std::pow(k + 1.0, -s);
  }
  /// The rank for a uniform draw in [0, 1).
  std::size_t rank(double u) const {
    double wanted = u * cumulative_.back();
    std::size_t low = 0, high = cumulative_.size() - 1;
    while (low < high) {
      std::size_t middle = (low + high) / 2;
      if (cumulative_[middle] > wanted)
        high = middle;
      else
        low = middle + 1;
    }
    return low;
  }

 private:
  std::vector<double> cumulative_;
};

}  // namespace violetusher::kit
