// What operators do to a running router: their calls answered, servers out and back, bans kept.
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

class Operations {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// What is to be heard of a server that was taken out, or put back.
    virtual void on_ban_change(HostList&& change) = 0;
    virtual core::ops::Metrics::Gauges current_figures() = 0;
  };

  /// What is held for the whole fleet, where there is a ledger.
  class FleetBans {
   public:
    virtual ~FleetBans() = default;
    /// Takes a server out at every router, or puts it back. `done` hears why not; nothing in `why`
    /// once it holds for good. Within a second, and never from within the call.
    virtual void set_banned(const std::string& id, bool out,
                            std::function<void(std::string error)> done) = 0;
  };

  /// All that is given outlives it. Does nothing where `config` names no address for operators.
  Operations(Io& io, const Config& config, const core::ops::Metrics& metrics, Handler& handler,
             Log& log);

  /// Takes over the bans that are kept, and listens; where that fails, it is tried again.
  void start();
  /// Whether it is known which servers are out; until then nothing may be sent. Looks once more
  /// where it is not.
  bool bans_known();
  /// From now on `promises` says which servers are out, through hold(), and no longer the file.
  void use_fleet_bans(FleetBans& fleet_bans) { fleet_bans_ = &fleet_bans; }
  void apply_bans(const std::set<std::string>& out);
  HostRegistry& hosts() { return hosts_; }
  const HostRegistry& hosts() const { return hosts_; }
  /// 0 while it doesn't listen.
  std::uint16_t port() const { return listener_.listening() ? listener_.port() : 0; }

 private:
  std::optional<std::string> handle_command(std::string_view line,
                                            OperatorListener::Responder respond);
  /// An operator who waits until a ban is durable.
  struct PendingAnswer {
    BanStore::Sequence sequence = 0;
    Micros deadline = 0;
    std::string id;
    bool out = false;
    OperatorListener::Responder respond;
  };

  void update_registry(const std::set<std::string>& out);
  std::optional<std::string> set_banned(const std::string& id, bool out,
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
  Micros next_listen_at_ = 0;  // not listening: when to try again
};

}  // namespace violetusher::net
