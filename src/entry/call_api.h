#pragma once

#include "core/ticket.h"
#include "entry/relay.h"
#include "net/http_router.h"

#include <memory>

namespace lentilrack::entry {

/// HTTP interface for calls to services: any method on /v1/calls/SERVICE/PATH.
class CallApi
{
public:
  CallApi(node::Node& node,
          std::shared_ptr<Relay> relay,
          const core::TicketSigner& signer);

  void addRoutes(net::HttpRouter& router);

private:
  net::Awaitable<void> handleCall(net::HttpExchange& exchange);

  node::Node& mNode;
  std::shared_ptr<Relay> mRelay;
  const core::TicketSigner& mSigner;
};

} // namespace lentilrack::entry
