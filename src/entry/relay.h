#pragma once

#include "core/bar_decision.h"
#include "core/ticket.h"
#include "entry/dispatch_client.h"
#include "entry/order_service.h"

#include <memory>
#include <vector>

namespace lentilrack::entry {

/// Brings requests to their homes, and decides about those whose home is lost.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
  Relay(node::Node& node,
        DispatchClient& client,
        std::shared_ptr<OrderService> orders,
        const core::TicketSigner& signer);

  /// Takes the relay requests of other instances.
  void addHandler(net::LinkServer& server);

  /// Submits the request at its home: here, or over the link. If the home is
  /// lost, non-idempotent work is barred at its dispatch set, and idempotent
  /// work runs here.
  std::shared_ptr<AnswerStream> submit(core::RequestId id,
                                       core::Ticket ticket,
                                       core::Work work,
                                       core::Millis remaining);

private:
  struct RelayedRequest;

  net::Awaitable<void> process(std::shared_ptr<RelayedRequest> request);
  net::Awaitable<bool> forwardToHome(std::shared_ptr<RelayedRequest> request);
  net::Awaitable<void> runLocally(std::shared_ptr<RelayedRequest> request);
  /// Asks the whole dispatch set to bar the request.
  net::Awaitable<std::vector<core::DispatcherBarReply>> barAtAllDispatchers(
    std::shared_ptr<RelayedRequest> request);
  /// Sends the whole answer if a dispatcher still has it.
  static core::Outcome deliverKeptAnswer(
    RelayedRequest& request,
    const std::vector<core::DispatcherBarReply>& answers,
    core::Outcome outcome);
  net::Awaitable<void> handleRelayRequest(
    std::shared_ptr<net::LinkRequest> request);

  node::Node& mNode;
  DispatchClient& mClient;
  std::shared_ptr<OrderService> mOrders;
  const core::TicketSigner& mSigner;
};

} // namespace lentilrack::entry
