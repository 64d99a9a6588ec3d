#include "entry/ticket_issuer.h"

#include "core/address_selector.h"
#include "wire/object_reader.h"

#include <sodium.h>

namespace lentilrack::entry {

using core::Millis;

namespace {

constexpr const char* kIssueTicketType = "issue_ticket";
/// An instance that does not reply within this time is left out of the list of
/// addresses.
constexpr Millis kTicketRequestTimeout{ 500 };

struct TicketRequest
{
  std::string caller;
  std::string target;
};

wire::Decoded<TicketRequest>
decodeRequest(const wire::Json& json)
{
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json);
    TicketRequest request{ reader.required<std::string>("caller"),
                           reader.required<std::string>("target") };
    reader.rejectUnknownFields();
    return request;
  });
}

net::Awaitable<void>
handleTicketRequest(const TicketIssuer& issuer,
                    std::shared_ptr<net::LinkRequest> request)
{
  const auto decoded = decodeRequest(request->body());
  if (!decoded) {
    request->reject(decoded.error().text());
  } else if (issuer.isRefusingNewWork()) {
    request->reject("this instance refuses new work");
  } else {
    request->reply(
      issuer.issue(decoded.value().caller, decoded.value().target));
  }
  co_return;
}

} // namespace

TicketIssuer::TicketIssuer(node::Node& node,
                           const core::TicketSigner& signer,
                           core::TimePoint processStart)
  : mNode(node)
  , mSigner(signer)
  , mProcessStart(processStart)
{
}

void
TicketIssuer::addHandler(net::LinkServer& server)
{
  server.registerHandler(
    kIssueTicketType, [this](std::shared_ptr<net::LinkRequest> request) {
      return handleTicketRequest(*this, std::move(request));
    });
}

std::string
TicketIssuer::issue(const std::string& caller, const std::string& target) const
{
  core::Ticket ticket;
  ticket.home = mNode.self();
  ticket.caller = caller;
  randombytes_buf(&ticket.nonce, sizeof ticket.nonce);
  ticket.expiry =
    std::chrono::duration_cast<Millis>(core::Clock::now() - mProcessStart) +
    core::kTicketLifetime;
  ticket.dispatchers = core::chooseDispatchSet(
    mNode.members().liveMembers(core::MemberRole::Dispatch),
    target,
    mNode.settings().failureDomain,
    core::kMaxDispatchSetSize);
  return mSigner.sign(ticket);
}

net::Awaitable<std::optional<std::string>>
TicketIssuer::requestTicket(core::ProcessId home,
                            core::Endpoint link,
                            std::string caller,
                            std::string target)
{
  wire::Json body{ { "caller", caller }, { "target", target } };
  net::LinkCallOptions options;
  options.timeout = kTicketRequestTimeout;
  const auto client = mNode.links().clientFor(link);
  const auto reply = co_await client->call(
    kIssueTicketType, std::move(body), std::move(options));
  if (reply.error || !reply.body.is_string()) {
    co_return std::nullopt;
  }
  auto text = reply.body.get<std::string>();
  const auto ticket = mSigner.verify(text);
  const bool isExpectedTicket =
    ticket && ticket->home == home && ticket->caller == caller;
  co_return isExpectedTicket ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace lentilrack::entry
