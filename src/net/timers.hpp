// The router's timers. They can be cancelled at once and fire in the order of their times, those of
// the same time in the order in which they were set. One alarm of the Io drives all of them.
//
// An indexed heap with four children per node. bench/timers.cpp compares it with its predecessor, a
// lazy heap, and with a hashed wheel; docs/design/request-core.md has the figures.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::net {

/// A priority queue of timers with cheap cancellation.
class Timers {
 public:
  /// What is done when a timer fires.
  struct Task {
    enum class Kind : std::uint8_t {
      kModule,          ///< calls the decision module
      kAttemptTimeout,  ///< ends an attempt at its timeout
      kStreamBegin,     ///< passes on a long value that has begun, before the deadline
      kDeadline,        ///< ends a request at its deadline
      kFinalAnswer,     ///< answers a request that its module has left open
      kKeyExpiry,       ///< ends attempts that would run after servers forget the request's key
    };
    Kind kind = Kind::kModule;
    std::uint32_t module = 0;  ///< of kModule
    int attempt = 0;           ///< of kAttemptTimeout
    std::uint64_t token = 0;   ///< the module's token, or a request's number
  };
  /// Identifies a timer that was set; 0 is none.
  using Handle = std::uint64_t;

  /// Sets a timer for the time `at`.
  Handle set(Micros at, const Task& task);
  /// Removes the timer and sets `handle` to 0. Does nothing if it has fired, or for 0.
  void cancel(Handle& handle);
  /// The time of the first timer.
  std::optional<Micros> next() const;
  /// Removes the first timer that is due at `now`; returns false if there is none.
  bool pop_due(Micros now, Task& task);
  std::size_t size() const { return heap_.size(); }

 private:
  struct Item {
    Micros at;
    std::uint64_t order;
    std::uint32_t node;
    bool before(const Item& o) const { return at != o.at ? at < o.at : order < o.order; }
  };
  struct Node {
    Task task;
    std::uint32_t position = 0;    // in heap_, while set
    std::uint32_t generation = 0;  // odd while set
  };
  void store(std::size_t position, const Item& item);
  void sift_up(std::size_t position, Item item);
  void sift_down(std::size_t position, Item item);
  void remove(std::size_t position);

  std::vector<Item> heap_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> free_;
  std::uint64_t order_ = 0;
};

}  // namespace violetusher::net
