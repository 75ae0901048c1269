// Timelines of the requests in a recording: what happened to each one, and where its time went.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "recording.hpp"

namespace violetusher::core::flight {

/// One attempt as the router saw it. Times are 0 if the recording has none.
struct AttemptTimeline {
  int attempt = 0;
  std::string server;
  std::uint32_t connection = 0;
  std::int64_t ahead = 0;  ///< attempts queued before it on its connection when it was assigned
  Micros sent = 0;         ///< assigned to a connection
  Micros written = 0;
  Micros head = 0;  ///< when the last attempt before it on the connection ended
  Micros ended = 0;
  Status status = Status::Ok;
  bool cancelled = false;

  // Breakdown of its time; each part is at least 0, and they add up to `ended` - `sent`.
  Micros connecting() const;  ///< until it was written: waiting for a dial or a full socket
  Micros behind() const;      ///< queued behind others on the connection, as answers come in order
  Micros serving() const;     ///< at the server, including the network
};

/// Breakdown of a request's time. Each moment counts to the most advanced attempt in flight, so
/// that the parts add up to the request's time.
struct TimeBreakdown {
  Micros router = 0;      ///< no attempt was in flight
  Micros connecting = 0;  ///< the most advanced attempt waited for a connection
  Micros behind = 0;      ///< ... was queued behind others
  Micros serving = 0;     ///< ... was at a server
  Micros total() const { return router + connecting + behind + serving; }
  const char* largest() const;
};

/// The records of one request and what follows from them.
struct Timeline {
  RequestId request = 0;
  std::string id;    ///< the client's id; empty if the recording starts later
  std::string pool;  ///< empty if no operator file routes
  Micros taken = 0, answered = 0, deadline = 0;
  Kind end = Kind::kNone;  ///< kAnswered, kRefused, kFailed, kClientGone, or kNone if still open
  Reason why = Reason::kNone;
  Micros retry_after = 0;
  bool whole = false;  ///< the recording has it from receipt to answer
  std::vector<AttemptTimeline> attempts;
  std::vector<Record> records;

  Micros took() const { return answered && taken ? answered - taken : 0; }
  TimeBreakdown parts() const;
};

/// Returns all requests of a recording in the order of receipt.
std::vector<Timeline> timelines(const Recording& recording);

/// Counts of how requests ended, in total and by second.
struct Stats {
  std::uint64_t requests = 0, answered = 0, refused = 0, failed = 0, gone = 0, open = 0;
  std::uint64_t late = 0, second = 0, after = 0, dials = 0, dials_failed = 0;
  std::uint64_t no_connection = 0;               ///< attempts for which no connection had room
  std::map<std::string, std::uint64_t> reasons;  ///< counts of refusals and failures by reason
  struct Second {
    std::int64_t at = 0;  ///< seconds since the recording's first record
    std::uint64_t answered = 0;
    std::map<std::string, std::uint64_t> reasons;
  };
  std::vector<Second> seconds;
};
Stats stats_of(const Recording& recording, const std::vector<Timeline>& lines);

}  // namespace violetusher::core::flight
