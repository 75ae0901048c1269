// What a rehearsal lost, read from its JSON, as a table and a waterfall; and the difference of two.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace violetusher::kit {

struct LossTable {
  struct Row {
    std::string cause;
    double worth = 0;
    std::uint64_t requests = 0;
  };
  std::string day, verdict;
  std::uint64_t seed = 0;
  double asked = 0, earned = 0;
  std::vector<Row> rows;  ///< in the file's order

  double lost() const { return asked - earned; }
  /// A worth as a part of what was asked.
  double part(double worth) const { return asked > 0 ? worth / asked : 0; }
};

/// Reads a result that `rehearse --json` wrote. Throws std::runtime_error saying what is wrong,
/// also where the parts don't add up to what was lost.
LossTable read_losses(const std::string& json);

std::string loss_text(const LossTable& table);
/// What the second lost more or less than the first, cause by cause, in points of the worth asked.
std::string loss_difference_text(const LossTable& before, const LossTable& after);
std::string loss_json(const LossTable& table);
/// From what was asked down to what was earned, as SVG.
std::string loss_waterfall(const LossTable& table);
std::string loss_page(const std::vector<LossTable>& tables);

}  // namespace violetusher::kit
