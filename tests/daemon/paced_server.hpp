// Test support: a cache server that is slow within its answers and slow to read its requests, and
// a client that notes when its answer came.
#pragma once

#include <chrono>
#include <deque>

#include "../net/net_support.hpp"

namespace violetusher::net::test {

using SteadyTime = std::chrono::steady_clock::time_point;

inline int ms_between(SteadyTime from, SteadyTime to) {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
}

/// A part of an answer, written `after_ms` after the part before it.
struct Piece {
  int after_ms = 0;
  std::string bytes;
};

/// One command as a cache server received it.
struct ReceivedCommand {
  std::string line;   ///< without its end
  std::string value;  ///< of a write
  int number = 0;     ///< its index among all commands of the server
  bool is_write() const { return line.rfind("ms ", 0) == 0; }
};

/// Splits `text` into pieces of `size` bytes, `gap_ms` apart; the first is written at once.
inline std::vector<Piece> in_pieces(const std::string& text, std::size_t size, int gap_ms) {
  std::vector<Piece> pieces;
  for (std::size_t at = 0; at < text.size(); at += size)
    pieces.push_back({at == 0 ? 0 : gap_ms, text.substr(at, size)});
  return pieces;
}

/// A cache server whose answers are written in pieces and which may read slowly.
class PacedServer {
 public:
  using Answer = std::function<std::vector<Piece>(const ReceivedCommand&)>;
  /// How fast it takes what it is sent.
  struct Reading {
    int receive_buffer = 0;       ///< SO_RCVBUF; 0 = the system's default
    std::size_t bytes = 1 << 20;  ///< read at most at a time
    int gap_ms = 0;               ///< between two reads of one connection
  };
  explicit PacedServer(Answer answer) : PacedServer(std::move(answer), Reading()) {}
  PacedServer(Answer answer, Reading reading, std::uint16_t port = 0)
      : answer_(std::move(answer)),
        reading_(reading),
        port_(port),
        listener_(listen_on_loopback(port_, reading.receive_buffer)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~PacedServer() { stop(); }
  /// Ends the server as a crash does: its connections are reset.
  void stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
    listener_.reset();
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return loopback_text(port_); }
  /// The commands whose last byte has come.
  std::vector<ReceivedCommand> commands() const {
    std::lock_guard lock(mutex_);
    return commands_;
  }
  /// When each of them came.
  std::vector<SteadyTime> times() const {
    std::lock_guard lock(mutex_);
    return times_;
  }
  /// Answers that could not be written to their end, as the router had closed.
  int cut_answers() const { return cut_; }
  /// Commands of which only a part came before the router closed.
  int partial_commands() const { return partial_; }

 private:
  struct Scheduled {
    SteadyTime at;
    std::string bytes;
  };
  struct Peer {
    Fd fd;
    std::string in;
    std::deque<Scheduled> out;
    SteadyTime next_read{};
    bool ended = false;
  };

  void serve() {
    std::list<Peer> peers;
    while (!stop_) {
      std::vector<pollfd> polls{{listener_.get(), POLLIN, 0}};
      SteadyTime now = std::chrono::steady_clock::now();
      for (Peer& peer : peers)
        polls.push_back({peer.fd.get(), static_cast<short>(peer.next_read <= now ? POLLIN : 0), 0});
      ::poll(polls.data(), polls.size(), 1);
      std::size_t polled = polls.size() - 1, k = 0;
      for (Peer& peer : peers) {
        if (k < polled && polls[++k].revents) read(peer);
        write(peer);
      }
      peers.remove_if([](const Peer& peer) { return peer.ended; });
      if (polls[0].revents & POLLIN) {
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (fd) peers.emplace_back().fd = std::move(fd);
      }
    }
    linger at_once{1, 0};
    for (Peer& peer : peers)
      ::setsockopt(peer.fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }

  void read(Peer& peer) {
    std::vector<char> bytes(reading_.bytes);
    ssize_t got = ::recv(peer.fd.get(), bytes.data(), bytes.size(), 0);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) {
      peer.ended = true;
      cut_ += !peer.out.empty();
      partial_ += !peer.in.empty();
      return;
    }
    peer.next_read = std::chrono::steady_clock::now() + std::chrono::milliseconds(reading_.gap_ms);
    peer.in.append(bytes.data(), static_cast<std::size_t>(got));
    while (take_command(peer)) {
    }
  }

  /// Takes one whole command from the input; false if there is none.
  bool take_command(Peer& peer) {
    std::size_t end = peer.in.find("\r\n");
    if (end == peer.in.npos) return false;
    ReceivedCommand command;
    command.line = peer.in.substr(0, end);
    std::size_t size = end + 2;
    if (command.is_write()) {
      std::size_t at = command.line.find(' ', 3);
      std::size_t length = std::strtoull(command.line.c_str() + at, nullptr, 10);
      if (peer.in.size() < size + length + 2) return false;
      command.value = peer.in.substr(size, length);
      size += length + 2;
    }
    peer.in.erase(0, size);
    SteadyTime now = std::chrono::steady_clock::now();
    {
      std::lock_guard lock(mutex_);
      command.number = static_cast<int>(commands_.size());
      commands_.push_back(command);
      times_.push_back(now);
    }
    SteadyTime at = peer.out.empty() ? now : std::max(now, peer.out.back().at);
    for (Piece& piece : answer_(command)) {
      at += std::chrono::milliseconds(piece.after_ms);
      peer.out.push_back({at, std::move(piece.bytes)});
    }
    return true;
  }

  void write(Peer& peer) {
    SteadyTime now = std::chrono::steady_clock::now();
    while (!peer.ended && !peer.out.empty() && peer.out.front().at <= now) {
      std::string& bytes = peer.out.front().bytes;
      ssize_t put = ::send(peer.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (put < 0 && errno == EAGAIN) return;
      if (put < 0) {
        peer.ended = true;
        ++cut_;
        return;
      }
      bytes.erase(0, static_cast<std::size_t>(put));
      if (bytes.empty()) peer.out.pop_front();
    }
  }

  Answer answer_;
  Reading reading_;
  std::uint16_t port_;
  Fd listener_;
  mutable std::mutex mutex_;
  std::vector<ReceivedCommand> commands_;
  std::vector<SteadyTime> times_;
  std::atomic<int> cut_{0}, partial_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// One answer as its client got it.
struct TimedAnswer {
  std::string line;       ///< the first line
  std::string value;      ///< of a read that was served
  int first_byte_ms = 0;  ///< from when the command was sent
  int last_byte_ms = 0;
  bool served() const { return line.rfind("VA ", 0) == 0 || line.rfind("HD ", 0) == 0; }
};

/// Sends one command on a connection of its own and waits for its answer.
inline TimedAnswer ask(std::uint16_t port, const std::string& command) {
  Client client(port);
  SteadyTime sent = std::chrono::steady_clock::now();
  client.send(command);
  TimedAnswer answer;
  answer.line = client.line();
  answer.first_byte_ms = ms_between(sent, std::chrono::steady_clock::now());
  if (answer.line.rfind("VA ", 0) == 0) {
    std::size_t length = std::strtoull(answer.line.c_str() + 3, nullptr, 10);
    answer.value = client.bytes(length);
    client.bytes(2);
  }
  answer.last_byte_ms = ms_between(sent, std::chrono::steady_clock::now());
  return answer;
}

/// Asks all `commands` at the same time.
inline std::vector<TimedAnswer> ask_all(std::uint16_t port,
                                        const std::vector<std::string>& commands) {
  std::vector<std::future<TimedAnswer>> pending;
  for (const std::string& command : commands)
    pending.push_back(std::async(std::launch::async, ask, port, command));
  std::vector<TimedAnswer> answers;
  for (auto& one : pending) answers.push_back(one.get());
  return answers;
}

}  // namespace violetusher::net::test
