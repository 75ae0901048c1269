// Plots over time as SVG text for self-contained pages: no script, no font from elsewhere.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace violetusher::kit {

/// What may go into HTML or SVG as text.
std::string escaped(const std::string& text);

/// A span or moment marked in every plot.
struct Mark {
  double from = 0, until = 0;  ///< seconds
  std::string label;
};

struct Series {
  std::string label, colour;
  std::vector<std::pair<double, double>> points;  ///< seconds, figure; in order of time
};

struct Plot {
  std::string title, unit;
  double length = 0;  ///< seconds
  std::vector<Series> series;
  std::vector<Mark> marks;
  bool stacked = false;  ///< areas on top of one another, all series of the same times
  bool logarithmic = false;
};
std::string line_plot(const Plot& plot);

/// Rows of cells coloured by a figure from 0 to 1.
struct HeatMap {
  std::string title;
  double length = 0, step = 1;                                    ///< seconds
  std::vector<std::pair<std::string, std::vector<double>>> rows;  ///< below 0 = nothing known
  std::vector<Mark> marks;
};
std::string heat_map(const HeatMap& map);

}  // namespace violetusher::kit
