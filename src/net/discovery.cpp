#include "discovery.hpp"

#include <cctype>
#include <cstring>

namespace violetusher::net {
namespace {

const char* const kPath = "/discovery/hosts";
// How long a watch may wait at discovery. Each call costs it work, so not much shorter.
constexpr int kWaitMs = 20'000;
// The first call of a watch returns at once, so that the module learns that it is watching.
constexpr int kFirstWaitMs = 1;
// A call that is not answered this long after its wait has failed: discovery answers or fails what
// it can't do within seconds, so silence means that it can't be reached.
constexpr Micros kCallTime = 2 * kSecond;
constexpr Micros kInsistPause = kSecond;

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

Discovery::Discovery(Io& io, const std::string& address, const std::string& version, bool insist,
                     Handler& handler, Log& log)
    : io_(io),
      handler_(handler),
      log_(log),
      address_(address),
      insist_(insist),
      version_(version),
      watch_(io.http([this](auto body) { watched(list_of(body)); })),
      fetch_(io.http([this](auto body) { fetched(list_of(body)); })),
      again_(io.alarm([this] { watch(); })) {
  if (insist_) watch();
}

std::optional<HostList> Discovery::list_of(const std::optional<std::string>& body) {
  if (!body) return std::nullopt;
  try {
    return parse_host_list(*body);
  } catch (const ConfigError& e) {
    log_.write(io_.now(), Log::Level::kWarn, "discovery-bad-list",
               std::string("discovery: ") + e.what(), {{"address", std::string_view(address_)}});
    return std::nullopt;
  }
}

void Discovery::watch() {
  renewing_ = false;
  call();
}

void Discovery::fetch() {
  fetch_overlapped_ = false;
  fetch_->start(address_, kPath, kCallTime);
}

void Discovery::move(const std::string& address) {
  stop();
  address_ = address;
  version_.clear();
  watch();
}

void Discovery::stop() {
  watch_->stop();
  fetch_->stop();
  again_->clear();
}

void Discovery::call() {
  if (version_.empty()) {
    watch_->start(address_, kPath, kCallTime);
    return;
  }
  int wait = renewing_ ? kWaitMs : kFirstWaitMs;
  watch_->start(
      address_,
      std::string(kPath) + "?index=" + escaped(version_) + "&wait=" + std::to_string(wait),
      wait * kMillisecond + kCallTime);
}

void Discovery::fetched(std::optional<HostList> list) {
  if (!list || !list->whole) {
    handler_.on_hosts_failed();
    return;
  }
  // A list made before changes that the watch has brought since is older than what is held.
  if (fetch_overlapped_) return;
  version_ = list->version;
  handler_.on_hosts(std::move(*list));
}

void Discovery::watched(std::optional<HostList> list) {
  if (!list) {
    if (insist_) {
      again_->set(kInsistPause);
    } else {
      handler_.on_hosts_failed();
    }
    return;
  }
  version_ = list->version;
  if (list->whole || !list->hosts.empty()) fetch_overlapped_ = true;
  // The next call at once: a watch with gaps is a new one.
  renewing_ = true;
  call();
  handler_.on_hosts(std::move(*list));
}

}  // namespace violetusher::net
