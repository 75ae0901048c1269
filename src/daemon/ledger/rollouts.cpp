#include "rollouts.hpp"

namespace violetusher::ledger {

using core::ledger::Adopter;
using core::ledger::Json;
using core::ledger::Micros;
using core::ledger::Plan;
using core::ledger::Text;

Rollouts::Rollouts(const std::map<std::string, core::config::Rollout>& files, std::string name,
                   std::vector<std::string> names, Environment env)
    : name_(std::move(name)), names_(std::move(names)), env_(std::move(env)) {
  for (const auto& [kind, f] : files)
    files_.emplace(kind, Entry{RolloutFile(f.file), f.spread, {}, false});
}

void Rollouts::reread() {
  for (auto& [name, entry] : files_) reread_file(entry);
  report();
}

void Rollouts::reread_file(Entry& entry) {
  auto has = entry.file.label();
  entry.content_known = has.has_value();
  if (has && *has != entry.adopter.current() && !entry.adopter.busy())
    entry.adopter.set_current(*has);
}

void Rollouts::on_view(const core::ledger::View& view) {
  const auto& values = view.state().values();
  for (auto& [name, entry] : files_) {
    auto value = values.find("file/" + name);
    if (value == values.end()) continue;
    // Another kind of value was written under this name; ignore it.
    auto plan = Plan::parse(value->second.text);
    if (!plan) continue;
    auto part = static_cast<Micros>(env_.random() % static_cast<std::uint64_t>(entry.spread + 1));
    entry.adopter.set_target(value->second.version, target_text(*plan, name_, names_),
                             env_.now() + part);
  }
  if (!files_.empty()) report();
}

void Rollouts::tick() {
  if (files_.empty() || !env_.recent()) return;
  for (auto& [name, entry] : files_) {
    if (entry.adopter.busy()) continue;
    if (entry.file.undo_pending()) entry.content_known = false;
    if (entry.file.undo_pending() && !entry.file.undo()) continue;
    if (!entry.content_known) reread_file(entry);
    if (!entry.content_known) continue;
    if (auto job = entry.adopter.next(env_.now())) start(name, entry, *job);
  }
}

void Rollouts::start(const std::string& name, Entry& entry, const Adopter::Job& job) {
  std::string why = entry.file.stage(job.text);
  if (!why.empty()) return end(name, entry, job.text, Adopter::End::kFailed, why);
  env_.apply_staged(entry.file, [this, &name, &entry, text = job.text](const std::string& refused) {
    end(name, entry, text, refused.empty() ? Adopter::End::kAdopted : Adopter::End::kRefused,
        refused);
  });
}

void Rollouts::end(const std::string& name, Entry& entry, const Text& text, Adopter::End how,
                   const std::string& why) {
  entry.adopter.finish(how, why, env_.now(), env_.random());
  std::string of = "roll-out of " + name + ", text " + core::ledger::label(text) + ": ";
  if (how == Adopter::End::kAdopted) {
    entry.file.finish(text);
    env_.log_event("rollout-taken", of + "taken");
  } else if (how == Adopter::End::kRefused) {
    env_.log_event("rollout-refused", of + why);
  } else {
    env_.log_event("rollout-failed", of + why + "; retrying");
  }
  report();
}

void Rollouts::report() {
  Json all = Json::object();
  for (const auto& [name, entry] : files_) all[name] = entry.adopter.report();
  env_.report(std::move(all));
}

}  // namespace violetusher::ledger
