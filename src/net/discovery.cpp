#include "discovery.hpp"

#include <cctype>
#include <cstring>

namespace violetusher::net {
namespace {

using core::membership::CallOutcome;
using core::membership::ListDecision;
using core::membership::ListResponse;

const char* const kHostsPath = "/discovery/hosts";
// The scheduler ends calls by its own timeouts; this margin is a backstop for a hung connection.
constexpr Micros kHttpTimeoutMargin = 5 * kSecond;
// Longer than the usual line about a call.
constexpr std::size_t kCallLineBytes = 240;
// Without an answer for this long the list is logged as stale. A healthy watch is answered at
// least twice in this time.
constexpr Micros kStaleAfter = 60 * kSecond;

/// Percent-encodes a query value (RFC 3986).
std::string escaped(const std::string& text) {
  static const char* const kHex = "0123456789ABCDEF";
  std::string result;
  for (unsigned char c : text) {
    if (std::isalnum(c) || (c && std::strchr("-._~", c))) {
      result += static_cast<char>(c);
      continue;
    }
    result += '%';
    result += kHex[c >> 4];
    result += kHex[c & 15];
  }
  return result;
}

CallOutcome outcome_of(const HttpGet::Failure& failure) {
  using Kind = HttpGet::Failure::Kind;
  switch (failure.kind) {
    case Kind::kStatus:
      return CallOutcome::kRefused;
    case Kind::kUnreachable:
      return CallOutcome::kUnreachable;
    case Kind::kLocal:
      return CallOutcome::kLocalError;
    default:
      return CallOutcome::kFailed;
  }
}

}  // namespace

Discovery::Discovery(Io& io, const std::string& address, const std::string& version,
                     const core::membership::WatchTiming& timing, std::uint64_t seed,
                     Handler& handler, Log& log)
    : io_(io),
      handler_(handler),
      log_(log),
      address_(address),
      pushed_(timing.pushed),
      list_address_(address),
      scheduler_(*this, timing, version, seed),
      alarm_(io.alarm([this] {
        scheduler_.run_due(io_.now());
        schedule();
      })) {
  scheduler_.set_started(io.now());
  for (int k = 0; k < core::membership::WatchScheduler::kPlaces; ++k) {
    auto place = static_cast<Place>(k);
    requests_[place] = io.http([this, place](const auto& answer, const auto& failure) {
      on_answer(place, answer, failure);
    });
  }
}

void Discovery::start() {
  scheduler_.start(io_.now());
  schedule();
}

void Discovery::fetch() {
  scheduler_.fetch(io_.now());
  schedule();
}

void Discovery::move(const std::string& address) {
  address_ = address;
  scheduler_.change_address(io_.now());
  schedule();
}

void Discovery::use(const core::membership::WatchTiming& timing) {
  if (!scheduler_.set_timing(timing)) return;
  pushed_ = timing.pushed;
  scheduler_.watch(io_.now());
  schedule();
}

core::membership::ListIdentity Discovery::list_identity() const {
  return {list_address_, count_restarted_at_, scheduler_.version(), io_.uptime() - age()};
}

void Discovery::adopt_list(const core::membership::ListIdentity& identity) {
  scheduler_.adopt_list(identity.version, identity.confirmed_at + io_.now() - io_.uptime());
  count_restarted_at_ = identity.count_restarted_at;
  has_list_ = true;
}

void Discovery::begin_takeover() {
  scheduler_.begin_takeover(io_.now());
  schedule();
}

void Discovery::start(Place place, const std::string& version, Micros wait,
                      core::membership::CallReason reason) {
  calls_[place] = {++counts_.made, reason, io_.now()};
  std::string path = kHostsPath;
  if (!version.empty())
    path += "?index=" + escaped(version) + "&wait=" + std::to_string(wait / kMillisecond);
  requests_[place]->start(address_, path, wait + kHttpTimeoutMargin);
}

void Discovery::cancel(Place place) {
  requests_[place]->stop();
  record_end(place, CallOutcome::kGivenUp, "no response");
}

/// Counts the end of a call and logs it. Calls to an agent are many: the first of a row that is not
/// answered is logged. `detail`: why it was not answered; `version`: that of its answer.
void Discovery::record_end(Place place, CallOutcome outcome, const std::string& detail,
                           const std::string& version) {
  const CallInFlight& call = calls_[place];
  ++counts_.ended[static_cast<std::size_t>(outcome)];
  bool repeated = outcome == CallOutcome::kAnswered || outcome == last_outcome_;
  last_outcome_ = outcome;
  if (pushed_ && repeated) return;
  Micros duration = (io_.now() - call.started) / kMillisecond, list_age = age() / kMillisecond;
  const char* reason = name_of(call.reason);
  const char* how = name_of(outcome);
  int in_flight = scheduler_.calls_in_flight();
  if (outcome != CallOutcome::kGivenUp) --in_flight;  // this one, which the scheduler still counts
  std::string text;
  text.reserve(kCallLineBytes);
  text.append("discovery: call ").append(std::to_string(call.number)).append(" (").append(reason);
  text.append(") ").append(how).append(" after ").append(std::to_string(duration)).append(" ms");
  if (!version.empty()) text.append(", version ").append(version);
  if (!detail.empty()) text.append(": ").append(detail);
  text.append("; ").append(std::to_string(in_flight)).append(" others in flight, list ");
  text.append(scheduler_.version()).append(" confirmed ").append(std::to_string(list_age));
  text.append(" ms ago");
  log_.write(io_.now(), Log::Level::kInfo, "discovery-call", text,
             {{"call", static_cast<std::int64_t>(call.number)},
              {"reason", std::string_view(reason)},
              {"outcome", std::string_view(how)},
              {"detail", std::string_view(detail)},
              {"duration_ms", static_cast<std::int64_t>(duration)},
              {"in_flight", static_cast<std::int64_t>(in_flight)},
              {"list_age_ms", static_cast<std::int64_t>(list_age)},
              {"list", std::string_view(version)}});
}

/// Logs a list that is put to use and names servers, and what it takes out of use.
void Discovery::log_list(const HostList& list, Micros previous_age) {
  if (list.hosts.empty()) return;
  std::string out;
  for (const Host& host : list.hosts)
    if (host.server.health != violetusher::Health::Ready)
      out += (out.empty() ? "" : " ") + host.server.id;
  const char* kind = list.whole ? "whole" : "changes";
  std::string text = "discovery: list " + list.version + " (" + kind + ", " +
                     std::to_string(list.hosts.size()) + " entries) in use; the one before was " +
                     "confirmed " + std::to_string(previous_age / kMillisecond) + " ms ago";
  if (!out.empty()) text += "; draining or removed: " + out;
  log_.write(io_.now(), Log::Level::kInfo, "list-in-use", text,
             {{"list", std::string_view(list.version)},
              {"kind", std::string_view(kind)},
              {"entries", static_cast<std::int64_t>(list.hosts.size())},
              {"previous_age_ms", static_cast<std::int64_t>(previous_age / kMillisecond)},
              {"out", std::string_view(out)}});
}

void Discovery::schedule() {
  if (age() > kStaleAfter && !stale_logged_) {
    stale_logged_ = true;
    std::int64_t old = age() / kSecond;
    log_.write(io_.now(), Log::Level::kWarn, "discovery-quiet",
               "discovery: no valid answer for " + std::to_string(old) +
                   " s; the host list may be stale and stays in use",
               {{"address", std::string_view(address_)}, {"age_s", old}});
  }
  if (auto next = scheduler_.next_due())
    alarm_->set(std::max<Micros>(*next - io_.now(), 0));
  else
    alarm_->clear();
}

/// Logs each distinct fault once, until it changes or clears.
void Discovery::log_fault(const std::string& text) {
  if (text == logged_fault_) return;
  logged_fault_ = text;
  if (!text.empty())
    log_.write(io_.now(), Log::Level::kWarn, "discovery-bad-list", "discovery: " + text,
               {{"address", std::string_view(address_)}});
}

std::optional<HostList> Discovery::parse_list(const std::optional<HttpGet::Answer>& answer) {
  if (!answer) return std::nullopt;
  try {
    HostList list = parse_host_list(answer->body);
    list.date = answer->date;
    log_fault(list.fault);
    return list;
  } catch (const ConfigError& e) {
    log_fault(e.what());
    return std::nullopt;
  }
}

void Discovery::on_answer(Place place, const std::optional<HttpGet::Answer>& http,
                          const HttpGet::Failure& failure) {
  std::optional<HostList> list = parse_list(http);
  ListResponse answer;
  if (list) {
    answer.list = true;
    answer.sound = list->fault.empty();
    answer.version = list->version;
    answer.whole = list->whole;
  }
  CallOutcome outcome = http ? CallOutcome::kUnusable : outcome_of(failure);
  if (answer.sound) outcome = CallOutcome::kAnswered;
  answer.refused = outcome == CallOutcome::kRefused;
  record_end(place, outcome, http ? "" : failure.text(), answer.version);
  std::string previous_version = scheduler_.version();
  Micros previous_age = age();
  ListDecision decision = scheduler_.on_response(place, io_.now(), answer);
  if (answer.sound && stale_logged_) {
    stale_logged_ = false;
    log_.write(io_.now(), Log::Level::kInfo, "discovery-heard", "discovery: valid answers again",
               {{"address", std::string_view(address_)}});
  }
  schedule();
  if (decision == ListDecision::kIgnore) return;  // `list` may be empty
  list_address_ = address_;
  has_list_ = true;
  if (decision == ListDecision::kApplyUnconfirmed) count_restarted_at_ = io_.uptime();
  // An agent is asked several times a second; an unchanged list is not reported.
  bool changed =
      !pushed_ || list->whole || !list->hosts.empty() || list->version != previous_version;
  if (list->version != previous_version) log_list(*list, previous_age);
  if (changed) handler_.on_hosts(std::move(*list), decision == ListDecision::kApplyUnconfirmed);
}

}  // namespace violetusher::net
