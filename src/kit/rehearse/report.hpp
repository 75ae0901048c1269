// Formats the result of a rehearsal as text, as JSON and as one self-contained HTML page.
#pragma once

#include <map>
#include <string>

#include "day.hpp"
#include "oracle.hpp"
#include "plan.hpp"
#include "rig.hpp"

namespace violetusher::rehearse {

/// Outcomes; the values are the exit codes of the kit.
enum class Outcome { kPass = 0, kFail = 1, kInconclusive = 3 };

/// A played and judged day.
struct Result {
  const Day& day;
  const Plan& plan;
  const Played& played;
  const Verdict& verdict;
  /// The timeline of a request, as each router recorded it, as text and as SVG.
  struct RequestTimeline {
    std::string text, svg;
  };
  /// By the id of a try with findings; empty without flight recordings.
  std::map<std::string, RequestTimeline> timelines;

  /// A failure of the rig takes precedence over the verdict, as it may be the cause of violations.
  Outcome outcome() const;
  /// The outcome in one line.
  std::string headline() const;
};

/// The result for a terminal.
std::string text_report(const Result& result);
/// The result for other programs.
std::string json_report(const Result& result);
/// The result as one page with tables and plots.
std::string html_report(const Result& result);
/// The attempts that reached the stand-ins, as JSON lines for `flight merge --history`.
std::string history_lines(const kit::History& history);
/// The first tries that were sent, as JSON lines in the form and order of the plan.
std::string request_log(const Result& result);

}  // namespace violetusher::rehearse
