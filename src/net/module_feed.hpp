// What waits for its turn to be told to decision modules, in the order in which it happened: a
// module is never called from within what another call has set off.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::net {

struct OutcomeEvent {
  std::uint32_t module;
  violetusher::Outcome outcome;
};
struct RequestEvent {
  std::uint32_t module;
  violetusher::RequestId id;
};
struct DisconnectEvent {
  std::uint32_t module;
  violetusher::RequestId id;
};
/// The first bytes of a long value have come.
struct StreamBeginEvent {
  std::uint32_t module;
  violetusher::RequestId id;
  std::string server;
  int attempt;
  violetusher::Micros latency;
};
struct StartEvent {
  std::uint32_t module;
};
struct ListEvent {
  std::uint32_t module;
  violetusher::ListScope scope;
  std::vector<violetusher::Server> servers;
};
struct TimerEvent {
  std::uint32_t module;
  std::uint64_t token;
};
using ModuleEvent = std::variant<StartEvent, RequestEvent, OutcomeEvent, DisconnectEvent,
                                 StreamBeginEvent, TimerEvent, ListEvent>;

class ModuleFeed {
 public:
  template <typename E>
  void push(E&& event) {
    events_.emplace_back(std::forward<E>(event));
  }
  bool empty() const { return next_ == events_.size(); }
  /// Must not be empty. What was taken before is gone.
  ModuleEvent& pop() {
    // Its memory is kept, so that a warm feed allocates nothing.
    current_ = std::move(events_[next_++]);
    if (empty()) {
      events_.clear();
      next_ = 0;
    }
    return current_;
  }

 private:
  std::vector<ModuleEvent> events_;
  std::size_t next_ = 0;
  ModuleEvent current_{StartEvent{0}};
};

}  // namespace violetusher::net
