#include "slow_clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

#include "protocol/command.hpp"

namespace violetusher::soak {
namespace {

constexpr Micros kMillisecond = 1000;
// 400 KB/s read, 60 KB/s written.
constexpr std::size_t kReadBytes = 4096, kWriteBytes = 3072;
constexpr Micros kReadInterval = 10 * kMillisecond, kWriteInterval = 50 * kMillisecond;
constexpr int kReadsInOneGo = 8;
constexpr std::size_t kWrittenValueBytes = 60'000;
// Else the system takes the answers however slowly they are read.
constexpr int kReceiveBufferBytes = 8 << 10;

std::string reads(std::uint64_t number) {
  std::string commands;
  for (int k = 0; k < kReadsInOneGo; ++k) {
    std::string id = std::to_string(number) + "-" + std::to_string(k);
    commands += "mg k" + std::to_string(number * kReadsInOneGo + static_cast<std::uint64_t>(k)) +
                " v Oslow" + id + " Pc=price-lookup,t=selam-stores,d=600\r\n";
  }
  return commands;
}

std::string write(std::uint64_t number) {
  std::string id = std::to_string(number);
  return "ms k" + id + " " + std::to_string(kWrittenValueBytes) + " Oslow" + id +
         " Pc=sale-record,t=selam-stores,d=1000,k=slow" + id + "\r\n" +
         std::string(kWrittenValueBytes, 'v') + "\r\n";
}

/// The bytes of the value that follows an answer's line; 0 for an answer of one line.
std::size_t value_bytes(const std::string& line) {
  std::size_t bytes = 0;
  if (line.rfind("VA ", 0) == 0) std::from_chars(line.data() + 3, line.data() + line.size(), bytes);
  return bytes;
}

}  // namespace

net::Fd connect_to(const std::string& address, int receive_buffer) {
  auto to = net::parse_address(address);
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!to || !fd) return net::Fd();
  if (receive_buffer > 0)
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&*to), sizeof *to) != 0) return net::Fd();
  return fd;
}

SlowSession::SlowSession(int router, SlowClients::Kind kind, const std::string& address,
                         std::uint64_t number, Micros now)
    : fd_(connect_to(address, kReceiveBufferBytes)), kind_(kind) {
  bool reader = kind == SlowClients::Kind::kReaders;
  out_ = reader ? reads(number) : write(number);
  record_.router = router;
  record_.connected = static_cast<bool>(fd_);
  record_.began = record_.ended = now;
  record_.commands = reader ? kReadsInOneGo : 1;
}

void SlowSession::step(Micros now) {
  if (fd_) write_some(now);
  if (fd_) read_some(now);
}

void SlowSession::write_some(Micros now) {
  if (out_.empty() || now < next_write_) return;
  next_write_ = now + kWriteInterval;
  std::size_t most = kind_ == SlowClients::Kind::kWriters ? kWriteBytes : out_.size();
  ssize_t put =
      ::send(fd_.get(), out_.data(), std::min(most, out_.size()), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (put > 0) out_.erase(0, static_cast<std::size_t>(put));
  if (put < 0 && errno != EAGAIN && errno != EINTR) end(now, true);
}

void SlowSession::read_some(Micros now) {
  if (now < next_read_) return;
  next_read_ = now + kReadInterval;
  char bytes[kReadBytes];
  ssize_t got = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0) return end(now, true);
  in_.append(bytes, static_cast<std::size_t>(got));
  take_answers();
  if (record_.answers == record_.commands) end(now, false);
}

void SlowSession::take_answers() {
  while (true) {
    std::size_t line = in_.find("\r\n");
    if (line == in_.npos) return;
    std::size_t value = value_bytes(in_.substr(0, line));
    record_.within_long_value = value > protocol::kMaxValueBytes;
    std::size_t whole = line + 2 + (value > 0 ? value + 2 : 0);
    if (in_.size() < whole) return;
    record_.within_long_value = false;
    in_.erase(0, whole);
    ++record_.answers;
  }
}

void SlowSession::end(Micros now, bool closed) {
  record_.ended = now;
  record_.closed = closed;
  fd_.reset();
}

}  // namespace violetusher::soak
