#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

/// `audit`: which router of a fleet acts on which version of what. The exit code goes to `code`.
void add_audit(CLI::App& app, int& code);
/// Questions to trails on disk.
void add_trail(CLI::App& app, int& code);

}  // namespace violetusher::kit
