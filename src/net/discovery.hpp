// Discovery over HTTP. Which calls are made, and what an answer is worth, is decided by
// core::membership::Calls; here they become requests, and answers lists.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "config.hpp"
#include "core/membership/watch_scheduler.hpp"
#include "io.hpp"
#include "log.hpp"

namespace violetusher::net {

class Discovery final : core::membership::WatchScheduler::Port {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// `doubted`: discovery may know less than what is held; see HostRegistry::take().
    virtual void on_hosts(HostList&& list, bool unconfirmed) = 0;
    /// No watch is under way and none will be before watch().
    virtual void on_hosts_failed() = 0;
  };
  /// `held`: the version of the list that the router starts with. Terms that insist watch from the
  /// start, and begin again after failures without being asked to. Nothing is called back before
  /// start().
  Discovery(Io& io, const std::string& address, const std::string& version,
            const core::membership::WatchTiming& timing, std::uint64_t seed, Handler& handler,
            Log& log);
  void start();
  /// Begins a watch, anew where one is under way.
  void watch();
  /// Asks for the whole list besides.
  void fetch();
  /// Discovery is at another address now: begins a watch there with the whole list, whatever was
  /// going on at the old one.
  void move(const std::string& address);

  /// Calls by other terms from now on; a watch begins anew where they differ.
  void use(const core::membership::WatchTiming& timing);

  /// How long ago an answer last showed what the list is, or since the start.
  Micros age() const { return io_.now() - scheduler_.last_response_at(); }
  /// Calls made since the start.
  std::uint64_t calls() const { return scheduler_.calls_made(); }

 private:
  using Place = core::membership::WatchScheduler::Place;

  // core::membership::Calls::Port
  void start(Place place, const std::string& version, Micros wait) override;
  void cancel(Place place) override;
  void on_watch_lost() override;

  void on_answer(Place place, const std::optional<HttpGet::Answer>& http);
  std::optional<HostList> parse_list(const std::optional<HttpGet::Answer>& answer);
  void log_fault(const std::string& text);
  void schedule();

  Io& io_;
  Handler& handler_;
  Log& log_;
  std::string address_;
  std::string logged_fault_;   // the last one told
  bool stale_logged_ = false;  // that nothing was heard for long was told
  bool always_retries_;
  core::membership::WatchScheduler scheduler_;
  std::array<std::unique_ptr<HttpGet>, core::membership::WatchScheduler::kPlaces> requests_;
  std::unique_ptr<Alarm> alarm_;
};

}  // namespace violetusher::net
