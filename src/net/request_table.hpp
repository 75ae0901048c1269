// The table of open requests: their commands, attempts and the one final response of each.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "client_side.hpp"
#include "core/route/traffic_policy.hpp"
#include "timers.hpp"

namespace violetusher::net {

/// One attempt of a request at a server.
struct Attempt {
  std::string server;
  Micros started_at = 0;
  Micros first_byte_at = 0;  ///< when the first bytes of a streamed value came; 0 = none yet
  bool in_flight = true;     ///< its outcome has not been reported to the module
  bool may_have_run = false;
  Timers::Handle timeout = 0;
};

/// One request from its reception until nothing refers to it any more.
struct OpenRequest {
  RequestId id = 0;
  Command command;
  // Of its class when it came: an update of the settings does not change them.
  violetusher::Effect effect = violetusher::Effect::Once;
  violetusher::Group group = violetusher::Group::All;
  PendingResponse response;  ///< empty once sent or the client has disconnected
  Micros deadline = 0;
  int undelivered_events = 0;  ///< events of it queued for the module
  std::vector<Attempt> attempts;
  // Of a streamed response: it counts as sent, and the rest of its value is pending.
  int streaming_attempt = -1;  ///< the attempt that delivers it; -1 if none
  PendingResponse stream;
  bool claims_id = false;    ///< no other request with its id may be sent to a server
  std::uint32_t module = 0;  ///< its number; see PoolSet
  std::shared_ptr<core::TrafficPolicy> traffic;  ///< null if no operator file is in use
  core::TrafficPolicy::Ticket ticket;
  Timers::Handle deadline_timer = 0;
  Timers::Handle stream_timer = 0;            ///< set once a long value has begun to come
  Timers::Handle key_expiry_timer = 0;        ///< set once a keyed request is sent again
  std::vector<Timers::Handle> module_timers;  ///< set by its module for it

  /// Resets to the initial state, but keeps the memory of strings and vectors for the next request.
  void clear();
  /// The final response is sent, or its client has disconnected.
  bool answered() const { return !response; }
  /// No response, event or attempt is pending.
  bool done() const;
  /// Whether there may be servers that would run it after another one has.
  bool may_take_effect_twice() const;
  /// Whether any attempt has no outcome yet.
  bool any_in_flight() const;
  Attempt& attempt(int number) { return attempts[static_cast<std::size_t>(number)]; }
};

/// Open requests by number, and the clients' own ids of them.
class RequestTable {
 public:
  /// Limits on what the table holds.
  struct Bounds {
    std::size_t requests = 0;
    std::size_t bytes = 0;  ///< total size of their commands
  };
  explicit RequestTable(Bounds bounds) : bounds_(bounds) {}
  /// Replaces the bounds; open requests stay.
  void set_bounds(Bounds bounds) { bounds_ = bounds; }

  /// The limit on requests is reached.
  bool full() const { return open_.size() >= bounds_.requests; }
  /// The limit on bytes is reached.
  bool over_memory_limit() const { return bytes_ >= bounds_.bytes; }
  /// Whether a request with the client's id `id` is open: two would have indistinguishable
  /// responses.
  bool has_client_id(const std::string& id) const { return ids_.count(id) > 0; }
  /// Inserts a request with the number `id`. The client's own id must not be in the table. Swaps
  /// `command`: what it holds afterwards is unspecified and good only for reuse of its memory.
  OpenRequest& insert(RequestId id, Command&& command);
  /// Null if the request is released.
  OpenRequest* find(RequestId id);
  void erase(OpenRequest& open);
  /// A number that no other request of this process has had; never 0.
  RequestId next_id() { return next_id_++; }

  std::size_t size() const { return open_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::size_t max_requests() const { return bounds_.requests; }
  template <typename F>
  void each(F&& f) {
    for (auto& [id, open] : open_) f(*open);
  }

 private:
  using Open = std::unordered_map<RequestId, std::unique_ptr<OpenRequest>>;
  using Ids = std::unordered_set<std::string_view>;
  Open::node_type acquire_node();
  Ids::node_type acquire_id_node();

  Bounds bounds_;
  Open open_;
  Ids ids_;  // views into the commands of open_
  // Nodes of released requests, for reuse: once warm the table allocates nothing.
  std::vector<Open::node_type> spare_open_;
  std::vector<Ids::node_type> spare_ids_;
  std::size_t bytes_ = 0;
  RequestId next_id_ = 1;
};

}  // namespace violetusher::net
