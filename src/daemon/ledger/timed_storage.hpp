// A storage wrapper that measures commit times, so that a disk that has become slow is noticed
// before it fails.
#pragma once

#include <vector>

#include "storage.hpp"

namespace violetusher::ledger {

/// Forwards to another storage and measures its commits.
class TimedStorage final : public Storage {
 public:
  explicit TimedStorage(Storage& disk) : disk_(disk) {}

  LoadResult load(Image& image, std::string& error) override { return disk_.load(image, error); }
  bool commit(const std::vector<Op>& ops) override {
    bool good = disk_.commit(ops);
    mean_commit_us_ += (disk_.last_commit_us() - mean_commit_us_) / 8;
    return good;
  }
  std::int64_t last_commit_us() const override { return disk_.last_commit_us(); }
  std::string fingerprint() override { return disk_.fingerprint(); }
  bool quarantine() override { return disk_.quarantine(); }

  /// Moving average of the commit time, in microseconds.
  std::int64_t mean_commit_us() const { return mean_commit_us_; }

 private:
  Storage& disk_;
  std::int64_t mean_commit_us_ = 0;
};

}  // namespace violetusher::ledger
