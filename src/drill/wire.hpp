// The adapter between the simulator's line protocol and the decision module: parses its lines into
// calls on Balancer and formats actions as lines. It makes no decisions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../protocol/settings.hpp"
#include "violetusher/balancer.hpp"

namespace violetusher::drill {

using protocol::SettingPairs;
using protocol::WireError;

/// A parsed line: its message name and its name=value pairs, in order.
class Line {
 public:
  explicit Line(std::string_view text);
  std::string_view name() const { return name_; }
  /// The value, or nullptr when absent.
  const std::string_view* find(std::string_view key) const;
  std::string_view text(std::string_view key) const;  ///< throws WireError if absent
  std::int64_t integer(std::string_view key) const;   ///< throws if absent or malformed
  std::int64_t integer(std::string_view key, std::int64_t default_value) const;
  double number(std::string_view key, double default_value) const;
  bool flag(std::string_view key, bool default_value = false) const;
  const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

/// The settings of an `enlist` line, whose pairs are named by their paths.
SettingPairs pairs_by_path(const Line& line);

/// An action as a line of the protocol, without the line end.
std::string format_action(const Action& action);

/// Hosts the simulator's router instances in one process, each with its own Balancer.
class Adapter {
 public:
  /// Processes one line. Returns the whole reply after `your_turn`, otherwise an empty string.
  /// Throws WireError on a malformed line.
  std::string process_line(std::string_view text);
  /// True between a `batch` line and its `your_turn`.
  bool in_batch() const { return in_batch_; }

 private:
  void handle_event(const Line& line);
  void deliver_list();
  void append_reply(const Actions& actions);
  Balancer& current_balancer();

  std::map<std::string, std::unique_ptr<Balancer>> balancers_;  // by instance
  std::string instance_;                                        // of the next events
  std::string reply_instance_;  // to which the last lines of the reply belong
  std::string reply_;
  Micros now_ = 0;
  bool in_batch_ = false;
  bool seen_batch_ = false;
  std::int64_t missing_entries_ = 0;  // of the list being received
  ListScope list_scope_ = ListScope::Full;
  std::vector<Server> list_entries_;
};

}  // namespace violetusher::drill
