// The one table of open requests: who they are, what they hold, and the one final answer each.
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
  Micros first_byte_at = 0;  ///< the first bytes of a long value came; 0 = none
  bool in_flight = true;     ///< its outcome has not been told to the module
  bool may_have_run = false;
  Timers::Handle timeout = 0;
};

struct OpenRequest {
  RequestId id = 0;
  Command command;
  PendingResponse response;  ///< empty once the final answer is given, or nobody is left to get one
  Micros deadline = 0;
  int undelivered_events = 0;  ///< events of it on their way to the module
  std::vector<Attempt> attempts;
  // Of an answer that is passed on while it comes: it has been given, and its rest is owed still.
  int streaming_attempt = -1;  ///< the attempt that brings it
  PendingResponse stream;
  std::uint32_t module = 0;                      ///< whose it is; see PoolSet
  std::shared_ptr<core::TrafficPolicy> traffic;  ///< none where no operator file is in use
  core::TrafficPolicy::Ticket ticket;
  Timers::Handle deadline_timer = 0;
  std::vector<Timers::Handle> module_timers;  ///< timers that its module has set for it

  /// As made anew, but for the memory of its texts and lists, which is kept for the next one.
  void clear();
  bool answered() const { return !response; }
  /// Nothing is owed, told or out any more.
  bool done() const;
  bool any_in_flight() const;
  Attempt& attempt(int number) { return attempts[static_cast<std::size_t>(number)]; }
};

class RequestTable {
 public:
  struct Bounds {
    std::size_t requests = 0;
    std::size_t bytes = 0;  ///< of their commands
  };
  explicit RequestTable(Bounds bounds) : bounds_(bounds) {}
  /// Other bounds from now on; what is open stays.
  void set_bounds(Bounds bounds) { bounds_ = bounds; }

  bool full() const { return open_.size() >= bounds_.requests; }
  bool over_memory_limit() const { return bytes_ >= bounds_.bytes; }
  /// Whether a request is open that its client calls `id`: two would have answers that look alike.
  bool has_client_id(const std::string& id) const { return ids_.count(id) > 0; }
  /// Enters a request, whose number is `id`. Its client's own id must not be known. What `command`
  /// holds afterwards is of no more use than its memory.
  OpenRequest& insert(RequestId id, Command&& command);
  /// None where it is over.
  OpenRequest* find(RequestId id);
  void erase(OpenRequest& open);
  /// A number that no request of this process has had; never 0.
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
  Ids ids_;  // into the commands of open_
  // Of requests that are over, for the next ones: once warm the table allocates nothing.
  std::vector<Open::node_type> spare_open_;
  std::vector<Ids::node_type> spare_ids_;
  std::size_t bytes_ = 0;
  RequestId next_id_ = 1;
};

}  // namespace violetusher::net
