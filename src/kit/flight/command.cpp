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
  std::size_t most = 10;
};

int complain(const std::string& what) {
  std::fprintf(stderr, "violetusher-kit: %s\n", what.c_str());
  return kWrongInput;
}

/// All files, or exit code 2. What is not whole of one is told and the rest used.
int load(const std::vector<std::string>& paths, std::vector<Flight>& flights) {
  for (const std::string& path : paths) {
    std::string error;
    flights.emplace_back();
    if (!load_flight(path, flights.back(), error)) return complain(error);
    for (const std::string& p : flights.back().recording.problems)
      std::fprintf(stderr, "%s: not whole: %s\n", path.c_str(), p.c_str());
  }
  return 0;
}

int write(const Options& o, const std::string& json, const std::string& html) {
  if (!o.json.empty() && !write_whole(o.json, json)) return complain(o.json + ": can't be written");
  if (!o.html.empty() && !write_whole(o.html, html)) return complain(o.html + ": can't be written");
  return 0;
}

using Found = std::vector<std::pair<std::string, const Timeline*>>;

int show(const Options& o, const Found& found, const std::string& title, bool why,
         const FarSides* sides) {
  std::string json = "[";
  for (const auto& [router, line] : found) {
    auto far = sides ? sides->find(line->id) : FarSides::const_iterator();
    bool has = sides && far != sides->end();
    std::printf("%s%s\n", show_request(router, *line, has ? &far->second : nullptr).c_str(),
                why ? why_text(*line).c_str() : "");
    json += (json.size() > 1 ? ",\n" : "\n") + request_json(router, *line);
  }
  return write(o, json + "\n]\n", flight_page(title, nullptr, found));
}

int by_id(const Options& o, bool why, bool merge) {
  std::vector<Flight> flights;
  if (int code = load(o.files, flights)) return code;
  FarSides sides;
  std::string error;
  if (!o.history.empty() && !load_history(o.history, sides, error)) return complain(error);
  // By the client's id, or by the router's own number where it is one and no client's id.
  Found found;
  for (const Flight& f : flights)
    for (const Timeline& line : f.lines)
      if (o.id.empty() || line.id == o.id.substr(0, core::flight::Record::kText))
        found.emplace_back(f.recording.name, &line);
  if (found.empty())
    for (const Flight& f : flights)
      for (const Timeline& line : f.lines)
        if (std::to_string(line.request) == o.id) found.emplace_back(f.recording.name, &line);
  if (merge || o.id.empty())
    std::stable_sort(found.begin(), found.end(),
                     [](auto& a, auto& b) { return a.second->taken < b.second->taken; });
  if (found.empty()) {
    std::fprintf(stderr, "violetusher-kit: no request %s in %s\n", o.id.c_str(),
                 o.files.size() == 1 ? o.files[0].c_str() : "these recordings");
    return kNotFound;
  }
  if (o.id.empty() && found.size() > o.most) {
    std::fprintf(stderr, "%zu requests; the first %zu are shown (--most)\n", found.size(), o.most);
    found.resize(o.most);
  }
  return show(o, found, o.id.empty() ? "Requests" : "Request " + o.id, why,
              o.history.empty() ? nullptr : &sides);
}

int slow(const Options& o) {
  std::vector<Flight> flights;
  if (int code = load(o.files, flights)) return code;
  Found found;
  for (const Flight& f : flights)
    for (const Timeline& line : f.lines)
      if (line.whole) found.emplace_back(f.recording.name, &line);
  std::stable_sort(found.begin(), found.end(),
                   [](auto& a, auto& b) { return a.second->took() > b.second->took(); });
  if (found.size() > o.most) found.resize(o.most);
  std::string json = "[";
  for (const auto& [router, line] : found) {
    std::printf("%s %s; most %s\n", router.c_str(), one_line(*line).c_str(),
                line->parts().largest());
    json += (json.size() > 1 ? ",\n" : "\n") + request_json(router, *line);
  }
  return write(o, json + "\n]\n", flight_page("The slowest requests", &flights.front(), found));
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
    sub->add_option("--json", o->json, "write the result for machines");
    sub->add_option("--html", o->html, "write one self-contained page");
    sub->callback([o, &code, run] { code = run(*o); });
    return std::pair(sub, o);
  };
  auto [show_sub, show_o] = add("show", "The life of one request, or of the first of all",
                                [](const Options& o) { return by_id(o, false, false); });
  show_sub->add_option("recording", show_o->files)->required();
  show_sub->add_option("--id", show_o->id, "the client's id, or the router's number");
  show_sub->add_option("--most", show_o->most)->capture_default_str();
  auto [why_sub, why_o] = add("why", "Why a request was slow or not served",
                              [](const Options& o) { return by_id(o, true, false); });
  why_sub->add_option("id", why_o->id, "the client's id, or the router's number")->required();
  why_sub->add_option("recording", why_o->files)->required();
  auto [slow_sub, slow_o] = add("slow", "The slowest requests and what cost their time", slow);
  slow_sub->add_option("recording", slow_o->files)->required();
  slow_sub->add_option("--most", slow_o->most)->capture_default_str();
  auto [stats_sub, stats_o] = add("stats", "Counts: ends, refusals by reason over time", stats);
  stats_sub->add_option("recording", stats_o->files)->required();
  auto [merge_sub, merge_o] = add("merge", "Several routers' recordings by the clients' ids",
                                  [](const Options& o) { return by_id(o, true, true); });
  merge_sub->add_option("recording", merge_o->files)->required();
  merge_sub->add_option("--id", merge_o->id, "one client's id alone");
  merge_sub->add_option("--history", merge_o->history,
                        "what the stand-ins saw, from rehearse --flight");
  merge_sub->add_option("--most", merge_o->most)->capture_default_str();
}

}  // namespace violetusher::kit
