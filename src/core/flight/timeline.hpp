// What a recording says of requests: each one's life, and where its time went.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "recording.hpp"

namespace violetusher::core::flight {

/// One attempt as the router saw it. Times are 0 where the recording has none.
struct AttemptTimeline {
  int attempt = 0;
  std::string server;
  std::uint32_t connection = 0;
  std::int64_t ahead = 0;  ///< attempts before it on its connection when it was given to it
  Micros sent = 0;         ///< given to a connection
  Micros written = 0;
  Micros head = 0;  ///< the last one before it on the connection had ended
  Micros ended = 0;
  Status status = Status::Ok;
  bool cancelled = false;

  // Where its time went; each part is 0 or more, and they add up to `ended` - `sent`.
  Micros connecting() const;  ///< until it was written: for a dial, or a full socket
  Micros behind() const;      ///< behind others on the connection, as answers come in order
  Micros serving() const;     ///< at the server, with the way there and back
};

/// The parts that the time of a request is told apart in. A moment counts to the furthest attempt
/// under way, so that the parts add up to the request's time.
struct TimeBreakdown {
  Micros router = 0;      ///< no attempt was under way
  Micros connecting = 0;  ///< the furthest attempt waited for a connection
  Micros behind = 0;      ///< ... stood behind others
  Micros serving = 0;     ///< ... was at a server
  Micros total() const { return router + connecting + behind + serving; }
  const char* largest() const;
};

struct Timeline {
  RequestId request = 0;
  std::string id;    ///< the client's; empty where the recording begins after it
  std::string pool;  ///< empty where no operator file routes
  Micros taken = 0, answered = 0, deadline = 0;
  Kind end =
      Kind::kNone;  ///< kAnswered, kRefused, kFailed, kClientGone, or kNone where it is still open
  Reason why = Reason::kNone;
  Micros retry_after = 0;
  bool whole = false;  ///< the recording has it from its taking to its answer
  std::vector<AttemptTimeline> attempts;
  std::vector<Record> records;

  Micros took() const { return answered && taken ? answered - taken : 0; }
  TimeBreakdown parts() const;
};

/// All requests of a recording, in the order in which they were taken.
std::vector<Timeline> timelines(const Recording& recording);

/// Counts over time of how requests ended.
struct Stats {
  std::uint64_t requests = 0, answered = 0, refused = 0, failed = 0, gone = 0, open = 0;
  std::uint64_t late = 0, second = 0, after = 0, dials = 0, dials_failed = 0;
  std::uint64_t no_connection = 0;               ///< attempts for which no connection had room
  std::map<std::string, std::uint64_t> reasons;  ///< of refusals and failures, by whose bound
  struct Second {
    std::int64_t at = 0;  ///< seconds since the recording's first record
    std::uint64_t answered = 0;
    std::map<std::string, std::uint64_t> reasons;
  };
  std::vector<Second> seconds;
};
Stats stats_of(const Recording& recording, const std::vector<Timeline>& lines);

}  // namespace violetusher::core::flight
