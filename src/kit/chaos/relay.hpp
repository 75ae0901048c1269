// One link of the fleet, from one router to another, through the kit: what the first one sends is
// carried on, late, torn, twice, in another order, with bits turned, or not at all.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kit/common/loop.hpp"

namespace violetusher::chaos {

struct LinkState {
  bool cut = false;      ///< nothing passes; connections stay up, as in a silent network
  bool reset = false;    ///< connections are ended, new ones too
  bool shuffle = false;  ///< frames come twice, and in another order
  bool spoil = false;    ///< bits are turned now and then
  Micros delay = 0;
  double rate = 0;  ///< bytes a second; 0: as they come
};

class Relay {
 public:
  /// Listens on a port of its own for the first router; `to` is where the second one listens.
  /// `state` and `random` are asked at each turn, and outlive the relay.
  Relay(kit::Loop& loop, const std::string& to, const LinkState& state,
        std::function<std::uint64_t()> random);
  ~Relay();
  std::string address() const;
  std::uint64_t carried() const { return carried_; }

 private:
  struct Pair;
  struct ListenerFree {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };
  static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void on_read(bufferevent* from, void* pair);
  static void on_event(bufferevent* which, short what, void* pair);
  void carry(Pair& pair);
  void pass(const std::shared_ptr<Pair>& pair, std::string bytes, Micros wait);

  kit::Loop& loop_;
  std::string to_;
  const LinkState& state_;
  std::function<std::uint64_t()> random_;
  std::unique_ptr<evconnlistener, ListenerFree> listener_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::uint64_t carried_ = 0;  // bytes
};

}  // namespace violetusher::chaos
