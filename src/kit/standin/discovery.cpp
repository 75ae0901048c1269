#include "discovery.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/config.hpp"

namespace violetusher::standin {
namespace {

constexpr Micros kMaxWatchWait = 60'000'000;      // of PROTOCOL
constexpr Micros kNotificationInterval = 50'000;  // between updates of the notification times

}  // namespace

DiscoveryStandin::DiscoveryStandin(kit::Loop& loop, const FleetSpec& spec, int routers,
                                   kit::History& history)
    : loop_(loop), spec_(spec), notifications_(history, routers, spec.pushed, spec.ask_within) {
  for (int router = 0; router < routers; ++router) {
    auto listener = std::make_unique<HttpListener>();
    listener->owner = this;
    listener->router = router;
    listener->http = evhttp_new(loop.base());
    auto* socket = evhttp_bind_socket_with_handle(listener->http, "127.0.0.1", 0);
    if (!socket) throw std::runtime_error("discovery: no listening socket");
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &size);
    listener->port = ntohs(address.sin_port);
    evhttp_set_gencb(listener->http, on_call, listener.get());
    listeners_.push_back(std::move(listener));
  }
  tick();
}

DiscoveryStandin::~DiscoveryStandin() {
  for (auto& listener : listeners_) evhttp_free(listener->http);
}

std::string DiscoveryStandin::address(int router) const {
  return "127.0.0.1:" + std::to_string(listeners_[static_cast<std::size_t>(router)]->port);
}

void DiscoveryStandin::tick() {
  notifications_.advance(loop_.now());
  loop_.at(loop_.now() + kNotificationInterval, [this] { tick(); });
}

void DiscoveryStandin::publish(const Entry& entry) {
  if (spec_.pushed && down_) {
    deferred_.push_back(entry);
    return;
  }
  ++version_;
  notifications_.on_change(entry.server, entry.health, loop_.now());
  auto it = std::find_if(entries_.begin(), entries_.end(),
                         [&](const VersionedEntry& h) { return h.entry.id == entry.id; });
  if (it == entries_.end())
    entries_.push_back({entry, version_});
  else
    *it = {entry, version_};
  answer_due_watches();
}

void DiscoveryStandin::set_down(bool down) {
  down_ = down;
  if (spec_.pushed) {
    notifications_.set_down(down);
    if (down) return;
    for (const Entry& entry : std::exchange(deferred_, {})) publish(entry);
    answer_due_watches();
    return;
  }
  note_reachability();
  if (!down) return;
  for (const Call& call : queue_) fail(call);
  queue_.clear();
  reset_watches();
}

void DiscoveryStandin::silence_watches() {
  for (Call& call : watches_) {
    if (call.silent) continue;
    call.silent = true;
    count_watches(call.router);
    notifications_.on_silence(call.router, call.until, loop_.now());
  }
}

void DiscoveryStandin::reset_watches() {
  std::list<Call> ended;
  for (auto it = watches_.begin(); it != watches_.end();) {
    auto next = std::next(it);
    if (!it->silent) ended.splice(ended.end(), watches_, it);
    it = next;
  }
  for (const Call& call : ended) {
    count_watches(call.router);
    fail(call);
  }
}

void DiscoveryStandin::count_watches(int router) {
  notifications_.set_watches(
      router, static_cast<int>(std::count_if(watches_.begin(), watches_.end(), [&](const Call& c) {
        return c.router == router && !c.silent;
      })));
}

std::string DiscoveryStandin::entry_json(const VersionedEntry& held, int router) const {
  const Entry& e = held.entry;
  return nlohmann::json{{"host", e.id},     {"dial", e.dials[static_cast<std::size_t>(router)]},
                        {"site", e.hall},   {"class", e.kind},
                        {"block", e.block}, {"health", net::health_name(e.health)},
                        {"share", 1.0},     {"born_ms", e.born / 1000}}
      .dump();
}

std::string DiscoveryStandin::whole(int router) const {
  std::string text = R"({"seq":)" + std::to_string(version_) + R"(,"whole":true,"hosts":[)";
  bool first = true;
  for (const VersionedEntry& held : entries_) {
    if (held.entry.health == Health::Removed) continue;
    text += (first ? "" : ",") + entry_json(held, router);
    first = false;
  }
  return text + "]}";
}

void DiscoveryStandin::on_call(evhttp_request* request, void* at) {
  auto* listener = static_cast<HttpListener*>(at);
  DiscoveryStandin* self = listener->owner;
  ++self->calls_;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  if (!path || std::strcmp(path, "/discovery/hosts") != 0) {
    self->reply(request, 404, "");
    return;
  }
  Call call;
  call.request = request;
  call.connection = evhttp_request_get_connection(request);
  call.router = listener->router;
  call.came = self->loop_.now();
  evkeyvalq pairs;
  const char* query = evhttp_uri_get_query(uri);
  if (query && evhttp_parse_query_str(query, &pairs) == 0) {
    auto number = [&](const char* name) -> std::int64_t {
      const char* text = evhttp_find_header(&pairs, name);
      std::int64_t value = -1;
      if (text) std::from_chars(text, text + std::strlen(text), value);
      return value;
    };
    std::int64_t index = number("index"), wait = number("wait");
    evhttp_clear_headers(&pairs);
    if (index >= 0 && wait >= 0) {
      call.watch = true;
      call.index = static_cast<std::uint64_t>(index);
      call.until = call.came + std::min<Micros>(wait * 1000, kMaxWatchWait);
    }
  }
  // A waiting call is removed when its connection closes; evhttp frees the request then.
  evhttp_connection_set_closecb(call.connection, on_closed, self);
  // Without a read event evhttp would notice the close only at the next write.
  bufferevent_enable(evhttp_connection_get_bufferevent(call.connection), EV_READ);
  self->notifications_.on_call(call.router, call.came);
  if (self->meet_fault(call)) return;
  if (self->spec_.pushed) {
    self->serve_call(call);
  } else if (self->down_ || self->queue_.size() >= self->spec_.call_places) {
    self->fail(call);
  } else {
    self->queue_.push_back(call);
    self->serve();
  }
}

void DiscoveryStandin::set_call_fault(FaultKind kind, double rate) {
  if (rate > 0)
    call_faults_[kind] = rate;
  else
    call_faults_.erase(kind);
  note_reachability();
}

/// Where every call is refused or reset, discovery cannot be reached.
void DiscoveryStandin::note_reachability() {
  auto fails_all = [&](FaultKind kind) {
    auto it = call_faults_.find(kind);
    return it != call_faults_.end() && it->second >= 1;
  };
  bool all_fail = fails_all(FaultKind::kCallsReset) || fails_all(FaultKind::kCallsRefused);
  bool reachable = !down_ && !(spec_.failing_calls_free && all_fail);
  if (reachable == reachable_) return;
  reachable_ = reachable;
  notifications_.set_down(!reachable);
  if (reachable) notifications_.on_recovery(loop_.now());
}

/// Whether the call meets a fault, and is done with.
bool DiscoveryStandin::meet_fault(const Call& call) {
  for (auto [kind, rate] : call_faults_) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= rate) continue;
    evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(call.connection));
    if (kind == FaultKind::kCallsRefused) {
      fail(call);
      return true;
    }
    if (kind == FaultKind::kCallsHalf) write_half(call);
    keep_unanswered(call);
    if (kind == FaultKind::kCallsReset) {
      notifications_.on_failure(call.router, loop_.now());
      ::shutdown(fd, SHUT_RDWR);
    }
    if (kind != FaultKind::kCallsReset || !spec_.failing_calls_free)
      notifications_.on_silence(call.router, call.until, loop_.now());
    return true;
  }
  return false;
}

void DiscoveryStandin::keep_unanswered(const Call& call) {
  watches_.push_back(call);
  watches_.back().silent = true;
}

void DiscoveryStandin::write_half(const Call& call) {
  std::string body = whole(call.router);
  std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  text.resize(text.size() - body.size() / 2);
  // Not by the connection's buffer: evhttp would take the request for answered once it is empty.
  evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(call.connection));
  ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void DiscoveryStandin::on_closed(evhttp_connection* connection, void* at) {
  auto* self = static_cast<DiscoveryStandin*>(at);
  auto gone = [&](const Call& c) {
    if (c.connection != connection) return false;
    // evhttp has released a request that it had read completely, and no longer frees it.
    if (!evhttp_request_get_connection(c.request)) evhttp_request_free(c.request);
    self->notifications_.on_failure(c.router, self->loop_.now());  // given up
    return true;
  };
  std::erase_if(self->queue_, gone);
  auto watch = std::find_if(self->watches_.begin(), self->watches_.end(), gone);
  if (watch == self->watches_.end()) return;
  int router = watch->router;
  self->watches_.erase(watch);
  self->count_watches(router);
}

/// Serves a call: answers it, or keeps it open as a watch.
void DiscoveryStandin::serve_call(const Call& call) {
  bool agent_silent = spec_.pushed && down_;
  if (!agent_silent && !(call.watch && call.index == version_)) return answer(call);
  watches_.push_back(call);
  count_watches(call.router);
  if (call.watch) loop_.at(call.until, [this] { answer_due_watches(); });
}

/// Serves the queued calls in order, one every 1 / calls_per_s seconds.
void DiscoveryStandin::serve() {
  if (serving_ || queue_.empty()) return;
  serving_ = true;
  auto takes = static_cast<Micros>(1e6 / std::max(spec_.calls_per_s, 1e-3));
  loop_.at(loop_.now() + takes + delay_, [this] {
    serving_ = false;
    if (!queue_.empty()) {
      Call call = queue_.front();
      queue_.pop_front();
      if (loop_.now() - call.came > spec_.call_limit) {
        fail(call);
      } else {
        serve_call(call);
      }
    }
    serve();
  });
}

void DiscoveryStandin::answer_due_watches() {
  if (spec_.pushed && down_) return;
  Micros now = loop_.now();
  std::list<Call> due;
  for (auto it = watches_.begin(); it != watches_.end();) {
    auto next = std::next(it);
    if (!it->silent && (it->until <= now || it->index != version_))
      due.splice(due.end(), watches_, it);
    it = next;
  }
  for (const Call& call : due) {
    count_watches(call.router);
    answer(call);
  }
}

void DiscoveryStandin::answer(const Call& call) {
  // A watch with the version of an earlier process gets the whole list.
  if (!call.watch || call.index > version_) {
    std::string body = whole(call.router);
    std::vector<std::pair<int, Health>> all;
    for (const VersionedEntry& held : entries_)
      all.emplace_back(held.entry.server, held.entry.health);
    notifications_.on_written(call.router, all, loop_.now());
    reply(call.request, 200, body);
    return;
  }
  std::string text = R"({"seq":)" + std::to_string(version_) + R"(,"whole":false,"hosts":[)";
  bool first = true;
  std::vector<std::pair<int, Health>> changed;
  for (const VersionedEntry& held : entries_) {
    if (held.version <= call.index) continue;
    changed.emplace_back(held.entry.server, held.entry.health);
    text += (first ? "" : ",") + entry_json(held, call.router);
    first = false;
  }
  notifications_.on_written(call.router, changed, loop_.now());
  reply(call.request, 200, text + "]}");
}

void DiscoveryStandin::fail(const Call& call) {
  notifications_.on_failure(call.router, loop_.now());
  reply(call.request, 503, "");
}

void DiscoveryStandin::reply(evhttp_request* request, int code, const std::string& body) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connection) evhttp_connection_set_closecb(connection, nullptr, nullptr);
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, body.data(), body.size());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
  evhttp_send_reply(request, code, code == 200 ? "OK" : "Not served", out);
  evbuffer_free(out);
}

}  // namespace violetusher::standin
