// The router: the decision module and the table of open requests. Turns what happens on sockets
// into calls on the module and its actions into I/O; nothing else calls the module.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "client_side.hpp"
#include "config.hpp"
#include "core/route/traffic.hpp"
#include "discovery.hpp"
#include "io.hpp"
#include "server_side.hpp"

namespace violetusher::net {

class Router final : ClientSide::Handler,
                     ServerSide::Handler,
                     Discovery::Handler,
                     core::Traffic::PoolState {
 public:
  /// Throws ConfigError when the configuration can't be used.
  Router(event_base* base, const Config& config);

  /// False with the reason in `error`.
  bool listen(std::string& error);
  /// Runs until stop() has been carried out.
  void run();
  /// Planned end: see PROTOCOL's figures for restarts.
  void stop();
  /// Takes over a new configuration while running: where discovery is. What else differs needs a
  /// restart and is logged. One that can't be used is logged, and the old one kept.
  void reload(const Config& config);
  /// Takes over an operator file's model, at the start or while running: what comes from now on goes
  /// by it. Requests that are open finish on the route and in the pool that they began with; pools
  /// that are gone end with their last request.
  void operate(core::config::Model model);
  std::uint16_t port() const { return clients_.port(); }
  std::size_t pools() const { return pools_.size(); }
  std::size_t open_requests() const { return open_.size(); }
  std::size_t client_connections() const { return clients_.connections(); }
  std::size_t server_pools() const { return servers_.pools(); }
  std::size_t server_connections() const { return servers_.connections(); }

 private:
  struct Attempt {
    std::string server;
    Micros sent = 0;
    bool out = true;  // its outcome has not been told to the module
    bool may_have_run = false;
  };
  struct Open {
    explicit Open(Command&& c) : command(std::move(c)) {}
    ClientSlot* slot = nullptr;  // none once the client is gone
    Command command;
    Micros deadline = 0;
    bool answered = false;   // the final answer is given, or nobody is left to get one
    int untold = 0;          // events of it on their way to the module
    std::vector<Attempt> attempts;
    std::uint32_t pool = 0;
    std::shared_ptr<core::Traffic> traffic;  // none where no operator file is in use
    core::Traffic::Ticket ticket;
  };
  /// One pool: a selection of the list with a decision module of its own.
  struct Pool {
    std::string name;
    core::config::Pool selection;
    std::unique_ptr<violetusher::Balancer> balancer;
    std::unordered_map<std::string, violetusher::Health> members;
    std::size_t open = 0;  // requests that it has
    bool leaving = false;  // no version of the operator file has it any more
  };
  // What waits for its turn to be told to the module.
  struct OutcomeEvent {
    std::uint32_t pool;
    violetusher::Outcome outcome;
  };
  struct RequestEvent {
    std::uint32_t pool;
    RequestId id;
  };
  struct GoneEvent {
    std::uint32_t pool;
    RequestId id;
  };
  struct ListEvent {
    std::uint32_t pool;
    violetusher::ListScope scope;
    std::vector<violetusher::Server> servers;
  };
  struct TimerEvent {
    std::uint32_t pool;
    std::uint64_t token;
  };
  using Event = std::variant<OutcomeEvent, RequestEvent, GoneEvent, ListEvent, TimerEvent>;

  enum class Due { Module, Expiry };
  struct Timer {
    Micros at;
    std::uint64_t order;  // first set, first rung
    Due due;
    std::uint64_t token;  // the module's, or a request id
    int attempt;
    std::uint32_t pool;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  // ClientSide::Handler
  void on_command(ClientSlot& slot, Command&& command) override;
  void on_left(RequestId id) override;
  void on_gone(RequestId id) override;
  // ServerSide::Handler
  void on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) override;
  // Discovery::Handler
  void on_hosts(HostList&& list) override;
  void on_hosts_failed() override;

  static void on_timer(evutil_socket_t, short, void* self);
  static void on_stop_step(evutil_socket_t, short, void* self);

  void ring();
  void arm();
  void set_timer(Micros at, Due due, std::uint64_t token, int attempt = 0, std::uint32_t pool = 0);
  /// Tells the module what has happened and carries out what it answers, until nothing is left.
  void settle();
  void perform(std::uint32_t pool, const violetusher::Actions& actions);
  void act(const violetusher::Send& a);
  void act(const violetusher::Refuse& a);
  void act(const violetusher::Fail& a);
  void act(const violetusher::Cancel& a);
  // The list is asked for on behalf of all pools by the one that has all of it.
  void act(const violetusher::Watch&) { if (acting_ == 0) discovery_.watch(); }
  void act(const violetusher::Fetch&) { if (acting_ == 0) discovery_.fetch(); }
  void act(const violetusher::Timer& a);
  void act(const violetusher::Probe& a);
  void expire(RequestId id, int attempt);
  void give_answer(Open& open, std::string text, bool refused = false);
  void end_ticket(Open& open, bool refused);
  bool admit(ClientSlot& slot, Open& open, bool keyed);
  bool within_budget(RequestId id, Open& open);
  // core::Traffic::PoolState
  bool has_live(const std::string& pool) const override;
  bool shares_repeats(const std::string& pool) const override;
  Pool* pool_by_name(const std::string& name) const;
  void tell_list(std::uint32_t number, Pool& pool, violetusher::ListScope scope,
                 const std::vector<violetusher::Server>& servers);
  HostList with_static_servers(HostList list) const;
  void forget_pools();
  void tell_gone(RequestId id, Open& open);
  void fail_all();
  void tell_outcome(RequestId id, Open& open, int attempt, Status status, Answer* answer);
  void forget_if_done(RequestId id);

  event_base* base_;
  Config config_;
  Clock clock_;
  std::map<std::uint32_t, std::unique_ptr<Pool>> pools_;  // 0 has the whole list and always is
  std::unordered_map<std::string, std::uint32_t> pool_numbers_;  // of those not leaving
  std::uint32_t next_pool_ = 1, acting_ = 0;
  std::vector<std::uint32_t> freed_;  // pools whose last request has gone, freed between events
  std::shared_ptr<core::Traffic> traffic_;
  HostList hosts_;  // as discovery has told it, kept only while an operator file is in use
  std::unordered_map<RequestId, Open> open_;
  std::unordered_set<std::string> open_ids_;  // the clients' ids of the requests in open_
  std::size_t open_bytes_ = 0;                // what their commands hold
  RequestId next_id_ = 1;
  std::size_t max_open_, max_open_bytes_;
  std::deque<Event> events_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t timer_order_ = 0;
  Micros armed_at_ = 0;
  EventPtr timer_event_, stop_event_;
  ClientSide clients_;
  ServerSide servers_;
  Discovery discovery_;
  Micros stopping_since_ = 0;
  bool done_ = false;
};

}  // namespace violetusher::net
