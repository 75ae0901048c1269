// The subcommands `rehearse` and `standin` of the kit.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace violetusher::rehearse {

/// `rehearse`: plays a day and judges it. The router is searched for in the folder of `program`,
/// the path of the kit; the exit code is stored in `code`.
void add_rehearse(CLI::App& app, const std::string& program, int& code);
/// `standin`: starts only the stand-ins of a day, for a router that is started by hand.
void add_standin(CLI::App& app, int& code);

}  // namespace violetusher::rehearse
