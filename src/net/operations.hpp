// Operator commands to a running router: health checks, metrics dumps, and bans of cache servers.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ban_store.hpp"
#include "config.hpp"
#include "core/ops/metrics.hpp"
#include "host_registry.hpp"
#include "log.hpp"
#include "operator_listener.hpp"

namespace violetusher::net {

/// Answers operators' commands and keeps the host registry in line with the bans.
class Operations {
 public:
  /// Receives changes to the host list, and supplies gauges for DUMP.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The host list change that follows from a ban or from lifting one.
    virtual void on_ban_change(HostList&& change) = 0;
    virtual core::ops::Metrics::Gauges current_figures() = 0;
    /// Whether the router has begun to accept clients.
    virtual bool accepts_clients() const = 0;
  };

  /// Bans that the ledger holds for the whole fleet.
  class FleetBans {
   public:
    virtual ~FleetBans() = default;
    /// Bans a server at every router, or lifts its ban. `done` gets an empty string once the change
    /// is committed, otherwise the reason for the failure: within a second, and never from within
    /// this call.
    virtual void set_banned(const std::string& id, bool banned,
                            std::function<void(std::string error)> done) = 0;
  };

  /// All arguments must outlive the object. Does nothing if `config` has no operator address.
  Operations(Io& io, const Config& config, const core::ops::Metrics& metrics, Handler& handler,
             Log& log);

  /// Loads the stored bans and starts to listen; retries while either fails.
  void start();
  /// Whether the bans have been loaded; until then no request may be sent. Tries once more to load
  /// them.
  bool bans_known();
  /// Takes bans from the fleet's ledger, through apply_bans(), instead of from the ban log.
  void use_fleet_bans(FleetBans& fleet_bans) { fleet_bans_ = &fleet_bans; }
  void apply_bans(const std::set<std::string>& banned);
  HostRegistry& hosts() { return hosts_; }
  const HostRegistry& hosts() const { return hosts_; }
  /// 0 while not listening.
  std::uint16_t port() const { return listener_.listening() ? listener_.port() : 0; }

 private:
  std::optional<std::string> handle_command(std::string_view line,
                                            OperatorListener::Responder respond);
  /// A command that is answered once its ban is durable.
  struct PendingAnswer {
    BanStore::Sequence sequence = 0;
    Micros deadline = 0;
    std::string id;
    bool banned = false;
    OperatorListener::Responder respond;
  };

  void update_registry(const std::set<std::string>& banned);
  std::optional<std::string> set_banned(const std::string& id, bool banned,
                                        OperatorListener::Responder respond);
  void sync_bans();
  void tick();
  void listen();
  void complete_pending_answers();
  void log_store_error();

  Io& io_;
  const Config& config_;
  const core::ops::Metrics& metrics_;
  Handler& handler_;
  Log& log_;
  HostRegistry hosts_;
  BanStore bans_;
  std::vector<PendingAnswer> pending_answers_;
  std::string logged_error_;
  FleetBans* fleet_bans_ = nullptr;
  OperatorListener listener_;
  std::unique_ptr<Alarm> tick_alarm_;
  Micros next_listen_at_ = 0;  // while not listening: time of the next attempt
};

}  // namespace violetusher::net
