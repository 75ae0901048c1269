#include "view.hpp"

#include "mutants.hpp"

namespace violetusher::core::ledger {

Outcome View::apply(std::string_view entry) {
  keep(state_.position(), entry);
  return state_.apply(entry);
}

void View::keep(Position before, std::string_view entry) {
  kept_.push_back({before, std::string(entry)});
  kept_bytes_ += entry.size();
  while (kept_.size() > kMostKept || kept_bytes_ > kMostKeptBytes) {
    kept_bytes_ -= kept_.front().entry.size();
    kept_.pop_front();
  }
}

bool View::reset(std::string_view snapshot) {
  if (!state_.restore(snapshot)) return false;
  kept_.clear();
  kept_bytes_ = 0;
  return true;
}

void View::raise(std::uint64_t epoch) {
  if (epoch <= position().epoch) return;
  state_.set_epoch(epoch);
  kept_.clear();
  kept_bytes_ = 0;
}

View::Update View::since(const Position& from) const {
  Update update{from, position(), {}, {}};
  if (from == position() || position().before(from)) return update;
  for (const Kept& k : kept_) {
    bool begun = !update.calls.empty();
    if (!begun && !(k.before == from)) continue;
    if (update.calls.size() == kMostGiven) {
      update.to = k.before;  // the rest when it asks again
      return update;
    }
    update.calls.push_back(k.entry);
  }
  if (update.calls.empty()) update.snapshot = state_.snapshot();
  return update;
}

View::Taken View::take(const Update& update) {
  if (mutant(Mutant::kFollowerGoesBack) && !update.snapshot.empty())
    return reset(update.snapshot) ? Taken::kNewer : Taken::kUnfit;
  if (update.to == position()) return Taken::kNothing;
  if (!position().before(update.to))
    return update.to.at == position().at && update.to.epoch == position().epoch ? Taken::kUnfit
                                                                                : Taken::kOlder;
  State next;
  if (!update.snapshot.empty()) {
    if (!next.restore(update.snapshot) || !(next.position() == update.to)) return Taken::kUnfit;
    state_ = std::move(next);
    kept_.clear();
    kept_bytes_ = 0;
    return Taken::kNewer;
  }
  if (update.calls.empty()) return Taken::kNothing;  // the other is ahead, and says so alone
  if (!(update.from == position())) return Taken::kUnfit;
  next = state_;
  for (const std::string& call : update.calls) next.apply(call);
  if (!(next.position() == update.to)) return Taken::kUnfit;
  for (const std::string& call : update.calls) apply(call);
  return Taken::kNewer;
}

Json View::Update::json() const {
  Json list = Json::array();
  for (const std::string& call : calls) list.push_back(binary(call));
  return {{"from", from.json()}, {"to", to.json()}, {"calls", list}, {"all", binary(snapshot)}};
}

std::optional<View::Update> View::Update::parse(const Json& v) {
  if (!v.is_object() || !v.contains("from") || !v.contains("to") || !v.contains("calls") ||
      !v.contains("all") || !v["calls"].is_array() || v["calls"].size() > kMostGiven)
    return {};
  Update update{Position::parse(v["from"]), Position::parse(v["to"]), {}, bytes_of(v["all"])};
  for (const Json& call : v["calls"]) update.calls.push_back(bytes_of(call));
  return update;
}

}  // namespace violetusher::core::ledger
