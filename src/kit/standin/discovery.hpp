// Discovery's stand-in: the whole list and a watch over HTTP as PROTOCOL has them, one service with
// a fixed capacity behind an address for each router, late and able to go down.
#pragma once

#include <event2/http.h>

#include <deque>
#include <list>
#include <memory>
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
    Micros born = 0;                 ///< Unix time, microseconds; 0 = long ago
    std::vector<std::string> dials;  ///< by router
  };

  DiscoveryStandin(kit::Loop& loop, const FleetSpec& spec, int routers, kit::History& history);
  ~DiscoveryStandin();

  std::string address(int router) const;
  /// Adds or changes an entry: what watches see from now on.
  void publish(const Entry& entry);
  /// Down: every call fails and watches end. Agents fall silent instead, and answer at the return.
  void set_down(bool down);
  /// The watches that are open say nothing more, and stay open.
  void silence_watches();
  /// The watches that are open are ended.
  void reset_watches();
  /// Each call that is asked for takes so much longer.
  void slow_by(Micros delay) { delay_ = delay; }
  bool down() const { return down_; }
  /// The whole list as JSON.
  std::string whole(int router) const;
  std::uint64_t calls() const { return calls_; }

 private:
  struct Door {
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
  struct Held {
    Entry entry;
    std::uint64_t version = 0;
  };
  static void on_call(evhttp_request* request, void* door);
  static void on_closed(evhttp_connection* connection, void* self);
  void serve();
  void take(const Call& call);
  void tick();
  void count_watches(int router);
  void answer(const Call& call);
  void fail(const Call& call);
  void reply(evhttp_request* request, int code, const std::string& body);
  std::string entry_json(const Held& held, int router) const;
  void look_at_watches();

  kit::Loop& loop_;
  const FleetSpec& spec_;
  ToldAccount told_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<Held> held_;
  std::deque<Call> queue_;   // in turn
  std::list<Call> watches_;  // silent ones and, of agents while discovery is down, all calls too
  std::uint64_t version_ = 1, calls_ = 0;
  std::vector<Entry> unheard_;  // what agents learn at discovery's return
  Micros delay_ = 0;
  bool down_ = false, serving_ = false;
};

}  // namespace violetusher::standin
