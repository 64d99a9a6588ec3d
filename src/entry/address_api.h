#pragma once

#include "core/address_selector.h"
#include "entry/ticket_issuer.h"
#include "net/http_router.h"

#include <pcg_random.hpp>

#include <memory>

namespace lentilrack::entry {

/// HTTP interface for addresses of instances: GET /v1/addresses, with the
/// optional parameters `failure_domain` (the caller's) and `target` (the model
/// or service that the caller will use).
class AddressApi
{
public:
  AddressApi(node::Node& node, TicketIssuer& issuer);

  void addRoutes(net::HttpRouter& router);
  /// Starts to pass the live instances to the address selector every 500 ms.
  /// The selector records when each instance first appeared.
  void start();

private:
  net::Awaitable<void> handleGet(net::HttpExchange& exchange);
  net::Awaitable<void> refreshAddressesLoop();

  node::Node& mNode;
  TicketIssuer& mIssuer;
  core::AddressSelector mAddressSelector;
  pcg64 mRandomEngine;
  core::RandomBelow mRandom = [this](std::uint64_t bound) {
    return mRandomEngine(bound);
  };
};

} // namespace lentilrack::entry
