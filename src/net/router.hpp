// The router: the decision module and the table of open requests. Turns what happens on sockets
// into calls on the module and its actions into I/O; nothing else calls the module.
#pragma once

#include <deque>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "client_side.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "io.hpp"
#include "server_side.hpp"

namespace violetusher::net {

class Router final : ClientSide::Handler, ServerSide::Handler, Discovery::Handler {
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
  std::uint16_t port() const { return clients_.port(); }
  std::size_t open_requests() const { return open_.size(); }
  std::size_t client_connections() const { return clients_.connections(); }
  std::size_t server_pools() const { return servers_.pools(); }
  std::size_t server_connections() const { return servers_.connections(); }

 private:
  struct Attempt {
    std::string server;
    Micros sent = 0;
    bool out = true;  // its outcome has not been told to the module
  };
  struct Open {
    explicit Open(Command&& c) : command(std::move(c)) {}
    ClientSlot* slot = nullptr;  // none once the client is gone
    Command command;
    Micros deadline = 0;
    bool answered = false;   // the final answer is given, or nobody is left to get one
    int untold = 0;          // events of it on their way to the module
    std::vector<Attempt> attempts;
  };
  // What waits for its turn to be told to the module.
  struct OutcomeEvent {
    violetusher::Outcome outcome;
  };
  struct RequestEvent {
    RequestId id;
  };
  struct GoneEvent {
    RequestId id;
  };
  struct ListEvent {
    violetusher::ListScope scope;
    std::vector<violetusher::Server> servers;
  };
  struct TimerEvent {
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
  void set_timer(Micros at, Due due, std::uint64_t token, int attempt = 0);
  /// Tells the module what has happened and carries out what it answers, until nothing is left.
  void settle();
  void perform(const violetusher::Actions& actions);
  void act(const violetusher::Send& a);
  void act(const violetusher::Refuse& a);
  void act(const violetusher::Fail& a);
  void act(const violetusher::Cancel& a);
  void act(const violetusher::Watch&) { discovery_.watch(); }
  void act(const violetusher::Fetch&) { discovery_.fetch(); }
  void act(const violetusher::Timer& a);
  void act(const violetusher::Probe& a);
  void expire(RequestId id, int attempt);
  void give_answer(Open& open, std::string text);
  void tell_gone(RequestId id, Open& open);
  void fail_all();
  void tell_outcome(RequestId id, Open& open, int attempt, Status status, Answer* answer);
  void forget_if_done(RequestId id);

  event_base* base_;
  Config config_;
  Clock clock_;
  violetusher::Balancer balancer_;
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
