// The subcommand `losses` of the kit: the worth lost in a rehearsal, by cause.
#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

/// Adds `losses` to `app`; the exit code is stored in `code`.
void add_losses(CLI::App& app, int& code);

}  // namespace violetusher::kit
