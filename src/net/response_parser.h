#pragma once

#include "net/http_types.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace lentilrack::net {

/// Maximum size, in bytes, of received data that has not been parsed yet. It
/// bounds a head, the size line and extension of a chunk, and a trailer, which
/// are parsed only when they are complete.
inline constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

/// Reads one response and refuses what is no response by RFC 9110 and RFC 9112.
/// Every response that a process reads passes through it, so this is the only
/// place that decides what a valid response is. Skips interim responses (1xx).
/// It does no I/O.
class ResponseParser
{
public:
  struct Hooks
  {
    /// Called with the status and the headers, before any data. If it returns
    /// false, the response is refused.
    std::function<bool(HttpResponse head)> onHead;
    /// Receives the body piece by piece.
    std::function<void(std::string_view data)> onData;
  };

  /// `method` is that of the request. `bodyLimit` is the maximum size of the
  /// body in bytes.
  ResponseParser(std::string_view method, std::size_t bodyLimit, Hooks hooks);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// Parses received bytes and returns how many of them were used. The others
  /// must be passed again, followed by those that are received next.
  std::size_t parse(std::string_view bytes);
  /// Parses the end of the connection. It ends a response without a length, and
  /// breaks any other response off.
  void parseEndOfConnection();

  /// BadMessage if the bytes are no response or exceed a limit, ConnectionLost
  /// if the connection has ended too early.
  std::error_code error() const { return mError; }
  /// Returns true if the response is complete.
  bool isComplete() const;
  /// Returns true if the server keeps the connection open after the response.
  bool isConnectionReusable() const;

private:
  class Message;

  Hooks mHooks;
  std::function<std::unique_ptr<Message>()> mMakeMessage;
  std::unique_ptr<Message> mMessage;
  /// Size of the heads parsed so far, including those of interim responses.
  std::size_t mHeadBytes = 0;
  std::error_code mError;
};

} // namespace lentilrack::net
