#pragma once

#include <system_error>

namespace lentilrack::net {

/// Errors of the net layer. Errors of Asio and Beast are mapped to these.
enum class NetError
{
  ConnectFailed = 1,
  /// The connection was lost before the response was complete.
  ConnectionLost,
  TimedOut,
  Cancelled,
  /// HttpCall::beforeFirstByte or LinkCallOptions::beforeSend returned false.
  NotStarted,
  /// The peer violated the protocol or exceeded a size limit.
  BadMessage,
  /// The peer did not prove that it knows the link secret.
  NotAuthenticated,
  /// The peer rejected the call, for example because it has no handler for the
  /// message type.
  Rejected,
  AddressInUse,
  /// The call was not started, because the server takes no further request at
  /// present.
  RateLimited,
  /// The request cannot be sent as one valid message.
  InvalidRequest,
  /// The head or the body of a request exceeds its size limit.
  HeadTooLarge,
  BodyTooLarge,
};

const std::error_category&
netCategory();

std::error_code
make_error_code(NetError error); // NOLINT: name required by the library

} // namespace lentilrack::net

template<>
struct std::is_error_code_enum<lentilrack::net::NetError> : std::true_type
{
};
