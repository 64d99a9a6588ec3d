#include "entry/entry_app.h"

namespace lentilrack::entry {

EntryApp::EntryApp(node::Node& node, EntryOptions options)
  : mNode(node)
  , mOptions(std::move(options))
  , mSigner(node.settings().linkSecret)
  , mDispatchClient(node,
                    mOptions.policy == Policy::Baseline
                      ? core::chooseRandomDispatcher
                      : core::chooseDispatcher)
  , mOrderService(std::make_shared<OrderService>(
      node,
      mDispatchClient,
      OrderServiceOptions{ retryHooks(), mOptions.ledger, mProcessStart }))
  , mRelay(
      std::make_shared<Relay>(node, mDispatchClient, mOrderService, mSigner))
  , mIssuer(node, mSigner, mProcessStart)
  , mOrderApi(node, mRelay, mSigner)
  , mCallApi(node, mRelay, mSigner)
  , mAddressApi(node, mIssuer)
  , mAdminApi(node)
  , mTrainerApi(node, mDispatchClient)
{
  mIssuer.isRefusingNewWork = [this] {
    return mOrderService->isRefusingNewWork();
  };
  mOrderApi.addRoutes(node.router());
  mCallApi.addRoutes(node.router());
  mAddressApi.addRoutes(node.router());
  mAdminApi.addRoutes(node.router());
  mTrainerApi.addRoutes(node.router());
  mRelay->addHandler(node.linkServer());
  mIssuer.addHandler(node.linkServer());
  node.setInFlightProvider(
    [this] { return static_cast<std::int64_t>(mOrderService->inFlight()); });
  addStatusAndMetrics();
}

RetryHooks
EntryApp::retryHooks()
{
  if (mOptions.retries) {
    return *mOptions.retries;
  }
  RetryHooks hooks;
  hooks.takeRetryBudget = [this] { return mRetryBudget.tryTake(); };
  hooks.recordSuccess = [this] { mRetryBudget.succeeded(); };
  hooks.isHedgingEnabled = mOptions.policy == Policy::Default;
  return hooks;
}

void
EntryApp::addStatusAndMetrics()
{
  mNode.addDumpSection("orders", [this] {
    const auto& ledger = mOrderService->ledger();
    return wire::Json{ { "recorded", ledger.size() },
                       { "in_flight", mOrderService->inFlight() },
                       { "answer_bytes", ledger.answerBytes() },
                       { "retry_budget", mRetryBudget.available() } };
  });
  auto& metrics = mNode.metrics();
  metrics.addGauge("orders_in_flight", [this] {
    return static_cast<double>(mOrderService->inFlight());
  });
  metrics.addGauge("ledger_records", [this] {
    return static_cast<double>(mOrderService->ledger().size());
  });
}

void
EntryApp::start()
{
  mAddressApi.start();
}

void
EntryApp::beginDrain()
{
  mOrderService->beginDrain();
  mTrainerApi.beginDrain();
}

std::vector<std::string>
EntryApp::inFlight() const
{
  auto lines = mOrderService->describeInFlight();
  const auto steps = mTrainerApi.activeSteps();
  for (std::int64_t i = 0; i < steps; ++i) {
    lines.emplace_back("active step of a trainer");
  }
  return lines;
}

} // namespace lentilrack::entry
