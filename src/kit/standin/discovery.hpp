// Stand-in for discovery: serves the whole host list and watches over HTTP as PROTOCOL specifies.
// One service of fixed capacity listens on an address for each router, and can be delayed or down.
#pragma once

#include <event2/http.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kit/common/history.hpp"
#include "kit/common/loop.hpp"
#include "spec.hpp"
#include "told.hpp"

namespace violetusher::standin {

class DiscoveryStandin {
 public:
  struct Entry {
    int server = -1;  ///< index into History::servers
    std::string id, hall, kind;
    int block = 0;
    Health health = Health::Ready;
    Micros born = 0;                 ///< Unix time, microseconds; 0 = before the day
    std::vector<std::string> dials;  ///< address to connect to, by router
  };

  DiscoveryStandin(kit::Loop& loop, const FleetSpec& spec, int routers, kit::History& history);
  ~DiscoveryStandin();

  std::string address(int router) const;
  /// Adds or changes an entry of the list, and answers the watches that wait for a change.
  void publish(const Entry& entry);
  /// While down, every call fails and open watches are ended. Agents (FleetSpec::pushed) stop
  /// answering instead, and answer the calls that wait when discovery is up again.
  void set_down(bool down);
  /// Keeps the watches that are open now open without ever answering them.
  void silence_watches();
  /// Fails the watches that are open now.
  void reset_watches();
  /// Adds `delay` to the service time of each call of a polled list.
  void set_delay(Micros delay) { delay_ = delay; }
  /// A fraction `rate` of the calls that begin from now on meets this fault, one of kCallsReset to
  /// kCallsHalf; 0 ends it.
  void set_call_fault(FaultKind kind, double rate);
  /// A process of the router has started, with the list of the start of the day.
  void on_router_start(int router, Micros started) {
    notifications_.on_router_start(router, started);
  }
  bool down() const { return down_; }
  /// The whole host list as JSON, with the addresses of `router`.
  std::string whole(int router) const;
  std::uint64_t calls() const { return calls_; }

 private:
  struct HttpListener {
    DiscoveryStandin* owner = nullptr;
    int router = 0;
    int port = 0;
    evhttp* http = nullptr;
  };
  struct Call {
    evhttp_request* request = nullptr;
    evhttp_connection* connection = nullptr;
    int router = 0;
    Micros came = 0, until = 0;
    std::uint64_t index = 0;
    bool watch = false;
    bool silent = false;
  };
  struct VersionedEntry {
    Entry entry;
    std::uint64_t version = 0;
  };
  static void on_call(evhttp_request* request, void* listener);
  static void on_closed(evhttp_connection* connection, void* self);
  void serve();
  void serve_call(const Call& call);
  void note_reachability();
  bool meet_fault(const Call& call);
  void keep_unanswered(const Call& call);
  void write_half(const Call& call);
  void tick();
  void count_watches(int router);
  void answer(const Call& call);
  void fail(const Call& call);
  void reply(evhttp_request* request, int code, const std::string& body);
  std::string entry_json(const VersionedEntry& held, int router) const;
  void answer_due_watches();

  kit::Loop& loop_;
  const FleetSpec& spec_;
  NotificationOracle notifications_;
  std::vector<std::unique_ptr<HttpListener>> listeners_;
  std::vector<VersionedEntry> entries_;
  std::deque<Call> queue_;   // served one after another
  std::list<Call> watches_;  // also silenced ones, and every call of agents while discovery is down
  std::uint64_t version_ = 1, calls_ = 0;
  std::vector<Entry> deferred_;  // changes to publish to agents when discovery is up again
  Micros delay_ = 0;
  std::map<FaultKind, double> call_faults_;  // the rate of each
  std::mt19937_64 random_;
  bool reachable_ = true;  // not every call fails; only for polled lists
  bool down_ = false, serving_ = false;
};

}  // namespace violetusher::standin
