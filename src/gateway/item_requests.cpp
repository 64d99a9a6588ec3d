#include "gateway/item_requests.h"

#include "gateway/forwarder.h"

#include <array>

namespace lentilrack::gateway {

net::HttpRequest
itemRequestHead(const core::BatchSpec& batch,
                const core::BatchItem& item,
                const HeaderNames& names)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = item.path;
  request.headers = item.headers;
  // An item may repeat what its batch says, but is sent with one header each.
  const std::array<std::string_view, 3> ownHeaders{ "Host",
                                                    "Content-Length",
                                                    names.requestId };
  net::removeHeaders(request.headers, ownHeaders);
  if (!batch.organisation.empty()) {
    // An item must not name another organisation or carry a key.
    request.headers = Forwarder::identifiedHeaders(
      std::move(request.headers), names, batch.organisation);
  }
  request.headers.emplace_back("Host", batch.host);
  request.headers.emplace_back(names.requestId, item.id);
  return request;
}

net::HttpRequest
rewardRequestHead(const core::RewardCall& call, const HeaderNames& names)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = call.path;
  request.headers = { { "Host", call.host }, { names.requestId, call.id } };
  return request;
}

} // namespace lentilrack::gateway
