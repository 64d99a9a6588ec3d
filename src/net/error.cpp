#include "net/error.h"

#include <string>

namespace lentilrack::net {

namespace {

class NetCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "net"; }

  std::string message(int value) const override
  {
    switch (static_cast<NetError>(value)) {
      case NetError::ConnectFailed:
        return "connection could not be made";
      case NetError::ConnectionLost:
        return "connection lost";
      case NetError::TimedOut:
        return "timed out";
      case NetError::Cancelled:
        return "cancelled";
      case NetError::NotStarted:
        return "not started";
      case NetError::BadMessage:
        return "malformed or oversized message";
      case NetError::NotAuthenticated:
        return "peer is not authenticated";
      case NetError::Rejected:
        return "rejected by the peer";
      case NetError::AddressInUse:
        return "address cannot be bound";
      case NetError::RateLimited:
        return "no permit for the server's request rate";
      case NetError::InvalidRequest:
        return "request that cannot be sent";
      case NetError::HeadTooLarge:
        return "head of the request is too large";
      case NetError::BodyTooLarge:
        return "body of the request is too large";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
netCategory()
{
  static const NetCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(NetError error) // NOLINT: name required by the library
{
  return { static_cast<int>(error), netCategory() };
}

} // namespace lentilrack::net
