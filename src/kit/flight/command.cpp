#include "command.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>

#include "kit/common/files.hpp"
#include "kit/common/units.hpp"
#include "show.hpp"

namespace violetusher::kit {
namespace {

using core::flight::Timeline;

constexpr int kWrongInput = 2, kNotFound = 1;

struct Options {
  std::vector<std::string> files;
  std::string id, json, html, history;
  std::size_t max_requests = 10;
};

int report_input_error(const std::string& what) {
  std::fprintf(stderr, "violetusher-kit: %s\n", what.c_str());
  return kWrongInput;
}

/// Loads all recordings; returns 0, or exit code 2 where one can't be read. Damaged or missing
/// parts of a recording are reported on stderr and the rest is used.
int load(const std::vector<std::string>& paths, std::vector<Flight>& flights) {
  for (const std::string& path : paths) {
    std::string error;
    flights.emplace_back();
    if (!load_flight(path, flights.back(), error)) return report_input_error(error);
    for (const std::string& p : flights.back().recording.problems)
      std::fprintf(stderr, "%s: incomplete recording: %s\n", path.c_str(), p.c_str());
  }
  return 0;
}

int write(const Options& o, const std::string& json, const std::string& html) {
  if (!o.json.empty() && !write_whole(o.json, json))
    return report_input_error(o.json + ": can't be written");
  if (!o.html.empty() && !write_whole(o.html, html))
    return report_input_error(o.html + ": can't be written");
  return 0;
}

using MatchedRequests = std::vector<std::pair<std::string, const Timeline*>>;

int show(const Options& o, const MatchedRequests& matched, const std::string& title, bool why,
         const FarSides* server_side) {
  std::string json = "[";
  for (const auto& [router, line] : matched) {
    auto server_events = server_side ? server_side->find(line->id) : FarSides::const_iterator();
    bool has = server_side && server_events != server_side->end();
    std::printf("%s%s\n",
                show_request(router, *line, has ? &server_events->second : nullptr).c_str(),
                why ? why_text(*line).c_str() : "");
    json += (json.size() > 1 ? ",\n" : "\n") + request_json(router, *line);
  }
  return write(o, json + "\n]\n", flight_page(title, nullptr, matched));
}

int by_id(const Options& o, bool why, bool merge) {
  std::vector<Flight> flights;
  if (int code = load(o.files, flights)) return code;
  FarSides server_side;
  std::string error;
  if (!o.history.empty() && !load_history(o.history, server_side, error))
    return report_input_error(error);
  // Matches the client's id first, and the router's own request number if no client's id matches.
  MatchedRequests matched;
  for (const Flight& f : flights)
    for (const Timeline& line : f.lines)
      if (o.id.empty() || line.id == o.id.substr(0, core::flight::Record::kText))
        matched.emplace_back(f.recording.name, &line);
  if (matched.empty())
    for (const Flight& f : flights)
      for (const Timeline& line : f.lines)
        if (std::to_string(line.request) == o.id) matched.emplace_back(f.recording.name, &line);
  if (merge || o.id.empty())
    std::stable_sort(matched.begin(), matched.end(),
                     [](auto& a, auto& b) { return a.second->taken < b.second->taken; });
  if (matched.empty()) {
    std::fprintf(stderr, "violetusher-kit: no request %s in %s\n", o.id.c_str(),
                 o.files.size() == 1 ? o.files[0].c_str() : "these recordings");
    return kNotFound;
  }
  if (o.id.empty() && matched.size() > o.max_requests) {
    std::fprintf(stderr, "%zu requests; the first %zu are shown (--most)\n", matched.size(),
                 o.max_requests);
    matched.resize(o.max_requests);
  }
  return show(o, matched, o.id.empty() ? "Requests" : "Request " + o.id, why,
              o.history.empty() ? nullptr : &server_side);
}

int slow(const Options& o) {
  std::vector<Flight> flights;
  if (int code = load(o.files, flights)) return code;
  MatchedRequests matched;
  for (const Flight& f : flights)
    for (const Timeline& line : f.lines)
      if (line.whole) matched.emplace_back(f.recording.name, &line);
  std::stable_sort(matched.begin(), matched.end(),
                   [](auto& a, auto& b) { return a.second->took() > b.second->took(); });
  if (matched.size() > o.max_requests) matched.resize(o.max_requests);
  std::string json = "[";
  for (const auto& [router, line] : matched) {
    std::printf("%s %s; most time %s\n", router.c_str(), one_line(*line).c_str(),
                line->parts().largest());
    json += (json.size() > 1 ? ",\n" : "\n") + request_json(router, *line);
  }
  return write(o, json + "\n]\n", flight_page("The slowest requests", &flights.front(), matched));
}

int stats(const Options& o) {
  std::vector<Flight> flights;
  if (int code = load(o.files, flights)) return code;
  std::string json = "[";
  for (const Flight& f : flights) {
    std::printf("%s", stats_text(f).c_str());
    json += (json.size() > 1 ? ",\n" : "\n") + stats_json(f);
  }
  return write(o, json + "]\n", flight_page("Counts", &flights.front(), {}));
}

}  // namespace

void add_flight(CLI::App& app, int& code) {
  CLI::App* flight = app.add_subcommand("flight", "Reads recordings of a router's flight recorder");
  flight->require_subcommand(1);
  auto add = [&](const char* name, const char* what, auto run) {
    auto o = std::make_shared<Options>();
    CLI::App* sub = flight->add_subcommand(name, what);
    sub->add_option("--json", o->json, "write the result as JSON");
    sub->add_option("--html", o->html, "write the result as one self-contained HTML page");
    sub->callback([o, &code, run] { code = run(*o); });
    return std::pair(sub, o);
  };
  auto [show_sub, show_o] = add("show", "Shows the events of one request, or of the first requests",
                                [](const Options& o) { return by_id(o, false, false); });
  show_sub->add_option("recording", show_o->files)->required();
  show_sub->add_option("--id", show_o->id, "the client's id, or the router's number");
  show_sub->add_option("--most", show_o->max_requests)->capture_default_str();
  auto [why_sub, why_o] = add("why", "Explains why a request was slow or not served",
                              [](const Options& o) { return by_id(o, true, false); });
  why_sub->add_option("id", why_o->id, "the client's id, or the router's number")->required();
  why_sub->add_option("recording", why_o->files)->required();
  auto [slow_sub, slow_o] =
      add("slow", "Lists the slowest requests and where their time went", slow);
  slow_sub->add_option("recording", slow_o->files)->required();
  slow_sub->add_option("--most", slow_o->max_requests)->capture_default_str();
  auto [stats_sub, stats_o] =
      add("stats", "Counts outcomes, and refusals by reason over time", stats);
  stats_sub->add_option("recording", stats_o->files)->required();
  auto [merge_sub, merge_o] = add("merge", "Merges the recordings of several routers by client id",
                                  [](const Options& o) { return by_id(o, true, true); });
  merge_sub->add_option("recording", merge_o->files)->required();
  merge_sub->add_option("--id", merge_o->id, "show only this client id");
  merge_sub->add_option("--history", merge_o->history,
                        "the events at the stand-in servers, written by rehearse --flight");
  merge_sub->add_option("--most", merge_o->max_requests)->capture_default_str();
}

}  // namespace violetusher::kit
