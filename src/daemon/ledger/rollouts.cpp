#include "rollouts.hpp"

namespace violetusher::ledger {

using core::ledger::Adopter;
using core::ledger::Json;
using core::ledger::Micros;
using core::ledger::Plan;
using core::ledger::Text;

Rollouts::Rollouts(const std::map<std::string, core::config::Rollout>& files, std::string name,
                   std::vector<std::string> names, Environment outside)
    : name_(std::move(name)), names_(std::move(names)), outside_(std::move(outside)) {
  for (const auto& [rolled, f] : files)
    files_.emplace(rolled, One{RolloutFile(f.file), f.spread, {}, false});
}

void Rollouts::look() {
  for (auto& [name, one] : files_) look_at(one);
  report();
}

void Rollouts::look_at(One& one) {
  auto has = one.file.label();
  one.known = has.has_value();
  if (has && *has != one.adopter.has() && !one.adopter.busy()) one.adopter.set_current(*has);
}

void Rollouts::on_view(const core::ledger::View& view) {
  const auto& values = view.state().values();
  for (auto& [name, one] : files_) {
    auto value = values.find("file/" + name);
    if (value == values.end()) continue;
    // What is no plan is nobody's order: somebody has put another value under the name.
    auto plan = Plan::parse(value->second.text);
    if (!plan) continue;
    auto part = static_cast<Micros>(outside_.random() % static_cast<std::uint64_t>(one.spread + 1));
    one.adopter.set_target(value->second.version, target_text(*plan, name_, names_),
                           outside_.now() + part);
  }
  if (!files_.empty()) report();
}

void Rollouts::tick() {
  if (files_.empty() || !outside_.recent()) return;
  for (auto& [name, one] : files_) {
    if (one.adopter.busy()) continue;
    if (one.file.undo_owed()) one.known = false;
    if (one.file.undo_owed() && !one.file.undo()) continue;
    if (!one.known) look_at(one);
    if (!one.known) continue;
    if (auto job = one.adopter.next(outside_.now())) start(name, one, *job);
  }
}

void Rollouts::start(const std::string& name, One& one, const Adopter::Job& job) {
  std::string why = one.file.stage(job.text);
  if (!why.empty()) return end(name, one, job.text, Adopter::End::kFailed, why);
  outside_.apply_staged(one.file, [this, &name, &one, text = job.text](const std::string& refused) {
    end(name, one, text, refused.empty() ? Adopter::End::kAdopted : Adopter::End::kRefused,
        refused);
  });
}

void Rollouts::end(const std::string& name, One& one, const Text& text, Adopter::End how,
                   const std::string& why) {
  one.adopter.finish(how, why, outside_.now(), outside_.random());
  std::string of = "roll-out of " + name + ", text " + core::ledger::label(text) + ": ";
  if (how == Adopter::End::kAdopted) {
    one.file.settle(text);
    outside_.log_event("rollout-taken", of + "taken");
  } else if (how == Adopter::End::kRefused) {
    outside_.log_event("rollout-refused", of + why);
  } else {
    outside_.log_event("rollout-failed", of + why + "; tried again");
  }
  report();
}

void Rollouts::report() {
  Json all = Json::object();
  for (const auto& [name, one] : files_) all[name] = one.adopter.report();
  outside_.report(std::move(all));
}

}  // namespace violetusher::ledger
