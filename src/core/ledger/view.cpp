#include "view.hpp"

#include "mutants.hpp"

namespace violetusher::core::ledger {

Outcome View::apply(std::string_view entry) {
  retain(state_.position(), entry);
  return state_.apply(entry);
}

void View::retain(Position before, std::string_view entry) {
  retained_.push_back({before, std::string(entry)});
  retained_bytes_ += entry.size();
  while (retained_.size() > kMaxRetainedCalls || retained_bytes_ > kMaxRetainedBytes) {
    retained_bytes_ -= retained_.front().entry.size();
    retained_.pop_front();
  }
}

bool View::reset(std::string_view snapshot) {
  if (!state_.restore(snapshot)) return false;
  retained_.clear();
  retained_bytes_ = 0;
  return true;
}

void View::raise_epoch(std::uint64_t epoch) {
  if (epoch <= position().epoch) return;
  state_.set_epoch(epoch);
  retained_.clear();
  retained_bytes_ = 0;
}

View::Update View::since(const Position& from) const {
  Update update{from, position(), {}, {}};
  if (from == position() || position().before(from)) return update;
  for (const RetainedCall& k : retained_) {
    bool begun = !update.calls.empty();
    if (!begun && !(k.before == from)) continue;
    if (update.calls.size() == kMaxCallsPerUpdate) {
      update.to = k.before;  // the rest follows with the next request
      return update;
    }
    update.calls.push_back(k.entry);
  }
  if (update.calls.empty()) update.snapshot = state_.snapshot();
  return update;
}

View::UpdateResult View::apply_update(const Update& update) {
  if (mutant(Mutant::kFollowerGoesBack) && !update.snapshot.empty())
    return reset(update.snapshot) ? UpdateResult::kApplied : UpdateResult::kMismatch;
  if (update.to == position()) return UpdateResult::kUnchanged;
  if (!position().before(update.to))
    return update.to.at == position().at && update.to.epoch == position().epoch
               ? UpdateResult::kMismatch
               : UpdateResult::kStale;
  State next;
  if (!update.snapshot.empty()) {
    if (!next.restore(update.snapshot) || !(next.position() == update.to))
      return UpdateResult::kMismatch;
    state_ = std::move(next);
    retained_.clear();
    retained_bytes_ = 0;
    return UpdateResult::kApplied;
  }
  if (update.calls.empty())
    return UpdateResult::kUnchanged;  // the parent is ahead and only reports its position
  if (!(update.from == position())) return UpdateResult::kMismatch;
  next = state_;
  for (const std::string& call : update.calls) next.apply(call);
  if (!(next.position() == update.to)) return UpdateResult::kMismatch;
  for (const std::string& call : update.calls) apply(call);
  return UpdateResult::kApplied;
}

Json View::Update::json() const {
  Json list = Json::array();
  for (const std::string& call : calls) list.push_back(binary(call));
  return {{"from", from.json()}, {"to", to.json()}, {"calls", list}, {"all", binary(snapshot)}};
}

std::optional<View::Update> View::Update::parse(const Json& v) {
  if (!v.is_object() || !v.contains("from") || !v.contains("to") || !v.contains("calls") ||
      !v.contains("all") || !v["calls"].is_array() || v["calls"].size() > kMaxCallsPerUpdate)
    return {};
  Update update{Position::parse(v["from"]), Position::parse(v["to"]), {}, bytes_of(v["all"])};
  for (const Json& call : v["calls"]) update.calls.push_back(bytes_of(call));
  return update;
}

}  // namespace violetusher::core::ledger
