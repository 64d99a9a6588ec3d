#include "net/response_parser.h"

#include "net/error.h"
#include "net/http_status.h"
#include "net/message_parser.h"

namespace lentilrack::net {

namespace {

/// RFC 9110, section 15: a status code outside this range is invalid.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

} // namespace

class ResponseParser::Message final : public MessageParser<false>
{
public:
  Message(bool isResponseToHead, std::size_t bodyLimit, Hooks& hooks)
    : mHooks(hooks)
  {
    skip(isResponseToHead);
    header_limit(kMaxUnparsedBytes);
    body_limit(bodyLimit);
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
    setVersion(version);
  }

  void onHead(Headers headers, int, Error& error) override
  {
    if (isInterim()) {
      return;
    }
    HttpResponse head{ mStatus, "", std::move(headers), "" };
    head.contentType = headerValue(head.headers, "Content-Type");
    if (!mHooks.onHead(std::move(head))) {
      error = http::error::bad_value;
    }
  }

  void onData(std::string_view data) override { mHooks.onData(data); }

  Hooks& mHooks;
  int mStatus = 0;
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
    const bool isHead = !mMessage->is_header_done();
    boost::system::error_code error;
    const auto parsed = mMessage->parseSome(bytes.substr(used), error);
    used += parsed;
    mHeadBytes += isHead ? parsed : 0;
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
