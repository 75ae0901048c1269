// An operators' tool's side of a router's ledger: one question and its answer, waited for.
#pragma once

#include <optional>
#include <string>

#include "daemon/ledger/client.hpp"

namespace violetusher::kit {

/// What the router at `address` answers to `kind` within `limit`; nothing with `error` where it
/// can't be reached, or says nothing.
std::optional<ledger::ClientAnswer> ask_ledger(const std::string& address, const std::string& fleet,
                                               const std::string& kind,
                                               const core::ledger::Json& body, int limit_ms,
                                               std::string& error);

}  // namespace violetusher::kit
