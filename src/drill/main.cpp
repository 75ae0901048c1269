// Serves the simulator's line protocol on standard input and output; see wire.hpp.
#include <iostream>
#include <string>

#include "wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  violetusher::drill::Adapter adapter;
  std::string line;
  std::uint64_t line_number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++line_number;
      if (line.empty()) continue;
      std::string reply = adapter.process_line(line);
      if (!reply.empty()) std::cout << reply << std::flush;
    }
    if (adapter.in_batch()) throw violetusher::protocol::WireError("input ends inside a batch");
  } catch (const std::exception& e) {
    std::cerr << "violetusher_drill: line " << line_number << ": " << e.what() << '\n';
    return 1;
  }
  return 0;
}
