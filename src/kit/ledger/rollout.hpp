#pragma once

#include <CLI/CLI.hpp>

namespace violetusher::kit {

/// `rollout`: brings a text to a part of a fleet's routers, to more of them, to all, or back. The
/// exit code goes to `code`.
void add_rollout(CLI::App& app, int& code);

}  // namespace violetusher::kit
