#include "peer_transport.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace violetusher::net {
namespace {

constexpr Micros kDialTime = kSecond / 2;
constexpr Micros kDialAgain = kSecond / 10;  // and as much again at random, doubled up to a second
constexpr Micros kSweep = kSecond / 5;
constexpr std::size_t kRead = 64u << 10;
constexpr std::size_t kMostWhileDialling = 256u << 10;

}  // namespace

/// What both kinds of connection have: bytes that wait to go out.
class Outgoing {
 public:
  bool add(const std::string& bytes, std::size_t most) {
    if (out_.size() - at_ + bytes.size() > most) return false;
    out_ += bytes;
    return true;
  }
  /// False where the connection is broken; `more`: something is left.
  bool write(Io& io, int socket, bool& more) {
    while (at_ < out_.size()) {
      iovec rest{out_.data() + at_, out_.size() - at_};
      ssize_t put = io.send(socket, &rest, 1);
      if (put == Io::kBroken) return false;
      if (put < 0) break;
      at_ += static_cast<std::size_t>(put);
    }
    more = at_ < out_.size();
    if (!more) clear();
    return true;
  }
  void clear() { out_.clear(), out_.shrink_to_fit(), at_ = 0; }
  bool empty() const { return at_ == out_.size(); }

 private:
  std::string out_;
  std::size_t at_ = 0;
};

class PeerTransport::Caller final : Watch::Target {
 public:
  Caller(PeerTransport& peers, Socket socket, std::uint64_t link)
      : peers_(peers),
        link_(link),
        socket_(std::move(socket)),
        watch_(peers.io_.watch(socket_.number(), *this)) {
    watch_->read(true);
  }
  void on_ready(unsigned what) override {
    if (closed_) return;
    if (what & Watch::kReadable) read();
    if ((what & Watch::kWritable) && !closed_) write();
  }
  void reply(const std::string& bytes) {
    if (closed_ || !out_.add(bytes, kMostWaiting)) return;
    write();
  }
  bool closed() const { return closed_; }

 private:
  void close() {
    closed_ = true;  // freed at the next sweep
    watch_->read(false);
  }
  void read() {
    std::size_t before = in_.size();
    in_.resize(before + kRead);
    ssize_t got = peers_.io_.recv(socket_.number(), in_.data() + before, kRead);
    in_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    if (got == Io::kAgain) return;
    if (got <= 0) return close();
    std::string frame;
    int taken = 0;
    while (!closed_ && (taken = decode_frame(in_, frame)) == 1) peers_.frames_(frame, link_);
    if (taken < 0) close();
    if (in_.empty()) in_.shrink_to_fit();
  }
  void write() {
    bool more = false;
    if (!out_.write(peers_.io_, socket_.number(), more)) return close();
    if (more) watch_->write_once();
  }

  PeerTransport& peers_;
  std::uint64_t link_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  std::string in_;
  Outgoing out_;
  bool closed_ = false;
};

class PeerTransport::Dialled final : Watch::Target {
 public:
  Dialled(PeerTransport& peers, const sockaddr_in& address) : peers_(peers), address_(address) {}

  void send(const std::string& bytes) {
    if (!socket_) dial();
    if (!socket_ || !out_.add(bytes, up_ ? kMostWaiting : kMostWhileDialling)) return;
    if (up_ && !waits_) write();
  }
  void on_ready(unsigned what) override {
    if (!up_ &&
        ((what & Watch::kTimeout) || peers_.io_.connected(socket_.number()) != CallResult::kDone))
      return drop();
    if (!up_) {
      up_ = true;
      wait_ = kDialAgain;
      watch_->read(true);  // it says nothing; its end is heard
    }
    if ((what & Watch::kReadable) && !(what & Watch::kWritable)) {
      char bytes[512];
      ssize_t got = peers_.io_.recv(socket_.number(), bytes, sizeof bytes);
      if (got != Io::kAgain) return drop();
      return;
    }
    waits_ = false;
    write();
  }

 private:
  void dial() {
    Micros now = peers_.io_.now();
    if (now < again_) return;
    CallResult result = peers_.io_.connect(address_, socket_);
    again_ = now + wait_ + static_cast<Micros>(peers_.random_() % static_cast<unsigned>(wait_));
    wait_ = std::min(2 * wait_, kSecond);
    if (result != CallResult::kDone) return;
    watch_ = peers_.io_.watch(socket_.number(), *this);
    watch_->write_once(kDialTime);
  }
  void drop() {
    // Not from within the watch's own call: the socket goes at the next send or sweep.
    watch_->read(false);
    out_.clear();
    up_ = waits_ = false;
    dead_ = true;
  }
  void write() {
    bool more = false;
    if (!out_.write(peers_.io_, socket_.number(), more)) return drop();
    waits_ = more;
    if (more) watch_->write_once();
  }

 public:
  void sweep() {
    if (!dead_) return;
    dead_ = false;
    watch_.reset();
    socket_.reset();
  }

 private:
  PeerTransport& peers_;
  sockaddr_in address_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  Outgoing out_;
  Micros again_ = 0, wait_ = kDialAgain;
  bool up_ = false, waits_ = false, dead_ = false;
};

PeerTransport::PeerTransport(Io& io, const std::map<std::string, std::string>& addresses,
                             Frames frames, std::function<std::uint64_t()> random)
    : io_(io),
      frames_(std::move(frames)),
      random_(std::move(random)),
      sweep_alarm_(io.alarm([this] { sweep(); })) {
  for (const auto& [name, text] : addresses)
    if (auto address = parse_address(text))
      dialled_[name] = std::make_unique<Dialled>(*this, *address);
  sweep_alarm_->set(kSweep);
}

PeerTransport::~PeerTransport() = default;

bool PeerTransport::listen(const sockaddr_in& address, std::string& error) {
  listener_ = io_.listen(address, error);
  if (!listener_) return false;
  accept_watch_ = io_.watch(listener_.number(), *this);
  accept_watch_->read(true);
  return true;
}

void PeerTransport::on_ready(unsigned) {
  for (int most = 16; most-- > 0;) {
    Socket socket;
    Io::Accepted accepted = io_.accept(listener_.number(), socket);
    if (accepted == Io::Accepted::kNoDescriptor || accepted == Io::Accepted::kTransientError)
      accept_watch_->read(false);  // the sweep tries again
    if (accepted != Io::Accepted::kOne) return;
    if (callers_.size() >= kMostCallers) callers_.erase(callers_.begin());
    std::uint64_t link = next_link_++;
    callers_[link] = std::make_unique<Caller>(*this, std::move(socket), link);
  }
}

void PeerTransport::sweep() {
  sweep_alarm_->set(kSweep);
  if (accept_watch_) accept_watch_->read(true);
  std::erase_if(callers_, [](const auto& c) { return c.second->closed(); });
  for (auto& [name, dialled] : dialled_) dialled->sweep();
}

void PeerTransport::send(const std::string& name, const std::string& frame) {
  auto it = dialled_.find(name);
  if (it != dialled_.end() && frame.size() <= kMostFrame) it->second->send(encode_frame(frame));
}

void PeerTransport::reply(std::uint64_t link, const std::string& frame) {
  auto it = callers_.find(link);
  if (it != callers_.end() && frame.size() <= kMostFrame) it->second->reply(encode_frame(frame));
}

std::string PeerTransport::encode_frame(const std::string& frame) {
  std::string bytes(kHead, '\0');
  std::uint64_t sum = XXH3_64bits(frame.data(), frame.size());
  for (std::size_t i = 0; i < 4; ++i) bytes[i] = static_cast<char>(frame.size() >> (8 * i));
  for (std::size_t i = 0; i < 8; ++i) bytes[4 + i] = static_cast<char>(sum >> (8 * i));
  return bytes + frame;
}

int PeerTransport::decode_frame(std::string& bytes, std::string& frame) {
  if (bytes.size() < kHead) return 0;
  auto number = [&](std::size_t from, std::size_t count) {
    std::uint64_t n = 0;
    for (std::size_t i = count; i-- > 0;) n = n << 8 | static_cast<unsigned char>(bytes[from + i]);
    return n;
  };
  std::uint64_t size = number(0, 4);
  if (size > kMostFrame) return -1;
  if (bytes.size() < kHead + size) return 0;
  frame.assign(bytes, kHead, size);
  if (XXH3_64bits(frame.data(), frame.size()) != number(4, 8)) return -1;
  bytes.erase(0, kHead + size);
  return 1;
}

}  // namespace violetusher::net
