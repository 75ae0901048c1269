// Links from router to router, and from operators' tools: frames over TCP, each way on a connection
// of its own that its sender opens. A frame is its length, a digest and its bytes; what does not
// match its digest ends the connection. Nothing is kept for who can't be reached: whoever sends
// frames sends them again.
//
//     4 bytes   length of the bytes, little end first
//     8 bytes   XXH3 of the bytes
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "io.hpp"

namespace violetusher::net {

class PeerTransport final : Watch::Target {
 public:
  static constexpr std::size_t kMaxFrameBytes = 8u << 20;      ///< bytes
  static constexpr std::size_t kMaxBufferedBytes = 16u << 20;  ///< bytes that wait for one router
  static constexpr std::size_t kMaxInboundConnections =
      1024;  ///< connections that came; the oldest goes
  static constexpr std::size_t kHeaderBytes = 12;

  /// A frame that has come. `link` names its connection, for reply().
  using FrameHandler = std::function<void(const std::string& frame, std::uint64_t link)>;

  /// `addresses`: where each router listens, by name; those that are none are never reached.
  /// `random`: draws for how long to wait before a router is dialled again.
  PeerTransport(Io& io, const std::map<std::string, std::string>& addresses, FrameHandler on_frame,
                std::function<std::uint64_t()> random);
  ~PeerTransport() override;

  bool listen(const sockaddr_in& address, std::string& error);
  std::uint16_t port() const { return io_.port(listener_.number()); }
  /// Dropped where the router can't be reached or takes too little.
  void send(const std::string& name, const std::string& frame);
  /// On the connection that a frame has come by; dropped where that is gone.
  void reply(std::uint64_t link, const std::string& frame);
  std::size_t inbound_connections() const { return inbound_.size(); }

  /// A frame as it goes over a connection.
  static std::string encode_frame(const std::string& frame);
  /// Takes one whole frame off the front of `bytes`. 1: taken, 0: more has to come, -1: it is none.
  static int decode_frame(std::string& bytes, std::string& frame);

 private:
  class InboundConnection;
  class OutboundConnection;
  void on_ready(unsigned) override;
  void sweep();

  Io& io_;
  FrameHandler on_frame_;
  std::function<std::uint64_t()> random_;
  Socket listener_;
  std::unique_ptr<Watch> accept_watch_;
  std::unique_ptr<Alarm> sweep_alarm_;
  std::map<std::string, std::unique_ptr<OutboundConnection>> outbound_;
  std::map<std::uint64_t, std::unique_ptr<InboundConnection>>
      inbound_;  // in the order of their coming
  std::uint64_t next_link_ = 1;
};

}  // namespace violetusher::net
