// The operators' listener: one command line per connection, one answer, then a close. Its limits
// are separate from those for clients, so that neither can starve the other.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io.hpp"

namespace violetusher::net {

/// Accepts operators' connections and hands each command line to a handler.
class OperatorListener final : Watch::Target {
 public:
  /// Connections open at once; a further one closes the oldest.
  static constexpr std::size_t kMaxConnections = 16;
  /// Sends the answer to a command that was not answered at once; ignored if the connection is
  /// closed.
  using Responder = std::function<void(std::string text)>;
  /// Returns the answer to a command, each line terminated, or nothing if `respond` is called
  /// later.
  using CommandHandler =
      std::function<std::optional<std::string>(std::string_view line, Responder respond)>;

  OperatorListener(Io& io, CommandHandler handler);
  ~OperatorListener() override;

  /// On failure returns false and sets `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  std::uint16_t port() const { return io_.port(listener_.number()); }
  bool listening() const { return static_cast<bool>(listener_); }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  void on_ready(unsigned) override;
  void sweep();

  Io& io_;
  CommandHandler handler_;
  Socket listener_;
  std::unique_ptr<Watch> accept_watch_;
  std::unique_ptr<Alarm> sweep_alarm_;
  std::vector<std::unique_ptr<Connection>> connections_;  // oldest first
};

}  // namespace violetusher::net
