// Where operators call: one line a connection, one answer, a close. Apart from the clients' side in
// all that is bounded, so that neither can keep the other out.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "io.hpp"

namespace violetusher::net {

class OperatorSide final : Watch::Target {
 public:
  /// Connections open at once; beyond, the one that has waited longest goes.
  static constexpr std::size_t kMost = 16;
  /// The answer to a call's line, each of its lines with an end.
  using Answer = std::function<std::string(std::string_view line)>;

  OperatorSide(Io& io, Answer answer);
  ~OperatorSide() override;

  /// False with the reason in `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  std::uint16_t port() const { return io_.port(listener_.number()); }
  bool listening() const { return static_cast<bool>(listener_); }
  std::size_t connections() const { return callers_.size(); }

 private:
  class Caller;
  void on_ready(unsigned) override;
  void sweep();

  Io& io_;
  Answer answer_;
  Socket listener_;
  std::unique_ptr<Watch> accept_watch_;
  std::unique_ptr<Alarm> sweep_alarm_;
  std::vector<std::unique_ptr<Caller>> callers_;  // in the order of their coming
};

}  // namespace violetusher::net
