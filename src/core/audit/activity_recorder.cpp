#include "activity_recorder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace violetusher::core::audit {
namespace {

using Json = nlohmann::json;

/// Replaces invalid UTF-8: names come from settings and host lists, which may hold any bytes.
std::string encode(const Json& body) {
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

ActivityRecorder::ActivityRecorder(std::function<Versions()> versions, Sink sink)
    : versions_(std::move(versions)), sink_(std::move(sink)) {}

void ActivityRecorder::set_serving(const std::string& server, bool serving) {
  if (serving ? !serving_.insert(server).second : serving_.erase(server) == 0) return;
  // A change that is reverted before the next view cancels out.
  auto& changes = serving ? added_ : removed_;
  auto& opposite = serving ? removed_ : added_;
  if (opposite.erase(server) == 0) changes.insert(server);
}

void ActivityRecorder::changed(Micros now) {
  Versions versions = versions_();
  if (!full_view_pending_ && versions == versions_in_view_ && added_.empty() && removed_.empty())
    return;
  end_period(now);
  versions_in_view_ = std::move(versions);
  Json body = {{"k", "view"}, {"at", now}, {"view", ++view_}, {"versions", versions_in_view_}};
  if (full_view_pending_) {
    body["all"] = true;
    body["in"] = serving_;
  } else {
    body["in"] = added_;
    body["out"] = removed_;
  }
  full_view_pending_ = false;
  added_.clear(), removed_.clear();
  sink_(encode(body));
}

void ActivityRecorder::tick(Micros now) {
  if (full_view_pending_) {
    changed(now);
  } else if (active_) {
    end_period(now);
  }
}

void ActivityRecorder::end_period(Micros now) {
  if (active_) {
    Json sent = Json::object(), refused = Json::object();
    for (const auto& [server, counts] : sent_)
      for (std::size_t k = 0; k < counts.size(); ++k)
        if (counts[k]) sent[server][types_[k]] = counts[k];
    for (std::size_t k = 0; k < refused_.size(); ++k)
      if (refused_[k]) refused[types_[k]] = refused_[k];
    sink_(encode({{"k", "did"},
                  {"view", view_},
                  {"from", period_start_},
                  {"to", now},
                  {"sent", std::move(sent)},
                  {"refused", std::move(refused)}}));
  }
  sent_.clear(), refused_.clear();
  active_ = false;
  period_start_ = now;
}

std::uint32_t ActivityRecorder::type_of(std::string_view name) {
  auto at = std::find(types_.begin(), types_.end(), name);
  if (at == types_.end() && types_.size() < kMaxTypes) at = types_.emplace(at, name);
  return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(at - types_.begin(), kMaxTypes - 1));
}

void ActivityRecorder::sent(const std::string& server, std::uint32_t type) {
  auto& counts = sent_[server];
  if (counts.size() <= type) counts.resize(type + 1);
  ++counts[type];
  active_ = true;
}

void ActivityRecorder::refused(std::string_view type) {
  std::uint32_t number = type_of(type);
  if (refused_.size() <= number) refused_.resize(number + 1);
  ++refused_[number];
  active_ = true;
}

}  // namespace violetusher::core::audit
