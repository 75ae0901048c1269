#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::chaos {

/// `chaos`: a fleet's ledger under drawn or written faults, on virtual time or with real daemons.
/// `program` is the kit's own path; the exit code goes to `code`.
void add_chaos(CLI::App& app, const std::string& program, int& code);

}  // namespace violetusher::chaos
