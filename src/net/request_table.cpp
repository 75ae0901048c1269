#include "request_table.hpp"

#include <algorithm>

namespace violetusher::net {
namespace {

// Nodes kept for reuse, and the largest command whose memory is kept with its node.
constexpr std::size_t kMaxSpareNodes = 128;
constexpr std::size_t kMaxSpareCommandBytes = 4096;

}  // namespace

void OpenRequest::clear() {
  id = 0;
  command.clear();
  response.abandon();
  stream.abandon();
  deadline = 0;
  undelivered_events = 0;
  attempts.clear();
  streaming_attempt = -1;
  claims_id = false;
  module = 0;
  traffic.reset();
  ticket = {};
  deadline_timer = stream_timer = key_expiry_timer = 0;
  module_timers.clear();
}

bool OpenRequest::may_take_effect_twice() const {
  using violetusher::Effect;
  return effect == Effect::Once || (effect == Effect::Keyed && group != violetusher::Group::All);
}

bool OpenRequest::any_in_flight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& a) { return a.in_flight; });
}

bool OpenRequest::done() const { return answered() && undelivered_events == 0 && !any_in_flight(); }

RequestTable::Open::node_type RequestTable::acquire_node() {
  if (spare_open_.empty()) {
    Open one;
    one.emplace(0, std::make_unique<OpenRequest>());
    return one.extract(one.begin());
  }
  auto node = std::move(spare_open_.back());
  spare_open_.pop_back();
  return node;
}

RequestTable::Ids::node_type RequestTable::acquire_id_node() {
  if (spare_ids_.empty()) {
    Ids one{""};
    return one.extract(one.begin());
  }
  auto node = std::move(spare_ids_.back());
  spare_ids_.pop_back();
  return node;
}

OpenRequest& RequestTable::insert(RequestId id, Command&& command) {
  auto node = acquire_node();
  node.key() = id;
  OpenRequest& open = *node.mapped();
  open_.insert(std::move(node));
  open.id = id;
  std::swap(open.command, command);
  auto name = acquire_id_node();
  name.value() = open.command.id;
  ids_.insert(std::move(name));
  bytes_ += open.command.size();
  return open;
}

OpenRequest* RequestTable::find(RequestId id) {
  auto it = open_.find(id);
  return it == open_.end() ? nullptr : it->second.get();
}

void RequestTable::erase(OpenRequest& open) {
  auto name = ids_.extract(open.command.id);
  std::size_t size = open.command.size();
  bytes_ -= size;
  auto node = open_.extract(open.id);
  if (spare_open_.size() >= kMaxSpareNodes || size > kMaxSpareCommandBytes) return;
  open.clear();
  spare_open_.push_back(std::move(node));
  spare_ids_.push_back(std::move(name));
}

}  // namespace violetusher::net
