#include "gateway/peer_client.h"

#include "gateway/read_limits.h"
#include "net/error.h"

namespace lentilrack::gateway {

namespace {

/// Long enough, because the network delay between peers is at most a few
/// milliseconds.
constexpr core::Millis kConnectTimeout{ 250 };
constexpr core::Millis kNotifyTimeout{ 800 };

} // namespace

PeerClient::PeerClient(Context& context, ClusterView& cluster)
  : mContext(context)
  , mCluster(cluster)
{
}

net::Awaitable<net::HttpResult>
PeerClient::call(std::string instance,
                 net::HttpRequest request,
                 core::Millis timeout)
{
  const auto peer = mCluster.peers().find(instance);
  if (peer == mCluster.peers().end() || !peer->second.peerEndpoint) {
    net::HttpResult unknownPeer;
    unknownPeer.error = net::NetError::ConnectFailed;
    co_return unknownPeer;
  }
  const auto endpoint = *peer->second.peerEndpoint;
  co_return co_await call(endpoint, std::move(request), timeout);
}

net::Awaitable<net::HttpResult>
PeerClient::call(core::Endpoint endpoint,
                 net::HttpRequest request,
                 core::Millis timeout)
{
  net::HttpCall call;
  call.endpoint = endpoint;
  call.request = std::move(request);
  call.connectTimeout = kConnectTimeout;
  call.timeout = timeout;
  call.bodyLimit = kMaxPeerResponseBytes;
  auto result = co_await mContext.http.call(std::move(call));
  if (result.error) {
    mContext.log.warning("peer_call",
                         { { "peer", endpoint.text() },
                           { "sent", result.sent },
                           { "error", result.error.message() } });
  }
  co_return result;
}

net::Awaitable<std::optional<net::HttpResponse>>
PeerClient::sendRequest(std::string instance,
                        net::HttpRequest request,
                        core::Millis timeout)
{
  auto result = co_await call(std::move(instance), std::move(request), timeout);
  co_return result.error ? std::nullopt
                         : std::optional(std::move(result.response));
}

net::Awaitable<std::optional<net::HttpResponse>>
PeerClient::sendRequest(core::Endpoint endpoint,
                        net::HttpRequest request,
                        core::Millis timeout)
{
  auto result = co_await call(endpoint, std::move(request), timeout);
  co_return result.error ? std::nullopt
                         : std::optional(std::move(result.response));
}

void
PeerClient::notify(const std::vector<std::string>& instances,
                   const std::string& path,
                   const std::string& body)
{
  for (const auto& name : instances) {
    if (name == mContext.settings.instance) {
      continue;
    }
    net::HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    net::spawn(mContext.io, notifyPeer(name, std::move(request)));
  }
}

net::Awaitable<void>
PeerClient::notifyPeer(std::string instance, net::HttpRequest request)
{
  // The message may be lost. A peer that misses it learns the same from the
  // store later.
  co_await sendRequest(std::move(instance), std::move(request), kNotifyTimeout);
}

} // namespace lentilrack::gateway
