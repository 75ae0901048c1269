// Recordings for people and machines: one request's life, the slowest, counts, and several
// recordings merged by the clients' ids, with what the stand-ins of a rehearsal saw beside them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/flight/timeline.hpp"

namespace violetusher::kit {

/// A recording with its requests.
struct Flight {
  core::flight::Recording recording;
  std::vector<core::flight::Timeline> lines;
};

/// Reads a file. False, with file and reason in `error`, where it is no recording that can be read;
/// what is not whole is in the recording's problems.
bool load_flight(const std::string& path, Flight& flight, std::string& error);

/// An attempt as the other side of the hop saw it, from a rehearsal's history.
struct FarSide {
  std::string server, answered;
  int router = -1;
  Micros first_byte = 0, begun = 0, made = 0, ended = 0;
};
/// By the id of the till's try. False with the reason, file and line, where a line can't be read.
using FarSides = std::map<std::string, std::vector<FarSide>>;
bool load_history(const std::string& path, FarSides& sides, std::string& error);

/// One request's life, a line an event, with the part that cost the time. `sides` may be null.
std::string show_request(const std::string& router, const core::flight::Timeline& line,
                         const std::vector<FarSide>* sides = nullptr);
/// The request in one line.
std::string one_line(const core::flight::Timeline& line);
/// Why it took long, or was not served, in words.
std::string why_text(const core::flight::Timeline& line);
std::string stats_text(const Flight& flight);
std::string stats_json(const Flight& flight);
std::string request_json(const std::string& router, const core::flight::Timeline& line);

/// The request as SVG: a bar for each attempt, its parts in colours.
std::string waterfall(const core::flight::Timeline& line);
/// One self-contained page of the given requests.
std::string flight_page(
    const std::string& title, const Flight* stats,
    const std::vector<std::pair<std::string, const core::flight::Timeline*>>& lines);

}  // namespace violetusher::kit
