#include "entry/address_api.h"

#include "entry/request_guard.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace lentilrack::entry {

using core::Millis;
using wire::Json;

namespace {

constexpr Millis kAddressRefreshPeriod{ 500 };

/// A response to GET /v1/addresses that waits for the tickets of its addresses.
struct PendingResponse
{
  explicit PendingResponse(net::asio::io_context& io)
    : wake(io)
  {
  }

  std::vector<core::AddressShare> shares;
  std::vector<std::optional<std::string>> tickets;
  std::size_t pendingTickets = 0;
  net::asio::steady_timer wake;
};

net::Awaitable<void>
fetchTicket(TicketIssuer& issuer,
            std::shared_ptr<PendingResponse> pending,
            std::size_t index,
            std::string caller,
            std::string target)
{
  const auto& share = pending->shares[index];
  pending->tickets[index] = co_await issuer.requestTicket(
    share.id, share.link, std::move(caller), std::move(target));
  if (--pending->pendingTickets == 0) {
    pending->wake.cancel();
  }
}

Json
toBody(const PendingResponse& pending)
{
  double total = 0;
  for (std::size_t i = 0; i < pending.shares.size(); ++i) {
    total += pending.tickets[i] ? pending.shares[i].weight : 0;
  }
  auto addresses = Json::array();
  for (std::size_t i = 0; i < pending.shares.size(); ++i) {
    if (const auto& ticket = pending.tickets[i]) {
      const auto& share = pending.shares[i];
      addresses.push_back({ { "endpoint", share.endpoint.text() },
                            { "failure_domain", share.failureDomain },
                            { "weight", share.weight / total },
                            { "ticket", *ticket } });
    }
  }
  return { { "addresses", std::move(addresses) },
           { "ttl_ms", core::kAddressTimeToLive.count() } };
}

} // namespace

AddressApi::AddressApi(node::Node& node, TicketIssuer& issuer)
  : mNode(node)
  , mIssuer(issuer)
  , mRandomEngine(pcg_extras::seed_seq_from<std::random_device>{})
{
}

void
AddressApi::addRoutes(net::HttpRouter& router)
{
  router.add("GET", "/v1/addresses", [this](net::HttpExchange& exchange) {
    return handleGet(exchange);
  });
}

void
AddressApi::start()
{
  net::spawn(mNode.io(), refreshAddressesLoop());
}

net::Awaitable<void>
AddressApi::refreshAddressesLoop()
{
  for (;;) {
    mAddressSelector.update(
      mNode.members().liveMembers(core::MemberRole::Entry), core::Clock::now());
    co_await net::sleepFor(kAddressRefreshPeriod);
  }
}

net::Awaitable<void>
AddressApi::handleGet(net::HttpExchange& exchange)
{
  const auto& request = exchange.request();
  const auto caller = authenticate(mNode, request);
  if (!caller) {
    auto response = errorResponse(caller.error());
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const auto now = core::Clock::now();
  mAddressSelector.update(mNode.members().liveMembers(core::MemberRole::Entry),
                          now);
  const auto pending = std::make_shared<PendingResponse>(mNode.io());
  pending->shares =
    mAddressSelector.choose(request.query("failure_domain"), mRandom, now);
  pending->tickets.resize(pending->shares.size());
  const auto target = request.query("target");
  for (std::size_t i = 0; i < pending->shares.size(); ++i) {
    if (pending->shares[i].id == mNode.self()) {
      if (!mIssuer.isRefusingNewWork()) {
        pending->tickets[i] = mIssuer.issue(caller.value().name, target);
      }
    } else {
      ++pending->pendingTickets;
      net::spawn(mNode.io(),
                 fetchTicket(mIssuer, pending, i, caller.value().name, target));
    }
  }
  while (pending->pendingTickets > 0) {
    pending->wake.expires_at(core::TimePoint::max());
    boost::system::error_code ignored;
    co_await pending->wake.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }
  const auto body = toBody(*pending);
  net::HttpResponse response;
  response.body = body.dump();
  if (body["addresses"].empty()) {
    CallerError error;
    error.status = 503;
    error.code = "no_instance";
    error.message = "no instance accepts new work";
    response = errorResponse(error);
  }
  co_await exchange.respond(std::move(response));
}

} // namespace lentilrack::entry
