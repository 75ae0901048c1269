// The subcommand `flight` of the kit: analyzes recordings of a router's flight recorder.
#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

/// Adds the subcommand to `app`; its exit code is written to `code`.
void add_flight(CLI::App& app, int& code);

}  // namespace violetusher::kit
