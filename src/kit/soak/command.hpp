// The subcommand `soak` of the kit.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace violetusher::soak {

/// Adds the subcommand to `app`. `program` locates the router and fault library beside it if the
/// path of the executable is unknown; the exit code is written to `code`.
void add_soak(CLI::App& app, const std::string& program, int& code);

}  // namespace violetusher::soak
