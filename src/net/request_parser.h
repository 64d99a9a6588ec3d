#pragma once

#include "net/http_types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <system_error>

namespace lentilrack::net {

/// Reads one request and refuses what is no request by RFC 9110 and RFC 9112.
/// Every request that a process reads passes through it, so this is the only
/// place that decides what a valid request is. It does no I/O.
class RequestParser
{
public:
  /// Maximum sizes in bytes.
  struct Limits
  {
    std::uint32_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
  };

  explicit RequestParser(Limits limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Parses received bytes and returns how many of them were used. The others
  /// must be passed again, followed by those that are received next.
  std::size_t parse(std::string_view bytes);

  /// BadMessage if the bytes are no valid request, HeadTooLarge or BodyTooLarge
  /// if they exceed a limit.
  std::error_code error() const { return mError; }
  bool isComplete() const;
  /// Returns true if the client keeps the connection open after the response.
  bool isConnectionReusable() const;
  /// Returns the complete request; called once.
  HttpRequest takeRequest();

private:
  class Message;

  std::unique_ptr<Message> mMessage;
  std::error_code mError;
  bool mHasBegun = false;
};

} // namespace lentilrack::net
