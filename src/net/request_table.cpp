#include "request_table.hpp"

#include <algorithm>

namespace violetusher::net {

bool OpenRequest::any_out() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

bool OpenRequest::done() const { return answered() && untold == 0 && !any_out(); }

OpenRequest& RequestTable::enter(RequestId id, Command&& command) {
  auto& open = open_[id] = std::make_unique<OpenRequest>(id);
  open->command = std::move(command);
  ids_.insert(open->command.id);
  bytes_ += open->command.size();
  return *open;
}

OpenRequest* RequestTable::find(RequestId id) {
  auto it = open_.find(id);
  return it == open_.end() ? nullptr : it->second.get();
}

void RequestTable::erase(OpenRequest& open) {
  ids_.erase(open.command.id);
  bytes_ -= open.command.size();
  RequestId id = open.id;
  open_.erase(id);
}

}  // namespace violetusher::net
