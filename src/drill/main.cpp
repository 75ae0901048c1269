// Speaks the simulator's wire on standard input and output; see wire.hpp.
#include <iostream>
#include <string>

#include "wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  robinseam::drill::Adapter adapter;
  std::string line;
  std::uint64_t number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++number;
      if (line.empty()) continue;
      std::string reply = adapter.take(line);
      if (!reply.empty()) std::cout << reply << std::flush;
    }
    if (adapter.in_batch()) throw robinseam::drill::WireError("input ends inside a batch");
  } catch (const std::exception& e) {
    std::cerr << "robinseam_drill: line " << number << ": " << e.what() << '\n';
    return 1;
  }
  return 0;
}
