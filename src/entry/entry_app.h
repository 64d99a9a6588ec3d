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
  /// Random choice of dispatchers and no hedging, for comparison.
  Baseline,
};

struct EntryOptions
{
  Policy policy = Policy::Default;
  core::OrderLedgerLimits ledger;
  /// Used instead of the retry budget in tests.
  std::optional<RetryHooks> retries;
};

/// The HTTP interfaces and services of a lentilrack-entry process.
class EntryApp
{
public:
  /// Adds the routes and link handlers to the node, which must not have been
  /// started yet.
  EntryApp(node::Node& node, EntryOptions options);

  /// Starts the background tasks. To be called after the node has started.
  void start();
  /// Refuses new requests and steps from now on.
  void beginDrain();
  /// Returns one line of text for each request in flight and each active step.
  std::vector<std::string> inFlight() const;

  DispatchClient& dispatchClient() { return mDispatchClient; }
  OrderService& orderService() { return *mOrderService; }
  TrainerApi& trainerApi() { return mTrainerApi; }

private:
  RetryHooks retryHooks();
  void addStatusAndMetrics();

  node::Node& mNode;
  EntryOptions mOptions;
  core::TimePoint mProcessStart = core::Clock::now();
  core::RetryBudget mRetryBudget;
  core::TicketSigner mSigner;
  DispatchClient mDispatchClient;
  std::shared_ptr<OrderService> mOrderService;
  std::shared_ptr<Relay> mRelay;
  TicketIssuer mIssuer;
  OrderApi mOrderApi;
  CallApi mCallApi;
  AddressApi mAddressApi;
  AdminApi mAdminApi;
  TrainerApi mTrainerApi;
};

} // namespace lentilrack::entry
