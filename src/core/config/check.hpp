// Checks that need the complete model: unreachable routes, shares that don't add up, limits and
// budgets without effect.
#pragma once

#include <map>
#include <string>

#include "model.hpp"

namespace violetusher::core::config {

/// The position of a section and of the values of its settings.
struct SectionPosition {
  Position at;
  std::uint32_t length = 1;
  std::map<std::string, Position> keys;
};
/// By "KIND NAME".
using SectionPositions = std::map<std::string, SectionPosition>;

void check_model(const Model& model, const SectionPositions& positions, Diagnostics& diagnostics);

}  // namespace violetusher::core::config
