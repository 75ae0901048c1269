// The subcommand `losses` of the kit: where the worth of a rehearsal went.
#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

void add_losses(CLI::App& app, int& code);

}  // namespace violetusher::kit
