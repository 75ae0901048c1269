// How a price cache works through what it is sent: cores, a waiting room, warm-up, falling over, a
// store of bounded memory. No I/O and no clock: times come in.
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

/// Work in order of arrival on a number of cores.
class Station {
 public:
  using Job = std::uint64_t;
  Station(int cores, int waiting) : cores_(cores), room_(waiting) {}

  /// False where the waiting room is full. `work` is the time on a core of this station at pace 1.
  bool offer(Micros now, Job job, Micros work);
  /// Work that is never turned away (a handshake).
  void impose(Micros now, Micros work) { push(now, kNobody, work); }
  /// Drops a job that waits; false where it is at work or done.
  bool drop(Job job);
  /// How fast it works from now on; what is at work ends when it would have.
  void set_pace(double pace) { pace_ = pace; }
  /// The jobs that are done by `now`, in order; starts those that wait.
  std::vector<Job> take_done(Micros now);
  /// When something next is done; nothing while idle.
  std::optional<Micros> next() const;
  int waiting() const { return static_cast<int>(queue_.size()); }
  int working() const { return static_cast<int>(busy_.size()); }
  int cores() const { return cores_; }
  /// Core time spent by `now` since the start.
  double spent(Micros now) const;
  void clear() {
    queue_.clear();
    busy_.clear();
  }

 private:
  static constexpr Job kNobody = ~Job{0};
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

  int cores_, room_;
  double pace_ = 1, spent_ = 0;
  std::deque<Waiting> queue_;
  std::vector<Working> busy_;
};

/// Values kept by key, the least recently used dropped first. Keys that a warm price cache held
/// before the day are known by a draw on (server, key), so nothing has to be filled in.
class Store {
 public:
  /// `held`: the part of all keys held from before; 0 for a cold one.
  Store(std::uint64_t bytes, double held, kit::Draws draws, std::uint64_t server)
      : room_(bytes), held_(held), draws_(draws), server_(server) {}
  /// True for a hit; a hit counts as a use.
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
  std::uint64_t room_, used_ = 0;
  double held_;
  kit::Draws draws_;
  std::uint64_t server_;
  std::list<Entry> entries_;  // most recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> by_key_;
  std::unordered_set<std::string> touched_;  // the draw no longer tells: written or evicted since
};

/// Tells when a cold price cache is pushed over: sent more than `multiple` times what it can do at
/// that moment, in every tenth of a second for `after`.
class TippingPoint {
 public:
  TippingPoint(double multiple, Micros after) : multiple_(multiple), after_(after) {}
  /// `capacity`: core time that it can do a second now, as a number of yardstick cores. True when
  /// it falls over.
  bool sent(Micros now, Micros work, double capacity);

 private:
  static constexpr Micros kStep = 100'000;
  double multiple_;
  Micros after_;
  Micros step_ = -1, over_since_ = -1;
  double sum_ = 0;
};

/// Keyed writes remembered for a time by all price caches together.
class Repeats {
 public:
  explicit Repeats(Micros window) : window_(window) {}
  /// The receipt of the first run, where `key` has run within the window; else remembers this one.
  std::optional<std::string> seen(Micros now, const std::string& key, const std::string& receipt);
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

/// The part of its capacity that a price cache has at `age`.
double warmth(const FleetSpec& spec, Micros age);

}  // namespace violetusher::standin
