#include "svg.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace violetusher::kit {
namespace {

constexpr double kWidth = 960, kLeft = 70, kRight = 20, kTop = 34, kBottom = 28;

std::string number(double value, const char* format = "%.1f") {
  char text[32];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

std::string head(double height, const std::string& title) {
  return "<svg viewBox=\"0 0 " + number(kWidth, "%.0f") + " " + number(height, "%.0f") +
         "\" role=\"img\" aria-label=\"" + escaped(title) + "\"><text x=\"" + number(kLeft) +
         "\" y=\"16\" class=\"title\">" + escaped(title) + "</text>";
}

/// A step of 1, 2, 5 or 10 times a power of ten that divides `span` into about `parts` steps.
double round_step(double span, double parts) {
  double raw = std::max(span, 1e-9) / parts, power = std::pow(10, std::floor(std::log10(raw)));
  for (double factor : {1.0, 2.0, 5.0, 10.0})
    if (raw <= factor * power) return factor * power;
  return 10 * power;
}

std::string time_axis(double length, double bottom) {
  std::string svg;
  double step = std::max(1.0, round_step(length, 10));
  for (double t = 0; t <= length + 1e-9; t += step) {
    double x = kLeft + t / length * (kWidth - kLeft - kRight);
    svg += "<text x=\"" + number(x) + "\" y=\"" + number(bottom + 16) +
           "\" text-anchor=\"middle\">" + number(t, "%g") + "s</text>";
  }
  return svg;
}

std::string mark_bands(const std::vector<Mark>& marks, double length, double top, double bottom) {
  std::string svg;
  for (std::size_t k = 0; k < marks.size(); ++k) {
    const Mark& m = marks[k];
    double scale = (kWidth - kLeft - kRight) / length;
    double x = kLeft + m.from * scale, width = std::max(1.5, (m.until - m.from) * scale);
    svg += "<rect class=\"mark\" x=\"" + number(x) + "\" y=\"" + number(top) + "\" width=\"" +
           number(std::min(width, kWidth - kRight - x)) + "\" height=\"" + number(bottom - top) +
           "\"><title>" + escaped(m.label) + "</title></rect><text class=\"marktext\" x=\"" +
           number(x + 3) + "\" y=\"" + number(top + 11 + 11 * static_cast<double>(k % 3)) + "\">" +
           std::to_string(k + 1) + "</text>";
  }
  return svg;
}

}  // namespace

std::string escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += static_cast<unsigned char>(c) < 32 && c != '\n' ? ' ' : c;
    }
  }
  return out;
}

std::string line_plot(const Plot& plot) {
  const double height = 230, bottom = height - kBottom, inner = bottom - kTop;
  double most = 0, least = 1e300;
  std::size_t points = plot.series.empty() ? 0 : plot.series[0].points.size();
  if (plot.stacked) {
    for (std::size_t k = 0; k < points; ++k) {
      double sum = 0;
      for (const Series& s : plot.series) sum += s.points[k].second;
      most = std::max(most, sum);
    }
  } else {
    for (const Series& s : plot.series)
      for (auto [t, y] : s.points) {
        most = std::max(most, y);
        if (y > 0) least = std::min(least, y);
      }
  }
  if (most <= 0) most = 1;
  bool logarithmic = plot.logarithmic && least < most;
  double low = logarithmic ? std::pow(10, std::floor(std::log10(least))) : 0;
  double high = logarithmic ? std::pow(10, std::ceil(std::log10(most)))
                            : std::ceil(most / round_step(most, 4)) * round_step(most, 4);
  auto x_of = [&](double t) { return kLeft + t / plot.length * (kWidth - kLeft - kRight); };
  auto y_of = [&](double y) {
    double part = logarithmic ? std::log(std::max(y, low) / low) / std::log(high / low) : y / high;
    return bottom - std::clamp(part, 0.0, 1.0) * inner;
  };
  std::string svg = head(height, plot.title + " (" + plot.unit + ")");
  svg += mark_bands(plot.marks, plot.length, kTop, bottom);
  for (double y = logarithmic ? low : 0; y <= high * 1.0001;
       y = logarithmic ? y * 10 : y + round_step(most, 4)) {
    svg += "<line class=\"grid\" x1=\"" + number(kLeft) + "\" x2=\"" + number(kWidth - kRight) +
           "\" y1=\"" + number(y_of(y)) + "\" y2=\"" + number(y_of(y)) + "\"/><text x=\"" +
           number(kLeft - 6) + "\" y=\"" + number(y_of(y) + 4) + "\" text-anchor=\"end\">" +
           number(y, "%g") + "</text>";
  }
  svg += time_axis(plot.length, bottom);
  std::vector<double> below(points, 0);
  double legend = kWidth - kRight;
  for (std::size_t s = plot.series.size(); s-- > 0;) {
    const Series& series = plot.series[s];
    legend -= 8.0 * static_cast<double>(series.label.size()) + 24;
    svg += "<rect x=\"" + number(legend) + "\" y=\"7\" width=\"10\" height=\"10\" fill=\"" +
           series.colour + "\"/><text x=\"" + number(legend + 14) + "\" y=\"16\">" +
           escaped(series.label) + "</text>";
  }
  for (const Series& series : plot.series) {
    std::string path;
    if (plot.stacked) {
      std::string back;
      for (std::size_t k = 0; k < points; ++k) {
        double x = x_of(series.points[k].first), y = below[k] + series.points[k].second;
        path += (k ? "L" : "M") + number(x) + " " + number(y_of(y));
        back = "L" + number(x) + " " + number(y_of(below[k])) + back;
        below[k] = y;
      }
      svg += "<path d=\"" + path + back + "Z\" fill=\"" + series.colour + "\"/>";
    } else {
      for (auto [t, y] : series.points)
        path += (path.empty() ? "M" : "L") + number(x_of(t)) + " " + number(y_of(y));
      svg += "<path d=\"" + path + "\" fill=\"none\" stroke-width=\"1.8\" stroke=\"" +
             series.colour + "\"/>";
    }
  }
  return svg + "</svg>";
}

std::string heat_map(const HeatMap& map) {
  const double row = 15, bottom = kTop + row * static_cast<double>(map.rows.size());
  std::string svg = head(bottom + kBottom, map.title);
  double cell = map.step / map.length * (kWidth - kLeft - kRight);
  for (std::size_t r = 0; r < map.rows.size(); ++r) {
    double y = kTop + row * static_cast<double>(r);
    svg += "<text x=\"" + number(kLeft - 6) + "\" y=\"" + number(y + 11) +
           "\" text-anchor=\"end\">" + escaped(map.rows[r].first) + "</text>";
    for (std::size_t k = 0; k < map.rows[r].second.size(); ++k) {
      double value = map.rows[r].second[k];
      double x = kLeft + cell * static_cast<double>(k);
      if (value < 0 || x >= kWidth - kRight) continue;
      // One hue from light to dark, so that the map is readable in greyscale too.
      double part = std::clamp(value, 0.0, 1.0);
      svg += "<rect x=\"" + number(x) + "\" y=\"" + number(y) + "\" width=\"" + number(cell + 0.3) +
             "\" height=\"" + number(row - 1) + "\" fill=\"hsl(" + number(40 - 30 * part, "%.0f") +
             ",75%," + number(94 - 56 * part, "%.0f") + "%)\"/>";
    }
  }
  svg += mark_bands(map.marks, map.length, kTop, bottom);
  return svg + time_axis(map.length, bottom) + "</svg>";
}

}  // namespace violetusher::kit
