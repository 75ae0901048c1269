#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

/// `ledger`: asks a running fleet's ledger, or looks at the files of one that is away. The exit
/// code goes to `code`.
void add_ledger(CLI::App& app, int& code);

}  // namespace violetusher::kit
