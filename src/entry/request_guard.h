#pragma once

#include "core/table.h"
#include "core/ticket.h"
#include "entry/caller_error.h"
#include "net/http_server.h"
#include "node/node.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilrack::entry {

/// The principal whose bearer token the request carries. Error: 401.
core::Result<core::Principal, CallerError>
authenticate(node::Node& node, const net::HttpRequest& request);

/// A request identifier whose ticket is authentic and belongs to the caller.
struct VerifiedRequestId
{
  core::RequestId id;
  core::Ticket ticket;
};

/// Errors: "missing_identifier", "malformed_identifier", "foreign_ticket".
core::Result<VerifiedRequestId, CallerError>
verifyRequestId(const core::TicketSigner& signer,
                const std::string& text,
                const core::Principal& caller);

/// Time left for the work: the row's deadline, or a shorter one that the
/// caller asks for.
core::Millis
timeLimitFor(const core::Row& row, std::optional<std::int64_t> requestedMs);

} // namespace lentilrack::entry
