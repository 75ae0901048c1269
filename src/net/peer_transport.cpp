#include "peer_transport.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace violetusher::net {
namespace {

constexpr Micros kConnectTimeout = kSecond / 2;
constexpr Micros kMinReconnectDelay = kSecond / 10;  // plus up to as much jitter; doubled up to 1 s
constexpr Micros kSweepInterval = kSecond / 5;
constexpr std::size_t kReadBytes = 64u << 10;
constexpr std::size_t kMaxBufferedWhileConnectingBytes = 256u << 10;

}  // namespace

/// The unsent bytes of a connection.
class SendBuffer {
 public:
  bool add(const std::string& bytes, std::size_t max_bytes) {
    if (bytes_.size() - sent_ + bytes.size() > max_bytes) return false;
    bytes_ += bytes;
    return true;
  }
  /// False if the connection is broken; `more` is set if bytes are left.
  bool write(Io& io, int socket, bool& more) {
    while (sent_ < bytes_.size()) {
      iovec rest{bytes_.data() + sent_, bytes_.size() - sent_};
      ssize_t sent = io.send(socket, &rest, 1);
      if (sent == Io::kBroken) return false;
      if (sent < 0) break;
      sent_ += static_cast<std::size_t>(sent);
    }
    more = sent_ < bytes_.size();
    if (!more) clear();
    return true;
  }
  void clear() { bytes_.clear(), bytes_.shrink_to_fit(), sent_ = 0; }
  bool empty() const { return sent_ == bytes_.size(); }

 private:
  std::string bytes_;
  std::size_t sent_ = 0;
};

class PeerTransport::InboundConnection final : Watch::Target {
 public:
  InboundConnection(PeerTransport& peers, Socket socket, std::uint64_t link)
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
    if (closed_ || !output_.add(bytes, kMaxBufferedBytes)) return;
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
    in_.resize(before + kReadBytes);
    ssize_t received = peers_.io_.recv(socket_.number(), in_.data() + before, kReadBytes);
    in_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
    if (received == Io::kAgain) return;
    if (received <= 0) return close();
    std::string frame;
    int result = 0;
    while (!closed_ && (result = decode_frame(in_, frame)) == 1) peers_.on_frame_(frame, link_);
    if (result < 0) close();
    if (in_.empty()) in_.shrink_to_fit();
  }
  void write() {
    bool more = false;
    if (!output_.write(peers_.io_, socket_.number(), more)) return close();
    if (more) watch_->write_once();
  }

  PeerTransport& peers_;
  std::uint64_t link_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  std::string in_;
  SendBuffer output_;
  bool closed_ = false;
};

class PeerTransport::OutboundConnection final : Watch::Target {
 public:
  OutboundConnection(PeerTransport& peers, const sockaddr_in& address)
      : peers_(peers), address_(address) {}

  void send(const std::string& bytes) {
    if (!socket_) connect();
    if (!socket_ ||
        !output_.add(bytes, connected_ ? kMaxBufferedBytes : kMaxBufferedWhileConnectingBytes))
      return;
    if (connected_ && !write_pending_) write();
  }
  void on_ready(unsigned what) override {
    if (!connected_ &&
        ((what & Watch::kTimeout) || peers_.io_.connected(socket_.number()) != CallResult::kDone))
      return disconnect();
    if (!connected_) {
      connected_ = true;
      reconnect_delay_ = kMinReconnectDelay;
      watch_->read(true);  // the peer sends nothing; reading detects its close
    }
    if ((what & Watch::kReadable) && !(what & Watch::kWritable)) {
      char bytes[512];
      ssize_t received = peers_.io_.recv(socket_.number(), bytes, sizeof bytes);
      if (received != Io::kAgain) return disconnect();
      return;
    }
    write_pending_ = false;
    write();
  }

 private:
  void connect() {
    Micros now = peers_.io_.now();
    if (now < next_attempt_at_) return;
    CallResult result = peers_.io_.connect(address_, socket_);
    next_attempt_at_ =
        now + reconnect_delay_ +
        static_cast<Micros>(peers_.random_() % static_cast<unsigned>(reconnect_delay_));
    reconnect_delay_ = std::min(2 * reconnect_delay_, kSecond);
    if (result != CallResult::kDone) return;
    watch_ = peers_.io_.watch(socket_.number(), *this);
    watch_->write_once(kConnectTimeout);
  }
  void disconnect() {
    // The watch must not be freed inside its own callback: the next sweep closes the socket.
    watch_->read(false);
    output_.clear();
    connected_ = write_pending_ = false;
    broken_ = true;
  }
  void write() {
    bool more = false;
    if (!output_.write(peers_.io_, socket_.number(), more)) return disconnect();
    write_pending_ = more;
    if (more) watch_->write_once();
  }

 public:
  void sweep() {
    if (!broken_) return;
    broken_ = false;
    watch_.reset();
    socket_.reset();
  }

 private:
  PeerTransport& peers_;
  sockaddr_in address_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  SendBuffer output_;
  Micros next_attempt_at_ = 0, reconnect_delay_ = kMinReconnectDelay;
  bool connected_ = false, write_pending_ = false, broken_ = false;
};

PeerTransport::PeerTransport(Io& io, const std::map<std::string, std::string>& addresses,
                             FrameHandler on_frame, std::function<std::uint64_t()> random)
    : io_(io),
      on_frame_(std::move(on_frame)),
      random_(std::move(random)),
      sweep_alarm_(io.alarm([this] { sweep(); })) {
  for (const auto& [name, text] : addresses)
    if (auto address = parse_address(text))
      outbound_[name] = std::make_unique<OutboundConnection>(*this, *address);
  sweep_alarm_->set(kSweepInterval);
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
  for (int remaining = 16; remaining-- > 0;) {
    Socket socket;
    Io::Accepted accepted = io_.accept(listener_.number(), socket);
    if (accepted == Io::Accepted::kNoDescriptor || accepted == Io::Accepted::kTransientError)
      accept_watch_->read(false);  // resumed by the next sweep
    if (accepted == Io::Accepted::kAborted) continue;
    if (accepted != Io::Accepted::kOne) return;
    if (inbound_.size() >= kMaxInboundConnections) inbound_.erase(inbound_.begin());
    std::uint64_t link = next_link_++;
    inbound_[link] = std::make_unique<InboundConnection>(*this, std::move(socket), link);
  }
}

void PeerTransport::sweep() {
  sweep_alarm_->set(kSweepInterval);
  if (accept_watch_) accept_watch_->read(true);
  std::erase_if(inbound_, [](const auto& c) { return c.second->closed(); });
  for (auto& [name, connection] : outbound_) connection->sweep();
}

void PeerTransport::send(const std::string& name, const std::string& frame) {
  auto it = outbound_.find(name);
  if (it != outbound_.end() && frame.size() <= kMaxFrameBytes)
    it->second->send(encode_frame(frame));
}

void PeerTransport::reply(std::uint64_t link, const std::string& frame) {
  auto it = inbound_.find(link);
  if (it != inbound_.end() && frame.size() <= kMaxFrameBytes)
    it->second->reply(encode_frame(frame));
}

std::string PeerTransport::encode_frame(const std::string& frame) {
  std::string bytes(kHeaderBytes, '\0');
  std::uint64_t sum = XXH3_64bits(frame.data(), frame.size());
  for (std::size_t i = 0; i < 4; ++i) bytes[i] = static_cast<char>(frame.size() >> (8 * i));
  for (std::size_t i = 0; i < 8; ++i) bytes[4 + i] = static_cast<char>(sum >> (8 * i));
  return bytes + frame;
}

int PeerTransport::decode_frame(std::string& bytes, std::string& frame) {
  if (bytes.size() < kHeaderBytes) return 0;
  auto number = [&](std::size_t from, std::size_t count) {
    std::uint64_t n = 0;
    for (std::size_t i = count; i-- > 0;) n = n << 8 | static_cast<unsigned char>(bytes[from + i]);
    return n;
  };
  std::uint64_t size = number(0, 4);
  if (size > kMaxFrameBytes) return -1;
  if (bytes.size() < kHeaderBytes + size) return 0;
  frame.assign(bytes, kHeaderBytes, size);
  if (XXH3_64bits(frame.data(), frame.size()) != number(4, 8)) return -1;
  bytes.erase(0, kHeaderBytes + size);
  return 1;
}

}  // namespace violetusher::net
