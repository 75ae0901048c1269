#include "operator_listener.hpp"

#include <algorithm>

#include "core/ops/operator_command.hpp"

namespace violetusher::net {
namespace {

// A line must come within this, and an answer be taken. Callers that say nothing stay for 4 s.
constexpr Micros kCallTime = 2 * kSecond;
// After our end the caller's is waited for, so that no reset takes the answer away.
constexpr Micros kLingerTime = kSecond / 2;
constexpr Micros kSweep = kSecond / 10;

}  // namespace

class OperatorListener::Caller final : Watch::Target {
 public:
  Caller(OperatorListener& side, Socket socket)
      : side_(side),
        socket_(std::move(socket)),
        watch_(side.io_.watch(socket_.number(), *this)),
        until_(side.io_.now() + kCallTime) {
    watch_->read(true);
  }

  void on_ready(unsigned what) override {
    if (what & Watch::kReadable) read();
    if ((what & Watch::kWritable) && !closed_) write();
  }

  bool overdue(Micros now) const { return closed_ || now > until_; }

 private:
  void read() {
    char bytes[core::ops::kMaxCommandBytes];
    ssize_t got = side_.io_.recv(socket_.number(), bytes, sizeof bytes);
    if (got == Io::kAgain) return;
    if (got < 0 || (got == 0 && answered_)) {
      closed_ = true;
      watch_->read(false);
      return;
    }
    if (answered_) return;  // more than one line: dropped
    line_.append(bytes, static_cast<std::size_t>(got));
    std::size_t end = line_.find('\n');
    if (end == line_.npos && got > 0 && line_.size() < core::ops::kMaxCommandBytes) return;
    if (got == 0 && line_.empty()) {
      closed_ = true;
      watch_->read(false);
      return;
    }
    answered_ = true;
    if (end == line_.npos) {
      out_ = "FAILURE no whole line\r\n";
    } else {
      line_.resize(end);
      if (!line_.empty() && line_.back() == '\r') line_.pop_back();
      auto now = side_.answer_(line_, [weak = std::weak_ptr<Caller*>(self_)](std::string text) {
        if (auto caller = weak.lock()) (*caller)->say(std::move(text));
      });
      if (now) out_ = std::move(*now);
    }
    if (got == 0) watch_->read(false);
    if (!out_.empty()) write();
  }

  void say(std::string text) {
    if (closed_) return;
    out_ = std::move(text);
    write();
  }

  void write() {
    while (!out_.empty()) {
      iovec rest{out_.data(), out_.size()};
      ssize_t put = side_.io_.send(socket_.number(), &rest, 1);
      if (put == Io::kBroken) {
        closed_ = true;
        watch_->read(false);
        return;
      }
      if (put < 0) {
        watch_->write_once();
        return;
      }
      out_.erase(0, static_cast<std::size_t>(put));
    }
    side_.io_.shutdown_send(socket_.number());
    until_ = side_.io_.now() + kLingerTime;
  }

  OperatorListener& side_;
  Socket socket_;
  std::unique_ptr<Watch> watch_;
  std::shared_ptr<Caller*> self_ = std::make_shared<Caller*>(this);
  std::string line_, out_;
  bool answered_ = false;
  bool closed_ = false;  // freed at the next sweep
  Micros until_;
};

OperatorListener::OperatorListener(Io& io, Answer answer)
    : io_(io), answer_(std::move(answer)), sweep_alarm_(io.alarm([this] { sweep(); })) {}

OperatorListener::~OperatorListener() = default;

bool OperatorListener::listen(const sockaddr_in& address, std::string& error) {
  listener_ = io_.listen(address, error);
  if (!listener_) return false;
  accept_watch_ = io_.watch(listener_.number(), *this);
  accept_watch_->read(true);
  sweep_alarm_->set(kSweep);
  return true;
}

void OperatorListener::on_ready(unsigned) {
  for (int most = 8; most-- > 0;) {
    if (callers_.size() >= kMaxConnections) callers_.erase(callers_.begin());
    Socket socket;
    Io::Accepted accepted = io_.accept(listener_.number(), socket);
    if (accepted == Io::Accepted::kNoDescriptor && !callers_.empty())
      callers_.erase(callers_.begin());
    if (accepted == Io::Accepted::kNoDescriptor || accepted == Io::Accepted::kTransientError)
      accept_watch_->read(false);  // the sweep tries again
    if (accepted != Io::Accepted::kOne) return;
    callers_.push_back(std::make_unique<Caller>(*this, std::move(socket)));
  }
}

void OperatorListener::sweep() {
  sweep_alarm_->set(kSweep);
  accept_watch_->read(true);
  Micros now = io_.now();
  callers_.erase(std::remove_if(callers_.begin(), callers_.end(),
                                [now](const auto& c) { return c->overdue(now); }),
                 callers_.end());
}

}  // namespace violetusher::net
