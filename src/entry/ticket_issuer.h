#pragma once

#include "core/ticket.h"
#include "node/node.h"

#include <functional>
#include <optional>
#include <string>

namespace lentilrack::entry {

/// Issues tickets of this process as home, and asks other homes for theirs:
/// only a home can tell the expiry on its own clock.
class TicketIssuer
{
public:
  TicketIssuer(node::Node& node,
               const core::TicketSigner& signer,
               core::TimePoint start);

  /// Gives tickets to other instances.
  void addHandler(net::LinkServer& server);

  /// A ticket of this process. `target` may be empty.
  std::string issue(const std::string& caller, const std::string& target) const;

  /// A ticket of the home with this link address; nothing if it does not
  /// answer, is another process, or is leaving.
  net::Awaitable<std::optional<std::string>> requestTicket(core::ProcessId home,
                                                           core::Endpoint link,
                                                           std::string caller,
                                                           std::string target);

  /// Whether this process takes new work; set by the owner.
  std::function<bool()> isRefusingNewWork = [] { return false; };

private:
  node::Node& mNode;
  const core::TicketSigner& mSigner;
  core::TimePoint mStart;
};

} // namespace lentilrack::entry
