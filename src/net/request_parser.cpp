#include "net/request_parser.h"

#include "net/error.h"
#include "net/message_parser.h"
#include "net/request_syntax.h"

#include <algorithm>

namespace lentilrack::net {

namespace {

constexpr std::string_view kEmptyLine = "\r\n";

/// Returns the size of the empty lines at the start of the bytes, which a
/// server ignores before a request (RFC 9112, section 2.2).
std::size_t
emptyLines(std::string_view bytes)
{
  std::size_t size = 0;
  while (bytes.substr(size).starts_with(kEmptyLine)) {
    size += kEmptyLine.size();
  }
  return size;
}

/// Returns true if it takes further bytes to tell whether a request begins.
bool
isPartOfEmptyLine(std::string_view bytes)
{
  return bytes.empty() || bytes == kEmptyLine.substr(0, 1);
}

/// Maximum size of the memory that is reserved for a body before it arrives. A
/// client may announce any size.
constexpr std::uint64_t kMaxReservedBytes = 32UL * 1024 * 1024;

} // namespace

class RequestParser::Message final : public MessageParser<true>
{
public:
  explicit Message(Limits limits)
  {
    header_limit(limits.headBytes);
    body_limit(limits.bodyBytes);
  }

  HttpRequest& request() { return mRequest; }

private:
  void on_request_impl(http::verb,
                       beast::string_view method,
                       beast::string_view target,
                       int version,
                       Error&) override
  {
    mRequest.method = toString(method);
    mRequest.target = toString(target);
    setVersion(version);
  }

  void on_response_impl(int, beast::string_view, int, Error&) override {}

  void onHead(Headers headers, int version, Error& error) override
  {
    constexpr int kHttp11 = 11;
    mRequest.headers = std::move(headers);
    // RFC 9112, section 3.2.
    const bool lacksHost =
      version >= kHttp11 && headerValues(mRequest.headers, "Host").empty();
    if (lacksHost || findProblem(mRequest)) {
      error = http::error::bad_value;
      return;
    }
    // A body of unknown size grows as it arrives.
    mRequest.body.reserve(static_cast<std::size_t>(
      std::min(content_length().value_or(0), kMaxReservedBytes)));
  }

  void onData(std::string_view data) override { mRequest.body += data; }

  HttpRequest mRequest;
};

RequestParser::RequestParser(Limits limits)
  : mMessage(std::make_unique<Message>(limits))
{
}

RequestParser::~RequestParser() = default;

std::size_t
RequestParser::parse(std::string_view bytes)
{
  auto used = mHasBegun ? 0 : emptyLines(bytes);
  if (!mHasBegun && isPartOfEmptyLine(bytes.substr(used))) {
    return used;
  }
  mHasBegun = true;
  while (!mError && !isComplete() && used < bytes.size()) {
    boost::system::error_code error;
    used += mMessage->parseSome(bytes.substr(used), error);
    if (error == http::error::need_more) {
      break;
    }
    if (error == http::error::header_limit) {
      mError = NetError::HeadTooLarge;
    } else if (error == http::error::body_limit) {
      mError = NetError::BodyTooLarge;
    } else if (error ||
               (isComplete() && findBodyProblem(mMessage->request()))) {
      mError = NetError::BadMessage;
    }
  }
  return used;
}

bool
RequestParser::isComplete() const
{
  return mMessage->is_done();
}

bool
RequestParser::isConnectionReusable() const
{
  return isComplete() && mMessage->keep_alive();
}

HttpRequest
RequestParser::takeRequest()
{
  return std::move(mMessage->request());
}

} // namespace lentilrack::net
