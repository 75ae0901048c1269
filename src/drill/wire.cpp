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

Micros span(const Line& line, std::string_view key, Micros absent) {
  return in_range(line.integer(key, absent), 0, std::int64_t{1} << 60, key);
}

Micros span(const Line& line, std::string_view key) {
  line.text(key);
  return span(line, key, 0);
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
  if (name_.empty()) throw WireError("no message name");
  while (end != text.npos) {
    text.remove_prefix(end + 1);
    end = text.find(' ');
    std::string_view part = text.substr(0, end);
    if (part.empty()) continue;
    std::size_t eq = part.find('=');
    if (eq == part.npos || eq == 0)
      throw WireError("'" + std::string(part) + "' is not name=value");
    pairs_.emplace_back(part.substr(0, eq), part.substr(eq + 1));
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

std::int64_t Line::integer(std::string_view key, std::int64_t absent) const {
  const auto* value = find(key);
  return value ? to_integer(*value, key) : absent;
}

double Line::number(std::string_view key, double absent) const {
  const auto* value = find(key);
  return value ? to_number(*value, key) : absent;
}

bool Line::flag(std::string_view key, bool absent) const {
  const auto* value = find(key);
  return value ? to_flag(*value, key) : absent;
}

SettingPairs pairs_by_path(const Line& line) {
  return SettingPairs(line.pairs().begin(), line.pairs().end());
}

std::string line_of(const Action& action) {
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

std::string Adapter::take(std::string_view text) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  Line line(text);
  if (entries_due_ > 0 && line.name() != "m") throw WireError("a list entry was due");
  if (line.name() == "batch") {
    if (in_batch_) throw WireError("a batch inside a batch");
    Micros now = line.integer("NowUs");
    if (seen_batch_ && now < now_) throw WireError("the clock runs backwards");
    now_ = now;
    in_batch_ = seen_batch_ = true;
    who_.clear(), written_.clear(), reply_.clear();
    return {};
  }
  if (!in_batch_) throw WireError("'" + std::string(line.name()) + "' outside a batch");
  if (line.name() == "your_turn") {
    in_batch_ = false;
    return std::move(reply_) + "done\n";
  }
  event(line);
  return {};
}

Balancer& Adapter::current() {
  auto it = hosts_.find(who_);
  if (it == hosts_.end()) throw WireError("an event for '" + who_ + "' before its enlist");
  return *it->second;
}

void Adapter::emit(const Actions& actions) {
  if (actions.empty()) return;
  if (written_ != who_) reply_ += "instance Who=" + who_ + "\n", written_ = who_;
  for (const Action& action : actions) reply_ += line_of(action), reply_ += '\n';
}

void Adapter::end_list() { emit(current().on_list(now_, scope_, entries_)); }

void Adapter::event(const Line& line) {
  std::string_view name = line.name();
  if (name == "switch_to") {
    who_ = line.text("Who");
    if (who_.empty()) throw WireError("switch_to without Who");
    return;
  }
  if (who_.empty()) throw WireError("'" + std::string(name) + "' before switch_to");
  if (name == "enlist") {
    std::int64_t seed = line.integer("RngSeed");
    try {
      hosts_[who_] = std::make_unique<Balancer>(settings_of(pairs_by_path(line)),
                                                static_cast<std::uint64_t>(seed), now_);
    } catch (const std::invalid_argument& e) {
      throw WireError(e.what());
    }
    emit(hosts_[who_]->start(now_));
  } else if (name == "detach") {
    current();
    hosts_.erase(who_);
  } else if (name == "membership") {
    current();
    std::int64_t scope = in_range(line.integer("Scope"), 0, 3, "Scope");
    scope_ = static_cast<ListScope>(scope);
    entries_.clear();
    entries_due_ = in_range(line.integer("Elements", 0), 0, 10'000'000, "Elements");
    if (entries_due_ == 0) end_list();
  } else if (name == "m") {
    if (entries_due_ == 0) throw WireError("a list entry that was not announced");
    Server s;
    s.id = line.text("Server");
    s.zone = line.find("RegionPart") ? line.text("RegionPart") : "";
    s.kind = line.find("Hw") ? line.text("Hw") : "";
    s.cell = line.integer("UnitGroup", -1);
    s.health = static_cast<Health>(in_range(line.integer("Health", 0), 0, 2, "Health"));
    s.weight = line.number("Share", 1);
    if (s.weight < 0) throw bad("Share", line.text("Share"));
    s.up_since = line.integer("UpSinceUs", 0);
    entries_.push_back(std::move(s));
    if (--entries_due_ == 0) end_list();
  } else if (name == "arrival") {
    Request r;
    r.id = request_id(line);
    r.type = line.text("Type");
    if (const auto* v = line.find("Project")) r.tenant = *v;
    if (const auto* v = line.find("Entity")) r.key = *v;
    r.remaining = span(line, "RemainingUs");
    if (line.find("HintUs")) r.work = span(line, "HintUs");
    r.repeat = line.flag("Repeat");
    r.write = line.flag("Mutates");
    emit(current().on_request(now_, r));
  } else if (name == "established") {
    emit(current().on_response_start(now_, request_id(line), std::string(line.text("Server")),
                                     attempt_of(line), span(line, "LatencyUs", 0)));
  } else if (name == "verdict") {
    Outcome o;
    o.id = request_id(line);
    o.finished = line.flag("Finished");
    o.server = line.text("Server");
    o.status = word(kStatus, line.text("Rc"), "Rc");
    o.latency = span(line, "LatencyUs", 0);
    o.attempt = attempt_of(line);
    o.cache_result = static_cast<int>(in_range(line.integer("Detail", 0), 0, 1'000, "Detail"));
    o.report = report_of(line);
    emit(current().on_outcome(now_, o));
  } else if (name == "left") {
    emit(current().on_client_disconnect(now_, request_id(line)));
  } else if (name == "ring") {
    emit(current().on_timer(
        now_, static_cast<std::uint64_t>(in_range(line.integer("Nonce"), 0, INT64_MAX, "Nonce"))));
  } else if (name == "check_result") {
    emit(current().on_probe(now_, std::string(line.text("Server")),
                            word(kStatus, line.text("Rc"), "Rc"), span(line, "LatencyUs", 0),
                            report_of(line)));
  } else if (name == "peer") {
    current();  // routers share nothing
  } else {
    throw WireError("unknown message '" + std::string(name) + "'");
  }
}

}  // namespace violetusher::drill
