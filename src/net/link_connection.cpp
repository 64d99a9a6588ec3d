#include "net/link_connection.h"

#include "net/error.h"

#include <sodium.h>

#include <array>

namespace lentilrack::net {

namespace websocket = beast::websocket;
using wire::Json;

namespace {

constexpr std::size_t kMaxFrameBytes = 64UL * 1024 * 1024;
constexpr std::size_t kMaxQueuedBytes = 64UL * 1024 * 1024;
/// A connection is considered lost if the peer has answered no WebSocket ping
/// for this time.
constexpr std::chrono::milliseconds kIdleTimeout{ 4000 };
constexpr std::chrono::milliseconds kHandshakeTimeout{ 2000 };

std::string
randomNonce()
{
  std::array<unsigned char, 16> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::string hex(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  hex.pop_back();
  return hex;
}

std::string
proof(const LinkIdentity& identity,
      const std::string& side,
      const std::string& peerNonce,
      const std::string& ownNonce,
      const core::ProcessId& process)
{
  std::array<unsigned char, crypto_generichash_KEYBYTES> key{};
  crypto_generichash(
    key.data(),
    key.size(),
    reinterpret_cast<const unsigned char*>(identity.secret.data()),
    identity.secret.size(),
    nullptr,
    0);
  // Each field is prefixed with its length, so that different field lists never
  // give the same text.
  std::string text;
  for (const auto& field : { side,
                             peerNonce,
                             ownNonce,
                             process.name,
                             std::to_string(process.incarnation) }) {
    text += std::to_string(field.size()) + ":" + field;
  }
  std::array<unsigned char, crypto_generichash_BYTES> mac{};
  crypto_generichash(mac.data(),
                     mac.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(),
                     key.data(),
                     key.size());
  std::string hex(mac.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), mac.data(), mac.size());
  hex.pop_back();
  return hex;
}

bool
proofMatches(const std::string& expected, const std::string& actual)
{
  return expected.size() == actual.size() &&
         sodium_memcmp(expected.data(), actual.data(), expected.size()) == 0;
}

struct Hello
{
  core::ProcessId process;
  std::string nonce;
  std::string proof;
};

Json
encodeHello(const Hello& hello)
{
  return { { "name", hello.process.name },
           { "incarnation", hello.process.incarnation },
           { "nonce", hello.nonce },
           { "proof", hello.proof } };
}

wire::Decoded<Hello>
decodeHello(const Json& json)
{
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json);
    Hello hello;
    hello.process.name = reader.required<std::string>("name");
    hello.process.incarnation = reader.required<std::uint64_t>("incarnation");
    hello.nonce = reader.required<std::string>("nonce");
    hello.proof = reader.required<std::string>("proof");
    reader.rejectUnknownFields();
    return hello;
  });
}

wire::Decoded<LinkFrame>
decodeFrame(const Json& json)
{
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json);
    LinkFrame frame;
    frame.kind = reader.required<std::string>("kind");
    frame.call = reader.required<std::uint64_t>("call");
    frame.type = reader.optional<std::string>("type", "");
    frame.body = reader.optional<Json>("body", nullptr);
    reader.rejectUnknownFields();
    return frame;
  });
}

} // namespace

LinkConnection::LinkConnection(asio::ip::tcp::socket socket)
  : mSocket(std::move(socket))
{
  mSocket.binary(true);
  mSocket.read_message_max(kMaxFrameBytes);
  setTimeouts();
}

void
LinkConnection::setTimeouts()
{
  websocket::stream_base::timeout timeout{};
  timeout.handshake_timeout = kHandshakeTimeout;
  timeout.idle_timeout = kIdleTimeout;
  timeout.keep_alive_pings = true;
  mSocket.set_option(timeout);
}

Awaitable<std::error_code>
LinkConnection::handshakeAsClient(const LinkIdentity& identity)
{
  boost::system::error_code error;
  co_await mSocket.async_handshake(
    "lentilrack", "/link", asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return NetError::ConnectionLost;
  }
  const auto challenge = co_await readJson();
  if (!challenge || !challenge->is_string()) {
    co_return NetError::ConnectionLost;
  }
  const auto serverNonce = challenge->get<std::string>();
  const auto nonce = randomNonce();
  const Hello own{ identity.self,
                   nonce,
                   proof(
                     identity, "client", serverNonce, nonce, identity.self) };
  const bool isWritten = co_await writeJson(encodeHello(own));
  if (!isWritten) {
    co_return NetError::ConnectionLost;
  }
  const auto answer = co_await readJson();
  if (!answer) {
    // The server closes the connection if the client's proof does not match.
    co_return NetError::NotAuthenticated;
  }
  const auto hello = decodeHello(*answer);
  if (!hello ||
      !proofMatches(
        proof(identity, "server", nonce, serverNonce, hello.value().process),
        hello.value().proof)) {
    co_return NetError::NotAuthenticated;
  }
  mPeer = hello.value().process;
  mOpen = true;
  co_return std::error_code{};
}

Awaitable<std::error_code>
LinkConnection::handshakeAsServer(const LinkIdentity& identity)
{
  boost::system::error_code error;
  co_await mSocket.async_accept(
    asio::redirect_error(asio::use_awaitable, error));
  const auto serverNonce = randomNonce();
  if (error) {
    co_return NetError::ConnectionLost;
  }
  const bool isChallenged = co_await writeJson(serverNonce);
  if (!isChallenged) {
    co_return NetError::ConnectionLost;
  }
  const auto answer = co_await readJson();
  if (!answer) {
    co_return NetError::ConnectionLost;
  }
  const auto hello = decodeHello(*answer);
  if (!hello || !proofMatches(proof(identity,
                                    "client",
                                    serverNonce,
                                    hello.value().nonce,
                                    hello.value().process),
                              hello.value().proof)) {
    co_return NetError::NotAuthenticated;
  }
  const Hello own{
    identity.self,
    serverNonce,
    proof(identity, "server", hello.value().nonce, serverNonce, identity.self)
  };
  const bool isWritten = co_await writeJson(encodeHello(own));
  if (!isWritten) {
    co_return NetError::ConnectionLost;
  }
  mPeer = hello.value().process;
  mOpen = true;
  co_return std::error_code{};
}

Awaitable<std::optional<Json>>
LinkConnection::readJson()
{
  beast::flat_buffer buffer;
  boost::system::error_code error;
  co_await mSocket.async_read(buffer,
                              asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  const auto* data = static_cast<const std::uint8_t*>(buffer.data().data());
  auto json = Json::from_cbor(data, data + buffer.size(), true, false);
  co_return json.is_discarded() ? std::nullopt
                                : std::optional<Json>(std::move(json));
}

Awaitable<bool>
LinkConnection::writeJson(const Json& json)
{
  const auto bytes = Json::to_cbor(json);
  boost::system::error_code error;
  co_await mSocket.async_write(
    asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Awaitable<void>
LinkConnection::readLoop(FrameHandler onFrame)
{
  while (mOpen) {
    const auto json = co_await readJson();
    const auto frame =
      json ? decodeFrame(*json)
           : wire::Decoded<LinkFrame>(wire::DecodeError{ "", "no frame" });
    if (!frame) {
      break;
    }
    onFrame(frame.value());
  }
  close();
}

bool
LinkConnection::send(const LinkFrame& frame)
{
  if (!mOpen) {
    return false;
  }
  Json json{ { "kind", frame.kind }, { "call", frame.call } };
  if (!frame.type.empty()) {
    json["type"] = frame.type;
  }
  if (!frame.body.is_null()) {
    json["body"] = frame.body;
  }
  mQueue.push_back(Json::to_cbor(json));
  mQueuedBytes += mQueue.back().size();
  if (mQueuedBytes > kMaxQueuedBytes) {
    close();
    return false;
  }
  if (!mWriting) {
    mWriting = true;
    const auto self = shared_from_this();
    asio::co_spawn(mSocket.get_executor(),
                   writeLoop(),
                   [self](const std::exception_ptr&) {});
  }
  return true;
}

Awaitable<void>
LinkConnection::writeLoop()
{
  while (mOpen && !mQueue.empty()) {
    const auto bytes = std::move(mQueue.front());
    mQueue.pop_front();
    mQueuedBytes -= bytes.size();
    boost::system::error_code error;
    co_await mSocket.async_write(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      close();
    }
  }
  mWriting = false;
}

void
LinkConnection::close()
{
  mOpen = false;
  boost::system::error_code ignored;
  beast::get_lowest_layer(mSocket).socket().shutdown(
    asio::ip::tcp::socket::shutdown_both, ignored);
}

} // namespace lentilrack::net
