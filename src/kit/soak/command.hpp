// violetusher-kit soak
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace violetusher::soak {

void add_soak(CLI::App& app, const std::string& program, int& code);

}  // namespace violetusher::soak
