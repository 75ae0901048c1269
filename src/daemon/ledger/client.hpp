// Frames that operators' tools exchange with a router's ledger. They carry no router name.
#pragma once

#include <optional>
#include <string>

#include "core/ledger/state.hpp"

namespace violetusher::ledger {

/// Encodes a request of a tool.
std::string client_frame(const std::string& fleet, const std::string& kind,
                         const core::ledger::Json& body);

/// The answer to a tool's request.
struct ClientAnswer {
  std::string kind;
  core::ledger::Json body;
};
/// Decodes an answer; nothing if the frame is not one.
std::optional<ClientAnswer> read_answer(const std::string& frame);

}  // namespace violetusher::ledger
