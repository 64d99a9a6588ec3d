#pragma once

#include "core/ticket.h"
#include "entry/relay.h"
#include "net/http_router.h"

#include <memory>

namespace lentilrack::entry {

/// HTTP interface for orders: POST /v1/orders.
class OrderApi
{
public:
  OrderApi(node::Node& node,
           std::shared_ptr<Relay> relay,
           const core::TicketSigner& signer);

  void addRoutes(net::HttpRouter& router);

private:
  net::Awaitable<void> handlePost(net::HttpExchange& exchange);

  node::Node& mNode;
  std::shared_ptr<Relay> mRelay;
  const core::TicketSigner& mSigner;
};

} // namespace lentilrack::entry
