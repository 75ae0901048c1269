#include "operator_listener.hpp"

#include <algorithm>

#include "core/ops/operator_command.hpp"

namespace violetusher::net {
namespace {

// The command must arrive, and the answer be accepted, within this time. Callers that send nothing
// keep their connections for 4 s.
constexpr Micros kCommandTimeout = 2 * kSecond;
// After the sending side is shut down, time for the peer to close: closing earlier could send a
// reset that destroys the answer.
constexpr Micros kLingerTimeout = kSecond / 2;
constexpr Micros kSweepInterval = kSecond / 10;

}  // namespace

class OperatorListener::Connection final : Watch::Target {
 public:
  Connection(OperatorListener& owner, Socket socket)
      : owner_(owner),
        socket_(std::move(socket)),
        watch_(owner.io_.watch(socket_.number(), *this)),
        deadline_(owner.io_.now() + kCommandTimeout) {
    watch_->read(true);
  }

  void on_ready(unsigned what) override {
    if (what & Watch::kReadable) read();
    if ((what & Watch::kWritable) && !closed_) write();
  }

  bool is_expired(Micros now) const { return closed_ || now > deadline_; }

 private:
  void read() {
    char bytes[core::ops::kMaxCommandBytes];
    ssize_t received = owner_.io_.recv(socket_.number(), bytes, sizeof bytes);
    if (received == Io::kAgain) return;
    if (received < 0 || (received == 0 && answered_)) {
      closed_ = true;
      watch_->read(false);
      return;
    }
    if (answered_) return;  // input behind the first line is ignored
    line_.append(bytes, static_cast<std::size_t>(received));
    std::size_t end = line_.find('\n');
    if (end == line_.npos && received > 0 && line_.size() < core::ops::kMaxCommandBytes) return;
    if (received == 0 && line_.empty()) {
      closed_ = true;
      watch_->read(false);
      return;
    }
    answered_ = true;
    if (end == line_.npos) {
      output_ = "FAILURE no whole line\r\n";
    } else {
      line_.resize(end);
      if (!line_.empty() && line_.back() == '\r') line_.pop_back();
      auto answer =
          owner_.handler_(line_, [weak = std::weak_ptr<Connection*>(self_)](std::string text) {
            if (auto connection = weak.lock()) (*connection)->respond(std::move(text));
          });
      if (answer) output_ = std::move(*answer);
    }
    if (received == 0) watch_->read(false);
    if (!output_.empty()) write();
  }

  void respond(std::string text) {
    if (closed_) return;
    output_ = std::move(text);
    write();
  }

  void write() {
    while (!output_.empty()) {
      iovec rest{output_.data(), output_.size()};
      ssize_t sent = owner_.io_.send(socket_.number(), &rest, 1);
      if (sent == Io::kBroken) {
        closed_ = true;
        watch_->read(false);
        return;
      }
      if (sent < 0) {
        watch_->write_once();
        return;
      }
      output_.erase(0, static_cast<std::size_t>(sent));
    }
    owner_.io_.shutdown_send(socket_.number());
    deadline_ = owner_.io_.now() + kLingerTimeout;
  }

  OperatorListener& owner_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  std::shared_ptr<Connection*> self_ = std::make_shared<Connection*>(this);
  std::string line_, output_;
  bool answered_ = false;
  bool closed_ = false;  // freed at the next sweep
  Micros deadline_;
};

OperatorListener::OperatorListener(Io& io, CommandHandler handler)
    : io_(io), handler_(std::move(handler)), sweep_alarm_(io.alarm([this] { sweep(); })) {}

OperatorListener::~OperatorListener() = default;

bool OperatorListener::listen(const sockaddr_in& address, std::string& error) {
  listener_ = io_.listen(address, error);
  if (!listener_) return false;
  accept_watch_ = io_.watch(listener_.number(), *this);
  accept_watch_->read(true);
  sweep_alarm_->set(kSweepInterval);
  return true;
}

void OperatorListener::on_ready(unsigned) {
  for (int remaining = 8; remaining-- > 0;) {
    if (connections_.size() >= kMaxConnections) connections_.erase(connections_.begin());
    Socket socket;
    Io::Accepted accepted = io_.accept(listener_.number(), socket);
    if (accepted == Io::Accepted::kNoDescriptor && !connections_.empty())
      connections_.erase(connections_.begin());
    if (accepted == Io::Accepted::kNoDescriptor || accepted == Io::Accepted::kTransientError)
      accept_watch_->read(false);  // resumed by the next sweep
    if (accepted == Io::Accepted::kAborted) continue;
    if (accepted != Io::Accepted::kOne) return;
    connections_.push_back(std::make_unique<Connection>(*this, std::move(socket)));
  }
}

void OperatorListener::sweep() {
  sweep_alarm_->set(kSweepInterval);
  accept_watch_->read(true);
  Micros now = io_.now();
  connections_.erase(std::remove_if(connections_.begin(), connections_.end(),
                                    [now](const auto& c) { return c->is_expired(now); }),
                     connections_.end());
}

}  // namespace violetusher::net
