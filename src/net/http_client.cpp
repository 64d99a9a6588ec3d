#include "net/http_client.h"

#include "net/beast.h"
#include "net/error.h"
#include "net/request_syntax.h"
#include "net/response_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace lentilrack::net {

using asio::ip::tcp;

namespace {

/// Maximum number of idle connections per endpoint.
constexpr std::size_t kMaxIdlePerEndpoint = 64;
/// Time after which an idle connection is no longer reused if the server does
/// not announce a keep-alive time-out.
constexpr core::Millis kDefaultIdleTime{ 20'000 };
/// Longest time for which an idle connection is kept, whatever the server
/// announces.
constexpr core::Millis kMaxIdleTime{ 120'000 };
/// Number of requests whose keys a connection remembers. A late second copy of
/// a response arrives in place of one of the next responses.
constexpr std::size_t kRememberedKeys = 64;
/// An idle connection is no longer reused once the keep-alive time-out that the
/// server announced is this close. The margin is longer than a request needs to
/// arrive. Otherwise, the server could close the connection while the request
/// is on its way.
constexpr core::Millis kKeepAliveMargin{ 500 };
/// Maximum size, in bytes, of one read from a connection, in a head and in a
/// body. Most connections that wait for a response wait for its head.
constexpr std::size_t kMaxHeadReadBytes = 4UL * 1024;
constexpr std::size_t kMaxReadBytes = 16UL * 1024;
/// Limit, in bytes, of a client without a limit of its process.
constexpr std::size_t kDefaultReadMemory = 256UL * 1024 * 1024;

/// Returns for how long a connection may be reused: the time-out in the header
/// `Keep-Alive: timeout=N` (N in whole seconds) less kKeepAliveMargin, at most
/// kMaxIdleTime, or kDefaultIdleTime without the header.
core::Millis
idleTimeLimit(const Headers& headers)
{
  constexpr std::string_view kParameter = "timeout=";
  const auto value = headerValue(headers, "Keep-Alive");
  const auto start = value.find(kParameter);
  if (start == std::string::npos) {
    return kDefaultIdleTime;
  }
  int seconds = 0;
  const auto* first = value.data() + start + kParameter.size();
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::min(kMaxIdleTime,
                  core::Millis(std::chrono::seconds(seconds)) -
                    kKeepAliveMargin);
}

/// Returns the head of the request as it is sent. The length of the body frames
/// the message, whatever the headers of the request say.
std::string
encodeHead(const HttpRequest& request, const core::Endpoint& endpoint)
{
  const auto& headers = request.headers;
  auto head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  if (headerValues(headers, "Host").empty()) {
    head += fmt::format("Host: {}\r\n", endpoint.text());
  }
  for (const auto& [name, value] : headers) {
    if (!equalsIgnoringCase(name, "Content-Length") &&
        !equalsIgnoringCase(name, "Transfer-Encoding")) {
      head += fmt::format("{}: {}\r\n", name, value);
    }
  }
  // RFC 9110, section 8.6.
  constexpr std::array<std::string_view, 3> kMethodsWithBody{ "POST",
                                                              "PUT",
                                                              "PATCH" };
  if (!request.body.empty() ||
      std::ranges::find(kMethodsWithBody, request.method) !=
        kMethodsWithBody.end()) {
    head += fmt::format("Content-Length: {}\r\n", request.body.size());
  }
  return head + "\r\n";
}

} // namespace

struct HttpClient::State
{
  struct Connection
  {
    std::shared_ptr<beast::tcp_stream> stream;
    /// When the connection is no longer reused.
    core::TimePoint expiry{};
    /// Hashes of the keys of the last requests on this connection.
    std::vector<std::size_t> keys;
  };

  State(asio::io_context& context, std::shared_ptr<ReadMemory> memory)
    : io(context)
    , readMemory(memory ? std::move(memory)
                        : std::make_shared<ReadMemory>(kDefaultReadMemory))
  {
  }

  asio::io_context& io;
  std::shared_ptr<ReadMemory> readMemory;
  std::map<core::Endpoint, std::vector<Connection>> idle;

  /// Returns an idle connection for the call; one without a stream if a new
  /// connection is needed.
  Connection takeIdle(const HttpCall& call);
  /// Keeps a connection that has carried a request with the key.
  void addIdle(const core::Endpoint& endpoint,
               Connection connection,
               const std::optional<std::string>& key,
               core::Millis idleLimit);
};

namespace {

/// Returns true if the server has neither closed the idle connection nor sent
/// any data on it.
bool
isIdle(beast::tcp_stream& stream)
{
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(
    asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

std::size_t
hashOf(const std::optional<std::string>& key)
{
  return std::hash<std::string>()(key.value_or(""));
}

} // namespace

HttpClient::State::Connection
HttpClient::State::takeIdle(const HttpCall& call)
{
  if (call.useNewConnection) {
    return {};
  }
  const auto& key = call.requestKey;
  const auto hash = hashOf(key);
  auto& connections = idle[call.endpoint];
  // The connection that was used last is the least likely to be closed.
  for (auto candidate = connections.end(); candidate != connections.begin();) {
    --candidate;
    const bool hasCarriedRequest =
      key && std::ranges::find(candidate->keys, hash) != candidate->keys.end();
    if (hasCarriedRequest) {
      continue;
    }
    auto connection = std::move(*candidate);
    candidate = connections.erase(candidate);
    if (core::Clock::now() < connection.expiry && isIdle(*connection.stream)) {
      return connection;
    }
  }
  return {};
}

void
HttpClient::State::addIdle(const core::Endpoint& endpoint,
                           Connection connection,
                           const std::optional<std::string>& key,
                           core::Millis idleLimit)
{
  auto& connections = idle[endpoint];
  if (connections.size() < kMaxIdlePerEndpoint) {
    connection.keys.push_back(hashOf(key));
    if (connection.keys.size() > kRememberedKeys) {
      connection.keys.erase(connection.keys.begin());
    }
    connection.stream->expires_never();
    connection.expiry = core::Clock::now() + idleLimit;
    connections.push_back(std::move(connection));
  }
}

namespace {

/// Runs one call on a connection that is either idle or still to be opened.
class ClientCall
{
public:
  ClientCall(HttpCall& call,
             std::shared_ptr<beast::tcp_stream> stream,
             std::shared_ptr<ReadMemory> readMemory)
    : mCall(call)
    , mStream(std::move(stream))
    , mMemory(std::make_shared<ReadMemory::Share>(std::move(readMemory),
                                                  [this] { giveUp(); }))
    , mDeadline(core::Clock::now() + call.timeout)
  {
    if (mCall.cancel) {
      mCancelCallback = mCall.cancel->addCallback([this] { mStream->close(); });
    }
  }
  ~ClientCall()
  {
    if (mCall.cancel) {
      mCall.cancel->removeCallback(mCancelCallback);
    }
  }
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  Awaitable<HttpResult> run(bool isConnected)
  {
    mResult.reusedConnection = isConnected;
    if (!isConnected) {
      isConnected = co_await connect();
    }
    if (!isConnected) {
      co_return std::move(mResult);
    }
    if (mCall.beforeFirstByte && !mCall.beforeFirstByte()) {
      mResult.error = NetError::NotStarted;
      co_return std::move(mResult);
    }
    const bool isSent = co_await send();
    if (isSent) {
      co_await receive();
    }
    co_return std::move(mResult);
  }

  /// Returns the result of a call that an exception has ended.
  HttpResult failedResult()
  {
    mResult.error = NetError::BadMessage;
    mReusable = false;
    return std::move(mResult);
  }

  /// Returns true if the response was read completely, the server keeps the
  /// connection open and no further data has arrived.
  bool canReuseConnection() const { return mReusable; }

private:
  bool isCancelled() const
  {
    return mCall.cancel && mCall.cancel->isCancelRequested();
  }

  bool check(boost::system::error_code error, NetError fallback)
  {
    if (isCancelled()) {
      mResult.error = NetError::Cancelled;
    } else if (mIsGivenUp) {
      mResult.error = NetError::BadMessage;
    } else if (error == beast::error::timeout) {
      mResult.error = NetError::TimedOut;
    } else if (error) {
      mResult.error = fallback;
    }
    return !mResult.error;
  }

  Awaitable<bool> connect()
  {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(mCall.endpoint.address, error);
    if (!error) {
      mStream->expires_after(std::min(mCall.connectTimeout, mCall.timeout));
      co_await mStream->async_connect(
        tcp::endpoint(address, mCall.endpoint.port),
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
      mStream->socket().set_option(tcp::no_delay(true), error);
      enableDeadPeerDetection(mStream->socket());
    }
    co_return check(error, NetError::ConnectFailed);
  }

  Awaitable<bool> send()
  {
    if (isCancelled()) {
      co_return check({}, NetError::Cancelled);
    }
    const auto request = std::move(mCall.request);
    mMethod = request.method;
    const auto head = encodeHead(request, mCall.endpoint);
    const std::array<asio::const_buffer, 2> message{
      asio::buffer(head), asio::buffer(request.body)
    };
    boost::system::error_code error;
    mStream->expires_at(mDeadline);
    mResult.sent = true;
    co_await asio::async_write(
      *mStream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return check(error, NetError::ConnectionLost);
  }

  Awaitable<void> receive()
  {
    ResponseParser parser(
      mMethod,
      mCall.bodyLimit,
      { [this](HttpResponse head) { return handleHead(std::move(head)); },
        [this](std::string_view data) { handleData(data); } });
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    mStream->expires_at(mDeadline);
    while (!parser.isComplete()) {
      if (mCall.waitForReceiver) {
        co_await mCall.waitForReceiver();
      }
      const auto room = buffer.max_size() - buffer.size();
      if (room == 0) {
        mResult.error = NetError::BadMessage;
        co_return;
      }
      // The time-out of the stream ends only reads that wait.
      if (core::Clock::now() >= mDeadline) {
        check(beast::error::timeout, NetError::TimedOut);
        co_return;
      }
      const auto readLimit =
        mResult.response.status == 0 ? kMaxHeadReadBytes : kMaxReadBytes;
      boost::system::error_code error;
      const auto size = co_await mStream->async_read_some(
        buffer.prepare(std::min(readLimit, room)),
        asio::redirect_error(asio::use_awaitable, error));
      mResult.hasReceivedBytes = mResult.hasReceivedBytes || size > 0;
      const bool isEnd = error == asio::error::eof && !isCancelled();
      if (!isEnd && !check(error, NetError::ConnectionLost)) {
        co_return;
      }
      buffer.commit(size);
      if (isEnd) {
        parser.parseEndOfConnection();
      } else {
        const auto received = buffer.cdata();
        buffer.consume(parser.parse(
          { static_cast<const char*>(received.data()), received.size() }));
      }
      if (parser.error()) {
        mResult.error = parser.error();
        co_return;
      }
      const auto heldByReceiver = mCall.heldBytes ? mCall.heldBytes() : 0;
      mMemory->resize(buffer.capacity() + mResult.response.body.capacity() +
                      heldByReceiver);
      if (mIsGivenUp) {
        check({}, NetError::BadMessage);
        co_return;
      }
    }
    // The body is accounted for until the last copy of the response is gone.
    mMemory->markComplete();
    mMemory->resize(mResult.response.body.capacity());
    mResult.response.memory = mMemory;
    // Data after the end of the response does not belong to any request, so the
    // connection cannot be reused.
    mReusable = parser.isConnectionReusable() && buffer.size() == 0;
  }

  /// Ends the call, because the process has no memory left for the response.
  void giveUp()
  {
    mIsGivenUp = true;
    std::string().swap(mResult.response.body);
    mStream->close();
  }

  bool handleHead(HttpResponse head)
  {
    mResult.response = std::move(head);
    if (mCall.onStatus) {
      mCall.onStatus(mResult.response.status);
    }
    return !mCall.acceptHeader ||
           mCall.acceptHeader(mResult.response, mResult.reusedConnection);
  }

  void handleData(std::string_view data)
  {
    if (data.empty()) {
      return;
    }
    if (mCall.onData) {
      mCall.onData(data);
    } else {
      appendToBody(data);
    }
  }

  /// Grows the body by a quarter when it is full. append() doubles it, and the
  /// memory limit counts what is reserved.
  void appendToBody(std::string_view data)
  {
    constexpr std::size_t kGrowthDivisor = 4;
    auto& body = mResult.response.body;
    const auto size = body.size() + data.size();
    if (size > body.capacity()) {
      std::string grown;
      grown.reserve(size + size / kGrowthDivisor);
      grown = body;
      body.swap(grown);
    }
    body.append(data);
  }

  HttpCall& mCall;
  std::shared_ptr<beast::tcp_stream> mStream;
  std::shared_ptr<ReadMemory::Share> mMemory;
  core::TimePoint mDeadline;
  std::string mMethod;
  int mCancelCallback = 0;
  bool mIsGivenUp = false;
  bool mReusable = false;
  HttpResult mResult;
};

} // namespace

HttpClient::HttpClient(asio::io_context& io,
                       std::shared_ptr<ReadMemory> readMemory)
  : mState(std::make_shared<State>(io, std::move(readMemory)))
{
}

HttpClient::~HttpClient() = default;

Awaitable<HttpResult>
HttpClient::call(HttpCall call)
{
  const auto state = mState;
  if (findProblem(call.request)) {
    HttpResult invalid;
    invalid.error = NetError::InvalidRequest;
    co_return invalid;
  }
  const auto endpoint = call.endpoint;
  const auto key = call.requestKey;
  auto connection = state->takeIdle(call);
  const bool isConnected = connection.stream != nullptr;
  if (!isConnected) {
    connection.stream = std::make_shared<beast::tcp_stream>(state->io);
  }
  ClientCall run(call, connection.stream, state->readMemory);
  HttpResult result;
  // An unexpected error, also one of the hooks, must end this call and not the
  // process.
  try {
    result = co_await run.run(isConnected);
  } catch (const std::exception&) {
    result = run.failedResult();
  }
  const auto idleLimit = idleTimeLimit(result.response.headers);
  const bool mayKeep = !call.useNewConnection || call.keepNewConnection;
  if (run.canReuseConnection() && mayKeep) {
    state->addIdle(endpoint, std::move(connection), key, idleLimit);
  } else {
    connection.stream->close();
  }
  co_return result;
}

std::shared_ptr<ReadMemory>
HttpClient::readMemory() const
{
  return mState->readMemory;
}

bool
HttpClient::hasIdleConnection(const core::Endpoint& endpoint) const
{
  const auto found = mState->idle.find(endpoint);
  return found != mState->idle.end() &&
         std::ranges::any_of(found->second, [](const auto& connection) {
           return core::Clock::now() < connection.expiry;
         });
}

} // namespace lentilrack::net
