#include "show.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "kit/common/svg.hpp"
#include "kit/common/units.hpp"

namespace violetusher::kit {
namespace {

using Json = nlohmann::ordered_json;

// Rounding error allowed in the sum of the causes, as a fraction of the worth asked.
constexpr double kSumTolerance = 1e-6;
constexpr int kMaxBarLength = 40;  // length of the longest bar in characters

std::string format_row(const char* format, const std::string& cause, double a, const std::string& b,
                       const std::string& rest) {
  char text[256];
  std::snprintf(text, sizeof text, format, cause.c_str(), a, b.c_str(), rest.c_str());
  return text;
}

std::string title_of(const LossTable& t) {
  return t.day + ", seed " + std::to_string(t.seed) + ": " + t.verdict;
}

std::string points(double part) {
  char text[32];
  std::snprintf(text, sizeof text, "%+.2f", 100 * part);
  return text;
}

}  // namespace

LossTable read_losses(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    throw std::runtime_error("not a JSON result of a rehearsal");
  if (!json.contains("losses"))
    throw std::runtime_error(
        "it has no losses: write it again with rehearse --json of this version");
  LossTable t;
  try {
    t.day = json.at("day").get<std::string>();
    t.verdict = json.at("verdict").get<std::string>();
    t.seed = json.at("seed").get<std::uint64_t>();
    const Json& losses = json.at("losses");
    t.asked = losses.at("asked").get<double>();
    t.earned = losses.at("earned").get<double>();
    double sum = 0;
    for (const Json& row : losses.at("causes")) {
      t.rows.push_back({row.at("cause").get<std::string>(), row.at("worth").get<double>(),
                        row.at("requests").get<std::uint64_t>()});
      sum += t.rows.back().worth;
    }
    if (!(std::abs(sum - t.lost()) <= kSumTolerance * std::max(t.asked, 1.0)))
      throw std::runtime_error("the losses by cause do not add up to the total loss");
  } catch (const Json::exception&) {
    throw std::runtime_error("its losses are not in the form that rehearse --json writes");
  }
  return t;
}

std::string loss_text(const LossTable& t) {
  std::string text = title_of(t) + "\n";
  text += "  worth asked " + std::to_string(std::llround(t.asked)) + ", earned " +
          percent(t.fraction(t.earned)) + ", lost " + percent(t.fraction(t.lost())) + "\n";
  double most = 0;
  for (const auto& row : t.rows) most = std::max(most, row.worth);
  for (const auto& row : t.rows) {
    if (row.worth <= 0) continue;
    auto bar = static_cast<std::size_t>(std::ceil(kMaxBarLength * row.worth / most));
    text += format_row("  %-28s %6.2f%%  %8s  %s\n", row.cause, 100 * t.fraction(row.worth),
                       std::to_string(row.requests), std::string(bar, '#'));
  }
  return text;
}

std::string loss_difference_text(const LossTable& before, const LossTable& after) {
  std::string text = "change in percentage points of the worth asked, second minus first: lost " +
                     points(after.fraction(after.lost()) - before.fraction(before.lost())) + "\n";
  struct Change {
    std::string cause;
    double by;
  };
  std::vector<Change> changes;
  auto worth_in = [](const LossTable& t, const std::string& cause) {
    for (const auto& row : t.rows)
      if (row.cause == cause) return t.fraction(row.worth);
    return 0.0;
  };
  std::set<std::string> seen;
  for (const auto* t : {&before, &after})
    for (const auto& row : t->rows)
      if (seen.insert(row.cause).second)
        changes.push_back({row.cause, worth_in(after, row.cause) - worth_in(before, row.cause)});
  std::stable_sort(changes.begin(), changes.end(), [](const Change& a, const Change& b) {
    return std::abs(a.by) > std::abs(b.by);
  });
  for (const Change& c : changes) {
    if (c.by == 0) continue;
    char line[160];
    std::snprintf(line, sizeof line, "  %-28s %s\n", c.cause.c_str(), points(c.by).c_str());
    text += line;
  }
  return text;
}

std::string loss_json(const LossTable& t) {
  Json json{{"day", t.day},           {"seed", t.seed},     {"verdict", t.verdict},
            {"asked", t.asked},       {"earned", t.earned}, {"lost_part", t.fraction(t.lost())},
            {"causes", Json::array()}};
  for (const auto& row : t.rows)
    json["causes"].push_back(
        {{"cause", row.cause}, {"part", t.fraction(row.worth)}, {"requests", row.requests}});
  return json.dump(1);
}

std::string loss_waterfall(const LossTable& t) {
  constexpr int kWidth = 960, kLeft = 230, kRight = 110, kStep = 24, kTop = 8;
  struct Bar {
    std::string label, figure;
    double from, until;  // fractions of the worth asked
    const char* colour;
  };
  std::vector<Bar> bars{{"asked", "100.00%", 0, 1, "#9fb3c8"}};
  double at = 1;
  for (const auto& row : t.rows) {
    if (row.worth <= 0) continue;
    double part = t.fraction(row.worth);
    bars.push_back({row.cause, "-" + percent(part), at - part, at, "#c4574e"});
    at -= part;
  }
  bars.push_back({"earned", percent(t.fraction(t.earned)), 0, t.fraction(t.earned), "#3f7f5f"});
  int height = kTop * 2 + kStep * static_cast<int>(bars.size());
  // The axis begins just below the worth earned, so that small losses are visible.
  double low = std::max(0.0, std::floor((t.fraction(t.earned) - 0.05) * 10) / 10);
  auto x = [&](double part) {
    return kLeft + (kWidth - kLeft - kRight) * (std::max(part, low) - low) / (1 - low);
  };
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " +
                    std::to_string(kWidth) + " " + std::to_string(height + 16) +
                    "\" role=\"img\" aria-label=\"Worth lost by cause\">";
  int y = kTop;
  for (const Bar& bar : bars) {
    char line[400];
    std::snprintf(line, sizeof line,
                  "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text><rect x=\"%.1f\" "
                  "y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/><text x=\"%.1f\" "
                  "y=\"%d\">%s</text>",
                  kLeft - 8, y + 14, escaped(bar.label).c_str(), x(bar.from), y,
                  std::max(x(bar.until) - x(bar.from), 1.0), kStep - 6, bar.colour,
                  x(bar.until) + 6, y + 14, bar.figure.c_str());
    svg += line;
    y += kStep;
  }
  char axis[200];
  std::snprintf(axis, sizeof axis,
                "<text x=\"%d\" y=\"%d\">%.0f%%</text><text x=\"%.1f\" y=\"%d\" "
                "text-anchor=\"end\">100%%</text>",
                kLeft, y + 14, 100 * low, x(1), y + 14);
  return svg + axis + "</svg>";
}

std::string loss_page(const std::vector<LossTable>& tables) {
  std::string html =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Worth lost</title>"
      "<style>body{font:15px/1.45 system-ui,sans-serif;color:#1d2733;max-width:1000px;"
      "margin:24px auto;padding:0 16px}svg{width:100%;height:auto}svg text{font:12px "
      "system-ui,sans-serif;fill:#1d2733}pre{font-size:12.5px;background:#f5f7f9;padding:10px;"
      "overflow:auto}</style><h1>Worth lost by cause</h1>";
  for (const LossTable& t : tables)
    html += "<h2>" + escaped(title_of(t)) + "</h2>" + loss_waterfall(t) + "<pre>" +
            escaped(loss_text(t)) + "</pre>";
  if (tables.size() == 2)
    html +=
        "<h2>Difference</h2><pre>" + escaped(loss_difference_text(tables[0], tables[1])) + "</pre>";
  return html + "</html>\n";
}

}  // namespace violetusher::kit
