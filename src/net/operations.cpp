#include "operations.hpp"

#include <algorithm>
#include <vector>

#include "core/ops/operator_command.hpp"

namespace violetusher::net {
namespace {

constexpr Micros kListenRetryDelay = kSecond / 10;
// Every operator command must be answered within a second.
constexpr Micros kDurabilityTimeout = 4 * kSecond / 5;

}  // namespace

Operations::Operations(Io& io, const Config& config, const core::ops::Metrics& metrics,
                       Handler& handler, Log& log)
    : io_(io),
      config_(config),
      metrics_(metrics),
      handler_(handler),
      log_(log),
      hosts_(config.initial_hosts),
      bans_(config.operator_listen.empty() ? "" : config.state_file("bans")),
      listener_(io,
                [this](std::string_view line, OperatorListener::Responder respond) {
                  return handle_command(line, std::move(respond));
                }),
      tick_alarm_(io.alarm([this] { tick(); })) {}

void Operations::start() {
  if (!config_.operator_listen.empty()) tick();
}

bool Operations::bans_known() {
  if (fleet_bans_ || config_.operator_listen.empty()) return true;
  sync_bans();
  return bans_.loaded();
}

void Operations::tick() {
  sync_bans();
  complete_pending_answers();
  listen();
  tick_alarm_->set(std::max<Micros>(bans_.next_advance_at(io_.now()) - io_.now(), kMillisecond));
}

void Operations::listen() {
  if (listener_.listening() || io_.now() < next_listen_at_) return;
  auto address = parse_address(config_.operator_listen, true);
  std::string error = "not an IPv4 address and port";
  if (address && listener_.listen(*address, error)) return;
  next_listen_at_ = io_.now() + kListenRetryDelay;
  log_.write(io_.now(), Log::Level::kError, "operator-listen-failed",
             "operator address " + config_.operator_listen + ": " + error + "; retrying",
             {{"address", std::string_view(config_.operator_listen)}});
}

/// Applies the bans made here or by another process of the same router.
void Operations::sync_bans() {
  if (fleet_bans_) return;
  if (bans_.advance(io_.now())) update_registry(bans_.banned());
  log_store_error();
}

/// Logs each distinct error once, until it changes or clears.
void Operations::log_store_error() {
  if (bans_.error() == logged_error_) return;
  logged_error_ = bans_.error();
  if (logged_error_.empty())
    log_.write(io_.now(), Log::Level::kInfo, "bans-kept",
               "operator: the ban log can be read and written");
  else
    log_.write(io_.now(), Log::Level::kWarn, "ban-not-kept",
               "operator: " + logged_error_ + "; current bans stay in force; retrying",
               {{"reason", std::string_view(logged_error_)}});
}

void Operations::complete_pending_answers() {
  Micros now = io_.now();
  std::vector<PendingAnswer> remaining;
  for (PendingAnswer& waiting : pending_answers_) {
    if (bans_.is_durable(waiting.sequence))
      waiting.respond("SUCCESS\r\n");
    else if (now >= waiting.deadline)
      waiting.respond(
          "FAILURE " + waiting.id + (waiting.banned ? " is out" : " is back") +
          " now, but that is not written down yet and would not outlive this process\r\n");
    else
      remaining.push_back(std::move(waiting));
  }
  pending_answers_.swap(remaining);
}

void Operations::apply_bans(const std::set<std::string>& banned) {
  if (fleet_bans_) update_registry(banned);
}

void Operations::update_registry(const std::set<std::string>& banned) {
  std::vector<std::string> lifted;
  for (const std::string& id : hosts_.banned_ids())
    if (!banned.count(id)) lifted.push_back(id);
  for (const std::string& id : lifted) handler_.on_ban_change(hosts_.set_banned(id, false));
  for (const std::string& id : banned)
    if (!hosts_.is_banned(id)) handler_.on_ban_change(hosts_.set_banned(id, true));
}

std::optional<std::string> Operations::handle_command(std::string_view line,
                                                      OperatorListener::Responder respond) {
  using Kind = core::ops::OperatorCommand::Kind;
  std::string error;
  auto command = core::ops::parse_command(line, error);
  if (!command) return "FAILURE " + error + "\r\n";
  bool banned = command->kind == Kind::kOffline;
  if (fleet_bans_ && (banned || command->kind == Kind::kOnline)) {
    // A ban may be lifted for a server that is not listed here: another router may have set it.
    if (banned && !hosts_.known(command->id)) return "FAILURE no such cache server\r\n";
    fleet_bans_->set_banned(
        command->id, banned, [respond = std::move(respond)](std::string failure) {
          respond(failure.empty() ? "SUCCESS\r\n" : "FAILURE " + failure + "\r\n");
        });
    return std::nullopt;
  }
  switch (command->kind) {
    case Kind::kHealth:
      return handler_.accepts_clients() ? "SUCCESS\r\n" : "FAILURE starting\r\n";
    case Kind::kDump:
      return metrics_.json(handler_.current_figures()) + "\r\nEOT\r\n";
    case Kind::kOffline:
      return set_banned(command->id, true, std::move(respond));
    default:
      return set_banned(command->id, false, std::move(respond));
  }
}

std::optional<std::string> Operations::set_banned(const std::string& id, bool banned,
                                                  OperatorListener::Responder respond) {
  sync_bans();
  if (!hosts_.known(id)) return "FAILURE no such cache server\r\n";
  if (banned && !hosts_.is_banned(id) && hosts_.banned_ids().size() >= kMaxBans)
    return "FAILURE too many cache servers are out\r\n";
  // Recorded even if nothing changes: an earlier command may not be durable yet.
  BanStore::Sequence sequence = bans_.set_banned(id, banned);
  if (hosts_.is_banned(id) != banned) {
    log_.write(io_.now(), Log::Level::kInfo, banned ? "server-out" : "server-back",
               "operator: " + id + (banned ? " banned" : ": ban lifted"),
               {{"server", std::string_view(id)}});
    update_registry(bans_.banned());
  }
  if (bans_.is_durable(sequence)) return "SUCCESS\r\n";
  pending_answers_.push_back(
      {sequence, io_.now() + kDurabilityTimeout, id, banned, std::move(respond)});
  sync_bans();
  tick_alarm_->set(kMillisecond);
  return std::nullopt;
}

}  // namespace violetusher::net
