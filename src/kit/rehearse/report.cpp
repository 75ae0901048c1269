#include "report.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "kit/common/svg.hpp"
#include "kit/common/units.hpp"
#include "losses.hpp"

namespace violetusher::rehearse {
namespace {

using Json = nlohmann::ordered_json;
using kit::duration_text;
using kit::escaped;
using kit::percent;
using kit::TryEnd;

std::string hex(std::uint64_t value) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

std::string finding_line(const Finding& f) {
  return "at " + duration_text(f.at) + (f.request.empty() ? "" : " " + f.request) + ": " + f.what;
}

std::string indented(const std::string& text) {
  std::string out = "      ";
  for (char c : text) out += c == '\n' ? std::string("\n      ") : std::string(1, c);
  out.resize(out.find_last_not_of(' ') + 1);
  return out;
}

std::vector<kit::Mark> marks_of(const Day& day) {
  std::vector<kit::Mark> marks;
  for (const Event& e : day.events) marks.push_back({seconds(e.at), seconds(e.until), e.what});
  return marks;
}

/// Outcomes and latencies of the requests whose intended send time is in one second.
struct Second {
  double served = 0, refused = 0, failed = 0;
  std::vector<Micros> times;
};

std::vector<Second> by_second(const Result& r) {
  std::vector<Second> list(static_cast<std::size_t>((r.day.length + 999'999) / 1'000'000));
  std::vector<const kit::TryRecord*> last(r.plan.requests.size(), nullptr);
  for (const auto& t : r.played.history.tries)
    if (!last[t.request] || last[t.request]->end != TryEnd::kServed) last[t.request] = &t;
  for (std::size_t k = 0; k < last.size(); ++k) {
    if (!last[k] || r.plan.requests[k].direct) continue;
    Second& s = list[std::min(list.size() - 1,
                              static_cast<std::size_t>(r.plan.requests[k].at / 1'000'000))];
    if (last[k]->end == TryEnd::kServed) {
      ++s.served;
      s.times.push_back(last[k]->ended - r.played.history.origin - r.plan.requests[k].at);
    } else if (last[k]->end == TryEnd::kRefused) {
      ++s.refused;
    } else {
      ++s.failed;
    }
  }
  return list;
}

std::string plots(const Result& r) {
  auto marks = marks_of(r.day);
  double length = seconds(r.day.length);
  auto list = by_second(r);
  kit::Plot outcomes{"Requests by outcome", "per second", length, {}, marks, true, false};
  outcomes.series = {
      {"served", "#2a9d6f", {}}, {"refused", "#e9a23b", {}}, {"failed", "#c8443c", {}}};
  kit::Plot times{"Latency of served requests, from the intended send time",
                  "ms",
                  length,
                  {},
                  marks,
                  false,
                  true};
  times.series = {{"median", "#2b6cb0", {}}, {"p99", "#c8443c", {}}};
  for (std::size_t k = 0; k < list.size(); ++k) {
    double t = static_cast<double>(k) + 0.5;
    outcomes.series[0].points.emplace_back(t, list[k].served);
    outcomes.series[1].points.emplace_back(t, list[k].refused);
    outcomes.series[2].points.emplace_back(t, list[k].failed);
    auto& v = list[k].times;
    if (v.empty()) continue;
    std::sort(v.begin(), v.end());
    auto at = [&](double q) {
      return static_cast<double>(v[std::min(
                 v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())))]) /
             1000;
    };
    times.series[0].points.emplace_back(t, at(0.5));
    times.series[1].points.emplace_back(t, at(0.99));
  }
  kit::HeatMap load{"Load of the price caches: fraction of busy cores", length, 0.5, {}, marks};
  auto cells = static_cast<std::size_t>(length / load.step) + 1;
  for (const std::string& name : r.played.history.servers)
    load.rows.emplace_back(name, std::vector<double>(cells, -1));
  for (const auto& s : r.played.history.server_samples) {
    double t = seconds(s.at - r.played.history.origin);
    if (t >= 0 && t < length)
      load.rows[static_cast<std::size_t>(s.server)]
          .second[static_cast<std::size_t>(t / load.step)] = s.utilisation;
  }
  return kit::line_plot(outcomes) + kit::line_plot(times) + kit::heat_map(load);
}

std::string row(std::initializer_list<std::string> cells, const char* tag = "td") {
  std::string html = "<tr>";
  for (const std::string& c : cells)
    html += std::string("<") + tag + ">" + escaped(c) + "</" + tag + ">";
  return html + "</tr>";
}

constexpr const char* kStyle =
    "body{font:15px/1.45 system-ui,sans-serif;color:#1d2733;max-width:1000px;margin:24px "
    "auto;padding:0 16px}"
    "h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:28px 0 8px}"
    ".verdict{padding:14px 18px;border-radius:8px;color:#fff;margin:14px 0}"
    ".pass{background:#207a55}.fail{background:#b23a32}.inconclusive{background:#6b7280}"
    ".verdict b{font-size:20px}table{border-collapse:collapse;width:100%}"
    "td,th{text-align:left;padding:4px 10px 4px 0;border-bottom:1px solid "
    "#e3e8ee;vertical-align:top}"
    "th{color:#5a6878;font-weight:600}.bad td{color:#b23a32;font-weight:600}"
    "svg{width:100%;height:auto;margin:8px 0}svg text{font:11px system-ui,sans-serif;fill:#46525f}"
    "svg .in text{fill:#fff;font-weight:600}"
    "svg .title{font-size:13px;font-weight:600;fill:#1d2733}.grid{stroke:#e3e8ee}"
    ".mark{fill:#7c5cbf;fill-opacity:.13;stroke:#7c5cbf;stroke-opacity:.35}"
    "svg .marktext{fill:#5b3fa0;font-weight:700}code,pre{font-size:12.5px}pre{overflow:auto}"
    ".muted{color:#5a6878}";

/// Head-of-line waits as one line of text.
std::string head_of_line_text(const HeadOfLineFigures& f) {
  if (f.answers == 0) return "no answer";
  return percent(static_cast<double>(f.waited) / static_cast<double>(f.answers)) + " of " +
         std::to_string(f.answers) + " answers waited over " + duration_text(kHeadOfLineThreshold) +
         "; p99 " + duration_text(f.p99) + ", worst " + duration_text(f.worst) + ", " +
         duration_text(f.total) + " in total";
}

}  // namespace

Outcome Result::outcome() const {
  if (!played.not_started.empty() || !played.violations.empty()) return Outcome::kFail;
  if (!played.rig.trouble.empty()) return Outcome::kInconclusive;
  return verdict.pass() ? Outcome::kPass : Outcome::kFail;
}

std::string Result::headline() const {
  switch (outcome()) {
    case Outcome::kPass:
      return "PASS: no rule violated, " + std::to_string(verdict.checks.size()) +
             " expectations met";
    case Outcome::kInconclusive:
      return "INCONCLUSIVE: " + played.rig.trouble + "; no verdict";
    case Outcome::kFail:
      break;
  }
  if (!played.not_started.empty()) return "FAIL: a router did not start: " + played.not_started;
  if (!played.violations.empty())
    return "FAIL: a router violated one of its own invariants: " + played.violations.front();
  std::string text;
  for (const auto& [rule, count] : verdict.broken)
    text += (text.empty() ? "" : ", ") + rule + " (" + std::to_string(count) + ")";
  for (const Check& c : verdict.checks)
    if (!c.held)
      text += (text.empty() ? "" : ", ") + c.name + " " + c.got + " (expected " + c.wanted + ")";
  return "FAIL: " + text;
}

std::string text_report(const Result& r) {
  const Verdict& v = r.verdict;
  std::string text = r.headline() + "\n";
  std::string rule;
  for (const Finding& f : v.findings) {
    if (f.rule != rule) text += "  " + f.rule + ":\n";
    rule = f.rule;
    text += "    " + finding_line(f) + "\n";
    if (auto timeline = r.timelines.find(f.request); timeline != r.timelines.end())
      text += indented(timeline->second.text);
  }
  char line[256];
  std::snprintf(
      line, sizeof line,
      "%s, seed %llu, plan %s\n%llu requests: %llu served, %llu refused, %llu failed, %llu left "
      "early; "
      "service %s, median %s, p99 %s\n",
      r.day.name.c_str(), static_cast<unsigned long long>(r.plan.seed),
      hex(plan_hash(r.day, r.plan)).c_str(), static_cast<unsigned long long>(v.requests),
      static_cast<unsigned long long>(v.served), static_cast<unsigned long long>(v.refused),
      static_cast<unsigned long long>(v.failed), static_cast<unsigned long long>(v.left),
      percent(v.service).c_str(), duration_text(v.p50).c_str(), duration_text(v.p99).c_str());
  text += line;
  for (const Check& c : v.checks)
    if (!c.held) text += "  not met: " + c.name + ": " + c.got + ", expected " + c.wanted + "\n";
  text += "rig: requests sent late by p99 " + duration_text(r.played.rig.tills.quantile(0.99)) +
          ", worst " + duration_text(r.played.rig.tills.worst()) + "; stand-ins p99 " +
          duration_text(r.played.rig.standins.quantile(0.99)) + ", worst " +
          duration_text(r.played.rig.standins.worst()) + "; latency added by a router " +
          duration_text(v.routed_p50) + " (median), " + duration_text(v.routed_p99) + " (p99)\n";
  text += "head-of-line waits: " + head_of_line_text(v.head_of_line) + "\n";
  if (!r.played.router_logs.empty()) text += r.played.router_logs;
  return text;
}

std::string json_report(const Result& r) {
  const Verdict& v = r.verdict;
  Json json;
  static const char* const kNames[] = {"pass", "fail", "", "inconclusive"};
  json["verdict"] = kNames[static_cast<int>(r.outcome())];
  json["headline"] = r.headline();
  json["day"] = r.day.name;
  json["seed"] = r.plan.seed;
  json["plan_hash"] = hex(plan_hash(r.day, r.plan));
  json["broken"] = Json::object();
  for (const auto& [rule, count] : v.broken) json["broken"][rule] = count;
  json["findings"] = Json::array();
  for (const Finding& f : v.findings) {
    json["findings"].push_back(
        {{"rule", f.rule}, {"request", f.request}, {"at_us", f.at}, {"what", f.what}});
    if (auto timeline = r.timelines.find(f.request); timeline != r.timelines.end())
      json["findings"].back()["life"] = timeline->second.text;
  }
  json["checks"] = Json::array();
  for (const Check& c : v.checks)
    json["checks"].push_back(
        {{"name", c.name}, {"wanted", c.wanted}, {"got", c.got}, {"held", c.held}});
  json["requests"] = {{"planned", r.plan.requests.size()},
                      {"judged", v.requests},
                      {"served", v.served},
                      {"refused", v.refused},
                      {"failed", v.failed},
                      {"left", v.left},
                      {"direct", v.direct},
                      {"tries", v.tries},
                      {"attempts", v.attempts}};
  json["service"] = v.service;
  Losses losses = losses_of(r.day, r.plan, r.played.history);
  json["losses"] = {{"asked", losses.asked}, {"earned", losses.earned}, {"causes", Json::array()}};
  for (std::size_t k = 0; k < kCauses; ++k)
    json["losses"]["causes"].push_back({{"cause", name_of(static_cast<Cause>(k))},
                                        {"worth", losses.by_cause[k].worth},
                                        {"requests", losses.by_cause[k].requests}});
  json["answer_us"] = {{"p50", v.p50}, {"p99", v.p99}};
  json["added_us"] = {{"p50", v.routed_p50}, {"p99", v.routed_p99}};
  json["direct_us"] = {{"p50", v.direct_p50}, {"p99", v.direct_p99}};
  auto line = [](const HeadOfLineFigures& f) {
    return Json{{"name", f.name},  {"answers", f.answers}, {"waited", f.waited}, {"p50_us", f.p50},
                {"p99_us", f.p99}, {"worst_us", f.worst},  {"total_us", f.total}};
  };
  json["head_of_line"] = {
      {"all", line(v.head_of_line)}, {"price_caches", Json::array()}, {"routers", Json::array()}};
  for (const auto& f : v.head_of_line_by_server)
    json["head_of_line"]["price_caches"].push_back(line(f));
  for (const auto& f : v.head_of_line_by_router) json["head_of_line"]["routers"].push_back(line(f));
  auto figures = [](const std::vector<ClassFigures>& list) {
    Json out = Json::array();
    for (const auto& f : list)
      out.push_back({{"name", f.name},
                     {"asked", f.asked},
                     {"served", f.served},
                     {"in_aim", f.in_objective},
                     {"service", f.service},
                     {"p50_us", f.p50},
                     {"p99_us", f.p99}});
    return out;
  };
  json["classes"] = figures(v.classes);
  json["banners"] = figures(v.tenants);
  json["windows"] = Json::array();
  for (const Window& w : v.windows)
    json["windows"].push_back({{"from_us", w.from},
                               {"asked", w.asked},
                               {"served", w.served},
                               {"refused", w.refused},
                               {"failed", w.failed},
                               {"service", w.service},
                               {"p50_us", w.p50},
                               {"p99_us", w.p99}});
  json["routers"] = Json::array();
  for (const auto& f : v.routers)
    json["routers"].push_back({{"tries", f.tries},
                               {"memory_most", f.peak_memory},
                               {"memory_quarters", f.memory_quarters},
                               {"descriptor_quarters", f.descriptor_quarters}});
  auto late = [](const kit::Lateness& l) {
    return Json{{"count", l.count()}, {"p99_us", l.quantile(0.99)}, {"worst_us", l.worst()}};
  };
  json["rig"] = {{"tills_late", late(r.played.rig.tills)},
                 {"standins_late", late(r.played.rig.standins)},
                 {"out_of_sockets", r.played.rig.out_of_sockets},
                 {"trouble", r.played.rig.trouble}};
  return json.dump(2) + "\n";
}

std::string history_lines(const kit::History& h) {
  std::string lines;
  for (const auto& a : h.attempts) {
    if (a.request == kit::kNoRequest) continue;
    lines += Json{{"id", standin::request_id(a.request, a.attempt_try)},
                  {"server", h.servers[static_cast<std::size_t>(a.server)]},
                  {"answered", a.left ? "left" : kit::name_of(a.answered)},
                  {"router", a.router + 1},
                  {"first_byte_us", a.first_byte},
                  {"begun_us", a.begun},
                  {"made_us", a.made},
                  {"ended_us", a.ended}}
                 .dump() +
             "\n";
  }
  return lines;
}

std::string request_log(const Result& r) {
  // The id and time come from the recorded tries, so that the log shows what was really sent; the
  // plan only supplies names for its numbers.
  std::vector<const kit::TryRecord*> first(r.plan.requests.size(), nullptr);
  for (const auto& t : r.played.history.tries)
    if (t.number == 0) first[t.request] = &t;
  std::string log;
  for (std::size_t k = 0; k < first.size(); ++k) {
    if (!first[k]) continue;
    Json line = Json::parse(plan_line(r.day, r.plan, k));
    line["id"] = standin::request_id(first[k]->request, first[k]->number);
    line["at_us"] = first[k]->intended - r.played.history.origin;
    log += line.dump() + "\n";
  }
  return log;
}

std::string html_report(const Result& r) {
  const Verdict& v = r.verdict;
  static const char* const kClasses[] = {"pass", "fail", "", "inconclusive"};
  std::string html =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" + escaped(r.day.name) +
      "</title><style>" + kStyle + "</style><h1>Rehearsal: " + escaped(r.day.name) +
      "</h1><div class=\"muted\">" + escaped(r.day.about) + "</div><div class=\"verdict " +
      kClasses[static_cast<int>(r.outcome())] + "\"><b>" + escaped(r.headline()) + "</b></div>";
  html += "<p class=\"muted\">Seed " + std::to_string(r.plan.seed) + ", plan " +
          hex(plan_hash(r.day, r.plan)) + ", " + std::to_string(r.day.routers.halls.size()) +
          " routers, " + std::to_string(r.played.history.servers.size()) + " price caches, " +
          duration_text(r.day.length) + ".</p>";
  if (!v.findings.empty()) {
    html += "<h2>Violated rules</h2><table>" +
            row({"rule", "time of day", "request", "what happened"}, "th");
    for (const Finding& f : v.findings) {
      html += row({f.rule, duration_text(f.at), f.request.empty() ? "-" : f.request, f.what});
      if (auto timeline = r.timelines.find(f.request); timeline != r.timelines.end())
        html += "<tr><td colspan=\"4\">" + timeline->second.svg + "<pre>" +
                escaped(timeline->second.text) + "</pre></td></tr>";
    }
    html += "</table>";
    for (const auto& [rule, count] : v.broken)
      if (count > kMostFindings)
        html += "<p class=\"muted\">" + rule + ": the first " + std::to_string(kMostFindings) +
                " of " + std::to_string(count) + ".</p>";
  }
  html += "<h2>Timeline</h2>";
  if (!r.day.events.empty()) {
    html += "<table>" + row({"mark", "from", "until", "event"}, "th");
    for (std::size_t k = 0; k < r.day.events.size(); ++k)
      html += row({std::to_string(k + 1), duration_text(r.day.events[k].at),
                   duration_text(r.day.events[k].until), r.day.events[k].what});
    html += "</table>";
  }
  html += plots(r);
  html += "<h2>Expectations</h2><table>" + row({"expectation", "expected", "actual", ""}, "th");
  for (const Check& c : v.checks) {
    std::string line = row({c.name, c.wanted, c.got, c.held ? "met" : "not met"});
    if (!c.held) line.replace(0, 4, "<tr class=\"bad\">");
    html += line;
  }
  html += "</table><h2>Service</h2><table>" +
          row({"", "asked", "served", "within the objective", "service", "median", "p99"}, "th");
  for (const auto* list : {&v.classes, &v.tenants})
    for (const auto& f : *list)
      html += row({f.name, std::to_string(f.asked), std::to_string(f.served),
                   std::to_string(f.in_objective), percent(f.service), duration_text(f.p50),
                   duration_text(f.p99)});
  html += row({"all", std::to_string(v.requests), std::to_string(v.served), "", percent(v.service),
               duration_text(v.p50), duration_text(v.p99)});
  html += "</table><h2>By interval of five seconds</h2><table>" +
          row({"from", "asked", "served", "refused", "failed", "service", "median", "p99"}, "th");
  for (const Window& w : v.windows)
    html += row({duration_text(w.from), std::to_string(w.asked), std::to_string(w.served),
                 std::to_string(w.refused), std::to_string(w.failed), percent(w.service),
                 duration_text(w.p50), duration_text(w.p99)});
  html += "</table><h2>Routers</h2><table>" +
          row({"", "tries", "memory by quarter (MiB)", "descriptors by quarter"}, "th");
  for (std::size_t k = 0; k < v.routers.size(); ++k) {
    std::string memory, descriptors;
    for (int q = 0; q < 4; ++q) {
      char text[32];
      std::snprintf(text, sizeof text, "%s%.1f", q ? ", " : "",
                    static_cast<double>(v.routers[k].memory_quarters[q]) / 1048576);
      memory += text;
      descriptors += (q ? ", " : "") + std::to_string(v.routers[k].descriptor_quarters[q]);
    }
    html +=
        row({"r" + std::to_string(k + 1), std::to_string(v.routers[k].tries), memory, descriptors});
  }
  html +=
      "</table><h2>Head-of-line blocking</h2><p class=\"muted\">A connection sends its answers in "
      "the "
      "order of "
      "the requests. Time from an answer being complete at its price cache until it was written: " +
      escaped(head_of_line_text(v.head_of_line)) + ".</p><table>" +
      row({"", "answers", "waited over " + duration_text(kHeadOfLineThreshold), "median", "p99",
           "worst", "total"},
          "th");
  for (const auto* list : {&v.head_of_line_by_server, &v.head_of_line_by_router})
    for (const auto& f : *list)
      if (f.answers)
        html +=
            row({f.name, std::to_string(f.answers), std::to_string(f.waited), duration_text(f.p50),
                 duration_text(f.p99), duration_text(f.worst), duration_text(f.total)});
  html += "</table><h2>Test rig</h2><table>" + row({"", "p99", "worst", "bounds"}, "th");
  std::string bounds =
      duration_text(r.day.rig.late_p99) + ", " + duration_text(r.day.rig.late_worst);
  html += row({"requests sent late", duration_text(r.played.rig.tills.quantile(0.99)),
               duration_text(r.played.rig.tills.worst()), bounds});
  html += row({"stand-ins' timers late", duration_text(r.played.rig.standins.quantile(0.99)),
               duration_text(r.played.rig.standins.worst()), bounds});
  html += "</table><p class=\"muted\">To a request served by one attempt, router and sockets add " +
          duration_text(v.routed_p50) + " at the median and " + duration_text(v.routed_p99) +
          " at the 99th percentile.";
  if (v.direct)
    html += " " + std::to_string(v.direct) + " reads were sent straight to a price cache: median " +
            duration_text(v.direct_p50) + ", p99 " + duration_text(v.direct_p99) + ".";
  html += "</p>";
  if (!r.played.router_logs.empty())
    html += "<h2>Router logs</h2><pre>" + escaped(r.played.router_logs) + "</pre>";
  return html + "</html>\n";
}

}  // namespace violetusher::rehearse
