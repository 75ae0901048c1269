#include "reserved_port.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstring>
#include <stdexcept>

namespace violetusher::kit {

ReservedPort reserve_port() {
  ReservedPort port{net::Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), 0};
  int yes = 1;
  ::setsockopt(port.holder.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(port.holder.get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(port.holder.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error(std::string("no port can be reserved: ") + std::strerror(errno));
  port.number = ntohs(address.sin_port);
  return port;
}

}  // namespace violetusher::kit
