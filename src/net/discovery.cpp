#include "discovery.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <cstdio>

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
constexpr ev_ssize_t kMaxBody = 8 << 20;
constexpr ev_ssize_t kMaxHeaders = 64 << 10;

std::string escaped(const std::string& text) {
  char* encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string result = encoded ? encoded : "";
  ::free(encoded);
  return result;
}

}  // namespace

DiscoveryCall::DiscoveryCall(event_base* base, const std::string& address, Done done)
    : base_(base), done_(std::move(done)) {
  ready_.reset(event_new(base, -1, 0, on_ready, this));
  set_address(address);
}

void DiscoveryCall::set_address(const std::string& address) {
  stop();
  authority_ = address;
  host_ = address.substr(0, address.rfind(':'));
  auto parsed = parse_address(address);
  port_ = parsed ? ntohs(parsed->sin_port) : 0;
}

DiscoveryCall::~DiscoveryCall() = default;

void DiscoveryCall::stop() {
  connection_.reset();
  result_.reset();
  event_del(ready_.get());
}

void DiscoveryCall::start(const std::string& path, Micros limit) {
  stop();
  connection_.reset(evhttp_connection_base_new(base_, nullptr, host_.c_str(), port_));
  evhttp_request* request = connection_ ? evhttp_request_new(on_answer, this) : nullptr;
  if (!request) {
    event_active(ready_.get(), 0, 0);
    return;
  }
  evhttp_connection_set_max_body_size(connection_.get(), kMaxBody);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaders);
  timeval limit_tv = timeval_of(limit);
  evhttp_connection_set_timeout_tv(connection_.get(), &limit_tv);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", authority_.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
    event_active(ready_.get(), 0, 0);
}

void DiscoveryCall::on_answer(evhttp_request* request, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  call->result_.reset();
  if (request && evhttp_request_get_response_code(request) == 200) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::size_t size = evbuffer_get_length(body);
    std::string text(size, '\0');
    evbuffer_copyout(body, text.data(), size);
    try {
      call->result_ = parse_host_list(text);
    } catch (const ConfigError& e) {
      std::fprintf(stderr, "violetusher: discovery: %s\n", e.what());
    }
  }
  event_active(call->ready_.get(), 0, 0);
}

void DiscoveryCall::on_ready(evutil_socket_t, short, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  call->connection_.reset();
  std::optional<HostList> result = std::exchange(call->result_, std::nullopt);
  call->done_(std::move(result));
}

Discovery::Discovery(event_base* base, const std::string& address, const std::string& version,
                     bool insist, Handler& handler)
    : handler_(handler),
      insist_(insist),
      version_(version),
      watch_(base, address, [this](std::optional<HostList> list) { take(std::move(list)); }),
      fetch_(base, address, [this](std::optional<HostList> list) {
        if (!list || !list->whole) {
          handler_.on_hosts_failed();
          return;
        }
        // A list made before changes that the watch has brought since is older than what is held.
        if (fetch_overlapped_) return;
        version_ = list->version;
        handler_.on_hosts(std::move(*list));
      }) {
  again_.reset(event_new(base, -1, 0, on_again, this));
  if (insist_) watch();
}

void Discovery::watch() {
  renewing_ = false;
  call();
}

void Discovery::fetch() {
  fetch_overlapped_ = false;
  fetch_.start(kPath, kCallTime);
}

void Discovery::move(const std::string& address) {
  stop();
  watch_.set_address(address);
  fetch_.set_address(address);
  version_.clear();
  watch();
}

void Discovery::stop() {
  watch_.stop();
  fetch_.stop();
  event_del(again_.get());
}

void Discovery::call() {
  if (version_.empty()) {
    watch_.start(kPath, kCallTime);
    return;
  }
  int wait = renewing_ ? kWaitMs : kFirstWaitMs;
  watch_.start(std::string(kPath) + "?index=" + escaped(version_) +
                   "&wait=" + std::to_string(wait),
               wait * kMillisecond + kCallTime);
}

void Discovery::take(std::optional<HostList> list) {
  if (!list) {
    if (insist_) {
      timeval pause = timeval_of(kInsistPause);
      event_add(again_.get(), &pause);
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

void Discovery::on_again(evutil_socket_t, short, void* self) {
  static_cast<Discovery*>(self)->watch();
}

}  // namespace violetusher::net
