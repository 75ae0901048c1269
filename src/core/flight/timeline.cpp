#include "timeline.hpp"

#include <algorithm>
#include <unordered_map>

namespace violetusher::core::flight {
namespace {

constexpr Micros kMaxRequestTime = 86'400'000'000;  // one day; a longer request is corrupt data
constexpr int kMaxAttempts = 128;                   // of one request; more are corrupt data

}  // namespace

Micros AttemptTimeline::connecting() const {
  if (!sent || !ended) return 0;
  return (written ? std::min(written, ended) : ended) - sent;
}

Micros AttemptTimeline::behind() const {
  if (!written || !ended || written >= ended) return 0;
  return std::clamp<Micros>(head - written, 0, ended - written);
}

Micros AttemptTimeline::serving() const {
  if (!sent || !ended) return 0;
  return ended - sent - connecting() - behind();
}

const char* TimeBreakdown::largest() const {
  Micros most = std::max({router, connecting, behind, serving});
  if (most == 0) return "nothing";
  if (most == serving) return "at the server";
  if (most == behind) return "behind others";
  if (most == connecting) return "waiting for a connection";
  return "in the router";
}

TimeBreakdown Timeline::parts() const {
  TimeBreakdown p;
  if (!taken || answered <= taken || took() > kMaxRequestTime) return p;
  // Split the time at each moment at which anything changes.
  std::vector<Micros> cuts{taken, answered};
  for (const AttemptTimeline& a : attempts)
    for (Micros at : {a.sent, a.written, a.written + a.behind(), a.ended})
      if (at > taken && at < answered) cuts.push_back(at);
  std::sort(cuts.begin(), cuts.end());
  for (std::size_t k = 0; k + 1 < cuts.size(); ++k) {
    Micros from = cuts[k], span = cuts[k + 1] - from;
    int furthest = 0;
    for (const AttemptTimeline& a : attempts) {
      if (!a.sent || from < a.sent || (a.ended && from >= a.ended)) continue;
      bool written = a.written && from >= a.written;
      bool ahead = written && a.ended && from >= a.written + a.behind();
      furthest = std::max(furthest, !written ? 1 : !ahead ? 2 : 3);
    }
    (furthest == 0   ? p.router
     : furthest == 1 ? p.connecting
     : furthest == 2 ? p.behind
                     : p.serving) += span;
  }
  return p;
}

std::vector<Timeline> timelines(const Recording& recording) {
  std::vector<Timeline> lines;
  std::unordered_map<RequestId, std::size_t> at;
  // Attempts assigned to each connection that have not ended, in order.
  struct Place {
    std::size_t line, attempt;
  };
  std::unordered_map<std::uint32_t, std::vector<Place>> queues;
  auto leave_queue = [&](std::size_t line, std::size_t attempt, Micros when) {
    AttemptTimeline& a = lines[line].attempts[attempt];
    auto queue = queues.find(a.connection);
    if (queue == queues.end()) return;
    auto& list = queue->second;
    auto mine = std::find_if(list.begin(), list.end(), [&](const Place& p) {
      return p.line == line && p.attempt == attempt;
    });
    if (mine == list.end()) return;
    bool first = mine == list.begin();
    list.erase(mine);
    // The attempt that is first now waits for nobody from here on.
    if (first && !list.empty()) lines[list[0].line].attempts[list[0].attempt].head = when;
    if (list.empty()) queues.erase(queue);
  };
  for (const Record& r : recording.records) {
    if (r.request == 0) continue;
    auto [it, fresh] = at.emplace(r.request, lines.size());
    if (fresh) {
      lines.emplace_back();
      lines.back().request = r.request;
    }
    std::size_t number = it->second;
    Timeline& line = lines[number];
    line.records.push_back(r);
    auto attempt = [&]() -> AttemptTimeline* {
      if (r.attempt < 0 || r.attempt >= kMaxAttempts) return nullptr;
      auto k = static_cast<std::size_t>(r.attempt);
      while (line.attempts.size() <= k) {
        int next = static_cast<int>(line.attempts.size());
        line.attempts.emplace_back().attempt = next;
      }
      return &line.attempts[k];
    };
    AttemptTimeline* a = attempt();
    switch (r.kind) {
      case Kind::kReceived:
        line.taken = r.at, line.id = r.text_string(), line.deadline = r.at + r.value;
        break;
      case Kind::kRouted:
        line.pool = r.text_string();
        break;
      case Kind::kSent:
      case Kind::kMoved:
        if (!a) break;
        if (r.kind == Kind::kMoved) leave_queue(number, static_cast<std::size_t>(r.attempt), r.at);
        if (!a->sent) a->sent = r.at;
        a->server = r.text_string(), a->connection = r.number, a->ahead = r.value;
        queues[r.number].push_back({number, static_cast<std::size_t>(r.attempt)});
        break;
      case Kind::kWritten:
        if (a) a->written = r.at;
        break;
      case Kind::kCancelled:
        if (a) a->cancelled = true;
        break;
      case Kind::kEnd:
        if (!a) break;
        a->ended = r.at, a->status = static_cast<Status>(r.value);
        if (a->server.empty()) a->server = r.text_string();
        leave_queue(number, static_cast<std::size_t>(r.attempt), r.at);
        break;
      case Kind::kRefused:
      case Kind::kFailed:
      case Kind::kAnswered:
      case Kind::kClientGone:
        if (line.end != Kind::kNone) break;
        line.end = r.kind, line.why = r.why, line.answered = r.at;
        if (r.kind == Kind::kRefused) line.retry_after = r.value;
        break;
      default:
        break;
    }
    line.whole = line.taken && line.answered;
  }
  return lines;
}

Stats stats_of(const Recording& recording, const std::vector<Timeline>& lines) {
  Stats s;
  Micros origin = recording.records.empty() ? 0 : recording.records.front().at;
  auto second = [&](Micros at) -> Stats::Second& {
    auto k = static_cast<std::size_t>(std::max<Micros>(at - origin, 0) / 1'000'000);
    while (s.seconds.size() <= k && s.seconds.size() < 86'400) {
      auto at_second = static_cast<std::int64_t>(s.seconds.size());
      s.seconds.emplace_back().at = at_second;
    }
    return s.seconds[std::min(k, s.seconds.size() - 1)];
  };
  for (const Record& r : recording.records) {
    s.late += r.kind == Kind::kLate;
    s.second += r.kind == Kind::kSecondAnswer;
    s.after += r.kind == Kind::kAttemptAfterAnswer;
    s.dials += r.kind == Kind::kDial;
    s.no_connection += r.kind == Kind::kNoConnection;
    s.dials_failed += r.kind == Kind::kDialEnd && r.why != Reason::kNone;
  }
  for (const Timeline& line : lines) {
    ++s.requests;
    if (line.end == Kind::kAnswered) {
      ++s.answered, ++second(line.answered).answered;
      continue;
    }
    s.gone += line.end == Kind::kClientGone;
    s.open += line.end == Kind::kNone;
    if (line.end != Kind::kRefused && line.end != Kind::kFailed) continue;
    bool refused = line.end == Kind::kRefused;
    ++(refused ? s.refused : s.failed);
    std::string reason = std::string(refused ? "refused: " : "failed: ") + name_of(line.why);
    ++s.reasons[reason], ++second(line.answered).reasons[reason];
  }
  return s;
}

}  // namespace violetusher::core::flight
