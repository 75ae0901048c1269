#include "relay.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>

#include <algorithm>
#include <stdexcept>

#include "net/peer_transport.hpp"

namespace violetusher::chaos {
namespace {

constexpr std::size_t kMostHeld = 32u << 20;  // of one connection, while it waits
constexpr Micros kShuffle = 400'000;

struct BufferFree {
  void operator()(bufferevent* b) const { bufferevent_free(b); }
};

}  // namespace

struct Relay::Pair : std::enable_shared_from_this<Pair> {
  Relay* relay = nullptr;
  std::unique_ptr<bufferevent, BufferFree> from, to;
  std::string in;  // not yet a whole frame
  std::size_t held = 0;
  Micros last = 0;  // when the last bytes were let go
  bool closed = false;
};

Relay::Relay(kit::Loop& loop, const std::string& to, const LinkState& state,
             std::function<std::uint64_t()> random)
    : loop_(loop), to_(to), state_(state), random_(std::move(random)) {
  sockaddr_in any = *net::parse_address("127.0.0.1:0", true);
  listener_.reset(
      evconnlistener_new_bind(loop.base(), on_accept, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 64,
                              reinterpret_cast<sockaddr*>(&any), sizeof any));
  if (!listener_) throw std::runtime_error("no port for a relay");
}

Relay::~Relay() = default;

std::string Relay::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address),
                &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void Relay::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
  auto& relay = *static_cast<Relay*>(self);
  auto& pairs = relay.pairs_;
  std::erase_if(pairs, [](const auto& p) { return p->closed; });
  auto pair = std::make_shared<Pair>();
  pair->relay = &relay;
  pair->from.reset(bufferevent_socket_new(relay.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  if (relay.state_.reset) return;
  pair->to.reset(bufferevent_socket_new(relay.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_in to = *net::parse_address(relay.to_);
  for (bufferevent* b : {pair->from.get(), pair->to.get()}) {
    bufferevent_setcb(b, b == pair->from.get() ? on_read : nullptr, nullptr, on_event, pair.get());
    bufferevent_enable(b, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(pair->to.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  pairs.push_back(std::move(pair));
}

void Relay::on_event(bufferevent* which, short what, void* at) {
  auto& pair = *static_cast<Pair*>(at);
  if (what & BEV_EVENT_CONNECTED) return;
  // Its own end is heard of by the other; while the link is cut nobody hears of anything.
  pair.closed = true;
  for (auto* b : {pair.from.get(), pair.to.get()}) bufferevent_disable(b, EV_READ | EV_WRITE);
  (void)which;
  // Not from within its own callback.
  pair.relay->loop_.at(pair.relay->loop_.now(), [kept = pair.shared_from_this()] {
    kept->from.reset();
    kept->to.reset();
  });
}

void Relay::on_read(bufferevent* from, void* at) {
  auto& pair = *static_cast<Pair*>(at);
  evbuffer* input = bufferevent_get_input(from);
  std::size_t size = evbuffer_get_length(input), before = pair.in.size();
  pair.in.resize(before + size);
  evbuffer_remove(input, pair.in.data() + before, size);
  pair.relay->carry(pair);
}

/// Frame by frame, as what is lost, doubled or shuffled is a frame.
void Relay::carry(Pair& pair) {
  std::string frame;
  while (net::PeerTransport::decode_frame(pair.in, frame) == 1) {
    if (state_.reset) return on_event(pair.from.get(), BEV_EVENT_EOF, &pair);
    if (state_.cut || pair.held > kMostHeld) continue;
    std::string bytes = net::PeerTransport::encode_frame(frame);
    if (state_.spoil && random_() % 3 == 0)
      bytes[random_() % bytes.size()] ^= static_cast<char>(1u << random_() % 8);
    auto kept = pair.shared_from_this();
    if (state_.shuffle) {
      pass(kept, bytes, static_cast<Micros>(random_() % kShuffle));
      pass(kept, bytes, static_cast<Micros>(random_() % kShuffle));
    } else {
      Micros when = std::max(pair.last, loop_.now() + state_.delay);
      if (state_.rate > 0)
        when += static_cast<Micros>(static_cast<double>(bytes.size()) * 1e6 / state_.rate);
      pair.last = when;
      pass(kept, std::move(bytes), when - loop_.now());
    }
  }
}

void Relay::pass(const std::shared_ptr<Pair>& pair, std::string bytes, Micros wait) {
  pair->held += bytes.size();
  carried_ += bytes.size();
  auto write = [this, pair](const std::string& out) {
    pair->held -= out.size();
    if (!pair->closed && pair->to && !state_.cut)
      bufferevent_write(pair->to.get(), out.data(), out.size());
  };
  if (wait <= 0) return write(bytes);
  loop_.at(loop_.now() + wait, [write, bytes = std::move(bytes)] { write(bytes); });
}

}  // namespace violetusher::chaos
