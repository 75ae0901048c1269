// Settings, requests and outcomes for tests of the Balancer.
#pragma once

#include <string>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::test {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

inline Settings basic_settings() {
  Settings s;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 150 * kMs;
  read.deadline = 600 * kMs;
  s.classes.push_back(read);
  s.zone = "a";
  s.zones = {"a"};
  s.max_attempts = 4;
  s.may_cancel = true;
  s.may_hedge = true;
  s.timer_granularity = 1 * kMs;
  s.drain_grace = 500 * kMs;
  s.slow_start_min_fraction = 0.3;
  s.slow_start_window = 8 * kS;
  s.list_refresh_interval = 10 * kS;
  return s;
}

inline Settings aside_settings() {
  Settings s = basic_settings();
  s.cache_aside = true;
  s.origin_kind = "ledger";
  return s;
}

inline std::vector<Server> fleet(int count, double weight = 1) {
  std::vector<Server> list;
  for (int k = 0; k < count; ++k) {
    Server s;
    s.id = "10.0.0." + std::to_string(k) + ":80";
    s.zone = "a";
    s.kind = "std";
    s.weight = weight;
    list.push_back(s);
  }
  return list;
}

inline Request make_read(RequestId id, const std::string& key, Micros remaining = 500 * kMs) {
  Request r;
  r.id = id;
  r.type = "read";
  r.key = key;
  r.remaining = remaining;
  return r;
}

/// The actions of one type.
template <typename T>
std::vector<T> actions_of(const Actions& actions) {
  std::vector<T> found;
  for (const Action& a : actions)
    if (const T* one = std::get_if<T>(&a)) found.push_back(*one);
  return found;
}

/// The server to which a request was sent, or "".
inline std::string sent_to(const Actions& actions) {
  auto sends = actions_of<Send>(actions);
  return sends.empty() ? "" : sends.front().server;
}

inline Outcome make_outcome(RequestId id, const std::string& server, Status status, int attempt = 0,
                            Micros latency = 20 * kMs) {
  Outcome o;
  o.id = id;
  o.server = server;
  o.status = status;
  o.attempt = attempt;
  o.latency = latency;
  o.finished = status == Status::Ok;
  return o;
}

/// Sends one request and answers it at once with `status`. Returns the server, or "" if refused.
inline std::string serve(Balancer& b, Micros now, RequestId id, const std::string& key,
                         Status status = Status::Ok) {
  std::string server = sent_to(b.on_request(now, make_read(id, key)));
  if (!server.empty()) b.on_outcome(now, make_outcome(id, server, status));
  return server;
}

/// Sends one request and ends each of its attempts with `status`. Returns the number of attempts.
inline int fail_all_attempts(Balancer& b, Micros now, RequestId id, const std::string& key,
                             Status status) {
  int attempts = 0;
  std::string server = sent_to(b.on_request(now, make_read(id, key)));
  for (; !server.empty(); ++attempts)
    server = sent_to(b.on_outcome(now, make_outcome(id, server, status, attempts)));
  return attempts;
}

}  // namespace violetusher::test
