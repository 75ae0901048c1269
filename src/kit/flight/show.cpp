// Loads flight recordings and rehearsal histories, and formats them as text and JSON.
#include "show.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "kit/common/units.hpp"

namespace violetusher::kit {
namespace {

using core::flight::AttemptTimeline;
using core::flight::Kind;
using core::flight::name_of;
using core::flight::Reason;
using core::flight::Record;
using core::flight::TimeBreakdown;
using core::flight::Timeline;
using Json = nlohmann::ordered_json;

/// Escapes bytes other than printable ASCII as \xNN: ids come from clients and could hold terminal
/// control sequences.
std::string escape_unprintable(const std::string& text) {
  std::string out;
  for (unsigned char c : text) {
    char hex[8];
    std::snprintf(hex, sizeof hex, c < 32 || c >= 127 ? "\\x%02x" : "%c", c);
    out += hex;
  }
  return out;
}

std::string milliseconds_text(Micros span) {
  char text[32];
  std::snprintf(text, sizeof text, "%+10.3f ms", static_cast<double>(span) / 1000);
  return text;
}

/// Describes a record, without its time.
std::string describe_record(const Record& r) {
  std::string text = name_of(r.kind);
  if (r.attempt >= 0) text += " attempt " + std::to_string(r.attempt + 1);
  std::string name = escape_unprintable(r.text_string());
  switch (r.kind) {
    case Kind::kReceived:
      return text + " as " + name + ", " + duration_text(r.value) + " to the deadline";
    case Kind::kRouted:
      return text + " to pool " + name;
    case Kind::kSent:
    case Kind::kMoved:
      return text + " to " + name + " by connection " + std::to_string(r.number) +
             (r.value > 0 ? ", " + std::to_string(r.value) + " requests ahead" : "");
    case Kind::kNoConnection:
      return text + " to " + name + " had room (" + std::to_string(r.value) + " connections)";
    case Kind::kAnswerPaused:
      return text + " at " + name;
    case Kind::kWritten:
      return text + " to connection " + std::to_string(r.number);
    case Kind::kEnd:
      return text + " at " + name + ": " + name_of(static_cast<Status>(r.value));
    case Kind::kCancelled:
      return text + " by " + name_of(r.why);
    case Kind::kRefused:
      return text + " by " + name_of(r.why) +
             (r.value > 0 ? ", retry after " + duration_text(r.value) : "");
    case Kind::kFailed:
      return text + " by " + name_of(r.why);
    case Kind::kLate:
      return text + " by " + duration_text(r.value);
    default:
      return text;
  }
}

std::string end_text(const Timeline& line) {
  if (line.end == Kind::kNone) return "still open";
  std::string text = name_of(line.end);
  return line.why == Reason::kNone ? text : text + " by " + name_of(line.why);
}

Json parts_json(const TimeBreakdown& p) {
  return {{"router", p.router},
          {"connecting", p.connecting},
          {"behind", p.behind},
          {"serving", p.serving}};
}

}  // namespace

bool load_flight(const std::string& path, Flight& flight, std::string& error) {
  std::ifstream file(path, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(file)), {});
  if (!file.is_open()) {
    error = path + ": can't be read";
    return false;
  }
  std::string reason;
  if (!core::flight::read_recording(std::as_bytes(std::span(bytes)), flight.recording, reason)) {
    error = path + ": " + reason;
    return false;
  }
  flight.lines = core::flight::timelines(flight.recording);
  return true;
}

bool load_history(const std::string& path, FarSides& server_side, std::string& error) {
  std::ifstream file(path);
  if (!file) {
    error = path + ": can't be read";
    return false;
  }
  std::string text;
  for (int number = 1; std::getline(file, text); ++number) {
    try {
      Json j = Json::parse(text);
      server_side[j.at("id")].push_back({j.at("server"), j.at("answered"), j.at("router"),
                                         j.at("first_byte_us"), j.at("begun_us"), j.at("made_us"),
                                         j.at("ended_us")});
    } catch (const Json::exception& e) {
      error = path + ":" + std::to_string(number) + ": " + e.what();
      return false;
    }
  }
  return true;
}

std::string one_line(const Timeline& line) {
  std::string text =
      "request " + std::to_string(line.request) + " " +
      (line.id.empty() ? "(received before the recording began)" : escape_unprintable(line.id)) +
      ": " + end_text(line);
  if (line.whole) {
    TimeBreakdown p = line.parts();
    text += " after " + duration_text(line.took()) + ": " + duration_text(p.router) +
            " in the router, " + duration_text(p.connecting) + " waiting for a connection, " +
            duration_text(p.behind) + " behind others, " + duration_text(p.serving) +
            " at the server";
  }
  return text + "; " + std::to_string(line.attempts.size()) +
         (line.attempts.size() == 1 ? " attempt" : " attempts");
}

std::string why_text(const Timeline& line) {
  std::string text;
  if (line.end == Kind::kRefused || line.end == Kind::kFailed) {
    static const std::map<Reason, const char*> kWhy = {
        {Reason::kModule, "the decision module found no further attempt worthwhile"},
        {Reason::kNoRoute, "the operator file has no route for it"},
        {Reason::kLimit, "a limit or a tenant's share set in the operator file was reached"},
        {Reason::kBudget, "the retry budget of its route or pool was exhausted"},
        {Reason::kRequestLimit, "the router's limit of open requests was reached"},
        {Reason::kMemoryLimit, "the memory limit of open requests was reached"},
        {Reason::kDeadline, "its deadline had passed"},
        {Reason::kClientLeft, "its client had closed its side of the connection"},
        {Reason::kShutdown, "the router shut down"},
        {Reason::kBadCommand, "its command was invalid"}};
    auto at = kWhy.find(line.why);
    text += std::string(line.end == Kind::kRefused ? "Refused" : "Failed") + ": " +
            (at == kWhy.end() ? name_of(line.why) : at->second) + ".\n";
  }
  for (const AttemptTimeline& a : line.attempts) {
    text += "Attempt " + std::to_string(a.attempt + 1) + " at " +
            (a.server.empty() ? "?" : escape_unprintable(a.server));
    if (!a.sent)
      text += " was never assigned to a connection";
    else if (!a.ended)
      text += " was still open when the recording ended";
    else
      text += " took " + duration_text(a.ended - a.sent) + ": " + duration_text(a.connecting()) +
              " until it was written, " + duration_text(a.behind()) + " behind others (" +
              std::to_string(a.ahead) + " ahead of it on connection " +
              std::to_string(a.connection) + "), " + duration_text(a.serving()) + " at the server";
    if (a.ended) text += std::string("; ended ") + name_of(a.status);
    text += ".\n";
  }
  if (line.whole && line.took() > 0)
    text += std::string("Most of its ") + duration_text(line.took()) + " went " +
            line.parts().largest() + ".\n";
  else if (!line.whole)
    text += "The recording does not cover the whole request.\n";
  return text;
}

std::string show_request(const std::string& router, const Timeline& line,
                         const std::vector<FarSide>* server_side) {
  std::string text = router + " " + one_line(line) + "\n";
  Micros origin = line.taken ? line.taken : line.records.empty() ? 0 : line.records.front().at;
  std::vector<std::pair<Micros, std::string>> events;
  for (const Record& r : line.records) events.emplace_back(r.at, describe_record(r));
  if (server_side)
    for (const FarSide& s : *server_side) {
      std::string prefix = "            | " + s.server + " ";
      events.emplace_back(s.first_byte, prefix + "received its first byte");
      events.emplace_back(s.begun, prefix + "read it");
      if (s.made) events.emplace_back(s.made, prefix + "produced its response");
      if (s.ended) events.emplace_back(s.ended, prefix + "finished it: " + s.answered);
    }
  std::stable_sort(events.begin(), events.end(),
                   [](auto& a, auto& b) { return a.first < b.first; });
  for (const auto& [at, what] : events)
    text += "  " + milliseconds_text(at - origin) + "  " + what + "\n";
  return text;
}

std::string stats_text(const Flight& f) {
  auto s = core::flight::stats_of(f.recording, f.lines);
  std::string text = f.recording.name + ": " + std::to_string(f.recording.records.size()) +
                     " records, " + std::to_string(f.recording.overwritten) + " overwritten; " +
                     std::to_string(s.requests) + " requests: " + std::to_string(s.answered) +
                     " served, " + std::to_string(s.refused) + " refused, " +
                     std::to_string(s.failed) + " failed, " + std::to_string(s.gone) + " left, " +
                     std::to_string(s.open) + " open\n";
  text += "  " + std::to_string(s.dials) + " dials, " + std::to_string(s.dials_failed) +
          " failed, " + std::to_string(s.no_connection) +
          " attempts without room on a connection; " + std::to_string(s.late) +
          " late responses, " + std::to_string(s.second) + " duplicate responses suppressed, " +
          std::to_string(s.after) + " attempts after the response suppressed\n";
  for (const auto& [reason, count] : s.reasons)
    text += "  " + reason + ": " + std::to_string(count) + "\n";
  TimeBreakdown all;
  for (const Timeline& line : f.lines) {
    TimeBreakdown p = line.parts();
    all.router += p.router, all.connecting += p.connecting, all.behind += p.behind,
        all.serving += p.serving;
  }
  if (all.total() > 0) {
    auto share = [&](Micros part) {
      return percent(static_cast<double>(part) / static_cast<double>(all.total()));
    };
    text += "  total time: " + share(all.serving) + " at servers, " + share(all.behind) +
            " behind others, " + share(all.connecting) + " waiting for connections, " +
            share(all.router) + " in the router\n";
  }
  for (const auto& second : s.seconds) {
    if (second.reasons.empty()) continue;
    text += "  second " + std::to_string(second.at) + ": " + std::to_string(second.answered) +
            " served";
    for (const auto& [reason, count] : second.reasons)
      text += ", " + reason + " " + std::to_string(count);
    text += "\n";
  }
  for (const std::string& problem : f.recording.problems)
    text += "  incomplete recording: " + problem + "\n";
  return text;
}

std::string stats_json(const Flight& f) {
  auto s = core::flight::stats_of(f.recording, f.lines);
  Json j{{"router", f.recording.name},
         {"records", f.recording.records.size()},
         {"overwritten", f.recording.overwritten},
         {"requests", s.requests},
         {"served", s.answered},
         {"refused", s.refused},
         {"failed", s.failed},
         {"left", s.gone},
         {"open", s.open},
         {"late", s.late},
         {"second_answers", s.second},
         {"attempts_after", s.after},
         {"dials", s.dials},
         {"dials_failed", s.dials_failed},
         {"attempts_without_connection", s.no_connection},
         {"reasons", Json::object()},
         {"seconds", Json::array()},
         {"problems", f.recording.problems}};
  for (const auto& [reason, count] : s.reasons) j["reasons"][reason] = count;
  for (const auto& second : s.seconds) {
    Json one{{"at", second.at}, {"served", second.answered}, {"reasons", Json::object()}};
    for (const auto& [reason, count] : second.reasons) one["reasons"][reason] = count;
    j["seconds"].push_back(one);
  }
  return j.dump(2) + "\n";
}

std::string request_json(const std::string& router, const Timeline& line) {
  Json j{{"router", router},
         {"request", line.request},
         {"id", escape_unprintable(line.id)},
         {"pool", escape_unprintable(line.pool)},
         {"taken_us", line.taken},
         {"took_us", line.took()},
         {"end", name_of(line.end)},
         {"why", name_of(line.why)},
         {"whole", line.whole},
         {"parts_us", parts_json(line.parts())},
         {"most", line.parts().largest()},
         {"attempts", Json::array()},
         {"events", Json::array()}};
  for (const AttemptTimeline& a : line.attempts)
    j["attempts"].push_back({{"server", escape_unprintable(a.server)},
                             {"connection", a.connection},
                             {"ahead", a.ahead},
                             {"sent_us", a.sent},
                             {"connecting_us", a.connecting()},
                             {"behind_us", a.behind()},
                             {"serving_us", a.serving()},
                             {"status", name_of(a.status)}});
  for (const Record& r : line.records)
    j["events"].push_back({{"at_us", r.at}, {"what", describe_record(r)}});
  return j.dump();
}

}  // namespace violetusher::kit
