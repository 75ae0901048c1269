// The subcommand `config` of the kit: check, fmt, diff and explain operator files.
#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

/// Adds the subcommand to `app`; its exit code is written to `code`.
void add_config(CLI::App& app, int& code);

}  // namespace violetusher::kit
