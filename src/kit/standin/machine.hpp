// Model of a price cache's work: cores, a bounded queue, warm-up, collapse under overload and a
// store of bounded memory. No I/O and no clock: callers pass the time.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "kit/common/random.hpp"
#include "spec.hpp"

namespace violetusher::standin {

/// A bounded first-in-first-out queue that is served by a number of cores.
class Station {
 public:
  using Job = std::uint64_t;
  Station(int cores, int waiting) : cores_(cores), limit_(waiting) {}

  /// False where the queue is full. `work` is the time it takes on one core at pace 1.
  bool offer(Micros now, Job job, Micros work);
  /// Queues work that is never rejected, such as accepting a connection.
  void enqueue_always(Micros now, Micros work) { push(now, kNoJob, work); }
  /// Removes a queued job; false where it is running or done.
  bool drop(Job job);
  /// Sets the speed of jobs that start from now on; running jobs keep their end time.
  void set_pace(double pace) { pace_ = pace; }
  /// Removes and returns the jobs that are done by `now`, in order, and starts queued ones.
  std::vector<Job> take_done(Micros now);
  /// When the next running job is done; nothing while idle.
  std::optional<Micros> next() const;
  int waiting() const { return static_cast<int>(queue_.size()); }
  int working() const { return static_cast<int>(busy_.size()); }
  int cores() const { return cores_; }
  /// Core time used by `now` since the start, in microseconds.
  double spent(Micros now) const;
  void clear() {
    queue_.clear();
    busy_.clear();
  }

 private:
  static constexpr Job kNoJob = ~Job{0};
  struct Waiting {
    Job job;
    Micros work;
  };
  struct Working {
    Job job;
    Micros from, until;
  };
  void push(Micros now, Job job, Micros work);
  void start(Micros now);

  int cores_, limit_;
  double pace_ = 1, spent_ = 0;
  std::deque<Waiting> queue_;
  std::vector<Working> busy_;
};

/// Least-recently-used store of value sizes by key. Whether a warm price cache held a key before
/// the day is decided by a draw on (server, key), so that the store need not be filled in advance.
class Store {
 public:
  /// `held`: fraction of all keys that are stored from the start; 0 for a cold price cache.
  Store(std::uint64_t bytes, double held, kit::Draws draws, std::uint64_t server)
      : limit_(bytes), held_(held), draws_(draws), server_(server) {}
  /// True for a hit, which marks the key as most recently used.
  bool find(const std::string& key, std::uint64_t size);
  void keep(const std::string& key, std::uint64_t size);
  void drop(const std::string& key);
  std::uint64_t used() const { return used_; }
  std::size_t entries() const { return entries_.size(); }

 private:
  struct Entry {
    std::string key;
    std::uint64_t size;
  };
  std::uint64_t limit_, used_ = 0;
  double held_;
  kit::Draws draws_;
  std::uint64_t server_;
  std::list<Entry> entries_;  // most recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> by_key_;
  std::unordered_set<std::string>
      changed_;  // keys stored or removed since, for which the draw no longer decides
};

/// Detects when overload makes a cold price cache collapse: it was sent more than `multiple` times
/// its current capacity in every tenth of a second for `after`.
class OverloadDetector {
 public:
  OverloadDetector(double multiple, Micros after) : multiple_(multiple), after_(after) {}
  /// Records `work`. `capacity`: current capacity in cores of speed 1. True when the price cache
  /// collapses.
  bool record(Micros now, Micros work, double capacity);

 private:
  static constexpr Micros kStep = 100'000;
  double multiple_;
  Micros after_;
  Micros step_ = -1, over_since_ = -1;
  double sum_ = 0;
};

/// Idempotency keys of recent writes, shared by all price caches of a fleet.
class IdempotencyCache {
 public:
  explicit IdempotencyCache(Micros window) : window_(window) {}
  /// The receipt of the first run where `key` ran within the window; otherwise stores `receipt`.
  std::optional<std::string> find_or_store(Micros now, const std::string& key,
                                           const std::string& receipt);
  std::size_t size() const { return by_key_.size(); }

 private:
  struct Run {
    Micros at;
    std::string receipt;
  };
  Micros window_;
  std::unordered_map<std::string, Run> by_key_;
  std::deque<std::pair<Micros, std::string>> order_;
};

/// Fraction of its full capacity that a price cache has at `age`.
double capacity_fraction(const FleetSpec& spec, Micros age);

}  // namespace violetusher::standin
