// One stand-in price cache on sockets: a listener for each router, the processing of commands, and
// the faults that are injected into its connections and answers.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection.hpp"
#include "fleet.hpp"

namespace violetusher::standin {

class PriceCache {
 public:
  PriceCache(FleetState& shared, int server, int addresses);
  ~PriceCache();

  const std::string& id() const {
    return shared_.history.servers[static_cast<std::size_t>(server_)];
  }
  int server() const { return server_; }
  int spec_index() const { return spec_index_; }
  const ServerSpec& spec() const {
    return shared_.spec.servers[static_cast<std::size_t>(spec_index_)];
  }
  std::string address(int router) const {
    return addresses_[static_cast<std::size_t>(router)].text();
  }

  /// Starts the process, which then listens. It is cold unless `born`, its start time, is 0.
  void start(Micros born);
  /// Stops the process as a crash does: resets its connections; new ones are refused.
  void stop();
  /// Changes the id and keeps the address; only while the process is stopped.
  void rename(int server) { server_ = server; }
  void drain() { draining_ = true; }
  /// Updates from the active faults which routers it is silent towards, and its pace.
  void refresh();
  bool running() const { return running_; }
  Micros born() const { return born_; }
  std::size_t connections() const { return connections_.size(); }
  void sample();
  void origin_done(Exchange& exchange);

 private:
  friend class Connection;
  struct Listener {
    net::Fd fd;
    net::EventPtr event;
    std::vector<net::Fd> backlog_connections;
    bool silent = false;
    Micros silent_from = 0, silent_until = 0;  // of the latest cut
    PriceCache* owner = nullptr;
    int router = 0;
  };
  static void on_accept(evutil_socket_t, short, void* listener);
  void open_listener(Listener& listener);
  bool may_read_slowly() const;
  void set_silent(Listener& listener, bool silent);
  bool silent_now(int router) const;
  const Fault* fault(FaultKind kind) const;
  bool fault_applies(FaultKind kind, const Exchange& exchange) const;
  double capacity() const;
  std::string report() const;
  void arrive(Exchange& exchange);
  void begin(Exchange& exchange);
  void on_work_done(Exchange& exchange);
  void finish(Exchange& exchange, kit::Answered how, std::string text);
  const Fault* slow_writing(const Exchange& exchange) const;
  void write_answer(Exchange& exchange);
  void release_later(std::uint64_t token, std::size_t step, Micros gap);
  void deliver(std::uint64_t token, kit::Answered how, std::string text, bool reset_connection);
  std::uint64_t size_of(const std::string& key) const;
  std::string served_text(Exchange& exchange);
  Micros work_of(const Exchange& exchange) const;
  void pump();
  void collapse();
  void close(Connection& connection, bool reset);
  kit::AttemptRecord& record(const Exchange& exchange) {
    return shared_.history.attempts[exchange.attempt];
  }

  FleetState& shared_;
  int server_;      // index into History::servers, new with each id
  int spec_index_;  // index into FleetSpec::servers
  const MachineKind& kind_;
  std::vector<Address> addresses_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;
  Station station_;
  Store store_;
  OverloadDetector overload_;
  bool running_ = false, draining_ = false, collapsed_ = false, recording_ = true;
  Micros born_ = 0, next_pump_ = 0;
  std::unordered_map<std::string, int> fetching_;
  // The load reports that wait for their lag, and the figures that the next one is made from.
  struct Load {
    Micros at = 0;
    double utilisation = 0, mean_ms = 0, hits = 0;
  };
  std::deque<Load> reports_;
  double spent_before_ = 0, spent_sampled_ = 0;
  Micros sampled_at_ = 0;
  double service_ms_ = 0, hit_share_ = 0.9;
};

}  // namespace violetusher::standin
