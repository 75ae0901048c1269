#include "state.hpp"

#include <algorithm>

#include "mutants.hpp"

namespace violetusher::core::ledger {
namespace {

std::uint64_t number(const Json& value, const char* key) {
  auto it = value.find(key);
  return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::string text(const Json& value, const char* key) {
  auto it = value.find(key);
  return it == value.end() ? std::string() : bytes_of(*it);
}

}  // namespace

Json Call::json() const {
  return {{"k", static_cast<unsigned>(kind)},
          {"n", binary(name)},
          {"t", binary(text)},
          {"x", expect},
          {"b", binary(by)},
          {"c", caller},
          {"i", number},
          {"w", known}};
}

std::optional<Call> Call::parse(const Json& v) {
  if (!v.is_object()) return {};
  Call c;
  std::uint64_t kind = ledger::number(v, "k");
  auto expect = v.find("x");
  if (kind > 2 || expect == v.end() || !expect->is_number_integer()) return {};
  c.kind = static_cast<Kind>(kind);
  c.name = ledger::text(v, "n");
  c.text = ledger::text(v, "t");
  c.expect = expect->get<std::int64_t>();
  c.by = ledger::text(v, "b");
  c.caller = ledger::number(v, "c");
  c.number = ledger::number(v, "i");
  c.known = ledger::number(v, "w");
  if (c.name.empty() || c.name.size() > kMaxNameBytes || c.text.size() > kMaxValueBytes ||
      c.by.size() > kMaxNameBytes || c.expect < kAny)
    return {};
  if (c.kind != Kind::kGet && (c.caller == 0 || c.number == 0)) return {};
  return c;
}

Json Outcome::json() const {
  return {{"s", static_cast<unsigned>(status)}, {"v", version}, {"t", binary(text)}};
}

std::optional<Outcome> Outcome::parse(const Json& v) {
  if (!v.is_object() || number(v, "s") > 4) return {};
  return Outcome{static_cast<Status>(number(v, "s")), number(v, "v"), ledger::text(v, "t")};
}

std::string_view name_of(Outcome::Status status) {
  constexpr std::string_view kNames[] = {"done", "conflict", "full", "forgotten", "bad"};
  return kNames[static_cast<int>(status)];
}

Position Position::parse(const Json& v) {
  Position p;
  if (!v.is_array() || v.size() != 3) return p;
  for (const Json& part : v)
    if (!part.is_number_unsigned()) return p;
  return {v[0], v[1], v[2]};
}

Outcome State::apply(std::string_view entry) {
  ++position_.at;
  position_.digest = digest(entry, position_.digest);
  auto value = from_bytes(entry);
  auto call = value ? Call::parse(*value) : std::nullopt;
  if (!call) return {Outcome::Status::kBad, 0, {}};
  if (call->kind == Call::Kind::kGet) {
    auto it = values_.find(call->name);
    if (it == values_.end()) return {};
    return {Outcome::Status::kDone, it->second.version, it->second.text};
  }
  auto known = callers_.find(call->caller);
  if (known != callers_.end() && !mutant(Mutant::kRepeatAppliedTwice)) {
    if (known->second.number == call->number) return known->second.outcome;
    if (known->second.number > call->number) return {Outcome::Status::kForgotten, 0, {}};
  }
  // The caller may have made this call before and its record may have been evicted since; then it
  // can't be told whether this is a repeat.
  if (known == callers_.end() && evicted_at_ > call->known)
    return {Outcome::Status::kForgotten, 0, {}};
  Outcome outcome = change(*call);
  record_outcome(*call, outcome);
  return outcome;
}

Outcome State::change(const Call& call) {
  auto it = values_.find(call.name);
  std::uint64_t version = it == values_.end() ? 0 : it->second.version;
  if (call.expect != Call::kAny && static_cast<std::uint64_t>(call.expect) != version)
    return {Outcome::Status::kConflict, version, {}};
  std::size_t before = it == values_.end() ? 0 : it->second.text.size();
  if (call.kind == Call::Kind::kErase) {
    if (it != values_.end()) values_.erase(it);
    text_bytes_ -= before;
    return {};
  }
  if ((it == values_.end() && values_.size() >= kMaxValues) ||
      text_bytes_ - before + call.text.size() > kMaxTotalBytes)
    return {Outcome::Status::kFull, version, {}};
  text_bytes_ += call.text.size() - before;
  values_[call.name] = {call.text, call.by, position_.at};
  return {Outcome::Status::kDone, position_.at, {}};
}

void State::record_outcome(const Call& call, const Outcome& outcome) {
  callers_[call.caller] = {call.number, position_.at, outcome};
  if (callers_.size() <= kMaxCallers) return;
  auto oldest = std::min_element(
      callers_.begin(), callers_.end(),
      [](const auto& a, const auto& b) { return a.second.last_call_at < b.second.last_call_at; });
  evicted_at_ = std::max(evicted_at_, oldest->second.last_call_at);
  callers_.erase(oldest);
}

std::string State::snapshot() const {
  Json values = Json::array(), callers = Json::array();
  for (const auto& [name, v] : values_)
    values.push_back({binary(name), binary(v.text), binary(v.by), v.version});
  for (const auto& [id, c] : callers_)
    callers.push_back({id, c.number, c.last_call_at, c.outcome.json()});
  return to_bytes({{"p", position_.json()}, {"v", values}, {"c", callers}, {"f", evicted_at_}});
}

bool State::restore(std::string_view bytes) {
  auto v = from_bytes(bytes);
  if (!v || !v->is_object()) return false;
  State next;
  try {
    next.position_ = Position::parse(v->at("p"));
    next.evicted_at_ = v->at("f").get<std::uint64_t>();
    for (const Json& one : v->at("v")) {
      Value value{bytes_of(one.at(1)), bytes_of(one.at(2)), one.at(3).get<std::uint64_t>()};
      next.text_bytes_ += value.text.size();
      next.values_[bytes_of(one.at(0))] = std::move(value);
    }
    for (const Json& one : v->at("c")) {
      auto outcome = Outcome::parse(one.at(3));
      if (!outcome) return false;
      next.callers_[one.at(0).get<std::uint64_t>()] = {one.at(1).get<std::uint64_t>(),
                                                       one.at(2).get<std::uint64_t>(), *outcome};
    }
  } catch (const Json::exception&) {
    return false;
  }
  if (next.values_.size() > kMaxValues || next.text_bytes_ > kMaxTotalBytes ||
      next.callers_.size() > kMaxCallers)
    return false;
  *this = std::move(next);
  return true;
}

}  // namespace violetusher::core::ledger
