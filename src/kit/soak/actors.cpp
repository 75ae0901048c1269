// Implements the threads that act on the routers of a soak run.
#include "actors.hpp"

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace violetusher::soak {
namespace {

constexpr Micros kMillisecond = 1000, kSecond = 1'000'000;
constexpr Micros kClockPollInterval = 5 * kMillisecond;
constexpr Micros kResponseTimeout = 2 * kSecond;
// A call that failed because its router was down is retried.
constexpr Micros kRetryInterval = 200 * kMillisecond;
constexpr Micros kSlowStepInterval = 5 * kMillisecond;

constexpr int kFieldsOfALongHead = 150, kLongHeadsAtOnce = 200;

/// Sends a command line and returns the response; what was received by the timeout if it is
/// incomplete.
std::string send_command(const std::string& address, const std::string& line) {
  net::Fd fd = connect_to(address);
  if (!fd || ::send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL) < 0) return {};
  std::string text;
  for (Micros waited = 0; waited < kResponseTimeout; waited += 50 * kMillisecond) {
    pollfd ready{fd.get(), POLLIN, 0};
    if (::poll(&ready, 1, 50) <= 0) continue;
    char bytes[256];
    ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (got <= 0) break;
    text.append(bytes, static_cast<std::size_t>(got));
    if (text.find('\n') != text.npos) break;
  }
  return text;
}

void send_all(int fd, const std::string& text) {
  ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

/// What a misbehaving client sends on a new connection, the `turn`th of its crowd.
void misbehave(int fd, MisbehavingClients::Kind kind, std::size_t turn) {
  std::string number = std::to_string(turn);
  switch (kind) {
    case MisbehavingClients::Kind::kIdle:
      if (turn % 3 == 1) send_all(fd, "mg k");
      if (turn % 7 == 2) send_all(fd, "mn\r\n");
      return;
    case MisbehavingClients::Kind::kHalfWay:
      return send_all(fd, "ms k" + number + " 60000 Ohalf" + number +
                              " Pc=sale-record,t=selam-stores,d=900,k=h" + number + "\r\n" +
                              std::string(30'000, 'v'));
    case MisbehavingClients::Kind::kFlood: {
      std::string lines;
      for (int k = 0; k < 500; ++k) lines += "mn\r\n";
      for (int k = 0; k < 50; ++k)
        lines += "mg k v Of" + number + " Pc=no-class-" + number + "\r\n";
      return send_all(fd, lines);
    }
    case MisbehavingClients::Kind::kLeavers: {
      std::string lines;
      for (int k = 0; k < 8; ++k)
        lines += "mg k" + number + " v Ol" + number + "-" + std::to_string(k) +
                 " Pc=price-lookup,t=selam-stores,d=300\r\n";
      send_all(fd, lines);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      ::shutdown(fd, SHUT_RDWR);
      return;
    }
    case MisbehavingClients::Kind::kLongHeads: {
      std::string fields;
      for (int k = 0; k < kFieldsOfALongHead; ++k)
        fields += ",f" + std::to_string(k) + "=" + number;
      std::string lines;
      for (int k = 0; k < kLongHeadsAtOnce; ++k)
        lines += "mg k" + number + " v Oh" + number + "-" + std::to_string(k) +
                 " Pc=price-lookup,t=selam-stores,d=300" + fields + "\r\n";
      return send_all(fd, lines);
    }
  }
}

}  // namespace

Actors::Actors(const Schedule& schedule, std::vector<Router> routers)
    : schedule_(schedule), routers_(std::move(routers)) {}

void Actors::start(const net::Clock& clock, Micros origin) {
  clock_ = &clock;
  origin_ = origin;
  for (const Ban& one : schedule_.bans) threads_.emplace_back([this, &one] { ban(one); });
  for (const Signals& one : schedule_.signals) threads_.emplace_back([this, &one] { signal(one); });
  for (const MisbehavingClients& one : schedule_.misbehaving)
    threads_.emplace_back([this, &one] { misbehaving_clients(one); });
  for (const SlowClients& one : schedule_.slow_clients)
    threads_.emplace_back([this, &one] { slow_clients(one); });
}

void Actors::join() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  std::sort(calls_.begin(), calls_.end(),
            [](const BanCall& a, const BanCall& b) { return a.called < b.called; });
}

/// Returns false if the run ends first.
bool Actors::wait_until(Micros at) const {
  while (!stop_ && clock_->now() < origin_ + at)
    std::this_thread::sleep_for(std::chrono::microseconds(kClockPollInterval));
  return !stop_;
}

void Actors::ban(const Ban& ban) {
  if (wait_until(ban.from)) call(ban, true);
  if (wait_until(ban.until)) call(ban, false);
}

void Actors::call(const Ban& ban, bool offline) {
  const Router& router = routers_[static_cast<std::size_t>(ban.router)];
  for (int tries = 0; tries < 10 && !stop_; ++tries) {
    BanCall call{ban.router, ban.server, offline, clock_->now(), 0, false};
    std::string answer =
        send_command(router.operators, (offline ? "OFFLINE " : "ONLINE ") + ban.server + "\r\n");
    bool complete = answer.find('\n') != answer.npos;
    call.answered = complete ? clock_->now() : 0;
    call.accepted = complete && answer.rfind("SUCCESS", 0) == 0;
    {
      std::lock_guard lock(mutex_);
      calls_.push_back(call);
    }
    if (call.accepted) return;
    std::this_thread::sleep_for(std::chrono::microseconds(kRetryInterval));
  }
}

void Actors::signal(const Signals& signals) {
  if (!wait_until(signals.at)) return;
  for (int k = 0; k < signals.count && !stop_; ++k) {
    int pid = routers_[static_cast<std::size_t>(signals.router)].pid();
    if (pid > 0) ::kill(pid, signals.number);
    std::this_thread::sleep_for(std::chrono::microseconds(signals.interval));
  }
}

/// Steps all sessions of a crowd; starts new ones until its end, then lets the open ones finish.
void Actors::slow_clients(const SlowClients& clients) {
  if (!wait_until(clients.from)) return;
  const std::string& address = routers_[static_cast<std::size_t>(clients.router)].clients;
  std::vector<std::unique_ptr<SlowSession>> open(static_cast<std::size_t>(clients.connections));
  bool all_ended = false;
  while (!stop_ && !all_ended) {
    Micros now = clock_->now();
    all_ended = now >= origin_ + clients.until;
    for (auto& session : open) {
      if (!session && now < origin_ + clients.until)
        session = std::make_unique<SlowSession>(clients.router, clients.kind, address,
                                                next_slow_session_++, now);
      if (!session) continue;
      session->step(now);
      all_ended = all_ended && session->ended();
      if (!session->ended()) continue;
      std::lock_guard lock(mutex_);
      if (session->record().connected) slow_sessions_.push_back(session->record());
      session.reset();
    }
    std::this_thread::sleep_for(std::chrono::microseconds(kSlowStepInterval));
  }
}

/// Connects the clients, and closes and reconnects them in turn.
void Actors::misbehaving_clients(const MisbehavingClients& misbehaving_clients) {
  if (!wait_until(misbehaving_clients.from)) return;
  const Router& router = routers_[static_cast<std::size_t>(misbehaving_clients.router)];
  std::vector<net::Fd> open(static_cast<std::size_t>(misbehaving_clients.connections));
  for (std::size_t turn = 0; !stop_ && clock_->now() < origin_ + misbehaving_clients.until;
       ++turn) {
    net::Fd& one = open[turn % open.size()];
    one = connect_to(router.clients);
    if (one) misbehave(one.get(), misbehaving_clients.kind, turn);
    std::this_thread::sleep_for(std::chrono::microseconds(2 * kMillisecond));
  }
}

}  // namespace violetusher::soak
