// The life of a request: received, routed and admitted, passed to its decision module, attempted as
// the module decides, answered once, and released when nothing refers to it any more. Sole owner of
// the request table.
#pragma once

#include <functional>

#include "client_side.hpp"
#include "core/flight/ring.hpp"
#include "core/guard/request_claims.hpp"
#include "core/ops/metrics.hpp"
#include "log.hpp"
#include "module_feed.hpp"
#include "pool_set.hpp"
#include "request_table.hpp"
#include "server_side.hpp"
#include "timers.hpp"

namespace violetusher::net {

/// Receives the events of both sides and the actions of decision modules, and owns every open
/// request.
class RequestCore final : public ClientSide::Handler, public ServerSide::Handler {
 public:
  /// What the core works with. All of it must outlive the core; the client and server sides may be
  /// constructed after it.
  struct Dependencies {
    Io& io;
    const Config& config;
    PoolSet& pools;
    Timers& timers;
    ModuleFeed& feed;
    ClientSide& clients;
    ServerSide& servers;
    core::flight::Recorder& recorder;
    core::ops::Metrics& metrics;
    core::InvariantChecker& invariants;
    Log& log;
    core::RequestClaims& claims;
  };
  RequestCore(const Dependencies& dependencies, RequestTable::Bounds bounds);

  /// Applies a traffic policy to requests from now on; open requests keep theirs.
  void set_traffic_policy(std::shared_ptr<core::TrafficPolicy> traffic) {
    traffic_policy_ = std::move(traffic);
  }
  /// Applies the table bounds of new settings.
  void update_bounds(RequestTable::Bounds bounds) { table_.set_bounds(bounds); }
  /// Reports rejected requests to `activity_recorder`, which must outlive this object.
  void attach_activity_recorder(core::audit::ActivityRecorder& activity_recorder) {
    activity_recorder_ = &activity_recorder;
  }
  /// `alert` is called with an event name when a request comes close to violating an invariant.
  void on_alert(std::function<void(const char* what)> alert) { alert_ = std::move(alert); }

  // The actions of a decision module.
  void send(const violetusher::Send& action);
  void refuse(const violetusher::Refuse& action);
  void fail(const violetusher::Fail& action);
  void cancel(const violetusher::Cancel& action);
  void set_module_timer(std::uint32_t module, const violetusher::Timer& action);

  /// Fills in what the module is given of a request. Returns false if the request is answered
  /// already.
  bool describe(RequestId id, violetusher::Request& request);
  /// An event of the request has been delivered to its module, or discarded with it.
  void on_event_delivered(RequestId id);
  /// Whether the request is answered or released.
  bool finished(RequestId id);

  /// A timer of a request has fired.
  void on_timer(const Timers::Task& task);
  /// Fails every open request at the end of a shutdown, so that no client is left without a
  /// response, and ends its attempts: after an exit the system would go on sending them.
  void fail_all();

  /// The open requests.
  const RequestTable& table() const { return table_; }
  /// Requests without a final response whose client is still connected.
  std::size_t unanswered() const { return unanswered_; }

  // ClientSide::Handler
  RequestId on_command(PendingResponse response, Command&& command) override;
  bool may_have_effect(const Command& command) const override;
  void on_rejected(const Command& command) override {
    count_outcome(command.type, Reply::Kind::Busy);
  }
  void on_client_eof(RequestId id) override;
  void on_client_disconnected(RequestId id) override;
  void on_buffer_drained(RequestId id) override;
  // ServerSide::Handler
  void on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) override;
  void on_attempt_written(RequestId id, int attempt, bool server_available,
                          Micros sent_deadline) override;
  void on_answer_paused(RequestId id, int attempt) override;
  void on_long_value(RequestId id, int attempt) override;
  bool on_stream_begin(RequestId id, int attempt, const Answer& head) override;
  bool on_stream_data(RequestId id, int attempt, std::string_view piece) override;
  void on_attempt_interrupted(const core::InterruptedAttempt& interrupted) override;

 private:
  using Reason = core::flight::Reason;
  RequestId reject(RequestId id, PendingResponse&& response, const Command& command,
                   const Reply& reply, Reason why);
  void count_outcome(const std::string& type, Reply::Kind kind);
  void record_final_response(OpenRequest& open, Reply::Kind kind);
  void respond(OpenRequest& open, const Reply& reply, Reason why);
  void respond_with(OpenRequest& open, const Answer& answer);
  /// The settings of the request's class now; null if they have dropped it.
  const violetusher::ClassSettings* class_of(const Command& command) const;
  bool within_retry_budget(OpenRequest& open);
  bool claim_id(OpenRequest& open);
  void begin_stream(OpenRequest& open);
  void end_timed_out(OpenRequest& open, int attempt);
  void end_at_time_limit(OpenRequest& open, int attempt);
  void set_key_expiry(OpenRequest& open, Micros at);
  void end_at_key_expiry(OpenRequest& open);
  bool another_may_run(const OpenRequest& open, int attempt) const;
  void end_stream(OpenRequest& open, bool whole);
  Status end_at_server(OpenRequest& open, int attempt, Reason why);
  void report_outcome(OpenRequest& open, int attempt, Status status, Answer* answer);
  void report_disconnect(OpenRequest& open);
  void withdraw_unsent(OpenRequest& open);
  void release_if_done(OpenRequest& open);
  void record_event(core::flight::Kind kind, RequestId id, int attempt = -1,
                    std::uint32_t number = 0, std::int64_t value = 0, std::string_view text = {},
                    Reason why = Reason::kNone);
  void alert(const char* what);

  Dependencies deps_;
  RequestTable table_;
  std::size_t unanswered_ = 0;
  std::shared_ptr<core::TrafficPolicy> traffic_policy_;
  std::function<void(const char*)> alert_;
  core::audit::ActivityRecorder* activity_recorder_ = nullptr;
};

}  // namespace violetusher::net
