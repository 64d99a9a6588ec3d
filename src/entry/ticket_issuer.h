#pragma once

#include "core/ticket.h"
#include "node/node.h"

#include <functional>
#include <optional>
#include <string>

namespace lentilrack::entry {

/// Issues tickets that name this process as home, the process that runs the
/// requests and records their outcomes. Requests tickets for other homes from
/// their instances. Each home issues its own tickets, because the expiry of a
/// ticket refers to the clock of its home.
class TicketIssuer
{
public:
  TicketIssuer(node::Node& node,
               const core::TicketSigner& signer,
               core::TimePoint processStart);

  /// Registers the handler that issues tickets to other instances.
  void addHandler(net::LinkServer& server);

  /// Returns a new ticket that names this process as home. `target` is the
  /// model or service that will be used; it may be empty.
  std::string issue(const std::string& caller, const std::string& target) const;

  /// Requests a ticket from the instance at this link address. Returns nothing
  /// if the instance does not reply, is a process other than `home`, or refuses
  /// new work.
  net::Awaitable<std::optional<std::string>> requestTicket(core::ProcessId home,
                                                           core::Endpoint link,
                                                           std::string caller,
                                                           std::string target);

  /// Returns true while this process refuses new work. Set by EntryApp, which
  /// owns the issuer.
  std::function<bool()> isRefusingNewWork = [] { return false; };

private:
  node::Node& mNode;
  const core::TicketSigner& mSigner;
  core::TimePoint mProcessStart;
};

} // namespace lentilrack::entry
