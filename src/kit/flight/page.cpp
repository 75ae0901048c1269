// The HTML page and the SVG waterfall of requests in a flight recording.
#include <algorithm>
#include <cstdio>

#include "kit/common/svg.hpp"
#include "kit/common/units.hpp"
#include "show.hpp"

namespace violetusher::kit {
namespace {

using core::flight::AttemptTimeline;
using core::flight::Timeline;

constexpr double kWidth = 960, kLeft = 150, kRight = 20, kRow = 26, kTop = 40;
constexpr const char* kConnecting = "#e9a23b";
constexpr const char* kBehind = "#c8443c";
constexpr const char* kServing = "#2a9d6f";
constexpr const char* kRouter = "#9aa7b5";

std::string bar(double x, double width, double y, const char* colour, const std::string& tip) {
  char text[160];
  std::snprintf(text, sizeof text,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"16\" fill=\"%s\">", x, y,
                std::max(width, 0.6), colour);
  return text + ("<title>" + escaped(tip) + "</title></rect>");
}

std::string label(double x, double y, const std::string& words, const char* anchor) {
  char text[128];
  std::snprintf(text, sizeof text, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">", x, y, anchor);
  return text + escaped(words) + "</text>";
}

}  // namespace

std::string waterfall(const Timeline& line) {
  if (line.records.empty()) return {};
  Micros from = line.taken ? line.taken : line.records.front().at;
  Micros until = std::max(line.records.back().at, from + 1);
  double scale = (kWidth - kLeft - kRight) / static_cast<double>(until - from);
  auto x_of = [&](Micros at) {
    return kLeft + scale * static_cast<double>(std::clamp(at, from, until) - from);
  };
  double height = kTop + kRow * (static_cast<double>(line.attempts.size()) + 1) + 26;
  char head[160];
  std::snprintf(head, sizeof head, "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\">", kWidth, height);
  std::string svg = head;
  double x = kLeft;
  for (auto [colour, what] :
       {std::pair(kRouter, "in the router"), std::pair(kConnecting, "waiting for a connection"),
        std::pair(kBehind, "behind others"), std::pair(kServing, "at the server")}) {
    svg += bar(x, 12, 4, colour, what) + label(x + 17, 17, what, "start");
    x += 185;
  }
  double y = kTop;
  Micros end = line.answered ? line.answered : until;
  svg += label(kLeft - 8, y + 13, "request", "end") +
         bar(x_of(from), x_of(end) - x_of(from), y, kRouter, one_line(line));
  for (const AttemptTimeline& a : line.attempts) {
    y += kRow;
    svg += label(kLeft - 8, y + 13, std::to_string(a.attempt + 1) + " " + a.server, "end");
    if (!a.sent) continue;
    Micros stop = a.ended ? a.ended : until;
    Micros written = a.written ? a.written : stop, free = written + a.behind();
    auto part = [&](Micros begin, Micros over, const char* colour, const char* what) {
      if (over > begin)
        svg += bar(x_of(begin), x_of(over) - x_of(begin), y, colour,
                   what + (" " + duration_text(over - begin)));
    };
    part(a.sent, written, kConnecting, "waiting for a connection");
    part(written, free, kBehind, "behind others");
    part(free, stop, kServing, "at the server");
    // The status stands beside the bar, or inside it if there is no room to its right.
    bool room = x_of(stop) < kWidth - 130;
    std::string status = a.ended ? core::flight::name_of(a.status) : "open";
    svg += room ? label(x_of(stop) + 6, y + 13, status, "start")
                : "<g class=\"in\">" + label(x_of(stop) - 6, y + 13, status, "end") + "</g>";
  }
  y += kRow + 12;
  svg +=
      label(kLeft, y, "0", "start") + label(kWidth - kRight, y, duration_text(until - from), "end");
  return svg + "</svg>";
}

std::string flight_page(const std::string& title, const Flight* stats,
                        const std::vector<std::pair<std::string, const Timeline*>>& lines) {
  std::string html =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" + escaped(title) +
      "</title><style>body{font:15px/1.45 "
      "system-ui,sans-serif;color:#1d2733;max-width:1000px;margin:24px auto;"
      "padding:0 16px}h1{font-size:22px}h2{font-size:16px;margin:28px 0 "
      "4px}svg{width:100%;height:auto;margin:6px 0}"
      "svg text{font:11px "
      "system-ui,sans-serif;fill:#46525f}pre{font-size:12.5px;overflow:auto;background:#f5f7f9;"
      "padding:10px;border-radius:6px}</style><h1>" +
      escaped(title) + "</h1>";
  if (stats) html += "<pre>" + escaped(stats_text(*stats)) + "</pre>";
  for (const auto& [router, line] : lines)
    html += "<h2>" + escaped(router + " " + one_line(*line)) + "</h2>" + waterfall(*line) +
            "<pre>" + escaped(why_text(*line) + "\n" + show_request(router, *line)) + "</pre>";
  return html + "</html>\n";
}

}  // namespace violetusher::kit
