// Service discovery over HTTP: sends the calls that core::membership::WatchScheduler schedules,
// parses the answers into host lists, and passes on those that the scheduler accepts.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "config.hpp"
#include "core/membership/call_counts.hpp"
#include "core/membership/list_order.hpp"
#include "core/membership/watch_scheduler.hpp"
#include "io.hpp"
#include "log.hpp"

namespace violetusher::net {

/// Keeps the host list current through long-poll watches on the discovery service.
class Discovery final : core::membership::WatchScheduler::Port {
 public:
  /// Receives host lists.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A list to apply. `unconfirmed`: discovery may be behind the list in use; see HostRegistry.
    virtual void on_hosts(HostList&& list, bool unconfirmed) = 0;
  };
  /// `version`: the version of the list that the router starts with. No callback comes before
  /// start().
  Discovery(Io& io, const std::string& address, const std::string& version,
            const core::membership::WatchTiming& timing, std::uint64_t seed, Handler& handler,
            Log& log);
  /// Begins to watch. From then on the watch is renewed, and restarted after failures.
  void start();
  /// Requests the full list in addition to the watch.
  void fetch();
  /// Switches to another discovery address: drops all calls to the old one and starts a watch
  /// there, beginning with the full list.
  void move(const std::string& address);

  /// Identifies the list in use among those of the router's processes.
  core::membership::ListIdentity list_identity() const;
  /// Whether that list is from discovery, and not from the configuration.
  bool has_list() const { return has_list_; }
  /// A list of another process of the router is in use from now on.
  void adopt_list(const core::membership::ListIdentity& identity);

  /// Another process of the router is about to end; see WatchScheduler.
  void begin_takeover();

  /// Changes the timing of calls; restarts the watch if the timing differs.
  void use(const core::membership::WatchTiming& timing);

  /// Whether an answer has confirmed the list since the start.
  bool confirmed() const { return scheduler_.confirmed(); }
  /// Time since the last answer that confirmed the list, or since the start.
  Micros age() const { return io_.now() - scheduler_.last_response_at(); }
  /// Counts of calls since the start.
  const core::membership::CallCounts& counts() const { return counts_; }

 private:
  using Place = core::membership::WatchScheduler::Place;
  using CallOutcome = core::membership::CallOutcome;
  /// A call in flight, for the log.
  struct CallInFlight {
    std::uint64_t number = 0;
    core::membership::CallReason reason{};
    Micros started = 0;
  };

  // core::membership::WatchScheduler::Port
  void start(Place place, const std::string& version, Micros wait,
             core::membership::CallReason reason) override;
  void cancel(Place place) override;

  void on_answer(Place place, const std::optional<HttpGet::Answer>& http,
                 const HttpGet::Failure& failure);
  std::optional<HostList> parse_list(const std::optional<HttpGet::Answer>& answer);
  void log_fault(const std::string& text);
  void record_end(Place place, CallOutcome outcome, const std::string& detail,
                  const std::string& version = {});
  void log_list(const HostList& list, Micros previous_age);
  void schedule();

  Io& io_;
  Handler& handler_;
  Log& log_;
  std::string address_;
  std::string logged_fault_;   // the last fault that was logged
  bool stale_logged_ = false;  // the warning about a stale list has been logged
  bool pushed_;
  std::string list_address_;       // of the discovery service that the list in use came from
  Micros count_restarted_at_ = 0;  // by Io::uptime(); see ListIdentity
  bool has_list_ = false;          // the list in use is from discovery
  core::membership::WatchScheduler scheduler_;
  std::array<std::unique_ptr<HttpGet>, core::membership::WatchScheduler::kPlaces> requests_;
  std::array<CallInFlight, core::membership::WatchScheduler::kPlaces> calls_;
  core::membership::CallCounts counts_;
  CallOutcome last_outcome_ = CallOutcome::kAnswered;
  std::unique_ptr<Alarm> alarm_;
};

}  // namespace violetusher::net
