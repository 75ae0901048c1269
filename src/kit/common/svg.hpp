// Plots over time as SVG text for self-contained pages, without scripts or external fonts.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace violetusher::kit {

/// `text` escaped for use in HTML or SVG text and attributes.
std::string escaped(const std::string& text);

/// A time span that is highlighted in a plot.
struct Mark {
  double from = 0, until = 0;  ///< seconds
  std::string label;
};

/// One line or area of a plot.
struct Series {
  std::string label, colour;
  std::vector<std::pair<double, double>> points;  ///< (seconds, value) in order of time
};

/// A plot of values over time.
struct Plot {
  std::string title, unit;
  double length = 0;  ///< seconds
  std::vector<Series> series;
  std::vector<Mark> marks;
  bool stacked = false;  ///< stacked areas; all series have the same times
  bool logarithmic = false;
};
std::string line_plot(const Plot& plot);

/// Rows of cells that are coloured by a value from 0 to 1.
struct HeatMap {
  std::string title;
  double length = 0, step = 1;                                    ///< seconds
  std::vector<std::pair<std::string, std::vector<double>>> rows;  ///< negative = no data
  std::vector<Mark> marks;
};
std::string heat_map(const HeatMap& map);

}  // namespace violetusher::kit
