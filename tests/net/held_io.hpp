// The system's Io with delayed socket events: the router sees them only when the test releases
// them, so that something else can happen in between.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "net/system_io.hpp"

namespace violetusher::net::test {

/// Only for the router's thread (RunningRouter::post). Forwards everything except the held events.
class HeldIo final : public Io {
 public:
  explicit HeldIo(SystemIo& io) : io_(io) {}

  /// While held, an established connection to a server is not reported as established.
  void hold_dials(bool on) { hold(dials_held_, on); }
  /// While held, input from a client is not reported; a read finds it.
  void hold_clients(bool on) { hold(clients_held_, on); }

  Micros now() const override { return io_.now(); }
  void update_time() override { io_.update_time(); }
  Micros uptime() const override { return io_.uptime(); }
  Socket listen(const sockaddr_in& address, std::string& error) override {
    return io_.listen(address, error);
  }
  Socket adopt(int descriptor, std::string& error) override { return io_.adopt(descriptor, error); }
  std::uint16_t port(int listener) const override { return io_.port(listener); }
  Accepted accept(int listener, Socket& socket) override {
    Accepted accepted = io_.accept(listener, socket);
    if (accepted == Accepted::kOne) clients_.insert(socket.number());
    return accepted;
  }
  CallResult connect(const sockaddr_in& address, Socket& socket) override {
    CallResult result = io_.connect(address, socket);
    if (result == CallResult::kDone) dials_.insert(socket.number());
    return result;
  }
  CallResult connected(int socket) override { return io_.connected(socket); }
  ssize_t recv(int socket, char* to, std::size_t size) override {
    return io_.recv(socket, to, size);
  }
  ssize_t send(int socket, const iovec* parts, std::size_t count) override {
    return io_.send(socket, parts, count);
  }
  bool may_have_input(int socket) override { return io_.may_have_input(socket); }
  bool peer_ended(int socket) override { return io_.peer_ended(socket); }
  std::size_t untaken(int socket) override { return io_.untaken(socket); }
  void discard_untaken(int socket) override { io_.discard_untaken(socket); }
  void shutdown_send(int socket) override { io_.shutdown_send(socket); }
  void close(int socket) override { io_.close(socket); }
  std::unique_ptr<net::Watch> watch(int socket, net::Watch::Target& target) override {
    bool dial = dials_.erase(socket) > 0;
    bool client = clients_.erase(socket) > 0;
    if (!dial && !client) return io_.watch(socket, target);
    return std::make_unique<HeldWatch>(*this, socket, target,
                                       dial ? net::Watch::kWritable : net::Watch::kReadable);
  }
  std::unique_ptr<Alarm> alarm(std::function<void()> on_expiry) override {
    return io_.alarm(std::move(on_expiry));
  }
  std::unique_ptr<HttpGet> http(HttpGet::Done done) override { return io_.http(std::move(done)); }
  void run_once(Wait wait) override { io_.run_once(wait); }

 private:
  class HeldWatch final : public net::Watch, net::Watch::Target {
   public:
    HeldWatch(HeldIo& owner, int socket, net::Watch::Target& target, unsigned what)
        : owner_(owner), target_(target), what_(what), inner_(owner.io_.watch(socket, *this)) {
      owner_.all_.insert(this);
    }
    ~HeldWatch() override { owner_.all_.erase(this); }
    void read(bool on) override {
      reads_ = on;
      inner_->read(on);
    }
    void write_once(Micros limit) override { inner_->write_once(limit); }
    /// Delivers the events that were held back.
    void release() {
      if (reads_) inner_->read(true);
      if (unsigned held_events = std::exchange(held_events_, 0)) target_.on_ready(held_events);
    }

   private:
    void on_ready(unsigned what) override {
      bool held = what_ == kWritable ? owner_.dials_held_ : owner_.clients_held_;
      if (!held || !(what & what_)) {
        target_.on_ready(what);
        return;
      }
      held_events_ |= what_ == kWritable ? what : 0;  // input stays readable
      if (what_ == kReadable) inner_->read(false);
    }

    HeldIo& owner_;
    net::Watch::Target& target_;
    unsigned what_, held_events_ = 0;
    bool reads_ = false;
    std::unique_ptr<net::Watch> inner_;
  };

  void hold(bool& held, bool on) {
    held = on;
    if (on) return;
    for (HeldWatch* one : std::set<HeldWatch*>(all_))
      if (all_.count(one)) one->release();
  }

  SystemIo& io_;
  bool dials_held_ = false, clients_held_ = false;
  std::set<int> dials_, clients_;
  std::set<HeldWatch*> all_;
};

}  // namespace violetusher::net::test
