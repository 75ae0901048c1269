// Where operators call: one line a connection, one answer, a close. Apart from the clients' side in
// all that is bounded, so that neither can keep the other out.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io.hpp"

namespace violetusher::net {

class OperatorListener final : Watch::Target {
 public:
  /// Connections open at once; beyond, the one that has waited longest goes.
  static constexpr std::size_t kMaxConnections = 16;
  /// Says the answer to a call that had none at once; goes nowhere where the caller has gone.
  using Responder = std::function<void(std::string text)>;
  /// The answer to a call's line, each of its lines with an end, or nothing: then `later` says it.
  using CommandHandler =
      std::function<std::optional<std::string>(std::string_view line, Responder respond)>;

  OperatorListener(Io& io, CommandHandler answer);
  ~OperatorListener() override;

  /// False with the reason in `error`.
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
  std::vector<std::unique_ptr<Connection>> connections_;  // in the order of their coming
};

}  // namespace violetusher::net
