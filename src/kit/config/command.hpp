// The subcommand `config` of the kit: check, fmt, diff and explain operator files.
#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

void add_config(CLI::App& app, int& code);

}  // namespace violetusher::kit
