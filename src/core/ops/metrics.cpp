#include "metrics.hpp"

#include <nlohmann/json.hpp>

namespace violetusher::core::ops {

void Metrics::add_class(const std::string& name) {
  if (classes_.size() < kMaxClasses) classes_.try_emplace(name);
}

void Metrics::count(const std::string& name, Outcome end) {
  auto it = classes_.find(name);
  if (it == classes_.end()) return;
  Counts& c = it->second;
  ++(end == Outcome::kSuccess ? c.success : end == Outcome::kOverload ? c.overload : c.error);
}

std::string Metrics::json(const Gauges& now) const {
  nlohmann::ordered_json all;
  auto by_class = [&](const char* name, std::uint64_t Counts::*figure) {
    auto& to = all[name] = nlohmann::ordered_json::object();
    for (const auto& [type, counts] : classes_) to[type] = counts.*figure;
  };
  by_class("success", &Counts::success);
  by_class("overload", &Counts::overload);
  by_class("error", &Counts::error);
  all["dispatches"] = now.dispatches;
  all["concurrent"] = now.concurrent;
  all["targets"] = now.targets;
  all["targets_disabled"] = now.targets_disabled;
  all["list_age_ms"] = now.list_age_ms;
  all["list_version"] = now.list_version;
  if (now.discovery_calls) {
    auto& to = all["discovery_calls"] = nlohmann::ordered_json::object();
    to["made"] = now.discovery_calls->made;
    for (std::size_t k = 0; k < now.discovery_calls->ended.size(); ++k)
      to[name_of(static_cast<membership::CallOutcome>(k))] = now.discovery_calls->ended[k];
  }
  all["client_buffer_bytes"] = now.client_buffer_bytes;
  all["client_buffer_peak_bytes"] = now.client_buffer_peak_bytes;
  all["server_buffer_bytes"] = now.server_buffer_bytes;
  all["server_buffer_peak_bytes"] = now.server_buffer_peak_bytes;
  all["request_bytes"] = now.request_bytes;
  all["heap_used_bytes"] = now.heap_used_bytes;
  all["heap_free_bytes"] = now.heap_free_bytes;
  all["reload_success"] = reload_success_;
  all["reload_failure"] = reload_failure_;
  if (now.guard) {
    auto by_name = [&](const char* name, const auto& counts, auto first) {
      auto& to = all[name] = nlohmann::ordered_json::object();
      for (std::size_t k = 0; k < counts.size(); ++k)
        to[name_of(static_cast<decltype(first)>(k))] = counts[k];
    };
    by_name("violations", now.guard->violations(), Invariant::kSentToAvailableServer);
    by_name("closes", now.guard->closes(), CloseReason::kClientClosed);
  }
  if (now.server_closes) {
    auto& to = all["server_closes"] = nlohmann::ordered_json::object();
    for (int k = 0; k < static_cast<int>(ServerCloseReason::kCount); ++k) {
      auto reason = static_cast<ServerCloseReason>(k);
      to[name_of(reason)] = now.server_closes->of(reason);
    }
  }
  return all.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace violetusher::core::ops
