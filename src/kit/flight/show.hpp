// Reports on flight recordings as text, JSON and HTML: single requests, counts, and recordings of
// several routers merged by client id, optionally with the events at a rehearsal's stand-ins.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/flight/timeline.hpp"

namespace violetusher::kit {

/// A recording and the timelines of its requests.
struct Flight {
  core::flight::Recording recording;
  std::vector<core::flight::Timeline> lines;
};

/// Reads a recording. Returns false, with file and reason in `error`, if it can't be read; damaged
/// or missing parts are listed in the recording's problems.
bool load_flight(const std::string& path, Flight& flight, std::string& error);

/// An attempt as the stand-in server recorded it in a rehearsal's history.
struct FarSide {
  std::string server, answered;
  int router = -1;
  Micros first_byte = 0, begun = 0, made = 0, ended = 0;
};
/// Server-side attempts by the request id that the till sent.
using FarSides = std::map<std::string, std::vector<FarSide>>;
/// Reads a rehearsal's history. Returns false, with file, line and reason in `error`, if a line
/// can't be parsed.
bool load_history(const std::string& path, FarSides& server_side, std::string& error);

/// A request's summary and its events, one per line. `server_side` may be null.
std::string show_request(const std::string& router, const core::flight::Timeline& line,
                         const std::vector<FarSide>* server_side = nullptr);
/// Summarizes the request in one line: outcome, duration and its breakdown.
std::string one_line(const core::flight::Timeline& line);
/// Explains why the request took long or was not served.
std::string why_text(const core::flight::Timeline& line);
/// Counts of a recording's outcomes and reasons, as text and as JSON.
std::string stats_text(const Flight& flight);
std::string stats_json(const Flight& flight);
/// A request with its attempts and events as JSON.
std::string request_json(const std::string& router, const core::flight::Timeline& line);

/// The request as SVG: a bar per attempt, with a colour per part of its time.
std::string waterfall(const core::flight::Timeline& line);
/// One self-contained HTML page of the given requests; `stats` may be null.
std::string flight_page(
    const std::string& title, const Flight* stats,
    const std::vector<std::pair<std::string, const core::flight::Timeline*>>& lines);

}  // namespace violetusher::kit
