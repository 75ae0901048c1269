#include "call_result.hpp"

#include <cstring>

namespace violetusher::net {

CallResult classify_error(int error) {
  switch (error) {
    case 0:
      return CallResult::kDone;
    case EAGAIN:
      return CallResult::kWouldBlock;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:
    case EDQUOT:
    case EIO:
    case ENOLCK:
    case EBUSY:
    case EINTR:
    case EADDRNOTAVAIL:
    case ENETDOWN:
    case ENETUNREACH:
      return CallResult::kTransientError;
    default:
      return CallResult::kPermanentError;
  }
}

CallResult classify_connection_error(int error) {
  switch (error) {
    case EADDRNOTAVAIL:
    case EIO:
    case ENETDOWN:
    case ENETUNREACH:
      return CallResult::kPermanentError;
    default:
      return classify_error(error);
  }
}

bool affects_one_connection(int error) {
  switch (error) {
    case ECONNABORTED:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENETDOWN:
    case ENETUNREACH:
    case ENONET:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case EPERM:
    case EPROTO:
    case ETIMEDOUT:
      return true;
    default:
      return false;
  }
}

std::string CallStatus::reason() const { return std::strerror(error); }

}  // namespace violetusher::net
