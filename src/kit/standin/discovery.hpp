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
  /// Down: every call fails and watches end.
  void set_down(bool down);
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
    int router = 0;
    Micros came = 0, until = 0;
    std::uint64_t index = 0;
    bool watch = false;
  };
  struct Held {
    Entry entry;
    std::uint64_t version = 0;
  };
  static void on_call(evhttp_request* request, void* door);
  static void on_closed(evhttp_connection* connection, void* self);
  void serve();
  void answer(const Call& call);
  void fail(const Call& call);
  void reply(evhttp_request* request, int code, const std::string& body);
  std::string entry_json(const Held& held, int router) const;
  void look_at_watches();

  kit::Loop& loop_;
  const FleetSpec& spec_;
  kit::History& history_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<Held> held_;
  std::deque<Call> queue_;  // in turn
  std::list<Call> watches_;
  std::uint64_t version_ = 1, calls_ = 0;
  bool down_ = false, serving_ = false;
};

}  // namespace violetusher::standin
