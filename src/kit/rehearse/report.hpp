// What a verdict looks like: for a terminal, for machines and as one self-contained page.
#pragma once

#include <map>
#include <string>

#include "day.hpp"
#include "oracle.hpp"
#include "plan.hpp"
#include "rig.hpp"

namespace violetusher::rehearse {

/// The exit codes of the kit.
enum class Outcome { kPass = 0, kFail = 1, kInconclusive = 3 };

struct Result {
  const Day& day;
  const Plan& plan;
  const Played& played;
  const Verdict& verdict;
  /// Where flights were recorded: by the id of a try that a finding is about, its life as each
  /// router had it, as text and as SVG.
  struct Life {
    std::string text, svg;
  };
  std::map<std::string, Life> lives;

  /// What the rig could not do comes before what the router did: it may be the reason for it.
  Outcome outcome() const;
  std::string headline() const;
};

std::string text_report(const Result& result);
std::string json_report(const Result& result);
std::string html_report(const Result& result);
/// What the stand-ins saw of attempts, as JSON lines for `flight merge --history`.
std::string history_lines(const kit::History& history);
/// The played requests as JSON lines in the plan's own form and order.
std::string request_log(const Result& result);

}  // namespace violetusher::rehearse
