// The subcommands of the kit that play days.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace violetusher::rehearse {

/// `rehearse`: plays a day. `program` is the kit's own path, beside which the router is looked for;
/// the exit code goes to `code`.
void add_rehearse(CLI::App& app, const std::string& program, int& code);
/// `standin`: starts a day's stand-ins alone, for a router started by hand.
void add_standin(CLI::App& app, int& code);

}  // namespace violetusher::rehearse
