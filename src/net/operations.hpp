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
                            std::function<void(std::string why)> done) = 0;
  };

  /// All that is given outlives it. Does nothing where `config` names no address for operators.
  Operations(Io& io, const Config& config, const core::ops::Metrics& figures, Handler& handler,
             Log& log);

  /// Takes over the bans that are kept, and listens; where that fails, it is tried again.
  void start();
  /// Whether it is known which servers are out; until then nothing may be sent. Looks once more
  /// where it is not.
  bool bans_known();
  /// From now on `promises` says which servers are out, through hold(), and no longer the file.
  void use_fleet_bans(FleetBans& promises) { promises_ = &promises; }
  void apply_bans(const std::set<std::string>& out);
  HostRegistry& hosts() { return hosts_; }
  const HostRegistry& hosts() const { return hosts_; }
  /// 0 while it doesn't listen.
  std::uint16_t port() const { return side_.listening() ? side_.port() : 0; }

 private:
  std::optional<std::string> answer(std::string_view line, OperatorListener::Later later);
  /// An operator who waits until a ban is durable.
  struct Waiting {
    BanStore::Number number = 0;
    Micros until = 0;
    std::string id;
    bool out = false;
    OperatorListener::Later later;
  };

  void follow(const std::set<std::string>& out);
  std::optional<std::string> put(const std::string& id, bool out, OperatorListener::Later later);
  void sync();
  void look();
  void listen();
  void answer_waiting();
  void tell_trouble();

  Io& io_;
  const Config& config_;
  const core::ops::Metrics& figures_;
  Handler& handler_;
  Log& log_;
  HostRegistry hosts_;
  BanStore bans_;
  std::vector<Waiting> waiting_;
  std::string told_trouble_;
  FleetBans* promises_ = nullptr;
  OperatorListener side_;
  std::unique_ptr<Alarm> look_alarm_;
  Micros listen_at_ = 0;  // not listening: when to try again
};

}  // namespace violetusher::net
