#include "operations.hpp"

#include <algorithm>
#include <vector>

#include "core/ops/operator_command.hpp"

namespace violetusher::net {
namespace {

// After a failed listen.
constexpr Micros kListenPause = kSecond / 10;
// Every call is answered within a second.
constexpr Micros kYesWithin = 4 * kSecond / 5;

/// Of the folder that outlives the process and the router's name, as it is the same after a
/// restart.
std::string ban_path(const Config& config) {
  if (config.operator_listen.empty() || config.state_directory.empty()) return {};
  std::string name = config.name;
  std::replace(name.begin(), name.end(), '/', '_');
  return config.state_directory + "/violetusher-" + name + ".bans";
}

}  // namespace

Operations::Operations(Io& io, const Config& config, const core::ops::Metrics& figures,
                       Handler& handler, Log& log)
    : io_(io),
      config_(config),
      figures_(figures),
      handler_(handler),
      log_(log),
      hosts_(config.initial_hosts),
      bans_(ban_path(config)),
      side_(io, [this](std::string_view line,
                       OperatorListener::Later later) { return answer(line, std::move(later)); }),
      look_alarm_(io.alarm([this] { look(); })) {}

void Operations::start() {
  if (!config_.operator_listen.empty()) look();
}

bool Operations::bans_known() {
  if (promises_ || config_.operator_listen.empty()) return true;
  sync();
  return bans_.known();
}

void Operations::look() {
  sync();
  answer_waiting();
  listen();
  look_alarm_->set(std::max<Micros>(bans_.next(io_.now()) - io_.now(), kMillisecond));
}

void Operations::listen() {
  if (side_.listening() || io_.now() < listen_at_) return;
  auto address = parse_address(config_.operator_listen, true);
  std::string error = "no address";
  if (address && side_.listen(*address, error)) return;
  listen_at_ = io_.now() + kListenPause;
  log_.write(io_.now(), Log::Level::kError, "operator-listen-failed",
             "operator address " + config_.operator_listen + ": " + error + "; tried again",
             {{"address", std::string_view(config_.operator_listen)}});
}

/// Makes what is out here what was promised here or by another process of this router.
void Operations::sync() {
  if (promises_) return;
  if (bans_.advance(io_.now())) follow(bans_.out());
  tell_trouble();
}

/// Told once, until something else is wrong or all is well.
void Operations::tell_trouble() {
  if (bans_.trouble() == told_trouble_) return;
  told_trouble_ = bans_.trouble();
  if (told_trouble_.empty())
    log_.write(io_.now(), Log::Level::kInfo, "bans-kept", "operator: the file of bans is good");
  else
    log_.write(io_.now(), Log::Level::kWarn, "ban-not-kept",
               "operator: " + told_trouble_ + "; what is out stays out, and it is tried again",
               {{"reason", std::string_view(told_trouble_)}});
}

void Operations::answer_waiting() {
  Micros now = io_.now();
  std::vector<Waiting> rest;
  for (Waiting& one : waiting_) {
    if (bans_.durable(one.number))
      one.later("SUCCESS\r\n");
    else if (now >= one.until)
      one.later("FAILURE " + one.id + (one.out ? " is out" : " is back") +
                " now, but that is not written down yet and would not outlive this process\r\n");
    else
      rest.push_back(std::move(one));
  }
  waiting_.swap(rest);
}

void Operations::apply_bans(const std::set<std::string>& out) {
  if (promises_) follow(out);
}

void Operations::follow(const std::set<std::string>& out) {
  std::vector<std::string> back;
  for (const std::string& id : hosts_.banned_ids())
    if (!out.count(id)) back.push_back(id);
  for (const std::string& id : back) handler_.on_ban_change(hosts_.set_banned(id, false));
  for (const std::string& id : out)
    if (!hosts_.is_banned(id)) handler_.on_ban_change(hosts_.set_banned(id, true));
}

std::optional<std::string> Operations::answer(std::string_view line,
                                              OperatorListener::Later later) {
  using Kind = core::ops::OperatorCommand::Kind;
  std::string error;
  auto call = core::ops::parse_command(line, error);
  if (!call) return "FAILURE " + error + "\r\n";
  bool out = call->kind == Kind::kOffline;
  if (promises_ && (out || call->kind == Kind::kOnline)) {
    // Put back it may be without being listed here: another router took it out.
    if (out && !hosts_.known(call->id)) return "FAILURE no such cache server\r\n";
    promises_->set_banned(call->id, out, [later = std::move(later)](std::string why) {
      later(why.empty() ? "SUCCESS\r\n" : "FAILURE " + why + "\r\n");
    });
    return std::nullopt;
  }
  switch (call->kind) {
    case Kind::kHealth:
      return "SUCCESS\r\n";
    case Kind::kDump:
      return figures_.json(handler_.current_figures()) + "\r\nEOT\r\n";
    case Kind::kOffline:
      return put(call->id, true, std::move(later));
    default:
      return put(call->id, false, std::move(later));
  }
}

std::optional<std::string> Operations::put(const std::string& id, bool out,
                                           OperatorListener::Later later) {
  sync();
  if (!hosts_.known(id)) return "FAILURE no such cache server\r\n";
  if (out && !hosts_.is_banned(id) && hosts_.banned_ids().size() >= kMostBans)
    return "FAILURE too many cache servers are out\r\n";
  // Also where it is so already: an earlier call may not be written down yet.
  BanStore::Number number = bans_.promise(id, out);
  if (hosts_.is_banned(id) != out) {
    log_.write(io_.now(), Log::Level::kInfo, out ? "server-out" : "server-back",
               "operator: " + id + (out ? " taken out" : " put back"),
               {{"server", std::string_view(id)}});
    follow(bans_.out());
  }
  if (bans_.durable(number)) return "SUCCESS\r\n";
  waiting_.push_back({number, io_.now() + kYesWithin, id, out, std::move(later)});
  sync();
  look_alarm_->set(kMillisecond);
  return std::nullopt;
}

}  // namespace violetusher::net
