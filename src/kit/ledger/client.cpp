#include "client.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>

#include "net/peer_transport.hpp"
#include "net/system_io.hpp"

namespace violetusher::kit {

std::optional<ledger::ClientAnswer> ask_ledger(const std::string& address, const std::string& fleet,
                                               const std::string& kind,
                                               const core::ledger::Json& body, int limit_ms,
                                               std::string& error) {
  auto to = net::parse_address(address);
  if (!to) {
    error = "'" + address + "' is no address";
    return {};
  }
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fd || ::connect(fd.get(), reinterpret_cast<sockaddr*>(&*to), sizeof *to) != 0) {
    error = address + ": " + std::strerror(errno);
    return {};
  }
  std::string out = net::PeerTransport::encode_frame(ledger::client_frame(fleet, kind, body)), in,
              frame;
  for (std::size_t at = 0; at < out.size();) {
    ssize_t put = ::send(fd.get(), out.data() + at, out.size() - at, MSG_NOSIGNAL);
    if (put <= 0) {
      error = address + ": " + std::strerror(errno);
      return {};
    }
    at += static_cast<std::size_t>(put);
  }
  auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  for (;;) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                    until - std::chrono::steady_clock::now())
                    .count();
    pollfd wait{fd.get(), POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) break;
    char bytes[65536];
    ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (got <= 0) break;
    in.append(bytes, static_cast<std::size_t>(got));
    if (net::PeerTransport::decode_frame(in, frame) != 1) continue;
    if (auto answer = ledger::read_answer(frame)) return answer;
    break;
  }
  error = address + ": no answer; is '" + fleet + "' its fleet?";
  return {};
}

}  // namespace violetusher::kit
