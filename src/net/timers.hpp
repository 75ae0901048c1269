// The router's timers: set, cancelled at once, and rung in the order of their times, those of one
// time in the order in which they were set. One alarm of the Io stands behind all of them.
//
// An indexed heap with four children a node. bench/timers.cpp holds it against the lazy heap that
// was here and against a hashed wheel; docs/design/request-core.md has the figures.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::net {

class Timers {
 public:
  /// What a timer is for.
  struct Task {
    enum class Kind : std::uint8_t {
      kModule,          ///< the decision module's
      kAttemptTimeout,  ///< an attempt's patience is over
      kDeadline,        ///< the client's time is over
      kFinalAnswer,     ///< whatever happened, the client gets its answer
    };
    Kind kind = Kind::kModule;
    std::uint32_t module = 0;  ///< of kModule
    int attempt = 0;           ///< of kAttemptTimeout
    std::uint64_t token = 0;   ///< the module's, or a request's number
  };
  /// Names a timer that was set; 0 names none.
  using Handle = std::uint64_t;

  Handle set(Micros at, const Task& task);
  /// Takes the timer out and sets `handle` to 0. One that has rung, or none, is let be.
  void cancel(Handle& handle);
  /// When the first one is due.
  std::optional<Micros> next() const;
  /// Takes out the first one that is due at `now`; false where there is none.
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
    std::uint32_t position = 0;    // in heap_, where it is set
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
