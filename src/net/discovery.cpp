#include "discovery.hpp"

#include <cctype>
#include <cstring>

namespace violetusher::net {
namespace {

using core::membership::ListDecision;
using core::membership::ListResponse;

const char* const kPath = "/discovery/hosts";
// Calls are ended by core::membership; this is for one whose connection hangs all the same.
constexpr Micros kHttpSlack = 5 * kSecond;
// A list that nothing was heard of for so long is told as old: a watch that waits is heard of twice
// in this time.
constexpr Micros kOld = 60 * kSecond;

/// For a query, as RFC 3986 has it.
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

}  // namespace

Discovery::Discovery(Io& io, const std::string& address, const std::string& held,
                     const core::membership::WatchTiming& terms, std::uint64_t seed,
                     Handler& handler, Log& log)
    : io_(io),
      handler_(handler),
      log_(log),
      address_(address),
      insists_(terms.always_retries),
      calls_(*this, terms, held, seed),
      alarm_(io.alarm([this] {
        calls_.run_due(io_.now());
        arm();
      })) {
  calls_.set_started(io.now());
  for (int k = 0; k < core::membership::WatchScheduler::kPlaces; ++k) {
    auto place = static_cast<Place>(k);
    gets_[place] = io.http([this, place](auto answer) { answered(place, answer); });
  }
}

void Discovery::start() {
  if (insists_) watch();
}

void Discovery::watch() {
  calls_.watch(io_.now());
  arm();
}

void Discovery::fetch() {
  calls_.fetch(io_.now());
  arm();
}

void Discovery::move(const std::string& address) {
  address_ = address;
  calls_.change_address(io_.now());
  arm();
}

void Discovery::use(const core::membership::WatchTiming& terms) {
  if (!calls_.set_timing(terms)) return;
  insists_ = terms.always_retries;
  watch();
}

void Discovery::start(Place place, const std::string& version, Micros wait) {
  std::string path = kPath;
  if (!version.empty())
    path += "?index=" + escaped(version) + "&wait=" + std::to_string(wait / kMillisecond);
  gets_[place]->start(address_, path, wait + kHttpSlack);
}

void Discovery::cancel(Place place) { gets_[place]->stop(); }

void Discovery::on_watch_lost() { handler_.on_hosts_failed(); }

void Discovery::arm() {
  if (age() > kOld && !quiet_) {
    quiet_ = true;
    std::int64_t old = age() / kSecond;
    log_.write(io_.now(), Log::Level::kWarn, "discovery-quiet",
               "discovery: nothing heard for " + std::to_string(old) +
                   " s; the list is as old, and goes on being used",
               {{"address", std::string_view(address_)}, {"age_s", old}});
  }
  if (auto next = calls_.next_due())
    alarm_->set(std::max<Micros>(*next - io_.now(), 0));
  else
    alarm_->clear();
}

/// Told once, until something else is wrong or all is well.
void Discovery::fault(const std::string& text) {
  if (text == fault_) return;
  fault_ = text;
  if (!text.empty())
    log_.write(io_.now(), Log::Level::kWarn, "discovery-bad-list", "discovery: " + text,
               {{"address", std::string_view(address_)}});
}

std::optional<HostList> Discovery::list_of(const std::optional<HttpGet::Answer>& answer) {
  if (!answer) return std::nullopt;
  try {
    HostList list = parse_host_list(answer->body);
    list.date = answer->date;
    fault(list.fault);
    return list;
  } catch (const ConfigError& e) {
    fault(e.what());
    return std::nullopt;
  }
}

void Discovery::answered(Place place, const std::optional<HttpGet::Answer>& http) {
  std::optional<HostList> list = list_of(http);
  ListResponse answer;
  if (list) {
    answer.list = true;
    answer.sound = list->fault.empty();
    answer.version = list->version;
    answer.whole = list->whole;
  }
  std::string held = calls_.version();
  ListDecision take = calls_.on_response(place, io_.now(), answer);
  if (answer.sound && quiet_) {
    quiet_ = false;
    log_.write(io_.now(), Log::Level::kInfo, "discovery-heard", "discovery: heard again",
               {{"address", std::string_view(address_)}});
  }
  arm();
  if (take == ListDecision::kIgnore) return;  // there may be no list
  // Of a watch that insists and is made some times a second, nothing new is nothing to be told.
  bool news = !insists_ || list->whole || !list->hosts.empty() || list->version != held;
  if (news) handler_.on_hosts(std::move(*list), take == ListDecision::kApplyUnconfirmed);
}

}  // namespace violetusher::net
