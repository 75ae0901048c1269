// The transport between routers, also used by operators' tools: frames over TCP. Each direction has
// a connection of its own, opened by the sender. A frame consists of its length, a digest and the
// payload; a digest mismatch closes the connection. Frames to an unreachable peer are dropped:
// resending is up to the sender.
//
//     4 bytes   length of the payload, little-endian
//     8 bytes   XXH3 of the payload, little-endian
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "io.hpp"

namespace violetusher::net {

/// Sends frames to the peers by name, and receives frames from any peer.
class PeerTransport final : Watch::Target {
 public:
  static constexpr std::size_t kMaxFrameBytes = 8u << 20;      ///< bytes
  static constexpr std::size_t kMaxBufferedBytes = 16u << 20;  ///< unsent bytes per connection
  static constexpr std::size_t kMaxInboundConnections = 1024;  ///< a further one closes the oldest
  static constexpr std::size_t kHeaderBytes = 12;

  /// Receives each frame. `link` identifies its connection, for reply().
  using FrameHandler = std::function<void(const std::string& frame, std::uint64_t link)>;

  /// `addresses`: the address of each router by name; invalid ones are never connected to.
  /// `random`: source of the jitter of reconnect delays.
  PeerTransport(Io& io, const std::map<std::string, std::string>& addresses, FrameHandler on_frame,
                std::function<std::uint64_t()> random);
  ~PeerTransport() override;

  bool listen(const sockaddr_in& address, std::string& error);
  std::uint16_t port() const { return io_.port(listener_.number()); }
  /// The frame is dropped if the router can't be reached or its buffer is full.
  void send(const std::string& name, const std::string& frame);
  /// Sends on the connection that a frame arrived on; dropped if that is closed.
  void reply(std::uint64_t link, const std::string& frame);
  std::size_t inbound_connections() const { return inbound_.size(); }

  /// Adds the header to a payload.
  static std::string encode_frame(const std::string& frame);
  /// Removes one complete frame from the front of `bytes`. Returns 1 if there was one, 0 if it is
  /// incomplete, -1 if the bytes are not a valid frame.
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
  std::map<std::uint64_t, std::unique_ptr<InboundConnection>> inbound_;  // oldest first
  std::uint64_t next_link_ = 1;
};

}  // namespace violetusher::net
