#pragma once

#include "core/retry_budget.h"
#include "core/ticket.h"
#include "entry/address_api.h"
#include "entry/admin_api.h"
#include "entry/call_api.h"
#include "entry/dispatch_client.h"
#include "entry/order_api.h"
#include "entry/order_service.h"
#include "entry/relay.h"
#include "entry/ticket_issuer.h"
#include "entry/trainer_api.h"
#include "node/node.h"

#include <memory>
#include <string>
#include <vector>

namespace lentilrack::entry {

enum class Policy
{
  Default,
  /// Random dispatcher and no hedging, for comparison.
  Baseline,
};

struct EntryOptions
{
  Policy policy = Policy::Default;
  core::OrderLedgerLimits ledger;
  /// Replaces the retry budget; used by tests.
  std::optional<RetryHooks> retries;
};

/// The parts of one lentilrack-entry process over its node.
class EntryApp
{
public:
  /// Adds routes and link handlers to the node, which must not have started.
  EntryApp(node::Node& node, EntryOptions options);

  /// To be called once the node has started.
  void start();
  /// Refuses new work from now on.
  void beginDrain();
  /// One line for each request in flight.
  std::vector<std::string> inFlight() const;

  DispatchClient& dispatchClient() { return mClient; }
  OrderService& orders() { return *mOrders; }

private:
  RetryHooks retryHooks();
  void addStatusAndMetrics();

  node::Node& mNode;
  EntryOptions mOptions;
  core::TimePoint mProcessStart = core::Clock::now();
  core::RetryBudget mRetryBudget;
  core::TicketSigner mSigner;
  DispatchClient mClient;
  std::shared_ptr<OrderService> mOrders;
  std::shared_ptr<Relay> mRelay;
  TicketIssuer mIssuer;
  OrderApi mOrderApi;
  CallApi mCallApi;
  AddressApi mAddressApi;
  AdminApi mAdminApi;
  TrainerApi mTrainerApi;
};

} // namespace lentilrack::entry
