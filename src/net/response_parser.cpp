#include "net/response_parser.h"

#include "net/beast.h"
#include "net/error.h"
#include "net/http_status.h"

namespace lentilrack::net {

namespace {

/// RFC 9110, section 15: a status code outside this range is invalid.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
/// Size, in bytes, of the rest of a chunked body after a chunk, if it is as
/// short as possible: the last chunk and the end of the trailer.
constexpr std::size_t kMinRestOfChunks = 5;

/// Returns true if the transfer codings, if any, are just "chunked". Other
/// codings may be sent only to clients that ask for them, and HTTP/1.0 has none
/// (RFC 9112, sections 6.1 and 7). Beast ignores those that it does not know.
bool
hasValidTransferCoding(const Headers& headers, int version)
{
  constexpr int kHttp11 = 11;
  const auto codings = headerValues(headers, "Transfer-Encoding");
  return codings.empty() || (codings.size() == 1 && version >= kHttp11 &&
                             equalsIgnoringCase(codings.front(), "chunked"));
}

/// Returns true if a line begins with a blank. It would be joined to the field
/// before it (RFC 9112, section 5.2), although a sender must not fold lines:
/// the blank may as well belong to the name of a field.
bool
hasFoldedLine(std::string_view lines)
{
  return lines.find("\n ") != lines.npos || lines.find("\n\t") != lines.npos;
}

/// Returns the lines at the start of these bytes that belong to a head.
std::string_view
headLines(std::string_view bytes)
{
  return bytes.starts_with("\r\n") ? std::string_view()
                                   : bytes.substr(0, bytes.find("\r\n\r\n"));
}

/// Maximum number of fields in a head and its trailer. Each takes much more
/// memory than its shortest text.
constexpr std::size_t kMaxFields = 1'000;

std::string
toString(beast::string_view text)
{
  return { text.data(), text.size() };
}

} // namespace

/// Parses one message with Beast and applies the checks that Beast leaves to
/// its users.
class ResponseParser::Message final : public http::basic_parser<false>
{
public:
  Message(bool isResponseToHead, std::size_t bodyLimit, Hooks& hooks)
    : mHooks(hooks)
  {
    skip(isResponseToHead);
    header_limit(kMaxUnparsedBytes);
    body_limit(bodyLimit);
  }

  /// Returns true if the next bytes are the head of a chunk.
  bool isBeforeChunk() const
  {
    return is_header_done() && chunked() && mChunkBytesLeft == 0;
  }

  bool isInterim() const { return mStatus / 100 == 1; }
  /// Returns true if the server may keep the connection open, and nothing that
  /// belongs to this response can follow on it.
  bool isConnectionReusable() const
  {
    // A response with this status has no body, whatever its head says.
    const bool announcesBody = mStatus == status::kNoContent &&
                               (chunked() || content_length().value_or(0) > 0);
    return keep_alive() && !announcesBody;
  }

private:
  using Error = boost::system::error_code;

  void on_request_impl(http::verb,
                       beast::string_view,
                       beast::string_view,
                       int,
                       Error&) override
  {
  }

  void on_response_impl(int code,
                        beast::string_view,
                        int version,
                        Error& error) override
  {
    // No request asks for another protocol.
    const bool isValid = code >= kMinStatus && code <= kMaxStatus &&
                         code != status::kSwitchingProtocols;
    if (!isValid) {
      error = http::error::bad_status;
    }
    mStatus = code;
    mVersion = version;
    mHead.status = code;
  }

  void on_field_impl(http::field,
                     beast::string_view name,
                     beast::string_view value,
                     Error& error) override
  {
    if (++mFields > kMaxFields) {
      error = http::error::header_limit;
      return;
    }
    // The fields of a trailer are not used.
    if (!mHasHead) {
      mHead.headers.emplace_back(toString(name), toString(value));
    }
  }

  void on_header_impl(Error& error) override
  {
    mHasHead = true;
    if (!hasValidTransferCoding(mHead.headers, mVersion)) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    if (isInterim()) {
      return;
    }
    mHead.contentType = headerValue(mHead.headers, "Content-Type");
    if (!mHooks.onHead(std::move(mHead))) {
      error = http::error::bad_value;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override
  {
  }

  std::size_t on_body_impl(beast::string_view data, Error&) override
  {
    mHooks.onData({ data.data(), data.size() });
    return data.size();
  }

  void on_chunk_header_impl(std::uint64_t size,
                            beast::string_view,
                            Error&) override
  {
    mChunkBytesLeft = size;
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 beast::string_view data,
                                 Error&) override
  {
    mChunkBytesLeft -= data.size();
    mHooks.onData({ data.data(), data.size() });
    return data.size();
  }

  void on_finish_impl(Error&) override {}

  Hooks& mHooks;
  HttpResponse mHead{ 0, "", {}, "" };
  int mStatus = 0;
  int mVersion = 0;
  bool mHasHead = false;
  std::size_t mFields = 0;
  std::uint64_t mChunkBytesLeft = 0;
};

ResponseParser::ResponseParser(std::string_view method,
                               std::size_t bodyLimit,
                               Hooks hooks)
  : mHooks(std::move(hooks))
  , mMakeMessage([this, bodyLimit, isHead = method == "HEAD"] {
    return std::make_unique<Message>(isHead, bodyLimit, mHooks);
  })
  , mMessage(mMakeMessage())
{
}

ResponseParser::~ResponseParser() = default;

std::size_t
ResponseParser::parse(std::string_view bytes)
{
  std::size_t used = 0;
  while (!mError && !isComplete() && used < bytes.size()) {
    const auto rest = bytes.substr(used);
    // Beast 1.74 asserts that it is given the whole end of the last chunk.
    if (mMessage->isBeforeChunk() && rest.size() < kMinRestOfChunks) {
      break;
    }
    if (!mMessage->is_header_done() && hasFoldedLine(headLines(rest))) {
      mError = NetError::BadMessage;
      break;
    }
    const bool isHead = !mMessage->is_header_done();
    boost::system::error_code error;
    const auto parsed = mMessage->put(asio::buffer(rest), error);
    used += parsed;
    mHeadBytes += isHead ? parsed : 0;
    const bool isTrailer = isComplete() && mMessage->chunked();
    if (isTrailer && hasFoldedLine(rest.substr(0, parsed))) {
      mError = NetError::BadMessage;
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error || mHeadBytes > kMaxUnparsedBytes) {
      mError = NetError::BadMessage;
    } else if (mMessage->is_done() && mMessage->isInterim()) {
      mMessage = mMakeMessage();
    }
  }
  return used;
}

void
ResponseParser::parseEndOfConnection()
{
  boost::system::error_code error = http::error::partial_message;
  if (!mError && mMessage->got_some()) {
    mMessage->put_eof(error);
  }
  if (!mError && error) {
    mError = NetError::ConnectionLost;
  }
}

bool
ResponseParser::isComplete() const
{
  return mMessage->is_done() && !mMessage->isInterim();
}

bool
ResponseParser::isConnectionReusable() const
{
  return isComplete() && mMessage->isConnectionReusable();
}

} // namespace lentilrack::net
