// What an operators' tool says to a router's ledger, and what it hears: frames without a name.
#pragma once

#include <optional>
#include <string>

#include "core/ledger/state.hpp"

namespace violetusher::ledger {

std::string client_frame(const std::string& fleet, const std::string& kind,
                         const core::ledger::Json& body);

struct ClientAnswer {
  std::string kind;
  core::ledger::Json body;
};
std::optional<ClientAnswer> read_answer(const std::string& frame);

}  // namespace violetusher::ledger
