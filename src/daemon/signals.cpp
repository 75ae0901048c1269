#include "daemon/signals.hpp"

#include <array>
#include <csignal>

namespace violetusher {
namespace {

constexpr int kSignalCount = 65;
std::array<volatile std::sig_atomic_t, kSignalCount> pending;

void on_signal(int number) { pending[static_cast<std::size_t>(number)] = 1; }

}  // namespace

void capture_signal(int number) {
  struct sigaction action {};
  action.sa_handler = on_signal;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  ::sigaction(number, &action, nullptr);
}

bool consume_signal(int number) {
  auto& flag = pending[static_cast<std::size_t>(number)];
  if (!flag) return false;
  flag = 0;
  return true;
}

}  // namespace violetusher
