#include "rollout.hpp"

#include <algorithm>
#include <cstdio>

#include "mutants.hpp"

namespace violetusher::core::ledger {
namespace {

Json json_of(const Text& text) { return text ? binary(*text) : Json(); }

/// Orders the routers within one roll-out.
std::uint64_t selection_key(const Plan& plan, const std::string& name) {
  return digest(name, digest(std::to_string(plan.number)));
}

}  // namespace

std::string label(const Text& text) {
  if (!text) return "own";
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(digest(*text)));
  return out;
}

std::string Plan::bytes() const {
  return to_bytes(
      {{"n", number}, {"s", share}, {"t", json_of(next)}, {"l", json_of(previous)}, {"m", nonce}});
}

std::optional<Plan> Plan::parse(std::string_view bytes) {
  auto v = from_bytes(bytes);
  if (!v || !v->is_object()) return {};
  Plan p;
  for (const char* key : {"n", "s", "m"})
    if (!v->contains(key) || !(*v)[key].is_number_unsigned()) return {};
  for (const char* key : {"t", "l"})
    if (!v->contains(key) || !((*v)[key].is_null() || (*v)[key].is_binary())) return {};
  p.number = (*v)["n"];
  p.nonce = (*v)["m"];
  std::uint64_t share = (*v)["s"];
  if (p.number == 0 || share > 100) return {};
  p.share = static_cast<unsigned>(share);
  if ((*v)["t"].is_binary()) p.next = bytes_of((*v)["t"]);
  if ((*v)["l"].is_binary()) p.previous = bytes_of((*v)["l"]);
  for (const Text* t : {&p.next, &p.previous})
    if (*t && (*t)->size() > kMaxTextBytes) return {};
  return p;
}

Proposal start_rollout(const std::optional<Plan>& now, std::string text, unsigned share) {
  if (now && now->in_progress())
    return {{},
            "roll-out " + std::to_string(now->number) + " is in progress, at " +
                std::to_string(now->share) + " percent: widen it to 100 or roll it back first"};
  if (text.size() > kMaxTextBytes)
    return {{}, "the text is longer than " + std::to_string(kMaxTextBytes) + " bytes"};
  if (share < 1 || share > 100) return {{}, "the share must be 1 to 100 percent"};
  Plan p{now ? now->number + 1 : 1, share, std::move(text), now ? now->next : Text(), 0};
  if (now && p.next == now->next) return {{}, "all routers use this text already"};
  return {p, {}};
}

Proposal widen(const std::optional<Plan>& now, unsigned share) {
  if (!now || !now->in_progress()) return {{}, "no roll-out is in progress"};
  if (share <= now->share || share > 100)
    return {{}, "the share is " + std::to_string(now->share) + " percent: it can only grow"};
  Plan p = *now;
  p.share = share;
  return {p, {}};
}

Proposal roll_back(const std::optional<Plan>& now) {
  if (!now || now->next == now->previous) return {{}, "there is no roll-out to roll back"};
  return {Plan{now->number + 1, 100, now->previous, now->previous, 0}, {}};
}

std::size_t selected_count(unsigned share, std::size_t routers) {
  return (routers * share + 99) / 100;
}

bool is_selected(const Plan& plan, const std::string& name, const std::vector<std::string>& names) {
  if (!plan.in_progress() || mutant(Mutant::kShareIgnored)) return true;
  auto own = std::pair(selection_key(plan, name), name);
  auto before = std::count_if(names.begin(), names.end(), [&](const std::string& other) {
    return other != name && std::pair(selection_key(plan, other), other) < own;
  });
  return static_cast<std::size_t>(before) < selected_count(plan.share, names.size());
}

const Text& target_text(const Plan& plan, const std::string& name,
                        const std::vector<std::string>& names) {
  return is_selected(plan, name, names) ? plan.next : plan.previous;
}

void Adopter::set_current(std::string current) {
  if (!mutant(Mutant::kFilesNotRead)) current_ = std::move(current);
  refused_.clear();
  why_.clear();
  backoff_ = not_before_ = 0;
}

void Adopter::set_target(std::uint64_t version, const Text& text, Micros not_before) {
  version_ = version;
  if (text == text_) return;
  text_ = text;
  // Rejection and backoff applied to the previous target.
  refused_.clear();
  why_.clear();
  backoff_ = 0;
  not_before_ = not_before;
}

std::optional<Adopter::Job> Adopter::next(Micros now) {
  if (job_ || at_target() || now < not_before_ || refused_ == label(text_)) return {};
  job_ = Job{version_, text_};
  return job_;
}

void Adopter::finish(End end, const std::string& why, Micros now, std::uint64_t random) {
  if (!job_) return;
  std::string of = label(mutant(Mutant::kTakenMeansWanted) ? text_ : job_->text);
  bool still = job_->text == text_;
  job_.reset();
  if (end == End::kAdopted) {
    current_ = of;
    refused_.clear();
    why_.clear();
    backoff_ = not_before_ = 0;
    return;
  }
  if (!still) return;
  why_ = why;
  if (end == End::kRefused) {
    refused_ = of;
    return;
  }
  backoff_ = std::clamp(2 * backoff_, kMinBackoff, kMaxBackoff);
  not_before_ =
      now + backoff_ + static_cast<Micros>(random % static_cast<std::uint64_t>(backoff_ / 2 + 1));
}

Json Adopter::report() const {
  Json out{{"version", version_},
           {"has", current_},
           {"wants", version_ ? label(text_) : current_},
           {"there", at_target()}};
  if (!at_target()) out["why"] = why_.empty() ? "on its way" : why_;
  if (!refused_.empty()) out["refused"] = refused_;
  return out;
}

}  // namespace violetusher::core::ledger
