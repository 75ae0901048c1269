// The subcommand `flight` of the kit: reads what a router's flight recorder has kept.
#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

void add_flight(CLI::App& app, int& code);

}  // namespace violetusher::kit
