// Events that wait to be delivered to decision modules, in the order in which they happened: a
// module is never called from within the effects of another call.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::net {

/// An attempt has ended.
struct OutcomeEvent {
  std::uint32_t module;
  violetusher::Outcome outcome;
};
/// A request was received.
struct RequestEvent {
  std::uint32_t module;
  violetusher::RequestId id;
};
/// The client of a request has disconnected, or its request was failed by the router.
struct DisconnectEvent {
  std::uint32_t module;
  violetusher::RequestId id;
};
/// The first bytes of a streamed value have come.
struct StreamBeginEvent {
  std::uint32_t module;
  violetusher::RequestId id;
  std::string server;
  int attempt;
  violetusher::Micros latency;
};
/// The answer to an attempt has begun and pauses.
struct AnswerPauseEvent {
  std::uint32_t module;
  violetusher::RequestId id;
  int attempt;
};
/// The module was created.
struct StartEvent {
  std::uint32_t module;
};
/// A host list, or a change of it, came from discovery.
struct ListEvent {
  std::uint32_t module;
  violetusher::ListScope scope;
  std::vector<violetusher::Server> servers;
};
/// A timer that the module has set has fired.
struct TimerEvent {
  std::uint32_t module;
  std::uint64_t token;
};
/// Any event for a decision module.
using ModuleEvent = std::variant<StartEvent, RequestEvent, OutcomeEvent, DisconnectEvent,
                                 StreamBeginEvent, AnswerPauseEvent, TimerEvent, ListEvent>;

/// A first-in, first-out queue of module events.
class ModuleFeed {
 public:
  template <typename E>
  void push(E&& event) {
    events_.emplace_back(std::forward<E>(event));
  }
  bool empty() const { return next_ == events_.size(); }
  /// The queue must not be empty. Invalidates the event returned before.
  ModuleEvent& pop() {
    // The memory is kept, so that a warm queue allocates nothing.
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
