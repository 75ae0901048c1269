// Reads the losses of a rehearsal from its JSON result and formats them as a table and a waterfall
// chart; compares two rehearsals.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace violetusher::kit {

/// The losses of one rehearsal.
struct LossTable {
  struct Row {
    std::string cause;
    double worth = 0;
    std::uint64_t requests = 0;
  };
  std::string day, verdict;
  std::uint64_t seed = 0;
  double asked = 0, earned = 0;
  std::vector<Row> rows;  ///< in the order of the file

  double lost() const { return asked - earned; }
  /// A worth as a fraction of the worth asked.
  double fraction(double worth) const { return asked > 0 ? worth / asked : 0; }
};

/// Parses a result of `rehearse --json`. Throws std::runtime_error if it is not valid, also if the
/// losses by cause do not add up to the total loss.
LossTable read_losses(const std::string& json);

/// The table as text, with a bar for each cause.
std::string loss_text(const LossTable& table);
/// The change from the first to the second by cause, largest first, in percentage points of the
/// worth asked.
std::string loss_difference_text(const LossTable& before, const LossTable& after);
/// The table as JSON.
std::string loss_json(const LossTable& table);
/// A waterfall chart from the worth asked down to the worth earned, as SVG.
std::string loss_waterfall(const LossTable& table);
/// One self-contained HTML page with the tables and, for two, their difference.
std::string loss_page(const std::vector<LossTable>& tables);

}  // namespace violetusher::kit
