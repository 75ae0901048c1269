// The fleet that an operator file tells of, as tools talk to it.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "client.hpp"

namespace violetusher::kit {

struct Fleet {
  std::string name;
  std::vector<std::pair<std::string, std::string>> routers;  ///< names and addresses, to be asked
};

constexpr int kLedgerAnswerMs = 1500;  ///< a router says within 0.95 s that it can't

/// Nothing, with `error`, where the file has none. `at`: a router's name or an address, to ask that
/// one alone; empty: all.
std::optional<Fleet> fleet_of(const std::string& file, const std::string& at, std::string& error);

/// Asks one after the other until one answers.
std::optional<ledger::ClientAnswer> ask_any(const Fleet& fleet, const std::string& kind,
                                            const core::ledger::Json& body, std::string& error);

/// What one router says of itself, or why it says nothing.
struct Said {
  std::string router, error;
  std::optional<core::ledger::Json> status;
};
/// Asks every router for its status, one after the other.
std::vector<Said> ask_each(const Fleet& fleet);

/// A call by a caller of its own, so that it holds once however often it is repeated. Nothing where
/// it is not known whether it holds.
std::optional<core::ledger::Outcome> call_any(const Fleet& fleet, core::ledger::Call call,
                                              std::string& error);

}  // namespace violetusher::kit
