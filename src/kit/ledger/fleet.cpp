#include "fleet.hpp"

#include <random>

#include "net/io.hpp"
#include "net/operator_file.hpp"

namespace violetusher::kit {

using core::ledger::Json;
using core::ledger::Outcome;

std::optional<Fleet> fleet_of(const std::string& file, const std::string& at, std::string& error) {
  Fleet fleet;
  try {
    auto model = net::load_operator_file(file, nullptr);
    if (model.ledgers.empty()) {
      error = file + ": it has no 'ledger'";
      return {};
    }
    fleet.name = model.ledgers.begin()->second.fleet;
    for (const auto& [name, peer] : model.peers)
      if (at.empty() || at == name || at == peer.address)
        fleet.routers.emplace_back(name, peer.address);
  } catch (const net::ConfigError& e) {
    error = e.what();
    return {};
  }
  if (fleet.routers.empty() && net::parse_address(at)) fleet.routers.emplace_back(at, at);
  if (!fleet.routers.empty()) return fleet;
  error = at.empty() ? file + ": it names no 'peer'" : "--at: '" + at + "' is no router of " + file;
  return {};
}

std::optional<ledger::ClientAnswer> ask_any(const Fleet& fleet, const std::string& kind,
                                            const Json& body, std::string& error) {
  for (const auto& [name, address] : fleet.routers)
    if (auto answer = ask_ledger(address, fleet.name, kind, body, kLedgerAnswerMs, error))
      return answer;
  return {};
}

std::vector<Said> ask_each(const Fleet& fleet) {
  std::vector<Said> all;
  for (const auto& [name, address] : fleet.routers) {
    Said& said = all.emplace_back(Said{name, {}, {}});
    auto answer =
        ask_ledger(address, fleet.name, "status", Json::object(), kLedgerAnswerMs, said.error);
    if (answer) said.status = std::move(answer->body);
  }
  return all;
}

std::optional<Outcome> call_any(const Fleet& fleet, core::ledger::Call call, std::string& error) {
  std::random_device random;
  call.caller = (std::uint64_t{random()} << 32) | 1;
  call.number = 1;
  auto answer = ask_any(fleet, "call", {{"id", 1}, {"call", call.json()}}, error);
  if (!answer) return {};
  auto outcome =
      answer->body.contains("outcome") ? Outcome::parse(answer->body["outcome"]) : std::nullopt;
  if (!outcome) error = answer->body.value("why", std::string("no outcome"));
  return outcome;
}

}  // namespace violetusher::kit
