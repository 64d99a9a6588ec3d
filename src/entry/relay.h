#pragma once

#include "core/bar_decision.h"
#include "core/ticket.h"
#include "entry/dispatch_client.h"
#include "entry/order_service.h"

#include <memory>
#include <vector>

namespace lentilrack::entry {

/// Relays each request to its home, the instance that issued its ticket, and
/// determines the outcome of requests whose home is lost.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
  Relay(node::Node& node,
        DispatchClient& client,
        std::shared_ptr<OrderService> orderService,
        const core::TicketSigner& signer);

  /// Registers the handler of requests that other instances relay to this one.
  void addHandler(net::LinkServer& server);

  /// Submits the request to its home, locally or over the link, and returns its
  /// answer. If the home is lost, an idempotent request runs here. A
  /// non-idempotent request does not: the dispatchers that its ticket allows to
  /// run it (the dispatch set) are asked for a bar, a promise never to start
  /// it, and their replies determine its outcome.
  std::shared_ptr<AnswerStream> submit(core::RequestId id,
                                       core::Ticket ticket,
                                       core::Work work,
                                       core::Millis remaining);

private:
  struct RelayedRequest;

  net::Awaitable<void> process(std::shared_ptr<RelayedRequest> request);
  /// Returns false if the home did not answer, which makes it lost for this
  /// request.
  net::Awaitable<bool> forwardToHome(std::shared_ptr<RelayedRequest> request);
  net::Awaitable<void> runLocally(std::shared_ptr<RelayedRequest> request);
  /// Asks all dispatchers of the request's dispatch set for a bar and returns
  /// their replies.
  net::Awaitable<std::vector<core::DispatcherBarReply>> barAtAllDispatchers(
    std::shared_ptr<RelayedRequest> request);
  /// If a reply contains the complete answer, sends that answer and returns its
  /// outcome; otherwise returns `outcome`.
  static core::Outcome deliverKeptAnswer(
    RelayedRequest& request,
    const std::vector<core::DispatcherBarReply>& replies,
    core::Outcome outcome);
  net::Awaitable<void> handleRelayRequest(
    std::shared_ptr<net::LinkRequest> request);

  node::Node& mNode;
  DispatchClient& mDispatchClient;
  std::shared_ptr<OrderService> mOrderService;
  const core::TicketSigner& mSigner;
};

} // namespace lentilrack::entry
