#include "wire.hpp"

namespace violetusher::drill {

using protocol::bad;
using protocol::in_range;
using protocol::settings_of;
using protocol::split;
using protocol::to_flag;
using protocol::to_integer;
using protocol::to_number;
using protocol::word;
using protocol::Words;
namespace {

constexpr Words<Status, 9> kStatus{{{"completed", Status::Ok},
                                    {"errored", Status::Error},
                                    {"saturated", Status::Overloaded},
                                    {"overdue", Status::Timeout},
                                    {"refused_conn", Status::ConnectFailed},
                                    {"severed", Status::Reset},
                                    {"recalled", Status::Cancelled},
                                    {"superseded", Status::NotSent},
                                    {"lookup_miss", Status::Miss}}};
RequestId request_id(const Line& line) {
  return static_cast<RequestId>(
      in_range(line.integer("Tid"), 0, (std::int64_t{1} << 52) - 1, "Tid"));
}

Micros duration(const Line& line, std::string_view key, Micros default_value) {
  return in_range(line.integer(key, default_value), 0, std::int64_t{1} << 60, key);
}

Micros duration(const Line& line, std::string_view key) {
  line.text(key);  // throws if it is absent
  return duration(line, key, 0);
}

int attempt_of(const Line& line) {
  return static_cast<int>(in_range(line.integer("SendNo"), 0, 1'000'000, "SendNo"));
}

std::vector<double> report_of(const Line& line) {
  std::vector<double> report;
  if (const auto* text = line.find("Gauge"))
    for (std::string_view part : split(*text, ',')) report.push_back(to_number(part, "Gauge"));
  return report;
}

}  // namespace

Line::Line(std::string_view text) {
  std::size_t end = text.find(' ');
  name_ = text.substr(0, end);
  if (name_.empty()) throw WireError("line without a message name");
  while (end != text.npos) {
    text.remove_prefix(end + 1);
    end = text.find(' ');
    std::string_view part = text.substr(0, end);
    if (part.empty()) continue;
    std::size_t equals = part.find('=');
    if (equals == part.npos || equals == 0)
      throw WireError("'" + std::string(part) + "' is not name=value");
    pairs_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
  }
}

const std::string_view* Line::find(std::string_view key) const {
  for (const auto& [name, value] : pairs_)
    if (name == key) return &value;
  return nullptr;
}

std::string_view Line::text(std::string_view key) const {
  if (const auto* value = find(key)) return *value;
  throw WireError(std::string(name_) + " without " + std::string(key));
}

std::int64_t Line::integer(std::string_view key) const { return to_integer(text(key), key); }

std::int64_t Line::integer(std::string_view key, std::int64_t default_value) const {
  const auto* value = find(key);
  return value ? to_integer(*value, key) : default_value;
}

double Line::number(std::string_view key, double default_value) const {
  const auto* value = find(key);
  return value ? to_number(*value, key) : default_value;
}

bool Line::flag(std::string_view key, bool default_value) const {
  const auto* value = find(key);
  return value ? to_flag(*value, key) : default_value;
}

SettingPairs pairs_by_path(const Line& line) {
  return SettingPairs(line.pairs().begin(), line.pairs().end());
}

std::string format_action(const Action& action) {
  struct Writer {
    std::string operator()(const Send& a) const {
      std::string line = "route Tid=" + std::to_string(a.id) + " Server=" + a.server;
      if (a.attempt_timeout > 0) line += " PatienceUs=" + std::to_string(a.attempt_timeout);
      return line;
    }
    std::string operator()(const Refuse& a) const {
      std::string line = "deny Tid=" + std::to_string(a.id);
      if (a.retry_after > 0) line += " WaitUs=" + std::to_string(a.retry_after);
      return line;
    }
    std::string operator()(const Fail& a) const {
      return "drop_request Tid=" + std::to_string(a.id);
    }
    std::string operator()(const Cancel& a) const {
      return "call_off Tid=" + std::to_string(a.id) + " SendNo=" + std::to_string(a.attempt);
    }
    std::string operator()(const Watch&) const { return "follow Want=1"; }
    std::string operator()(const Fetch&) const { return "pull"; }
    std::string operator()(const Timer& a) const {
      return "wake_at SpanUs=" + std::to_string(a.after) + " Nonce=" + std::to_string(a.token);
    }
    std::string operator()(const Probe& a) const { return "health_check Server=" + a.server; }
  };
  return std::visit(Writer{}, action);
}

std::string Adapter::process_line(std::string_view text) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  Line line(text);
  if (missing_entries_ > 0 && line.name() != "m")
    throw WireError("expected a list entry 'm', as many as Elements announced");
  if (line.name() == "batch") {
    if (in_batch_) throw WireError("'batch' inside a batch, expected 'your_turn' first");
    Micros now = line.integer("NowUs");
    if (seen_batch_ && now < now_) throw WireError("NowUs is earlier than in the previous batch");
    now_ = now;
    in_batch_ = seen_batch_ = true;
    instance_.clear(), reply_instance_.clear(), reply_.clear();
    return {};
  }
  if (!in_batch_) throw WireError("'" + std::string(line.name()) + "' outside a batch");
  if (line.name() == "your_turn") {
    in_batch_ = false;
    return std::move(reply_) + "done\n";
  }
  handle_event(line);
  return {};
}

Balancer& Adapter::current_balancer() {
  auto it = balancers_.find(instance_);
  if (it == balancers_.end()) throw WireError("an event for '" + instance_ + "' before its enlist");
  return *it->second;
}

void Adapter::append_reply(const Actions& actions) {
  if (actions.empty()) return;
  if (reply_instance_ != instance_)
    reply_ += "instance Who=" + instance_ + "\n", reply_instance_ = instance_;
  for (const Action& action : actions) reply_ += format_action(action), reply_ += '\n';
}

void Adapter::deliver_list() {
  append_reply(current_balancer().on_list(now_, list_scope_, list_entries_));
}

void Adapter::handle_event(const Line& line) {
  std::string_view name = line.name();
  if (name == "switch_to") {
    instance_ = line.text("Who");
    if (instance_.empty()) throw WireError("switch_to without Who");
    return;
  }
  if (instance_.empty()) throw WireError("'" + std::string(name) + "' before switch_to");
  if (name == "enlist") {
    std::int64_t seed = line.integer("RngSeed");
    try {
      balancers_[instance_] = std::make_unique<Balancer>(settings_of(pairs_by_path(line)),
                                                         static_cast<std::uint64_t>(seed), now_);
    } catch (const std::invalid_argument& e) {
      throw WireError(e.what());
    }
    append_reply(balancers_[instance_]->start(now_));
  } else if (name == "detach") {
    current_balancer();  // throws for an unknown instance
    balancers_.erase(instance_);
  } else if (name == "membership") {
    current_balancer();  // throws for an unknown instance
    std::int64_t scope = in_range(line.integer("Scope"), 0, 3, "Scope");
    list_scope_ = static_cast<ListScope>(scope);
    list_entries_.clear();
    missing_entries_ = in_range(line.integer("Elements", 0), 0, 10'000'000, "Elements");
    if (missing_entries_ == 0) deliver_list();
  } else if (name == "m") {
    if (missing_entries_ == 0) throw WireError("a list entry that was not announced");
    Server server;
    server.id = line.text("Server");
    server.zone = line.find("RegionPart") ? line.text("RegionPart") : "";
    server.kind = line.find("Hw") ? line.text("Hw") : "";
    server.cell = line.integer("UnitGroup", -1);
    server.health = static_cast<Health>(in_range(line.integer("Health", 0), 0, 2, "Health"));
    server.weight = line.number("Share", 1);
    if (server.weight < 0) throw bad("Share", line.text("Share"));
    server.up_since = line.integer("UpSinceUs", 0);
    list_entries_.push_back(std::move(server));
    if (--missing_entries_ == 0) deliver_list();
  } else if (name == "arrival") {
    Request request;
    request.id = request_id(line);
    request.type = line.text("Type");
    if (const auto* v = line.find("Project")) request.tenant = *v;
    if (const auto* v = line.find("Entity")) request.key = *v;
    request.remaining = duration(line, "RemainingUs");
    if (line.find("HintUs")) request.work = duration(line, "HintUs");
    request.repeat = line.flag("Repeat");
    request.write = line.flag("Mutates");
    append_reply(current_balancer().on_request(now_, request));
  } else if (name == "established") {
    append_reply(current_balancer().on_response_start(
        now_, request_id(line), std::string(line.text("Server")), attempt_of(line),
        duration(line, "LatencyUs", 0)));
  } else if (name == "verdict") {
    Outcome outcome;
    outcome.id = request_id(line);
    outcome.finished = line.flag("Finished");
    outcome.server = line.text("Server");
    outcome.status = word(kStatus, line.text("Rc"), "Rc");
    outcome.latency = duration(line, "LatencyUs", 0);
    outcome.attempt = attempt_of(line);
    outcome.cache_result =
        static_cast<int>(in_range(line.integer("Detail", 0), 0, 1'000, "Detail"));
    outcome.report = report_of(line);
    append_reply(current_balancer().on_outcome(now_, outcome));
  } else if (name == "left") {
    append_reply(current_balancer().on_client_disconnect(now_, request_id(line)));
  } else if (name == "ring") {
    append_reply(current_balancer().on_timer(
        now_, static_cast<std::uint64_t>(in_range(line.integer("Nonce"), 0, INT64_MAX, "Nonce"))));
  } else if (name == "check_result") {
    append_reply(current_balancer().on_probe(now_, std::string(line.text("Server")),
                                             word(kStatus, line.text("Rc"), "Rc"),
                                             duration(line, "LatencyUs", 0), report_of(line)));
  } else if (name == "peer") {
    current_balancer();  // routers exchange no state
  } else {
    throw WireError("unknown message '" + std::string(name) + "'");
  }
}

}  // namespace violetusher::drill
